"""Tests of the count of requests beyond a server's limit."""

from tools import limit_window


def _requests(host: str, times: list[float]) -> list[limit_window.Contact]:
    return [limit_window.Contact(at, host) for at in times]


def test_only_requests_of_hosts_told_long_enough_count() -> None:
    statements = [limit_window.Statement(1.0, 2.0)]
    told = [limit_window.Contact(1.0, "a")]
    times = [1.2, 1.6, 1.7]
    requests = sorted(_requests("a", times) + _requests("b", times))
    worst = limit_window.worst_window(statements, requests, told)
    assert worst == limit_window.WorstWindow(1.6, 2, 17.0)


def test_requests_beyond_the_limit_are_found() -> None:
    statements = [limit_window.Statement(1.0, 1.0)]
    told = [limit_window.Contact(1.0, "a")]
    times = [2.0 + 0.1 * number for number in range(12)]
    worst = limit_window.worst_window(statements, _requests("a", times), told)
    assert worst is not None and worst.is_exceeded
    assert (worst.requests, worst.allowed) == (12, 11.0)


def test_only_the_time_with_a_limit_in_force_counts() -> None:
    statements = [
        limit_window.Statement(1.0, 2.0),
        limit_window.Statement(2.0, None),
        limit_window.Statement(3.0, 2.0),
    ]
    told = [limit_window.Contact(1.0, "a")]
    requests = _requests("a", [1.5, 2.5, 3.6])
    worst = limit_window.worst_window(statements, requests, told)
    # The host wasn't told again after the limit ended at 2 s.
    assert worst == limit_window.WorstWindow(1.5, 1, 14.0)
