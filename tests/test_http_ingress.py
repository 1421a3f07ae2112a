"""Connections of callers: what is refused, what is read, when they close."""

from typing import Any

import pytest
from twisted.internet import task

from nutmegscale import http_ingress

VALID_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
POST_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"


class _Transport:
    """Transport that keeps what is written, and how it was closed."""

    def __init__(self) -> None:
        self._written: list[bytes] = []
        self.is_half_closed = False
        self.is_aborted = False

    def value(self) -> bytes:
        """Return what was written."""
        return b"".join(self._written)

    def write(self, data: bytes) -> None:
        """Keep what is written."""
        self._written.append(data)

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Note an orderly close."""
        self.is_half_closed = True

    def abortConnection(self) -> None:  # noqa: N802
        """Note a reset."""
        self.is_aborted = True


class _RecordingHandler:
    """Handler that keeps the requests."""

    def __init__(self) -> None:
        self.requests: list[http_ingress.IncomingRequest] = []

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Keep a request."""
        self.requests.append(request)


class _Harness:
    def __init__(self) -> None:
        self.clock = task.Clock()
        self.handler = _RecordingHandler()
        limits = http_ingress.Limits(300, 20, 3.0, 15.0)
        self.factory = http_ingress.IngressFactory(
            self.clock, self.handler, lambda: limits
        )
        self.connection = self.factory.buildProtocol(None)
        self.transport = _Transport()
        connection: Any = self.connection
        connection.makeConnection(self.transport)

    def receive(self, data: bytes) -> bytes:
        """Send bytes to the host and return the first line of its answer."""
        self.connection.dataReceived(data)
        return self.transport.value().partition(b"\r\n")[0]


@pytest.mark.parametrize(
    "data",
    [
        POST_HEAD + b"Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        POST_HEAD + b"Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        POST_HEAD
        + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        POST_HEAD
        + b"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
        POST_HEAD + b"Transfer-Encoding: gzip, chunked, x\r\n\r\n0\r\n\r\n",
        POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
        POST_HEAD + b"Content-Length: +3\r\n\r\nabc",
        b"GET /a HTTP/1.1\nHost: x\n\n",
        b"GET /a HTTP/1.1\r\nHost: x\rB: 1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: x\nB: 1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: x\r\nB: 1\r\n  2\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost : x\r\n\r\n",
        b"GET /a HTTP/1.1\r\n\r\n",
        b"GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        VALID_GET + VALID_GET,
        POST_HEAD + b"Content-Length: 3\r\n\r\nabc" + VALID_GET,
    ],
)
def test_what_two_parsers_may_read_differently_is_refused(data: bytes) -> None:
    bench = _Harness()
    assert bench.receive(data) == b"HTTP/1.1 400 Bad Request"
    assert bench.transport.is_half_closed
    assert not bench.handler.requests


def test_request_is_handed_on_whole_in_any_pieces() -> None:
    data = (
        POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
    )
    data += b"0\r\nTrailer: x\r\n\r\n"
    for size in (1, 7, len(data)):
        bench = _Harness()
        for start in range(0, len(data), size):
            bench.receive(data[start : start + size])
        assert [r.body for r in bench.handler.requests] == [b"abcde"]
        assert bench.handler.requests[0].head.get(b"trailer") is None


def test_second_request_before_the_answer_is_never_read() -> None:
    bench = _Harness()
    bench.receive(VALID_GET)
    bench.receive(VALID_GET)
    assert len(bench.handler.requests) == 1
    bench.handler.requests[0].respond(200, [], b"hi")
    assert b"Connection: close" in bench.transport.value()
    assert bench.transport.value().endswith(b"\r\n\r\nhi")
    assert bench.transport.is_half_closed


def test_connection_is_kept_between_requests() -> None:
    bench = _Harness()
    for number in range(3):
        bench.receive(VALID_GET)
        bench.handler.requests[number].respond(200, [], b"hi")
    assert not bench.transport.is_half_closed


def test_limits_on_headers_and_body() -> None:
    bench = _Harness()
    answer = bench.receive(POST_HEAD + b"A: " + b"x" * 400 + b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 431")
    assert _Harness().receive(b"GET /" + b"x" * 400).startswith(b"HTTP/1.1 431")
    answer = _Harness().receive(POST_HEAD + b"Content-Length: 21\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413")
    chunk = b"b\r\n" + b"x" * 11 + b"\r\n"
    data = POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 2
    assert _Harness().receive(data).startswith(b"HTTP/1.1 413")


def test_slow_headers_and_idle_connections_are_closed() -> None:
    bench = _Harness()
    bench.receive(b"GET /a HT")
    bench.clock.advance(2.9)
    assert not bench.transport.value()
    bench.clock.advance(0.2)
    assert bench.transport.value().startswith(b"HTTP/1.1 408")
    bench = _Harness()
    bench.clock.advance(14.9)
    assert not bench.transport.is_half_closed
    bench.clock.advance(0.2)
    assert bench.transport.is_half_closed
    assert not bench.transport.value()


def test_refused_connection_discards_data_until_linger_timeout() -> None:
    bench = _Harness()
    bench.receive(b"nonsense\r\n\r\n")
    before = bench.transport.value()
    bench.receive(VALID_GET)
    assert bench.transport.value() == before
    bench.clock.advance(http_ingress.LINGER_TIMEOUT_S + 0.1)
    assert bench.transport.is_aborted


def test_chunked_response_and_aborted_response() -> None:
    bench = _Harness()
    bench.receive(VALID_GET)
    request = bench.handler.requests[0]
    request.start(200, [(b"A", b"b")])
    request.write(b"hello")
    request.finish()
    assert bench.transport.value() == (
        b"HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nhello\r\n0\r\n\r\n"
    )
    bench.receive(VALID_GET)
    request = bench.handler.requests[1]
    request.start(200, [])
    request.abort()
    assert bench.transport.is_aborted
    assert not bench.transport.value().endswith(b"0\r\n\r\n0\r\n\r\n")


def test_disconnect_is_reported_once() -> None:
    bench = _Harness()
    bench.receive(VALID_GET)
    calls: list[int] = []
    bench.handler.requests[0].watch_disconnect(lambda: calls.append(1))
    bench.connection.connectionLost()
    bench.connection.connectionLost()
    assert calls == [1]
    bench.handler.requests[0].respond(200, [], b"late")
    assert not bench.transport.value()


def test_draining_closes_idle_connections_only() -> None:
    bench = _Harness()
    bench.receive(VALID_GET)
    bench.factory.is_draining = True
    bench.factory.close_idle()
    assert not bench.transport.is_half_closed
    bench.handler.requests[0].respond(200, [], b"")
    assert b"Connection: close" in bench.transport.value()
    other = _Harness()
    other.factory.close_idle()
    assert other.transport.is_half_closed


def test_bodies_of_all_connections_together_are_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(http_ingress, "MAX_READING_BYTES", 25)
    bench = _Harness()
    bench.receive(POST_HEAD + b"Content-Length: 20\r\n\r\n" + b"x" * 15)
    other = _Harness()
    other.connection = bench.factory.buildProtocol(None)
    connection: Any = other.connection
    connection.makeConnection(other.transport)
    answer = other.receive(
        POST_HEAD + b"Content-Length: 20\r\n\r\n" + b"x" * 15
    )
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1.000" in other.transport.value()
    bench.receive(b"x" * 5)
    assert [r.body for r in bench.handler.requests] == [b"x" * 20]
    assert bench.factory.buffered_body_bytes == 0
