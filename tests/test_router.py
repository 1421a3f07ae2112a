"""Tests of the router with the platform's codecs, without real sockets.

Time is simulated.
"""

from twisted.internet import defer
from twisted.internet import protocol

from nutmegscale import lease
from nutmegscale import periodic
from nutmegscale import row_store
from standins import raw_caller
from standins import router_world


def _make_simulation(hosts: int = 1) -> router_world.Simulation:
    simulation = router_world.Simulation(hosts=hosts)
    simulation.start_default_workers()
    simulation.start()
    return simulation


def test_plain_call_passes_through_unchanged() -> None:
    simulation = _make_simulation()
    reply = simulation.ask("confirm", X_Own="kept", Stage="prefill", Pin_Ms="9")
    seen = [
        h for w in ("w1", "w2") for h in simulation.workers[w].request_heads
    ]
    assert (reply.status, reply.body, reply.is_complete) == (
        200,
        b"hello",
        True,
    )
    assert reply.headers[b"response-signature"].startswith(b"proof-")
    assert len(seen) == 1
    assert (seen[0].method, seen[0].target) == (b"POST", b"/confirm/x?q=1")
    assert seen[0].get(b"x-own") == b"kept"
    assert seen[0].get(b"stage") is None
    assert seen[0].get(b"pin-ms") is None
    left_ms = int(seen[0].get(b"deadline-ms") or b"0")
    assert 0 < left_ms <= 800


def test_stream_is_prefilled_apart_and_whole() -> None:
    simulation = _make_simulation()
    reply = simulation.ask("brief")
    assert reply.status == 200
    assert reply.is_complete
    assert reply.body.count(b"\n\n") == 3
    decode = [w for w in ("d1", "d2") if simulation.workers[w].ran]
    prefill = [
        w
        for w in ("p1", "p2")
        if any(h.get(b"stage") for h in simulation.workers[w].request_heads)
    ]
    assert (len(decode), len(prefill)) == (1, 1)
    source = (
        simulation.workers[decode[0]].request_heads[-1].get(b"kv-source") or b""
    )
    assert source.decode().startswith(simulation.addresses[prefill[0]])


def test_unknown_path_is_404_and_no_config_is_503() -> None:
    simulation = _make_simulation()
    assert simulation.ask("nothing").status == 404
    empty = router_world.Simulation()
    empty.start()
    reply = empty.ask("confirm")
    assert reply.status == 503
    assert float(reply.headers[b"retry-after"]) > 0


def test_rejected_call_goes_to_another_server() -> None:
    simulation = _make_simulation()
    simulation.workers["w1"].is_full = True
    statuses = [simulation.ask("confirm", 0.5).status for _ in range(6)]
    assert statuses == [200] * 6
    assert not simulation.workers["w1"].ran


def test_all_full_is_refused_as_not_run() -> None:
    simulation = _make_simulation()
    simulation.workers["w1"].is_full = simulation.workers["w2"].is_full = True
    reply = simulation.ask("confirm", 0.5)
    assert reply.status == 503
    assert b"retry-after" in reply.headers


def test_safe_call_is_repeated_after_a_fault_and_unsafe_is_not() -> None:
    for route, status, runs in (("slot", 200, 2), ("confirm", 502, 1)):
        simulation = _make_simulation()
        simulation.workers["w1"].raw_response = b"nonsense\r\n\r\n"
        replies = [simulation.ask(route, 0.5, method="GET", body=b"")]
        while not simulation.workers["w1"].ran:
            replies.append(simulation.ask(route, 0.5, method="GET", body=b""))
        assert replies[-1].status == status
        names = [n for w in ("w1", "w2") for n in simulation.workers[w].ran]
        assert names.count(simulation.workers["w1"].ran[0]) == runs


def test_success_without_proof_is_no_success() -> None:
    simulation = _make_simulation()
    for name in ("w1", "w2"):
        simulation.workers[
            name
        ].raw_response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"
    assert simulation.ask("confirm", 0.5).status == 502


def test_answer_cut_short_is_not_passed_on() -> None:
    simulation = _make_simulation()
    for name in ("w1", "w2"):
        simulation.workers[name].raw_response = (
            b"HTTP/1.1 200 OK\r\nResponse-Signature: x\r\n"
            b"Content-Length: 9\r\n\r\nhi"
        )
    assert simulation.ask("confirm", 0.5).status == 502


def test_bytes_behind_an_answer_reach_nobody() -> None:
    simulation = _make_simulation()
    extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
    for name in ("w1", "w2"):
        simulation.workers[name].trailing_bytes = extra
    bodies = [simulation.ask("confirm", 0.5, body=b"n%d" % n) for n in range(6)]
    assert [b.body for b in bodies] == [b"n%d" % n for n in range(6)]


def test_mute_server_gets_a_timeout_at_the_routes_time() -> None:
    simulation = _make_simulation()
    simulation.workers["w1"].is_unresponsive = simulation.workers[
        "w2"
    ].is_unresponsive = True
    caller = simulation.send("confirm")
    simulation.run(0.7)
    assert not caller.replies
    simulation.run(0.2)
    assert caller.replies[0].status == 504


def test_caller_gone_is_cancelled_and_its_handle_freed() -> None:
    simulation = _make_simulation()
    caller = simulation.send("brief")
    simulation.run(0.05)
    caller.transport.loseConnection()
    simulation.run(1.0)
    assert not simulation.workers["d1"].ran + simulation.workers["d2"].ran
    caller = simulation.send("brief")
    simulation.run(0.2)
    caller.transport.loseConnection()
    simulation.run(0.3)
    cancelled = (
        simulation.workers["d1"].cancelled + simulation.workers["d2"].cancelled
    )
    assert len(cancelled) == 1
    assert simulation.hosts[0].router.live == 0


def test_lapsed_handle_leads_to_a_run_that_reads_the_prompt() -> None:
    simulation = _make_simulation()
    simulation.workers["p1"].handles_expire_at_once = True
    simulation.workers["p2"].handles_expire_at_once = True
    reply = simulation.ask("brief")
    assert (reply.status, reply.is_complete) == (200, True)


def test_stream_without_prefill_workers_is_served() -> None:
    simulation = router_world.Simulation()
    simulation.configure()
    simulation.add_worker("d1", stage="decode")
    simulation.start()
    reply = simulation.ask("brief")
    assert (reply.status, reply.is_complete) == (200, True)


def test_broken_stream_is_broken_off_unless_it_may_go_on() -> None:
    simulation = _make_simulation()
    simulation.workers["d1"].break_after_events = simulation.workers[
        "d2"
    ].break_after_events = 1
    reply = simulation.ask("brief")
    assert (reply.is_complete, reply.is_closed) == (False, True)
    simulation = _make_simulation()
    simulation.workers["d1"].break_after_events = 1
    replies = [simulation.ask("digest")]
    while not simulation.workers["d1"].ran:
        replies.append(simulation.ask("digest"))
    for reply in replies:
        lines = reply.body.split(b"\n")
        ids = [line for line in lines if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3"]
        assert reply.is_complete


def test_full_decode_workers_queue_then_refuse_with_a_time() -> None:
    simulation = _make_simulation()
    for name in ("d1", "d2"):
        simulation.workers[name].event_count = 40
    callers = [simulation.send("brief") for _ in range(30)]
    simulation.run(4.5)
    statuses = [c.replies[0].status if c.replies else 0 for c in callers]
    assert statuses.count(200) >= 8
    assert 0 not in statuses
    refused = [c.replies[0] for c in callers if c.replies[0].status == 503]
    assert refused
    assert all(float(r.headers[b"retry-after"]) > 0 for r in refused)
    for name in ("d1", "d2"):
        rejected = len(simulation.workers[name].request_heads) - len(
            simulation.workers[name].ran
        )
        assert rejected == 0


def test_hosts_share_the_slots_through_one_planner() -> None:
    simulation = _make_simulation(hosts=3)
    for name in ("d1", "d2"):
        simulation.workers[name].event_count = 20
    callers = [simulation.send("brief", host=n % 3) for n in range(8)]
    simulation.run(3.0)
    assert [c.replies[0].status for c in callers] == [200] * 8
    assert all(c.replies[0].is_complete for c in callers)
    for name in ("d1", "d2"):
        assert len(simulation.workers[name].request_heads) == len(
            simulation.workers[name].ran
        )


def test_stream_is_served_while_the_planner_is_cut_off() -> None:
    simulation = _make_simulation(hosts=3)
    planner = simulation.hosts[0].router.slots.planner_of("notes-model")
    other = next(
        n
        for n, h in enumerate(simulation.hosts)
        if h.router.board.host != planner
    )
    names = [h.router.board.host for h in simulation.hosts]
    simulation.peer_network.cut_off(
        [planner], [n for n in names if n != planner]
    )
    reply = simulation.ask("brief", host=other)
    assert (reply.status, reply.is_complete) == (200, True)


def test_new_configuration_is_in_force_and_never_reverts() -> None:
    simulation = _make_simulation(hosts=2)
    simulation.store.refused_hosts.add("host-1")
    simulation.configure(5, routes=[])
    simulation.run(2.5)
    assert simulation.ask("confirm", 0.5).status == 404
    assert simulation.ask("confirm", 0.5, host=1).status == 404
    simulation.configure(4)
    simulation.run(2.5)
    assert simulation.ask("confirm", 0.5).status == 404


def test_bad_configuration_is_skipped() -> None:
    simulation = _make_simulation()
    simulation.store.put("op", "config", b'{"version": 9, "routes": [{}]}')
    simulation.run(0.5)
    assert simulation.ask("confirm", 0.5).status == 200


def test_draining_server_gets_nothing_more() -> None:
    simulation = _make_simulation()
    simulation.write_entry("w1", state="draining")
    simulation.run(0.1)
    for _ in range(4):
        assert simulation.ask("confirm", 0.3).status == 200
    assert not simulation.workers["w1"].ran


def test_entry_lost_in_a_gap_of_the_feed_is_gone() -> None:
    simulation = _make_simulation()
    simulation.store.remove("servers", "w1")
    simulation.store.forget_history()
    simulation.run(3.0)
    for _ in range(4):
        assert simulation.ask("confirm", 0.3).status == 200
    assert not simulation.workers["w1"].ran


def test_entries_that_lapse_in_an_outage_are_used_until_they_are_late() -> None:
    simulation = _make_simulation()
    simulation.store.is_down = True
    simulation.store.forget_history()
    for name in ("w1", "w2"):
        simulation.store.remove("servers", name)
    simulation.run(4.0)
    simulation.store.is_down = False
    simulation.run(1.5)
    assert simulation.ask("confirm", 0.2).status == 200
    simulation.write_entry("w2")
    simulation.run(2.5)
    usable = simulation.hosts[0].router.board.backends.usable("entries-app")
    assert [b.id for b in usable] == ["w2"]


def test_address_of_another_server_is_noticed() -> None:
    simulation = _make_simulation()
    simulation.workers["w1"].id = "another"
    statuses = [simulation.ask("confirm", 0.3).status for _ in range(4)]
    assert statuses == [200] * 4
    assert not simulation.workers["w1"].ran


def _drain(simulation: router_world.Simulation) -> "defer.Deferred[None]":
    host = simulation.hosts[0]
    host.ingress.is_draining = True
    return periodic.spawn(
        host.router.drain(
            host.ingress.connections,
            host.ingress.close_idle,
            lambda: simulation.net.close(host.address),
        )
    )


def test_drain_finishes_what_runs_and_closes_between_requests() -> None:
    simulation = _make_simulation()
    idle = simulation.open_connection()
    busy = simulation.send("brief")
    simulation.run(0.2)
    drained = _drain(simulation)
    assert not simulation.hosts[0].router.board.is_ready
    late = simulation.ask("confirm", 0.5, on=idle)
    assert (late.status, late.headers[b"connection"]) == (200, b"close")
    simulation.run(4.0)
    assert busy.replies[0].is_complete
    assert drained.called


def test_request_at_the_end_of_a_drain_is_answered() -> None:
    # Guards against a process that ends once nothing has been running for
    # 0.2 s, although a request is just coming in: one that was accepted 4.4 s
    # after SIGTERM was cut off.
    for start_s in (2.15, 2.19, 2.2, 2.21, 2.25, 2.3):
        simulation = _make_simulation()
        drained = _drain(simulation)
        simulation.run(start_s)
        caller = protocol.Factory.forProtocol(raw_caller.Caller)
        found: list[raw_caller.Caller] = []
        connected = simulation.net.connect(simulation.hosts[0].address, caller)
        connected.addCallbacks(found.append, lambda failure: None)
        simulation.run(0.01)
        if found:
            simulation.send("confirm", on=found[0])
            while not drained.called:
                simulation.run(0.005)
            replies = found[0].replies
            assert replies or found[0].is_closed_unanswered, start_s
            assert all(r.is_complete for r in replies), start_s
        simulation.run(1.0)
        assert drained.called


def test_host_that_reaches_no_server_says_so_until_it_does() -> None:
    simulation = _make_simulation()
    board = simulation.hosts[0].router.board
    assert board.is_ready
    for name in ("w1", "w2"):
        simulation.net.silent.add(simulation.addresses[name])
    replies = [simulation.ask("confirm", 0.7) for _ in range(2)]
    assert [r.status for r in replies] == [503, 503]
    simulation.run(0.6)
    assert not board.is_ready
    for _ in range(2):
        simulation.send("confirm")
    assert simulation.ask("confirm", 0.05).status == 503
    simulation.net.silent.clear()
    simulation.run(1.5)
    assert board.is_ready
    assert simulation.ask("confirm", 0.5).status == 200


def test_prefill_worker_is_ordered_to_decode_where_that_is_scarce() -> None:
    simulation = router_world.Simulation(hosts=3)
    simulation.configure()
    for name in ("p1", "p2"):
        simulation.add_worker(name, stage="prefill")
    simulation.add_worker("d1", stage="decode")
    simulation.start(6.0)
    orders = simulation.workers["p1"].orders + simulation.workers["p2"].orders
    assert [order["stage"] for order in orders] == ["decode"]
    first_fence = row_store.write_number(simulation.store.era, 1)
    assert orders[0]["fencingToken"] == first_fence
    assert orders[0]["holder"] in [
        h.router.board.host for h in simulation.hosts
    ]
    stages = [w.stage for w in simulation.workers.values()]
    assert sorted(stages) == ["decode", "decode", "prefill"]
    reply = simulation.ask("brief")
    assert (reply.status, reply.is_complete) == (200, True)


def test_no_order_is_given_without_the_lease() -> None:
    simulation = router_world.Simulation()
    simulation.configure()
    for name in ("p1", "p2"):
        simulation.add_worker(name, stage="prefill")
    simulation.add_worker("d1", stage="decode")
    simulation.start(0.5)
    simulation.store.is_down = True
    simulation.run(6.0)
    assert not simulation.workers["p1"].orders + simulation.workers["p2"].orders


def test_slots_aren_t_given_twice_when_the_planner_stops() -> None:
    # Guards against double grants when hosts are stopped in turn and planning
    # moves to a host that doesn't know the held slots yet: full workers
    # rejected 48 runs.
    simulation = _make_simulation(hosts=3)
    for name in ("d1", "d2"):
        simulation.workers[name].event_count = 60
    before = [simulation.send("brief", host=n % 3) for n in range(7)]
    simulation.run(1.0)
    planner = simulation.hosts[0].router.slots.planner_of("notes-model")
    stopped = next(
        h for h in simulation.hosts if h.router.board.host == planner
    )
    stopped.ingress.is_draining = True
    periodic.spawn(
        stopped.router.drain(
            stopped.ingress.connections,
            stopped.ingress.close_idle,
            lambda: None,
        )
    )
    simulation.run(0.05)
    others = [n for n, h in enumerate(simulation.hosts) if h is not stopped]
    after = [simulation.send("brief", host=others[n % 2]) for n in range(6)]
    simulation.run(4.5)
    assert all(c.replies for c in before + after)
    for name in ("d1", "d2"):
        assert len(simulation.workers[name].request_heads) == len(
            simulation.workers[name].ran
        )


def test_kv_cache_refused_by_a_full_worker_is_offered_to_another() -> None:
    simulation = _make_simulation()
    simulation.workers["d1"].is_full = True
    replies = [simulation.ask("brief", 1.0) for _ in range(3)]
    assert [r.status for r in replies] == [200] * 3
    prefills = sum(
        bool(h.get(b"stage"))
        for w in ("p1", "p2")
        for h in simulation.workers[w].request_heads
    )
    assert prefills == 3


def test_host_that_holds_a_leaving_one_for_the_planner_is_sent_on() -> None:
    # Guards against two planners at once: when hosts were stopped in turn,
    # those that had just started still requested slots from a host that was
    # shutting down, while others used the new planner.
    simulation = _make_simulation(hosts=3)
    slots = simulation.hosts[0].router.slots
    planner = slots.planner_of("notes-model")
    stopped = next(
        h for h in simulation.hosts if h.router.board.host == planner
    )
    asker = next(h for h in simulation.hosts if h is not stopped)
    stopped.router.board.membership.leave(simulation.clock.seconds())
    stopped.router.board.is_draining = True
    assert asker.router.slots.planner_of("notes-model") == planner
    reply = simulation.ask("brief", host=simulation.hosts.index(asker))
    assert (reply.status, reply.is_complete) == (200, True)
    assert asker.router.slots.planner_of("notes-model") != planner


def test_caller_with_no_time_left_is_told_that_nothing_ran() -> None:
    # Guards against status 504 for a call that was never sent, as seen in an
    # incident: after a 504, a caller can't retry a call that must not run
    # twice.
    simulation = _make_simulation()
    reply = simulation.ask("confirm", 0.2, patience_ms=40)
    assert reply.status == 503
    assert (
        not simulation.workers["w1"].request_heads
        + simulation.workers["w2"].request_heads
    )


def test_host_with_a_silent_way_to_the_store_hears_who_leaves() -> None:
    # Guards against a host that keeps sending to a leaving server because its
    # connection to the store is unresponsive (soak test, seed 2).
    for silent in ("host-0", "host-1", "host-2"):
        for name in ("w1", "w2", "d1"):
            simulation = _make_simulation(hosts=3)
            simulation.store.unresponsive_hosts = {silent}
            simulation.write_entry(name, state="draining")
            simulation.run(0.5)
            for host in simulation.hosts:
                entry = host.router.board.backends.get(name)
                assert entry is not None
                assert entry.is_draining, (silent, host.router.board.host)


def test_entry_removed_after_a_short_loss_of_the_store_is_gone_at_once() -> (
    None
):
    # Guards against keeping a removed entry, as if it had lapsed in an outage,
    # after a mere reset of all connections to the store: a server that left
    # 0.9 s after the reset was still used.
    simulation = _make_simulation()
    simulation.store.refused_hosts.add("host-0")
    simulation.store.put("servers", "other", b"?")
    simulation.store.put("op", "other", b"?")
    simulation.run(0.1)
    simulation.store.refused_hosts.clear()
    simulation.run(0.6)
    simulation.store.remove("servers", "w1")
    simulation.run(0.05)
    usable = simulation.hosts[0].router.board.backends.usable("entries-app")
    assert [b.id for b in usable] == ["w2"]


def test_worker_that_leaves_during_the_prefill_gets_no_run() -> None:
    simulation = _make_simulation()
    caller = simulation.send("brief")
    simulation.run(0.05)
    for name in ("d1", "d2"):
        if simulation.hosts[0].router.slots.holds(name):
            simulation.write_entry(name, state="draining")
            left = name
    simulation.run(1.5)
    assert not simulation.workers[left].ran
    assert caller.replies[0].status == 200
    assert caller.replies[0].is_complete


def test_suspended_holder_of_the_lease_may_give_no_order_when_it_wakes() -> (
    None
):
    # The monotonic clock stops while the host is suspended, so a lease that is
    # measured by it would outlive its term; the boot-time clock keeps running.
    simulation = _make_simulation()
    control = simulation.hosts[0].router.stages._lease("notes-model")
    periodic.spawn(control.maintain())
    simulation.run(0.1)
    assert control.fence == row_store.write_number(simulation.store.era, 1)
    simulation.suspended_s += lease.DURATION_S
    assert control.fence is None


def test_rejected_prefill_goes_to_another_prefill_worker() -> None:
    """A prefill worker changes its stage and rejects prompts at once.

    Local prefills instead would delay all runs of the decode workers.
    """
    simulation = _make_simulation()
    simulation.workers["p1"].is_full = True
    replies = [simulation.ask("brief") for _ in range(6)]
    assert all(reply.is_complete for reply in replies)
    heads = [
        head
        for w in ("d1", "d2")
        for head in simulation.workers[w].request_heads
    ]
    assert len(heads) == 6
    assert all(head.get(b"kv-source") for head in heads)


def test_event_without_end_breaks_the_stream_off_after_what_was_sent() -> None:
    simulation = _make_simulation()
    decodes = [simulation.workers[name] for name in ("d1", "d2")]
    for worker in decodes:
        worker.endless = b"data: " + b"x" * 16_384
    caller = simulation.send("brief")
    simulation.run(1.0)
    assert [w.endless_answers for w in decodes] == [0, 0]
    assert caller.replies[0].body == b"id: 1\ndata: token\n\n"
    assert not caller.replies[0].is_complete
    assert caller.is_closed


def test_free_that_is_answered_without_end_is_closed() -> None:
    simulation = _make_simulation()
    prefills = [simulation.workers[name] for name in ("p1", "p2")]
    for worker in prefills:
        worker.endless = b"x" * 16_384
    for name in ("d1", "d2"):
        simulation.workers[name].is_full = True
    simulation.ask("brief", 4.0)
    assert sum(len(w.freed) for w in prefills) > 0
    assert [w.endless_answers for w in prefills] == [0, 0]


def test_endless_events_wait_for_a_caller_that_does_not_read() -> None:
    simulation = _make_simulation()
    for name in ("d1", "d2"):
        simulation.workers[name].endless = b"data: %b\n\n" % (b"x" * 16_384)
    caller = simulation.send("brief")
    simulation.run(0.3)
    caller.transport.peer.block_writes()
    simulation.run(0.1)
    before = len(caller.received)
    simulation.run(3.0)
    assert len(caller.received) - before <= 32_768
    caller.transport.peer.unblock_writes()
    simulation.run(0.5)
    assert len(caller.received) > before + 32_768
