"""TCP proxy on the loopback that injects faults into connections."""

from collections import deque
from typing import Any

from twisted.internet import endpoints
from twisted.internet import protocol


class FaultProxy(protocol.Factory):
    """Forwards connections to a target, with faults.

    Attributes:
      delay_s: Delay of each chunk in both directions, seconds.
      drops_to_target: Whether bytes to the target are dropped.
      drops_from_target: Whether bytes from the target are dropped.
    """

    noisy = False

    def __init__(
        self,
        reactor: Any,
        ip: str,
        port: int,
        *,
        source: str = "",
        sources: dict[int, str] | None = None,
    ) -> None:
        """Create a proxy that doesn't listen yet.

        Args:
          reactor: Twisted reactor.
          ip: Address of the target.
          port: Its port.
          source: Name of the host whose connections it forwards; "" for that of
            the proxy before it.
          sources: Where the source of each connection to a target is recorded,
            by its local port.
        """
        self._reactor = reactor
        self._target = (ip, port)
        self._source = source
        self._sources = {} if sources is None else sources
        self._client_sides: set[_ClientSide] = set()
        self.delay_s = 0.0
        self.drops_to_target = False
        self.drops_from_target = False

    def buildProtocol(self, addr: Any) -> "_ClientSide":  # noqa: N802
        """Create the client side of a new connection."""
        return _ClientSide(self)

    def heal(self) -> None:
        """Stop all faults; connections that lost bytes stay unresponsive."""
        self.delay_s = 0.0
        self.drops_to_target = self.drops_from_target = False

    def reset_all(self) -> None:
        """Reset every connection."""
        for side in list(self._client_sides):
            side.transport.abortConnection()

    def connect_target(self, client_side: "_ClientSide") -> None:
        """Open the connection to the target for a new client side."""
        self._client_sides.add(client_side)
        endpoint = endpoints.TCP4ClientEndpoint(self._reactor, *self._target)
        factory: Any = protocol.Factory.forProtocol(
            lambda: _TargetSide(client_side)
        )
        factory.noisy = False
        endpoint.connect(factory).addErrback(lambda _: client_side.abort())

    def record_source(
        self, client_side: "_ClientSide", target_side: "_TargetSide"
    ) -> None:
        """Record the host that opened a connection to the target."""
        before = self._sources.get(client_side.transport.getPeer().port, "")
        port = target_side.transport.getHost().port
        self._sources[port] = self._source or before

    def remove(self, client_side: "_ClientSide") -> None:
        """Remove a closed connection."""
        self._client_sides.discard(client_side)

    def close_after_writes(self, client_side: "_ClientSide") -> None:
        """Close a connection after its delayed bytes have been written."""
        left_s = max(
            self.delay_s, client_side.next_write_at - self._reactor.seconds()
        )
        self._reactor.callLater(left_s, client_side.transport.loseConnection)

    def forward(
        self, side: "_Side | None", data: bytes, *, is_to_target: bool
    ) -> None:
        """Forward bytes after the delay, or drop them."""
        if self.drops_to_target if is_to_target else self.drops_from_target:
            if side is not None:
                side.has_dropped_bytes = True
            return
        if side is not None:
            # After a shorter delay bytes must not overtake earlier ones.
            now = self._reactor.seconds()
            side.next_write_at = max(now + self.delay_s, side.next_write_at)
            side.queue.append(data)
            self._reactor.callLater(side.next_write_at - now, side.write_next)


class _Side(protocol.Protocol):
    """One side of a connection; after dropped bytes it writes no more."""

    transport: Any

    def __init__(self) -> None:
        self.has_dropped_bytes = False
        self.next_write_at = 0.0
        self.queue: deque[bytes] = deque()

    def write_next(self) -> None:
        """Write the oldest chunk.

        Timers due together run in any order, so that none has a chunk of its
        own.
        """
        data = self.queue.popleft()
        if self.transport is not None and not self.has_dropped_bytes:
            self.transport.write(data)

    def abort(self) -> None:
        """Reset this side."""
        if self.transport is not None:
            self.transport.abortConnection()


class _ClientSide(_Side):
    """The connection that a client opened to the proxy."""

    def __init__(self, proxy: FaultProxy) -> None:
        super().__init__()
        self.proxy = proxy
        self.target_side: _TargetSide | None = None
        self._unsent: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Open the connection to the target."""
        self.proxy.connect_target(self)

    def target_connected(self, target_side: "_TargetSide") -> None:
        """Forward the bytes received before the target was connected."""
        self.target_side = target_side
        for data in self._unsent:
            self.proxy.forward(target_side, data, is_to_target=True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward bytes to the target."""
        if self.target_side is None:
            self._unsent.append(data)
        else:
            self.proxy.forward(self.target_side, data, is_to_target=True)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Reset the target side."""
        self.proxy.remove(self)
        if self.target_side is not None:
            self.target_side.abort()


class _TargetSide(_Side):
    """The connection from the proxy to the target."""

    def __init__(self, client_side: _ClientSide) -> None:
        super().__init__()
        self._client_side = client_side

    def connectionMade(self) -> None:  # noqa: N802
        """Attach this side to the client side."""
        self._client_side.proxy.record_source(self._client_side, self)
        self._client_side.target_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward bytes to the client."""
        self._client_side.proxy.forward(
            self._client_side, data, is_to_target=False
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the client side after its delayed bytes have been written."""
        client_side = self._client_side
        client_side.proxy.close_after_writes(client_side)
