"""What the hosts need of the platform, whatever its wire form."""

from typing import Any
from typing import NamedTuple
from typing import Protocol


class Row(NamedTuple):
    """A row of the platform's table.

    Attributes:
      version: Grows by one with each write, from 1; 0 means no row.
      value: Content; empty when only the version was asked for.
    """

    version: int
    value: bytes


class Written(NamedTuple):
    """A conditional write took effect."""

    version: int


class Conflict(NamedTuple):
    """A conditional write found another version."""

    current: Row


class Platform(Protocol):
    """Table with conditional writes, object store and host list.

    Every method raises errors.PlatformUnavailableError when no answer came;
    a write may then have taken effect, now or later.
    """

    async def read(self, key: str, known_version: int = 0) -> Row | None:
        """Read a row, or None; its value is empty when the version is known."""
        ...

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> Written | Conflict:
        """Write a row if its version is as expected; 0 means no row yet."""
        ...

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object."""
        ...

    async def get_object(self, name: str) -> bytes | None:
        """Read an object, or None when there is none."""
        ...

    async def hosts(self) -> list[dict[str, Any]] | None:
        """Read the list of live and leaving hosts, which lags.

        Returns:
          The rows, or None when they are those of the last read.
        """
        ...
