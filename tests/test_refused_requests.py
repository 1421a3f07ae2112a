"""Tests of how retries of refused requests are recognized."""

from nutmegscale import refused_requests


def test_a_refused_caller_is_recognized_once_when_it_retries() -> None:
    known = refused_requests.RefusedRequests()
    first = refused_requests.FirstAttempt(1.0, 1.9)
    known.record(2.0, "a", first)
    assert known.take(5.0, "b") is None
    assert known.take(5.0, "a") == first
    assert known.take(5.0, "a") is None


def test_a_caller_that_does_not_retry_in_time_is_forgotten() -> None:
    known = refused_requests.RefusedRequests()
    known.record(0.0, "a", refused_requests.FirstAttempt(0.0, 0.9))
    known.record(10.0, "b", refused_requests.FirstAttempt(9.0, 9.9))
    assert known.take(refused_requests.RETENTION_S + 0.1, "a") is None
    assert len(known) == 1


def test_content_that_has_no_digest_is_not_kept() -> None:
    known = refused_requests.RefusedRequests()
    known.record(0.0, "", refused_requests.FirstAttempt(0.0, 0.9))
    assert known.take(1.0, "") is None
