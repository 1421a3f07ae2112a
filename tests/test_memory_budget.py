"""Tests of the choice of connections that are closed when memory is short.

They guard against closing ordinary callers for what others hold, and against a
caller whose costly data keeps the event loop from all others.
"""

import pathlib

import pytest
import structlog
from twisted.internet import task

from nutmegscale import closing_log
from nutmegscale import errors
from nutmegscale import memory_budget
from nutmegscale import memory_release
from nutmegscale import parse_turns
from nutmegscale.platform import settings

KILOBYTE = 1 << 10
MEGABYTE = memory_budget.MEGABYTE


def _budget(held_bytes: int) -> memory_budget.MemoryBudget:
    limits = memory_budget.MemoryLimits(held_bytes=held_bytes)
    return memory_budget.MemoryBudget(limits)


def _account(
    budget: memory_budget.MemoryBudget,
    held: int,
    moved: int = 0,
    phase: memory_budget.Phase = memory_budget.Phase.RECEIVING,
) -> memory_budget.Account:
    account = budget.open(0.0)
    account.hold(held)
    account.move(0.0, moved)
    account.phase = phase
    return account


def test_nothing_is_closed_within_the_budget() -> None:
    budget = _budget(MEGABYTE)
    account = _account(budget, MEGABYTE)
    assert budget.victims(9.0, account) == []


def test_a_stalled_connection_goes_before_a_larger_one_that_moves() -> None:
    budget = _budget(MEGABYTE)
    moving = _account(budget, 700 * KILOBYTE, 700 * KILOBYTE)
    stalled = _account(budget, 400 * KILOBYTE)
    assert budget.victims(0.0, moving) == [stalled]


def test_what_was_moved_long_ago_doesnt_count() -> None:
    budget = _budget(MEGABYTE)
    old = _account(budget, 600 * KILOBYTE, 600 * KILOBYTE)
    new = _account(budget, 600 * KILOBYTE)
    new.move(20.0, 600 * KILOBYTE)
    assert budget.victims(20.0, new) == [old]


@pytest.mark.parametrize("phase", list(memory_budget.Phase))
def test_what_may_have_been_forwarded_is_never_closed(
    phase: memory_budget.Phase,
) -> None:
    budget = _budget(MEGABYTE)
    account = _account(budget, 2 * MEGABYTE, phase=phase)
    at_once = budget.victims(0.0, account)
    later = budget.victims(memory_budget.STREAM_STALL_S, account)
    assert bool(at_once) == (phase.name in ("RECEIVING", "SENDING"))
    assert bool(later) == (phase is not memory_budget.Phase.HANDLED)


def test_of_too_many_connections_the_oldest_unused_one_is_closed() -> None:
    budget = _budget(MEGABYTE)
    accounts = [budget.open(float(at)) for at in range(4)]
    accounts[0].move(0.5, 10)
    accounts[1].phase = memory_budget.Phase.HANDLED
    found = memory_budget.least_useful(accounts, 9.0, accounts[3])
    assert found is accounts[2]
    handled = memory_budget.least_useful(accounts[1:2], 9.0, accounts[3])
    assert handled is accounts[3]


def test_a_lost_connection_holds_nothing() -> None:
    budget = _budget(MEGABYTE)
    account = _account(budget, KILOBYTE)
    budget.close(account)
    account.hold(KILOBYTE)
    assert budget.held_bytes == 0


def test_limits_of_the_smallest_machine_are_the_defaults() -> None:
    assert memory_budget.derive_limits() == memory_budget.MemoryLimits()
    large = memory_budget.derive_limits(552, 10_250)
    assert large.body_bytes == 138 * MEGABYTE
    assert large.caller_connections + large.relay_connections <= 7_688


def test_costly_connections_take_turns() -> None:
    clock = task.Clock()
    turns = parse_turns.ParseTurns(clock)
    ran: list[str] = []

    def _work(name: str) -> None:
        ran.append(name)
        turns.record(parse_turns.MAX_WORK)
        turns.wait(lambda: _work(name))

    _work("a")
    assert not turns.may_parse()
    turns.wait(lambda: _work("b"))
    for _ in range(9):
        clock.advance(parse_turns.TURN_S)
    assert ran[:5] == ["a", "a", "b", "a", "b"]


class _Counter:
    """Counts closings by their reasons."""

    def __init__(self) -> None:
        self.reasons: list[str] = []

    def record_closing(self, reason: str) -> None:
        """Count a closing."""
        self.reasons.append(reason)


def test_closings_are_all_counted_and_few_are_logged() -> None:
    clock = task.Clock()
    counter = _Counter()
    log = closing_log.ClosingLog("callers", counter, clock.seconds)
    with structlog.testing.capture_logs() as lines:
        for _ in range(20):
            log.record("memory_short", 7)
        clock.advance(1.0)
        log.record("connections_full", 0)
    assert len(counter.reasons) == 21
    assert len(lines) == closing_log.MAX_LINES_PER_S + 1
    assert lines[-1]["left_out"] == 20 - closing_log.MAX_LINES_PER_S


def test_memory_is_given_back_once_after_a_calm_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    trims: list[int] = []
    monkeypatch.setattr(memory_release, "find_trim", lambda: trims.append)
    release = memory_release.MemoryRelease(MEGABYTE)
    release.record(0.0, held_bytes=0, peak_bytes=MEGABYTE)
    calm_at = int(memory_release.CALM_S)
    for at in range(1, 3 * calm_at):
        release.record(float(at), held_bytes=0, peak_bytes=0)
        assert len(trims) == (at >= calm_at)


SETTINGS = """
nodeName = "h"
ip = "127.0.0.1"
zone = "maadi"
internalPorts = [1, 2]
[listen]
front = "127.0.0.1:80"
ready = "127.0.0.1:81"
[platform]
address = "127.0.0.1:82"
[limits]
"""


@pytest.mark.parametrize(
    ("lines", "change"),
    [
        ("", {}),
        ("callerMemoryMb = 9", {"held_bytes": 9 * MEGABYTE}),
        ("callerConnections = 7", {"caller_connections": 7}),
        ("relayConnections = 7", {"relay_connections": 7}),
        ("maxHeaderLines = 7", {"max_header_lines": 7}),
    ],
)
def test_each_limit_has_a_setting(
    tmp_path: pathlib.Path, lines: str, change: dict[str, int]
) -> None:
    path = tmp_path / "host.toml"
    path.write_text(SETTINGS + lines, encoding="utf-8")
    found = settings.load(str(path)).memory_limits
    assert found == memory_budget.MemoryLimits()._replace(**change)


@pytest.mark.parametrize(
    "lines", ["memoryMb = 0", "maxFds = -1", "maxHeaderLines = -1"]
)
def test_limits_that_cant_be_are_refused(
    tmp_path: pathlib.Path, lines: str
) -> None:
    path = tmp_path / "host.toml"
    path.write_text(SETTINGS + lines, encoding="utf-8")
    with pytest.raises(errors.SettingsError):
        settings.load(str(path))
