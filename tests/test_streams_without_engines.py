"""Tests that a stream is the same thing at services with and without engines.

Services without engines have no planner and no prefill; their servers are
chosen by load. All else about a stream holds there too.
"""

import json
from typing import Any

from standins import platform_rows
from standins import raw_caller
from standins import router_world

PARTS = "aa:200,bb:4800"
EVENTS = 60
INTERVAL_S = 0.05
PLAIN = platform_rows.PLAIN_SERVICE
MODEL = platform_rows.MODEL_SERVICE


def _simulation(
    *,
    hosts: int = 3,
    resumable: bool = True,
    weights: dict[str, int] | None = None,
    versions: tuple[str, ...] = ("v1", "v1"),
) -> router_world.Simulation:
    """Start hosts, engines and servers that answer with streams."""
    simulation = router_world.Simulation(hosts=hosts, retry_extra=1_000.0)
    _set_route(simulation, weights or {PLAIN: 1}, resumable=resumable)
    for number, version in enumerate(versions):
        worker = simulation.add_worker(f"w{number}", slots=40, version=version)
        worker.stream_prefix = b"/"
    simulation.add_worker("p0", stage="prefill", slots=40)
    for number in range(3):
        simulation.add_worker(f"d{number}", stage="decode")
    for worker in simulation.workers.values():
        worker.event_count = EVENTS
        worker.event_interval_s = INTERVAL_S
    simulation.start()
    return simulation


def _set_route(
    simulation: router_world.Simulation,
    weights: dict[str, int],
    *,
    version: int = 1,
    resumable: bool = True,
) -> None:
    route = platform_rows.split_route("digest", weights, resumable=resumable)
    simulation.configure(version, routes=[route])


def _send(
    simulation: router_world.Simulation, count: int, *, host: int = 0
) -> list[raw_caller.Caller]:
    return [
        simulation.send(
            "digest", host=host, resource=f"{n}", Prompt_Prefix=PARTS
        )
        for n in range(count)
    ]


def _ids(caller: raw_caller.Caller) -> list[int]:
    """Return the ids of the events that a caller has got."""
    body = caller.replies[-1].body if caller.replies else b""
    whole = body[: body.rfind(b"\n\n") + 2]
    return [
        int(event.split(b"\n")[0].removeprefix(b"id: "))
        for event in whole.split(b"\n\n")[:-1]
    ]


def _resume(
    simulation: router_world.Simulation,
    callers: list[raw_caller.Caller],
    *,
    host: int,
    is_named: bool = True,
) -> list[raw_caller.Caller]:
    """Resume streams, which were the first requests that were sent."""
    resumed = []
    for n, caller in enumerate(callers):
        name: Any = {"Resumes": f"r{n + 1}"} if is_named else {}
        resumed.append(
            simulation.send(
                "digest",
                host=host,
                resource=f"{n}",
                Prompt_Prefix=PARTS,
                Last_Event_Id=str(len(_ids(caller))),
                **name,
            )
        )
    return resumed


def _versions(simulation: router_world.Simulation) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for worker in simulation.workers.values():
        for event in worker.stream_events:
            found.setdefault(event.stream, set()).add(event.version)
    return found


def test_events_reach_the_caller_as_the_server_sends_them() -> None:
    for resumable in (False, True):
        simulation = _simulation(resumable=resumable)
        (caller,) = _send(simulation, 1)
        simulation.run(1.0)
        assert 15 <= len(_ids(caller)) < EVENTS
        simulation.run(3.0)
        assert _ids(caller) == list(range(1, EVENTS + 1))
        assert caller.replies[-1].is_complete


def test_a_resumed_stream_holds_no_event_twice() -> None:
    simulation = _simulation(weights={MODEL: 50, PLAIN: 50})
    callers = _send(simulation, 12)
    simulation.run(1.0)
    assert all(_ids(caller) for caller in callers)
    simulation.restart_host(0)
    resumed = _resume(simulation, callers, host=1)
    simulation.run(5.0)
    for before, after in zip(callers, resumed, strict=True):
        assert after.replies[-1].is_complete
        assert _ids(before) + _ids(after) == list(range(1, EVENTS + 1))
    for kind in ("w", "d"):
        assert any(
            worker.stream_events
            for name, worker in simulation.workers.items()
            if name.startswith(kind)
        )


def test_unnamed_streams_of_a_killed_host_are_resumed() -> None:
    """The route has two services; the host isn't started again."""
    simulation = _simulation(weights={MODEL: 50, PLAIN: 50})
    callers = _send(simulation, 12)
    simulation.run(1.0)
    assert all(_ids(caller) for caller in callers)
    simulation.kill_host(0)
    simulation.run(0.2)
    resumed = _resume(simulation, callers, host=1, is_named=False)
    simulation.run(5.0)
    for before, after in zip(callers, resumed, strict=True):
        assert _ids(before) + _ids(after) == list(range(1, EVENTS + 1))


def test_unnamed_streams_are_refused_while_a_host_may_know_others() -> None:
    simulation = _simulation(weights={MODEL: 50, PLAIN: 50})
    callers = _send(simulation, 12)
    simulation.run(1.0)
    simulation.peer_network.cut_off(["host-0"], ["host-1", "host-2"])
    for caller in callers:
        caller.transport.abortConnection()
    simulation.run(0.2)
    resumed = _resume(simulation, callers, host=1, is_named=False)
    simulation.run(2.0)
    assert {caller.replies[-1].status for caller in resumed} == {503}


def test_a_resumed_stream_stays_at_its_software_version() -> None:
    simulation = _simulation(versions=("v1", "v2"))
    callers = _send(simulation, 20)
    simulation.run(1.0)
    simulation.restart_host(0)
    resumed = _resume(simulation, callers, host=1)
    simulation.run(5.0)
    assert all(len(seen) == 1 for seen in _versions(simulation).values())
    for before, after in zip(callers, resumed, strict=True):
        assert _ids(before) + _ids(after) == list(range(1, EVENTS + 1))


def test_a_resumed_stream_stays_at_its_service_of_two_alike() -> None:
    """Neither service has an engine, and their servers have one version."""
    simulation = _simulation(versions=("v1", "v1"))
    state = json.loads(platform_rows.config_row(2))
    other = {**state["services"][1], "name": "entries-2"}
    route = platform_rows.split_route(
        "digest", {PLAIN: 50, "entries-2": 50}, resumable=True
    )
    simulation.configure(
        2, routes=[route], services=[*state["services"], other]
    )
    row = platform_rows.entry_row(
        "entries-2", simulation.addresses["w1"], slots=40
    )
    simulation.store.put("servers", "w1", row)
    simulation.run(0.5)
    callers = _send(simulation, 12)
    simulation.run(1.0)
    simulation.restart_host(0)
    resumed = _resume(simulation, callers, host=1)
    simulation.run(5.0)
    for before, after in zip(callers, resumed, strict=True):
        assert _ids(before) + _ids(after) == list(range(1, EVENTS + 1))
    streams = [
        {event.stream for event in simulation.workers[name].stream_events}
        for name in ("w0", "w1")
    ]
    assert all(streams)
    assert not streams[0] & streams[1]


def test_a_stream_that_breaks_is_resumed_within_its_answer() -> None:
    simulation = _simulation()
    simulation.workers["w0"].break_after_events = 10
    callers = _send(simulation, 10)
    simulation.run(5.0)
    for caller in callers:
        assert caller.replies[-1].is_complete
        assert _ids(caller) == list(range(1, EVENTS + 1))
    assert len(simulation.workers["w0"].ran) >= 3


def test_a_moved_route_never_joins_two_kinds_of_service() -> None:
    for first, second in ((MODEL, PLAIN), (PLAIN, MODEL)):
        simulation = _simulation(weights={first: 1})
        callers = _send(simulation, 4)
        simulation.run(1.0)
        assert all(_ids(caller) for caller in callers)
        _set_route(simulation, {second: 1}, version=2)
        simulation.run(0.5)
        simulation.restart_host(0)
        simulation.run(0.5)
        resumed = _resume(simulation, callers, host=1)
        simulation.run(5.0)
        # The service that began them is no target of the route any longer.
        assert [caller.replies[-1].status for caller in resumed] == [503] * 4
        assert not any(_ids(caller) for caller in resumed)


def test_a_rejected_or_failed_stream_goes_to_another_server() -> None:
    simulation = _simulation()
    simulation.workers["w0"].is_full = True
    callers = _send(simulation, 5)
    simulation.run(4.0)
    assert all(caller.replies[-1].is_complete for caller in callers)
    simulation.workers["w0"].is_full = False
    simulation.workers["w0"].beginning = (
        b"HTTP/1.1 500 Failed\r\nRequest-Id: {id}\r\n"
        b"Response-Signature: p\r\nContent-Length: 0\r\n\r\n"
    )
    before = len(simulation.workers["w0"].ran)
    callers = _send(simulation, 10)
    simulation.run(4.0)
    assert len(simulation.workers["w0"].ran) > before
    assert {caller.replies[-1].status for caller in callers} == {200}


def test_a_failure_is_passed_on_if_no_other_server_can_be_tried() -> None:
    simulation = _simulation(versions=("v1",))
    simulation.workers["w0"].beginning = (
        b"HTTP/1.1 500 Failed\r\nRequest-Id: {id}\r\n"
        b"Response-Signature: p\r\nContent-Length: 4\r\n\r\nwhy!"
    )
    (caller,) = _send(simulation, 1)
    simulation.run(1.0)
    assert (caller.replies[-1].status, caller.replies[-1].body) == (
        500,
        b"why!",
    )


def test_an_answer_that_is_no_series_of_events_is_passed_on_whole() -> None:
    simulation = _simulation(versions=("v1",))
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: p\r\n"
        b"Content-Type: application/json\r\n"
    )
    worker = simulation.workers["w0"]
    worker.beginning = head + b"Content-Length: 9\r\n\r\n" + b'{"a":"b"}'
    (caller,) = _send(simulation, 1)
    simulation.run(1.0)
    reply = caller.replies[-1]
    assert (reply.status, reply.body) == (200, b'{"a":"b"}')
    worker.beginning = head + b"Content-Length: 19\r\n\r\n" + b'{"a":"b"}'
    (caller,) = _send(simulation, 1)
    simulation.run(1.0)
    assert caller.replies[-1].status == 502


def test_a_stream_whose_caller_leaves_ends_at_its_server() -> None:
    simulation = _simulation()
    (caller,) = _send(simulation, 1)
    simulation.run(1.0)
    caller.transport.abortConnection()
    simulation.run(0.2)
    assert sum(w.running for w in simulation.workers.values()) == 0


def test_a_resumption_reaches_its_server_with_the_last_event() -> None:
    simulation = _simulation(versions=("v1",))
    callers = _send(simulation, 1)
    simulation.run(1.0)
    callers[0].transport.abortConnection()
    resumed = simulation.send(
        "digest",
        host=1,
        resource="0",
        Prompt_Prefix=PARTS,
        Last_Event_Id="57",
        Resumes="r1",
    )
    simulation.run(2.0)
    assert _ids(resumed) == [58, 59, 60]
    heads = simulation.workers["w0"].request_heads
    assert [head.get(b"last-event-id") for head in heads] == [None, b"57"]


def test_a_stream_that_ends_inside_an_event_never_looks_complete() -> None:
    """Its server states no length, so that only the event shows the break."""
    for resumable in (False, True):
        simulation = _simulation(resumable=resumable, versions=("v1",))
        simulation.workers["w0"].has_framing = False
        simulation.workers["w0"].break_after_events = 20
        (caller,) = _send(simulation, 1)
        simulation.run(4.0)
        assert _ids(caller) == list(range(1, 21))
        assert not caller.replies[-1].is_complete


def test_a_stream_that_ends_with_its_connection_is_complete() -> None:
    for resumable in (False, True):
        simulation = _simulation(resumable=resumable, versions=("v1",))
        simulation.workers["w0"].has_framing = False
        (caller,) = _send(simulation, 1)
        simulation.run(4.0)
        assert _ids(caller) == list(range(1, EVENTS + 1))
        assert caller.replies[-1].is_complete


def test_a_stream_broken_off_inside_an_event_is_resumed_elsewhere() -> None:
    simulation = _simulation()
    simulation.workers["w0"].has_framing = False
    simulation.workers["w0"].break_after_events = 20
    callers = _send(simulation, 6)
    simulation.run(5.0)
    assert "r1" in simulation.workers["w0"].ran
    for caller in callers:
        assert _ids(caller) == list(range(1, EVENTS + 1))
        assert caller.replies[-1].is_complete


def test_a_stream_is_resumed_after_all_hosts_were_killed() -> None:
    simulation = _simulation(versions=("v1", "v1"))
    callers = _send(simulation, 8)
    simulation.run(1.0)
    for host in range(3):
        simulation.restart_host(host)
    simulation.run(2.5)
    resumed = _resume(simulation, callers, host=1)
    simulation.run(5.0)
    for before, after in zip(callers, resumed, strict=True):
        assert _ids(before) + _ids(after) == list(range(1, EVENTS + 1))


def test_a_stream_isnt_joined_to_the_version_left_after_all_hosts_died() -> (
    None
):
    simulation = _simulation(versions=("v1", "v2"))
    callers = _send(simulation, 8)
    simulation.run(1.0)
    simulation.store.remove("servers", "w0")
    for host in range(3):
        simulation.restart_host(host)
    simulation.run(2.5)
    _resume(simulation, callers, host=1)
    simulation.run(5.0)
    assert all(len(seen) == 1 for seen in _versions(simulation).values())


def test_a_first_row_doesnt_deny_versions_that_were_never_recorded() -> None:
    """Hosts of an earlier build kept no row of such services."""
    simulation = _simulation(versions=("v1",))
    for running in simulation.hosts:
        running.router._versions.stop()
    simulation.store.remove("nutmegscale-versions", PLAIN)
    simulation.workers["w0"].event_count = 400
    callers = _send(simulation, 4)
    simulation.run(1.0)
    added = simulation.add_worker("w1", slots=40, version="v2")
    added.stream_prefix = b"/"
    simulation.store.remove("servers", "w0")
    for host in range(3):
        simulation.restart_host(host)
    simulation.run(2.5)
    _resume(simulation, callers, host=1)
    simulation.run(2.0)
    assert all(len(seen) == 1 for seen in _versions(simulation).values())


def test_a_stream_is_passed_on_by_a_host_that_is_cut_off() -> None:
    simulation = _simulation()
    simulation.net.cut("host-0", list(simulation.addresses.values()), "reset")
    simulation.run(2.0)
    (caller,) = _send(simulation, 1)
    simulation.run(1.0)
    assert 10 <= len(_ids(caller)) < EVENTS
    simulation.run(3.0)
    assert _ids(caller) == list(range(1, EVENTS + 1))
    assert caller.replies[-1].is_complete


def test_a_stream_that_waits_when_its_host_is_cut_off_is_served() -> None:
    """Connections hang; that holds for services with engines as well."""
    for service in (PLAIN, MODEL):
        simulation = _simulation(weights={service: 1})
        addresses = list(simulation.addresses.values())
        for worker in simulation.workers.values():
            worker.is_unresponsive = True
        callers = _send(simulation, 3)
        simulation.run(0.15)
        simulation.net.cut("host-0", addresses, "hang")
        for worker in simulation.workers.values():
            worker.is_unresponsive = False
        simulation.run(7.0)
        assert [_ids(c) == list(range(1, EVENTS + 1)) for c in callers] == [
            True
        ] * 3
