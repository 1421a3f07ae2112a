"""Platform on a virtual clock, with outages and lost answers."""

from typing import Any

from twisted.internet import task

from nutmegscale import errors
from nutmegscale import periodic
from nutmegscale import platform_service
from standins import fake_network

DELAY_S = fake_network.DELAY_S


class FakePlatform:
    """State of the platform that all hosts share, and its faults.

    Attributes:
      rows: Rows by key.
      objects: Stored objects by name.
      host_list: Entries of hosts and backend servers.
      is_down: Whether every call times out.
      lose_answers: Number of coming writes whose answer is lost.
      write_count: Number of rows written.
      era: Number of times that the table was restored.
    """

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.rows: dict[str, platform_service.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.host_list: list[dict[str, Any]] = []
        self.is_down = False
        self.lose_answers = 0
        self.write_count = 0
        self.era = 0
        self._log: list[tuple[float, str, platform_service.Row]] = []

    def put_row(self, key: str, value: bytes) -> int:
        """Write a row and return its new version."""
        known = self.rows.get(key)
        row = platform_service.Row(known.version + 1 if known else 1, value)
        self.rows[key] = row
        self.write_count += 1
        self._log.append((self.clock.seconds(), key, row))
        return row.version

    def restore(self, age_s: float) -> None:
        """Replace the rows by a copy that is some seconds old."""
        latest = self.clock.seconds() - age_s
        self._log = [entry for entry in self._log if entry[0] <= latest]
        self.rows = {key: row for _, key, row in self._log}
        self.era += 1

    async def deliver_request(
        self, host: str, network: fake_network.Network
    ) -> None:
        """Deliver a host's request; fail if the platform is unreachable."""
        await periodic.sleep(self.clock, DELAY_S)
        if self.is_down or network.is_cut(host, "platform"):
            await periodic.sleep(self.clock, 1.0)
            raise errors.PlatformUnavailableError(
                f"platform is unreachable from {host}"
            )

    async def deliver_answer(self) -> None:
        """Deliver the answer to a write, or lose it."""
        await periodic.sleep(self.clock, DELAY_S)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await periodic.sleep(self.clock, 1.0)
            raise errors.PlatformUnavailableError(
                "answer of the platform was lost"
            )


class FakePlatformClient:
    """`platform_service.Platform` of one host."""

    def __init__(
        self, platform: FakePlatform, network: fake_network.Network, host: str
    ) -> None:
        self._platform = platform
        self._network = network
        self._host = host

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row:
        """Read a row; see `platform_service.Platform`."""
        await self._platform.deliver_request(self._host, self._network)
        era = self._platform.era
        row = self._platform.rows.get(key)
        if row is None:
            return platform_service.Row(0, b"", era)
        if row.version == known_version:
            return platform_service.Row(row.version, b"", era)
        return row._replace(era=era)

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row; see `platform_service.Platform`."""
        await self._platform.deliver_request(self._host, self._network)
        era = self._platform.era
        row = self._platform.rows.get(key) or platform_service.Row(0, b"")
        if row.version != expect_version:
            await self._platform.deliver_answer()
            return platform_service.Conflict(row._replace(era=era))
        version = self._platform.put_row(key, value)
        await self._platform.deliver_answer()
        return platform_service.Written(version, era)

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; see `platform_service.Platform`."""
        await self._platform.deliver_request(self._host, self._network)
        self._platform.objects[name] = content
        await self._platform.deliver_answer()

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; see `platform_service.Platform`."""
        await self._platform.deliver_request(self._host, self._network)
        return self._platform.objects.get(name)

    async def hosts(self) -> list[dict[str, Any]]:
        """Read the host list; see `platform_service.Platform`."""
        await self._platform.deliver_request(self._host, self._network)
        return list(self._platform.host_list)
