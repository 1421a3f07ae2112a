"""Eras of the platform's store, which may come back from an older copy.

Each restore begins a new era. What was written after the copy was made is
gone, and versions are given out again, so nothing that was read in one era may
be compared with what is read in another.
"""

from collections.abc import Callable
import math
from typing import Any

from nutmegscale import logs
from nutmegscale import platform_service
from nutmegscale import row_store


class StoreEra:
    """The store's era as this host has seen it; no I/O.

    Args:
      is_first_start: Whether the whole system starts for the first time. Then
        nothing can have been written before the first era that is seen.
    """

    def __init__(self, *, is_first_start: bool = False) -> None:
        self._is_first_start = is_first_start
        self._era: int | None = None
        self._seen_at = 0.0

    @property
    def era(self) -> int:
        """The latest era that was seen, 0 before the first."""
        return self._era or 0

    def observe(self, now: float, era: int) -> bool:
        """Record the era of an answer.

        Args:
          now: Time of the answer, seconds.
          era: Era that the answer states.

        Returns:
          Whether the store was restored since the last answer.
        """
        if self._era is not None and era <= self._era:
            # An answer that was delayed on its way may be from an older era.
            return False
        is_restored = self._era is not None
        self._is_first_start = self._is_first_start and not is_restored
        self._era, self._seen_at = era, now
        return is_restored

    def known_s(self, now: float, era: int) -> float:
        """Return for how long this host has known that an era has begun.

        Args:
          now: Current time by the clock of `observe`, seconds.
          era: The era.

        Returns:
          Time since this host first saw the era, seconds; infinite if the
          system started in it, and 0 if another one was seen last.
        """
        if era != self._era:
            return 0.0
        if self._is_first_start:
            return math.inf
        return now - self._seen_at


class EraWatch:
    """Records the era of every answer, and reports restores.

    Args:
      era: Where the era is recorded.
      now: Current time, seconds.
      on_restored: Called before the first answer of a new era is used.
    """

    def __init__(
        self,
        era: StoreEra,
        *,
        now: Callable[[], float],
        on_restored: Callable[[], None],
    ) -> None:
        self._era = era
        self._now = now
        self._on_restored = on_restored

    def observe(self, era: int) -> None:
        """Record the era that an answer states."""
        before = self._era.era
        if self._era.observe(self._now(), era):
            logs.get().warning("store_restored", era=era, before=before)
            self._on_restored()


class EraStore:
    """A `row_store.RowStore` whose answers are watched."""

    def __init__(self, store: row_store.RowStore, watch: EraWatch) -> None:
        self._store = store
        self._watch = watch

    async def read_table(self, table: str) -> row_store.StoreResult:
        """Read all rows of a table; see `row_store.RowStore`."""
        return self._observe(await self._store.read_table(table))

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> row_store.StoreResult:
        """Wait for changes of a table; see `row_store.RowStore`."""
        return self._observe(await self._store.follow(table, after, wait_s))

    async def write(
        self, table: str, key: str, value: bytes, *, expected: int | None = None
    ) -> row_store.StoreResult:
        """Write a row; see `row_store.RowStore`."""
        return self._observe(
            await self._store.write(table, key, value, expected=expected)
        )

    def _observe(self, result: row_store.StoreResult) -> row_store.StoreResult:
        self._watch.observe(result.era)
        return result


class EraPlatform:
    """A `platform_service.Platform` whose answers are watched."""

    def __init__(
        self, platform: platform_service.Platform, watch: EraWatch
    ) -> None:
        self._platform = platform
        self._watch = watch

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row:
        """Read a row; see `platform_service.Platform`."""
        row = await self._platform.read(key, known_version)
        self._watch.observe(row.era)
        return row

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row; see `platform_service.Platform`."""
        outcome = await self._platform.write(key, expect_version, value)
        if isinstance(outcome, platform_service.Written):
            self._watch.observe(outcome.era)
        else:
            self._watch.observe(outcome.current.era)
        return outcome

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; see `platform_service.Platform`."""
        await self._platform.put_object(name, content)

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; see `platform_service.Platform`."""
        return await self._platform.get_object(name)

    async def hosts(self) -> list[dict[str, Any]] | None:
        """Read the host list; see `platform_service.Platform`."""
        return await self._platform.hosts()
