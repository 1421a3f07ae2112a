"""Tests of content that crashes its servers, with three hosts in virtual time.

Content that crashes servers and is sent again, to any host, must be refused
after two crashes, with or without a body. Connections that break without a
crash make no suspects, and calls that share a content stay in use while their
servers crash for other reasons.
"""

import pytest

from standins import router_world

POISON = b"poison"
DOWN_S = 2.0


def _simulation() -> router_world.Simulation:
    simulation = router_world.Simulation(hosts=3)
    simulation.start_default_workers()
    for name in ("w3", "w4"):
        simulation.add_worker(name)
    simulation.start()
    _set_poison(simulation)
    return simulation


def _set_poison(simulation: router_world.Simulation) -> None:
    for name, worker in simulation.workers.items():
        worker.poison = POISON

        def _crash(name: str = name) -> None:
            simulation.crash_worker(name, DOWN_S)

        worker.on_crash = _crash


def _run_count(simulation: router_world.Simulation) -> int:
    names = [n for w in simulation.workers.values() for n in w.ran]
    return len(names)


def test_poison_sent_to_one_host_after_the_other_takes_two_servers() -> None:
    simulation = _simulation()
    statuses = [
        simulation.ask("confirm", 0.6, host=n % 3, body=POISON).status
        for n in range(6)
    ]
    assert statuses[:2] == [502, 502]
    assert statuses[2:] == [503] * 4
    assert _run_count(simulation) == 2


def test_poison_in_streams_takes_two_servers() -> None:
    simulation = _simulation()
    replies = [
        simulation.ask("brief", 3.0, host=n % 3, body=POISON) for n in range(5)
    ]
    assert [r.status for r in replies[2:]] == [503] * 3
    assert _run_count(simulation) == 2


def test_poison_quarantined_during_its_prefill_crashes_no_decode_worker() -> (
    None
):
    """A resumable stream is prefilled for its second run meanwhile."""
    simulation = _simulation()
    for name in ("d3", "d4", "d5"):
        simulation.add_worker(name, stage="decode")
    _set_poison(simulation)
    simulation.send("digest", host=0, body=POISON)
    simulation.run(0.08)
    simulation.send("digest", host=1, body=POISON)
    simulation.run(3.0)
    assert _run_count(simulation) == 2


def test_poison_without_a_body_takes_two_servers() -> None:
    simulation = _simulation()
    for worker in simulation.workers.values():
        worker.poison_prefix = b"/slot/poison"
    replies = [
        simulation.ask(
            "slot",
            0.6,
            host=n % 3,
            method="GET",
            body=b"",
            resource="poison",
        )
        for n in range(6)
    ]
    assert _run_count(simulation) == 2
    assert [r.status for r in replies[1:]] == [503] * 5
    other = simulation.ask("slot", 0.6, method="GET", body=b"")
    assert other.status == 200


def test_reset_of_a_connection_alone_makes_no_suspect() -> None:
    simulation = _simulation()
    for worker in simulation.workers.values():
        worker.poison = b""
        worker.raw_response = b"nonsense\r\n\r\n"
    for n in range(4):
        assert (
            simulation.ask("confirm", 0.6, host=n % 3, body=b"x").status == 502
        )
    for worker in simulation.workers.values():
        worker.raw_response = b""
    simulation.run(5.0)
    assert simulation.ask("confirm", 0.6, body=b"x").status == 200


def test_crashes_stop_no_call_without_a_body() -> None:
    simulation = _simulation()
    for _ in range(3):
        for name in ("w1", "w2", "w3", "w4"):
            simulation.send("slot", method="GET", body=b"")
            simulation.run(0.01)
            simulation.crash_worker(name, 0.5)
            simulation.run(0.7)
    simulation.run(4.0)
    assert simulation.ask("slot", 0.6, method="GET", body=b"").status == 200


def _share_one_server(simulation: router_world.Simulation) -> None:
    """Let two hosts run the same content on the same server, which crashes."""
    for host in range(2):
        simulation.send("confirm", host=host, body=b"x")
    simulation.run(0.02)
    simulation.crash_worker("w1", DOWN_S)
    simulation.run(0.5)


def test_one_crash_under_two_runs_of_a_content_counts_once() -> None:
    simulation = router_world.Simulation(hosts=3)
    simulation.configure()
    simulation.add_worker("w1")
    simulation.start()
    _share_one_server(simulation)
    simulation.run(DOWN_S + 1.0)
    assert simulation.ask("confirm", 0.6, host=2, body=b"x").status == 200


def test_servers_lost_at_the_same_time_count_once() -> None:
    simulation = router_world.Simulation(hosts=2)
    simulation.configure()
    for name in ("w1", "w2"):
        simulation.add_worker(name, slots=1)
    simulation.start()
    for _ in range(2):
        simulation.send("confirm", body=b"x")
    simulation.run(0.02)
    assert [len(w.ran) for w in simulation.workers.values()] == [1, 1]
    for name in ("w1", "w2"):
        simulation.crash_worker(name, DOWN_S)
    simulation.run(DOWN_S + 1.5)
    assert simulation.ask("confirm", 0.6, host=1, body=b"x").status == 200


def test_a_completed_run_clears_the_content_on_all_hosts() -> None:
    simulation = router_world.Simulation(hosts=3)
    simulation.configure()
    simulation.add_worker("w1")
    simulation.start()
    for crash in range(3):
        host = crash % 3
        simulation.send("confirm", host=host, body=b"x")
        simulation.run(0.02)
        simulation.crash_worker("w1", DOWN_S)
        simulation.run(DOWN_S + 1.5)
        other = simulation.ask("confirm", 0.6, host=(host + 1) % 3, body=b"x")
        assert other.status == 200


def test_a_retry_that_succeeds_clears_the_content_at_once() -> None:
    simulation = router_world.Simulation(hosts=3)
    simulation.configure()
    for name in ("w1", "w2"):
        simulation.add_worker(name)
    simulation.start()
    for crash in range(4):
        caller = simulation.send("slot", host=crash % 3, method="GET", body=b"")
        simulation.run(0.02)
        ran_on = next(n for n, w in simulation.workers.items() if w.running)
        simulation.crash_worker(ran_on, DOWN_S)
        simulation.run(0.5)
        assert caller.replies[-1].status == 200
        simulation.run(DOWN_S + 1.0)


@pytest.mark.parametrize("seed", range(1, 9))
def test_suspects_of_one_crash_run_on_different_servers(seed: int) -> None:
    simulation = router_world.Simulation(hosts=2, seed=seed)
    simulation.configure()
    simulation.add_worker("w1")
    simulation.start()
    names = ("w1", "w2", "w3", "w4")
    for name in names[1:]:
        simulation.add_worker(name)
    simulation.run(0.5)
    _set_poison(simulation)
    for name in names[1:]:
        simulation.write_entry(name, state="draining")
    simulation.run(0.5)
    simulation.send("confirm", host=1, body=b"innocent")
    simulation.run(0.01)
    simulation.send("confirm", host=0, body=POISON)
    simulation.run(0.3)
    for name in names[1:]:
        simulation.write_entry(name)
    simulation.run(0.5)
    innocent = simulation.send("confirm", host=1, body=b"innocent")
    simulation.send("confirm", host=0, body=POISON)
    simulation.run(0.5)
    assert innocent.replies[-1].status == 200
    refused = simulation.ask("confirm", 0.6, host=1, body=POISON)
    assert refused.status == 503
    assert _run_count(simulation) == 4
    again = simulation.ask("confirm", 0.6, host=0, body=b"innocent")
    assert again.status == 200


def test_poison_sent_again_at_once_takes_two_servers() -> None:
    simulation = _simulation()
    for worker in simulation.workers.values():
        worker.poison_prefix = b"/slot/poison"
    statuses = []
    for n in range(6):
        caller = simulation.send(
            "slot", host=n % 3, method="GET", body=b"", resource="poison"
        )
        while not caller.replies:
            simulation.run(router_world.STEP_S)
        statuses.append(caller.replies[-1].status)
    assert _run_count(simulation) == 2
    assert statuses == [502] + [503] * 5


def test_retry_of_content_that_is_no_suspect_waits_for_no_check() -> None:
    simulation = _simulation()
    caller = simulation.send("slot", method="GET", body=b"")
    simulation.run(0.015)
    first = next(w for w in simulation.workers.values() if w.running)
    first.raw_response = b"nonsense\r\n\r\n"
    simulation.run(0.115)
    assert [r.status for r in caller.replies] == [200]


def test_poison_in_prefills_takes_two_servers() -> None:
    simulation = _simulation()
    for name in ("p3", "p4", "p5"):
        simulation.add_worker(name, stage="prefill")
    simulation.run(0.5)
    _set_poison(simulation)
    for worker in simulation.workers.values():
        worker.crashes_in_prefill = True
    replies = [
        simulation.ask("brief", 3.0, host=n % 3, body=POISON) for n in range(4)
    ]
    crashes = _run_count(simulation) + sum(
        worker.prefills for worker in simulation.workers.values()
    )
    assert crashes == 2
    assert [r.status for r in replies] == [503] * 4
    other = simulation.ask("brief", 3.0, body=b"other")
    assert other.status == 200


def test_a_host_that_joins_knows_what_is_quarantined() -> None:
    simulation = _simulation()
    for n in range(2):
        simulation.ask("confirm", 0.6, host=n, body=POISON)
    added = simulation.add_host("host-late")
    added.router.start()
    simulation.run(1.0)
    refused = simulation.ask("confirm", 0.6, host=3, body=POISON)
    assert refused.status == 503
    assert _run_count(simulation) == 2


@pytest.mark.parametrize(
    ("wait_s", "expected"), [(0.0, [502, 503]), (4.0, [503, 503])]
)
def test_a_host_that_missed_the_crashes_learns_of_them(
    wait_s: float, expected: list[int]
) -> None:
    """With the next crash, or before it if the others see its return."""
    simulation = _simulation()
    network = simulation.peer_network
    network.cut_off(["host-2"], ["host-0", "host-1"])
    for n in range(2):
        simulation.ask("confirm", 0.6, host=n, body=POISON)
    network.heal("host-2")
    simulation.run(wait_s)
    statuses = [
        simulation.ask("confirm", 0.6, host=2, body=POISON).status
        for _ in range(2)
    ]
    assert statuses == expected
    assert _run_count(simulation) == 2 + expected.count(502)


def _go_silent_on_crash(simulation: router_world.Simulation) -> None:
    """Let crashed servers answer no connection attempt, so checks take long."""
    for name, worker in simulation.workers.items():

        def _crash(name: str = name) -> None:
            simulation.crash_worker(name, DOWN_S)
            simulation.net.hanging.add(simulation.addresses[name])

        worker.on_crash = _crash


def test_caller_that_leaves_during_the_checks_ends_no_check() -> None:
    simulation = _simulation()
    _go_silent_on_crash(simulation)
    for worker in simulation.workers.values():
        worker.poison_prefix = b"/slot/poison"
    caller = simulation.send("slot", method="GET", body=b"", resource="poison")
    while _run_count(simulation) < 2:
        simulation.run(router_world.STEP_S)
    simulation.run(0.02)
    assert not caller.replies
    caller.transport.abortConnection()
    simulation.run(0.5)
    refused = simulation.ask(
        "slot", 0.6, host=1, method="GET", body=b"", resource="poison"
    )
    assert refused.status == 503
    assert _run_count(simulation) == 2


def test_poison_that_meets_an_innocent_call_twice_takes_two_servers() -> None:
    for seed in range(1, 25):
        simulation = router_world.Simulation(hosts=2, seed=seed)
        simulation.configure()
        for name in ("w1", "w2", "w3"):
            simulation.add_worker(name)
        simulation.start()
        _set_poison(simulation)
        for worker in simulation.workers.values():
            worker.poison_prefix = b"/slot/poison"
        for host, resource in ((1, f"x{seed}"), (0, "poison")):
            simulation.send(
                "slot", host=host, method="GET", body=b"", resource=resource
            )
        simulation.run(0.6)
        for host in range(2):
            simulation.ask(
                "slot",
                0.6,
                host=host,
                method="GET",
                body=b"",
                resource="poison",
            )
        crashes = sum(
            head.target == b"/slot/poison"
            for worker in simulation.workers.values()
            for head in worker.request_heads
        )
        assert crashes <= 2, f"seed {seed}: {crashes} crashes"


def test_cuts_that_reset_connections_quarantine_no_innocent_call() -> None:
    """All servers of a failure domain refuse connections, not only one."""
    simulation = router_world.Simulation(
        hosts=2, failure_domains=("maadi", "nasr")
    )
    simulation.configure()
    names = ("w1", "w2", "w3")
    for name in names:
        simulation.add_worker(name)
        simulation.workers[name].service_time_s = 0.2
        simulation.write_entry(name, zone="nasr")
    simulation.start()
    addresses = [simulation.addresses[name] for name in names]
    for _ in range(2):
        # Each server has answered before the cut.
        for _ in range(6):
            simulation.send("slot")
        simulation.run(1.0)
        simulation.send("slot", method="GET", body=b"")
        simulation.run(0.05)
        for host in ("host-0", "host-1"):
            simulation.net.cut(host, addresses, "reset")
        simulation.run(1.0)
        for host in ("host-0", "host-1"):
            simulation.net.heal(host)
        simulation.run(4.0)
    assert simulation.ask("slot", method="GET", body=b"").status == 200
