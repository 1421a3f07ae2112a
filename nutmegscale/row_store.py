"""Interface of a store of versioned rows, independent of its wire format."""

from typing import NamedTuple
from typing import Protocol

# More versions than a store gives out in one era; a write number stays exact
# in a JSON number for the first 8,191 eras.
VERSIONS_PER_ERA = 1 << 40


def write_number(era: int, version: int) -> int:
    """Return a number that rises with each write, also across restores.

    Args:
      era: Era of the store in which the version was given out.
      version: Version of the write.
    """
    return era * VERSIONS_PER_ERA + version


class Row(NamedTuple):
    """A row of a table.

    Attributes:
      key: Key of the row.
      value: Content; empty if the row was removed.
      version: Version of the transaction that last changed the row.
      is_removed: Whether that transaction removed the row.
    """

    key: str
    value: bytes
    version: int
    is_removed: bool = False


class StoreResult(NamedTuple):
    """Result of a call to the store.

    Attributes:
      rows: All rows of a snapshot, the changed rows of a feed, or the current
        row if a conditional write conflicted.
      version: Version of the store up to which the rows are current, or of the
        write.
      is_conflict: Whether a conditional write found another version than
        expected.
      era: Era of the store, which rises each time the store comes back from an
        older copy; 0 if the store states none. Versions of different eras must
        not be compared.
    """

    rows: tuple[Row, ...]
    version: int
    is_conflict: bool = False
    era: int = 0


class RowStore(Protocol):
    """Row store with conditional writes and a feed of changes."""

    async def read_table(self, table: str) -> StoreResult:
        """Read all rows of a table.

        Raises:
          errors.HistoryGoneError: The store was restored during the read.
          errors.StoreError: The store gave no usable answer.
        """
        ...

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> StoreResult:
        """Wait for changes of a table after a version.

        Args:
          table: Name of the table.
          after: Version after which changes are wanted.
          wait_s: Longest wait for a change, seconds; 0 returns at once.

        Returns:
          The changed rows, none if nothing changed in time, and the version up
          to which they are complete.

        Raises:
          errors.HistoryGoneError: The store no longer has these changes, or
            hasn't got to this version yet, since it was restored from a copy.
          errors.StoreError: The store gave no usable answer.
        """
        ...

    async def write(
        self, table: str, key: str, value: bytes, *, expected: int | None = None
    ) -> StoreResult:
        """Write a row, on condition of its version if one is given.

        Args:
          table: Name of the table.
          key: Key of the row.
          value: New content.
          expected: Version that the row must have, 0 for no row; None writes
            unconditionally.

        Returns:
          No rows and the version of the write; or the current row if it doesn't
          have the expected version.

        Raises:
          errors.StoreRefusedError: Nothing was written.
          errors.StoreError: The row may have been written, or may yet be.
        """
        ...
