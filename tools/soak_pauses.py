"""Backend servers of the soak test that ask for pauses, or say they leave."""

import random
from typing import Any

from twisted.internet import defer

from nutmegscale import periodic
from standins import platform_worker
from tools import soak_callers
from tools import soak_world

PROMISE = "no host sends to a server in its pause"
LEAVING_PROMISE = "no host sends to a server that told it that it leaves"
# Time for which a leaving server still answers, seconds.
LEAVES_AFTER_S = 3.0
PAUSE_S = 3.0
# Time for requests that were on their way when a server asked, seconds.
IN_FLIGHT_S = 0.5


class PausingServers:
    """Lets servers turn requests away for a time and ask for pauses."""

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        callers: soak_callers.Callers,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._callers = callers
        self._rng = rng
        self._servers: list[platform_worker.PlatformWorker] = []
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start asking for pauses."""
        self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop asking for pauses."""
        if self._running is not None:
            self._running.cancel()
        for server in self._servers:
            server.is_full, server.pause = False, ""

    async def _run(self) -> None:
        reactor: Any = self._deployment.reactor
        while True:
            await periodic.sleep(reactor, self._rng.uniform(0.5, 3.0))
            name = self._rng.choice(sorted(self._deployment.workers))
            server = self._deployment.workers[name].server
            self._servers.append(server)
            server.is_full, server.pause = True, str(PAUSE_S)
            # It has recovered before the pauses end.
            await periodic.sleep(reactor, self._rng.uniform(0.2, 1.0))
            server.is_full, server.pause = False, ""

    def check(self) -> tuple[int, int]:
        """Check what reached servers in their pauses.

        Returns:
          Number of pauses that were asked for, and of requests within one.
        """
        servers = list({id(s): s for s in self._servers}.values())
        pauses = sum(len(server.pause_contacts) for server in servers)
        late = [
            f"{server.id} from {arrival.host}"
            for server in servers
            for arrival in server.arrivals
            if any(
                IN_FLIGHT_S < arrival.at - contact.at < PAUSE_S
                and arrival.host == contact.host
                for contact in server.pause_contacts
            )
        ]
        for detail in late:
            self._callers.record_violation(PROMISE, "", detail)
        return pauses, len(late)


class LeavingServers:
    """Lets servers say in their answers that they leave, and replaces them.

    Their entries say that they are ready until they are gone.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        callers: soak_callers.Callers,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._callers = callers
        self._rng = rng
        self._servers: list[platform_worker.PlatformWorker] = []
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start replacing servers."""
        self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop replacing servers."""
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        reactor: Any = self._deployment.reactor
        while True:
            await periodic.sleep(reactor, self._rng.uniform(2.0, 5.0))
            name = self._rng.choice(sorted(self._deployment.workers))
            server = self._deployment.workers[name].server
            self._servers.append(server)
            server.is_leaving = True
            await periodic.sleep(reactor, LEAVES_AFTER_S)
            self._deployment.remove_worker(name)
            self._deployment.add_worker(name, server.stage)

    def check(self) -> tuple[int, int]:
        """Check what reached servers from hosts that were told.

        Returns:
          Number of servers that left, and of requests of told hosts.
        """
        late = [
            f"{server.id} from {host} after {age_s:.2f} s"
            for server in self._servers
            for host, age_s in server.arrivals_after(server.leaving_contacts)
            if age_s > IN_FLIGHT_S
        ]
        for detail in late:
            self._callers.record_violation(LEAVING_PROMISE, "", detail)
        return len(self._servers), len(late)
