"""Callers of the soak test whose requests crash each server that runs them."""

import random

from twisted.internet import defer

from nutmegscale import periodic
from tools import soak_callers
from tools import soak_world

# Servers that one content may take down by hosts that can know of each crash.
MAX_CRASHES = 2
PROMISE = "a crashing request takes two servers"
# A host can know of them if it wasn't started or signalled for this time,
# seconds, and has joined: `stableWindowMs` of the deployment's specification.
UNDISTURBED_S = 3.0
ATTEMPTS = 12
ANSWER_TIMEOUT_S = 3.0


class PoisonCallers:
    """Sends requests that crash their servers, and sends them again.

    Each content is a GET without a body that is sent to one host after the
    other, whatever the answer says. The next one follows after a pause.
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
        self._contents = 0
        self._informed: set[str] = set()
        self._sent_at: list[float] = []
        self._running: defer.Deferred[None] | None = None

    @property
    def contents(self) -> int:
        """Number of contents that were sent."""
        return self._contents

    @property
    def sent_at(self) -> list[float]:
        """When each request was sent, seconds of the reactor clock."""
        return self._sent_at

    def start(self) -> None:
        """Start sending."""
        self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop sending."""
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        reactor = self._deployment.reactor
        while True:
            await periodic.sleep(reactor, self._rng.uniform(1.0, 8.0))
            self._contents += 1
            path = f"{soak_world.POISON_PREFIX}{self._contents}"
            for attempt in range(ATTEMPTS):
                await self._send(path, f"poison-{self._contents}-{attempt}")
                await periodic.sleep(reactor, self._rng.choice((0.0, 0.2, 1.0)))

    async def _send(self, path: str, request: str) -> None:
        host = self._rng.choice(self._deployment.hosts)
        connection = await self._callers.connect(host)
        if connection is None:
            return
        now = self._deployment.reactor.seconds()
        if now - host.disturbed_at > UNDISTURBED_S and host.has_joined:
            self._informed.add(request)
        self._sent_at.append(now)
        connection.transport.write(
            f"GET {path} HTTP/1.1\r\nHost: clubs.example\r\n"
            f"Request-Id: {request}\r\nDeadline-Ms: 1500\r\n\r\n".encode()
        )
        await self._callers.wait_for_answer(connection, ANSWER_TIMEOUT_S)
        connection.transport.abortConnection()

    def check(self) -> None:
        """Check how many servers each content took down."""
        runs = self._callers.all_runs()
        for number in range(1, self._contents + 1):
            prefix = f"poison-{number}-"
            crashes = [
                name
                for name in runs
                if name.startswith(prefix) and name in self._informed
            ]
            if len(crashes) > MAX_CRASHES:
                self._callers.record_violation(
                    PROMISE,
                    prefix,
                    f"{len(crashes)} crashes: {' '.join(crashes)}",
                )
