"""Tests that hosts do what servers ask of them in their answers.

A server that leaves, or asks for a pause, says so in its answers, while its
entry in the store says that it is ready. No request may reach it from a host
that it has told.
"""

import json
from unittest import mock

import pytest
import structlog

from nutmegscale import caller_request
from nutmegscale import periodic
from standins import platform_rows
from standins import raw_caller
from standins import router_world

DOMAINS = ("maadi", "nasr", "giza")
# Requests that were on their way when the answer came.
IN_FLIGHT_S = 0.01
# Time after the end of a pause until the server is used again.
REUSE_S = 0.2


def _simulation(hosts: int = 4, seed: int = 1) -> router_world.Simulation:
    simulation = router_world.Simulation(
        hosts=hosts, seed=seed, failure_domains=DOMAINS
    )
    simulation.start_default_workers()
    simulation.start(3.0)
    return simulation


def _send_for(
    simulation: router_world.Simulation,
    route: str,
    *,
    seconds: float,
    per_second: int = 20,
    hosts: int = 4,
) -> list[raw_caller.Caller]:
    callers = []
    for number in range(round(seconds * per_second)):
        callers.append(simulation.send(route, host=number % hosts))
        simulation.run(1.0 / per_second - 0.01)
    return callers


def _served(callers: list[raw_caller.Caller]) -> float:
    served = [c for c in callers if c.replies and c.replies[-1].status == 200]
    return len(served) / len(callers)


def _check_left(simulation: router_world.Simulation, name: str) -> None:
    """Check that no host sent requests to a server that told it it leaves."""
    worker = simulation.workers[name]
    assert worker.leaving_contacts
    late = [
        arrival
        for arrival in worker.arrivals_after(worker.leaving_contacts)
        if arrival[1] > IN_FLIGHT_S
    ]
    assert not late


def _refresh(simulation: router_world.Simulation, name: str) -> None:
    """Let a server write its entry again, as ready."""
    simulation.write_entry(name, coldRemainingMs=1)


@pytest.mark.parametrize(
    ("route", "leaver"),
    [("slot", "w1"), ("confirm", "w1"), ("brief", "d1"), ("brief", "p1")],
)
def test_no_request_reaches_a_server_that_said_it_leaves(
    route: str, leaver: str
) -> None:
    simulation = _simulation()
    _send_for(simulation, route, seconds=1.0)
    simulation.workers[leaver].is_leaving = True
    callers = _send_for(simulation, route, seconds=1.0)
    _refresh(simulation, leaver)
    callers += _send_for(simulation, route, seconds=2.0)
    simulation.run(2.0)
    _check_left(simulation, leaver)
    assert _served(callers) >= 0.95


@pytest.mark.parametrize("route", ["slot", "brief"])
def test_other_hosts_hear_that_a_server_leaves(route: str) -> None:
    """Hosts that it hasn't answered send it few requests, too."""
    simulation = _simulation(hosts=12)
    leaver = simulation.workers["w1" if route == "slot" else "d1"]
    leaver.is_leaving = True
    _send_for(simulation, route, seconds=2.0, hosts=12)
    before = len(leaver.arrivals)
    _send_for(simulation, route, seconds=2.0, hosts=12)
    assert len(leaver.arrivals) == before
    assert len({contact.host for contact in leaver.leaving_contacts}) <= 4


def test_a_leaving_server_gets_nothing_while_the_store_is_down() -> None:
    simulation = _simulation()
    simulation.store.is_down = True
    simulation.workers["w1"].is_leaving = True
    callers = _send_for(simulation, "confirm", seconds=3.0)
    simulation.run(1.0)
    _check_left(simulation, "w1")
    assert _served(callers) == 1.0


def test_a_rejection_that_says_the_server_leaves_counts_too() -> None:
    simulation = _simulation()
    simulation.workers["w1"].is_full = True
    simulation.workers["w1"].is_leaving = True
    callers = _send_for(simulation, "confirm", seconds=2.0)
    simulation.run(1.0)
    _check_left(simulation, "w1")
    assert _served(callers) == 1.0


def test_a_run_whose_prompt_is_being_read_goes_elsewhere() -> None:
    """The worker granted for the run says that it leaves in another answer."""
    simulation = _simulation(hosts=1)
    first = simulation.workers["d1"]
    callers = [simulation.send("brief") for _ in range(4)]
    simulation.run(0.03)
    board = simulation.hosts[0].router.board
    leaver = board.backends.get("d1")
    assert leaver is not None
    board.notices.record_leaving(0.0, leaver.key)
    simulation.run(3.0)
    assert _served(callers) == 1.0
    assert not first.ran


def test_a_restarted_server_is_used_again() -> None:
    simulation = _simulation()
    simulation.workers["w1"].is_leaving = True
    _send_for(simulation, "confirm", seconds=1.0)
    simulation.workers["w1"].is_leaving = False
    simulation.write_entry("w1", born=2)
    simulation.run(0.5)
    before = len(simulation.workers["w1"].arrivals)
    _send_for(simulation, "confirm", seconds=2.0)
    assert len(simulation.workers["w1"].arrivals) > before


def _pause(
    simulation: router_world.Simulation, names: tuple[str, ...], value: str
) -> None:
    for name in names:
        simulation.workers[name].is_full = True
        simulation.workers[name].pause = value


def _resume(simulation: router_world.Simulation, *names: str) -> None:
    for name in names:
        simulation.workers[name].is_full = False
        simulation.workers[name].pause = ""


@pytest.mark.parametrize(
    ("route", "paused"),
    [("confirm", "w1"), ("slot", "w1"), ("brief", "d1")],
)
def test_no_request_reaches_a_server_during_the_pause_that_it_asked_for(
    route: str, paused: str
) -> None:
    simulation = _simulation()
    worker = simulation.workers[paused]
    _pause(simulation, (paused,), "2.5")
    callers = _send_for(simulation, route, seconds=1.0)
    _resume(simulation, paused)
    callers += _send_for(simulation, route, seconds=1.0)
    late = [
        arrival
        for arrival in worker.arrivals_after(worker.pause_contacts)
        if arrival[1] > IN_FLIGHT_S
    ]
    assert worker.pause_contacts
    assert not late
    simulation.run(2.0)
    assert _served(callers) >= 0.95


def test_a_server_is_used_again_soon_after_its_pause() -> None:
    simulation = _simulation()
    worker = simulation.workers["w1"]
    _pause(simulation, ("w1", "w2"), "1.5")
    _send_for(simulation, "confirm", seconds=0.5)
    _resume(simulation, "w1", "w2")
    ends = max(contact.at for contact in worker.pause_contacts) + 1.5
    _send_for(simulation, "confirm", seconds=2.5)
    used = [arrival.at for arrival in worker.arrivals if arrival.at >= ends]
    assert used
    assert used[0] <= ends + REUSE_S


def test_a_call_is_refused_at_once_while_all_servers_pause() -> None:
    """Its time to come back is the end of the first pause, or soon after."""
    simulation = _simulation(hosts=1)
    _pause(simulation, ("w1",), "2.5")
    _pause(simulation, ("w2",), "6")
    simulation.ask("confirm", 0.5)
    simulation.ask("confirm", 0.5)
    began = simulation.workers["w1"].pause_contacts[0].at
    sent_at = simulation.clock.seconds()
    reply = simulation.ask("confirm", 0.05)
    assert reply.status == 503
    back_at = sent_at + float(reply.headers[b"retry-after"])
    assert began + 2.5 <= back_at <= began + 2.5 + 1.0


def test_callers_dont_return_all_at_once_after_a_pause() -> None:
    simulation = _simulation(hosts=4)
    _pause(simulation, ("w1", "w2"), "3")
    _send_for(simulation, "confirm", seconds=1.0)
    callers = []
    back_at = []
    for number in range(40):
        callers.append(simulation.send("confirm", host=number % 4))
        simulation.run(0.02)
        reply = callers[-1].replies[-1]
        assert reply.status == 503
        wait_s = float(reply.headers[b"retry-after"])
        back_at.append(simulation.clock.seconds() + wait_s)
    by_tenth: dict[int, int] = {}
    for at in back_at:
        by_tenth[int(at * 10)] = by_tenth.get(int(at * 10), 0) + 1
    assert max(by_tenth.values()) <= 20


def test_urgent_calls_come_back_first_after_a_pause() -> None:
    simulation = _simulation(hosts=1)
    config = json.loads(platform_rows.config_row(1))
    for route in config["routes"]:
        route["priority"] = 0 if "/slot/" in route["pathPrefix"] else 3
    simulation.store.put(
        "op", "config", json.dumps(config | {"version": 2}).encode()
    )
    simulation.run(0.5)
    _pause(simulation, ("w1", "w2"), "4")
    for _ in range(2):
        simulation.ask("confirm", 0.2)
    waits = {
        route: [
            float(simulation.ask(route, 0.02).headers[b"retry-after"])
            for _ in range(10)
        ]
        for route in ("confirm", "slot")
    }
    # The urgent calls were refused later by 0.3 s.
    assert max(waits["slot"]) < min(waits["confirm"]) - 0.2


@pytest.mark.parametrize(
    "value",
    ["-1", "NaN", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT", "1|2", "", "1s"],
)
def test_a_pause_that_cant_be_read_changes_nothing(value: str) -> None:
    simulation = _simulation(hosts=1)
    _pause(simulation, ("w1", "w2"), value or " ")
    simulation.ask("confirm", 0.3)
    _resume(simulation, "w1", "w2")
    assert simulation.ask("confirm", 0.5).status == 200


def test_a_pause_of_zero_is_none() -> None:
    simulation = _simulation(hosts=1)
    _pause(simulation, ("w1", "w2"), "0")
    simulation.ask("confirm", 0.3)
    _resume(simulation, "w1", "w2")
    assert simulation.ask("confirm", 0.5).status == 200


def test_a_huge_pause_is_bounded() -> None:
    simulation = _simulation(hosts=1)
    _pause(simulation, ("w1", "w2"), "1000000000")
    for _ in range(2):
        simulation.ask("confirm", 0.3)
    reply = simulation.ask("confirm", 0.05)
    assert reply.status == 503
    assert float(reply.headers[b"retry-after"]) <= 601.0


@pytest.mark.parametrize("wish", ["leaving", "paused"])
def test_no_free_and_no_order_reaches_an_unwilling_server(wish: str) -> None:
    simulation = _simulation(hosts=1)
    host_router = simulation.hosts[0].router
    board, worker = host_router.board, simulation.workers["p1"]
    server = board.backends.get("p1")
    assert server is not None
    if wish == "leaving":
        board.notices.record_leaving(board.now(), server.key)
    else:
        board.notices.record_pause(board.now(), server.key, 5.0)
    handle = caller_request.KvHandle(server, "h1")
    before = len(worker.arrivals)
    periodic.spawn(host_router._prefills.free(handle))
    periodic.spawn(host_router.stages._send_order("notes-model", server, 1))
    simulation.run(1.0)
    assert len(worker.arrivals) == before


def _late_in_pause(
    simulation: router_world.Simulation, name: str, pause_s: float
) -> list[tuple[str, float]]:
    """Return the requests that reached a server in a pause of their host."""
    worker = simulation.workers[name]
    return [
        arrival
        for arrival in worker.arrivals_after(worker.pause_contacts)
        if IN_FLIGHT_S < arrival[1] < pause_s
    ]


def test_a_pause_outlives_an_entry_that_is_gone_for_a_moment() -> None:
    """Entries lapse while the store is down, or are odd for a moment."""
    simulation = _simulation()
    _pause(simulation, ("w1",), "4")
    _send_for(simulation, "slot", seconds=1.0)
    _resume(simulation, "w1")
    simulation.store.remove("servers", "w1")
    simulation.run(0.1)
    simulation.write_entry("w1")
    _send_for(simulation, "slot", seconds=2.0)
    assert simulation.workers["w1"].pause_contacts
    assert not _late_in_pause(simulation, "w1", 4.0)


def _send_in_all_ways(
    simulation: router_world.Simulation, unwilling: str
) -> None:
    """Send plain calls, prefills and runs, also passed on and second tries."""
    for number in range(60):
        route = ("slot", "confirm", "brief", "digest")[number % 4]
        simulation.send(route, host=number // 4 % 4)
        simulation.run(0.04)
    # Streams break off, so that the other worker resumes them.
    other = {"d1": "d2"}.get(unwilling, "d1")
    simulation.workers[other].break_after_events = 1
    for number in range(40):
        simulation.send("digest", host=number % 4)
        simulation.run(0.04)


@pytest.mark.parametrize("paused", ["w1", "d1", "p1"])
def test_no_sender_reaches_a_server_during_its_pause(paused: str) -> None:
    simulation = _simulation()
    servers = list(simulation.addresses.values())
    simulation.net.cut("host-0", servers, "reset")
    _pause(simulation, (paused,), "5")
    simulation.clock.callLater(2.5, _resume, simulation, paused)
    _send_in_all_ways(simulation, paused)
    assert simulation.workers[paused].pause_contacts
    assert not _late_in_pause(simulation, paused, 5.0)


@pytest.mark.parametrize("leaver", ["w1", "d1", "p1"])
def test_no_sender_reaches_a_server_that_told_its_host_it_leaves(
    leaver: str,
) -> None:
    simulation = _simulation()
    servers = list(simulation.addresses.values())
    simulation.net.cut("host-0", servers, "reset")
    simulation.workers[leaver].is_leaving = True
    _send_in_all_ways(simulation, leaver)
    _check_left(simulation, leaver)


def test_malformed_loads_are_counted_and_logged_once_in_a_while() -> None:
    """Guards against loads that are dropped unseen, and against a log flood."""
    simulation = router_world.Simulation(hosts=1)
    simulation.start_default_workers()
    for name in ("w1", "w2"):
        simulation.workers[name].further_load = ",fast"
    simulation.start(3.0)
    counted: list[str] = []
    metrics = simulation.hosts[0].router.board.metrics
    with (
        mock.patch.object(metrics, "record_failure_event", counted.append),
        structlog.testing.capture_logs() as lines,
    ):
        _send_for(simulation, "confirm", seconds=2.0, hosts=1)
    assert counted.count("server_load_malformed") > 20
    logged = [e for e in lines if e["event"] == "server_load_malformed"]
    assert sorted(e["backend"] for e in logged) == ["w1", "w2"]
