"""Tests of hosts that are cut off from all servers, while callers reach them.

Callers, the store and the other hosts still reach such a host. Its connections
to servers hang, are reset, or live on while further ones are refused. What
counts is that the first tries of callers there are served nearly as often as at
the other hosts.
"""

from typing import Any

import msgspec
import pytest

from standins import platform_rows
from standins import raw_caller
from standins import router_world

DOMAINS = ("maadi", "nasr", "giza", "shorouk")
# Time after which the first tries at hosts that are cut off count, seconds: the
# shortest bound of the deployments.
SETTLED_S = 3.0
# Smallest ratio of what is served there to what is served elsewhere.
MIN_RATIO = 0.9
ROUTES = ("slot", "confirm", "brief", "digest")


def _simulation(
    hosts: int = 8, seed: int = 1, retry_extra: float = 56.0
) -> router_world.Simulation:
    simulation = router_world.Simulation(
        hosts=hosts,
        seed=seed,
        failure_domains=DOMAINS,
        retry_extra=retry_extra,
    )
    simulation.start_default_workers()
    for name in ("p3", "p4"):
        simulation.add_worker(name, stage="prefill")
    for name in ("d3", "d4"):
        simulation.add_worker(name, stage="decode")
    simulation.start(3.0)
    return simulation


def _send_for(
    simulation: router_world.Simulation, seconds: float, hosts: list[int]
) -> list[raw_caller.Caller]:
    """Send requests of all routes to some hosts in turn, 20 a second."""
    callers = []
    for number in range(round(seconds * 20)):
        route = ROUTES[number % len(ROUTES)]
        host = hosts[(number // len(ROUTES)) % len(hosts)]
        callers.append(simulation.send(route, host=host))
        simulation.run(0.04)
    return callers


def _served(callers: list[raw_caller.Caller]) -> float:
    served = [c for c in callers if c.replies and c.replies[-1].status == 200]
    return len(served) / len(callers)


def _cut(
    simulation: router_world.Simulation, hosts: list[int], how: str
) -> None:
    servers = list(simulation.addresses.values())
    for number in hosts:
        name = simulation.hosts[number].router.board.host
        simulation.net.cut(name, servers, how)


def _heal(simulation: router_world.Simulation, hosts: list[int]) -> None:
    for number in hosts:
        simulation.net.heal(simulation.hosts[number].router.board.host)


@pytest.mark.parametrize("how", ["hang", "reset", "refuse"])
@pytest.mark.parametrize(
    "cut_off",
    [
        [0],
        [0, 1, 2],
        [0, 4],
        [0, 1, 2, 3],
        [0, 1, 2, 4, 5, 6],
        [0, 1, 2, 3, 4, 5, 6],
    ],
)
def test_callers_of_hosts_without_servers_are_served(
    how: str, cut_off: list[int]
) -> None:
    """One host, a third, a failure domain, half, most, and all but one."""
    simulation = _simulation()
    others = [n for n in range(8) if n not in cut_off]
    _send_for(simulation, 1.0, list(range(8)))
    _cut(simulation, cut_off, how)
    _send_for(simulation, SETTLED_S, cut_off + others)
    there = _send_for(simulation, 5.0, cut_off)
    elsewhere = _send_for(simulation, 5.0, others)
    simulation.run(3.0)
    assert _served(there) >= MIN_RATIO * _served(elsewhere)
    assert _served(elsewhere) >= 0.9
    _heal(simulation, cut_off)
    simulation.run(1.0)
    after = _send_for(simulation, 2.0, cut_off)
    simulation.run(2.0)
    assert _served(after) >= 0.95


def test_a_request_that_is_passed_on_runs_once() -> None:
    simulation = _simulation()
    _cut(simulation, [0], "reset")
    simulation.run(1.5)
    caller = simulation.send("confirm", host=0)
    simulation.run(1.0)
    assert caller.replies[-1].status == 200
    ran = [name for w in simulation.workers.values() for name in w.ran]
    assert len(ran) == 1


def test_offers_to_other_hosts_need_no_retry_budget() -> None:
    """Hosts that don't report their cut refuse the first offers."""
    simulation = _simulation(retry_extra=0.0)
    _cut(simulation, list(range(7)), "reset")
    simulation.run(2.0)
    relay = simulation.hosts[0].router._relay
    relay._unreached_until.clear()
    for host in simulation.hosts[1:7]:
        host.router._relay._reported_at = simulation.clock.seconds() + 60.0
    callers = []
    for _ in range(10):
        relay._unreached_until.clear()
        callers.append(simulation.send("slot", host=0))
        simulation.run(0.2)
    refused_only = sum(caller.replies[-1].status == 503 for caller in callers)
    # Six of seven candidates are asked, so that one in seven finds none.
    assert refused_only <= 3


def test_a_service_without_servers_keeps_no_other_from_being_passed_on() -> (
    None
):
    simulation = _simulation()
    for name in ("w1", "w2"):
        simulation.crash_worker(name, 60.0)
    _cut(simulation, [0], "reset")
    simulation.run(2.0)
    for number in range(24):
        simulation.send("confirm", host=number % 8)
        simulation.run(0.05)
    simulation.run(1.0)
    for _ in range(3):
        simulation.ask("confirm", 0.5, host=0)
    assert simulation.ask("brief", 2.0, host=0).status == 200


def test_hosts_that_all_are_cut_off_refuse_at_once() -> None:
    simulation = _simulation(hosts=4)
    _cut(simulation, [0, 1, 2, 3], "reset")
    simulation.run(2.0)
    reply = simulation.ask("slot", 0.3, host=0)
    assert reply.status == 503
    ran = [name for w in simulation.workers.values() for name in w.ran]
    assert not ran


def test_a_caller_that_leaves_ends_what_was_passed_on() -> None:
    simulation = _simulation()
    for worker in simulation.workers.values():
        worker.event_count = 200
    _cut(simulation, [0], "reset")
    simulation.run(1.5)
    caller = simulation.send("brief", host=0)
    simulation.run(1.0)
    assert caller.replies
    caller.transport.abortConnection()
    simulation.run(0.3)
    assert sum(len(w.cancelled) for w in simulation.workers.values()) == 1
    assert all(w.running == 0 for w in simulation.workers.values())


def test_a_run_that_was_passed_on_and_broke_isnt_said_not_to_have_run() -> None:
    """The host that it was passed on to dies while the server works."""
    simulation = _simulation(hosts=2)
    for name in ("w1", "w2"):
        simulation.workers[name].service_time_s = 0.5
    _cut(simulation, [0], "reset")
    simulation.run(1.5)
    caller = simulation.send("confirm", host=0)
    simulation.run(0.1)
    simulation.restart_host(1)
    simulation.run(2.0)
    assert [name for w in simulation.workers.values() for name in w.ran]
    assert caller.replies[-1].status not in (408, 421, 429, 503)


def test_a_stream_that_breaks_behind_another_host_isnt_complete() -> None:
    simulation = _simulation(hosts=2)
    for worker in simulation.workers.values():
        worker.event_count = 40
    _cut(simulation, [0], "reset")
    simulation.run(1.5)
    caller = simulation.send("brief", host=0)
    simulation.run(1.0)
    simulation.restart_host(1)
    simulation.run(2.0)
    assert caller.replies
    assert not caller.replies[-1].is_complete


def test_a_silent_server_isnt_taken_for_a_cut() -> None:
    """A sound server may be silent for a second and more."""
    simulation = _simulation(hosts=2)
    for name in ("w1", "w2"):
        simulation.workers[name].service_time_s = 1.5
    for _ in range(4):
        simulation.send("slot", host=0, patience_ms=5_000)
        simulation.run(0.3)
    board = simulation.hosts[0].router.board
    assert not board.unreachable_services
    assert board.is_ready


def test_a_check_that_ends_in_a_defect_is_made_again() -> None:
    """Later checks were never made, so that the host stayed as it was."""
    simulation = _simulation(hosts=2)
    reach = simulation.hosts[0].router._reachability
    connect = reach._connect
    failed: list[bool] = []

    async def _fail_once(servers: Any) -> list[bool]:
        if not failed:
            failed.append(True)
            raise KeyError("defect")
        return await connect(servers)

    reach._connect = _fail_once  # type: ignore[method-assign]
    _cut(simulation, [0], "reset")
    callers = _send_for(simulation, 4.0, [0])
    assert failed
    assert simulation.hosts[0].router.board.is_cut_off
    simulation.run(1.0)
    assert _served(callers[40:]) >= MIN_RATIO


@pytest.mark.parametrize("cut_off", [[0], [0, 1, 2, 3]])
def test_a_service_that_is_back_is_reached_through_other_hosts_at_once(
    cut_off: list[int],
) -> None:
    """They had refused its requests while all its servers were down."""
    simulation = _simulation()
    others = [n for n in range(8) if n not in cut_off]
    _cut(simulation, cut_off, "reset")
    simulation.run(SETTLED_S)
    for name in ("w1", "w2"):
        simulation.crash_worker(name, 2.0)
    plain = {"slot", "confirm"}
    for number in range(48):
        for route in sorted(plain):
            simulation.send(route, host=number % 8)
        simulation.run(0.03)
    simulation.run(0.5)
    served = {}
    for name, hosts in (("there", cut_off), ("elsewhere", others)):
        callers = []
        for number in range(40):
            for route in sorted(plain):
                host = hosts[number % len(hosts)]
                callers.append(simulation.send(route, host=host))
            simulation.run(0.005)
        simulation.run(0.3)
        served[name] = _served(callers)
    assert served["elsewhere"] >= 0.9
    assert served["there"] >= MIN_RATIO * served["elsewhere"]


def _cut_while_calls_wait(
    simulation: router_world.Simulation, route: str, count: int = 20
) -> list[raw_caller.Caller]:
    """Send calls to a host, and let it be cut off before they are answered."""
    for name in ("w1", "w2"):
        simulation.workers[name].slots = 20
        simulation.workers[name].service_time_s = 0.03
    for _ in range(8):
        simulation.ask(route, 0.1, host=0)
    callers = [simulation.send(route, host=0) for _ in range(count)]
    _cut(simulation, [0], "hang")
    # Further calls let the host notice.
    simulation.send(route, host=0)
    return callers


def test_safe_calls_that_wait_when_a_cut_begins_go_to_other_hosts() -> None:
    """They waited for the time limit of their route on dead connections."""
    simulation = _slow_routes(_simulation(), timeout_ms=5_000)
    callers = _cut_while_calls_wait(simulation, "slot")
    simulation.run(2.0)
    assert _served(callers) >= MIN_RATIO


def test_calls_that_must_not_run_twice_wait_for_their_server_in_a_cut() -> None:
    simulation = _slow_routes(_simulation(), timeout_ms=5_000)
    callers = _cut_while_calls_wait(simulation, "confirm")
    simulation.run(6.0)
    runs = [name for w in simulation.workers.values() for name in w.ran]
    assert len(runs) == len(set(runs))
    refused = [c for c in callers if c.replies[-1].status == 503]
    assert not refused


def test_a_call_that_may_have_run_isnt_said_not_to_have_run_in_a_cut() -> None:
    """No other host reaches servers either."""
    simulation = _slow_routes(_simulation(hosts=2), timeout_ms=5_000)
    _cut(simulation, [1], "hang")
    callers = _cut_while_calls_wait(simulation, "slot")
    simulation.run(6.0)
    ran = {name for w in simulation.workers.values() for name in w.ran}
    assert ran
    assert all(caller.replies for caller in callers)
    names = [f"r{len(simulation.sent) - n}" for n in range(len(callers), 0, -1)]
    for name, caller in zip(names, callers, strict=True):
        assert name not in ran or caller.replies[-1].status != 503


def test_retries_through_other_hosts_are_paid_from_the_budget() -> None:
    simulation = _slow_routes(_simulation(retry_extra=0.0), timeout_ms=5_000)
    callers = _cut_while_calls_wait(simulation, "slot", count=40)
    simulation.run(6.0)
    arrivals = sum(len(w.received) for w in simulation.workers.values())
    # A fifth of the calls may be sent once more.
    assert arrivals <= 1.2 * (len(simulation.sent)) + 1
    assert all(caller.replies for caller in callers)


def _slow_routes(
    simulation: router_world.Simulation, *, timeout_ms: int
) -> router_world.Simulation:
    """Let requests of all routes wait for a longer time."""
    state = msgspec.json.decode(platform_rows.config_row(2))
    for route in state["routes"]:
        route["timeoutMs"] = timeout_ms
    simulation.store.put("op", "config", msgspec.json.encode(state))
    simulation.run(0.5)
    return simulation


@pytest.mark.parametrize("why", ["paused", "too_late"])
def test_a_refusal_of_the_other_host_doesnt_deny_a_run_before_it(
    why: str,
) -> None:
    """The call ran at a server that this host was then cut off from."""
    simulation = _slow_routes(_simulation(hosts=2), timeout_ms=5_000)
    callers = _cut_while_calls_wait(simulation, "slot", count=8)
    simulation.run(0.05)
    ran = {name for w in simulation.workers.values() for name in w.ran}
    names = [f"r{len(simulation.sent) - n}" for n in range(8, 0, -1)]
    assert ran.intersection(names)
    other = simulation.hosts[1].router.board
    if why == "paused":
        for server in other.backends.all():
            other.notices.record_pause(other.now(), server.key, 10.0)
    else:
        other.loop_lag_s = 6.0
        simulation.hosts[1].router._lag.stop()
    simulation.run(3.0)
    for name, caller in zip(names, callers, strict=True):
        assert caller.replies
        assert name not in ran or caller.replies[-1].status != 503
