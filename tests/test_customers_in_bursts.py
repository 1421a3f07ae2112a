"""Tests of streams of many customers on the modelled engines.

One of 16 customers sends seven times its usual rate while a burst of twice the
load runs on all. With names unknown to the queue, its order is that of first
attempts only.
"""

from collections.abc import Mapping

import pytest

from tools import share_days

SEEDS = (1, 2, 3, 4, 5, 6)
# Customers with so few streams that their shares of them vary by a fifth are
# counted together.
SMALL = share_days.names()[4:]


def _play(hot: str, *, is_named: bool) -> dict[str, share_days.Served]:
    return share_days.add_up(
        share_days.run_case(share_days.Case(seed, hot, is_named))
        for seed in SEEDS
    )


def _in_time(served: Mapping[str, share_days.Served], names: list[str]) -> int:
    return sum(served[name].in_time for name in names)


@pytest.fixture(scope="module", name="usual")
def _usual() -> dict[str, share_days.Served]:
    return _play("", is_named=False)


def test_a_hot_customer_takes_the_answers_of_others_by_first_attempt(
    usual: dict[str, share_days.Served],
) -> None:
    """Shows the fault that shares answer: nearly all others lose a third."""
    served = _play("c00", is_named=False)
    ratios = share_days.kept(served, usual, "c00")
    assert sum(ratio < 0.9 for ratio in ratios.values()) >= 10


@pytest.fixture(scope="module", name="shared")
def _shared() -> dict[str, share_days.Served]:
    return _play("", is_named=True)


def test_a_hot_customer_costs_the_others_little_with_shares(
    shared: dict[str, share_days.Served],
) -> None:
    served = _play("c00", is_named=True)
    ratios = share_days.kept(served, shared, "c00")
    for name in share_days.names()[1:4]:
        assert ratios[name] >= 0.9, name
    assert _in_time(served, SMALL) >= 0.9 * _in_time(shared, SMALL)
    assert min(ratios.values()) >= 0.75
    # The hot one itself isn't starved.
    assert min(share_days.relative_rates(served).values()) >= 0.25


def test_shares_cost_nothing_while_nobody_sends_more_than_usual(
    usual: dict[str, share_days.Served],
    shared: dict[str, share_days.Served],
) -> None:
    """Guards against capacity that is kept free for nobody in a burst."""
    names = share_days.names()
    assert _in_time(shared, names) >= 0.95 * _in_time(usual, names)
