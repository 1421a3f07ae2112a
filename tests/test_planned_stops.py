"""Tests that a planned stop leaves no request without an answer.

A long stream keeps a host that was stopped running to the end of its grace,
while callers open new connections and send calls that must not run twice.
"""

from typing import Any

import msgspec
import pytest
from twisted.internet import defer
from twisted.internet import protocol

from nutmegscale import daemon
from nutmegscale import periodic
from standins import platform_rows
from standins import raw_caller
from standins import router_world

GRACE_S = 8.0


class _Stop:
    """A planned stop of a host, up to the end of its process.

    Attributes:
      simulation: Hosts, servers and callers.
      callers: Callers whose requests the host has read.
    """

    def __init__(
        self, simulation: router_world.Simulation, *, host: int = 0
    ) -> None:
        self.simulation = simulation
        self.callers: list[raw_caller.Caller] = []
        self._host = simulation.hosts[host]
        self._began_at = simulation.clock.seconds()
        self._ended_at: float | None = None
        self._host.ingress.is_draining = True
        drained = periodic.spawn(
            self._host.router.drain(
                self._host.ingress.connections,
                self._host.ingress.close_idle,
                lambda: simulation.net.close(self._host.address),
            )
        )
        drained.addCallback(
            lambda _: simulation.clock.callLater(daemon.STOP_DELAY_S, self._end)
        )

    @property
    def age_s(self) -> float:
        """Time since the stop began, seconds."""
        return self.simulation.clock.seconds() - self._began_at

    @property
    def ended_after_s(self) -> float | None:
        """Time until the process ended, seconds; None while it runs."""
        return self._ended_at and self._ended_at - self._began_at

    def _end(self) -> None:
        self._ended_at = self.simulation.clock.seconds()
        self.simulation.net.close(self._host.address)
        for connection in list(self._host.ingress.connections):
            connection.transport.abortConnection()
        self._host.router.stop()

    def send(
        self, route: str = "confirm", **more: Any
    ) -> raw_caller.Caller | None:
        """Send a request on a new connection, unless none is taken."""
        factory = protocol.Factory.forProtocol(raw_caller.Caller)
        opened: list[raw_caller.Caller] = []
        connected: defer.Deferred[Any] = self.simulation.net.connect(
            self._host.address, factory
        )
        connected.addCallbacks(opened.append, lambda _: None)
        self.simulation.run(0.005)
        if not opened:
            return None
        caller = self.simulation.send(route, on=opened[0], **more)
        self.callers.append(caller)
        return caller

    def run_to_end(self) -> None:
        """Advance the clock to the end of the process."""
        while self._ended_at is None and self.age_s < GRACE_S + 1.0:
            self.simulation.run(0.05)
        self.simulation.run(0.1)
        assert self.ended_after_s is not None
        assert self.ended_after_s <= GRACE_S

    def check_answered(self) -> None:
        """Check that each request was answered whole, and no run denied."""
        ran = [n for w in self.simulation.workers.values() for n in w.ran]
        answers = [c.replies[-1] if c.replies else None for c in self.callers]
        assert None not in answers, f"{answers.count(None)} of {len(answers)}"
        assert all(answer and answer.is_complete for answer in answers)
        served = [a for a in answers if a and a.status == 200]
        unsure = [a for a in answers if a and a.status in (502, 504)]
        assert len(ran) <= len(served) + len(unsure) + 1


def _simulation(service_time_s: float) -> router_world.Simulation:
    """Start a host, and a stream that lasts longer than its grace."""
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    state = msgspec.json.decode(platform_rows.config_row(2))
    for route in state["routes"]:
        route["timeoutMs"] = 14_000
    simulation.store.put("op", "config", msgspec.json.encode(state))
    simulation.start()
    for worker in simulation.workers.values():
        worker.event_count = 400
        worker.service_time_s = service_time_s
    simulation.workers["w1"].slots = simulation.workers["w2"].slots = 20
    for _ in range(6):
        simulation.ask("confirm", service_time_s + 0.1)
    simulation.send("brief")
    simulation.run(0.5)
    for worker in simulation.workers.values():
        worker.ran.clear()
    return simulation


@pytest.mark.parametrize("service_time_s", [0.1, 0.3, 0.6, 1.2])
def test_calls_that_come_late_in_the_grace_are_answered_or_refused(
    service_time_s: float,
) -> None:
    """They were passed on to a server and cut at the end of the grace."""
    stop = _Stop(_simulation(service_time_s))
    while stop.ended_after_s is None:
        stop.send()
        stop.simulation.run(0.095)
    stop.run_to_end()
    stop.check_answered()
    # What has time is served.
    early = [caller.replies[-1].status for caller in stop.callers[:50]]
    assert early == [200] * 50


def test_calls_that_come_late_on_kept_connections_are_answered() -> None:
    stop = _Stop(_simulation(0.6))
    kept = [stop.simulation.open_connection() for _ in range(12)]
    # Idle connections are closed from 2.2 s on, unless a request is coming.
    stop.simulation.run(2.0)
    for connection in kept:
        connection.transport.write(b"POST /confirm/x?q=1 HTTP/1.1\r\n")
    stop.simulation.run(2.9)
    for number, connection in enumerate(kept):
        # The body comes 2.6 s later, at the end of the grace.
        connection.transport.write(
            b"Host: clubs.example\r\nRequest-Id: k%d\r\n"
            b"Deadline-Ms: 14000\r\nContent-Length: 1\r\n\r\n" % number
        )
        assert not connection.is_closed_unanswered
    stop.simulation.run(1.5)
    for connection in kept:
        connection.transport.write(b"x")
        stop.callers.append(connection)
        stop.simulation.run(0.1)
    stop.run_to_end()
    stop.check_answered()


@pytest.mark.parametrize("route", ["confirm", "slot"])
def test_a_call_that_outlasts_the_grace_is_answered_as_maybe_run(
    route: str,
) -> None:
    stop = _Stop(_simulation(0.1))
    for name in ("w1", "w2"):
        stop.simulation.workers[name].service_time_s = 30.0
    stop.send(route)
    stop.run_to_end()
    stop.check_answered()
    assert stop.callers[0].replies[-1].status in (502, 504)


def test_a_host_that_leaves_takes_no_requests_of_other_hosts() -> None:
    """They go to another host in time, and not through one that ends."""
    simulation = router_world.Simulation(hosts=3)
    simulation.start_default_workers()
    simulation.start(3.0)
    simulation.net.cut("host-0", list(simulation.addresses.values()), "reset")
    simulation.run(2.0)
    stop = _Stop(simulation, host=1)
    for worker in simulation.workers.values():
        worker.arrivals.clear()
    # Host 0 hasn't heard that host 1 leaves.
    relay = simulation.hosts[0].router._relay
    relay._candidates = lambda service: [  # type: ignore[method-assign]
        "host-1",
        "host-2",
    ]
    for _ in range(30):
        stop.callers.append(simulation.send("confirm", host=0))
        simulation.run(0.25)
    stop.run_to_end()
    stop.check_answered()
    assert all(c.replies[-1].status == 200 for c in stop.callers)
    sent = {a.host for w in simulation.workers.values() for a in w.arrivals}
    assert sent == {"host-2"}
