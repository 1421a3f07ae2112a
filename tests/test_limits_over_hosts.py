"""Tests that all hosts together keep to the limits that servers state.

Servers state how many requests a second they take from all hosts, while more
are asked for, hosts are cut off from each other or restart, and limits change.
What counts is what arrives at the servers from hosts that were told.
"""

import json

from standins import platform_rows
from standins import raw_caller
from standins import router_world
from tools import limit_window

DOMAINS = ("maadi", "nasr", "giza", "shorouk")
PLAIN = ("w1", "w2", "w3", "w4")
USED_S = 10.0


def _simulation(hosts: int = 8, seed: int = 1) -> router_world.Simulation:
    simulation = router_world.Simulation(
        hosts=hosts, seed=seed, failure_domains=DOMAINS
    )
    simulation.start_default_workers()
    simulation.add_worker("w3")
    simulation.add_worker("w4")
    simulation.start(5.0)
    return simulation


def _send_for(
    simulation: router_world.Simulation,
    route: str,
    *,
    seconds: float,
    per_second: int,
    hosts: list[int] | None = None,
) -> list[raw_caller.Caller]:
    """Send requests to the hosts in turn, at a constant rate."""
    targets = hosts or list(range(len(simulation.hosts)))
    callers = []
    for number in range(round(seconds * per_second)):
        host = targets[number % len(targets)]
        callers.append(simulation.send(route, host=host))
        simulation.run(1.0 / per_second - 0.01)
    return callers


def _check_limits(simulation: router_world.Simulation) -> None:
    for name, worker in sorted(simulation.workers.items()):
        worst = worker.worst_limit_window()
        assert worst is None or not worst.is_exceeded, f"{name}: {worst}"


def _used(simulation: router_world.Simulation, name: str) -> float:
    """Return the part of a server's limit that was used lately."""
    worker = simulation.workers[name]
    since = simulation.clock.seconds() - USED_S
    count = sum(arrival.at > since for arrival in worker.arrivals)
    return count / USED_S / float(worker.limit)


def _served(callers: list[raw_caller.Caller]) -> float:
    """Return the part of the callers that got a complete answer."""
    served = [c for c in callers if c.replies and c.replies[-1].status == 200]
    return len(served) / len(callers)


def test_two_limited_servers_of_four_get_what_they_take() -> None:
    simulation = _simulation()
    simulation.workers["w1"].limit = "2.8"
    simulation.workers["w2"].limit = "3.3"
    _send_for(simulation, "slot", seconds=4.0, per_second=25)
    callers = _send_for(simulation, "slot", seconds=USED_S, per_second=25)
    _check_limits(simulation)
    assert _used(simulation, "w1") >= 0.8
    assert _used(simulation, "w2") >= 0.8
    assert _served(callers) >= 0.99


def test_a_limit_is_used_where_only_some_hosts_get_requests() -> None:
    simulation = _simulation()
    simulation.workers["w1"].limit = "2.8"
    for seconds in (4.0, USED_S):
        _send_for(
            simulation, "slot", seconds=seconds, per_second=25, hosts=[0, 4]
        )
    _check_limits(simulation)
    assert _used(simulation, "w1") >= 0.8


def test_calls_beyond_all_limits_are_refused_at_once() -> None:
    simulation = _simulation()
    for name in PLAIN:
        simulation.workers[name].limit = "3"
    _send_for(simulation, "slot", seconds=4.0, per_second=25)
    callers = _send_for(simulation, "slot", seconds=USED_S, per_second=25)
    simulation.run(0.2)
    assert all(caller.replies for caller in callers)
    _check_limits(simulation)
    assert all(_used(simulation, name) >= 0.8 for name in PLAIN)
    refused = [c.replies[-1] for c in callers if c.replies[-1].status == 503]
    assert refused
    assert all(float(r.headers[b"retry-after"]) >= 0.3 for r in refused)


def _set_priorities(
    simulation: router_world.Simulation, **priorities: int
) -> None:
    """Write a configuration with the ranks of some routes."""
    state = json.loads(platform_rows.config_row())
    for route in state["routes"]:
        route["priority"] = priorities.get(route["name"], route["priority"])
    simulation.configure(2, routes=state["routes"])
    simulation.run(1.0)


def test_urgent_calls_go_first_beyond_all_limits() -> None:
    simulation = _simulation()
    _set_priorities(simulation, confirm=0, slot=2)
    for name in PLAIN:
        simulation.workers[name].limit = "3"
    callers: dict[str, list[raw_caller.Caller]] = {"confirm": [], "slot": []}
    for number in range(20 * 25):
        route = "confirm" if number % 5 < 2 else "slot"
        caller = simulation.send(route, host=number * 3 % 8)
        if number >= 5 * 25:
            callers[route].append(caller)
        simulation.run(0.03)
    simulation.run(0.2)
    _check_limits(simulation)
    assert all(_used(simulation, name) >= 0.8 for name in PLAIN)
    # 10 urgent calls a second, for which the limits of 12 are enough.
    assert _served(callers["confirm"]) >= 0.8
    assert _served(callers["slot"]) > 0.0


def test_hosts_with_few_calls_hear_of_a_limit_from_others() -> None:
    """Each host alone would find it out with a call of its own."""
    simulation = _simulation(40)
    worker = simulation.workers["w1"]
    worker.limit = "2.8"
    _send_for(simulation, "slot", seconds=6.0, per_second=25)
    since = worker.limit_statements[0].at
    # A second after the first answer that states it, all hosts know it.
    worst = limit_window.worst_window(
        worker.limit_statements,
        [a._replace(host="") for a in worker.arrivals if a.at > since + 1.0],
        [limit_window.Contact(since, "")],
    )
    assert worst is not None and not worst.is_exceeded, str(worst)


def test_hosts_that_hear_no_other_keep_to_the_limit() -> None:
    simulation = _simulation()
    names = [host.router.board.host for host in simulation.hosts]
    for name in names:
        simulation.peer_network.cut_off([name], names)
    simulation.workers["w1"].limit = "2.8"
    _send_for(simulation, "slot", seconds=12.0, per_second=25)
    _check_limits(simulation)


def test_a_failure_domain_cut_off_in_the_middle_keeps_to_the_limit() -> None:
    simulation = _simulation()
    simulation.workers["w1"].limit = "2.8"
    _send_for(simulation, "slot", seconds=6.0, per_second=25)
    cut = ["host-0", "host-4"]
    others = [f"host-{number}" for number in (1, 2, 3, 5, 6, 7)]
    simulation.peer_network.cut_off(cut, others)
    callers = _send_for(simulation, "slot", seconds=USED_S, per_second=25)
    _check_limits(simulation)
    assert _used(simulation, "w1") >= 0.5
    assert _served(callers) >= 0.99


def test_hosts_that_restart_in_series_keep_to_the_limit() -> None:
    simulation = _simulation(3)
    for name in PLAIN:
        simulation.workers[name].limit = "1.5"
    for number in range(12):
        _send_for(simulation, "slot", seconds=1.0, per_second=20)
        simulation.restart_host(number % 3)
    _check_limits(simulation)


def test_limits_that_come_and_go_are_kept_while_they_are_in_force() -> None:
    simulation = _simulation()
    for number in range(12):
        simulation.workers["w1"].limit = "3.0" if number % 2 else ""
        simulation.workers["w2"].limit = "3.0" if number % 4 < 2 else "8.0"
        _send_for(simulation, "slot", seconds=1.0, per_second=25)
    _check_limits(simulation)


def test_model_workers_get_what_they_take() -> None:
    simulation = _simulation(4)
    simulation.workers["d1"].limit = "1.0"
    simulation.workers["p1"].limit = "1.0"
    callers = _send_for(simulation, "brief", seconds=14.0, per_second=6)
    simulation.run(2.0)
    _check_limits(simulation)
    assert _served(callers) >= 0.8


def test_all_hosts_use_a_server_again_once_its_limit_has_ended() -> None:
    simulation = _simulation()
    for name in PLAIN:
        simulation.workers[name].limit = "0.5"
    _send_for(simulation, "slot", seconds=8.0, per_second=25)
    for name in PLAIN:
        simulation.workers[name].limit = ""
    _send_for(simulation, "slot", seconds=4.0, per_second=25)
    callers = _send_for(simulation, "slot", seconds=4.0, per_second=25)
    simulation.run(0.1)
    assert _served(callers) >= 0.99


def test_servers_that_take_nothing_are_asked_now_and_then() -> None:
    simulation = _simulation()
    for name in PLAIN:
        simulation.workers[name].limit = "0"
    _send_for(simulation, "slot", seconds=12.0, per_second=25)
    _check_limits(simulation)
    for name in PLAIN:
        simulation.workers[name].limit = ""
    _send_for(simulation, "slot", seconds=12.0, per_second=25)
    callers = _send_for(simulation, "slot", seconds=4.0, per_second=25)
    simulation.run(0.1)
    assert _served(callers) >= 0.99


def test_a_limit_that_cannot_be_read_changes_nothing() -> None:
    simulation = _simulation(2)
    for value in ("-1", "nan", "inf", "", "1e9", "2.8.1"):
        simulation.workers["w1"].limit = value
        callers = _send_for(simulation, "slot", seconds=1.0, per_second=10)
        simulation.run(0.1)
        assert _served(callers) == 1.0
    for host in simulation.hosts:
        assert not host.router.board.notices.limits


def test_a_failed_answer_is_passed_on_if_no_permit_is_left_to_retry() -> None:
    simulation = _simulation()
    simulation.workers["w1"].status = 500
    for name in PLAIN:
        simulation.workers[name].service_time_s = 0.005
    for name in ("w2", "w3", "w4"):
        simulation.workers[name].limit = "5"
    callers = []
    for _ in range(60):
        callers += [simulation.send("slot", host=n % 2) for n in range(6)]
        simulation.run(0.05)
    simulation.run(0.5)
    statuses = {c.replies[-1].status for c in callers if c.replies}
    assert 500 in statuses
    assert statuses <= {200, 500, 503}


def test_a_limit_outlives_an_entry_that_is_gone_for_a_moment() -> None:
    """Entries lapse while the store is down, or are odd for a moment."""
    simulation = _simulation()
    simulation.workers["w1"].limit = "2.8"
    _send_for(simulation, "slot", seconds=4.0, per_second=25)
    for _ in range(6):
        simulation.store.remove("servers", "w1")
        simulation.run(0.1)
        simulation.write_entry("w1")
        _send_for(simulation, "slot", seconds=0.8, per_second=25)
    _check_limits(simulation)
