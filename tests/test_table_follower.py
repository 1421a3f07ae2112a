"""Tests of following a table of a store that is restored from a copy."""

import random

import pytest
from twisted.internet import defer
from twisted.internet import task

from nutmegscale import errors
from nutmegscale import row_store
from nutmegscale import table_follower
from standins import row_table

TABLE = "t"
STEP_S = 0.01


class _Reader:
    """A follower of a store, and the rows that it reported."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.store = row_table.RowTable(self.clock)
        self.rows: dict[str, bytes] = {}
        self.follower = table_follower.TableFollower(
            self.clock,
            self.store.for_host("h"),
            TABLE,
            on_snapshot=self._replace,
            on_change=self._change,
            rng=random.Random(1),
        )
        self.follower.start()

    def _replace(self, rows: tuple[row_store.Row, ...]) -> None:
        self.rows = {row.key: row.value for row in rows}

    def _change(self, row: row_store.Row) -> None:
        if row.is_removed:
            self.rows.pop(row.key, None)
        else:
            self.rows[row.key] = row.value

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def stored(self) -> dict[str, bytes]:
        """Return the rows that the store has now."""
        return {row.key: row.value for row in self.store.rows(TABLE)}


def test_version_that_was_given_out_again_isnt_taken_for_the_known_one() -> (
    None
):
    """The feed resumes at a version that now stands for another write.

    Guards against rows of the copy that differ from the lost ones below the
    resumed version, and are then missed for ever.
    """
    reader = _Reader()
    reader.store.put(TABLE, "a", b"old")
    reader.run(1.0)
    reader.store.put(TABLE, "a", b"lost")
    reader.store.put(TABLE, "b", b"lost")
    reader.run(0.5)
    assert reader.rows == {"a": b"lost", "b": b"lost"}
    reader.store.restore(1.0)
    for key in ("c", "d", "e"):
        reader.store.put(TABLE, key, b"new")
    reader.run(2.0)
    assert reader.rows == reader.stored()
    assert reader.rows["a"] == b"old"


def test_later_version_than_the_store_has_leads_to_a_snapshot() -> None:
    reader = _Reader()
    reader.store.put(TABLE, "a", b"old")
    reader.run(1.0)
    reader.store.put(TABLE, "a", b"lost")
    reader.run(0.5)
    reader.store.restore(1.0)
    reader.run(2.0)
    assert reader.rows == {"a": b"old"}


@pytest.mark.parametrize("seed", range(40))
def test_rows_agree_with_the_store_after_random_restores(seed: int) -> None:
    """Random writes, removals, lost history, outages and restores."""
    rng = random.Random(seed)
    reader = _Reader()
    for _ in range(60):
        match rng.randrange(8):
            case 0:
                reader.store.restore(rng.uniform(0.0, 4.0))
            case 1:
                reader.store.forget_history()
            case 2:
                reader.store.is_down = not reader.store.is_down
            case 3:
                reader.store.remove(TABLE, rng.choice("abcd"))
            case _:
                value = rng.randbytes(2)
                reader.store.put(TABLE, rng.choice("abcd"), value)
        reader.run(rng.choice((0.0, 0.01, 0.3, 1.0)))
    reader.store.is_down = False
    reader.run(5.0)
    assert reader.rows == reader.stored()


def test_a_refresh_applies_what_was_written_before_it() -> None:
    """The poll of the feed gets no answer meanwhile."""
    reader = _Reader()
    reader.store.put(TABLE, "a", b"old")
    reader.run(1.0)
    reader.store.unresponsive_hosts.add("h")
    reader.store.put(TABLE, "a", b"new")
    reader.run(0.1)
    assert reader.rows == {"a": b"old"}
    refreshed = defer.ensureDeferred(reader.follower.refresh())
    reader.run(0.1)
    assert refreshed.called
    assert reader.rows == reader.stored()


def test_an_answer_that_a_refresh_has_overtaken_undoes_nothing() -> None:
    reader = _Reader()
    reader.store.put(TABLE, "a", b"1")
    reader.run(1.0)
    late = reader.store.changes_since(TABLE, 0)
    reader.store.put(TABLE, "a", b"2")
    reader.run(0.5)
    result = row_store.StoreResult(late, late[-1].version, era=1)
    reader.follower._apply_all(result)
    assert reader.rows == {"a": b"2"}


def test_a_refresh_without_the_store_ends_in_an_error() -> None:
    reader = _Reader()
    reader.run(1.0)
    reader.store.refused_hosts = {"h"}
    refreshed = defer.ensureDeferred(reader.follower.refresh())
    failures: list[errors.StoreError] = []
    refreshed.addErrback(
        lambda found: failures.append(found.trap(errors.StoreError))
    )
    reader.run(0.1)
    assert failures


def test_snapshots_older_than_the_history_are_not_read_in_a_loop() -> None:
    reader = _Reader()
    reader.store.put(TABLE, "a", b"1")
    reader.run(1.0)
    calls = reader.store.call_count
    reader.store.oldest_version = reader.store.version + 1
    reader.store.put("other", "x", b"")
    reader.store.version -= 1
    reader.run(5.0)
    assert reader.store.call_count - calls < 30
    reader.store.put(TABLE, "a", b"2")
    reader.run(2.0)
    assert reader.rows == {"a": b"2"}
