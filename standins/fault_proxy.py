"""Proxy on the loopback that harms the connections through it."""

from collections import deque
from typing import Any

from twisted.internet import endpoints
from twisted.internet import protocol


class FaultProxy(protocol.Factory):
    """Passes connections on to a target.

    Attributes:
      delay_s: Delay of each piece in both directions.
      drops_to_target: Whether nothing more goes to the target.
      drops_from_target: Whether nothing more comes from the target.
    """

    noisy = False

    def __init__(self, reactor: Any, ip: str, port: int) -> None:
        self._reactor = reactor
        self._target = (ip, port)
        self._client_sides: set[_ClientSide] = set()
        self.delay_s = 0.0
        self.drops_to_target = False
        self.drops_from_target = False

    def buildProtocol(self, addr: Any) -> "_ClientSide":  # noqa: N802
        """Make the near end of a new connection."""
        return _ClientSide(self)

    def heal(self) -> None:
        """Stop to harm; connections that fell silent stay so."""
        self.delay_s = 0.0
        self.drops_to_target = self.drops_from_target = False

    def reset_all(self) -> None:
        """Reset every connection."""
        for side in list(self._client_sides):
            side.transport.abortConnection()

    def connect_target(self, client_side: "_ClientSide") -> None:
        """Connect a new connection to the target."""
        self._client_sides.add(client_side)
        endpoint = endpoints.TCP4ClientEndpoint(self._reactor, *self._target)
        factory: Any = protocol.Factory.forProtocol(
            lambda: _TargetSide(client_side)
        )
        factory.noisy = False
        endpoint.connect(factory).addErrback(lambda _: client_side.abort())

    def remove(self, client_side: "_ClientSide") -> None:
        """Forget a connection."""
        self._client_sides.discard(client_side)

    def close_after_writes(self, client_side: "_ClientSide") -> None:
        """Close a connection once what is on its way has gone through."""
        left_s = max(
            self.delay_s, client_side.next_write_at - self._reactor.seconds()
        )
        self._reactor.callLater(left_s, client_side.transport.loseConnection)

    def forward(
        self, side: "_Side | None", data: bytes, *, is_to_target: bool
    ) -> None:
        """Pass bytes on, late or not at all."""
        if self.drops_to_target if is_to_target else self.drops_from_target:
            if side is not None:
                side.has_dropped_bytes = True
            return
        if side is not None:
            # Bytes stay in order when the delay gets shorter.
            now = self._reactor.seconds()
            side.next_write_at = max(now + self.delay_s, side.next_write_at)
            side.queue.append(data)
            self._reactor.callLater(side.next_write_at - now, side.write_next)


class _Side(protocol.Protocol):
    """One end of a connection; once it lost bytes it passes on no more."""

    transport: Any

    def __init__(self) -> None:
        self.has_dropped_bytes = False
        self.next_write_at = 0.0
        self.queue: deque[bytes] = deque()

    def write_next(self) -> None:
        """Write the oldest bytes; timers of one moment run in any order."""
        data = self.queue.popleft()
        if self.transport is not None and not self.has_dropped_bytes:
            self.transport.write(data)

    def abort(self) -> None:
        """Close this end."""
        if self.transport is not None:
            self.transport.abortConnection()


class _ClientSide(_Side):
    """The end of the side that connects."""

    def __init__(self, proxy: FaultProxy) -> None:
        super().__init__()
        self.proxy = proxy
        self.target_side: _TargetSide | None = None
        self._unsent: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        self.proxy.connect_target(self)

    def target_connected(self, target_side: "_TargetSide") -> None:
        """Pass on what came before the target was connected."""
        self.target_side = target_side
        for data in self._unsent:
            self.proxy.forward(target_side, data, is_to_target=True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes to the target."""
        if self.target_side is None:
            self._unsent.append(data)
        else:
            self.proxy.forward(self.target_side, data, is_to_target=True)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other end."""
        self.proxy.remove(self)
        if self.target_side is not None:
            self.target_side.abort()


class _TargetSide(_Side):
    """The end of the target."""

    def __init__(self, client_side: _ClientSide) -> None:
        super().__init__()
        self._client_side = client_side

    def connectionMade(self) -> None:  # noqa: N802
        """Join both ends."""
        self._client_side.target_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes back."""
        self._client_side.proxy.forward(
            self._client_side, data, is_to_target=False
        )

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other end once what was sent has gone through."""
        client_side = self._client_side
        client_side.proxy.close_after_writes(client_side)
