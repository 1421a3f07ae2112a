"""Tests of streams that callers take up again after all hosts were killed.

No host remembers where such a stream began. It must go on at the software
version that began it, and must not be joined with the text of another one.
"""

import json

import pytest

from standins import platform_rows
from standins import router_world
from tests import test_streams_across_versions as streams

VERSIONS = "nutmegscale-versions"
ORIGINS = "nutmegscale-origins"
OTHER_SERVICE = "notes-model-2"
# Part of the take-ups that go on where two workers of their version serve.
MIN_RESUMED = 0.8


def _simulation(
    versions: tuple[str, ...], *, events: int = 60
) -> router_world.Simulation:
    """Start eight hosts, and two decode workers of each version."""
    simulation = router_world.Simulation(
        hosts=8, failure_domains=streams.DOMAINS
    )
    simulation.configure()
    _add_workers(simulation, versions)
    simulation.start(5.0)
    streams._set_events(simulation, events)
    return simulation


def _add_workers(
    simulation: router_world.Simulation, versions: tuple[str, ...]
) -> None:
    for number in range(4):
        version = versions[number % len(versions)]
        simulation.add_worker(f"p{number}", stage="prefill", version=version)
        simulation.add_worker(
            f"d{number}", stage="decode", slots=20, version=version
        )
    simulation.add_worker("w1")


def _kill(simulation: router_world.Simulation, hosts: range) -> None:
    """Kill some hosts at the same moment, and start them again."""
    for number in hosts:
        simulation.restart_host(number)


def _resumed(
    simulation: router_world.Simulation,
    begun: list[streams.Stream],
    *,
    at_least: int = 10,
) -> float:
    """Take all broken streams up again; return the part that goes on.

    Callers that are refused come back until their deadline.

    Args:
      simulation: The hosts.
      begun: The streams.
      at_least: Number of streams that must have begun and broken off.
    """
    broken = [s for s in begun if s.events and not s.is_whole]
    assert len(broken) >= at_least
    left = broken
    for attempt in range(4):
        again = [
            streams._resume(simulation, stream, host=(number + attempt) % 8)
            for number, stream in enumerate(left)
        ]
        simulation.run(1.0)
        left = [
            before
            for before, stream in zip(left, again, strict=True)
            if stream.caller.replies and stream.caller.replies[-1].status == 503
        ]
    simulation.run(6.0)
    return (len(broken) - len(left)) / len(broken)


@pytest.mark.parametrize("killed", [3, 7, 8])
@pytest.mark.parametrize("versions", [("v1",), ("v1", "v2")])
def test_streams_go_on_after_hosts_were_killed(
    versions: tuple[str, ...], killed: int
) -> None:
    simulation = _simulation(versions)
    begun = streams._send(simulation, 30, list(range(killed)))
    simulation.run(0.6)
    _kill(simulation, range(killed))
    simulation.run(2.5)
    assert _resumed(simulation, begun) >= MIN_RESUMED
    streams._check_versions(simulation)


def test_streams_that_began_before_a_release_go_on_after_it() -> None:
    """The second version begins to serve just before all hosts are killed."""
    simulation = _simulation(("v1",), events=120)
    begun = streams._send(simulation, 30, list(range(8)))
    simulation.add_worker("d8", stage="decode", slots=20, version="v2")
    simulation.add_worker("p8", stage="prefill", version="v2")
    simulation.run(1.3)
    _kill(simulation, range(8))
    simulation.run(2.5)
    assert _resumed(simulation, begun) >= MIN_RESUMED
    streams._check_versions(simulation)


def test_no_stream_is_joined_once_the_servers_of_its_version_left() -> None:
    """New streams of the same content have begun at the new version."""
    simulation = _simulation(("v1", "v2"))
    begun = streams._send(simulation, 30, list(range(8)))
    simulation.run(0.6)
    for name in ("d0", "d2", "p0", "p2"):
        simulation.store.remove("servers", name)
    _kill(simulation, range(8))
    simulation.run(2.5)
    _resumed(simulation, begun)
    streams._check_versions(simulation)


def test_no_stream_is_joined_twice_killed_after_a_release() -> None:
    simulation = _simulation(("v1", "v2"), events=120)
    begun = streams._send(simulation, 20, list(range(8)))
    simulation.run(0.6)
    for name in ("d0", "d2", "p0", "p2"):
        simulation.store.remove("servers", name)
    _kill(simulation, range(8))
    simulation.run(2.5)
    later = streams._send(simulation, 20, list(range(8)))
    simulation.run(0.6)
    _kill(simulation, range(8))
    simulation.run(2.5)
    # One worker of the two has memory for five such streams.
    assert _resumed(simulation, later, at_least=6) >= MIN_RESUMED
    _resumed(simulation, begun, at_least=6)
    streams._check_versions(simulation)


def test_an_unnamed_take_up_isnt_joined_to_another_version() -> None:
    """After the restart only a new stream of the same content is known."""
    simulation = _simulation(("v1", "v2"))
    simulation.store.remove("servers", "d1")
    simulation.store.remove("servers", "d3")
    simulation.run(0.5)
    old = streams._send(simulation, 4, [0])
    simulation.run(0.6)
    for name in ("d0", "d2", "p0", "p2"):
        simulation.store.remove("servers", name)
    for name in ("d1", "d3"):
        simulation.write_entry(name)
    _kill(simulation, range(8))
    simulation.run(2.5)
    for row in simulation.store.rows(ORIGINS):
        simulation.store.remove(ORIGINS, row.key)
    new = streams._send(simulation, 4, [0])
    simulation.run(0.5)
    assert any(stream.events for stream in new)
    again = [
        simulation.send(
            "digest",
            host=1,
            Prompt_Prefix=streams.PARTS,
            resource=stream.resource,
            Last_Event_Id=str(stream.events),
        )
        for stream in old
    ]
    simulation.run(2.0)
    assert all(caller.replies[-1].status == 503 for caller in again)


def test_a_stream_isnt_guessed_while_the_store_is_down() -> None:
    simulation = _simulation(("v1", "v2"))
    begun = streams._send(simulation, 30, list(range(8)))
    simulation.run(0.6)
    _kill(simulation, range(8))
    simulation.run(2.5)
    simulation.store.is_down = True
    _resumed(simulation, begun)
    streams._check_versions(simulation)


def test_a_stream_isnt_guessed_after_the_store_was_restored() -> None:
    """The restored copy knows only the old version."""
    simulation = _simulation(("v1",))
    simulation.run(2.0)
    simulation.add_worker("d8", stage="decode", slots=20, version="v2")
    simulation.add_worker("p8", stage="prefill", version="v2")
    simulation.workers["d8"].event_count = 120
    for name in ("d0", "d1", "d2", "d3"):
        simulation.store.remove("servers", name)
    simulation.run(0.6)
    begun = streams._send(simulation, 20, list(range(8)))
    simulation.run(0.5)
    for name in ("d8", "p8"):
        simulation.store.remove("servers", name)
    simulation.store.restore(5.0)
    _kill(simulation, range(8))
    simulation.run(2.5)
    _resumed(simulation, begun, at_least=5)
    versions = streams._versions(simulation)
    for worker in (simulation.workers[f"d{n}"] for n in range(4)):
        for event in worker.stream_events:
            versions.setdefault(event.stream, set()).add(event.version)
    assert all(len(seen) == 1 for seen in versions.values())


def _writes(simulation: router_world.Simulation) -> list[float]:
    return [
        at
        for at, table in simulation.store.writes
        if table in (VERSIONS, ORIGINS)
    ]


def test_one_version_needs_no_call_to_the_store_for_a_stream() -> None:
    simulation = _simulation(("v1",))
    before = simulation.store.call_count
    streams._send(simulation, 60, list(range(8)))
    with_streams = simulation.store.call_count - before
    before = simulation.store.call_count
    simulation.run(6.0)
    assert with_streams <= simulation.store.call_count - before + 1
    assert len(_writes(simulation)) <= 2


def test_two_versions_need_few_writes() -> None:
    simulation = _simulation(("v1", "v2"))
    began = simulation.clock.seconds()
    streams._send(simulation, 200, list(range(8)), per_second=20.0)
    took_s = simulation.clock.seconds() - began
    writes = [at for at in _writes(simulation) if at >= began]
    assert writes
    assert len(writes) / took_s <= 5.0


def test_take_ups_at_the_same_moment_wait_for_the_same_read() -> None:
    """The second one had been refused while the first one's read went on."""
    simulation = _simulation(("v1", "v2"))
    begun = streams._send(simulation, 20, list(range(8)))
    simulation.run(0.6)
    _kill(simulation, range(8))
    simulation.run(2.5)
    broken = [s for s in begun if s.events and not s.is_whole][:8]
    connections = [simulation.open_connection(3) for _ in broken]
    for stream, connection in zip(broken, connections, strict=True):
        simulation.send(
            "digest",
            on=connection,
            Prompt_Prefix=streams.PARTS,
            resource=stream.resource,
            Last_Event_Id=str(stream.events),
            Resumes=stream.name,
        )
    simulation.run(5.0)
    assert len(broken) == 8
    assert all(caller.replies[-1].status == 200 for caller in connections)


def test_a_caller_that_leaves_during_the_read_holds_up_no_other() -> None:
    simulation = _simulation(("v1", "v2"))
    begun = streams._send(simulation, 20, list(range(8)))
    simulation.run(0.6)
    _kill(simulation, range(8))
    simulation.run(2.5)
    first, second = [s for s in begun if s.events and not s.is_whole][:2]
    connections = [simulation.open_connection(3) for _ in range(2)]
    for stream, connection in zip((first, second), connections, strict=True):
        simulation.send(
            "digest",
            on=connection,
            Prompt_Prefix=streams.PARTS,
            resource=stream.resource,
            Last_Event_Id=str(stream.events),
            Resumes=stream.name,
        )
    registry = simulation.hosts[3].router._origins
    for _ in range(100):
        if registry._reads.is_running:
            break
        simulation.clock.advance(0.001)
    connections[0].transport.abortConnection()
    simulation.run(5.0)
    assert connections[1].replies[-1].status == 200


def test_take_ups_dont_keep_a_version_that_has_gone() -> None:
    """Each read of the row at its keeper had counted as seeing the version."""
    simulation = _simulation(("v1", "v2"))
    for name in ("d0", "d2", "p0", "p2"):
        simulation.store.remove("servers", name)
    for _ in range(14):
        simulation.run(10.0)
        for host in range(8):
            simulation.send(
                "digest",
                host=host,
                Prompt_Prefix=streams.PARTS,
                resource="unknown",
                Last_Event_Id="1",
                Resumes="unknown",
            )
    simulation.run(2.0)
    versions = simulation.hosts[0].router._versions
    assert not versions.is_mixed("notes-model")
    keeper = versions.keeper("notes-model")
    found = next(
        h.router for h in simulation.hosts if h.router.board.host == keeper
    )
    assert not found._versions.is_mixed("notes-model")


def _configure_services(
    simulation: router_world.Simulation, version: int, service: str
) -> None:
    """Send the resumable route to one of two services with engines."""
    state = json.loads(platform_rows.config_row(version))
    model = state["services"][0]
    other = {**model, "name": OTHER_SERVICE}
    (route,) = (r for r in state["routes"] if r["name"] == "digest")
    simulation.configure(
        version,
        routes=[{**route, "service": service}],
        services=[*state["services"], other],
    )


@pytest.mark.parametrize("is_recorded", [True, False])
def test_a_moved_route_joins_no_two_services_once_all_hosts_died(
    is_recorded: bool,
) -> None:
    """Each of the two services has one version, and serves to the end."""
    simulation = router_world.Simulation(
        hosts=8, failure_domains=streams.DOMAINS
    )
    _configure_services(simulation, 1, platform_rows.MODEL_SERVICE)
    _add_workers(simulation, ("v1",))
    for name in ("d8", "d9"):
        simulation.add_worker(name, stage="decode", slots=20, version="v2")
        row = platform_rows.entry_row(
            OTHER_SERVICE,
            simulation.addresses[name],
            stage="decode",
            version="v2",
        )
        simulation.store.put("servers", name, row)
    simulation.start(5.0)
    streams._set_events(simulation, 120)
    begun = streams._send(simulation, 12, list(range(8)))
    simulation.run(0.5)
    _configure_services(simulation, 2, OTHER_SERVICE)
    if is_recorded:
        simulation.run(1.0)
    _kill(simulation, range(8))
    simulation.run(2.5)
    assert _resumed(simulation, begun, at_least=4) == 0.0
    streams._check_versions(simulation)


def test_a_route_that_keeps_its_services_doesnt_stop_take_ups() -> None:
    simulation = _simulation(("v1",), events=120)
    begun = streams._send(simulation, 30, list(range(8)))
    row = json.loads(platform_rows.config_row(2))
    for route in row["routes"]:
        route["timeoutMs"] += 500
    simulation.configure(2, routes=row["routes"])
    simulation.run(1.0)
    _kill(simulation, range(8))
    simulation.run(2.5)
    assert _resumed(simulation, begun) >= MIN_RESUMED
