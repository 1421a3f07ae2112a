"""Tests that the shares of a server's limit add up to that limit."""

import random

import pytest

from nutmegscale import permit_allocator
from nutmegscale import send_permits
from tools import limit_window

WINDOW_S = limit_window.WINDOW_S


def _share(
    *, shares: int = 4, per_s: float = 2.8, starts_at: float = 0.0
) -> permit_allocator.PermitAllocator:
    return permit_allocator.PermitAllocator(
        shares=shares,
        starts_at=starts_at,
        per_s=per_s,
        rng=random.Random(1),
    )


@pytest.mark.parametrize("per_s", [0.0, 0.1, 1.0, 2.8, 40.0, 1e9])
@pytest.mark.parametrize("hosts", [1, 2, 8, 87, 400])
def test_all_shares_together_keep_to_the_limit(
    per_s: float, hosts: int
) -> None:
    """Hosts that hear one share only, and ask it as often as they can."""
    count = min(4, hosts)
    shares = [_share(shares=count, per_s=per_s) for _ in range(count)]
    granted: list[tuple[float, int]] = []
    for step in range(400):
        now = 0.05 * step
        for number, share in enumerate(shares):
            for host in range(number, hosts, count):
                reply = share.ask(now, f"host-{host}", 64, per_s)
                granted.append((now, reply.permits))
    allowed = (
        limit_window.EXCESS_RATIO * per_s * WINDOW_S
        + limit_window.EXTRA_REQUESTS
    )
    for start in range(0, 320, 4):
        begin = 0.05 * start
        sent = sum(n for at, n in granted if begin <= at <= begin + WINDOW_S)
        assert sent <= allowed


@pytest.mark.parametrize("per_s", [0.2, 1.0, 2.8, 40.0, 1000.0])
def test_permits_that_are_used_at_the_end_of_their_time_keep_to_the_limit(
    per_s: float,
) -> None:
    """Hosts use what they got in that time together with later permits."""
    shares = [_share(per_s=per_s) for _ in range(4)]
    span_s = WINDOW_S + send_permits.PERMIT_TTL_S
    sent = 0
    for step in range(round((span_s + 20.0) / 0.05)):
        now = 0.05 * step
        for number, share in enumerate(shares):
            # The buckets fill up before the permits are asked for.
            if now >= 20.0:
                sent += share.ask(now, f"host-{number}", 64, per_s).permits
    allowed = (
        limit_window.EXCESS_RATIO * per_s * WINDOW_S
        + limit_window.EXTRA_REQUESTS
    )
    assert sent <= allowed


def test_a_share_that_starts_later_gives_nothing_before() -> None:
    share = _share(shares=1, starts_at=3.0)
    assert share.ask(2.9, "a", 1, 2.8).permits == 0
    assert share.ask(3.1, "a", 1, 2.8).permits == 0
    assert share.ask(3.5, "a", 1, 2.8).permits == 1


def test_a_limit_that_falls_counts_at_once_and_one_that_rises_later() -> None:
    share = _share(shares=1, per_s=10.0)
    share.ask(0.0, "a", 0, 10.0)
    share.ask(0.05, "b", 0, 1.0)
    assert share.ask(0.3, "a", 64, 10.0).permits == 0
    assert share.ask(0.9, "a", 64, 10.0).permits == 1
    assert share.ask(1.2, "a", 64, 10.0).permits == 2


def test_hosts_ask_less_often_the_more_there_are() -> None:
    few, many = _share(), _share()
    waits = []
    for share, hosts in ((few, 4), (many, 400)):
        for number in range(hosts):
            reply = share.ask(0.01, f"host-{number}", 1, 2.8)
        waits.append(reply.wait_s)
    assert waits[0] < 3.0 < waits[1] <= permit_allocator.MAX_WAIT_S


def test_each_host_may_find_out_once_that_the_limit_has_ended() -> None:
    share = _share()
    assert share.ask(0.1, "a", 1, 2.8).permits == 0
    assert share.end_limit(0.2) == [permit_allocator.Reply("a", 0, 0.0)]
    assert share.ask(0.3, "a", 4, 2.8).permits == 1
    assert share.ask(0.3, "b", 4, 2.8).permits == 1
    # The host knows of the limit again: it is in force.
    assert share.ask(0.4, "a", 4, 2.8).permits == 0
    assert share.ask(0.4, "c", 4, 2.8).permits == 0
