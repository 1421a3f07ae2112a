"""Tests that the retries of all hosts together stay within the budget.

Backend servers fail or reject requests, while hosts are cut off from each
other, restart or haven't found each other. What counts is what arrives at the
servers beyond the first send of each request.
"""

from nutmegscale import retry_share
from standins import platform_rows
from standins import router_world
from tools import retry_window

EXTRA = 12.0
STREAM_ROUTES = ("brief", "digest")


def _simulation(hosts: int, extra: float = EXTRA) -> router_world.Simulation:
    simulation = router_world.Simulation(hosts=hosts, retry_extra=extra)
    simulation.start_default_workers()
    simulation.add_worker("w3")
    return simulation


def _fail_plain_calls(simulation: router_world.Simulation) -> None:
    for name in ("w1", "w2", "w3"):
        simulation.workers[name].status = 500


def _send_for(
    simulation: router_world.Simulation,
    route: str,
    *,
    seconds: float,
    per_second: int,
    hosts: list[int] | None = None,
) -> None:
    """Send requests to the hosts in turn, at a constant rate."""
    targets = hosts or list(range(len(simulation.hosts)))
    for number in range(round(seconds * per_second)):
        simulation.send(route, host=targets[number % len(targets)])
        simulation.run(1.0 / per_second)


def _worst(
    simulation: router_world.Simulation, extra: float = EXTRA
) -> retry_window.WorstWindow:
    """Return the worst window of the service whose servers failed."""
    budget = retry_share.Limits(ratio=0.2, extra=extra, window_s=10.0)
    model, plain = platform_rows.MODEL_SERVICE, platform_rows.PLAIN_SERVICE
    arrivals = [
        retry_window.Arrival(
            received.at,
            model if worker.stage else plain,
            received.request,
            received.is_accepted_prefill,
        )
        for worker in simulation.workers.values()
        for received in worker.received
    ]
    requests = [
        retry_window.Event(
            sent.at, model if sent.route in STREAM_ROUTES else plain
        )
        for sent in simulation.sent
    ]
    found = retry_window.worst_windows(
        retry_window.retries_of(arrivals), requests, budget
    )
    assert len(found) == 1
    return found[0]


def test_rejected_first_prefills_count_against_the_budget() -> None:
    simulation = _simulation(2, extra=2.0)
    simulation.start()
    for name in ("p1", "p2"):
        simulation.workers[name].rejects_every = 2
    for name in ("d1", "d2"):
        simulation.workers[name].slots = 20
    _send_for(simulation, "brief", seconds=12.0, per_second=10)
    simulation.run(2.0)
    worst = _worst(simulation, extra=2.0)
    assert not worst.is_exceeded, str(worst)


def test_hosts_cut_off_from_each_other_share_the_budget() -> None:
    simulation = _simulation(6)
    simulation.start()
    names = [host.router.board.host for host in simulation.hosts]
    for number in range(0, 6, 2):
        pair = names[number : number + 2]
        others = [name for name in names if name not in pair]
        simulation.peer_network.cut_off(pair, others)
    simulation.run(5.0)
    _fail_plain_calls(simulation)
    _send_for(simulation, "slot", seconds=12.0, per_second=10)
    worst = _worst(simulation)
    assert not worst.is_exceeded, str(worst)


def test_hosts_that_have_not_joined_share_the_budget() -> None:
    simulation = _simulation(6)
    simulation.store.loses_answers = True
    simulation.start()
    _fail_plain_calls(simulation)
    _send_for(simulation, "slot", seconds=12.0, per_second=10)
    worst = _worst(simulation)
    assert not worst.is_exceeded, str(worst)


def test_hosts_that_restart_in_series_stay_within_the_budget() -> None:
    simulation = _simulation(3)
    simulation.start()
    _fail_plain_calls(simulation)
    for _ in range(6):
        _send_for(simulation, "slot", seconds=1.0, per_second=30)
        for index in range(3):
            simulation.restart_host(index)
        simulation.run(1.0)
    worst = _worst(simulation)
    assert not worst.is_exceeded, str(worst)


def test_callers_that_move_between_hosts_stay_within_the_budget() -> None:
    simulation = _simulation(2)
    simulation.start()
    _send_for(simulation, "slot", seconds=9.0, per_second=30, hosts=[0])
    _fail_plain_calls(simulation)
    _send_for(simulation, "slot", seconds=1.0, per_second=30, hosts=[0])
    _send_for(simulation, "slot", seconds=9.0, per_second=30, hosts=[1])
    worst = _worst(simulation)
    assert not worst.is_exceeded, str(worst)


def test_retries_are_still_made_while_servers_fail() -> None:
    simulation = _simulation(3)
    simulation.start()
    simulation.run(10.0)
    _fail_plain_calls(simulation)
    _send_for(simulation, "slot", seconds=12.0, per_second=30)
    worst = _worst(simulation)
    assert not worst.is_exceeded, str(worst)
    assert worst.retries > worst.allowed / 2
