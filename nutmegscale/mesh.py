"""Calls and one-way messages between entry hosts, independent of transport."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Set
import inspect
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from twisted.internet import defer

from nutmegscale import envelope
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import timeline

CALL_TIMEOUT_S = 0.3
UNRESPONSIVE_BACKOFF_S = 0.5
# Time for which a call that timed out is remembered, to report how late its
# reply came, seconds.
LATE_REPLY_MEMORY_S = 10.0

_T = TypeVar("_T")
Handler = Callable[[str, Any], Any]


class Transport(Protocol):
    """Best-effort transport of sealed messages; losses aren't reported."""

    def send(self, host: str, address: str, data: bytes) -> None:
        """Send data to a host, or drop it if sending would block."""
        ...

    def reset(self, host: str) -> None:
        """Replace the connection to a host that may be unresponsive."""
        ...


class Counts(NamedTuple):
    """Counters of messages and bytes since the start.

    Attributes:
      sent: Messages sent.
      sent_bytes: Bytes sent.
      received: Messages received and accepted.
      received_bytes: Bytes of the accepted messages.
      rejected: Messages rejected as malformed, not authentic, misdirected or
        replayed.
      late: Replies received after their call had timed out.
      late_bytes: Bytes of these replies.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    rejected: int = 0
    late: int = 0
    late_bytes: int = 0


class Traffic(Protocol):
    """Records the messages between hosts by kind; see `RouterMetrics`."""

    def record_peer_message(
        self, kind: str, size: int, *, direction: str
    ) -> None:
        """Count a message of a kind that was sent, received or came late."""
        ...


class _NoTraffic:
    """`Traffic` that records nothing."""

    def record_peer_message(
        self, kind: str, size: int, *, direction: str
    ) -> None:
        """Do nothing."""


class _PendingCall(NamedTuple):
    host: str
    reply: defer.Deferred[Any]
    since: float


class Mesh:
    """Sends typed messages to peer hosts, with a timeout on every call.

    Args:
      clock: Twisted clock.
      transport: Transport of the sealed messages.
      sealer: Seals sent messages and opens received ones.
      event_timeline: Timeline with the Lamport clock of this host.
      address_of: Returns the address of a host, or None if it is unknown;
        messages to such a host are dropped.
      host: Name of this host; calls to it run its own handlers.
      traffic: Records the messages by kind.
    """

    def __init__(
        self,
        clock: Any,
        transport: Transport,
        sealer: envelope.Sealer,
        event_timeline: timeline.Timeline,
        address_of: Callable[[str], str | None],
        *,
        host: str = "",
        traffic: Traffic | None = None,
    ) -> None:
        self._host = host
        self._traffic = traffic or _NoTraffic()
        self._clock = clock
        self._transport = transport
        self._sealer = sealer
        self._timeline = event_timeline
        self._address_of = address_of
        self._handlers: dict[type, Handler] = {}
        self._pending_calls: dict[int, _PendingCall] = {}
        # Calls that timed out, oldest first.
        self._overdue_calls: dict[int, _PendingCall] = {}
        self._last_received: dict[str, float] = {}
        self._unresponsive_until: dict[str, float] = {}
        self._silent: set[str] = set()
        self._silence_version = 0
        self._on_return: Callable[[str], None] = lambda _: None
        self._last_call_number = 0
        self._started = clock.seconds()
        self._counts = Counts()

    @property
    def counts(self) -> Counts:
        """Counters of messages and bytes since the start."""
        return self._counts

    @property
    def silent(self) -> Set[str]:
        """Hosts that didn't answer and haven't been heard of since."""
        return self._silent

    @property
    def silence_version(self) -> int:
        """Number that increases with each change of the silent hosts."""
        return self._silence_version

    def watch_returns(self, on_return: Callable[[str], None]) -> None:
        """Set a function to call with a silent host that is heard again."""
        self._on_return = on_return

    def last_heard(self, host: str) -> float:
        """Return the time of the last message of a host, 0 if there is none."""
        return self._last_received.get(host, 0.0)

    def mark_silent(self, host: str) -> None:
        """Record that a host didn't answer."""
        if host not in self._silent:
            self._silent.add(host)
            self._silence_version += 1

    def forget_unknown(self) -> None:
        """Forget the silent hosts whose address isn't known any more."""
        unknown = {h for h in self._silent if self._address_of(h) is None}
        if unknown:
            self._silent -= unknown
            self._silence_version += 1

    @property
    def time_since_last_message_s(self) -> float:
        """Time since the last message of any peer, or the start, seconds."""
        last = max(self._last_received.values(), default=self._started)
        return float(self._clock.seconds() - last)

    def on(self, kind: type, handler: Handler) -> None:
        """Set the handler of a message type.

        The handler takes the sender's name and the message. For a call it
        returns the reply or an awaitable of the reply.
        """
        self._handlers[kind] = handler

    def send(self, host: str, message: Any) -> None:
        """Send a one-way message, which may be lost."""
        self._send(host, message, 0, is_reply=False)

    def reset(self, host: str) -> None:
        """Replace the connection to a host that may be unresponsive."""
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

        After a call to a host timed out without any message from that host,
        further calls to it fail at once for a short time, or until it sends a
        message.

        Args:
          host: Host to call; a call to this host runs its own handler.
          message: Request to send.
          kind: Expected type of the reply.
          timeout_s: Longest wait, seconds.

        Returns:
          The reply.

        Raises:
          errors.PeerError: The host is considered unresponsive, sent no reply
            in time or one of another type. Unless it is considered
            unresponsive, the request may have taken effect.
        """
        if host == self._host:
            return await self._call_self(message, kind)
        now = self._clock.seconds()
        if now < self._unresponsive_until.get(host, 0.0):
            raise errors.PeerError(
                f"host {host} didn't answer a recent call; not called again yet"
            )
        self._last_call_number += 1
        call = self._last_call_number
        reply: defer.Deferred[Any] = defer.Deferred()
        self._pending_calls[call] = _PendingCall(host, reply, now)
        self._send(host, message, call, is_reply=False)
        reply.addTimeout(timeout_s, self._clock)
        try:
            answer = await reply
        except (defer.TimeoutError, TimeoutError) as exc:
            self._remember_overdue(call, _PendingCall(host, reply, now))
            self.mark_silent(host)
            if self._last_received.get(host, 0.0) < now:
                self._transport.reset(host)
                self._unresponsive_until[host] = (
                    now + timeout_s + UNRESPONSIVE_BACKOFF_S
                )
            raise errors.PeerError(
                f"host {host} didn't answer in {timeout_s:.2f} s"
            ) from exc
        finally:
            self._pending_calls.pop(call, None)
        if not isinstance(answer, kind):
            raise errors.PeerError(
                f"host {host} replied with {type(answer).__name__}, "
                f"expected {kind.__name__}"
            )
        return answer

    async def _call_self(self, message: Any, kind: type[_T]) -> _T:
        result = self._handlers[type(message)](self._host, message)
        answer = await result if inspect.isawaitable(result) else result
        assert isinstance(answer, kind)
        return answer

    def receive(self, data: bytes) -> None:
        """Open a sealed message from the transport and dispatch it.

        Invalid messages are counted and dropped.
        """
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
        self._traffic.record_peer_message(
            type(message).__name__, len(data), direction="received"
        )
        self._timeline.receive_stamp(header.lamport)
        self._last_received[header.sender] = self._clock.seconds()
        self._unresponsive_until.pop(header.sender, None)
        if header.sender in self._silent:
            self._silent.discard(header.sender)
            self._silence_version += 1
            self._on_return(header.sender)
        if header.is_reply:
            self._receive_reply(header, message, len(data))
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            result = handler(header.sender, message)
        except Exception as exc:
            # A message that a handler can't process must not end the receiver.
            logs.get().error(
                "message_failed",
                kind=type(message).__name__,
                peer=header.sender,
                error=type(exc).__name__,
                message=str(exc),
            )
            return
        if inspect.isawaitable(result):
            defer.ensureDeferred(self._send_reply_when_ready(header, result))
        elif header.call and result is not None:
            self._send(header.sender, result, header.call, is_reply=True)

    def _receive_reply(
        self, header: envelope.Header, message: Any, size: int
    ) -> None:
        """Pass a reply to the call that waits for it."""
        pending = self._pending_calls.get(header.call)
        if pending is not None and pending.host == header.sender:
            del self._pending_calls[header.call]
            pending.reply.callback(message)
        else:
            self._record_late_reply(header, message, size)

    def _remember_overdue(self, number: int, call: _PendingCall) -> None:
        """Remember a call that timed out, and forget the old ones."""
        forgotten_before = self._clock.seconds() - LATE_REPLY_MEMORY_S
        for known, overdue in list(self._overdue_calls.items()):
            if overdue.since >= forgotten_before:
                break
            del self._overdue_calls[known]
        self._overdue_calls[number] = call

    def _record_late_reply(
        self, header: envelope.Header, message: Any, size: int
    ) -> None:
        """Report a reply whose call has timed out."""
        overdue = self._overdue_calls.pop(header.call, None)
        if overdue is None or overdue.host != header.sender:
            return
        kind = type(message).__name__
        self._counts = self._counts._replace(
            late=self._counts.late + 1,
            late_bytes=self._counts.late_bytes + size,
        )
        self._traffic.record_peer_message(kind, size, direction="late")
        logs.get().info(
            "reply_too_late",
            kind=kind,
            peer=header.sender,
            bytes=size,
            took_s=round(self._clock.seconds() - overdue.since, 3),
        )

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
        self._traffic.record_peer_message(
            type(message).__name__, len(data), direction="sent"
        )
        self._transport.send(host, address, data)
