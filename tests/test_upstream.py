"""Tests of pooled connections: idle timeout, reservation, bytes without end.

A connection must not be closed by its idle timer once it is reserved or carries
a call again, but must be closed if it stays idle. Bytes that never become an
answer must end the call within bounds of memory.
"""

from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import error
from twisted.internet import task
from twisted.internet import testing

from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import memory_budget
from nutmegscale import request_sender
from nutmegscale import upstream
from nutmegscale import upstream_call

ADDRESS = "10.0.0.1:80"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _request() -> upstream_call.Request:
    head = http_message.RequestHead(b"GET", b"/", ())
    return upstream_call.Request(head, b"", b"", is_trusted=True)


class _FakeNetwork:
    """Connection pool whose connections open at once, without a network."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.transports: list[testing.StringTransportWithDisconnection] = []
        self.connections: list[Any] = []
        self.pool = upstream.UpstreamPool(None, self.clock, connect=self._open)

    def _open(self, address: str, factory: Any) -> Any:
        connection = factory.buildProtocol(None)
        transport = testing.StringTransportWithDisconnection()
        transport.protocol = connection
        connection.makeConnection(transport)
        self.transports.append(transport)
        self.connections.append(connection)
        return defer.succeed(connection)

    def run(self, coroutine: Any) -> Any:
        """Return the result of a coroutine that finishes without waiting."""
        results: list[Any] = []
        defer.ensureDeferred(coroutine).addCallback(results.append)
        return results[0]


def _reserve_idle_connection(net: _FakeNetwork) -> upstream.ReservedConnection:
    """Use a connection once and reserve it while it is idle."""
    net.run(net.pool.call(ADDRESS, _request()))
    net.connections[0].dataReceived(RESPONSE)
    reserved: upstream.ReservedConnection = net.run(net.pool.reserve(ADDRESS))
    assert len(net.transports) == 1
    return reserved


def test_a_reserved_connection_is_not_closed_as_idle() -> None:
    net = _FakeNetwork()
    reserved = _reserve_idle_connection(net)
    net.clock.advance(upstream.IDLE_TIMEOUT_S + 1)
    assert net.transports[0].connected
    net.run(net.pool.call(ADDRESS, _request(), reserved=reserved))
    assert len(net.transports) == 1


def test_released_connection_is_not_closed_during_a_call() -> None:
    net = _FakeNetwork()
    reserved = _reserve_idle_connection(net)
    net.clock.advance(upstream.IDLE_TIMEOUT_S / 2)
    reserved.release()
    net.run(net.pool.call(ADDRESS, _request()))
    net.clock.advance(upstream.IDLE_TIMEOUT_S)
    assert len(net.transports) == 1
    assert net.transports[0].connected


def test_an_idle_connection_is_closed_after_its_time() -> None:
    net = _FakeNetwork()
    _reserve_idle_connection(net).release()
    net.clock.advance(upstream.IDLE_TIMEOUT_S + 0.1)
    assert not net.transports[0].connected


def _feed_without_end(
    net: _FakeNetwork, waiting: Any, first: bytes, piece: bytes
) -> int:
    """Send bytes until the call fails; return how many were taken.

    Args:
      net: The network.
      waiting: Coroutine that waits for the answer.
      first: First bytes of the answer.
      piece: Bytes to repeat.
    """
    failed: list[Any] = []
    defer.ensureDeferred(waiting).addErrback(failed.append)
    connection = net.connections[-1]
    connection.dataReceived(first)
    taken = len(first)
    while not failed and taken < 64 << 20:
        connection.dataReceived(piece)
        taken += len(piece)
    assert failed[0].check(errors.TransportError)
    return taken


@pytest.mark.parametrize(
    ("first", "piece"),
    [
        (b"", b"x" * 4_096),
        (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n" * 100),
        (b"HTTP/1.1 200 OK\r\nX-Long: ", b"y" * 4_096),
        (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n0\r\n",
            b"X-Trailer: y\r\n" * 100,
        ),
        (b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", b"z" * 4_096),
    ],
)
def test_bytes_without_end_that_are_no_body_end_the_call(
    first: bytes, piece: bytes
) -> None:
    net = _FakeNetwork()
    request = _request()._replace(request_id=b"own", is_trusted=False)
    call = net.run(net.pool.call(ADDRESS, request))
    taken = _feed_without_end(net, call.body(5.0, 1 << 20), first, piece)
    assert taken <= upstream.MAX_OVERHEAD_BYTES + 2 * 4_096
    assert not net.transports[-1].connected


def test_bodies_without_end_of_ten_servers_stay_within_the_memory() -> None:
    net = _FakeNetwork()
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    failed: list[Any] = []
    small: list[bytes] = []
    for _ in range(10):
        call = net.run(net.pool.call(ADDRESS, _request()))
        defer.ensureDeferred(call.body(5.0, 4 << 20)).addErrback(failed.append)
        net.connections[-1].dataReceived(head)
    most = 0
    for _ in range(4_096):
        for connection in net.connections:
            if connection.transport.connected:
                connection.dataReceived(b"x" * 4_096)
        most = max(most, net.pool.collected_bytes)
        if len(failed) == 10:
            break
    assert len(failed) == 10
    assert most <= memory_budget.MemoryLimits().collected_bytes + 4_096
    assert net.pool.collected_bytes == 0
    call = net.run(net.pool.call(ADDRESS, _request()))
    defer.ensureDeferred(call.body(5.0, 4 << 20)).addCallback(small.append)
    net.connections[-1].dataReceived(RESPONSE)
    assert small == [b"ok"]


@pytest.mark.parametrize(
    "failure",
    [
        error.ConnectionRefusedError(),
        error.TimeoutError(),
        error.DNSLookupError("no address for no-such-server"),
        OSError(24, "too many open files"),
    ],
)
def test_a_connection_that_cannot_be_made_ends_in_a_typed_error(
    failure: Exception,
) -> None:
    """A name that can't be resolved ended the request as a defect."""
    clock = task.Clock()
    pool = upstream.UpstreamPool(
        None, clock, connect=lambda address, factory: defer.fail(failure)
    )
    outcomes: list[Any] = []
    calling = defer.ensureDeferred(pool.call("no-such-server:80", _request()))
    calling.addErrback(outcomes.append)
    assert outcomes[0].check(errors.ConnectError)


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_status_that_http_does_not_have_ends_the_call_at_once(
    status: bytes,
) -> None:
    net = _FakeNetwork()
    failed: list[Any] = []
    call = net.run(net.pool.call(ADDRESS, _request()))
    defer.ensureDeferred(call.head(5.0)).addErrback(failed.append)
    net.connections[0].dataReceived(
        b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n\r\nok"
    )
    assert failed[0].check(errors.MalformedAnswerError)
    assert not net.transports[0].connected


def _post(size: int) -> upstream_call.Request:
    head = http_message.RequestHead(b"POST", b"/", ())
    return upstream_call.Request(head, bytes(size), b"", is_trusted=True)


def test_long_body_is_written_part_by_part() -> None:
    net = _FakeNetwork()
    size = 3 * request_sender.PART_BYTES + 1
    net.run(net.pool.call(ADDRESS, _post(size)))
    transport = net.transports[0]
    producer: Any = transport.producer
    written = len(transport.value())
    assert written < request_sender.PART_BYTES + 1_000
    # The first call is the registration.
    producer.resumeProducing()
    assert len(transport.value()) == written
    while transport.producer is not None:
        before = len(transport.value())
        producer.resumeProducing()
        grown = len(transport.value()) - before
        assert grown <= request_sender.PART_BYTES
    head, _, body = transport.value().partition(b"\r\n\r\n")
    assert head.endswith(b"Content-Length: %d" % size)
    assert body == bytes(size)


def test_answer_to_a_request_that_is_not_sent_ends_its_connection() -> None:
    net = _FakeNetwork()
    answers: list[bytes] = []
    call = net.run(net.pool.call(ADDRESS, _post(request_sender.PART_BYTES + 1)))
    defer.ensureDeferred(call.body(5.0, 10)).addCallback(answers.append)
    net.connections[0].dataReceived(RESPONSE)
    assert answers == [b"ok"]
    assert not net.transports[0].connected
    net.run(net.pool.call(ADDRESS, _request()))
    assert len(net.transports) == 2


def test_body_that_a_cut_ends_fails_as_cut_off() -> None:
    net = _FakeNetwork()
    failed: list[Any] = []
    call = net.run(net.pool.call(ADDRESS, _request()))
    defer.ensureDeferred(call.body(5.0, 10)).addErrback(failed.append)
    net.connections[0].dataReceived(
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no"
    )
    call.failed(errors.CutOffError("cut off"))
    assert failed[0].check(errors.CutOffError)
