"""Tests of how close retries come to their budget."""

from nutmegscale import retry_share
from tools import retry_report
from tools import retry_window

BUDGET = retry_share.Limits(ratio=0.5, extra=2.0, window_s=10.0)


def _arrival(
    at: float, request: str, *, is_prefill: bool = False
) -> retry_window.Arrival:
    return retry_window.Arrival(at, "model", request, is_prefill)


def _worst(
    arrivals: list[retry_window.Arrival], sent: list[float]
) -> retry_window.WorstWindow:
    requests = [retry_window.Event(at, "model") for at in sent]
    return retry_window.worst_windows(
        retry_window.retries_of(arrivals), requests, BUDGET
    )[0]


def test_only_the_first_accepted_prefill_is_free() -> None:
    arrivals = [
        _arrival(1.0, "a"),
        _arrival(1.1, "a", is_prefill=True),
        _arrival(1.2, "a", is_prefill=True),
        _arrival(1.3, "a"),
    ]
    assert _worst(arrivals, [1.0]).retries == 2


def test_the_window_with_the_most_retries_beyond_the_allowance_is_found() -> (
    None
):
    arrivals = [_arrival(at, "a") for at in (0.0, 1.0, 12.0, 13.0, 14.0)]
    worst = _worst(arrivals, [0.0, 12.0])
    assert (worst.from_s, worst.retries, worst.requests) == (12.0, 3, 1)
    assert worst.is_exceeded


def test_requests_of_the_window_before_allow_retries() -> None:
    arrivals = [_arrival(at, "a") for at in (10.0, 10.1, 10.2, 10.3, 10.4)]
    worst = _worst(arrivals, [0.5, 1.0, 1.5, 2.0])
    assert (worst.retries, worst.allowed) == (4, 4.0)
    assert not worst.is_exceeded


def test_report_counts_retries_and_failures_of_the_logs() -> None:
    head = "host-1 timestamp=2026-01-05T10:00:00Z level=info"
    lines = [
        f"  1.1000 {head} event=prefill_failed request=a service=model",
        f"  1.2000 {head} event=retry_allowed request=a service=model",
        f"  1.3000 {head} event=request_answered request=a service=model"
        " age_ms=300",
    ]
    assert retry_report.report(lines, BUDGET) == [
        "model: 1 retries from 1.2 s for 1 requests, allowed 2.5",
        "model: 1 prefill_failed",
    ]
