"""Tests for which calls permits are kept beyond the limits of all servers."""

from nutmegscale import urgent_calls


def _known(
    *ranks: int, refused_at: float | None = 0.0
) -> urgent_calls.UrgentCalls:
    known = urgent_calls.UrgentCalls()
    for rank in ranks:
        known.record(0.0, "a", rank)
    if refused_at is not None:
        known.record_refusal(refused_at, "a")
    return known


def test_permits_are_kept_for_more_urgent_calls_of_the_service_only() -> None:
    known = _known(1)
    assert known.is_preceded(0.5, "a", 2)
    assert not known.is_preceded(0.5, "a", 1)
    assert not known.is_preceded(0.5, "b", 2)


def test_permits_are_kept_although_only_less_urgent_calls_are_refused() -> None:
    """Else they end being kept whenever no urgent call was refused lately."""
    known = _known(0, 2)
    assert known.is_preceded(0.5, "a", 2)


def test_no_permit_is_kept_while_no_call_is_refused() -> None:
    known = _known(0, refused_at=None)
    assert not known.is_preceded(0.5, "a", 2)


def test_calls_and_refusals_are_forgotten() -> None:
    known = _known(0)
    known.record(urgent_calls.MEMORY_S, "a", 0)
    assert not known.is_preceded(urgent_calls.MEMORY_S, "a", 2)
    known = _known(0)
    known.record_refusal(urgent_calls.MEMORY_S, "a")
    assert not known.is_preceded(urgent_calls.MEMORY_S, "a", 2)
