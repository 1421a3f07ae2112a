"""Tests of the control lease with paused hosts and lost answers."""

import random

import msgspec
import pytest

from nutmegscale import lease
from nutmegscale import platform_service
from standins import deployment
from standins import fake_platform


class _RecordingEngine:
    """An engine that records accepted orders; it may ignore fencing."""

    def __init__(self, *, honours: bool) -> None:
        self.honours = honours
        self.fence = 0
        self.accepted_fences: list[int] = []

    def order(self, fence: int) -> None:
        """Accept an order, or reject it if its fencing number is outdated."""
        if self.honours and fence < self.fence:
            return
        self.fence = max(self.fence, fence)
        self.accepted_fences.append(fence)


def _make_lease(
    system: deployment.Deployment, host: str, offset: list[float]
) -> lease.Lease:
    table = fake_platform.FakePlatformClient(
        system.platform, system.network, host
    )
    return lease.Lease(
        table,
        "lease/maadi",
        host,
        now=lambda: system.clock.seconds() + offset[0],
    )


def test_a_successor_waits_out_the_holder() -> None:
    system = deployment.Deployment({}, {}, ready=False)
    first = _make_lease(system, "maadi-1", [0.0])
    second = _make_lease(system, "maadi-2", [0.0])
    assert system.wait(first.maintain()) == 1
    assert system.wait(second.maintain()) is None
    system.run(lease.DURATION_S - lease.HOLDER_MARGIN_S)
    assert first.fence is None
    assert system.wait(second.maintain()) is None
    system.run(lease.HOLDER_MARGIN_S + lease.TAKEOVER_MARGIN_S)
    assert system.wait(second.maintain()) == 2
    assert system.wait(first.maintain()) is None


def test_a_released_lease_is_taken_at_once() -> None:
    system = deployment.Deployment({}, {}, ready=False)
    first = _make_lease(system, "maadi-1", [0.0])
    second = _make_lease(system, "maadi-2", [0.0])
    system.wait(first.maintain())
    system.wait(first.release())
    assert system.wait(second.maintain()) == 2


@pytest.mark.parametrize("honours", [True, False])
@pytest.mark.parametrize("seed", range(8))
def test_orders_never_go_back(seed: int, honours: bool) -> None:
    """Accepted fencing numbers never decrease.

    Guards against a former holder that still gives orders after a successor
    took the lease: three hosts run with lost answers, outages and pauses.
    """
    system = deployment.Deployment({}, {}, ready=False, seed=seed)
    rng = random.Random(seed)
    engine = _RecordingEngine(honours=honours)
    leases = [_make_lease(system, f"maadi-{n}", [0.0]) for n in (1, 2)]
    leases.append(_make_lease(system, "nasr-1", [0.0]))
    paused = dict.fromkeys(range(3), 0.0)
    for _ in range(120):
        system.platform.is_down = rng.random() < 0.1
        system.platform.lose_answers = int(rng.random() < 0.2)
        for number, held in enumerate(leases):
            if paused[number] > system.clock.seconds():
                continue
            if rng.random() < 0.03:
                paused[number] = system.clock.seconds() + rng.uniform(9, 20)
                continue
            system.wait(held.maintain())
            fence = held.fence
            if fence is not None:
                engine.order(fence)
        system.run(0.5)
    assert engine.accepted_fences == sorted(engine.accepted_fences)
    assert len(set(engine.accepted_fences)) > 1


def test_a_row_of_another_version_isnt_overwritten() -> None:
    system = deployment.Deployment({}, {}, ready=False)
    first = _make_lease(system, "maadi-1", [0.0])
    system.wait(first.maintain())
    row = system.platform.rows["lease/maadi"]
    system.platform.rows["lease/maadi"] = platform_service.Row(
        row.version + 1,
        msgspec.msgpack.encode(lease.LeaseRow("other", 9, 0)),
    )
    assert system.wait(first.maintain()) is None
