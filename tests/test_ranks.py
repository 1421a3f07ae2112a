"""Tests that ranks of customers (1000 and more) order all that waits."""

import random

from twisted.internet import defer
from twisted.internet import task

from nutmegscale import customers
from nutmegscale import permit_waiters
from nutmegscale import server_notices
from nutmegscale import urgent_calls

# Ranks of routes of priority 0, 2 and 9 of customers of priority 0, 1 and 2,
# and of a route of the highest priority that counts.
RANKS = [
    customers.Customer("c", priority).rank(route)
    for priority in (0, 1, 2)
    for route in (0, 2, 9)
]


class _NoSpread(random.Random):
    """Source of random numbers that are all the least ones."""

    def uniform(self, a: float, b: float) -> float:
        """Return the lower bound."""
        return a


def _return_after_s(rank: int) -> float:
    notices = server_notices.ServerNotices()
    notices.record_pause(0.0, "s", 1.0)
    return notices.return_after_s(0.0, ["s"], priority=rank, rng=_NoSpread())


def test_a_rank_states_both_priorities() -> None:
    assert customers.split_rank(customers.Customer("c", 2).rank(7)) == (2, 7)
    assert customers.split_rank(7) == (0, 7)
    # A route's priority never reaches the ranks of the next customer.
    assert customers.split_rank(customers.Customer("c", 1).rank(5_000)) == (
        1,
        999,
    )


def test_callers_return_after_a_pause_by_customer_and_then_by_route() -> None:
    """Guards against customers that lose the order among their own routes.

    The step stopped to grow at rank 3, so that all calls of a customer of
    priority 1 returned at the same time, with the least urgent ones of 0.
    """
    times = [_return_after_s(rank) for rank in RANKS]
    assert times == sorted(set(times))
    # Without customers nothing changes.
    assert [round(_return_after_s(r) - 1.0, 3) for r in (0, 1, 2, 3, 9)] == [
        0.0,
        0.2,
        0.4,
        0.6,
        0.6,
    ]


def test_callers_of_the_last_customers_return_soon() -> None:
    assert _return_after_s(50_999) - 1.0 <= 2.2


def test_permits_go_by_customer_and_then_by_route() -> None:
    waiters = permit_waiters.PermitWaiters(task.Clock())
    ended: list[int] = []

    async def _wait(rank: int) -> None:
        if await waiters.wait(["a"], priority=rank, limit_s=1.0):
            ended.append(rank)

    for rank in reversed(RANKS):
        defer.ensureDeferred(_wait(rank))
    waiters.wake("a", lambda: True)
    assert ended == RANKS


def test_permits_are_kept_for_the_calls_of_customers_that_go_first() -> None:
    calls = urgent_calls.UrgentCalls()
    calls.record(0.0, "a", 1_000)
    calls.record_refusal(0.0, "a")
    assert calls.is_preceded(0.1, "a", 1_002)
    assert calls.is_preceded(0.1, "a", 2_000)
    assert not calls.is_preceded(0.1, "a", 999)
    assert not calls.is_preceded(0.1, "a", 1_000)
