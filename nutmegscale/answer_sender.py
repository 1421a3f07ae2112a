"""Sends answers to a caller no faster than the caller reads them."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

# Most bytes that the transport is given before it has sent them. What exceeds
# it waits here, so that its size is known and it isn't copied.
MAX_WRITTEN_BYTES = 256 << 10


class _SentWatch:
    """Pull producer that reports when all written data was sent.

    A transport asks it for data once when it is registered, and again when it
    has sent what was written.

    Args:
      on_sent: Called each time when that is so.
    """

    def __init__(self, on_sent: Callable[[], None]) -> None:
        self._on_sent = on_sent
        self._is_registered = False

    def resumeProducing(self) -> None:  # noqa: N802
        """Handle a call of the transport; see twisted's IPullProducer."""
        if self._is_registered:
            self._on_sent()
        self._is_registered = True

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the loss of the connection is handled apart."""


class AnswerSender:
    """Sends answers over one connection and knows what isn't sent yet.

    Args:
      clock: Twisted clock.
      on_sent: Called with the number of bytes that were sent since the last
        call.
    """

    def __init__(self, clock: Any, on_sent: Callable[[int], None]) -> None:
        self._clock = clock
        self._on_progress = on_sent
        self._transport: Any = None
        self._is_streaming = False
        self._is_watching = False
        self._is_blocked = False
        self._unblocked: defer.Deferred[None] | None = None
        self._when_sent: Callable[[], None] | None = None
        self._pending: deque[bytes] = deque()
        self._pending_bytes = 0
        # Bytes of the first pending part that were given to the transport.
        self._offset = 0
        self._written_bytes = 0

    @property
    def is_sending(self) -> bool:
        """Whether a part of a complete answer isn't sent yet."""
        return self._is_watching or bool(self._pending)

    @property
    def is_behind(self) -> bool:
        """Whether more is to be sent than the transport is given at once."""
        return self._pending_bytes > 0

    @property
    def is_blocked(self) -> bool:
        """Whether the caller doesn't read a response that is streamed."""
        return self._is_blocked

    @property
    def unsent_bytes(self) -> int:
        """Bytes that may not have been sent; an upper bound."""
        return self._pending_bytes + self._written_bytes

    def attach(self, transport: Any) -> None:
        """Set the transport of the connection."""
        self._transport = transport

    def send(self, data: bytes) -> None:
        """Send raw bytes, after those that wait."""
        if self._is_streaming:
            self._write(data)
            if not self._is_blocked:
                self._record_sent()
            return
        if data:
            self._pending.append(data)
            self._pending_bytes += len(data)
        if self._written_bytes < MAX_WRITTEN_BYTES:
            self._write_next()
        self._watch()

    def _write(self, data: bytes) -> None:
        self._written_bytes += len(data)
        self._transport.write(data)

    def _watch(self) -> None:
        if not self._is_watching:
            self._is_watching = True
            self._transport.registerProducer(_SentWatch(self._on_sent), False)

    def _stop_watching(self) -> None:
        if self._is_watching:
            self._is_watching = False
            self._transport.unregisterProducer()

    def _on_sent(self) -> None:
        """Handle that the transport has sent all that was written."""
        self._stop_watching()
        self._record_sent()
        if self._pending:
            self._write_next()
            self._watch()
            return
        action, self._when_sent = self._when_sent, None
        if action is not None:
            action()

    def _write_next(self) -> None:
        """Write as much of what waits as the transport is given at once."""
        while self._pending and self._written_bytes < MAX_WRITTEN_BYTES:
            first = self._pending[0]
            room = MAX_WRITTEN_BYTES - self._written_bytes
            end = self._offset + room
            part = first[self._offset : end]
            if end < len(first):
                self._offset = end
            else:
                self._pending.popleft()
                self._pending_bytes -= len(first)
                self._offset = 0
            self._write(part)

    def _record_sent(self) -> None:
        sent, self._written_bytes = self._written_bytes, 0
        self._on_progress(sent)

    def after_sent(self, action: Callable[[], None]) -> None:
        """Call a function once all that was written is sent."""
        if self._is_watching:
            self._when_sent = action
        else:
            action()

    def begin_stream(self) -> None:
        """Watch how fast the caller reads a response."""
        self._stop_watching()
        # Requests wait while a complete answer does, so little can be left.
        while self._pending:
            self._write(self._pending.popleft()[self._offset :])
            self._offset = 0
        self._pending_bytes = 0
        self._is_streaming = True
        self._transport.registerProducer(self, True)

    def end_stream(self) -> None:
        """Stop watching how fast the caller reads."""
        if self._is_streaming:
            self._is_streaming = False
            self._transport.unregisterProducer()
            self._wake()

    def drop(self) -> None:
        """Drop what waits, since the connection is closed at once."""
        self._when_sent = None
        self._pending.clear()
        self._pending_bytes = self._written_bytes = self._offset = 0

    def stop(self) -> None:
        """Send nothing more, since the connection is lost."""
        self._is_streaming = self._is_watching = False
        self._on_progress = lambda _: None
        self.drop()

    async def drained(self, timeout_s: float) -> None:
        """Wait until the caller reads on.

        Args:
          timeout_s: Longest wait, seconds; it then returns all the same.
        """
        if not self._is_blocked:
            return
        self._unblocked = defer.Deferred()
        self._unblocked.addTimeout(timeout_s, self._clock, lambda *_: None)
        await self._unblocked

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the caller doesn't read; see twisted's IPushProducer."""
        self._is_blocked = True
        self._on_progress(0)

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the caller reads on; see twisted's IPushProducer."""
        self._is_blocked = False
        self._record_sent()
        self._wake()

    def _wake(self) -> None:
        self._is_blocked = False
        waiter, self._unblocked = self._unblocked, None
        if waiter is not None and not waiter.called:
            waiter.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the loss of the connection is handled apart."""
