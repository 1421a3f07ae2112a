"""Store of versioned rows on a given clock, with injected faults.

`RowTable` is the store; `RowTable.for_host` returns the client of a host.
"""

from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import periodic
from nutmegscale import row_store

ANSWER_DELAY_S = 0.004
ANSWER_TIMEOUT_S = 1.5
UNRESPONSIVE_S = 20.0


class _Change(NamedTuple):
    """A change of a table, and when it was made, seconds."""

    table: str
    row: row_store.Row
    time: float


class RowTable:
    """The store.

    Attributes:
      is_down: Whether no call is answered.
      writes: When hosts wrote rows, seconds, and their tables.
      refused_hosts: Hosts whose calls are refused.
      unresponsive_hosts: Hosts whose open connections get no answers.
      loses_answers: Whether writes are executed but not answered.
      oldest_version: Changes up to this version are no longer known.
      call_count: Number of calls, refused ones included.
      version: Version of the latest change.
      era: Number of times that the store was restored, plus 1.
    """

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.is_down = False
        self.writes: list[tuple[float, str]] = []
        self.refused_hosts: set[str] = set()
        self.unresponsive_hosts: set[str] = set()
        self.loses_answers = False
        self.oldest_version = 0
        self.call_count = 0
        self.version = 0
        self.era = 1
        self._rows: dict[tuple[str, str], row_store.Row] = {}
        self._changes: list[_Change] = []
        # All changes of the current era and of the copies that it came from.
        self._log: list[_Change] = []
        self._waiters: list[defer.Deferred[None]] = []

    def for_host(self, host: str) -> "RowTableClient":
        """Return the client of a host."""
        return RowTableClient(self, host)

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the operator or a backend server does."""
        return self._apply_change(table, row_store.Row(key, value, 0))

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._apply_change(table, row_store.Row(key, b"", 0, is_removed=True))

    def forget_history(self) -> None:
        """Discard the history of all changes so far."""
        self.oldest_version = self.version
        self._changes.clear()
        self._notify_waiters()

    def restore(self, age_s: float) -> None:
        """Replace the content by a copy that is some seconds old.

        What was written since is lost, and its versions are given out again.
        """
        latest = self.clock.seconds() - age_s
        self._log = [c for c in self._log if c.time <= latest]
        self._rows.clear()
        self.version = 0
        for change in self._log:
            self._set_row(change.table, change.row)
        self._changes = [
            c for c in self._changes if c.row.version <= self.version
        ]
        self.oldest_version = min(self.oldest_version, self.version)
        self.era += 1
        self._notify_waiters()

    def get(self, table: str, key: str) -> row_store.Row | None:
        """Return a row."""
        return self._rows.get((table, key))

    def rows(self, table: str) -> tuple[row_store.Row, ...]:
        """Return the rows of a table, by key."""
        return tuple(
            row
            for (name, _), row in sorted(self._rows.items())
            if name == table
        )

    def changes_since(
        self, table: str, after: int
    ) -> tuple[row_store.Row, ...]:
        """Return the changes of a table after a version."""
        return tuple(
            change.row
            for change in self._changes
            if change.table == table and change.row.version > after
        )

    def next_change(self) -> "defer.Deferred[None]":
        """Return a Deferred that fires at the next change."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        return waiter

    def _apply_change(self, table: str, row: row_store.Row) -> int:
        row = row._replace(version=self.version + 1)
        self._set_row(table, row)
        change = _Change(table, row, self.clock.seconds())
        self._log.append(change)
        self._changes.append(change)
        self._notify_waiters()
        return self.version

    def _set_row(self, table: str, row: row_store.Row) -> None:
        self.version = row.version
        if row.is_removed:
            self._rows.pop((table, row.key), None)
        else:
            self._rows[table, row.key] = row

    def _notify_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(None)


class RowTableClient:
    """`row_store.RowStore` of one host."""

    def __init__(self, store: RowTable, host: str) -> None:
        self._store = store
        self._host = host

    async def _connect(self) -> None:
        self._store.call_count += 1
        if self._store.is_down:
            await periodic.sleep(self._store.clock, ANSWER_TIMEOUT_S)
            raise errors.StoreError("no answer in time")
        await periodic.sleep(self._store.clock, ANSWER_DELAY_S)
        if self._host in self._store.refused_hosts:
            raise errors.StoreRefusedError("refused with 503")

    async def read_table(self, table: str) -> row_store.StoreResult:
        """Read all rows of a table; see `row_store.RowStore`."""
        await self._connect()
        return row_store.StoreResult(
            self._store.rows(table), self._store.version, era=self._store.era
        )

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> row_store.StoreResult:
        """Wait for changes; see `row_store.RowStore`."""
        await self._connect()
        deadline = self._store.clock.seconds() + wait_s
        era = self._store.era
        while True:
            if era != self._store.era:
                raise errors.StoreError("connection lost")
            if not self._store.oldest_version <= after <= self._store.version:
                raise errors.HistoryGoneError("history is gone")
            rows = self._store.changes_since(table, after)
            left_s = deadline - self._store.clock.seconds()
            if rows or left_s <= 0:
                return row_store.StoreResult(rows, self._store.version, era=era)
            waiting = self._store.next_change()
            waiting.addTimeout(left_s, self._store.clock)
            try:
                await waiting
            except (defer.TimeoutError, TimeoutError):
                continue
            if self._host in self._store.unresponsive_hosts:
                await periodic.sleep(self._store.clock, UNRESPONSIVE_S)
                raise errors.StoreError("no answer in time")
            if self._store.is_down or self._host in self._store.refused_hosts:
                raise errors.StoreError("connection lost")

    async def write(
        self, table: str, key: str, value: bytes, *, expected: int | None = None
    ) -> row_store.StoreResult:
        """Write a row; see `row_store.RowStore`."""
        await self._connect()
        known = self._store.get(table, key)
        version = known.version if known else 0
        if expected is not None and expected != version:
            rows = (known,) if known else ()
            return row_store.StoreResult(
                rows,
                self._store.version,
                is_conflict=True,
                era=self._store.era,
            )
        version, era = self._store.put(table, key, value), self._store.era
        self._store.writes.append((self._store.clock.seconds(), table))
        if self._store.loses_answers:
            await periodic.sleep(self._store.clock, ANSWER_TIMEOUT_S)
            raise errors.StoreError("no answer in time")
        return row_store.StoreResult((), version, era=era)
