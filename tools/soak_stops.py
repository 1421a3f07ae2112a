"""Planned stops of hosts in the soak test, with calls late in the grace."""

import random
import signal
from typing import Any

from twisted.internet import defer

from nutmegscale import periodic
from tools import soak_callers
from tools import soak_world

PROMISE = "a planned stop leaves no call without an answer"
# Streams last longer than the grace of a host.
EVENT_COUNT = 300
# The last streams are short, so that slots are free in the end.
LAST_EVENT_COUNT = 8
SERVICE_TIMES_S = {"w1": 0.1, "w2": 0.3, "w3": 0.6}
PLAIN_SLOTS = 40
LATE_CALL_PERIOD_S = 0.1
# A second signal comes within this time.
SECOND_SIGNAL_S = 4.0
RESTART_POLL_S = 0.1
# Longest time from the end of the grace until the process is gone, seconds.
END_S = 1.0


class PlannedStops:
    """Stops one host after the other, and lets another one stand still.

    Callers open new connections to the host that stops, up to its end, and send
    calls that must not run twice. Beside it a worker of another software
    version takes the place of one, while a host stands still.

    Attributes:
      stops: Name of each host that was stopped, and when, seconds of the
        reactor clock.
      late_calls: Calls that were sent to a host while it stopped.
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
        self.stops: list[tuple[str, float]] = []
        self.late_calls = 0
        self._pending: list[defer.Deferred[Any]] = []
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start stopping hosts."""
        self._set_times()
        self._running = periodic.spawn(self._run())

    async def stop(self) -> None:
        """Stop, once the present stop and its calls have ended."""
        if self._running is not None:
            self._running.cancel()
            self._set_times(event_count=LAST_EVENT_COUNT)
        await defer.DeferredList(self._pending)

    def _set_times(self, *, event_count: int = EVENT_COUNT) -> None:
        for name, worker in self._deployment.workers.items():
            worker.server.event_count = event_count
            if name in SERVICE_TIMES_S:
                worker.server.service_time_s = SERVICE_TIMES_S[name]
                worker.server.slots = PLAIN_SLOTS

    async def _run(self) -> None:
        reactor: Any = self._deployment.reactor
        while True:
            await periodic.sleep(reactor, self._rng.uniform(2.0, 3.0))
            stopped, frozen = self._rng.sample(self._deployment.hosts, 2)
            self._pending.append(periodic.spawn(self._stop_host(stopped)))
            self._freeze(frozen)
            self._release()
            await periodic.sleep(reactor, soak_world.GRACE_S + 2.0)

    async def _stop_host(self, host: soak_world.Host) -> None:
        """Stop a host, call it up to its end, and start it again."""
        reactor: Any = self._deployment.reactor
        self.stops.append((host.name, reactor.seconds()))
        self._signal(host, signal.SIGTERM)
        if self._rng.random() < 0.5:
            reactor.callLater(
                self._rng.uniform(0.1, SECOND_SIGNAL_S),
                self._signal,
                host,
                signal.SIGTERM,
            )
        calls = []
        while host.is_running:
            calls.append(periodic.spawn(self._call(host)))
            await periodic.sleep(reactor, LATE_CALL_PERIOD_S)
        await defer.DeferredList(calls)
        host.start()
        host.disturbed_at = reactor.seconds()

    async def _call(self, host: soak_world.Host) -> None:
        if await self._callers.send_once(host, "confirm"):
            self.late_calls += 1

    def _freeze(self, host: soak_world.Host) -> None:
        """Let a host stand still for some seconds."""
        self._signal(host, signal.SIGSTOP)
        self._deployment.reactor.callLater(
            self._rng.uniform(0.3, 4.0), self._signal, host, signal.SIGCONT
        )

    def _signal(self, host: soak_world.Host, number: int) -> None:
        host.disturbed_at = self._deployment.reactor.seconds()
        host.signal(number)

    def _release(self) -> None:
        """Replace a worker by one of another software version."""
        decodes = [
            name
            for name, worker in self._deployment.workers.items()
            if name.startswith("d") and not worker.server.limit
        ]
        name = self._rng.choice(sorted(decodes))
        self._deployment.remove_worker(name)
        self._deployment.add_worker(name, "decode")
        self._set_times()

    def check(self) -> str:
        """Check the calls at hosts that stopped; return a line of figures."""
        reached = self._callers.all_received()
        cut = [
            (name, record)
            for name, stopped_at in self.stops
            for record in self._callers.records
            if record.host == name
            and soak_callers.ROUTES[record.route] != "stream"
            and record.ended_at > stopped_at
            and record.sent_at < stopped_at + soak_world.GRACE_S + END_S
            and record.is_closed
            and not record.is_complete
            and record.request in reached
        ]
        for name, record in cut:
            self._callers.record_violation(PROMISE, record.request, name)
        return (
            f"{len(self.stops)} planned stops, {self.late_calls} calls while "
            f"hosts stopped, {len(cut)} cut"
        )
