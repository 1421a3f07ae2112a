"""Proxy on the loopback that harms the connections through it."""

from collections import deque
from typing import Any

from twisted.internet import endpoints
from twisted.internet import protocol


class FaultProxy(protocol.Factory):
    """Passes connections on to a target.

    Attributes:
      delay_s: Delay of each piece in both directions.
      is_silent_in: Whether nothing more goes to the target.
      is_silent_out: Whether nothing more comes from the target.
    """

    noisy = False

    def __init__(self, reactor: Any, ip: str, port: int) -> None:
        self._reactor = reactor
        self._target = (ip, port)
        self._ends: set[_Near] = set()
        self.delay_s = 0.0
        self.is_silent_in = False
        self.is_silent_out = False

    def buildProtocol(self, addr: Any) -> "_Near":  # noqa: N802
        """Make the near end of a new connection."""
        return _Near(self)

    def heal(self) -> None:
        """Stop to harm; connections that fell silent stay so."""
        self.delay_s = 0.0
        self.is_silent_in = self.is_silent_out = False

    def reset_all(self) -> None:
        """Reset every connection."""
        for end in list(self._ends):
            end.transport.abortConnection()

    def opened(self, near: "_Near") -> None:
        """Connect a new connection to the target."""
        self._ends.add(near)
        endpoint = endpoints.TCP4ClientEndpoint(self._reactor, *self._target)
        factory: Any = protocol.Factory.forProtocol(lambda: _Far(near))
        factory.noisy = False
        endpoint.connect(factory).addErrback(lambda _: near.drop())

    def closed(self, near: "_Near") -> None:
        """Forget a connection."""
        self._ends.discard(near)

    def close_later(self, near: "_Near") -> None:
        """Close a connection once what is on its way has gone through."""
        left_s = max(self.delay_s, near.next_at - self._reactor.seconds())
        self._reactor.callLater(left_s, near.transport.loseConnection)

    def carry(self, end: "_End | None", data: bytes, *, inward: bool) -> None:
        """Pass bytes on, late or not at all."""
        if self.is_silent_in if inward else self.is_silent_out:
            if end is not None:
                end.is_lost = True
            return
        if end is not None:
            # Bytes stay in order when the delay gets shorter.
            now = self._reactor.seconds()
            end.next_at = max(now + self.delay_s, end.next_at)
            end.queue.append(data)
            self._reactor.callLater(end.next_at - now, end.write_next)


class _End(protocol.Protocol):
    """One end of a connection; once it lost bytes it passes on no more."""

    transport: Any

    def __init__(self) -> None:
        self.is_lost = False
        self.next_at = 0.0
        self.queue: deque[bytes] = deque()

    def write_next(self) -> None:
        """Write the oldest bytes; timers of one moment run in any order."""
        data = self.queue.popleft()
        if self.transport is not None and not self.is_lost:
            self.transport.write(data)

    def drop(self) -> None:
        """Close this end."""
        if self.transport is not None:
            self.transport.abortConnection()


class _Near(_End):
    """The end of the side that connects."""

    def __init__(self, proxy: FaultProxy) -> None:
        super().__init__()
        self.proxy = proxy
        self.far: _Far | None = None
        self._early: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        self.proxy.opened(self)

    def joined(self, far: "_Far") -> None:
        """Pass on what came before the target was connected."""
        self.far = far
        for data in self._early:
            self.proxy.carry(far, data, inward=True)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes to the target."""
        if self.far is None:
            self._early.append(data)
        else:
            self.proxy.carry(self.far, data, inward=True)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other end."""
        self.proxy.closed(self)
        if self.far is not None:
            self.far.drop()


class _Far(_End):
    """The end of the target."""

    def __init__(self, near: _Near) -> None:
        super().__init__()
        self._near = near

    def connectionMade(self) -> None:  # noqa: N802
        """Join both ends."""
        self._near.joined(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes back."""
        self._near.proxy.carry(self._near, data, inward=False)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Close the other end once what was sent has gone through."""
        near = self._near
        near.proxy.close_later(near)
