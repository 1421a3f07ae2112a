"""Tests that rows and messages of other writers end nothing in a host.

Another writer leaves odd rows in the tables that hosts follow: nested very
deeply, with numbers that are too large, or with ports and names that are none.
A host skips such a row, and applies those before and behind it.
"""

import json
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import task

from nutmegscale import host_rows
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import row_store
from nutmegscale import table_follower
from nutmegscale.platform import routing_config
from nutmegscale.platform import worker_entries
from standins import odd_rows
from standins import platform_rows
from standins import router_world
from standins import row_table

ODD_ENTRIES = odd_rows.entries()
ODD_CONFIGS = odd_rows.configs(7)
ODD_HOSTS = odd_rows.hosts()


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
def test_a_host_follows_the_servers_beside_an_odd_entry(odd: bytes) -> None:
    """Its follower ended, and servers that left later got requests."""
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    simulation.store.put(worker_entries.TABLE, "w9", odd)
    simulation.write_entry("w1", state="draining")
    simulation.run(0.5)
    simulation.store.remove(worker_entries.TABLE, "w1")
    simulation.run(0.5)
    before = len(simulation.workers["w1"].ran)
    statuses = [simulation.ask("slot", 0.5).status for _ in range(4)]
    assert statuses == [200] * 4
    assert len(simulation.workers["w1"].ran) == before
    backends = simulation.hosts[0].router.board.backends
    assert backends.get("w9") is None


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES.keys())
def test_a_host_starts_beside_an_odd_entry_of_a_server(odd: bytes) -> None:
    simulation = router_world.Simulation()
    simulation.store.put(worker_entries.TABLE, "a", odd)
    simulation.start_default_workers()
    simulation.store.put(worker_entries.TABLE, "x", odd)
    simulation.start()
    assert simulation.ask("slot").status == 200


def test_the_name_of_a_server_adds_nothing_to_the_heads_of_requests() -> None:
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    for name in ("w1", "w2"):
        address = simulation.addresses[name]
        simulation.store.remove(worker_entries.TABLE, name)
        row = platform_rows.entry_row(platform_rows.PLAIN_SERVICE, address)
        simulation.store.put(worker_entries.TABLE, f"{name}\r\nX-Odd: 1", row)
    simulation.run(0.5)
    assert simulation.ask("slot").status == 503
    heads = [h for w in simulation.workers.values() for h in w.request_heads]
    assert all(head.get(b"x-odd") is None for head in heads)


@pytest.mark.parametrize("odd", ODD_CONFIGS.values(), ids=ODD_CONFIGS.keys())
def test_a_host_adopts_a_configuration_after_an_odd_one(odd: bytes) -> None:
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    simulation.store.put(routing_config.TABLE, routing_config.KEY, odd)
    simulation.run(0.5)
    state = json.loads(platform_rows.config_row())
    simulation.configure(9, routes=state["routes"])
    simulation.run(0.5)
    config = simulation.hosts[0].router.board.config
    assert config is not None and config.version == 9
    assert simulation.ask("slot").status == 200


@pytest.mark.parametrize("odd", ODD_HOSTS.values(), ids=ODD_HOSTS.keys())
def test_hosts_find_each_other_beside_an_odd_row_of_a_host(odd: bytes) -> None:
    simulation = router_world.Simulation(hosts=3)
    simulation.store.put(host_rows.HOST_TABLE, "host-00", odd)
    simulation.start_default_workers()
    simulation.start(5.0)
    view = simulation.hosts[0].router.board.membership
    assert sorted(view.alive()) == ["host-0", "host-1", "host-2"]


def test_a_row_that_cannot_be_applied_loses_none_behind_it() -> None:
    """The follower had taken over the version of the feed before its rows."""
    clock = task.Clock()
    store = row_table.RowTable(clock)
    applied: list[str] = []

    def _apply(row: row_store.Row) -> None:
        if row.key == "odd":
            raise RecursionError("defect")
        applied.append(row.key)

    follower = table_follower.TableFollower(
        clock,
        store.for_host("h"),
        "t",
        on_snapshot=lambda rows: None,
        on_change=_apply,
    )
    follower.start()
    clock.pump([0.01] * 50)
    for key in ("a", "odd", "b"):
        store.put("t", key, b"")
    clock.pump([0.01] * 50)
    store.put("t", "c", b"")
    clock.pump([0.01] * 50)
    assert applied == ["a", "b", "c"]


def test_a_snapshot_that_cannot_be_applied_is_read_again() -> None:
    clock = task.Clock()
    store = row_table.RowTable(clock)
    store.put("t", "a", b"")
    seen: list[int] = []

    def _replace(rows: tuple[row_store.Row, ...]) -> None:
        seen.append(len(rows))
        if len(seen) < 3:
            raise ValueError("defect")

    follower = table_follower.TableFollower(
        clock,
        store.for_host("h"),
        "t",
        on_snapshot=_replace,
        on_change=lambda row: None,
    )
    follower.start()
    clock.pump([0.01] * 500)
    assert seen == [1, 1, 1]


def test_a_periodic_task_continues_after_a_defect() -> None:
    clock = task.Clock()
    runs: list[float] = []

    async def _work() -> None:
        runs.append(clock.seconds())
        if len(runs) == 1:
            raise KeyError("defect")

    periodic.Periodic(clock, 1.0, _work).start()
    clock.pump([0.5] * 5)
    assert runs == [0.0, 1.0, 2.0]


def test_a_host_receives_messages_after_one_that_it_cannot_process() -> None:
    simulation = router_world.Simulation(hosts=2)
    simulation.start_default_workers()
    simulation.start(5.0)

    def _fail(sender: str, request: messages.RoutingRequest) -> None:
        raise KeyError("defect")

    receiver, sender = (host.router for host in simulation.hosts)
    receiver.mesh.on(messages.RoutingRequest, _fail)
    sender.mesh.send("host-0", messages.RoutingRequest(0))
    simulation.run(5.0)
    assert sorted(receiver.board.membership.alive()) == ["host-0", "host-1"]


def test_a_follower_that_is_stopped_while_it_waits_reads_no_more() -> None:
    clock = task.Clock()
    store = row_table.RowTable(clock)
    seen: list[str] = []
    follower = table_follower.TableFollower(
        clock,
        store.for_host("h"),
        "t",
        on_snapshot=lambda rows: None,
        on_change=lambda row: seen.append(row.key),
    )
    follower.start()
    clock.pump([0.01] * 50)
    follower.stop()
    store.put("t", "a", b"")
    clock.pump([0.1] * 100)
    assert not seen
    assert not clock.getDelayedCalls()


def test_a_periodic_task_that_is_stopped_within_a_run_runs_no_more() -> None:
    clock = task.Clock()
    runs: list[float] = []

    async def _work() -> None:
        runs.append(clock.seconds())
        await periodic.sleep(clock, 1.0)

    work = periodic.Periodic(clock, 1.0, _work)
    work.start()
    clock.pump([0.5])
    work.stop()
    clock.pump([0.5] * 20)
    assert runs == [0.0]


def test_a_stopped_task_whose_work_hides_the_cancellation_runs_no_more() -> (
    None
):
    clock = task.Clock()
    runs: list[float] = []

    async def _work() -> None:
        runs.append(clock.seconds())
        try:
            await periodic.sleep(clock, 1.0)
        except defer.CancelledError as exc:
            raise KeyError("another exception") from exc

    work = periodic.Periodic(clock, 1.0, _work)
    work.start()
    clock.pump([0.5])
    work.stop()
    clock.pump([0.5] * 20)
    assert runs == [0.0]


def test_a_cancellation_of_several_calls_is_one() -> None:
    """It came as another exception, and was logged as a defect."""
    clock = task.Clock()
    ended: list[Any] = []
    running = defer.ensureDeferred(
        periodic.gather(periodic.sleep(clock, 1.0) for _ in range(3))
    )
    running.addErrback(ended.append)
    running.cancel()
    assert ended[0].check(defer.CancelledError)


def test_a_host_joins_after_a_defect_in_an_attempt() -> None:
    simulation = router_world.Simulation(hosts=2)
    simulation.start_default_workers()
    store = simulation.hosts[0].router._rows._store
    write = store.write
    calls: list[str] = []

    async def _write(table: str, key: str, *args: Any, **more: Any) -> Any:
        calls.append(table)
        if len(calls) == 1:
            raise KeyError("defect")
        return await write(table, key, *args, **more)

    store.write = _write  # type: ignore[method-assign]
    simulation.start(5.0)
    view = simulation.hosts[0].router.board.membership
    assert sorted(view.alive()) == ["host-0", "host-1"]


def test_streams_are_taken_up_again_after_a_defect_in_a_read() -> None:
    """Every later take-up waited for the read that had failed."""
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    registry = simulation.hosts[0].router._origins

    async def _fail() -> list[Any]:
        raise KeyError("defect")

    read = registry._rows.read
    registry._rows.read = _fail  # type: ignore[method-assign]
    failed = periodic.spawn(registry._reads.wait())
    simulation.run(0.1)
    meanwhile = periodic.spawn(registry._reads.wait())
    registry._rows.read = read  # type: ignore[method-assign]
    simulation.run(0.5)
    assert (failed.result, meanwhile.result) == (False, True)
    done = periodic.spawn(registry._reads.wait())
    simulation.run(0.5)
    assert done.result
