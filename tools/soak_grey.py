"""Backend servers of the soak test that fail or reject while they run."""

import random
from typing import Any

from twisted.internet import defer

from nutmegscale import periodic
from tools import soak_world

FAILING_SHARE = 0.8
FAILURE_STATUS = 500
REJECTS_EVERY = 2


class GreyServers:
    """Lets most backend servers fail part of their requests for some seconds.

    At times all hosts are killed meanwhile, with the store refusing writes, so
    that hosts which haven't found each other serve while servers fail.
    """

    def __init__(
        self, deployment: soak_world.SoakDeployment, rng: random.Random
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start injecting failures."""
        self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop injecting failures, and heal all servers."""
        if self._running is not None:
            self._running.cancel()
        self._heal()

    async def _run(self) -> None:
        reactor: Any = self._deployment.reactor
        while True:
            await periodic.sleep(reactor, self._rng.uniform(0.5, 3.0))
            self._fail_some()
            if self._rng.random() < 0.5:
                self._restart_hosts_unjoined()
            await periodic.sleep(reactor, self._rng.uniform(5.0, 10.0))
            self._heal()

    def _fail_some(self) -> None:
        for name in sorted(self._deployment.workers):
            if self._rng.random() < FAILING_SHARE:
                server = self._deployment.workers[name].server
                server.status = FAILURE_STATUS
                server.rejects_every = REJECTS_EVERY

    def _restart_hosts_unjoined(self) -> None:
        """Kill all hosts; those that start don't get answers to writes."""
        self._deployment.store.loses_answers = True
        for host in self._deployment.hosts:
            host.restart()

    def _heal(self) -> None:
        self._deployment.store.loses_answers = False
        for worker in self._deployment.workers.values():
            worker.server.status = 200
            worker.server.rejects_every = 0
