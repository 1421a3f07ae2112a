"""Tests of the adapter's client of the row store, against its stand-in."""

import base64
from collections.abc import Awaitable
import json
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import task

from nutmegscale import errors
from nutmegscale import http_ingress
from nutmegscale import http_message
from nutmegscale import upstream
from nutmegscale.platform import store_client
from standins import memory_net
from standins import row_table
from standins import store_site

ADDRESS = "store:1"


class _SlowStore(protocol.Protocol):
    """A store whose answer crosses a slow link, part by part."""

    transport: Any

    def __init__(
        self, clock: Any, *, parts: int = 8, gap_s: float = 0.5
    ) -> None:
        self._clock = clock
        self._parts = parts
        self._gap_s = gap_s

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start to answer any request."""
        value = base64.b64encode(bytes(10_000)).decode()
        row = {"table": "t", "key": "a", "ver": 3, "value": value}
        body = json.dumps({"rows": [row], "ver": 3}).encode()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.transport.write(head)
        self._send(body, -(-len(body) // self._parts))

    def _send(self, rest: bytes, size: int) -> None:
        if rest:
            self.transport.write(rest[:size])
            self._clock.callLater(self._gap_s, self._send, rest[size:], size)


class _World:
    """A store and its client on a virtual clock."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        net = memory_net.MemoryNet(self.clock)
        self.store = row_table.RowTable(self.clock)
        site = store_site.StoreSite(self.store, "h")
        net.listen(
            ADDRESS,
            http_ingress.IngressFactory(self.clock, site, http_ingress.Limits),
        )
        self.net = net
        pool = upstream.UpstreamPool(None, self.clock, connect=net.connect)
        self.client = store_client.StoreClient(pool, ADDRESS)

    def answer_slowly(self, **options: Any) -> None:
        """Replace the store by one with a slow link."""
        factory = protocol.Factory.forProtocol(
            lambda: _SlowStore(self.clock, **options)
        )
        self.net.listen(ADDRESS, factory)

    def wait(self, work: Awaitable[Any], seconds: float = 1.0) -> Any:
        """Advance the clock, and return the result or raise the failure."""
        results: list[Any] = []
        running: defer.Deferred[Any] = defer.ensureDeferred(work)  # type: ignore[arg-type]
        running.addBoth(results.append)
        for _ in range(round(seconds / 0.005)):
            self.clock.advance(0.005)
        assert results, "the call hasn't ended"
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]


def test_every_answer_states_the_era() -> None:
    world = _World()
    version = world.store.put("t", "a", b"1")
    found = world.wait(world.client.read_table("t"))
    assert (found.era, found.version) == (1, version)
    written = world.wait(world.client.write("t", "b", b"2"))
    assert (written.era, written.version) == (1, version + 1)
    conflict = world.wait(world.client.write("t", "b", b"3", expected=9))
    assert (conflict.era, conflict.is_conflict) == (1, True)
    world.store.restore(0.0)
    changes = world.wait(world.client.follow("t", version, 0.0))
    assert changes.era == 2
    assert [row.key for row in changes.rows] == ["b"]


def test_version_that_the_restored_store_lacks_is_gone_history() -> None:
    world = _World()
    world.store.put("t", "a", b"1")
    world.clock.advance(5.0)
    version = world.store.put("t", "a", b"2")
    world.store.restore(2.0)
    with pytest.raises(errors.HistoryGoneError):
        world.wait(world.client.follow("t", version, 0.0))


@pytest.mark.parametrize(
    ("headers", "era"),
    [((), 0), (((b"Store-Era", b"7"),), 7), (((b"store-era", b"12"),), 12)],
)
def test_era_of_a_head(headers: tuple[Any, ...], era: int) -> None:
    head = http_message.ResponseHead(200, headers)
    assert store_client.read_era(head) == era


@pytest.mark.parametrize("text", [b"", b"-1", b"two", b"1.5"])
def test_malformed_era_is_a_typed_error(text: bytes) -> None:
    head = http_message.ResponseHead(200, ((b"Store-Era", text),))
    with pytest.raises(errors.StoreError, match="era"):
        store_client.read_era(head)


def test_restore_between_two_pages_of_a_table_begins_anew(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    world = _World()
    world.store.put("t", "a", b"1")
    eras = iter((1, 2))
    monkeypatch.setattr(store_client, "read_era", lambda head: next(eras))
    get = world.client._get

    async def _page(operation: str, query: dict[str, str]) -> Any:
        answer, era = await get(operation, query)
        answer.more = True
        return answer, era

    monkeypatch.setattr(world.client, "_get", _page)
    with pytest.raises(errors.HistoryGoneError, match="restored"):
        world.wait(world.client.read_table("t"))


def test_answer_that_arrives_slowly_is_read_to_its_end() -> None:
    world = _World()
    world.answer_slowly()
    found = world.wait(world.client.read_table("t"), 5.0)
    assert [len(row.value) for row in found.rows] == [10_000]


def test_answer_that_stops_arriving_is_given_up() -> None:
    world = _World()
    world.answer_slowly(gap_s=store_client.ANSWER_TIMEOUT_S + 0.1)
    with pytest.raises(errors.StoreError, match="of the body arrived"):
        world.wait(world.client.read_table("t"), 3.5)


def test_answer_without_end_is_given_up_in_time() -> None:
    world = _World()
    world.answer_slowly(parts=1_000, gap_s=1.0)
    with pytest.raises(errors.StoreError, match="of the body arrived"):
        longest_s = store_client.read_timeout_s(store_client.DEFAULT_LINK_MBPS)
        world.wait(world.client.read_table("t"), longest_s + 1.0)


@pytest.mark.parametrize("link_mbps", [1.0, 5.0, 10.0, 100.0, 10_000.0])
def test_longest_answer_may_take_its_time_on_any_link(link_mbps: float) -> None:
    longest_s = store_client.MAX_ANSWER_BYTES * 8 / (link_mbps * 1e6)
    assert store_client.read_timeout_s(link_mbps) > longest_s
