"""Tests of the report on streams of two software versions."""

from tools import version_report


def _line(time: float, event: str, request: str, **fields: object) -> str:
    pairs = " ".join(f"{key}={value}" for key, value in fields.items())
    return (
        f"  {time:.4f} host-1 timestamp=2026-01-05T10:00:00Z level=info "
        f"event={event} request={request} {pairs} host=host-1"
    )


def test_streams_of_two_versions_are_found_over_the_attempts_of_a_caller() -> (
    None
):
    lines = [
        _line(1.0, "stream_begun", "a", software="v1"),
        _line(1.1, "stream_begun", "b", software="v1"),
        _line(2.0, "stream_begun", "c", software="v2", resumes="a"),
        _line(2.1, "stream_begun", "b", software="v1"),
        _line(2.2, "request_failed", "d", status=503, resumes="b"),
    ]
    found = version_report.report(lines)
    assert found == version_report.Report(2, {"a": ["v1", "v2"]}, 2, 1)
    assert "a: v1, v2" in str(found)
