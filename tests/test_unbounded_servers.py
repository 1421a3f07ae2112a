"""Tests of answers of servers and the store that take more than their size.

They guard against a host that exceeds its memory because of short parts, short
header lines, slow callers, long request ids, long lines, or pages without end.
"""

from collections.abc import Callable
import json
import tracemalloc
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing

from nutmegscale import errors
from nutmegscale import http_client
from nutmegscale import http_ingress
from nutmegscale import http_message
from nutmegscale import upstream
from nutmegscale import upstream_call
from nutmegscale.platform import store_client
from standins import memory_net

ADDRESS = "10.0.0.1:80"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SHORT_CHUNKS = b"2\r\nxx\r\n" * 9_000
MEGABYTE = 1 << 20


class _Connections:
    """Pool whose connections open at once, without a network."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.opened: list[Any] = []
        self.pool = upstream.UpstreamPool(None, self.clock, connect=self._open)

    def _open(self, address: str, factory: Any) -> Any:
        connection = factory.buildProtocol(None)
        transport = testing.StringTransportWithDisconnection()
        transport.protocol = connection
        connection.makeConnection(transport)
        self.opened.append(connection)
        return defer.succeed(connection)

    def call(self, request_id: bytes = b"") -> upstream_call.Call:
        """Send a request."""
        head = http_message.RequestHead(b"GET", b"/", ())
        request = upstream_call.Request(head, b"", request_id)
        calls: list[upstream_call.Call] = []
        waiting = defer.ensureDeferred(self.pool.call(ADDRESS, request))
        waiting.addCallback(calls.append)
        return calls[0]


def _peak_bytes(work: Callable[[], Any]) -> int:
    """Return the most memory that some work takes, beside what was held."""
    tracemalloc.start()
    try:
        held, _ = tracemalloc.get_traced_memory()
        kept = work()
        _, peak = tracemalloc.get_traced_memory()
        del kept
    finally:
        tracemalloc.stop()
    return peak - held


def test_short_parts_for_a_slow_caller_take_their_size() -> None:
    net = _Connections()
    call = net.call()

    def _receive() -> None:
        connection = net.opened[0]
        connection.dataReceived(CHUNKED)
        while connection.transport.producerState == "producing":
            connection.dataReceived(SHORT_CHUNKS)

    assert _peak_bytes(_receive) < MEGABYTE
    call.abort()
    assert net.pool.buffered_bytes == 0


def test_a_body_in_short_parts_takes_its_size() -> None:
    net = _Connections()
    call = net.call()
    bodies: list[bytes] = []

    def _receive() -> None:
        waiting = defer.ensureDeferred(call.body(5.0, 4 * MEGABYTE))
        waiting.addCallback(bodies.append)
        net.opened[0].dataReceived(CHUNKED)
        for _ in range(20):
            net.opened[0].dataReceived(SHORT_CHUNKS)
        net.opened[0].dataReceived(b"0\r\n\r\n")

    assert _peak_bytes(_receive) < 2 * MEGABYTE
    assert len(bodies[0]) == 20 * 9_000 * 2


def test_answers_for_many_slow_callers_are_bounded_together() -> None:
    net = _Connections()
    calls = [net.call() for _ in range(200)]
    for connection in net.opened:
        connection.dataReceived(CHUNKED)
        while connection.transport.producerState == "producing":
            connection.dataReceived(b"1000\r\n" + bytes(4_096) + b"\r\n")
    assert net.pool.buffered_bytes < 12 * MEGABYTE
    for call in calls:
        call.abort()
    assert net.pool.buffered_bytes == 0


def test_short_header_lines_end_the_call() -> None:
    net = _Connections()
    call = net.call()

    def _receive() -> None:
        net.opened[0].dataReceived(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 60_000)

    assert _peak_bytes(_receive) < MEGABYTE
    failed: list[Any] = []
    defer.ensureDeferred(call.head(1.0)).addErrback(failed.append)
    assert failed[0].check(errors.MalformedAnswerError)
    assert not net.opened[0].transport.connected


def test_a_connection_remembers_long_request_ids_in_little_memory() -> None:
    net = _Connections()

    def _serve() -> None:
        for number in range(150):
            request_id = b"%05d" % number + b"r" * 15_000
            net.call(request_id)
            net.opened[-1].dataReceived(
                b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n" % request_id
                + b"Content-Length: 0\r\n\r\n"
            )
            net.opened[-1].transport.clear()

    assert _peak_bytes(_serve) < MEGABYTE
    assert len(net.opened) == 1
    net.call(b"00000" + b"r" * 15_000)
    assert len(net.opened) == 2


def test_long_lines_wait_until_they_are_taken() -> None:
    lines: Any = http_client.LineStream(testing.MemoryReactorClock())
    transport = testing.StringTransport()
    lines.makeConnection(transport)
    received = 0
    while transport.producerState == "producing" and received < 64 * MEGABYTE:
        lines.dataReceived(bytes(64 << 10))
        received += 64 << 10
        if received % (MEGABYTE // 2) == 0:
            lines.dataReceived(b"\n")
    assert received < 3 * MEGABYTE
    while transport.producerState != "producing":
        defer.ensureDeferred(lines.next_line(1.0))


class _EndlessPages:
    """Store that answers each read with one more page of the same row."""

    def __init__(self, key: str) -> None:
        self._row = {"key": key, "ver": 1, "value": "A" * 100_000}
        self.answers = 0

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Answer a read; see `http_ingress.Handler`."""
        self.answers += 1
        body = {"ver": 1, "rows": [self._row], "hasMore": True}
        request.respond(200, [], json.dumps(body).encode())


@pytest.mark.parametrize("key", ["a", "\uffff" * 20])
def test_a_table_without_end_is_not_read_on(key: str) -> None:
    clock = task.Clock()
    net = memory_net.MemoryNet(clock)
    store = _EndlessPages(key)
    net.listen(
        "store:1",
        http_ingress.IngressFactory(clock, store, http_ingress.Limits),
    )
    pool = upstream.UpstreamPool(None, clock, connect=net.connect)
    client = store_client.StoreClient(pool, "store:1")
    failed: list[Any] = []
    reading = defer.ensureDeferred(client.read_table("t"))
    reading.addErrback(failed.append)
    for _ in range(2_000):
        clock.advance(0.005)
        if failed:
            break
    assert failed[0].check(errors.StoreError)


@pytest.mark.parametrize("piece", [b"x" * 4_096, b"x-a: %s\r\n" % (b"y" * 300)])
def test_heads_without_end_of_many_servers_are_bounded_together(
    piece: bytes,
) -> None:
    net = _Connections()
    failed: list[Any] = []
    for _ in range(400):
        waiting = defer.ensureDeferred(net.call().head(5.0))
        waiting.addErrback(failed.append)

    def _receive() -> None:
        for connection in net.opened:
            connection.dataReceived(b"HTTP/1.1 200 OK\r\nx: ")
        for _ in range(300_000 // len(piece)):
            for connection in net.opened:
                if connection.transport.connected:
                    connection.dataReceived(piece)

    assert _peak_bytes(_receive) < 20 * MEGABYTE
    assert len(failed) == 400
    assert failed[0].check(errors.MalformedAnswerError)


def test_head_of_a_sound_server_is_read_beside_heads_without_end() -> None:
    net = _Connections()
    for _ in range(400):
        defer.ensureDeferred(net.call().head(5.0)).addErrback(lambda _: None)
    for connection in net.opened:
        connection.dataReceived(b"HTTP/1.1 200 OK\r\nx: " + b"x" * 60_000)
    call = net.call()
    heads: list[Any] = []
    defer.ensureDeferred(call.head(5.0)).addCallback(heads.append)
    lines = b"".join(b"x-%d: %s\r\n" % (n, b"y" * 100) for n in range(30))
    net.opened[-1].dataReceived(b"HTTP/1.1 200 OK\r\n" + lines + b"\r\n")
    assert len(heads[0].headers) == 30
