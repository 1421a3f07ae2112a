"""Tests that permits go to the most urgent waiting requests first."""

from twisted.internet import defer
from twisted.internet import task

from nutmegscale import permit_waiters


def _wait(
    waiters: permit_waiters.PermitWaiters,
    ended: list[tuple[str, bool]],
    name: str,
    *,
    priority: int,
    server: str = "a",
) -> None:
    async def _run() -> None:
        is_ready = await waiters.wait([server], priority=priority, limit_s=1.0)
        ended.append((name, is_ready))

    defer.ensureDeferred(_run())


def test_urgent_requests_go_first_and_then_those_that_came_first() -> None:
    waiters = permit_waiters.PermitWaiters(task.Clock())
    ended: list[tuple[str, bool]] = []
    for name, priority in (("low", 2), ("first", 1), ("second", 1)):
        _wait(waiters, ended, name, priority=priority)
    waiters.wake("a", lambda: len(ended) < 2)
    assert ended == [("first", True), ("second", True)]


def test_a_permit_for_another_server_wakes_nobody() -> None:
    waiters = permit_waiters.PermitWaiters(task.Clock())
    ended: list[tuple[str, bool]] = []
    _wait(waiters, ended, "x", priority=0, server="b")
    waiters.wake("a", lambda: True)
    assert not ended


def test_a_wait_ends_at_its_limit() -> None:
    clock = task.Clock()
    waiters = permit_waiters.PermitWaiters(clock)
    ended: list[tuple[str, bool]] = []
    _wait(waiters, ended, "x", priority=0)
    clock.advance(1.0)
    assert ended == [("x", False)]
    waiters.wake("a", lambda: True)
    assert ended == [("x", False)]
