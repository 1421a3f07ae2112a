"""Tests that a request is sent only while that is still right.

What was found before a connection was made may no longer hold once it is there:
the caller's time, the pause or the departure of a server.
"""

from typing import Any

import pytest
from twisted.internet import task

from nutmegscale import backend
from nutmegscale import request_context
from standins import router_world


def _simulation(*, connect_s: float) -> router_world.Simulation:
    """Start a host whose connections to servers take a time."""
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    pool = simulation.hosts[0].router._plain._pool
    connect = pool._connect
    clock: Any = simulation.clock

    def _connect(address: str, factory: Any) -> Any:
        return task.deferLater(clock, connect_s, connect, address, factory)

    pool._connect = _connect
    for address in simulation.addresses.values():
        pool.close_idle(address)
    for worker in simulation.workers.values():
        worker.arrivals.clear()
    return simulation


def _server(simulation: router_world.Simulation, name: str) -> backend.Backend:
    found = simulation.hosts[0].router.board.backends.get(name)
    assert found is not None
    return found


@pytest.mark.parametrize("route", ["slot", "confirm"])
def test_no_call_is_sent_after_the_time_of_its_caller(route: str) -> None:
    """The connection was made after the caller had given up."""
    simulation = _simulation(connect_s=0.3)
    reply = simulation.ask(route, 1.0, patience_ms=250)
    arrivals = [a for w in simulation.workers.values() for a in w.arrivals]
    assert not arrivals
    assert reply.status == 503


@pytest.mark.parametrize("wish", ["pause", "leave"])
def test_no_call_is_sent_to_a_server_that_asked_for_none_meanwhile(
    wish: str,
) -> None:
    simulation = _simulation(connect_s=0.1)
    board = simulation.hosts[0].router.board
    caller = simulation.send("confirm")
    simulation.run(0.05)
    for name in ("w1", "w2"):
        key = _server(simulation, name).key
        if wish == "pause":
            board.notices.record_pause(board.now(), key, 3.0)
        else:
            board.notices.record_leaving(board.now(), key)
    simulation.run(1.0)
    arrivals = [a for w in simulation.workers.values() for a in w.arrivals]
    assert not arrivals
    assert caller.replies[-1].status == 503


def test_a_connection_that_was_made_for_nothing_is_kept() -> None:
    simulation = _simulation(connect_s=0.3)
    simulation.store.remove("servers", "w2")
    simulation.run(0.1)
    simulation.ask("slot", 1.0, patience_ms=250)
    attempts = simulation.net.connect_attempts.count(simulation.addresses["w1"])
    assert simulation.ask("slot", 0.1).status == 200
    assert attempts == simulation.net.connect_attempts.count(
        simulation.addresses["w1"]
    )


def test_a_prefill_isnt_sent_after_the_time_of_its_caller() -> None:
    simulation = _simulation(connect_s=0.3)
    simulation.ask("brief", 2.0, patience_ms=500)
    prefills = [
        w.arrivals for n, w in simulation.workers.items() if n[0] == "p"
    ]
    assert not any(prefills)


@pytest.mark.parametrize("route", ["slot", "confirm"])
def test_a_host_whose_loop_lags_refuses_what_may_be_too_late(
    route: str,
) -> None:
    """Requests wait in their sockets, and bytes leave later, for the lag."""
    simulation = _simulation(connect_s=0.0)
    assert simulation.ask(route, 0.1, patience_ms=400).status == 200
    for worker in simulation.workers.values():
        worker.arrivals.clear()
    caller = simulation.open_connection()
    simulation.clock.advance(0.6)
    simulation.send(route, on=caller, patience_ms=400)
    simulation.run(0.02)
    assert caller.replies[-1].status == 503
    arrivals = [a for w in simulation.workers.values() for a in w.arrivals]
    assert not arrivals
    simulation.run(0.5)
    assert simulation.ask(route, 0.1, patience_ms=400).status == 200


def test_a_new_connection_may_have_waited_for_its_acceptance_as_well() -> None:
    assert request_context.socket_wait_s(0.3, 0.0) == 0.3
    assert request_context.socket_wait_s(0.3, 0.2) == 0.5
    # The caller took its time, rather than the event loop.
    assert request_context.socket_wait_s(0.3, 5.0) == 0.6
    assert request_context.socket_wait_s(0.0, 5.0) == 0.0


def test_a_host_whose_loop_lags_takes_no_new_streams_meanwhile() -> None:
    simulation = _simulation(connect_s=0.0)
    caller = simulation.open_connection()
    simulation.clock.advance(0.6)
    simulation.send("brief", on=caller)
    simulation.run(0.02)
    reply = caller.replies[-1]
    assert (reply.status, bool(reply.headers[b"retry-after"])) == (503, True)
    simulation.run(0.5)
    assert simulation.ask("brief", 2.0).status == 200


@pytest.mark.parametrize("route", ["slot", "digest", "brief"])
def test_a_request_ends_with_its_caller_while_its_host_connects(
    route: str,
) -> None:
    """It must reach no other server after the connection was given up."""
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    for name in ("w1", "d1"):
        simulation.net.hanging.add(simulation.addresses[name])
    callers = [simulation.send(route) for _ in range(4)]
    simulation.run(0.03)
    left_at = simulation.clock.seconds()
    for caller in callers:
        caller.transport.abortConnection()
    simulation.run(3.0)
    late = [
        received
        for name in ("w1", "w2", "d1", "d2")
        for received in simulation.workers[name].received
        if received.at > left_at + 0.1
    ]
    attempts = simulation.net.connect_attempts
    assert {simulation.addresses[n] for n in ("w1", "d1")} & set(attempts)
    assert not late
