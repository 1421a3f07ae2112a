"""One request to a server and its response as it is received."""

from collections.abc import Callable
import copy
import math
from typing import Any
from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import memory_budget

# Reading from the server pauses while more of a response than this is buffered
# for a slow caller; the second limit applies while all calls together are
# beyond theirs.
MAX_BUFFERED_BYTES = 256 << 10
MAX_BUFFERED_WHEN_FULL_BYTES = 16 << 10
# While the bodies of all calls are beyond their limit, the calls whose body is
# longer than this fail, bytes.
MAX_BODY_WHEN_FULL_BYTES = 256 << 10
# While the heads of all calls are beyond their limit, the calls whose head is
# longer than this fail, bytes.
MAX_HEAD_WHEN_FULL_BYTES = 8 << 10


class Connection(Protocol):
    """Connection that carries a call."""

    def abort(self) -> None:
        """Close the connection at once."""
        ...

    def pause(self) -> None:
        """Stop reading."""
        ...

    def resume(self) -> None:
        """Resume reading."""
        ...


class Request(NamedTuple):
    """A request to a server.

    Attributes:
      head: Head with all headers except Content-Length.
      body: Complete body.
      request_id: Value that the server repeats in its response, or b"".
      is_trusted: Whether the server never repeats a response, so that requests
        without an id may share a connection.
    """

    head: http_message.RequestHead
    body: bytes
    request_id: bytes
    is_trusted: bool = False


class ResponseMemory:
    """Counts what all calls of a pool keep of their responses.

    Attributes:
      collected_bytes: Bytes of the bodies that are collected.
      buffered_bytes: Bytes that were received and not taken yet.
      head_bytes: Bytes that were received and belong to no body.
    """

    def __init__(
        self, limits: memory_budget.MemoryLimits | None = None
    ) -> None:
        self._limits = limits or memory_budget.MemoryLimits()
        self.collected_bytes = 0
        self.buffered_bytes = 0
        self.head_bytes = 0

    def allows_head(self, size: int) -> bool:
        """Whether a head of a size may go on growing."""
        is_full = self.head_bytes > self._limits.buffered_bytes
        return not is_full or size <= MAX_HEAD_WHEN_FULL_BYTES

    def allows(self, size: int) -> bool:
        """Whether a body of a size may go on growing."""
        is_full = self.collected_bytes > self._limits.collected_bytes
        return not is_full or size <= MAX_BODY_WHEN_FULL_BYTES

    def must_pause(self, size: int) -> bool:
        """Whether reading stops for a call that has buffered a size."""
        is_full = self.buffered_bytes > self._limits.buffered_bytes
        limit = MAX_BUFFERED_WHEN_FULL_BYTES if is_full else MAX_BUFFERED_BYTES
        return size > limit


class Call:
    """One request on one connection and its response as it is received."""

    def __init__(
        self,
        connection: Connection,
        clock: Any,
        memory: ResponseMemory,
        *,
        on_head: Callable[[http_message.ResponseHead], None] = lambda _: None,
    ) -> None:
        self._connection = connection
        self._memory = memory
        self._clock = clock
        self._on_head = on_head
        self._head: http_message.ResponseHead | None = None
        # One buffer: a server may send parts of a byte or two.
        self._buffer = bytearray()
        self._is_dropped = False
        self._is_complete = False
        self._failure: errors.TransportError | None = None
        self._waiter: defer.Deferred[None] | None = None

    async def head(self, timeout_s: float) -> http_message.ResponseHead:
        """Wait for the head of the response.

        Raises:
          errors.ResponseTimeoutError: No head arrived in time.
          errors.TransportError: The connection broke or the response is
            malformed.
        """
        deadline = self._clock.seconds() + timeout_s
        while self._head is None:
            if self._failure is not None:
                # A copy: the traceback of the stored one would reference the
                # request.
                raise copy.copy(self._failure)
            await self._wait(deadline)
        return self._head

    async def chunk(self, timeout_s: float) -> bytes:
        """Wait for the next part of the body; empty at the end of the body.

        Raises:
          errors.ResponseTimeoutError: No data arrived in time.
          errors.TransportError: The response broke off.
        """
        deadline = self._clock.seconds() + timeout_s
        while not self._buffer:
            if self._is_complete:
                return b""
            if self._failure is not None:
                # See `head`.
                raise copy.copy(self._failure)
            await self._wait(deadline)
        data = self._take()
        self._connection.resume()
        return data

    async def body(
        self,
        timeout_s: float,
        max_bytes: int,
        *,
        idle_timeout_s: float = math.inf,
    ) -> bytes:
        """Wait for the complete body.

        Args:
          timeout_s: Longest wait for all of it, seconds.
          max_bytes: Longest body.
          idle_timeout_s: Longest wait for its next part, seconds.

        Raises:
          errors.ResponseTimeoutError: The body or a part wasn't there in time.
          errors.TransportError: The response broke off or is too long.
        """
        began_at = self._clock.seconds()
        collected = bytearray()
        size = 0
        try:
            while True:
                left_s = began_at + timeout_s - self._clock.seconds()
                wait_s = min(max(0.0, left_s), idle_timeout_s)
                data = await self._body_part(wait_s, began_at, size)
                if not data:
                    return bytes(collected)
                size += len(data)
                self._memory.collected_bytes += len(data)
                self._check_size(size, max_bytes)
                collected += data
        finally:
            self._memory.collected_bytes -= size

    async def _body_part(
        self, timeout_s: float, began_at: float, size: int
    ) -> bytes:
        """Wait for the next part; name in a timeout what arrived before."""
        try:
            return await self.chunk(timeout_s)
        except errors.ResponseTimeoutError as exc:
            if self._failure is not None:
                raise
            waited_s = self._clock.seconds() - began_at
            raise errors.ResponseTimeoutError(
                f"{size} bytes of the body arrived in {waited_s:.2f} s"
            ) from exc

    def _check_size(self, size: int, max_bytes: int) -> None:
        """Check the size of a body so far.

        Raises:
          errors.TransportError: It is too long, by itself or while the bodies
            of all calls are beyond their limit.
        """
        if size > max_bytes:
            raise errors.TransportError(
                f"response body exceeds {max_bytes} bytes"
            )
        if not self._memory.allows(size):
            raise errors.TransportError(
                f"response body of {size} bytes or more, and "
                f"{self._memory.collected_bytes} bytes in all calls"
            )

    def _take(self) -> bytes:
        """Return what is buffered, and keep nothing."""
        data = bytes(self._buffer)
        self._buffer = bytearray()
        self._memory.buffered_bytes -= len(data)
        return data

    def abort(self) -> None:
        """Drop what is left of the response.

        The connection is closed, unless the response is complete.
        """
        self._is_dropped = True
        self._take()
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
            raise errors.ResponseTimeoutError(
                "the server sent no data in time"
            ) from exc
        finally:
            self._waiter = None
            if timer.active():
                timer.cancel()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None:
            waiter.callback(None)

    def got_head(self, head: http_message.ResponseHead) -> None:
        """Handle the head of the response."""
        self._head = head
        self._on_head(head)
        self._wake()

    def got_data(self, data: bytes) -> None:
        """Handle a part of the body."""
        if self._is_dropped:
            return
        self._buffer += data
        self._memory.buffered_bytes += len(data)
        if self._memory.must_pause(len(self._buffer)):
            self._connection.pause()
        self._wake()

    def got_end(self) -> None:
        """Mark the response as complete."""
        self._is_complete = True
        self._wake()

    def failed(self, failure: errors.TransportError) -> None:
        """Mark the response as failed, unless it is complete."""
        if not self._is_complete and self._failure is None:
            self._failure = failure
            self._wake()
