"""Tests of the choice among plain servers that differ in speed."""

import random
from unittest import mock

import pytest
from twisted.internet import defer
from twisted.internet import task

from nutmegscale import adaptive
from nutmegscale import backend
from nutmegscale import caller_request
from standins import raw_caller
from standins import router_world
from tools import uneven_servers

SLOW = caller_request.ServerLoad(0, 0, 6, 2.5, True)
USUAL = caller_request.ServerLoad(0, 0, 6, 1.0, True)
FULL = caller_request.ServerLoad(6, 9, 6, 1.0, True)
TARGET_S = 0.15


def _server(name: str, born: int = 1) -> backend.Backend:
    return backend.Backend(name, born, "s", f"{name}:1", "z", 6, False, "")


A, B = _server("a"), _server("b")


def _estimates(**loads: caller_request.ServerLoad) -> adaptive.ServerEstimates:
    known = adaptive.ServerEstimates()
    known.keep_only({A.key, B.key})
    for name, load in loads.items():
        known.record_load(0.0, f"{name}@1", load, own=0)
    return known


def _part_of_a(
    known: adaptive.ServerEstimates,
    now: float = 0.0,
    *,
    own: tuple[int, int] = (0, 0),
) -> float:
    selector = adaptive.ServerSelector(known, random.Random(1))
    candidates = [adaptive.Candidate(A, own[0]), adaptive.Candidate(B, own[1])]
    chosen = [
        selector.choose(now, candidates, TARGET_S, TARGET_S)
        for _ in range(1000)
    ]
    return chosen.count(A) / 1000


def test_slow_server_gets_less_and_is_tried_again() -> None:
    """Guards against slow servers that get as much, or nothing for good."""
    known = _estimates(a=SLOW, b=USUAL)
    assert 0.02 < _part_of_a(known) < 0.25
    assert _part_of_a(known, 60.0) > 0.4


def test_server_that_fails_quickly_is_not_a_fast_one() -> None:
    """Guards against a server with quick 500s that draws all calls."""
    known = _estimates(a=USUAL, b=USUAL)
    known.record_load(0.0, B.key, FULL._replace(waiting=0), own=0)
    for _ in range(20):
        known.record_failure(0.0, A.key)
    assert _part_of_a(known) < 0.2


def test_server_that_restarts_starts_fresh() -> None:
    """Guards against the old incarnation's pace for the new one."""
    known = _estimates(a=SLOW, b=USUAL)
    reborn = _server("a", born=2)
    known.keep_only({reborn.key, B.key})
    assert known.pace(0.0, reborn.key, 1) == 1.0
    assert not known.is_reporting(0.0, reborn.key)
    assert not known.is_reporting(0.0, A.key)


def test_newer_reports_of_other_hosts_count() -> None:
    """Guards against hosts that only know what they saw by themselves."""
    teller = _estimates()
    teller.record_load(1.0, A.key, SLOW._replace(running=4), own=1)
    known = _estimates(a=USUAL, b=USUAL)
    known.receive(1.01, teller.share(1.0, {A.key: 1}), {})
    assert known.pace(1.01, A.key, 4) == pytest.approx(2.5, rel=0.05)
    assert known.work(1.01, A.key, own=0) == pytest.approx(4, abs=0.5)
    stale = adaptive.SharedEstimate(teller.share(1.0, {})[0].name, 400, 0, 100)
    unknown = adaptive.SharedEstimate(7, 0, 6, 900)
    known.receive(1.02, (stale, unknown), {})
    assert known.pace(1.02, A.key, 4) > 2.0


def test_server_is_not_full_for_good_without_reports() -> None:
    """Guards against calls that are refused since nothing new is heard."""
    known = _estimates(a=FULL)
    for _ in range(30):
        known.record_load(0.0, A.key, FULL, own=0)
    selector = adaptive.ServerSelector(known, random.Random(1))
    candidate = [adaptive.Candidate(A, 0)]
    assert not selector.with_room(0.0, candidate, TARGET_S)
    assert selector.with_room(5.0, candidate, TARGET_S)


def test_held_calls_go_by_rank_and_deadline_for_a_bounded_time() -> None:
    """Guards against urgent calls behind others and endless waits."""
    clock = task.Clock()
    held = adaptive.HeldCalls(clock)
    room, ended = [0], []

    async def _call(name: str, rank: int, deadline: float) -> None:
        is_ready = await held.wait(
            "s",
            lambda: room[0] > 0,
            rank=rank,
            deadline=deadline,
            limit_s=0.05,
        )
        room[0] -= is_ready
        ended.append((name, is_ready))

    for call in (("late", 1, 9.0), ("soon", 1, 8.0), ("urgent", 0, 9.0)):
        defer.ensureDeferred(_call(*call))
    assert held.must_wait("s", 1, 9.5) and not held.must_wait("s", 0, 5.0)
    room[0] = 2
    clock.pump([0.01] * 2)
    assert ended == [("urgent", True), ("soon", True)]
    clock.pump([0.01] * 5)
    assert ended[2:] == [("late", False)] and held.count("s") == 0


def test_late_answers_are_a_third_of_those_of_the_choice_by_load() -> None:
    """Guards the figure that the choice was built for."""
    plays = [
        uneven_servers.Play(seed, servers=servers, seconds=4.0)
        for seed in (1, 2, 3)
        for servers in (3, 5)
    ]
    today = uneven_servers.play_all(uneven_servers.Chooser, plays)
    chosen = uneven_servers.play_all(uneven_servers.AdaptiveChooser, plays)
    assert chosen[0] <= today[0] / 3
    assert chosen[1] <= today[1] / 2


def _simulation(further: str) -> router_world.Simulation:
    simulation = router_world.Simulation(hosts=4)
    simulation.start_default_workers()
    for name in ("w1", "w2"):
        simulation.workers[name].further_load = further
    simulation.start(3.0)
    return simulation


def _burst(simulation: router_world.Simulation, count: int) -> list[int]:
    """Send calls at once after some calm ones; return their statuses."""
    for number in range(40):
        simulation.send("confirm", host=number % 4)
        simulation.run(0.02)
    callers = [
        simulation.send("confirm", host=number % 4) for number in range(count)
    ]
    simulation.run(1.0)
    return [caller.replies[-1].status for caller in callers]


def test_servers_that_report_no_pace_are_served_as_before() -> None:
    """Guards deployments whose servers state three figures."""
    simulation = _simulation("")
    _burst(simulation, 30)
    board = simulation.hosts[0].router.board
    keys = [s.key for s in board.backends.all()]
    assert not any(
        board.estimates.is_reporting(board.now(), key) for key in keys
    )


def test_slow_server_is_known_at_all_hosts_and_gets_less() -> None:
    """Guards the way from the reports of servers to the choice of hosts."""
    simulation = _simulation(",100")
    slow = simulation.workers["w1"]
    slow.further_load, slow.service_time_s = ",250", 0.075
    _burst(simulation, 0)
    before = len(slow.ran), len(simulation.workers["w2"].ran)
    _burst(simulation, 0)
    more = len(slow.ran) - before[0]
    assert 1 <= more <= (len(simulation.workers["w2"].ran) - before[1]) / 2
    for host in simulation.hosts:
        board = host.router.board
        assert board.estimates.pace(board.now(), "w1@1", 1) > 1.2


def test_control_traffic_of_estimates_is_bounded() -> None:
    """Guards the budget of 2 KB/s that a host has for all control."""
    simulation = _simulation(",100")
    _burst(simulation, 0)
    mesh = simulation.hosts[0].router.mesh
    before, at = mesh.counts.sent_bytes, simulation.clock.seconds()
    _burst(simulation, 0)
    per_s = (mesh.counts.sent_bytes - before) / (
        simulation.clock.seconds() - at
    )
    assert per_s < 2000


def _overload(further: str) -> tuple[list[raw_caller.Reply], int]:
    """Send more than the servers take; return answers and their rejections."""
    simulation = _simulation(further)
    _burst(simulation, 0)
    workers = [simulation.workers[name] for name in ("w1", "w2")]
    for worker in workers:
        worker.service_time_s = 0.1
    before = sum(len(w.received) - len(w.ran) for w in workers)
    callers = [
        simulation.send("confirm", host=number % 4) for number in range(400)
    ]
    simulation.run(2.0)
    rejected = sum(len(w.received) - len(w.ran) for w in workers) - before
    return [caller.replies[-1] for caller in callers], rejected


def test_excess_is_held_and_refused_at_the_host() -> None:
    """Guards against bursts that servers reject, and callers left alone."""
    replies, rejected = _overload(",100")
    assert {reply.status for reply in replies} == {200, 503}
    for reply in replies:
        if reply.status == 503:
            assert 0.0 < float(reply.headers[b"retry-after"]) <= 2.0
    as_before, rejected_before = _overload("")
    assert rejected < 0.8 * rejected_before
    served = sum(reply.status == 200 for reply in replies)
    assert served >= 0.95 * sum(reply.status == 200 for reply in as_before)


def test_setting_switches_it_off() -> None:
    """Guards days that are played with the choice by load."""
    simulation = _simulation(",100")
    for host in simulation.hosts:
        router = host.router
        router.update_settings(router._settings._replace(is_adaptive=False))
    _burst(simulation, 0)
    known = simulation.hosts[0].router.board.estimates
    with mock.patch.object(known, "work") as asked:
        _burst(simulation, 4)
    assert not asked.called
