"""Tests that an engine which breaks off a stream keeps serving the others."""

from standins import raw_caller
from standins import router_world


def _simulation() -> router_world.Simulation:
    """Start two engines that break off the streams of one path."""
    simulation = router_world.Simulation(hosts=3)
    simulation.configure()
    for name in ("d1", "d2"):
        worker = simulation.add_worker(name, stage="decode")
        worker.event_count = 40
        worker.break_after_events = 10
        worker.break_prefix = b"/brief/broken"
    simulation.start(3.0)
    return simulation


def _statuses(callers: list[raw_caller.Caller]) -> list[int]:
    return [c.replies[-1].status if c.replies else 0 for c in callers]


def test_a_broken_stream_doesnt_take_its_engine_from_other_callers() -> None:
    simulation = _simulation()
    streams = [
        simulation.send("brief", host=n, resource=f"broken{n}")
        for n in range(2)
    ]
    simulation.run(0.9)
    assert [c.replies[-1].body.count(b"\n\n") for c in streams] == [10, 10]
    callers = [simulation.send("brief", host=n % 3) for n in range(4)]
    simulation.run(4.0)
    assert _statuses(callers) == [200] * 4
    assert all(caller.replies[-1].is_complete for caller in callers)


def test_an_engine_that_breaks_all_streams_is_left_alone_for_a_while() -> None:
    simulation = _simulation()
    simulation.workers["d1"].break_prefix = b""
    simulation.workers["d1"].break_after_events = 1
    callers = []
    for number in range(30):
        callers.append(simulation.send("brief", host=number % 3))
        simulation.run(0.2)
    simulation.run(4.0)
    assert len(simulation.workers["d1"].ran) <= len(callers) / 2


def test_an_engine_that_ends_with_its_streams_isnt_granted_again() -> None:
    simulation = _simulation()
    callers = [simulation.send("digest", host=n) for n in range(2)]
    simulation.run(0.6)
    simulation.crash_worker("d1", 60.0)
    simulation.run(0.1)
    before = len(simulation.net.connect_attempts)
    callers += [simulation.send("digest", host=n % 3) for n in range(2)]
    simulation.run(4.0)
    assert _statuses(callers) == [200] * 4
    tried = simulation.net.connect_attempts[before:]
    assert tried.count(simulation.addresses["d1"]) <= 3
