"""Tests that the soak's checks of customers notice what violates them."""

import pytest

from nutmegscale import customers
from nutmegscale import http_message
from tools import soak_customer_checks as checks_module

KEY = f"{checks_module.KEY_MARK}1"
LIMIT = customers.UsageLimit("tokens", 100.0, 100.0, 10)
# 1.1 times 900, and 60 beyond it.
ALLOWED = 1_050.0


@pytest.fixture(name="checks")
def _checks() -> checks_module.CustomerChecks:
    checks = checks_module.CustomerChecks(customers.QuotaRule(8.0, 0.1, 60.0))
    checks.add_key(KEY, "a", 0.0)
    checks.set_limit("a", LIMIT, 0.0)
    return checks


def _promises(checks: checks_module.CustomerChecks) -> list[str]:
    return [violation.promise for violation in checks.violations]


def _attempt(
    checks: checks_module.CustomerChecks,
    key: str = KEY,
    customer: str = "a",
    *,
    is_public: bool = False,
) -> checks_module.Attempt:
    attempt = checks_module.Attempt("r", key, customer, is_public)
    checks.record_attempt(attempt)
    return attempt


@pytest.mark.parametrize(
    ("key", "sent_at", "ended_at", "steady_since", "status", "promise"),
    [
        (KEY, 5.0, 6.0, 0.0, 401, checks_module.IN_FORCE_PROMISE),
        (KEY, 5.0, 6.0, 0.0, 429, ""),
        (KEY, 2.0, 3.0, 0.0, 401, ""),
        (KEY, 9.0, 11.0, 0.0, 401, ""),
        (KEY, 14.0, 15.0, 0.0, 200, checks_module.REMOVED_PROMISE),
        (KEY, 14.0, 15.0, 0.0, 401, ""),
        (KEY, 12.0, 13.0, 0.0, 200, ""),
        (KEY, 14.0, 15.0, 12.0, 200, ""),
        ("other", 14.0, 15.0, 12.0, 429, checks_module.UNKNOWN_PROMISE),
    ],
)
def test_answers_are_judged_by_what_hosts_had_to_know(
    checks: checks_module.CustomerChecks,
    key: str,
    sent_at: float,
    ended_at: float,
    steady_since: float,
    status: int,
    promise: str,
) -> None:
    """Guards against a soak that takes a removed key's answer as right."""
    checks.remove_key(KEY, 10.0)
    answer = checks_module.Answer("h", status, sent_at, ended_at, steady_since)
    checks.record_answer(_attempt(checks, key), answer)
    assert _promises(checks) == ([promise] if promise else [])


@pytest.mark.parametrize(
    ("attempt", "headers", "promises"),
    [
        ((KEY, "a"), [(b"Tenant", b"a")], []),
        ((KEY, "a"), [(b"Tenant", b"b")], [checks_module.NAME_PROMISE]),
        ((KEY, "a"), [], [checks_module.NAME_PROMISE]),
        (
            (KEY, "a"),
            [(b"Tenant", b"a"), (b"Tenant", b"a")],
            [checks_module.NAME_PROMISE],
        ),
        (
            (KEY, "a"),
            [(b"Tenant", b"a"), (b"Authorization", f"x {KEY}".encode())],
            [checks_module.KEY_PROMISE],
        ),
        (("other", ""), [], [checks_module.UNKNOWN_PROMISE]),
    ],
)
def test_requests_at_servers_have_a_customer_and_no_key(
    checks: checks_module.CustomerChecks,
    attempt: tuple[str, str],
    headers: list[tuple[bytes, bytes]],
    promises: list[str],
) -> None:
    """Guards against a soak that overlooks a key at a server."""
    _attempt(checks, *attempt)
    head = http_message.RequestHead(
        b"POST", b"/x", ((b"Request-Id", b"r"), *headers)
    )
    checks.check_head("w1", head, default="free")
    assert [p for p in promises if p not in _promises(checks)] == []
    assert bool(promises) == bool(checks.violations)


def test_a_request_with_a_removed_key_may_not_reach_a_server(
    checks: checks_module.CustomerChecks,
) -> None:
    """Guards against overlooking a run whose caller left or was refused."""
    checks.remove_key(KEY, 10.0)
    checks.record_answer(
        _attempt(checks), checks_module.Answer("h", 503, 14.0, 15.0)
    )
    assert not checks.violations
    head = http_message.RequestHead(
        b"POST", b"/x", ((b"Request-Id", b"r"), (b"Tenant", b"a"))
    )
    checks.check_head("w1", head, default="free")
    assert _promises(checks) == [checks_module.REMOVED_PROMISE]


def test_keys_in_logs_are_found(checks: checks_module.CustomerChecks) -> None:
    checks.check_log("h", b"event=a key=x\nevent=b customer=a\n")
    assert not checks.violations
    checks.check_log("h", f"event=a\nevent=b key={KEY}\n".encode())
    assert _promises(checks) == [checks_module.KEY_PROMISE]


@pytest.mark.parametrize(
    ("start", "lowered_at", "runs", "is_exceeded"),
    [
        (0.0, None, 105, False),
        (0.0, None, 106, True),
        # The lower limit counts 3 s and a window later.
        (20.0, 9.5, 60, False),
        (20.0, 8.5, 60, True),
    ],
)
def test_usage_beyond_the_limit_is_found(
    checks: checks_module.CustomerChecks,
    start: float,
    lowered_at: float | None,
    runs: int,
    is_exceeded: bool,
) -> None:
    """Guards against a soak that overlooks usage beyond a limit."""
    if lowered_at is not None:
        lower = LIMIT._replace(per_s=50.0, burst=50.0)
        checks.set_limit("a", lower, lowered_at)
    attempt = _attempt(checks)
    run = checks_module.Run
    events = [run(start + 0.004 * n, attempt.request) for n in range(runs)]
    events.append(run(start + 8.0, attempt.request))
    worst = checks.check_usage(events)["a"]
    assert worst.used == runs * LIMIT.plain_tokens
    assert (worst.used > worst.allowed) == is_exceeded
    promises = [checks_module.USAGE_PROMISE] if is_exceeded else []
    assert _promises(checks) == promises
