"""Tests of writing claims again after a restore of their table."""

from typing import Any

from twisted.internet import defer

from nutmegscale import claim
from nutmegscale import claim_memory
from nutmegscale import platform_service
from nutmegscale import store_era


class _Table:
    """Table in which another program has written a row."""

    def __init__(self, odd: str) -> None:
        self._odd = odd
        self.written: list[str] = []

    async def read(self, key: str) -> platform_service.Row:
        """Return an empty row."""
        return platform_service.Row(0, b"")

    async def write(self, key: str, expect_version: int, value: bytes) -> Any:
        """Write a row, except for the odd one."""
        if key == self._odd:
            row = platform_service.Row(9, b"\x91" * 5000)
            return platform_service.Conflict(row)
        self.written.append(key)
        return platform_service.Written(expect_version + 10)


def test_a_row_that_is_no_claim_keeps_no_other_claim_from_being_written() -> (
    None
):
    table: Any = _Table("a")

    async def _sleep(seconds: float) -> None:
        return None

    memory = claim_memory.ClaimMemory(
        table, store_era.StoreEra(), now=lambda: 0.0, sleep=_sleep
    )
    for key in ("a", "b"):
        memory.keep(key, claim.ClaimRow("done", "x", "h", b"c"), 3)
    done: list[Any] = []
    defer.ensureDeferred(memory.write_again()).addBoth(done.append)
    assert done == [None]
    assert "b" in table.written and "a" not in table.written
