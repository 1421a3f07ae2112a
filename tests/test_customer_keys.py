"""Keys of customers: who is served, and what servers get to see."""

import json
from typing import Any

import msgspec
import pytest
import structlog

from nutmegscale import config_fetcher
from nutmegscale import config_transfer
from nutmegscale import customers
from nutmegscale import envelope
from nutmegscale import errors
from nutmegscale import messages
from nutmegscale.platform import routing_config
from standins import platform_rows
from standins import router_world

KEY = "k" * 20
OTHER_KEY = "o" * 20
TENANTS = [
    {"name": "club-a", "apiKeys": [KEY], "priority": 1},
    {"name": "club-b", "apiKeys": [OTHER_KEY]},
]
CUT_OFF_S = 6.0


def _world(**more: Any) -> router_world.Simulation:
    world = router_world.Simulation(**more)
    world.start_default_workers()
    world.configure(2, tenants=TENANTS)
    world.start()
    return world


def _ask(
    world: router_world.Simulation, route: str, key: str = KEY, **more: Any
) -> Any:
    return world.ask(route, Authorization=f"Token {key}", **more)


def _heads(world: router_world.Simulation) -> list[Any]:
    return [h for w in world.workers.values() for h in w.request_heads]


@pytest.mark.parametrize("route", ["confirm", "slot", "brief"])
def test_servers_get_the_customer_and_never_the_key(route: str) -> None:
    """Guards against a key, or a caller's own name for itself, at a server."""
    world = _world()
    reply = _ask(
        world, route, Tenant="club-b", Connection="tenant, x", seconds=6.0
    )
    assert reply.status == 200
    heads = [h for h in _heads(world) if h.get(b"request-id")]
    assert heads
    for head in heads:
        assert head.get(b"authorization") is None
        assert (head.count(b"tenant"), head.get(b"tenant")) == (1, b"club-a")


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Authorization": f"Token {KEY}x"},
        {"Authorization": KEY},
        {"Authorization": f"Basic {KEY}"},
        {"Authorization": "Token "},
        {"Authorization": "Token " + "x" * 5000},
        {"Tenant": "club-a"},
    ],
)
def test_requests_without_a_known_key_reach_no_server(
    headers: dict[str, Any],
) -> None:
    """Guards against serving a request whose key no configuration holds."""
    world = _world()
    reply = world.ask("confirm", **headers)
    assert reply.status == 401
    assert not any(worker.ran for worker in world.workers.values())


def test_public_routes_need_no_key() -> None:
    """Guards against 401 on a public route, and a name the caller chose."""
    world = router_world.Simulation()
    world.start_default_workers()
    state = json.loads(platform_rows.config_row(2, tenants=TENANTS))
    for route in state["routes"]:
        route["public"] = True
    world.configure(2, tenants=TENANTS, routes=state["routes"])
    world.start()
    assert world.ask("confirm", Tenant="club-a").status == 200
    heads = [h for h in _heads(world) if h.get(b"request-id")]
    assert [h.get(b"tenant") for h in heads] == [None]


def test_keys_change_with_the_configuration() -> None:
    """Guards against a removed key that is served, and a new one refused."""
    world = _world()
    world.configure(3, tenants=[{"name": "club-a", "apiKeys": ["new-key"]}])
    world.run(1.0)
    assert _ask(world, "slot", KEY).status == 401
    assert _ask(world, "slot", OTHER_KEY).status == 401
    assert _ask(world, "slot", "new-key").status == 200


def test_an_empty_list_of_customers_opens_nothing() -> None:
    """Guards against serving all callers once the last customer is removed."""
    world = _world()
    world.configure(3, tenants=[])
    world.run(1.0)
    assert _ask(world, "slot").status == 401


@pytest.mark.parametrize(
    "tenants",
    [
        [{"name": "a", "apiKeys": ["x"]}, {"name": "b", "apiKeys": ["x"]}],
        [{"name": "a", "apiKeys": [""]}],
        [{"name": "a", "apiKeys": ["x" * 201]}],
        [{"name": "a\r\nb: c", "apiKeys": ["x"]}],
        [{"name": "a"}, {"name": "a"}],
        [{"name": "a", "ratePerS": -1}],
        {"a": 1},
        "a",
    ],
)
def test_customers_that_cannot_be_read_leave_the_version_in_force(
    tenants: Any,
) -> None:
    """Guards against a malformed version that opens or closes everything."""
    row = platform_rows.config_row(3, tenants=tenants)
    with pytest.raises(errors.ConfigError) as caught:
        routing_config.decode(row)
    assert "xxxx" not in str(caught.value)
    world = _world()
    world.configure(3, tenants=tenants)
    world.run(1.0)
    assert _ask(world, "slot").status == 200
    assert world.ask("slot").status == 401


def test_a_key_is_found_by_its_bytes_alone() -> None:
    """Guards against keys that match by prefix, case or surrounding blanks."""
    directory = customers.CustomerDirectory(
        [customers.Customer("a")],
        {"a": customers.digest_keys("a", ["Key"])},
    )
    found = directory.find(b"Key")
    assert found is not None
    assert found.name == "a"
    for key in (b"key", b"Ke", b"Keys", b"", b" Key", b"x" * 10_000):
        assert directory.find(key) is None


def test_the_priority_of_a_customer_precedes_that_of_a_route() -> None:
    """Guards against a route's rank that overtakes a customer's."""
    first, second = customers.Customer("a", 0), customers.Customer("b", 1)
    assert first.rank(10_000) < second.rank(0) < second.rank(1)


def test_requests_without_customers_are_forwarded_as_before() -> None:
    """Guards against keys that are asked for where no customers are named."""
    world = router_world.Simulation()
    world.start_default_workers()
    world.start()
    reply = world.ask("slot", Tenant="t", Authorization="Token x")
    assert reply.status == 200
    (head,) = [h for h in _heads(world) if h.get(b"request-id")]
    assert head.get(b"tenant") == b"t"
    assert head.get(b"authorization") == b"Token x"


@pytest.mark.parametrize("host_count", [2, 3])
def test_requests_that_another_host_serves_keep_their_customer(
    host_count: int,
) -> None:
    """Guards against a key in a message between hosts, or a lost customer."""
    world = _world(hosts=host_count)
    name = world.hosts[0].router.board.host
    world.net.cut(name, list(world.addresses.values()), "reset")
    world.run(1.5)
    assert _ask(world, "confirm", host=0).status == 200
    heads = [h for h in _heads(world) if h.get(b"request-id")]
    assert [h.get(b"tenant") for h in heads] == [b"club-a"]
    assert all(h.get(b"authorization") is None for h in heads)


@pytest.mark.parametrize("named", [True, False])
def test_no_customer_is_told_where_a_stream_of_another_began(
    named: bool,
) -> None:
    """Guards against text of two versions joined by another customer's key."""
    world = _world(hosts=2)
    world.add_worker("d3", stage="decode", version="v2")
    for worker in world.workers.values():
        worker.break_after_events = 2
    state = json.loads(platform_rows.config_row(3, tenants=TENANTS))
    for route in state["routes"]:
        route["maxAttempts"] = 1
    world.configure(3, tenants=TENANTS, routes=state["routes"])
    world.run(0.5)
    first = world.send("digest", host=0, Authorization=f"Token {KEY}")
    world.run(3.0)
    assert b"id: 2" in first.replies[-1].body
    for worker in world.workers.values():
        worker.break_after_events = None
    again: dict[str, Any] = {"Last_Event_Id": "2", "seconds": 8.0}
    if named:
        again["Resumes"] = "r1"
    other = _ask(world, "digest", OTHER_KEY, host=1, **again)
    assert other.status == 503
    own = _ask(world, "digest", KEY, host=1, **again)
    assert own.status == 200
    assert b"id: 3" in own.body
    assert b"id: 2" not in own.body


def _record_messages(world: router_world.Simulation) -> list[bytes]:
    """Record what hosts send each other from now on."""
    sent: list[bytes] = []
    deliver = world.peer_network.deliver

    def _deliver(source: str, target: str, data: bytes) -> None:
        sent.append(data)
        deliver(source, target, data)

    world.peer_network.deliver = _deliver  # type: ignore[method-assign]
    return sent


def _sent_configurations(sent: list[bytes], receiver: str) -> list[bytes]:
    """Return the configurations that a host was sent, decompressed."""
    collector = config_transfer.Collector()
    found = []
    for data in sent:
        header, message = msgspec.msgpack.decode(
            data[: -envelope.DIGEST_BYTES],
            type=tuple[envelope.Header, msgspec.Raw],
        )
        kind = messages.TYPE_BY_NUMBER[header.kind]
        if kind is messages.RoutingReply and header.receiver == receiver:
            reply = msgspec.msgpack.decode(message, type=messages.RoutingReply)
            if reply.size:
                content = collector.add(config_fetcher.part_of_reply(reply))
                found += [content] if content else []
    return found


def test_a_host_that_the_store_refuses_learns_keys_without_reading_them() -> (
    None
):
    """Guards against keys in messages between hosts and in what they keep."""
    world = _world(hosts=2)
    sent = _record_messages(world)
    world.store.refused_hosts.add("host-1")
    world.configure(3, tenants=[{"name": "club-a", "apiKeys": ["new-key"]}])
    world.run(2.5)
    for host in (0, 1):
        assert _ask(world, "slot", "new-key", host=host).status == 200
        assert _ask(world, "slot", KEY, host=host).status == 401
        packed = world.hosts[host].router.board.packed_config
        assert packed is not None
        assert b"club-a" in packed.content
        assert b"new-key" not in packed.content
    sent += _sent_configurations(sent, "host-1")
    assert any(b"club-a" in data for data in sent)
    assert not any(b"new-key" in data or KEY.encode() in data for data in sent)


def test_a_configuration_without_keys_admits_the_same_requests() -> None:
    """Guards against a host that knows other customers than its peers."""
    row = platform_rows.config_row(2, tenants=TENANTS)
    kept = routing_config.remove_keys(row)
    for content in (row, kept, routing_config.remove_keys(kept)):
        directory = routing_config.decode(content).customer_directory
        assert directory is not None
        found = [directory.find(k.encode()) for k in (KEY, OTHER_KEY, "x")]
        names = [customer.name if customer else "" for customer in found]
        assert names == ["club-a", "club-b", ""]
    assert KEY.encode() not in kept
    plain = platform_rows.config_row(2)
    assert routing_config.remove_keys(plain) == plain


def test_no_log_line_or_kept_request_holds_a_key() -> None:
    """Guards against keys that are kept while a request is in progress."""
    world = _world(hosts=2)
    heads: list[Any] = []
    with structlog.testing.capture_logs() as lines:
        for route in ("confirm", "brief"):
            world.send(route, Authorization=f"Token {KEY}")
            world.run(0.02)
            live = world.hosts[0].router._live
            heads += [context.incoming.head for context in live]
            world.run(6.0)
        world.ask("slot", Authorization=f"Token {KEY}x")
    assert heads
    assert not any(KEY in str(head) for head in heads)
    assert not any(KEY in str(line) for line in lines)
