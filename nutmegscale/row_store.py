"""What the hosts need of a store of versioned rows, whatever its wire form."""

from typing import NamedTuple
from typing import Protocol


class Row(NamedTuple):
    """A row of a table.

    Attributes:
      key: Its key.
      value: Its bytes; empty if it was removed.
      version: Version of the transaction that wrote it.
      is_removed: Whether that transaction removed it.
    """

    key: str
    value: bytes
    version: int
    is_removed: bool = False


class StoreResult(NamedTuple):
    """Rows as of a version, or that changed up to it.

    Attributes:
      rows: The rows.
      version: The version.
      is_conflict: Whether a conditional write found another version.
    """

    rows: tuple[Row, ...]
    version: int
    is_conflict: bool = False


class RowStore(Protocol):
    """Store of rows with conditional writes and a feed of changes."""

    async def read_table(self, table: str) -> StoreResult:
        """Read all rows of a table.

        Raises:
          errors.StoreError: No usable answer.
        """
        ...

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> StoreResult:
        """Wait for changes of a table after a version.

        Raises:
          errors.HistoryGoneError: The store no longer has them.
          errors.StoreError: No usable answer.
        """
        ...

    async def write(
        self, table: str, key: str, value: bytes, *, expected: int | None = None
    ) -> StoreResult:
        """Write a row, if it has the expected version where one is given.

        Returns:
          No rows and the version of the write, or the row as it stands where
          it hasn't the expected version.

        Raises:
          errors.StoreRefusedError: Nothing was written.
          errors.StoreError: It may have been written, or may be yet.
        """
        ...
