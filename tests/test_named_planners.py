"""Tests that planners of an earlier build get requests that they can read."""

from nutmegscale import named_planners


def test_a_planner_that_reads_no_customers_is_asked_without() -> None:
    """Guards against streams that ask a planner of an earlier build forever."""
    planners = named_planners.NamedPlanners()
    planners.record(0.0, "old", is_answered=False)
    assert planners.reads_customers(0.1, "old")
    planners.record(0.1, "old", is_answered=False)
    assert not planners.reads_customers(0.2, "old")
    assert planners.reads_customers(0.2, "new")


def test_it_is_told_again_after_a_while() -> None:
    """Guards against customers that stay unnamed after the planner's update."""
    planners = named_planners.NamedPlanners()
    for now in (0.0, 0.1):
        planners.record(now, "a", is_answered=False)
    assert planners.reads_customers(0.1 + named_planners.RETRY_S, "a")
    # One request more finds out that it is still of the earlier build.
    now = 0.2 + named_planners.RETRY_S
    planners.record(now, "a", is_answered=False)
    assert not planners.reads_customers(now, "a")
    planners.record(now, "a", is_answered=True)
    assert planners.reads_customers(now, "a")


def test_a_slow_planner_is_told_customers() -> None:
    """Guards against shares that end when the planner misses a timeout."""
    planners = named_planners.NamedPlanners()
    for now in range(20):
        planners.record(now, "a", is_answered=now % 5 == 0)
        assert planners.reads_customers(now, "a")


def test_a_planner_that_returns_to_the_earlier_build_is_asked_without() -> None:
    planners = named_planners.NamedPlanners()
    planners.record(0.0, "a", is_answered=True)
    for _ in range(named_planners.MAX_UNANSWERED_BY_READER):
        planners.record(1.0, "a", is_answered=False)
    assert not planners.reads_customers(1.0, "a")
