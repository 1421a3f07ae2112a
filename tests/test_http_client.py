"""Tests of the HTTP client: check of connections, answers without end."""

import gzip
from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import testing
from twisted.python import failure

from nutmegscale import errors
from nutmegscale import http_client


def _start_check() -> tuple[testing.MemoryReactorClock, defer.Deferred[None]]:
    reactor = testing.MemoryReactorClock()
    client = http_client.HttpClient(reactor, "http://127.0.0.1:81")
    return reactor, defer.ensureDeferred(client.check_connection())


def test_check_connects_to_the_server_and_closes_the_connection() -> None:
    reactor, checking = _start_check()
    ip, port, factory, *_ = reactor.tcpClients[0]
    assert (ip, port) == ("127.0.0.1", 81)
    opened: Any = factory.buildProtocol(None)
    opened.makeConnection(testing.StringTransport())
    assert checking.called
    assert opened.transport.disconnecting


def test_check_of_a_server_that_refuses_connections_fails() -> None:
    reactor, checking = _start_check()
    factory: Any = reactor.tcpClients[0][2]
    refused = failure.Failure(error.ConnectionRefusedError())
    factory.clientConnectionFailed(None, refused)
    results: list[Any] = []
    checking.addErrback(results.append)
    with pytest.raises(errors.ConnectError):
        results[0].raiseException()


class _Exchange:
    """A request on a connection whose received bytes the test provides.

    Attributes:
      transport: Transport of the connection.
      results: Result or failure of the request.
    """

    def __init__(self) -> None:
        reactor = testing.MemoryReactorClock()
        self._client = http_client.HttpClient(reactor, "http://127.0.0.1:81")
        self.results: list[Any] = []
        asking = defer.ensureDeferred(self._client.request("GET", "/"))
        asking.addBoth(self.results.append)
        factory: Any = reactor.tcpClients[0][2]
        self._protocol: Any = factory.buildProtocol(None)
        self.transport: Any = testing.StringTransportWithDisconnection()
        self.transport.protocol = self._protocol
        self._protocol.makeConnection(self.transport)

    def receive(self, data: bytes) -> None:
        """Let bytes of the server arrive."""
        self._protocol.dataReceived(data)

    def receive_without_end(self, piece: bytes, limit: int) -> int:
        """Repeat bytes until the connection is closed; return their number."""
        taken = 0
        while self.transport.connected and taken < limit:
            self.receive(piece)
            taken += len(piece)
        return taken

    def lose(self, reason: Exception) -> None:
        """Let the server close or reset the connection."""
        self._protocol.connectionLost(failure.Failure(reason))


def test_answer_is_read_whole() -> None:
    exchange = _Exchange()
    exchange.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no")
    exchange.receive(b"k")
    assert exchange.results[0].body == b"ok"


@pytest.mark.parametrize(
    ("first", "piece", "limit"),
    [
        (b"HTTP/1.1 200 OK\r\n", b"X-A: y\r\n" * 100, 1 << 16),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536, 4 << 20),
    ],
)
def test_answer_without_end_is_closed_within_bounds(
    first: bytes, piece: bytes, limit: int
) -> None:
    exchange = _Exchange()
    exchange.receive(first)
    taken = exchange.receive_without_end(piece, 4 * limit)
    assert taken <= limit + 2 * len(piece)
    assert exchange.results[0].check(errors.TransportError)


HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
)


@pytest.mark.parametrize(
    "reason", [error.ConnectionDone(), error.ConnectionLost()]
)
def test_an_answer_that_breaks_off_anywhere_is_none(reason: Exception) -> None:
    whole = HEAD + b"body"
    for interim in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
        answer = interim + whole
        for end in range(len(answer)):
            exchange = _Exchange()
            exchange.receive(answer[:end])
            exchange.lose(reason)
            assert exchange.results[0].check(errors.TransportError), end


def test_an_answer_without_a_length_that_is_reset_is_none() -> None:
    for reason, is_whole in (
        (error.ConnectionDone(), True),
        (error.ConnectionLost(), False),
    ):
        exchange = _Exchange()
        exchange.receive(b"HTTP/1.1 200 OK\r\n\r\npart")
        exchange.lose(reason)
        result = exchange.results[0]
        assert is_whole == isinstance(result, http_client.Response)


def test_an_odd_name_of_a_header_ends_in_a_typed_error_or_an_answer() -> None:
    exchange = _Exchange()
    exchange.receive(
        b"HTTP/1.1 200 OK\r\nX-\xff: y\r\nContent-Length: 0\r\n\r\n"
    )
    result = exchange.results[0]
    is_answer = isinstance(result, http_client.Response)
    assert is_answer or result.check(errors.TransportError)


def test_small_body_that_decompresses_without_end_fails() -> None:
    packed = gzip.compress(b"x" * (64 << 20))
    exchange = _Exchange()
    exchange.receive(
        b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
        b"Content-Length: %d\r\n\r\n" % len(packed)
    )
    exchange.receive(packed)
    assert exchange.results[0].check(errors.TransportError)


def test_lines_without_end_wait_until_they_are_taken() -> None:
    lines: Any = http_client.LineStream(testing.MemoryReactorClock())
    transport: Any = testing.StringTransport()
    lines.makeConnection(transport)
    lines.dataReceived(b"a line\n" * (http_client.MAX_QUEUED_LINES + 10))
    assert transport.producerState == "paused"
    for _ in range(20):
        defer.ensureDeferred(lines.next_line(1.0))
    assert transport.producerState == "producing"
