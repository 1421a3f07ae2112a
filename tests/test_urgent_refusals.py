"""Tests of what is known of refused calls and their ranks."""

from nutmegscale import urgent_refusals


def test_only_more_urgent_refusals_of_the_service_count() -> None:
    refusals = urgent_refusals.UrgentRefusals()
    refusals.record(0.0, "a", 1)
    assert refusals.has_more_urgent(0.5, "a", 2)
    assert not refusals.has_more_urgent(0.5, "a", 1)
    assert not refusals.has_more_urgent(0.5, "b", 2)


def test_refusals_are_forgotten() -> None:
    refusals = urgent_refusals.UrgentRefusals()
    refusals.record(0.0, "a", 0)
    assert not refusals.has_more_urgent(urgent_refusals.MEMORY_S, "a", 2)
