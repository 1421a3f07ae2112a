"""One request to a server, and its answer as it comes in."""

from collections import deque
from typing import Any
from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import http_message

# Bytes of an answer that may wait for a slow caller before reading pauses.
MAX_BUFFERED_BYTES = 256 << 10


class Connection(Protocol):
    """What a call needs of the connection that it is on."""

    def abort(self) -> None:
        """Close at once."""
        ...

    def pause(self) -> None:
        """Stop to read."""
        ...

    def resume(self) -> None:
        """Read on."""
        ...


class Request(NamedTuple):
    """A request for a server.

    Attributes:
      head: Its head, with all headers but the length.
      body: Its whole body.
      request_id: Value that the server repeats in its answer, or b"".
    """

    head: http_message.RequestHead
    body: bytes
    request_id: bytes


class Call:
    """One request on one connection, and its answer as it comes in."""

    def __init__(self, connection: Connection, clock: Any) -> None:
        self._connection = connection
        self._clock = clock
        self._head: http_message.ResponseHead | None = None
        self._chunks: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_complete = False
        self._failure: errors.TransportError | None = None
        self._waiter: defer.Deferred[None] | None = None

    async def head(self, timeout_s: float) -> http_message.ResponseHead:
        """Wait for the head of the answer.

        Raises:
          errors.ResponseTimeoutError: None came in time.
          errors.TransportError: The connection broke or sent no answer.
        """
        deadline = self._clock.seconds() + timeout_s
        while self._head is None:
            if self._failure is not None:
                raise self._failure
            await self._wait(deadline)
        return self._head

    async def chunk(self, timeout_s: float) -> bytes:
        """Wait for the next part of the body; empty at its end.

        Raises:
          errors.ResponseTimeoutError: None came in time.
          errors.TransportError: The answer broke off.
        """
        deadline = self._clock.seconds() + timeout_s
        while not self._chunks:
            if self._is_complete:
                return b""
            if self._failure is not None:
                raise self._failure
            await self._wait(deadline)
        data = b"".join(self._chunks)
        self._chunks.clear()
        self._buffered_bytes = 0
        self._connection.resume()
        return data

    async def body(self, timeout_s: float, max_bytes: int) -> bytes:
        """Wait for the whole body.

        Raises:
          errors.ResponseTimeoutError: It wasn't whole in time.
          errors.TransportError: The answer broke off, or is too long.
        """
        deadline = self._clock.seconds() + timeout_s
        parts: list[bytes] = []
        size = 0
        while True:
            left_s = max(0.0, deadline - self._clock.seconds())
            data = await self.chunk(left_s)
            if not data:
                return b"".join(parts)
            size += len(data)
            if size > max_bytes:
                raise errors.TransportError(f"answer above {max_bytes} bytes")
            parts.append(data)

    def abort(self) -> None:
        """Close the connection, unless the answer is whole."""
        if not self._is_complete:
            self._connection.abort()

    async def _wait(self, deadline: float) -> None:
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiter = waiter
        left_s = deadline - self._clock.seconds()
        timer = self._clock.callLater(max(0.0, left_s), waiter.cancel)
        try:
            await waiter
        except defer.CancelledError as exc:
            if timer.active():
                raise
            raise errors.ResponseTimeoutError("no answer in time") from exc
        finally:
            self._waiter = None
            if timer.active():
                timer.cancel()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(None)

    def got_head(self, head: http_message.ResponseHead) -> None:
        """Take in the head of the answer."""
        self._head = head
        self._wake()

    def got_data(self, data: bytes) -> None:
        """Take in a part of the body."""
        self._chunks.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            self._connection.pause()
        self._wake()

    def got_end(self) -> None:
        """Note that the answer is whole."""
        self._is_complete = True
        self._wake()

    def failed(self, failure: errors.TransportError) -> None:
        """Note that no more of the answer will come."""
        if not self._is_complete and self._failure is None:
            self._failure = failure
            self._wake()
