"""Tests of which sends of a request are paid from the retry budget."""

import pytest

from nutmegscale import errors
from nutmegscale import request_sends


class _Budget:
    """Retry budget with a number of retries; counts those taken."""

    def __init__(self, retries: int) -> None:
        self.left = retries
        self.taken = 0

    def take(self) -> bool:
        """Take a retry if one is left."""
        if not self.left:
            return False
        self.left -= 1
        self.taken += 1
        return True


def _send(sends: request_sends.RequestSends, *, prefill: bool = False) -> None:
    with sends.send() as send:
        if prefill:
            send.accept_prefill()


def _fail(sends: request_sends.RequestSends, exception: Exception) -> None:
    with pytest.raises(type(exception)), sends.send():
        raise exception


def test_first_prefill_and_first_run_are_free() -> None:
    budget = _Budget(0)
    sends = request_sends.RequestSends(budget.take)
    _send(sends, prefill=True)
    _send(sends)
    with pytest.raises(errors.RetryDeniedError):
        _send(sends)


def test_rejected_prefill_leaves_the_run_to_be_paid() -> None:
    budget = _Budget(1)
    sends = request_sends.RequestSends(budget.take)
    _fail(sends, errors.RejectedError("full"))
    _send(sends, prefill=True)
    _send(sends)
    assert budget.taken == 1
    assert not sends.reserve()


def test_second_accepted_prefill_is_paid_before_the_run() -> None:
    budget = _Budget(1)
    sends = request_sends.RequestSends(budget.take)
    _send(sends, prefill=True)
    _fail(sends, errors.RejectedError("full"))
    assert sends.has_prefilled
    assert not sends.reserve(2)
    assert sends.reserve()


def test_send_without_a_connection_costs_nothing() -> None:
    budget = _Budget(1)
    sends = request_sends.RequestSends(budget.take)
    for _ in range(3):
        _fail(sends, errors.ConnectError("down"))
    _send(sends)
    _fail(sends, errors.ConnectError("down"))
    _send(sends)
    assert budget.taken == 1


def test_send_that_may_have_arrived_is_counted() -> None:
    budget = _Budget(0)
    sends = request_sends.RequestSends(budget.take)
    _fail(sends, errors.ResponseTimeoutError("late"))
    assert not sends.reserve()
