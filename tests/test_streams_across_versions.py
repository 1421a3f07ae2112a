"""Tests that no stream holds events of two versions of the workers' software.

Workers of two versions serve side by side and don't check which of them began a
stream. Streams break off, hosts are killed or cut off, and callers take streams
up again at other hosts.
"""

from typing import Any
from typing import NamedTuple

from nutmegscale import periodic
from nutmegscale import stream_origins
from standins import platform_rows
from standins import platform_worker
from standins import raw_caller
from standins import router_world

DOMAINS = ("maadi", "nasr", "giza", "shorouk")
EVENTS = 6
# Content that is its caller's own.
PARTS = "aa:200,bb:4800"


def _simulation(hosts: int = 8) -> router_world.Simulation:
    """Start hosts, and workers of two versions for each stage."""
    simulation = router_world.Simulation(hosts=hosts, failure_domains=DOMAINS)
    simulation.configure()
    for number, version in enumerate(("v1", "v2")):
        simulation.add_worker(f"p{number}", stage="prefill", version=version)
    for number, version in enumerate(("v1", "v2", "v1", "v2")):
        simulation.add_worker(
            f"d{number}", stage="decode", slots=20, version=version
        )
    simulation.add_worker("w1")
    for worker in simulation.workers.values():
        worker.event_count = EVENTS
    simulation.start(5.0)
    return simulation


def _decode_workers(
    simulation: router_world.Simulation,
) -> list[platform_worker.PlatformWorker]:
    return [simulation.workers[f"d{number}"] for number in range(4)]


def _versions(simulation: router_world.Simulation) -> dict[str, set[str]]:
    """Return the versions of the workers that wrote each stream."""
    found: dict[str, set[str]] = {}
    for worker in _decode_workers(simulation):
        for event in worker.stream_events:
            found.setdefault(event.stream, set()).add(event.version)
    return found


def _check_versions(simulation: router_world.Simulation) -> None:
    versions = _versions(simulation)
    mixed = {name: seen for name, seen in versions.items() if len(seen) > 1}
    assert not mixed, f"{len(mixed)} of {len(versions)} streams: {mixed}"


def _set_events(simulation: router_world.Simulation, count: int) -> None:
    for worker in _decode_workers(simulation):
        worker.event_count = count


class Stream(NamedTuple):
    """A stream of a caller: the name of its attempt, its path and answer."""

    name: str
    resource: str
    caller: raw_caller.Caller

    @property
    def events(self) -> int:
        """Number of events that the caller has got."""
        replies = self.caller.replies
        return replies[-1].body.count(b"\n\n") if replies else 0

    @property
    def is_whole(self) -> bool:
        """Whether the caller has got the stream to its end."""
        replies = self.caller.replies
        return bool(replies) and (replies[-1].status, True) == (
            200,
            replies[-1].is_complete,
        )


def _send(
    simulation: router_world.Simulation,
    count: int,
    hosts: list[int],
    *,
    per_second: float = 10.0,
) -> list[Stream]:
    """Send streams to some hosts in turn, each with a path of its own."""
    streams = []
    for number in range(count):
        caller = simulation.send(
            "digest",
            host=hosts[number % len(hosts)],
            Prompt_Prefix=PARTS,
            resource=f"{number}",
        )
        name = f"r{len(simulation.sent)}"
        streams.append(Stream(name, f"{number}", caller))
        simulation.run(1.0 / per_second - 0.01)
    return streams


def _resume(
    simulation: router_world.Simulation, stream: Stream, *, host: int
) -> Stream:
    """Take a stream up again at a host."""
    caller = simulation.send(
        "digest",
        host=host,
        Prompt_Prefix=PARTS,
        resource=stream.resource,
        Last_Event_Id=str(stream.events),
        Resumes=stream.name,
    )
    return stream._replace(caller=caller)


def _kill_and_resume(
    simulation: router_world.Simulation, killed: list[int]
) -> list[Stream]:
    """Kill hosts in the middle of their streams; resume those elsewhere."""
    _set_events(simulation, 80)
    streams = _send(simulation, 14, killed, per_second=14.0)
    simulation.run(1.0)
    begun = [stream for stream in streams if stream.events]
    for host in killed:
        simulation.restart_host(host)
    _set_events(simulation, EVENTS)
    simulation.run(0.5)
    alive = [n for n in range(len(simulation.hosts)) if n not in killed]
    resumed = []
    for number, stream in enumerate(reversed(begun)):
        host = alive[number % len(alive)]
        resumed.append(_resume(simulation, stream, host=host))
        simulation.run(0.1)
    simulation.run(3.0)
    return resumed


def test_a_stream_that_breaks_goes_on_at_the_version_that_began_it() -> None:
    simulation = _simulation(3)
    for number in range(2):
        simulation.workers[f"d{number}"].break_after_events = 2
    streams = _send(simulation, 30, [0, 1, 2])
    simulation.run(5.0)
    _check_versions(simulation)
    assert sum(stream.is_whole for stream in streams) >= 24


def test_streams_of_hosts_that_died_go_on_at_the_version_that_began_them() -> (
    None
):
    simulation = _simulation()
    resumed = _kill_and_resume(simulation, [0, 1, 2])
    _check_versions(simulation)
    assert len(resumed) >= 12
    assert sum(stream.is_whole for stream in resumed) >= 0.8 * len(resumed)


def test_kv_caches_are_run_at_the_version_that_wrote_them() -> None:
    simulation = _simulation(3)
    streams = _send(simulation, 30, [0, 1, 2])
    simulation.run(4.0)
    for worker in _decode_workers(simulation):
        assert set(worker.handle_versions) <= {worker.version}
    assert sum(stream.is_whole for stream in streams) >= 28


def test_half_of_the_streams_go_on_when_most_hosts_die() -> None:
    simulation = _simulation(12)
    resumed = _kill_and_resume(simulation, list(range(10)))
    _check_versions(simulation)
    assert len(resumed) >= 12
    assert sum(stream.is_whole for stream in resumed) >= 0.5 * len(resumed)


def _begin_and_break(simulation: router_world.Simulation) -> Stream:
    """Begin a stream at host 0, and break its answer off midway."""
    _set_events(simulation, 80)
    (stream,) = _send(simulation, 1, [0])
    simulation.run(1.0)
    assert stream.events
    stream.caller.transport.abortConnection()
    _set_events(simulation, EVENTS)
    simulation.run(0.2)
    return stream


def _is_refused_at_once(
    simulation: router_world.Simulation, resumed: Stream
) -> bool:
    """Whether a stream was refused without a run, with a time to come back."""
    ran = sum(len(w.ran) for w in _decode_workers(simulation))
    simulation.run(0.4)
    replies = resumed.caller.replies
    still = sum(len(w.ran) for w in _decode_workers(simulation))
    return (
        bool(replies)
        and replies[-1].status == 503
        and b"retry-after" in replies[-1].headers
        and still == ran
    )


def test_a_host_that_cannot_ask_any_other_refuses_to_resume() -> None:
    simulation = _simulation()
    stream = _begin_and_break(simulation)
    names = [host.router.board.host for host in simulation.hosts]
    # It starts without contact to the hosts that know the stream.
    simulation.restart_host(7)
    simulation.peer_network.cut_off(["host-7"], names)
    simulation.run(1.0)
    simulation.store.refused_hosts = {"host-7"}
    resumed = _resume(simulation, stream, host=7)
    assert _is_refused_at_once(simulation, resumed)
    _check_versions(simulation)


def test_a_host_that_can_only_ask_the_store_goes_on_at_the_version() -> None:
    simulation = _simulation()
    stream = _begin_and_break(simulation)
    names = [host.router.board.host for host in simulation.hosts]
    simulation.restart_host(7)
    simulation.peer_network.cut_off(["host-7"], names)
    simulation.run(1.0)
    resumed = _resume(simulation, stream, host=7)
    simulation.run(2.0)
    assert resumed.is_whole
    _check_versions(simulation)


def test_a_stream_is_refused_once_no_worker_of_its_version_is_left() -> None:
    simulation = _simulation()
    stream = _begin_and_break(simulation)
    (version,) = _versions(simulation)[stream.name]
    for name, worker in simulation.workers.items():
        if worker.stage == "decode" and worker.version == version:
            simulation.write_entry(name, state="draining")
    simulation.run(0.5)
    resumed = _resume(simulation, stream, host=1)
    assert _is_refused_at_once(simulation, resumed)
    _check_versions(simulation)


def _resume_unnamed(
    simulation: router_world.Simulation, stream: Stream, *, host: int
) -> Stream:
    """Take a stream up again without the name of its first attempt."""
    caller = simulation.send(
        "digest",
        host=host,
        Prompt_Prefix=PARTS,
        resource=stream.resource,
        Last_Event_Id=str(stream.events),
    )
    return stream._replace(name=f"r{len(simulation.sent)}", caller=caller)


def test_a_stream_without_the_name_of_its_attempt_goes_on_at_its_version() -> (
    None
):
    for host in (0, 3):
        simulation = _simulation()
        stream = _begin_and_break(simulation)
        resumed = _resume_unnamed(simulation, stream, host=host)
        simulation.run(1.0)
        assert resumed.is_whole
        versions = _versions(simulation)
        assert versions[resumed.name] == versions[stream.name]


def test_unnamed_streams_of_one_content_and_two_versions_are_refused() -> None:
    simulation = _simulation()
    _set_events(simulation, 80)
    streams = []
    for _ in range(4):
        streams += _send(simulation, 1, [0])
    simulation.run(1.0)
    assert len(set.union(*_versions(simulation).values())) == 2
    for host in (0, 3):
        resumed = _resume_unnamed(simulation, streams[0], host=host)
        assert _is_refused_at_once(simulation, resumed)


def test_a_stream_of_another_request_is_refused() -> None:
    simulation = _simulation()
    stream = _begin_and_break(simulation)
    other = stream._replace(resource="other")
    resumed = _resume(simulation, other, host=0)
    assert _is_refused_at_once(simulation, resumed)


def test_a_stream_goes_on_over_several_attempts() -> None:
    simulation = _simulation()
    _set_events(simulation, 400)
    (stream,) = _send(simulation, 1, [0])
    for host in (1, 2, 3):
        simulation.run(0.8)
        events = stream.events
        stream.caller.transport.abortConnection()
        simulation.restart_host(host - 1)
        simulation.run(0.5)
        caller = simulation.send(
            "digest",
            host=host,
            Prompt_Prefix=PARTS,
            resource=stream.resource,
            Last_Event_Id=str(events),
            Resumes=stream.name,
        )
        stream = stream._replace(caller=caller)
    simulation.run(1.0)
    assert stream.events
    _check_versions(simulation)


def test_streams_of_a_worker_without_a_version_are_not_resumed() -> None:
    simulation = _simulation(2)
    for name in simulation.workers:
        if name != "w1":
            simulation.write_entry(name, version=7)
    simulation.run(0.5)
    stream = _begin_and_break(simulation)
    resumed = _resume(simulation, stream, host=0)
    assert _is_refused_at_once(simulation, resumed)


def test_many_origins_of_one_version_hide_no_other_version() -> None:
    """Guards against a cut list of origins that passes for a complete one."""
    simulation = _simulation(hosts=12)
    content = bytes(16)
    first = simulation.hosts[0].router._origins
    for number in range(20):
        first.record(content, _origin(f"a{number:02}", "v1"))
    first.record(content, _origin("z", "v2"))
    simulation.run(0.1)
    told = [
        bool(
            host.router._origins._origins.find(
                simulation.clock.seconds(), content, ""
            )
        )
        for host in simulation.hosts
    ]
    others = [h for h, t in zip(simulation.hosts, told, strict=True) if not t]
    assert others
    for host in others:
        found: list[Any] = []
        finding = host.router._origins.find(
            content, "", {platform_rows.MODEL_SERVICE}
        )
        periodic.spawn(finding).addCallback(found.append)
        simulation.run(2.0)
        assert found == [None]


def _origin(stream: str, version: str) -> stream_origins.Origin:
    return stream_origins.Origin(stream, platform_rows.MODEL_SERVICE, version)
