"""Tests of large configurations that hosts get from each other.

A host that the store refuses hears of a later version from its peers. The
answers of peers came too late on a slow link, and were requested again and
again, so that they filled the link.
"""

import json
import random
from typing import Any

from nutmegscale import messages
from standins import platform_rows
from standins import router_world

# Bound of the operator on the time until a version is in force, seconds.
APPLY_S = 3.0
SLOW_LINK_BYTES_PER_S = 5e6 / 8


def _large_routes(count: int) -> list[dict[str, Any]]:
    """Return the usual routes, and more of them with random names."""
    rng = random.Random(1)
    routes: list[dict[str, Any]] = json.loads(platform_rows.config_row())[
        "routes"
    ]
    for _ in range(count):
        name = f"{rng.getrandbits(40):x}"
        routes.append({**routes[-1], "name": name, "pathPrefix": f"/{name}/"})
    return routes


def _make_world(*, hosts: int) -> router_world.Simulation:
    """Start hosts on slow links with a large configuration."""
    world = router_world.Simulation(hosts=hosts)
    world.start_default_workers()
    world.configure(routes=_large_routes(1_400))
    world.start()
    world.peer_network.link_bytes_per_s = SLOW_LINK_BYTES_PER_S
    return world


def _versions(world: router_world.Simulation) -> list[int]:
    configs = [host.router.board.config for host in world.hosts]
    return [config.version if config else 0 for config in configs]


def test_refused_host_gets_a_large_configuration_over_a_slow_link() -> None:
    world = _make_world(hosts=4)
    world.store.refused_hosts = {"host-1", "host-2"}
    world.configure(2, routes=_large_routes(1_401))
    world.run(APPLY_S)
    assert _versions(world) == [2, 2, 2, 2]


def test_failing_fetches_leave_the_link_to_others() -> None:
    world = _make_world(hosts=4)
    world.store.refused_hosts = {"host-1"}
    world.configure(2, routes=_large_routes(1_401))
    before = world.peer_network.delivered_bytes["host-1"]
    world.run(APPLY_S)
    received = world.peer_network.delivered_bytes["host-1"] - before
    assert received < 0.5 * APPLY_S * SLOW_LINK_BYTES_PER_S


def _keep_host_1_outdated(
    world: router_world.Simulation, **changes: Any
) -> None:
    """Let a host hear of a later version that it can't get."""
    for host in world.hosts:
        host.router.mesh.on(messages.RoutingRequest, lambda *_: None)
    world.store.refused_hosts = {"host-1"}
    world.configure(2, **changes)
    world.run(1.5)


def test_host_that_knows_a_later_version_denies_no_route() -> None:
    world = router_world.Simulation(hosts=3)
    world.start_default_workers()
    world.start()
    routes = json.loads(platform_rows.config_row())["routes"]
    added = {**routes[-1], "name": "added", "pathPrefix": "/added/"}
    _keep_host_1_outdated(world, routes=[*routes, added])
    assert _versions(world) == [2, 1, 2]
    refused = world.ask("added", host=1)
    assert refused.status == 503
    assert refused.headers[b"retry-after"]
    assert world.ask("added", host=0).status == 200
    assert world.ask("slot", host=1).status == 200


def test_host_that_knows_a_later_version_rejects_no_key() -> None:
    customers: list[dict[str, Any]] = [
        {"name": "club-a", "apiKeys": ["k" * 20]}
    ]
    world = router_world.Simulation(hosts=3)
    world.start_default_workers()
    world.configure(tenants=customers)
    world.start()
    customers.append({"name": "club-b", "apiKeys": ["o" * 20]})
    _keep_host_1_outdated(world, tenants=customers)
    key = "Token " + "o" * 20
    assert world.ask("slot", host=1, Authorization=key).status == 503
    assert world.ask("slot", host=0, Authorization=key).status == 200


def test_host_denies_routes_again_once_it_is_up_to_date() -> None:
    world = router_world.Simulation(hosts=3)
    world.start_default_workers()
    world.start()
    _keep_host_1_outdated(world)
    assert world.ask("none", host=1).status == 503
    world.store.refused_hosts = set()
    world.run(2.0)
    assert _versions(world) == [2, 2, 2]
    assert world.ask("none", host=1).status == 404


def test_callers_get_added_routes_at_refused_hosts_on_slow_links() -> None:
    """Three of eight hosts are refused at each change, others restart."""
    world = _make_world(hosts=8)
    routes = _large_routes(1_400)
    for number in range(3):
        refused = [(3 * number + n) % 8 for n in range(3)]
        world.store.refused_hosts = {f"host-{n}" for n in refused}
        added = {
            **routes[3],
            "name": f"added-{number}",
            "pathPrefix": f"/added-{number}/",
        }
        routes = [*routes, added]
        world.configure(number + 2, routes=routes)
        world.run(0.2)
        world.restart_host((3 * number + 5) % 8)
        world.run(APPLY_S - 0.2)
        callers = [
            world.send(f"added-{number}", host=n, method="GET", body=b"")
            for n in range(8)
        ]
        world.run(1.0)
        assert [c.replies[-1].status for c in callers] == [200] * 8
