"""Tests of callers' connections: refused requests, parsing and closing.

The refused requests are those that two HTTP parsers may interpret differently,
which allows request smuggling. The others exceed a limit on size or time.
"""

from typing import Any

import pytest
from twisted.internet import task

from nutmegscale import http_ingress

VALID_GET = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
POST_HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"


class _Transport:
    """Transport that records the written data and how it was closed."""

    def __init__(self) -> None:
        self._written: list[bytes] = []
        self.is_half_closed = False
        self.is_aborted = False
        self.is_closed = False
        self.is_slow = False
        self.producer: Any = None

    def value(self) -> bytes:
        """Return the written data."""
        return b"".join(self._written)

    def write(self, data: bytes) -> None:
        """Record data."""
        self._written.append(data)

    def registerProducer(  # noqa: N802
        self, producer: Any, streaming: bool
    ) -> None:
        """Set the producer; one that isn't streaming is asked when idle."""
        self.producer = producer
        if not streaming:
            producer.resumeProducing()
            if not self.is_slow:
                producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Remove the producer."""
        self.producer = None

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Record an orderly close."""
        self.is_half_closed = True

    def loseConnection(self) -> None:  # noqa: N802
        """Record a close."""
        self.is_closed = True

    def abortConnection(self) -> None:  # noqa: N802
        """Record a reset."""
        self.is_aborted = True

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the tests send all the same."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing."""


class _RecordingHandler:
    """Handler that records the requests."""

    def __init__(self) -> None:
        self.requests: list[http_ingress.IncomingRequest] = []

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Record a request."""
        self.requests.append(request)


class _Harness:
    """A connection with small limits, a recording handler and a test clock."""

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
        """Send data to the host and return the status line of its response."""
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
    harness = _Harness()
    assert harness.receive(data) == b"HTTP/1.1 400 Bad Request"
    assert harness.transport.is_half_closed
    assert not harness.handler.requests


def test_request_is_handed_on_whole_in_any_pieces() -> None:
    data = (
        POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
    )
    data += b"0\r\nTrailer: x\r\n\r\n"
    for size in (1, 7, len(data)):
        harness = _Harness()
        for start in range(0, len(data), size):
            harness.receive(data[start : start + size])
        assert [r.body for r in harness.handler.requests] == [b"abcde"]
        assert harness.handler.requests[0].head.get(b"trailer") is None


def test_second_request_before_the_answer_is_never_read() -> None:
    harness = _Harness()
    harness.receive(VALID_GET)
    harness.receive(VALID_GET)
    assert len(harness.handler.requests) == 1
    harness.handler.requests[0].respond(200, [], b"hi")
    assert b"Connection: close" in harness.transport.value()
    assert harness.transport.value().endswith(b"\r\n\r\nhi")
    assert harness.transport.is_half_closed


def test_connection_is_kept_between_requests() -> None:
    harness = _Harness()
    for number in range(3):
        harness.receive(VALID_GET)
        harness.handler.requests[number].respond(200, [], b"hi")
    assert not harness.transport.is_half_closed


def test_limits_on_headers_and_body() -> None:
    harness = _Harness()
    answer = harness.receive(POST_HEAD + b"A: " + b"x" * 400 + b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 431")
    assert _Harness().receive(b"GET /" + b"x" * 400).startswith(b"HTTP/1.1 431")
    answer = _Harness().receive(POST_HEAD + b"Content-Length: 21\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 413")
    chunk = b"b\r\n" + b"x" * 11 + b"\r\n"
    data = POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunk * 2
    assert _Harness().receive(data).startswith(b"HTTP/1.1 413")


def _default_harness() -> _Harness:
    harness = _Harness()
    harness.factory.limits = http_ingress.Limits
    return harness


def test_a_head_of_the_greatest_length_is_served_whatever_its_lines() -> None:
    """A head of 4,075 lines of four bytes counted as if they had five."""
    for line in (b"a:\r\n", b"a: b\r\n", b"name: value\r\n"):
        harness = _default_harness()
        room = http_ingress.Limits().max_header_bytes - len(POST_HEAD) - 2
        head = POST_HEAD + line * (room // len(line)) + b"\r\n"
        for start in range(0, len(head), 1_460):
            assert not harness.receive(head[start : start + 1_460])
        (request,) = harness.handler.requests
        assert len(request.head.headers) == 1 + room // len(line)
        assert request.head.headers[-1][0] == line.partition(b":")[0]


def test_requests_in_progress_stay_within_the_memory() -> None:
    """None of them is closed for memory; a head of short lines takes 700 KB.

    An ordinary request is served beside them.
    """
    harness = _default_harness()
    budget = harness.factory.budget
    budget.limits = budget.limits._replace(held_bytes=4 << 20)
    head = POST_HEAD + b"a:\r\n" * 3_900 + b"\r\n"
    answers = []
    for data in [head] * 20 + [VALID_GET]:
        other = _Harness()
        other.connection = harness.factory.buildProtocol(None)
        connection: Any = other.connection
        connection.makeConnection(other.transport)
        other.receive(data)
        harness.clock.advance(0.01)
        answers.append(other.transport.value().partition(b"\r\n")[0])
        assert budget.held_bytes <= budget.limits.held_bytes
    assert b"HTTP/1.1 503 Service Unavailable" in answers
    assert not answers[-1]
    served = len(harness.handler.requests)
    assert served == answers.count(b"") > 2


def test_a_body_in_chunks_of_one_byte_is_served() -> None:
    harness = _default_harness()
    body = b"xyz" * 40_000
    data = b"".join(b"1\r\n%c\r\n" % byte for byte in body)
    harness.receive(POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    for start in range(0, len(data), 65_536):
        harness.receive(data[start : start + 65_536])
    harness.receive(b"0\r\n\r\n")
    for _ in range(100):
        harness.clock.advance(0.01)
    assert [r.body for r in harness.handler.requests] == [body]


def test_slow_headers_and_idle_connections_are_closed() -> None:
    harness = _Harness()
    harness.receive(b"GET /a HT")
    harness.clock.advance(2.9)
    assert not harness.transport.value()
    harness.clock.advance(0.2)
    assert harness.transport.value().startswith(b"HTTP/1.1 408")
    harness = _Harness()
    harness.clock.advance(14.9)
    assert not harness.transport.is_half_closed
    harness.clock.advance(0.2)
    assert harness.transport.is_half_closed
    assert not harness.transport.value()


def test_refused_connection_discards_data_until_linger_timeout() -> None:
    harness = _Harness()
    harness.receive(b"nonsense\r\n\r\n")
    before = harness.transport.value()
    harness.receive(VALID_GET)
    assert harness.transport.value() == before
    harness.clock.advance(http_ingress.LINGER_TIMEOUT_S + 0.1)
    assert harness.transport.is_aborted


def test_chunked_response_and_aborted_response() -> None:
    harness = _Harness()
    harness.receive(VALID_GET)
    request = harness.handler.requests[0]
    request.start(200, [(b"A", b"b")])
    request.write(b"hello")
    request.finish()
    assert harness.transport.value() == (
        b"HTTP/1.1 200 OK\r\nA: b\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"5\r\nhello\r\n0\r\n\r\n"
    )
    harness.receive(VALID_GET)
    request = harness.handler.requests[1]
    request.start(200, [])
    request.abort()
    assert harness.transport.is_aborted
    assert not harness.transport.value().endswith(b"0\r\n\r\n0\r\n\r\n")


def test_disconnect_is_reported_once() -> None:
    harness = _Harness()
    harness.receive(VALID_GET)
    calls: list[int] = []
    harness.handler.requests[0].watch_disconnect(lambda: calls.append(1))
    harness.connection.connectionLost()
    harness.connection.connectionLost()
    assert calls == [1]
    harness.handler.requests[0].respond(200, [], b"late")
    assert not harness.transport.value()


def test_draining_closes_idle_connections_only() -> None:
    harness = _Harness()
    harness.receive(VALID_GET)
    harness.factory.is_draining = True
    harness.factory.close_idle()
    assert not harness.transport.is_half_closed
    harness.handler.requests[0].respond(200, [], b"")
    assert b"Connection: close" in harness.transport.value()
    other = _Harness()
    other.receive(VALID_GET)
    other.handler.requests[0].respond(200, [], b"")
    other.factory.close_idle()
    assert other.transport.is_half_closed


def test_a_new_connection_isnt_closed_before_its_first_request() -> None:
    """Its request was on the way, and the caller's attempt failed."""
    harness = _Harness()
    harness.factory.is_draining = True
    harness.factory.close_idle()
    harness.clock.advance(0.2)
    harness.factory.close_idle()
    assert not harness.transport.is_half_closed
    harness.clock.advance(http_ingress.FIRST_REQUEST_WAIT_S)
    harness.factory.close_idle()
    assert harness.transport.is_half_closed


def test_bodies_of_all_connections_together_are_bounded() -> None:
    harness = _Harness()
    harness.receive(POST_HEAD + b"Content-Length: 20\r\n\r\n" + b"x" * 15)
    budget = harness.factory.budget
    budget.limits = budget.limits._replace(
        held_bytes=budget.held_bytes * 25 // 15
    )
    other = _Harness()
    other.connection = harness.factory.buildProtocol(None)
    connection: Any = other.connection
    connection.makeConnection(other.transport)
    answer = other.receive(
        POST_HEAD + b"Content-Length: 20\r\n\r\n" + b"x" * 15
    )
    assert answer.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: 1.000" in other.transport.value()
    harness.receive(b"x" * 5)
    assert [r.body for r in harness.handler.requests] == [b"x" * 20]
    harness.handler.requests[0].respond(200, [], b"")
    assert budget.held_bytes == 0


def _answered(*actions: str) -> tuple[bytes, bool]:
    """Answer a request by some actions in turn.

    Returns:
      What was sent, and whether the connection was cut.
    """
    harness = _Harness()
    harness.receive(VALID_GET)
    (request,) = harness.handler.requests
    done = {
        "respond": lambda: request.respond(500, [], b"text"),
        "start": lambda: request.start(200, []),
        "write": lambda: request.write(b"part"),
        "finish": request.finish,
    }
    for action in actions:
        done[action]()
    return harness.transport.value(), harness.transport.is_aborted


@pytest.mark.parametrize(
    "actions",
    [
        ("start", "write", "respond"),
        ("start", "write", "start"),
        ("start", "respond", "finish"),
        ("write", "finish"),
        ("finish",),
    ],
)
def test_an_answer_has_one_head_and_is_cut_by_any_other_order(
    actions: tuple[str, ...],
) -> None:
    """A failure was written into the body of a stream in progress."""
    sent, is_cut = _answered(*actions)
    assert sent.count(b"HTTP/1.1") <= 1
    assert is_cut
    assert b"text" not in sent
    assert not sent.endswith(b"0\r\n\r\n")


def test_nothing_follows_an_answer_that_has_ended() -> None:
    whole, is_cut = _answered("respond")
    assert not is_cut
    again = ("respond", "start", "write", "finish")
    assert _answered("respond", *again) == (whole, False)


@pytest.mark.parametrize("status", [204, 304])
def test_an_answer_without_a_body_has_no_framing(status: int) -> None:
    for is_streamed in (False, True):
        harness = _Harness()
        harness.receive(VALID_GET)
        (request,) = harness.handler.requests
        if is_streamed:
            request.start(status, [])
            request.write(b"part")
            request.finish()
        else:
            request.respond(status, [], b"part")
        head, _, body = harness.transport.value().partition(b"\r\n\r\n")
        assert not body
        assert b"Content-Length" not in head
        assert b"Transfer-Encoding" not in head


@pytest.mark.parametrize("is_draining", [True, False])
def test_an_answer_that_is_being_sent_is_neither_idle_nor_cut(
    is_draining: bool,
) -> None:
    """A planned stop, and the idle time, start only when it was sent."""
    harness = _Harness()
    harness.transport.is_slow = True
    harness.receive(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    harness.factory.is_draining = is_draining
    harness.handler.requests[0].respond(200, [], b"x" * 200_000)
    for _ in range(40):
        harness.clock.advance(1.0)
        harness.connection.close_if_idle()
        assert not harness.transport.is_half_closed
    harness.transport.producer.resumeProducing()
    harness.clock.advance(14.0)
    assert harness.transport.is_half_closed == is_draining
    harness.clock.advance(1.5)
    assert harness.transport.is_half_closed
    harness.clock.advance(http_ingress.LINGER_TIMEOUT_S)
    assert harness.transport.is_closed
    assert not harness.transport.is_aborted


def test_a_next_request_is_served_while_an_answer_is_being_sent() -> None:
    harness = _Harness()
    harness.transport.is_slow = True
    request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
    harness.receive(request)
    harness.handler.requests[0].respond(200, [], b"x" * 200_000)
    harness.receive(request)
    harness.handler.requests[1].start(200, [])
    harness.handler.requests[1].write(b"y")
    harness.clock.advance(60.0)
    harness.handler.requests[1].finish()
    assert harness.transport.value().endswith(b"y\r\n0\r\n\r\n")
    harness.transport.producer.resumeProducing()
    harness.clock.advance(15.1)
    assert harness.transport.is_half_closed


def test_bodies_of_requests_in_progress_are_bounded_until_their_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A host that keeps them all exceeds its memory and is killed."""
    monkeypatch.setattr(http_ingress, "MAX_SMALL_BODY_BYTES", 5)
    harness = _Harness()
    harness.factory.held = http_ingress.HeldBodies(25)
    long = POST_HEAD + b"Content-Length: 20\r\n\r\n" + b"x" * 20
    chunked = POST_HEAD + b"Transfer-Encoding: chunked\r\n\r\n14\r\n"
    harness.receive(long)

    def _answer(data: bytes) -> bytes:
        other = _Harness()
        other.connection = harness.factory.buildProtocol(None)
        connection: Any = other.connection
        connection.makeConnection(other.transport)
        return other.receive(data)

    assert _answer(long[:-20]).startswith(b"HTTP/1.1 503")
    assert _answer(chunked + b"x" * 20).startswith(b"HTTP/1.1 503")
    small = POST_HEAD + b"Content-Length: 5\r\n\r\n" + b"x" * 5
    assert _answer(small) == b""
    assert [len(r.body) for r in harness.handler.requests] == [20, 5]
    for request in harness.handler.requests:
        request.respond(200, [], b"")
    assert harness.factory.held.size == 0
    assert _answer(long) == b""
    harness.handler.requests[-1].abort()
    assert harness.factory.held.size == 0
