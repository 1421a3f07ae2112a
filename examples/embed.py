"""Uses the coordination modules without the daemon.

Run it with `python -m examples.embed`. It shows the membership of three
hosts, the control lease and the slot ledger, each independent of the others.
"""

from collections import deque

from twisted.internet import defer

from nutmegscale import lease
from nutmegscale import ledger
from nutmegscale import membership
from nutmegscale import platform_service


class MemoryTable:
    """An in-memory table that replaces the platform's table."""

    def __init__(self) -> None:
        self._rows: dict[str, platform_service.Row] = {}

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row:
        """Read a row."""
        return self._rows.get(key, platform_service.Row(0, b""))

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row if its version is the expected one, 0 for a new row."""
        row = self._rows.get(key, platform_service.Row(0, b""))
        if row.version != expect_version:
            return platform_service.Conflict(row)
        self._rows[key] = platform_service.Row(row.version + 1, value)
        return platform_service.Written(row.version + 1)

    async def put_object(self, name: str, content: bytes) -> None:
        """Not used in this example."""
        raise NotImplementedError

    async def get_object(self, name: str) -> bytes | None:
        """Not used in this example."""
        raise NotImplementedError

    async def hosts(self) -> None:
        """Not used in this example."""
        raise NotImplementedError


def show_membership() -> list[str]:
    """Let two of three hosts detect that the third one doesn't answer."""
    names = ["a", "b", "c"]
    views = {
        name: membership.Membership(name, "domain", f"tcp://{name}")
        for name in names
    }
    for view in views.values():
        for name in names:
            view.add_host(0.0, name, "domain", f"tcp://{name}")
    now = 0.0
    while now < 10.0:
        now += 0.1
        for name in ("a", "b"):
            waiting = deque((name, item) for item in views[name].tick(now))
            while waiting:
                sender, item = waiting.popleft()
                if item.host == "c":
                    continue
                replies = views[item.host].receive(now, sender, item.message)
                waiting.extend((item.host, reply) for reply in replies)
    return views["a"].alive()


async def show_lease() -> tuple[int | None, int | None]:
    """Let two hosts request one lease.

    Returns:
      The fencing number of each host; None for the one that doesn't hold it.
    """
    table = MemoryTable()
    first = lease.Lease(table, "lease/domain", "a", now=lambda: 1.0)
    second = lease.Lease(table, "lease/domain", "b", now=lambda: 1.0)
    return await first.maintain(), await second.maintain()


def show_ledger() -> int:
    """Reserve two slots of a worker, free one and count those held."""
    slots = ledger.Ledger()
    for exchange in ("x", "y"):
        slots.reserve(
            ledger.Reservation(
                exchange, "caller", "w", 1.0, 50.0, 2.0, None, False
            )
        )
    slots.release("x")
    return slots.count("w")


def main() -> None:
    """Run each part and print its result."""
    print("alive:", ", ".join(show_membership()))
    fences: list[tuple[int | None, int | None]] = []
    defer.ensureDeferred(show_lease()).addCallback(fences.append)
    print("fences:", *fences[0])
    print("slots held:", show_ledger())


if __name__ == "__main__":
    main()
