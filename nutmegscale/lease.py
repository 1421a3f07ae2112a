"""Control lease with a fencing number, held by the host that gives orders.

The lease is a row of the platform's table. Clocks of different hosts are never
compared: the holder stops by its own monotonic clock, counted from before its
request, and a successor waits until it has seen the row unchanged for longer
than that.

The table may be restored from an older copy, which begins a new era. The row is
then missing or shows an earlier holder, and the last one may not know it yet. A
successor waits until the lease of every holder of an earlier era has expired.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import Protocol

import msgspec

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import platform_service
from nutmegscale import row_store

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
      era: Era of the table in which the row was written.
    """

    holder: str
    fence: int
    renewals: int
    era: int = 0


_row_decoder: decoding.Decoder[LeaseRow] = decoding.Decoder(LeaseRow, "msgpack")


class LeaseTable(Protocol):
    """Table operations that a lease needs; see `platform_service.Platform`."""

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row:
        """Return a row, with version 0 if it doesn't exist."""
        ...

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row if its version is as expected; 0 expects no row."""
        ...


def _unknown_begin(era: int) -> float:
    """Return that it isn't known for how long an era has lasted."""
    return 0.0


class Lease:
    """One host's side of a lease; all its I/O goes through the table.

    Args:
      table: Table with the row.
      key: Key of the row.
      host: Name of this host.
      now: Current time of a clock that runs on in a suspension, seconds.
      duration_s: Time for which a row counts after it was written, seconds.
      era_known_s: Returns for how long this host has known that an era of the
        table has begun, seconds.
    """

    def __init__(
        self,
        table: LeaseTable,
        key: str,
        host: str,
        *,
        now: Callable[[], float],
        duration_s: float = DURATION_S,
        era_known_s: Callable[[int], float] = _unknown_begin,
    ) -> None:
        self._table = table
        self._key = key
        self._host = host
        self._now = now
        self._duration_s = duration_s
        self._era_known_s = era_known_s
        self._valid_until = 0.0
        self._fence = 0
        self._last_change: tuple[tuple[int, int], float] = ((-1, -1), 0.0)

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
        self, row: platform_service.Row, started_at: float
    ) -> None:
        current = _decode(row)
        if self._is_own(row, current, started_at):
            renewed = LeaseRow(
                self._host, self._fence, current.renewals + 1, row.era
            )
            await self._write(row, renewed, started_at)
            return
        self._valid_until = 0.0
        if (row.era, row.version) != self._last_change[0]:
            self._last_change = ((row.era, row.version), started_at)
        if self._is_free(row, current, started_at):
            # Above each earlier number: of this era, since the row had a lower
            # version when it was taken before, and of earlier eras.
            fence = row_store.write_number(row.era, row.version + 1)
            taken = LeaseRow(self._host, fence, 0, row.era)
            await self._write(row, taken, started_at)

    def _is_own(
        self, row: platform_service.Row, current: LeaseRow, started_at: float
    ) -> bool:
        """Whether this host holds the lease and may renew it."""
        if current.era == row.era:
            return (current.holder, current.fence) == (self._host, self._fence)
        # The row is missing or was restored, so it doesn't show the last
        # holder. No other host takes the lease before that one's time is over.
        return started_at < self._valid_until

    def _is_free(
        self, row: platform_service.Row, current: LeaseRow, started_at: float
    ) -> bool:
        """Whether no other host may hold the lease any more."""
        wait_s = self._duration_s + TAKEOVER_MARGIN_S
        if started_at - self._last_change[1] >= wait_s:
            return True
        if not row.version:
            # The row of a holder may be lost only if there was an earlier era.
            return not row.era or self._era_known_s(row.era) >= wait_s
        # A row of another era may be a write that was delayed on its way, so
        # it doesn't show that nobody holds the lease.
        return not current.holder and current.era == row.era

    async def _write(
        self, read: platform_service.Row, row: LeaseRow, started_at: float
    ) -> None:
        """Write the row on condition that it still is as it was read."""
        outcome = await self._table.write(
            self._key, read.version, msgspec.msgpack.encode(row)
        )
        # If the table was restored in between, the condition compared versions
        # of two eras.
        if (
            isinstance(outcome, platform_service.Written)
            and outcome.era == read.era
        ):
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
            if (current.holder, current.fence, current.era) == (
                self._host,
                self._fence,
                row.era,
            ):
                freed = LeaseRow("", current.fence, 0, row.era)
                await self._table.write(
                    self._key, row.version, msgspec.msgpack.encode(freed)
                )
        except errors.PlatformUnavailableError as exc:
            # The lease expires by itself.
            logs.get().info("lease_not_returned", key=self._key, why=str(exc))


def _decode(row: platform_service.Row) -> LeaseRow:
    """Decode the row of a lease.

    Raises:
      errors.PlatformUnavailableError: The content isn't a lease, so its fencing
        number isn't known and the lease can't be taken.
    """
    if not row.version:
        return LeaseRow("", 0, 0)
    try:
        return _row_decoder.decode(row.value)
    except errors.MalformedDataError as exc:
        raise errors.PlatformUnavailableError(
            f"malformed lease row: {exc}"
        ) from exc
