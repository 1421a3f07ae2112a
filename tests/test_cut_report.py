"""Tests of the report on hosts that reach no server."""

from tools import cut_report


def _line(
    time: float, host: str, event: str, request: str = "", **fields: object
) -> str:
    if request:
        fields = {"request": request, **fields}
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return (
        f"  {time:.4f} {host} timestamp=2026-01-05T10:00:00Z level=info "
        f"event={event} {pairs} host={host}"
    )


def _cut_changed(time: float, host: str, is_cut_off: str) -> str:
    return _line(time, host, "cut_off_changed", is_cut_off=is_cut_off)


def _ended(
    time: float, host: str, request: str, status: int, age_ms: float = 0.0
) -> str:
    event = "request_answered" if status == 200 else "request_failed"
    return _line(time, host, event, request, status=status, age_ms=age_ms)


def test_an_attempt_counts_at_the_host_that_received_it() -> None:
    """The other host logs the request that was passed on, too."""
    lines = [
        _cut_changed(1.0, "a", "true"),
        _line(5.0, "a", "passed_on", "r1", to="b", status=200),
        _ended(5.0, "a", "r1", 200),
        _ended(4.9, "b", "r1", 200),
        _ended(6.0, "a", "r2", 503),
        _ended(6.0, "b", "r3", 200),
        _ended(6.5, "b", "r4", 404),
        _cut_changed(8.0, "a", "false"),
    ]
    (cut,) = cut_report.report(lines)
    assert cut.hosts == ("a",)
    assert cut.there == cut_report.Count(served=1, sent=2)
    assert cut.elsewhere == cut_report.Count(served=1, sent=1)
    assert "1 of 2 served there, 1 of 1 elsewhere" in str(cut)


def test_attempts_before_a_cut_has_settled_arent_counted() -> None:
    lines = [
        _cut_changed(1.0, "a", "true"),
        _ended(3.9, "a", "r1", 503),
        # Sent at 3.9 s, ended later.
        _ended(4.4, "a", "r2", 503, age_ms=500.0),
        _ended(4.1, "a", "r3", 200),
        _cut_changed(8.0, "a", "false"),
        _ended(8.1, "a", "r4", 503),
    ]
    (cut,) = cut_report.report(lines)
    assert cut.there == cut_report.Count(served=1, sent=1)


def test_cuts_that_overlap_are_one() -> None:
    lines = [
        _cut_changed(1.0, "a", "true"),
        _cut_changed(2.0, "b", "true"),
        _cut_changed(6.0, "a", "false"),
        _ended(5.5, "b", "r1", 200),
        _ended(6.5, "a", "r2", 200),
        _cut_changed(9.0, "b", "false"),
        _cut_changed(20.0, "c", "true"),
    ]
    first, second = cut_report.report(lines)
    assert first.hosts == ("a", "b")
    assert first.there == cut_report.Count(served=1, sent=1)
    assert second.end == float("inf")
