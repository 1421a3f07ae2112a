"""Tests of which sends of a request are paid from the retry budget."""

import pytest

from nutmegscale import errors
from nutmegscale import request_sends
from nutmegscale import retry_share


def _make(retries: int) -> tuple[request_sends.RequestSends, list[bool]]:
    """Create sends with a number of retries; also return the verdicts."""
    limits = retry_share.Limits(ratio=1.0, extra=2.0 * retries, window_s=10.0)
    share = retry_share.RetryShare(limits, now=0.0, hosts=1)
    for _ in range(retries):
        share.record_request(0.0)
    verdicts: list[bool] = []
    sends = request_sends.RequestSends(
        share, now=lambda: 0.0, on_retry=verdicts.append
    )
    return sends, verdicts


def _send(sends: request_sends.RequestSends, *, prefill: bool = False) -> None:
    with sends.send() as send:
        if prefill:
            send.accept_prefill()


def _fail(sends: request_sends.RequestSends, exception: Exception) -> None:
    with pytest.raises(type(exception)), sends.send():
        raise exception


def test_first_prefill_and_first_run_are_free() -> None:
    sends, verdicts = _make(0)
    _send(sends, prefill=True)
    _send(sends)
    with pytest.raises(errors.RetryDeniedError):
        _send(sends)


def test_only_what_a_server_may_have_got_counts_as_arrived() -> None:
    """Guards against a refund for a request that ran."""
    for exception in (errors.ConnectError(), errors.NotSentError()):
        sends, _ = _make(1)
        _fail(sends, exception)
        assert not sends.has_arrived
    _send(sends, prefill=True)
    assert sends.has_arrived
    sends, _ = _make(1)
    _fail(sends, errors.ResponseTimeoutError())
    assert sends.has_arrived


def test_rejected_prefill_leaves_the_run_to_be_paid() -> None:
    sends, verdicts = _make(1)
    _fail(sends, errors.RejectedError("full"))
    _send(sends, prefill=True)
    _send(sends)
    assert verdicts.count(True) == 1
    assert not sends.reserve()


def test_second_accepted_prefill_is_paid_before_the_run() -> None:
    sends, verdicts = _make(1)
    _send(sends, prefill=True)
    _fail(sends, errors.RejectedError("full"))
    assert sends.has_prefilled
    assert not sends.reserve(2)
    assert sends.reserve()


def test_send_without_a_connection_costs_nothing() -> None:
    sends, verdicts = _make(1)
    for _ in range(3):
        _fail(sends, errors.ConnectError("down"))
    _send(sends)
    _fail(sends, errors.ConnectError("down"))
    _send(sends)
    assert verdicts.count(True) == 1


def test_send_that_may_have_arrived_is_counted() -> None:
    sends, verdicts = _make(0)
    _fail(sends, errors.ResponseTimeoutError("late"))
    assert not sends.reserve()


def test_what_was_paid_and_not_sent_is_given_back() -> None:
    sends, verdicts = _make(1)
    _send(sends)
    assert sends.reserve()
    sends.close()
    assert sends.reserve()
    assert verdicts == [True, True]
