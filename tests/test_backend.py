"""Registered servers: incarnations, leaving, what vanished."""

from nutmegscale import backend


def _entry(incarnation: int = 5, **changes: object) -> backend.Backend:
    made = backend.Backend(
        "a", incarnation, "s", "a:1", "z", 4, is_draining=False, stage=""
    )
    return made._replace(**changes)  # type: ignore[arg-type]


def test_leaving_is_believed_of_this_or_a_later_incarnation() -> None:
    for told, is_news in ((4, False), (5, True), (6, True)):
        directory = backend.BackendDirectory()
        directory.put(_entry())
        assert directory.mark_leaving("a", told) == is_news
        assert bool(directory.usable("s")) != is_news
    assert not backend.BackendDirectory().mark_leaving("a", 5)


def test_an_entry_that_is_back_is_used_again() -> None:
    directory = backend.BackendDirectory()
    directory.put(_entry())
    directory.mark_leaving("a", 5)
    directory.put(_entry(6))
    assert [e.incarnation for e in directory.usable("s")] == [6]


def test_vanished_counts_those_that_said_nothing() -> None:
    directory = backend.BackendDirectory()
    directory.put(_entry())
    directory.remove("a", now=10.0)
    assert directory.vanished_after("s", 9.0) == 1
    assert directory.vanished_after("s", 10.0) == 0
    directory.put(_entry(is_draining=True))
    directory.remove("a", now=11.0)
    assert directory.vanished_after("s", 9.0) == 0


def test_doubtful_entry_is_used_until_its_time() -> None:
    directory = backend.BackendDirectory()
    directory.put(_entry())
    assert not directory.remove("a", now=1.0, lapse_until=3.0)
    assert directory.expire(2.9) == []
    assert len(directory) == 1
    assert directory.expire(3.0) == ["a"]
    assert len(directory) == 0
