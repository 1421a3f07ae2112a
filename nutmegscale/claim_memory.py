"""Claims that this host made lately, to write them again after a restore.

The platform's table may come back from an older copy. A claim that was made
since is then missing, or shows an earlier state, and a repeat of its call would
run it once more. Each host writes its own claims again at once. Until all hosts
had time for that, no new claim counts, since an earlier one may be lost.
"""

from collections import OrderedDict
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from nutmegscale import claim
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import platform_service
from nutmegscale import store_era

# How long a claim is kept, seconds: longer than a copy of the table is old.
RETENTION_S = 120.0
MAX_KEPT = 10_000
# Time after a restore for which no new claim counts, seconds: a few polls of
# the configuration, by which each host finds out about the restore, and the
# writes of its claims. Writes from before the restore, the repeats of
# `claim.RECORD_TRIES` and those delayed on their way among them, end earlier.
SETTLE_S = 15.0
WRITE_PAUSE_S = 0.5
# Row with the latest era in which all claims were written again. A host that
# starts later doesn't know when the era began.
SETTLED_KEY = "claims-settled"

_era_decoder: decoding.Decoder[int] = decoding.Decoder(
    decoding.Natural, "msgpack"
)


class _KeptClaim(NamedTuple):
    """Latest state of a claim.

    Attributes:
      row: Content of its row.
      version: Latest known version of the row.
      since: When the state was reached, seconds.
    """

    row: claim.ClaimRow
    version: int
    since: float


class ClaimMemory:
    """Claims of this host; implements `claim.Memory`.

    Args:
      table: Table with the claims.
      era: Era of the table.
      now: Current time, seconds.
      sleep: Waits for a time in seconds.
    """

    def __init__(
        self,
        table: platform_service.Platform,
        era: store_era.StoreEra,
        *,
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
    ) -> None:
        self._table = table
        self._era = era
        self._now = now
        self._sleep = sleep
        self._kept: OrderedDict[str, _KeptClaim] = OrderedDict()
        self._settled_era = 0

    def __len__(self) -> int:
        return len(self._kept)

    @property
    def era(self) -> int:
        """Latest known era of the table."""
        return self._era.era

    def keep(self, key: str, row: claim.ClaimRow, version: int) -> None:
        """Keep the state of a claim that this host decided."""
        self._kept.pop(key, None)
        if row.state != "free":
            self._kept[key] = _KeptClaim(row, version, self._now())
        oldest = self._now() - RETENTION_S
        while self._kept:
            first = next(iter(self._kept))
            if len(self._kept) <= MAX_KEPT and self._kept[first].since > oldest:
                break
            del self._kept[first]

    async def unsettled_s(self, era: int) -> float:
        """Return for how long claims of an era don't count yet, seconds."""
        if era <= self._settled_era:
            return 0.0
        left_s = SETTLE_S - self._era.known_s(self._now(), era)
        if left_s > 0.0 and await self._read_settled_era() < era:
            return left_s
        self._settled_era = era
        return 0.0

    async def _read_settled_era(self) -> int:
        try:
            row = await self._table.read(SETTLED_KEY)
        except errors.PlatformUnavailableError as exc:
            logs.get().info("settled_era_unknown", why=str(exc))
            return -1
        return _decode_era(row)

    async def write_again(self) -> None:
        """Write the claims again, and then that all hosts had time for it."""
        era = self._era.era
        began_at = self._now()
        for key, kept in list(self._kept.items()):
            await self._write_claim(key, kept)
        logs.get().info("claims_written_again", claims=len(self._kept), era=era)
        await self._sleep(max(0.0, began_at + SETTLE_S - self._now()))
        if self._era.era == era:
            await self._write_settled_era(era)

    async def _write_claim(self, key: str, kept: _KeptClaim) -> None:
        """Write a claim until its version is higher than before the restore.

        A write that was read before the restore then finds another version. The
        final state comes last, so that no such write can replace it.
        """
        version = 0
        open_row = kept.row._replace(state="claimed", answer=None)
        while self._kept.get(key) == kept:
            row = kept.row if version >= kept.version else open_row
            try:
                outcome = await self._table.write(
                    key, version, claim.encode_row(row)
                )
            except errors.PlatformUnavailableError:
                await self._sleep(WRITE_PAUSE_S)
                continue
            if isinstance(outcome, platform_service.Written):
                version = outcome.version
                if version > kept.version:
                    return
                continue
            # Other than a final row, the row is an earlier state of the claim
            # or an earlier attempt: no attempt of this era counts yet.
            current = outcome.current
            version = current.version
            if version and _is_final_row(key, current.value):
                return

    async def _write_settled_era(self, era: int) -> None:
        row = await self._table.read(SETTLED_KEY)
        if _decode_era(row) < era:
            await self._table.write(
                SETTLED_KEY, row.version, msgspec.msgpack.encode(era)
            )


def _is_final_row(key: str, value: bytes) -> bool:
    """Whether a row must not be written over.

    One that isn't a claim stays as it is: another program wrote it.
    """
    try:
        row = claim.decode_row(value)
    except errors.PlatformUnavailableError as exc:
        logs.get().warning("claim_not_written", key=key, why=str(exc))
        return True
    return row.state in ("done", "unknown")


def _decode_era(row: platform_service.Row) -> int:
    if not row.version:
        return 0
    try:
        return _era_decoder.decode(row.value)
    except errors.MalformedDataError as exc:
        raise errors.PlatformUnavailableError(
            f"malformed row {SETTLED_KEY}: {exc}"
        ) from exc
