"""In-memory TCP connections on a virtual clock, with connection faults."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from twisted.internet import defer
from twisted.internet import error
from twisted.python import failure

DELAY_S = 0.001
CONNECT_TIMEOUT_S = 0.25
# Time after which the sender of bytes that are lost resets its connection.
USER_TIMEOUT_S = 3.0


class MemoryTransport:
    """One end of a connection.

    Attributes:
      address: Listening address of the connection, the same at both ends.
      source: Name of the host that opened the connection, or "".
      peer: The other end.
      is_closed: Whether this end is closed.
      is_paused: Whether incoming bytes are buffered.
    """

    def __init__(
        self, net: "MemoryNet", owner: Any, address: str, source: str = ""
    ) -> None:
        self._net = net
        self._owner = owner
        self.address = address
        self.source = source
        self.peer: MemoryTransport | None = None
        self.is_closed = False
        self.is_paused = False
        self._unread: list[bytes] = []
        self._producer: Any = None
        self._is_blocked = False

    def write(self, data: bytes) -> None:
        """Send bytes to the other end."""
        if data and not self.is_closed:
            self._deliver(lambda end: end.receive(data))

    def receive(self, data: bytes) -> None:
        """Deliver bytes to the owner; buffer them while reading is paused."""
        if self.is_paused:
            self._unread.append(data)
        elif not self.is_closed:
            self._owner.dataReceived(data)

    def _deliver(self, action: Callable[["MemoryTransport"], None]) -> None:
        def _arrive() -> None:
            peer = self.peer
            if peer is None or self.address in self._net.silent:
                return
            if self._net.loses_bytes(self.source, self.address):
                self._net.clock.callLater(USER_TIMEOUT_S, self._give_up)
                return
            action(peer)

        self._net.clock.callLater(DELAY_S, _arrive)

    def _give_up(self) -> None:
        """Reset this end, whose bytes were never acknowledged."""
        self.notify_closed(error.ConnectionLost())

    def loseConnection(self) -> None:  # noqa: N802
        """Close both ends after the bytes sent so far."""
        self._close(error.ConnectionDone())

    def abortConnection(self) -> None:  # noqa: N802
        """Reset both ends."""
        self._close(error.ConnectionLost())

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Signal the end of the stream to the other end."""
        self._deliver(lambda end: end.notify_closed(error.ConnectionDone()))

    def _close(self, reason: Exception) -> None:
        if not self.is_closed:
            self._deliver(lambda end: end.notify_closed(reason))
            self._net.clock.callLater(
                0, lambda: self.notify_closed(error.ConnectionDone())
            )

    def notify_closed(self, reason: Exception) -> None:
        """Notify the owner that the connection is closed."""
        if not self.is_closed:
            self.is_closed = True
            self._owner.connectionLost(failure.Failure(reason))

    def registerProducer(  # noqa: N802
        self, producer: Any, streaming: bool
    ) -> None:
        """Set the producer; ask one that isn't streaming as Twisted does."""
        self._producer = producer
        if not streaming:
            producer.resumeProducing()
            self._net.clock.callLater(0, self._ask_producer, producer)

    def _ask_producer(self, producer: Any) -> None:
        """Ask a producer for more, since all written data was sent."""
        is_asked = self._producer is producer and not self.is_closed
        if is_asked and not self._is_blocked:
            producer.resumeProducing()
            # It may have written another part.
            self._net.clock.callLater(0, self._ask_producer, producer)

    def unregisterProducer(self) -> None:  # noqa: N802
        """Remove the producer."""
        self._producer = None

    def block_writes(self) -> None:
        """Keep written data, and ask a streaming producer to pause."""
        self._is_blocked = True
        if hasattr(self._producer, "pauseProducing"):
            self._producer.pauseProducing()

    def unblock_writes(self) -> None:
        """Send what was written, and ask the producer to resume."""
        self._is_blocked = False
        if self._producer is not None:
            self._producer.resumeProducing()

    def pauseProducing(self) -> None:  # noqa: N802
        """Buffer incoming bytes."""
        self.is_paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Deliver the buffered bytes."""
        self.is_paused = False
        unread, self._unread = self._unread, []
        for data in unread:
            self.receive(data)


class MemoryNet:
    """Listening addresses and the connections to them.

    Attributes:
      silent: Unresponsive addresses: attempts to connect time out, and bytes
        on open connections are lost.
      hanging: Addresses where only attempts to connect time out.
      cuts: How each host is cut off from some addresses: their names, and
        "hang" (bytes are lost, attempts to connect time out), "reset" (open
        connections were reset, further ones are refused) or "refuse" (open
        connections live on, further ones are refused).
      connect_attempts: Addresses of all attempts to connect, in order.
    """

    def __init__(self, clock: Any) -> None:
        self.clock = clock
        self.silent: set[str] = set()
        self.hanging: set[str] = set()
        self.cuts: dict[str, tuple[frozenset[str], str]] = {}
        self._open: list[MemoryTransport] = []
        self.connect_attempts: list[str] = []
        self._listeners: dict[str, Any] = {}

    def cut(self, source: str, addresses: Iterable[str], how: str) -> None:
        """Cut a host off from some addresses; see `cuts`."""
        self.cuts[source] = frozenset(addresses), how
        if how == "reset":
            for end in self._open:
                if self._is_cut(end.source, end.address):
                    end.notify_closed(error.ConnectionLost())

    def heal(self, source: str) -> None:
        """End the cut of a host."""
        self.cuts.pop(source, None)

    def _is_cut(self, source: str, address: str) -> bool:
        return address in self.cuts.get(source, ((), ""))[0]

    def loses_bytes(self, source: str, address: str) -> bool:
        """Whether bytes on a connection of a host are lost."""
        return self._is_cut(source, address) and self.cuts[source][1] == "hang"

    def listen(self, address: str, factory: Any) -> None:
        """Accept connections at an address."""
        self._listeners[address] = factory

    def close(self, address: str) -> Any:
        """Stop accepting connections at an address; return its factory."""
        return self._listeners.pop(address, None)

    def connect(
        self, address: str, factory: Any, source: str = ""
    ) -> "defer.Deferred[Any]":
        """Connect to an address.

        Args:
          address: The listening address.
          factory: Factory of the client protocol.
          source: Name of the host that connects, or "".

        Returns:
          A Deferred of the client protocol. It fails after `DELAY_S` if
          nothing listens, after `CONNECT_TIMEOUT_S` if the address is
          unresponsive.
        """
        connected: defer.Deferred[Any] = defer.Deferred(
            lambda cancelled: cancelled.errback(
                error.ConnectingCancelledError(address)
            )
        )
        self.connect_attempts.append(address)

        def _fail(reason: Exception) -> None:
            if not connected.called:
                connected.errback(reason)

        def _refuse() -> None:
            _fail(error.ConnectionRefusedError())

        is_hanging = address in self.silent | self.hanging
        if is_hanging or self.loses_bytes(source, address):
            self.clock.callLater(
                CONNECT_TIMEOUT_S, lambda: _fail(error.TimeoutError())
            )
        elif address not in self._listeners or self._is_cut(source, address):
            self.clock.callLater(DELAY_S, _refuse)
        else:
            self.clock.callLater(
                DELAY_S,
                lambda: self._accept(address, factory, connected, source),
            )
        return connected

    def _accept(
        self, address: str, factory: Any, connected: Any, source: str
    ) -> None:
        if connected.called:
            return
        listener = self._listeners.get(address)
        if listener is None:
            connected.errback(error.ConnectionRefusedError())
            return
        client: Any = factory.buildProtocol(None)
        server: Any = listener.buildProtocol(None)
        ends = [
            MemoryTransport(self, client, address, source),
            MemoryTransport(self, server, address, source),
        ]
        ends[0].peer, ends[1].peer = ends[1], ends[0]
        self._open = [end for end in self._open if not end.is_closed] + ends
        server.makeConnection(ends[1])
        client.makeConnection(ends[0])
        connected.callback(client)
