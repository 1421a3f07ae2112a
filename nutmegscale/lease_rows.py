"""Lease rows in the platform's row store."""

from nutmegscale import errors
from nutmegscale import platform_service
from nutmegscale import row_store

TABLE = "nutmegscale-leases"


class LeaseRows:
    """`lease.LeaseTable` backed by a row store."""

    def __init__(self, store: row_store.RowStore) -> None:
        self._store = store

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row:
        """Return a row; see `lease.LeaseTable`."""
        try:
            found = await self._store.read_table(TABLE)
        except errors.StoreError as exc:
            raise errors.PlatformUnavailableError(str(exc)) from exc
        for row in found.rows:
            if row.key == key:
                return platform_service.Row(row.version, row.value, found.era)
        return platform_service.Row(0, b"", found.era)

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row; see `lease.LeaseTable`."""
        try:
            done = await self._store.write(
                TABLE, key, value, expected=expect_version
            )
        except errors.StoreError as exc:
            raise errors.PlatformUnavailableError(str(exc)) from exc
        if done.rows or done.is_conflict:
            row = done.rows[0] if done.rows else None
            current = platform_service.Row(
                row.version if row else 0, row.value if row else b"", done.era
            )
            return platform_service.Conflict(current)
        return platform_service.Written(done.version, done.era)
