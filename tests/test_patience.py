"""What callers had waited, from the patience that they state."""

from nutmegscale import patience


def test_what_is_missing_from_the_usual_patience_was_waited() -> None:
    norm = patience.PatienceNorm()
    assert norm.waited_s("a", 13.99) == 0.0
    assert norm.waited_s("a", 14.0) == 0.0
    assert norm.waited_s("a", 13.95) == 0.0
    assert round(norm.waited_s("a", 12.0), 3) == 2.0
    assert norm.waited_s("b", 1.0) == 0.0
    assert norm.waited_s("a", None) == 0.0
