"""Tests of past waiting times that follow from callers' stated patience."""

from nutmegscale import patience


def test_the_shortfall_from_the_typical_patience_was_waited() -> None:
    estimator = patience.PatienceEstimator()
    assert estimator.waited_s("a", 13.99) == 0.0
    assert estimator.waited_s("a", 14.0) == 0.0
    assert estimator.waited_s("a", 13.95) == 0.0
    assert round(estimator.waited_s("a", 12.0), 3) == 2.0
    assert estimator.waited_s("b", 1.0) == 0.0
    assert estimator.waited_s("a", None) == 0.0


def test_patience_that_differs_from_caller_to_caller_says_nothing() -> None:
    estimator = patience.PatienceEstimator()
    stated = [14.3, 12.4, 13.1, 14.0, 12.9, 13.6, 12.2, 13.9, 12.7, 13.4]
    waited = [estimator.waited_s("a", seconds) for seconds in stated * 3]
    assert waited == [0.0] * 30


def test_a_longer_patience_of_one_caller_is_no_wait_of_the_others() -> None:
    estimator = patience.PatienceEstimator()
    for _ in range(5):
        estimator.waited_s("a", 14.0)
    estimator.waited_s("a", 20.0)
    assert [estimator.waited_s("a", 14.0) for _ in range(5)] == [0.0] * 5
