"""Tests of the idle timeout and the reservation of pooled connections.

A connection must not be closed by its idle timer once it is reserved or carries
a call again, but must be closed if it stays idle.
"""

from typing import Any

from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing

from nutmegscale import http_message
from nutmegscale import upstream
from nutmegscale import upstream_call

ADDRESS = "10.0.0.1:80"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


def _request() -> upstream_call.Request:
    head = http_message.RequestHead(b"GET", b"/", ())
    return upstream_call.Request(head, b"", b"")


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
