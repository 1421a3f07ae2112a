"""Tests of streams that are slow but sound, and of those that stall.

A sound stream may pause for longer than usual and must not be cut. A stalled
one that sends a byte now and then never completes an event, and must end by the
time limit of its request.
"""

from standins import router_world

# Time limit of the route, with a second for the end to arrive.
LIMIT_S = 14.0 + 1.0


def _simulation() -> router_world.Simulation:
    simulation = router_world.Simulation(hosts=2)
    simulation.start_default_workers()
    simulation.start()
    return simulation


def test_a_stream_with_long_pauses_is_not_cut() -> None:
    simulation = _simulation()
    for name in ("d1", "d2"):
        simulation.workers[name].event_interval_s = 1.9
        simulation.workers[name].event_count = 5
    caller = simulation.send("brief")
    simulation.run(10.0)
    assert caller.replies[-1].is_complete
    assert caller.replies[-1].body.count(b"\n\n") == 5


def test_a_stream_that_drips_bytes_ends_by_its_time_limit() -> None:
    simulation = _simulation()
    for name in ("d1", "d2"):
        simulation.workers[name].drip = b"x"
    caller = simulation.send("brief")
    simulation.run(LIMIT_S)
    assert caller.is_closed
    assert not caller.replies[-1].is_complete
    workers = simulation.workers.values()
    assert not any(worker.running for worker in workers)


def test_a_server_that_is_silent_for_a_while_loses_no_stream() -> None:
    """All bytes of the server are late by 1.5 s, in the middle of streams."""
    simulation = _simulation()
    for name in ("d1", "d2"):
        simulation.workers[name].event_count = 60
    callers = [simulation.send("brief") for _ in range(4)]
    simulation.run(1.0)
    for name in ("d1", "d2"):
        simulation.workers[name].pause_streams(1.5)
    simulation.run(6.0)
    assert all(caller.replies[-1].is_complete for caller in callers)
    board = simulation.hosts[0].router.board
    assert board.is_ready
