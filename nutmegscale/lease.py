"""Control lease with a fencing number, held by the host that gives orders.

The lease is a row of the platform's table. Clocks of different hosts are never
compared: the holder stops by its own monotonic clock, counted from before its
request, and a successor waits until it has seen the row unchanged for longer
than that.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

import msgspec

from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import platform_service

DURATION_S = 6.0
# The holder stops this long before the end, and a successor waits this long
# after it.
HOLDER_MARGIN_S = 2.0
TAKEOVER_MARGIN_S = 2.0


class LeaseRow(NamedTuple):
    """Content of the row of a lease.

    Attributes:
      holder: Host that holds it, or "" after it was released.
      fence: Fencing number; increases each time the lease is taken.
      renewals: Number of renewals, so that each one changes the row.
    """

    holder: str
    fence: int
    renewals: int


class LeaseTable(Protocol):
    """Table operations that a lease needs; see `platform_service.Platform`."""

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row | None:
        """Return a row, or None if it doesn't exist."""
        ...

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row if its version is as expected; 0 expects no row."""
        ...


class Lease:
    """One host's side of a lease; all its I/O goes through the table."""

    def __init__(
        self,
        table: LeaseTable,
        key: str,
        host: str,
        *,
        now: Callable[[], float],
        duration_s: float = DURATION_S,
    ) -> None:
        self._table = table
        self._key = key
        self._host = host
        self._now = now
        self._duration_s = duration_s
        self._valid_until = 0.0
        self._fence = 0
        self._last_change: tuple[int, float] = (-1, 0.0)

    @property
    def fence(self) -> int | None:
        """Fencing number while this host may give orders, else None.

        Read it again for each order: it becomes None as soon as the lease
        expires, also after a pause of this process.
        """
        return self._fence if self._now() < self._valid_until else None

    async def maintain(self) -> int | None:
        """Renew the lease, or take it if it is free or expired.

        Call it several times in each duration of the lease.

        Returns:
          The fencing number if the lease is held, else None.
        """
        started_at = self._now()
        try:
            row = await self._table.read(self._key)
            await self._renew_or_take(row, started_at)
        except errors.PlatformUnavailableError as exc:
            # A renewal whose answer was lost doesn't extend the lease here.
            logs.get().info("lease_not_renewed", key=self._key, why=str(exc))
        return self.fence

    async def _renew_or_take(
        self, row: platform_service.Row | None, started_at: float
    ) -> None:
        version = row.version if row else 0
        current = _decode(row)
        if current.holder == self._host and current.fence == self._fence:
            renewed = current._replace(renewals=current.renewals + 1)
            await self._write(version, renewed, started_at)
            return
        self._valid_until = 0.0
        if version != self._last_change[0]:
            self._last_change = (version, started_at)
        unchanged_s = started_at - self._last_change[1]
        has_expired = unchanged_s >= self._duration_s + TAKEOVER_MARGIN_S
        if not current.holder or has_expired:
            taken = LeaseRow(self._host, current.fence + 1, 0)
            await self._write(version, taken, started_at)

    async def _write(
        self, version: int, row: LeaseRow, started_at: float
    ) -> None:
        outcome = await self._table.write(
            self._key, version, msgspec.msgpack.encode(row)
        )
        if isinstance(outcome, platform_service.Written):
            self._fence = row.fence
            self._valid_until = started_at + self._duration_s - HOLDER_MARGIN_S
        else:
            self._valid_until = 0.0

    async def release(self) -> None:
        """Release the lease if held, so that a successor needn't wait."""
        self._valid_until = 0.0
        try:
            row = await self._table.read(self._key)
            current = _decode(row)
            if row and (current.holder, current.fence) == (
                self._host,
                self._fence,
            ):
                freed = LeaseRow("", current.fence, 0)
                await self._table.write(
                    self._key, row.version, msgspec.msgpack.encode(freed)
                )
        except errors.PlatformUnavailableError as exc:
            # The lease expires by itself.
            logs.get().info("lease_not_returned", key=self._key, why=str(exc))


def _decode(row: platform_service.Row | None) -> LeaseRow:
    if row is None:
        return LeaseRow("", 0, 0)
    return msgspec.msgpack.decode(row.value, type=LeaseRow)
