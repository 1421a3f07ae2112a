"""HTTP/1.1 server connections of callers, parsed by llhttp.

llhttp refuses requests that two parsers might interpret differently, as in
request smuggling: two Content-Length headers, a length together with chunked
encoding, bare CR or LF, folded headers. The parser of twisted.web isn't used
since it joins folded headers and can't enforce the limits below before a body
is read.
"""

from collections.abc import Callable
import enum
import sys
from typing import Any
from typing import NamedTuple
from typing import Protocol

import httptools
from twisted.internet import protocol

from nutmegscale import answer_sender
from nutmegscale import http_message
from nutmegscale import logs
from nutmegscale import memory_budget
from nutmegscale import parse_turns
from nutmegscale import tcp_options

# How long data of the caller is read and discarded after the last response was
# sent, so that it isn't reset before the caller has received it.
LINGER_TIMEOUT_S = 1.0
# While the bodies of all requests are beyond their limit, only smaller ones are
# taken, bytes.
MAX_SMALL_BODY_BYTES = 64 << 10
# Part of the memory of all connections up to which requests that are larger
# than a small body are handed on.
LARGE_REQUEST_FRACTION = 0.8
# Bytes of a head or a body in chunks that are parsed at once. The parser makes
# up to 256 calls for them, which take about 0.2 ms.
SLICE_BYTES = 1 << 10
# Calls of the parser for a request that don't wait for the connection's turn.
# An ordinary request takes some twenty.
FREE_CALLS = 256
# More than is read at once.
READ_BYTES = 1 << 20
# Part of a head that its limit doesn't count: method, version and line breaks.
UNCOUNTED_HEAD_BYTES = 64
# Memory of a parsed header besides its text, bytes: a pair, its place in a
# list, and two strings.
HEADER_BYTES = 170
# Longest head that is kept parsed until its body is complete, lines. A longer
# one is parsed again, since short lines take up to 25 times their size.
MAX_KEPT_LINES = 64
# Connections that are being closed, beyond the limit on open ones.
MAX_CLOSING = 32
# Bytes received for each byte of the longest body, beyond which a body is
# refused. Chunks of one byte take six.
MAX_FRAMING_RATIO = 8
BUSY_RETRY_AFTER_S = 1.0
# A host that shuts down closes a new connection without a request only after
# this time, seconds: its first request may be on the way.
FIRST_REQUEST_WAIT_S = 1.0
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Limits(NamedTuple):
    """Limits on the size and duration of a caller's request.

    Attributes:
      max_header_bytes: Maximum size of the request line and headers.
      max_body_bytes: Maximum size of the body.
      header_timeout_s: Longest time from the first byte to the last header,
        seconds.
      idle_timeout_s: Longest time without received data, seconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class HeldBodies:
    """Counts the bytes of bodies from their head to their answer.

    Attributes:
      limit: Their number beyond which only small bodies are taken.
      size: Their number, on all connections that share the count.
    """

    def __init__(
        self, limit: int = memory_budget.MemoryLimits().body_bytes
    ) -> None:
        self.limit = limit
        self.size = 0

    def allows(self, body_bytes: int) -> bool:
        """Whether a body that is counted already may be taken."""
        is_full = self.size > self.limit
        return not is_full or body_bytes <= MAX_SMALL_BODY_BYTES


class SharedMemory:
    """What the connections of several ports share.

    Args:
      clock: Twisted clock.
      limits: Limits of the machine.

    Attributes:
      held: Count of the bodies that are received or processed.
      budget: Memory of all connections.
      turns: Turns of the connections to parse.
      owners: Connection of each account.
    """

    def __init__(
        self, clock: Any, limits: memory_budget.MemoryLimits | None = None
    ) -> None:
        self.budget = memory_budget.MemoryBudget(limits)
        self.held = HeldBodies(self.budget.limits.body_bytes)
        self.turns = parse_turns.ParseTurns(clock)
        self.owners: dict[memory_budget.Account, IngressConnection] = {}

    def set_limits(self, limits: memory_budget.MemoryLimits) -> None:
        """Change the limits; what exceeds them is closed as more arrives."""
        self.budget.limits = limits
        self.held.limit = limits.body_bytes


class Handler(Protocol):
    """Handler of received requests."""

    def handle(self, request: "IncomingRequest") -> None:
        """Respond to a complete request, at once or later."""
        ...


class _AnswerState(enum.Enum):
    """How much of an answer was sent."""

    WAITING = enum.auto()
    STREAMING = enum.auto()
    ENDED = enum.auto()


class IncomingRequest:
    """A complete request of a caller, with methods to respond to it.

    An answer has one head: it is sent whole by `respond`, or by `start`, any
    number of `write`, and `finish`. Any other order cuts the connection, so
    that nothing is joined to an answer, and none looks complete by mistake.

    Attributes:
      head: Head of the request.
      body: Complete body.
      arrived: Monotonic time when the request was complete, seconds.
      is_relayed: Whether another host has passed it on.
      since_open_s: Time from the acceptance of its connection to `arrived`,
        seconds; 0 if it isn't the first request there.
      size: Its size in memory, bytes.
    """

    def __init__(
        self,
        connection: "IngressConnection",
        head: http_message.RequestHead,
        body: bytes,
        arrived: float,
    ) -> None:
        self._connection = connection
        self._on_disconnect: Callable[[], None] | None = None
        self._state = _AnswerState.WAITING
        self._has_body = True
        self.head = head
        self.body = body
        self.arrived = arrived
        self.is_relayed = False
        self.since_open_s = 0.0
        self.size = 0

    @property
    def is_started(self) -> bool:
        """Whether the head of the response was sent."""
        return self._state is not _AnswerState.WAITING

    @property
    def is_ended(self) -> bool:
        """Whether the response is complete or aborted, or the caller left."""
        return self._state is _AnswerState.ENDED

    def watch_disconnect(self, on_disconnect: Callable[[], None]) -> None:
        """Set a function to call if the caller closes before the response ends.

        Args:
          on_disconnect: Function to call, at most once.
        """
        self._on_disconnect = on_disconnect

    def respond(
        self,
        status: int,
        headers: list[http_message.Header],
        body: bytes,
    ) -> None:
        """Send a complete response.

        In the response to a HEAD request, a Content-Length among the headers
        stands for the body that is left out.
        """
        if not self._may("respond", _AnswerState.WAITING):
            return
        is_head = self.head.method == b"HEAD"
        has_length = http_message.find_header(headers, b"content-length")
        sent = list(headers)
        if http_message.may_have_body(status) and not (is_head and has_length):
            sent.append((b"Content-Length", b"%d" % len(body)))
        self._connection.send_head(status, sent)
        if http_message.may_have_body(status) and not is_head:
            self._connection.send(body)
        self._end()

    def start(self, status: int, headers: list[http_message.Header]) -> None:
        """Send the head of a chunked response."""
        if not self._may("start", _AnswerState.WAITING):
            return
        self._state = _AnswerState.STREAMING
        sent = list(headers)
        if http_message.may_have_body(status):
            sent.append((b"Transfer-Encoding", b"chunked"))
        is_head = self.head.method == b"HEAD"
        self._has_body = http_message.may_have_body(status) and not is_head
        self._connection.send_head(status, sent)
        self._connection.begin_stream()

    def write(self, data: bytes) -> None:
        """Send a part of the body as a chunk."""
        if self._may("write", _AnswerState.STREAMING):
            self._send_chunk(data)

    def _send_chunk(self, data: bytes) -> None:
        if data and self._has_body:
            self._connection.send(b"%x\r\n%b\r\n" % (len(data), data))

    async def drained(self, timeout_s: float) -> None:
        """Wait until the caller has read enough for more to be sent.

        Args:
          timeout_s: Longest wait, seconds; it then returns all the same.
        """
        if not self.is_ended:
            await self._connection.drained(timeout_s)

    def finish(self) -> None:
        """End a chunked response."""
        if not self._may("finish", _AnswerState.STREAMING):
            return
        self._connection.end_stream()
        if self._has_body:
            self._connection.send(b"0\r\n\r\n")
        self._end()

    def abort(self) -> None:
        """Abort the connection, so that the response doesn't look complete."""
        if not self.is_ended:
            self._state = _AnswerState.ENDED
            self._on_disconnect = None
            self._connection.abort()

    def _may(self, action: str, state: _AnswerState) -> bool:
        """Whether an action fits the state of the answer.

        One that doesn't is a defect and cuts the connection, unless the answer
        has ended, or the caller has left.
        """
        if self._state is state:
            return True
        if not self.is_ended:
            logs.get().error(
                "answer_out_of_order",
                action=action,
                state=self._state.name.lower(),
                expected=state.name.lower(),
            )
            self.abort()
        return False

    def _end(self) -> None:
        self._state = _AnswerState.ENDED
        # Ends the reference cycle with the request's handler.
        self._on_disconnect = None
        self._connection.on_response_sent()

    def on_connection_lost(self) -> None:
        """Handle the loss of the caller's connection."""
        if self.is_ended:
            return
        self._state = _AnswerState.ENDED
        on_disconnect, self._on_disconnect = self._on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()


class IngressConnection(protocol.Protocol):
    """Connection of a caller that carries one request at a time."""

    transport: Any

    def __init__(self, factory: "IngressFactory") -> None:
        self._factory = factory
        self._parser: Any = httptools.HttpRequestParser(self)
        self._timer: Any = None
        self._request: IncomingRequest | None = None
        self._is_closing = False
        self._is_discarding = False
        self._is_refused = False
        self._is_paused = False
        self._sender = answer_sender.AnswerSender(
            factory.clock, self._on_progress
        )
        self._opened_at = factory.now()
        self._account = factory.budget.open(self._opened_at)
        self._has_received = False
        self._is_first = True
        self._held_bytes = 0
        # Data that is parsed later.
        self._rest = b""
        self._reset_message()

    def _reset_message(self) -> None:
        self._body = bytearray()
        self._target = b""
        # Headers as NAME:VALUE and a line break each.
        self._lines = bytearray()
        self._line_count = 0
        self._method = b""
        self._head: http_message.RequestHead | None = None
        self._head_bytes = 0
        self._has_head = False
        self._has_length = False
        self._max_body_bytes = 0
        self._wire_bytes = 0
        self._quiet_bytes = 0
        self._calls = 0
        self._is_complete = False
        self._has_pipelined_request = False
        self._refusal_status = 0

    def _hold(self, size: int) -> None:
        """Count a part of a body that is kept until the answer."""
        self._held_bytes += size
        self._factory.held.size += size
        if not self._factory.held.allows(self._held_bytes):
            self._refusal_status = self._refusal_status or 503

    def _release_held(self) -> None:
        self._factory.held.size -= self._held_bytes
        self._held_bytes = 0

    @property
    def account(self) -> memory_budget.Account:
        """What the connection holds and moves."""
        return self._account

    @property
    def is_idle(self) -> bool:
        """Whether no request is received or processed, and no answer sent."""
        is_busy = self._request is not None or self._sender.is_sending
        return not is_busy and not self._head_bytes and not self._rest

    def connectionMade(self) -> None:  # noqa: N802
        """Set up a new connection."""
        tcp_options.apply(self.transport)
        self._sender.attach(self.transport)
        self._factory.add(self)
        if not self._is_discarding:
            self._start_timer(self._factory.limits().idle_timeout_s)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel the request that the caller was waiting for."""
        self._is_discarding = True
        self._factory.remove(self)
        self._factory.open_count -= 1
        self._sender.stop()
        # Otherwise only the garbage collector frees both, much later.
        self._parser = None
        self._cancel_timer()
        self._rest = b""
        self._reset_message()
        self._release_held()
        request, self._request = self._request, None
        if request is not None:
            request.on_connection_lost()

    def _update_account(self) -> None:
        """Account what the connection holds, at its size in memory."""
        held = len(self._rest) + self._sender.unsent_bytes
        if self._body:
            held += sys.getsizeof(self._body)
        if self._head_bytes:
            held += self._head_bytes + len(self._lines)
            if self._head is not None:
                held += HEADER_BYTES * self._line_count
        if self._request is not None:
            held += self._request.size
        self._account.hold(held)
        self._account.phase = self._phase()

    def _phase(self) -> memory_budget.Phase:
        if self._request is not None:
            if self._sender.is_blocked:
                return memory_budget.Phase.STREAMING
            return memory_budget.Phase.HANDLED
        if self._sender.is_sending:
            return memory_budget.Phase.SENDING
        return memory_budget.Phase.RECEIVING

    def _on_progress(self, sent: int) -> None:
        """Handle that the transport has sent a part of an answer."""
        if self._is_discarding and not self._sender.is_sending:
            return
        self._account.move(self._factory.now(), sent)
        self._update_account()
        if self._rest and not self._sender.is_behind:
            self._factory.turns.wait(self._parse_rest)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data."""
        if self._is_discarding:
            return
        if self._request is not None:
            # Pipelining isn't supported: data that follows a request before
            # its response is never parsed, and the connection is closed after
            # the response. Some callers send a line break after a body.
            if data.strip(b"\r\n"):
                self._is_closing = True
            return
        self._has_received = True
        if self._rest:
            self._rest += data
        else:
            self._parse(data)
        self._settle()

    def _settle(self) -> None:
        """Account what was received, and free memory if it is short."""
        if self._is_discarding:
            return
        if self._head_bytes or self._rest:
            self._update_account()
        self._factory.free_memory(self._account)

    def _parse_rest(self) -> None:
        """Parse data that has waited for its turn."""
        if self._is_discarding or not self._rest:
            return
        rest, self._rest = self._rest, b""
        self._parse(rest)
        if not self._rest:
            self._resume_reading()
        self._settle()

    def _parse(self, data: bytes) -> None:
        """Parse data, as far as it is this connection's turn."""
        view = memoryview(data)
        while view and not self._refusal_status:
            if not (self._is_complete or self._may_parse()):
                self._wait(bytes(view))
                return
            size = self._slice_bytes()
            self._feed(view[:size])
            view = view[size:]
        if self._refusal_status:
            self._refuse(self._refusal_status)
        elif self._is_complete:
            self._dispatch()
        elif self._has_head:
            self._start_timer(self._factory.limits().idle_timeout_s)

    def _may_parse(self) -> bool:
        if self._sender.is_behind:
            return False
        return self._calls < FREE_CALLS or self._factory.turns.may_parse()

    def _wait(self, rest: bytes) -> None:
        """Keep data until the answer before it is sent, or for a later turn."""
        self._rest = rest
        if self._has_head:
            # The caller isn't idle.
            self._start_timer(self._factory.limits().idle_timeout_s)
        if not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()
        if not self._sender.is_behind:
            self._factory.turns.wait(self._parse_rest)

    def _resume_reading(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()

    def _slice_bytes(self) -> int:
        """Return how much to parse at once.

        A slice ends where the head has its greatest length, so that the same
        heads are refused however they are cut.
        """
        if self._has_head:
            # A body with a stated length comes in one call.
            return READ_BYTES if self._has_length else SLICE_BYTES
        return max(1, min(SLICE_BYTES, self._max_head_bytes - self._head_bytes))

    @property
    def _max_head_bytes(self) -> int:
        limit = self._factory.limits().max_header_bytes
        return limit + UNCOUNTED_HEAD_BYTES

    def _feed(self, data: memoryview) -> None:
        """Parse a slice of data."""
        if not self._head_bytes:
            self._start_timer(self._factory.limits().header_timeout_s)
        if not self._has_head:
            self._head_bytes += len(data)
        before, calls = len(self._body), self._calls
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refusal_status = self._refusal_status or 501
        except httptools.HttpParserError:
            self._refusal_status = self._refusal_status or 400
        self._factory.turns.record(self._calls - calls + 1)
        if self._has_head:
            self._record_body(len(data), len(self._body) - before)
        elif self._head_bytes >= self._max_head_bytes:
            self._refusal_status = self._refusal_status or 431
        if self._has_pipelined_request:
            self._refusal_status = self._refusal_status or 400

    def _record_body(self, wire_bytes: int, body_bytes: int) -> None:
        """Count a slice with data after the head, and its part of the body."""
        self._account.move(self._factory.now(), body_bytes)
        if len(self._body) > self._held_bytes:
            self._hold(len(self._body) - self._held_bytes)
        if self._is_complete:
            return
        limits = self._factory.limits()
        self._wire_bytes += wire_bytes
        self._quiet_bytes = 0 if body_bytes else self._quiet_bytes + wire_bytes
        max_wire_bytes = MAX_FRAMING_RATIO * limits.max_body_bytes
        if self._wire_bytes > max_wire_bytes + limits.max_header_bytes:
            self._refusal_status = self._refusal_status or 413
        elif self._quiet_bytes > 2 * limits.max_header_bytes:
            # Trailers, or a chunk extension.
            self._refusal_status = self._refusal_status or 431

    def on_message_begin(self) -> None:
        """Handle the start of a message; see httptools."""
        if self._is_complete:
            self._has_pipelined_request = True

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target; see httptools."""
        if not self._is_complete:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, ignoring trailers; see httptools."""
        self._calls += 1
        if self._has_head or self._refusal_status:
            return
        if self._line_count >= self._factory.budget.limits.max_header_lines:
            self._refusal_status = 431
            return
        self._line_count += 1
        self._lines += b"%b:%b\n" % (name, value)

    def _parse_head(self) -> http_message.RequestHead:
        """Return the head that was received."""
        lines = bytes(self._lines).split(b"\n")[:-1]
        pairs = (line.partition(b":") for line in lines)
        return http_message.RequestHead(
            self._method,
            self._target,
            tuple((name, value) for name, _, value in pairs),
        )

    def on_headers_complete(self) -> None:
        """Validate the head; see httptools."""
        if self._is_complete or self._refusal_status:
            return
        self._has_head = True
        limits = self._factory.limits()
        self._max_body_bytes = limits.max_body_bytes
        # Each header counts with the three bytes that it has besides its text
        # at least. What this leaves out is bounded by `_max_head_bytes`.
        size = len(self._target) + len(self._lines) + self._line_count
        self._method = self._parser.get_method()
        head = self._parse_head()
        self._head = head if self._line_count <= MAX_KEPT_LINES else None
        length = head.get(b"content-length") or b"0"
        self._has_length = length != b"0"
        if size > limits.max_header_bytes:
            self._refusal_status = 431
        elif head.count(b"host") != 1:
            self._refusal_status = 400
        elif int(length) > limits.max_body_bytes:
            self._refusal_status = 413
        else:
            self._hold(int(length))
            expected = (head.get(b"expect") or b"").lower()
            if expected == b"100-continue" and not self._refusal_status:
                self.transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body; see httptools."""
        self._calls += 1
        if self._is_complete or self._refusal_status:
            return
        if len(self._body) + len(body) > self._max_body_bytes:
            self._refusal_status = 413
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Handle the end of a message; see httptools."""
        if not self._is_complete:
            self._is_complete = True
            self._keeps_alive = self._parser.should_keep_alive()

    def _may_dispatch(self, size: int) -> bool:
        """Whether memory allows a request to be handed on.

        It isn't closed from then on, so a large one leaves a part of the budget
        to ordinary ones.

        Args:
          size: Its size in memory, bytes.
        """
        budget = self._factory.budget
        limit = float(budget.limits.held_bytes)
        if size > MAX_SMALL_BODY_BYTES:
            limit *= LARGE_REQUEST_FRACTION
        return budget.held_bytes - self._account.held_bytes + size <= limit

    def _dispatch(self) -> None:
        size = len(self._body) + self._head_bytes
        size += HEADER_BYTES * self._line_count
        if not self._may_dispatch(size):
            self._factory.on_shed("memory_short", size)
            self._send_refusal(503)
            return
        self._cancel_timer()
        head, body = self._head or self._parse_head(), bytes(self._body)
        self._is_closing = self._is_closing or not self._keeps_alive
        self._reset_message()
        now = self._factory.now()
        self._request = IncomingRequest(self, head, body, now)
        self._request.size = size
        self._account.move(now, 0)
        self._update_account()
        if self._is_first:
            self._is_first = False
            self._request.since_open_s = now - self._opened_at
        self._factory.handler.handle(self._request)

    def _refuse(self, status: int) -> None:
        """Refuse a request that can't be read or exceeds a limit."""
        self._factory.on_refused(status)
        self._send_refusal(status)

    def _send_refusal(self, status: int) -> None:
        """Respond with an error status and close the connection."""
        self._is_closing = True
        self._is_refused = True
        headers = [(b"Content-Length", b"0")]
        if status == 503:
            wait = b"%.3f" % BUSY_RETRY_AFTER_S
            headers.append((b"Retry-After", wait))
        self.send_head(status, headers)
        self._reset_message()
        self._release_held()
        self._close_gracefully()

    def shed(self, reason: str) -> None:
        """Close the connection to free what it holds.

        A request that is still received is refused: it hasn't run and won't.

        Args:
          reason: Why, for the log and the metrics.
        """
        if self._is_discarding and not self._sender.is_sending:
            # Only waits for its caller to close it.
            self._factory.remove(self)
            self.transport.loseConnection()
            return
        self._factory.on_shed(reason, self._account.held_bytes)
        is_receiving = self._phase() is memory_budget.Phase.RECEIVING
        if is_receiving and self._head_bytes:
            self._send_refusal(503)
        elif is_receiving:
            self._is_discarding = True
            self._factory.remove(self)
            self.transport.loseConnection()
        else:
            self._cut()

    def send_head(
        self, status: int, headers: list[http_message.Header]
    ) -> None:
        """Send the head of a response."""
        if self._factory.is_draining:
            self._is_closing = True
        if self._is_closing:
            headers = [*headers, (b"Connection", b"close")]
        self.send(http_message.encode_response_head(status, headers))

    def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self._sender.send(data)
        if self._sender.is_behind or self._sender.is_blocked:
            self._update_account()
            self._factory.free_memory(self._account)

    def begin_stream(self) -> None:
        """Watch how fast the caller reads a response."""
        self._sender.begin_stream()

    def end_stream(self) -> None:
        """Stop watching how fast the caller reads."""
        self._sender.end_stream()

    async def drained(self, timeout_s: float) -> None:
        """Wait until the caller reads on; see `IncomingRequest.drained`."""
        await self._sender.drained(timeout_s)

    def on_response_sent(self) -> None:
        """Wait for the next request, or close, once the response was sent.

        A caller that reads a long response slowly isn't idle meanwhile. One
        that doesn't read at all is dropped by `tcp_options.USER_TIMEOUT_MS`.
        """
        self._request = None
        self._release_held()
        if self._is_closing:
            self._close_gracefully()
        else:
            self._sender.after_sent(self._wait_for_request)
        self._settle_answer()

    def _settle_answer(self) -> None:
        """Account an answer that waits, and free memory if it is short."""
        self._update_account()
        if self._sender.is_sending:
            self._factory.free_memory(self._account)

    def _wait_for_request(self) -> None:
        if self.is_idle:
            self._start_timer(self._factory.limits().idle_timeout_s)

    def abort(self) -> None:
        """Close at once, in the middle of a response."""
        self._request = None
        self._release_held()
        self._is_discarding = True
        self.end_stream()
        self._update_account()
        self.transport.abortConnection()

    def _cut(self) -> None:
        """Close at once; a request in progress is told when it is lost."""
        self._is_discarding = True
        self._factory.remove(self)
        self._sender.drop()
        self.transport.abortConnection()

    def close_if_idle(self) -> None:
        """Close the connection unless it receives or processes a request.

        A new one isn't closed while its first request may be on the way.
        """
        age_s = self._factory.now() - self._opened_at
        is_new = not self._has_received and age_s < FIRST_REQUEST_WAIT_S
        if self.is_idle and not self._is_discarding and not is_new:
            self._close_gracefully()

    def _close_gracefully(self) -> None:
        """Close such that the data already sent still arrives."""
        self._is_discarding = True
        self._rest = b""
        self._resume_reading()
        self._update_account()
        self._sender.after_sent(self._close_writing)

    def _close_writing(self) -> None:
        self._account.retire()
        self.transport.loseWriteConnection()
        self._start_timer(LINGER_TIMEOUT_S)

    def _start_timer(self, seconds: float) -> None:
        self._cancel_timer()
        self._timer = self._factory.clock.callLater(seconds, self._on_timeout)

    def _cancel_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _on_timeout(self) -> None:
        if self._is_refused:
            self.transport.abortConnection()
        elif self._is_discarding:
            # The system still sends what the caller hasn't acknowledged.
            self.transport.loseConnection()
        elif self._head_bytes:
            self._refuse(408)
        else:
            self._close_gracefully()


class IngressFactory(protocol.Factory):
    """Creates the connections of callers and tracks the open ones.

    Attributes:
      clock: Twisted clock.
      handler: Handler of the requests.
      limits: Returns the limits in force.
      on_refused: Called with the status of each refused request.
      on_shed: Called with the reason and the bytes held, for each connection
        that is closed since memory or descriptors are short.
      is_draining: Whether connections are closed after their next response.
      held: Count of the bodies that are received or processed.
      budget: Memory of all connections that share it.
      turns: Turns of all connections that share them to parse.
      max_connections: Limit on the open connections.
      connections: Open connections, without those that are closed to free
        memory or descriptors.
      open_count: Number of open connections, with these.
    """

    noisy = False

    def __init__(
        self,
        clock: Any,
        handler: Handler,
        limits: Callable[[], Limits],
        *,
        on_refused: Callable[[int], None] = lambda status: None,
        on_shed: Callable[[str, int], None] = lambda reason, held: None,
        shared: SharedMemory | None = None,
        max_connections: int | None = None,
    ) -> None:
        shared = shared or SharedMemory(clock)
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused
        self.on_shed = on_shed
        self.is_draining = False
        self.held = shared.held
        self.budget = shared.budget
        self.turns = shared.turns
        self._owners = shared.owners
        self.max_connections = (
            max_connections or shared.budget.limits.caller_connections
        )
        self.connections: set[IngressConnection] = set()
        self.open_count = 0

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return float(self.clock.seconds())

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Create the protocol of a new connection, unless there are too many.

        Those that are closed to make room may be open until the loop's next
        turn.
        """
        if self.open_count >= self.max_connections + MAX_CLOSING:
            self.on_shed("connections_full", 0)
            return None
        return IngressConnection(self)

    def add(self, connection: IngressConnection) -> None:
        """Add an open connection; close another one if there are too many."""
        self.open_count += 1
        self.connections.add(connection)
        self._owners[connection.account] = connection
        if len(self.connections) > self.max_connections:
            self._owners[
                memory_budget.least_useful(
                    [c.account for c in self.connections],
                    self.now(),
                    connection.account,
                )
            ].shed("connections_full")

    def remove(self, connection: IngressConnection) -> None:
        """Remove a connection that was lost or is closed at once."""
        self.connections.discard(connection)
        self._owners.pop(connection.account, None)
        self.budget.close(connection.account)

    def free_memory(self, asking: memory_budget.Account) -> None:
        """Close connections until all hold less than their limit.

        Args:
          asking: Account of the connection whose memory has just grown.
        """
        for account in self.budget.victims(self.now(), asking):
            self._owners[account].shed("memory_short")

    def close_idle(self) -> None:
        """Close the connections that receive or process no request."""
        for connection in list(self.connections):
            connection.close_if_idle()
