"""Content that crashes its servers, over hosts, on virtual time."""

from standins import router_world

POISON = b"poison"
DOWN_S = 2.0


def _world() -> router_world.World:
    world = router_world.World(hosts=3)
    world.add_standard()
    for name in ("w3", "w4"):
        world.add_worker(name)
    world.start()
    for name, worker in world.workers.items():
        worker.poison = POISON

        def _crash(name: str = name) -> None:
            world.crash_worker(name, DOWN_S)

        worker.on_crash = _crash
    return world


def _runs(world: router_world.World) -> int:
    names = [n for w in world.workers.values() for n in w.ran]
    return len(names)


def test_poison_sent_to_one_host_after_the_other_takes_two_servers() -> None:
    world = _world()
    statuses = [
        world.ask("confirm", 0.6, host=n % 3, body=POISON).status
        for n in range(6)
    ]
    assert statuses[:2] == [502, 502]
    assert statuses[2:] == [503] * 4
    assert _runs(world) == 2


def test_poison_in_streams_takes_two_servers() -> None:
    world = _world()
    replies = [
        world.ask("brief", 3.0, host=n % 3, body=POISON) for n in range(5)
    ]
    assert [r.status for r in replies[2:]] == [503] * 3
    assert _runs(world) == 2


def test_reset_of_a_connection_alone_makes_no_suspect() -> None:
    world = _world()
    for worker in world.workers.values():
        worker.poison = b""
        worker.raw_answer = b"nonsense\r\n\r\n"
    for n in range(4):
        assert world.ask("confirm", 0.6, host=n % 3, body=b"x").status == 502
    for worker in world.workers.values():
        worker.raw_answer = b""
    world.run(5.0)
    assert world.ask("confirm", 0.6, body=b"x").status == 200


def test_crashes_stop_no_call_without_a_body() -> None:
    world = _world()
    for _ in range(3):
        for name in ("w1", "w2", "w3", "w4"):
            world.send("slot", method="GET", body=b"")
            world.run(0.01)
            world.crash_worker(name, 0.5)
            world.run(0.7)
    world.run(4.0)
    assert world.ask("slot", 0.6, method="GET", body=b"").status == 200
