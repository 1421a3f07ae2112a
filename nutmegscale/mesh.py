"""Calls and one-way messages between entry hosts, over any transport."""

from collections.abc import Awaitable
from collections.abc import Callable
import inspect
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from twisted.internet import defer

from nutmegscale import envelope
from nutmegscale import errors
from nutmegscale import timeline

CALL_TIMEOUT_S = 0.3
UNRESPONSIVE_BACKOFF_S = 0.5

_T = TypeVar("_T")
Handler = Callable[[str, Any], Any]


class Transport(Protocol):
    """Carrier of sealed messages; it may lose them and says nothing."""

    def send(self, host: str, address: str, data: bytes) -> None:
        """Send to a host, or drop when that can't be done at once."""
        ...

    def reset(self, host: str) -> None:
        """Replace the connection to a host, which may have gone silent."""
        ...


class Counts(NamedTuple):
    """Messages and bytes since the start."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0


class _PendingCall(NamedTuple):
    host: str
    reply: defer.Deferred[Any]
    since: float


class Mesh:
    """Typed messages to peer hosts, with a timeout on every call."""

    def __init__(
        self,
        clock: Any,
        transport: Transport,
        sealer: envelope.Sealer,
        event_timeline: timeline.Timeline,
        address_of: Callable[[str], str | None],
        *,
        host: str = "",
    ) -> None:
        self._host = host
        self._clock = clock
        self._transport = transport
        self._sealer = sealer
        self._timeline = event_timeline
        self._address_of = address_of
        self._handlers: dict[type, Handler] = {}
        self._pending_calls: dict[int, _PendingCall] = {}
        self._last_received: dict[str, float] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._last_call_number = 0
        self._started = clock.seconds()
        self._counts = Counts()

    @property
    def counts(self) -> Counts:
        """Messages and bytes since the start."""
        return self._counts

    @property
    def time_since_last_message_s(self) -> float:
        """Time since anything was heard of any peer, seconds."""
        last = max(self._last_received.values(), default=self._started)
        return float(self._clock.seconds() - last)

    def on(self, kind: type, handler: Handler) -> None:
        """Set the handler of a message type.

        The handler takes the sender's name and the message. For a call it
        returns the reply, or an awaitable of it.
        """
        self._handlers[kind] = handler

    def send(self, host: str, message: Any) -> None:
        """Send a one-way message; it may be lost."""
        self._send(host, message, 0, is_reply=False)

    def reset(self, host: str) -> None:
        """Replace the connection to a host, which may have gone silent."""
        self._transport.reset(host)

    async def call(
        self,
        host: str,
        message: Any,
        kind: type[_T],
        *,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _T:
        """Send a message and wait for its reply.

        A host that has just been silent for a whole call isn't asked again
        for a short while, unless something is heard of it.

        Args:
          host: Receiver.
          message: The question.
          kind: Expected type of the reply.
          timeout_s: Longest wait in seconds.

        Returns:
          The reply.

        Raises:
          errors.PeerError: No reply came in time; the question may have taken
            effect.
        """
        if host == self._host:
            return await self._call_self(message, kind)
        now = self._clock.seconds()
        if now < self._unresponsive_until.get(host, 0.0):
            raise errors.PeerError(f"{host} has just given no answer")
        self._last_call_number += 1
        call = self._last_call_number
        reply: defer.Deferred[Any] = defer.Deferred()
        self._pending_calls[call] = _PendingCall(host, reply, now)
        self._send(host, message, call, is_reply=False)
        reply.addTimeout(timeout_s, self._clock)
        try:
            answer = await reply
        except (defer.TimeoutError, TimeoutError) as exc:
            if self._last_received.get(host, 0.0) < now:
                self._transport.reset(host)
                self._unresponsive_until[host] = (
                    now + timeout_s + UNRESPONSIVE_BACKOFF_S
                )
            raise errors.PeerError(f"{host} gave no answer") from exc
        finally:
            self._pending_calls.pop(call, None)
        if not isinstance(answer, kind):
            raise errors.PeerError(f"{host} answered {type(answer).__name__}")
        return answer

    async def _call_self(self, message: Any, kind: type[_T]) -> _T:
        result = self._handlers[type(message)](self._host, message)
        answer = await result if inspect.isawaitable(result) else result
        assert isinstance(answer, kind)
        return answer

    def receive(self, data: bytes) -> None:
        """Take in a sealed message from the transport."""
        try:
            header, message = self._sealer.open(data)
        except envelope.EnvelopeError:
            self._counts = self._counts._replace(
                rejected=self._counts.rejected + 1
            )
            return
        self._counts = self._counts._replace(
            received=self._counts.received + 1,
            received_bytes=self._counts.received_bytes + len(data),
        )
        self._timeline.receive_stamp(header.lamport)
        self._last_received[header.sender] = self._clock.seconds()
        self._unresponsive_until.pop(header.sender, None)
        if header.is_reply:
            waiting = self._pending_calls.get(header.call)
            if waiting is not None and waiting.host == header.sender:
                del self._pending_calls[header.call]
                waiting.reply.callback(message)
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        result = handler(header.sender, message)
        if inspect.isawaitable(result):
            defer.ensureDeferred(self._send_reply_when_ready(header, result))
        elif header.call and result is not None:
            self._send(header.sender, result, header.call, is_reply=True)

    async def _send_reply_when_ready(
        self, header: envelope.Header, result: Awaitable[Any]
    ) -> None:
        try:
            reply = await result
        except errors.NutmegscaleError:
            return
        if header.call and reply is not None:
            self._send(header.sender, reply, header.call, is_reply=True)

    def _send(
        self, host: str, message: Any, call: int, *, is_reply: bool
    ) -> None:
        address = self._address_of(host)
        if address is None:
            return
        lamport = self._timeline.send_stamp()
        data = self._sealer.seal(
            host, message, lamport=lamport, call=call, is_reply=is_reply
        )
        self._counts = self._counts._replace(
            sent=self._counts.sent + 1,
            sent_bytes=self._counts.sent_bytes + len(data),
        )
        self._transport.send(host, address, data)
