"""Interface of the platform for hosts, independent of its wire format."""

from typing import Any
from typing import NamedTuple
from typing import Protocol


class Row(NamedTuple):
    """A row of the platform's table.

    Attributes:
      version: Version of the row, which rises with each write in an era; 0
        means that there is no row.
      value: Content; empty if the reader already knew this version.
      era: Era of the table, which rises each time the platform restores it
        from an older copy; 0 if the platform states none.
    """

    version: int
    value: bytes
    era: int = 0


class Written(NamedTuple):
    """Outcome of a conditional write that took effect.

    Attributes:
      version: The new version of the row.
      era: Era of the table; see `Row`.
    """

    version: int
    era: int = 0


class Conflict(NamedTuple):
    """Outcome of a conditional write that found another version.

    Attributes:
      current: The row as it is.
    """

    current: Row


class Platform(Protocol):
    """Table with conditional writes, object store and host list.

    Every method raises errors.PlatformUnavailableError if the platform gave no
    answer; a write may then have taken effect, or may take effect later.
    """

    async def read(self, key: str, known_version: int = 0) -> Row:
        """Read a row.

        Args:
          key: Key of the row.
          known_version: Version whose value is already known; 0 for none.

        Returns:
          The row, without its value if it has the known version; a row with
          version 0 if there is none.
        """
        ...

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> Written | Conflict:
        """Write a row if it has the expected version; 0 expects no row."""
        ...

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object."""
        ...

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; None if it doesn't exist."""
        ...

    async def hosts(self) -> list[dict[str, Any]] | None:
        """Read the list of live and leaving hosts, which may be out of date.

        Returns:
          The rows, or None if they haven't changed since the last read.
        """
        ...
