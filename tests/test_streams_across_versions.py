"""Tests that no stream holds events of two versions of the workers' software.

Workers of two versions serve side by side and don't check which of them began a
stream. Streams break off, hosts are killed or cut off, and callers take streams
up again at other hosts.
"""

from typing import NamedTuple

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
