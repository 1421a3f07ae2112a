"""Platform on a virtual clock, with outages and lost answers."""

from typing import Any

from twisted.internet import task

from nutmegscale import errors
from nutmegscale import periodic
from nutmegscale import platform_service
from standins import fake_network

DELAY_S = fake_network.DELAY_S


class FakePlatform:
    """A `platform_service.Platform` that all hosts share."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.rows: dict[str, platform_service.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.listed: list[dict[str, Any]] = []
        self.is_down = False
        self.lose_answers = 0
        self.writes = 0

    async def _reach(self, host: str, network: fake_network.Network) -> None:
        await periodic.sleep(self.clock, DELAY_S)
        if self.is_down or network.is_cut(host, "platform"):
            await periodic.sleep(self.clock, 1.0)
            raise errors.PlatformUnavailableError("down")

    async def _answer(self) -> None:
        await periodic.sleep(self.clock, DELAY_S)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await periodic.sleep(self.clock, 1.0)
            raise errors.PlatformUnavailableError("answer lost")


class HostPlatform:
    """The platform as one host reaches it."""

    def __init__(
        self, shared: FakePlatform, network: fake_network.Network, host: str
    ) -> None:
        self._shared = shared
        self._network = network
        self._host = host

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row | None:
        """Read a row; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        row = self._shared.rows.get(key)
        if row is not None and row.version == known_version:
            return platform_service.Row(row.version, b"")
        return row

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        row = self._shared.rows.get(key) or platform_service.Row(0, b"")
        if row.version != expect_version:
            await self._shared._answer()
            return platform_service.Conflict(row)
        version = row.version + 1
        self._shared.rows[key] = platform_service.Row(version, value)
        self._shared.writes += 1
        await self._shared._answer()
        return platform_service.Written(version)

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        self._shared.objects[name] = content
        await self._shared._answer()

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        return self._shared.objects.get(name)

    async def hosts(self) -> list[dict[str, Any]]:
        """Read the host list; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        return list(self._shared.listed)
