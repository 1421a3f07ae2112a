"""Callers that were refused and come back."""

from nutmegscale import returning


def test_a_refused_caller_is_known_once_when_it_comes_back() -> None:
    known = returning.Returning()
    first = returning.FirstAsk(1.0, 1.9)
    known.note(2.0, "a", first)
    assert known.take(5.0, "b") is None
    assert known.take(5.0, "a") == first
    assert known.take(5.0, "a") is None


def test_who_stays_away_is_forgotten() -> None:
    known = returning.Returning()
    known.note(0.0, "a", returning.FirstAsk(0.0, 0.9))
    known.note(10.0, "b", returning.FirstAsk(9.0, 9.9))
    assert known.take(returning.MEMORY_S + 0.1, "a") is None
    assert len(known) == 1


def test_content_that_has_no_digest_is_not_kept() -> None:
    known = returning.Returning()
    known.note(0.0, "", returning.FirstAsk(0.0, 0.9))
    assert known.take(1.0, "") is None
