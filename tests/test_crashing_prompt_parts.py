"""Tests of prompt parts that crash each worker that begins an answer on them.

No two requests are alike: they share parts of their prompts, and the last part
is their own. Requests with the crashing part must be refused after few crashes
on all hosts, while others with the same first part are served.
"""

from collections.abc import Callable

import pytest

from standins import raw_caller
from standins import router_world

BAD = "bad0"
DOWN_S = 1.0
# Crashes until a part is known: `BUDGET` of the deployment's specification
# counts requests beyond the fifth.
MAX_CRASHES = 5


class _World:
    """Hosts, three decode workers, and requests that each have a part of own.

    Attributes:
      simulation: The hosts and workers.
      crashes: Number of workers that ended.
    """

    def __init__(
        self, hosts: int = 3, *, bad: tuple[str, ...] = (BAD,)
    ) -> None:
        self.simulation = router_world.Simulation(hosts=hosts)
        self.simulation.start_default_workers()
        self.simulation.add_worker("d3", stage="decode")
        self.simulation.start()
        self.crashes = 0
        self._sent = 0
        self._born = 1
        for name in ("d1", "d2", "d3"):
            self.set_bad(name, bad)

    def set_bad(self, name: str, bad: tuple[str, ...]) -> None:
        """Let a worker crash on parts."""
        worker = self.simulation.workers[name]
        worker.poison_parts = frozenset(part.encode() for part in bad)
        worker.event_count = 8

        def _crash() -> None:
            self.crashes += 1
            self.crash(name)

        worker.on_crash = _crash

    def crash(self, name: str) -> None:
        """Let a worker end, and start again as a new incarnation."""
        self._born += 1
        self.simulation.crash_worker(name, DOWN_S)
        self.simulation.clock.callLater(
            DOWN_S, self.simulation.write_entry, name, born=self._born
        )

    def send(
        self, *parts: str, host: int | None = None, route: str = "brief"
    ) -> raw_caller.Caller:
        """Send a request with shared parts and one of its own."""
        self._sent += 1
        own = f"own{self._sent}"
        index = (
            self._sent % len(self.simulation.hosts) if host is None else host
        )
        prefix = ",".join(f"{part}:100" for part in (*parts, own))
        return self.simulation.send(
            route,
            host=index,
            body=own.encode(),
            Prompt_Prefix=prefix,
        )

    def ask(
        self, *parts: str, host: int | None = None, seconds: float = 1.5
    ) -> int:
        """Send a request and return the status of its answer."""
        caller = self.send(*parts, host=host)
        self.simulation.run(seconds)
        return caller.replies[-1].status if caller.replies else 0


def _crash_until_known(world: _World, send: Callable[[], int]) -> int:
    """Send crashing requests, a pause after each; return the refused ones."""
    statuses = []
    for _ in range(12):
        statuses.append(send())
        world.simulation.run(0.5)
    return statuses.count(503)


@pytest.mark.parametrize("position", range(3))
def test_part_that_crashes_workers_is_refused_on_all_hosts(
    position: int,
) -> None:
    world = _World()
    parts = ["common", "club"]
    parts.insert(position, BAD)
    refused = _crash_until_known(world, lambda: world.ask(*parts))
    assert world.crashes <= MAX_CRASHES
    assert refused >= 12 - MAX_CRASHES


def test_requests_that_share_the_other_parts_are_served() -> None:
    world = _World()
    _crash_until_known(world, lambda: world.ask("common", "club", BAD))
    served = [
        world.ask("common", *rest)
        for rest in (("club",), ("club", "x"), ("other",), ())
    ]
    assert served == [200] * 4


def test_requests_beside_the_crashing_ones_go_on_being_served() -> None:
    world = _World()
    served = 0
    for number in range(40):
        world.send("common", "club", BAD)
        beside = world.send("common", f"club{number % 3}")
        world.simulation.run(1.0)
        served += bool(beside.replies) and beside.replies[-1].status == 200
    assert world.crashes <= MAX_CRASHES + 3
    assert served >= 32


def test_hosts_that_join_or_restart_refuse_the_part() -> None:
    world = _World()
    _crash_until_known(world, lambda: world.ask("common", BAD))
    before = world.crashes
    world.simulation.add_host("host-9").router.start()
    for index in range(3):
        world.simulation.restart_host(index)
        world.simulation.run(2.0)
    statuses = [world.ask("common", BAD, host=n) for n in range(4)]
    assert statuses == [503] * 4
    assert world.crashes == before


def test_two_crashing_parts_at_once_are_both_found() -> None:
    world = _World(bad=("bad0", "bad1"))
    for number in range(24):
        world.ask("common", f"bad{number % 2}")
        world.simulation.run(0.5)
    assert world.crashes <= 2 * MAX_CRASHES
    before = world.crashes
    assert world.ask("common", "bad0") == 503
    assert world.ask("common", "bad1") == 503
    assert world.ask("common") == 200
    assert world.crashes == before


def test_part_that_crashes_some_workers_only_is_found() -> None:
    world = _World()
    world.set_bad("d3", ())
    statuses = []
    for _ in range(40):
        statuses.append(world.ask("common", BAD, seconds=1.0))
        world.simulation.run(0.5)
    assert statuses[-10:] == [503] * 10
    assert world.ask("common") == 200


def test_crashes_for_other_reasons_leave_parts_in_use() -> None:
    world = _World(bad=())
    for number in range(9):
        world.send("common", "club")
        world.simulation.run(0.12)
        world.crash(f"d{number % 3 + 1}")
        world.simulation.run(1.5)
        assert world.ask("common", "club") == 200
    assert world.ask("common", "club") == 200


def test_part_is_tried_again_with_one_request_at_a_time() -> None:
    world = _World()
    _crash_until_known(world, lambda: world.ask("common", BAD))
    before = world.crashes
    world.simulation.run(90.0)
    for _ in range(9):
        world.send("common", BAD)
    world.simulation.run(5.0)
    assert world.crashes == before + 1
    for name in ("d1", "d2", "d3"):
        world.set_bad(name, ())
    world.simulation.run(400.0)
    for _ in range(3):
        world.ask("common", BAD)
        world.simulation.run(10.0)
    assert [world.ask("common", BAD) for _ in range(3)] == [200] * 3


def test_refusal_states_a_time_to_come_back_that_holds() -> None:
    world = _World()
    _crash_until_known(world, lambda: world.ask("common", BAD))
    for name in ("d1", "d2", "d3"):
        world.set_bad(name, ())
    caller = world.send("common", BAD, host=0)
    world.simulation.run(0.1)
    retry_after_s = float(caller.replies[-1].headers[b"retry-after"])
    assert caller.replies[-1].status == 503
    world.simulation.run(retry_after_s)
    assert world.ask("common", BAD, host=0) == 200


def test_crashing_part_among_many_is_found_with_small_messages() -> None:
    world = _World()
    common = [f"common{number}" for number in range(99)]
    assert world.ask(*common, host=0) == 200
    assert world.ask(*common, host=1) == 200
    assert world.ask(*common, host=2) == 200
    sizes: list[int] = []
    deliver = world.simulation.peer_network.deliver

    def _measure(source: str, target: str, data: bytes) -> None:
        sizes.append(len(data))
        deliver(source, target, data)

    world.simulation.peer_network.deliver = _measure  # type: ignore[method-assign]
    _crash_until_known(
        world, lambda: world.ask(*common[:50], BAD, *common[50:])
    )
    assert world.crashes <= MAX_CRASHES
    assert max(sizes) < 1_500


def test_resumable_streams_with_the_part_take_no_more_workers() -> None:
    world = _World()
    for _ in range(12):
        world.send("common", BAD, route="digest")
        world.simulation.run(2.0)
    assert world.crashes <= MAX_CRASHES
    assert world.ask("common") == 200


def test_part_that_crashes_in_prefill_is_found() -> None:
    world = _World(bad=())
    for name in ("p1", "p2"):
        world.set_bad(name, (BAD,))
        world.simulation.workers[name].crashes_in_prefill = True
    for _ in range(12):
        world.ask("common", BAD)
        world.simulation.run(0.5)
    assert world.crashes <= MAX_CRASHES
    assert world.ask("common") == 200


def test_host_that_is_leaving_still_knows_what_to_refuse() -> None:
    world = _World()
    _crash_until_known(world, lambda: world.ask("common", BAD))
    world.simulation.hosts[0].router.members.leave()
    assert world.ask("common", BAD, host=0) == 503
    assert world.ask("common", host=0) == 200
