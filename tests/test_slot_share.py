"""Tests of the shares of slots that hosts use without a planner."""

import pytest

from nutmegscale import slot_share


@pytest.mark.parametrize("hosts", [1, 3, 8, 12, 13, 73, 400])
def test_all_shares_together_are_no_more_than_the_slots(hosts: int) -> None:
    names = [f"host-{n}" for n in range(hosts)]
    shares = [slot_share.slots_of("w", 12, name, names) for name in names]
    assert 0 < sum(shares) <= 12
    if hosts > 12:
        assert sorted(shares) == [0] * (hosts - 12) + [1] * 12


def test_workers_are_shared_among_different_hosts() -> None:
    names = [f"host-{n}" for n in range(73)]
    taken = {
        worker: {n for n in names if slot_share.slots_of(worker, 12, n, names)}
        for worker in ("a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
    }
    served = set().union(*taken.values())
    assert len(served) > 50
