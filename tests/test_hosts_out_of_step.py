"""Tests of streams that are taken up at a host that is out of step.

While workers of a new software version join, one host reaches neither the other
hosts nor the store. Streams that began at the new version through other hosts
break off and are taken up at this host, which knows the old version alone.
"""

import pytest

from standins import router_world
from tests import test_streams_across_versions as streams

HOSTS = 8
EVENTS = 60


def _simulation() -> router_world.Simulation:
    """Start hosts, and workers of one version."""
    simulation = router_world.Simulation(
        hosts=HOSTS, failure_domains=streams.DOMAINS
    )
    simulation.configure()
    simulation.add_worker("w1")
    _add_workers(simulation, "v1")
    simulation.start(5.0)
    return simulation


def _add_workers(simulation: router_world.Simulation, version: str) -> None:
    first = 0 if version == "v1" else 2
    simulation.add_worker(f"p{first}", stage="prefill", version=version)
    for number in range(first, first + 2):
        worker = simulation.add_worker(
            f"d{number}", stage="decode", slots=20, version=version
        )
        worker.event_count = EVENTS


def _cut_off(simulation: router_world.Simulation, host: int) -> None:
    """Cut a host off from the other hosts and from the store."""
    names = [h.router.board.host for h in simulation.hosts]
    simulation.peer_network.cut_off([names[host]], names)
    simulation.store.refused_hosts = {names[host]}


def _begin_at_new_version(
    simulation: router_world.Simulation, *, host: int
) -> list[streams.Stream]:
    """Let streams begin at the new version through a host, and break off."""
    begun = streams._send(simulation, 16, [host])
    simulation.run(0.6)
    versions = streams._versions(simulation)
    new = [s for s in begun if versions.get(s.name) == {"v2"}]
    assert len(new) >= 4
    for stream in begun:
        stream.caller.transport.abortConnection()
    simulation.run(0.2)
    return new


def _take_up(
    simulation: router_world.Simulation,
    begun: list[streams.Stream],
    *,
    host: int,
    is_named: bool,
) -> list[streams.Stream]:
    resume = streams._resume if is_named else streams._resume_unnamed
    again = [resume(simulation, stream, host=host) for stream in begun]
    simulation.run(2.5)
    return again


def _check_not_joined(
    simulation: router_world.Simulation, again: list[streams.Stream]
) -> None:
    """Check that no stream went on at the old version."""
    names = {stream.name for stream in again}
    joined = [
        event
        for worker in streams._decode_workers(simulation)
        for event in worker.stream_events
        if event.stream in names and event.version == "v1"
    ]
    assert not joined, f"{len({e.stream for e in joined})} of {len(again)}"


@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("out_of_step", range(1, HOSTS))
def test_a_stream_isnt_joined_at_a_host_that_missed_a_new_version(
    out_of_step: int, is_named: bool
) -> None:
    simulation = _simulation()
    _cut_off(simulation, out_of_step)
    simulation.run(1.0)
    _add_workers(simulation, "v2")
    simulation.run(1.0)
    begun = _begin_at_new_version(simulation, host=0)
    again = _take_up(simulation, begun, host=out_of_step, is_named=is_named)
    _check_not_joined(simulation, again)


@pytest.mark.parametrize("is_named", [True, False])
@pytest.mark.parametrize("out_of_step", range(1, HOSTS))
def test_a_stream_isnt_joined_where_its_row_was_read_before(
    out_of_step: int, is_named: bool
) -> None:
    """The host has read the row of versions, and keeps to what it read."""
    simulation = _simulation()
    earlier = streams._send(simulation, 2, [0])
    simulation.run(0.5)
    for stream in earlier:
        stream.caller.transport.abortConnection()
    # No host knows this name, so that the row is read.
    unknown = [s._replace(name="unknown") for s in earlier]
    _take_up(simulation, unknown, host=out_of_step, is_named=True)
    _cut_off(simulation, out_of_step)
    simulation.run(1.0)
    _add_workers(simulation, "v2")
    simulation.run(1.0)
    begun = _begin_at_new_version(simulation, host=0)
    again = _take_up(simulation, begun, host=out_of_step, is_named=is_named)
    _check_not_joined(simulation, again)


def test_an_unnamed_stream_isnt_joined_to_an_earlier_one_of_its_content() -> (
    None
):
    """The host knows a stream of the same request at the old version."""
    simulation = _simulation()
    earlier = streams._send(simulation, 16, [0])
    simulation.run(0.5)
    for stream in earlier:
        stream.caller.transport.abortConnection()
    _cut_off(simulation, 7)
    simulation.run(1.0)
    _add_workers(simulation, "v2")
    simulation.run(1.0)
    begun = _begin_at_new_version(simulation, host=0)
    assert {s.resource for s in begun} <= {s.resource for s in earlier}
    again = _take_up(simulation, begun, host=7, is_named=False)
    _check_not_joined(simulation, again)


@pytest.mark.parametrize("out_of_step", range(1, HOSTS))
def test_a_stream_isnt_joined_where_the_feed_of_servers_hangs(
    out_of_step: int,
) -> None:
    """New calls to the store are answered; the keeper hasn't written yet."""
    simulation = _simulation()
    names = [h.router.board.host for h in simulation.hosts]
    simulation.peer_network.cut_off([names[out_of_step]], names)
    simulation.store.unresponsive_hosts = {names[out_of_step]}
    for host in simulation.hosts:
        host.router._versions.stop()
    simulation.run(1.0)
    _add_workers(simulation, "v2")
    simulation.run(1.0)
    begun = _begin_at_new_version(simulation, host=0)
    again = _take_up(simulation, begun, host=out_of_step, is_named=True)
    _check_not_joined(simulation, again)
