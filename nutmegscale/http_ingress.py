"""HTTP/1.1 server connections of callers, parsed by llhttp.

llhttp refuses requests that two parsers might interpret differently, as in
request smuggling: two Content-Length headers, a length together with chunked
encoding, bare CR or LF, folded headers. The parser of twisted.web isn't used
since it joins folded headers and can't enforce the limits below before a body
is read.
"""

from collections.abc import Callable
import enum
from typing import Any
from typing import NamedTuple
from typing import Protocol

import httptools
from twisted.internet import defer
from twisted.internet import protocol

from nutmegscale import http_message
from nutmegscale import logs
from nutmegscale import tcp_options

# How long data of the caller is read and discarded after the last response was
# sent, so that it isn't reset before the caller has received it.
LINGER_TIMEOUT_S = 1.0
# Limit on the bodies being read on all connections together: a quarter of the
# memory of the smallest host, which has 128 MB by the deployment's
# specification.
MAX_BUFFERED_BODY_BYTES = 32 << 20
# Limit on the bodies of all requests that are received or processed, by their
# stated lengths: each is kept until its answer, and copied once to be sent to a
# server. Beyond it, only small bodies are taken, of up to the second limit.
MAX_HELD_BODY_BYTES = 32 << 20
MAX_SMALL_BODY_BYTES = 64 << 10
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
      size: Their number, on all connections that share the count.
    """

    def __init__(self) -> None:
        self.size = 0

    def allows(self, body_bytes: int) -> bool:
        """Whether a body that is counted already may be taken."""
        is_full = self.size > MAX_HELD_BODY_BYTES
        return not is_full or body_bytes <= MAX_SMALL_BODY_BYTES


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
        self._connection.on_response_sent()

    def on_connection_lost(self) -> None:
        """Handle the loss of the caller's connection."""
        if self.is_ended:
            return
        self._state = _AnswerState.ENDED
        if self._on_disconnect is not None:
            self._on_disconnect()


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


class IngressConnection(protocol.Protocol):
    """Connection of a caller that carries one request at a time."""

    transport: Any

    def __init__(self, factory: "IngressFactory") -> None:
        self._factory = factory
        self._parser = httptools.HttpRequestParser(self)
        self._timer: Any = None
        self._request: IncomingRequest | None = None
        self._is_closing = False
        self._is_discarding = False
        self._is_refused = False
        self._is_streaming = False
        self._is_sending = False
        self._when_sent: Callable[[], None] | None = None
        self._is_blocked = False
        self._unblocked: defer.Deferred[None] | None = None
        self._opened_at = factory.now()
        self._has_received = False
        self._is_first = True
        self._body_bytes = 0
        self._held_bytes = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._release_body()
        self._target = b""
        self._headers: list[http_message.Header] = []
        self._head_bytes = 0
        self._has_head = False
        self._is_complete = False
        self._has_pipelined_request = False
        self._refusal_status = 0

    def _release_body(self) -> None:
        self._factory.buffered_body_bytes -= self._body_bytes
        self._body: list[bytes] = []
        self._body_bytes = 0

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
    def is_idle(self) -> bool:
        """Whether no request is received or processed, and no answer sent."""
        is_busy = self._request is not None or self._is_sending
        return not is_busy and not self._head_bytes

    def connectionMade(self) -> None:  # noqa: N802
        """Set up a new connection."""
        tcp_options.apply(self.transport)
        self._factory.connections.add(self)
        self._start_timer(self._factory.limits().idle_timeout_s)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Cancel the request that the caller was waiting for."""
        self._factory.connections.discard(self)
        self._is_streaming = False
        self._when_sent = None
        self._cancel_timer()
        self._release_body()
        self._release_held()
        request, self._request = self._request, None
        if request is not None:
            request.on_connection_lost()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data."""
        if self._is_discarding:
            return
        if self._request is not None:
            # Pipelining isn't supported: data that follows a request before
            # its response is never parsed, and the connection is closed after
            # the response.
            self._is_closing = True
            return
        self._has_received = True
        limits = self._factory.limits()
        if not self._head_bytes:
            self._start_timer(limits.header_timeout_s)
        if not self._has_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refusal_status = self._refusal_status or 501
        except httptools.HttpParserError:
            self._refusal_status = self._refusal_status or 400
        if not self._has_head and self._head_bytes > limits.max_header_bytes:
            self._refusal_status = self._refusal_status or 431
        if self._refusal_status:
            self._refuse(self._refusal_status)
        elif self._is_complete:
            self._dispatch()
        elif self._has_head:
            self._start_timer(limits.idle_timeout_s)

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
        if not self._has_head:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Validate the head; see httptools."""
        if self._is_complete:
            return
        self._has_head = True
        limits = self._factory.limits()
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        head = self._head()
        length = head.get(b"content-length") or b"0"
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
        if self._is_complete:
            return
        self._body_bytes += len(body)
        self._factory.buffered_body_bytes += len(body)
        if self._factory.buffered_body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._refusal_status = self._refusal_status or 503
            return
        if self._body_bytes > self._factory.limits().max_body_bytes:
            self._refusal_status = self._refusal_status or 413
            return
        if self._body_bytes > self._held_bytes:
            self._hold(self._body_bytes - self._held_bytes)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Handle the end of a message; see httptools."""
        if not self._is_complete:
            self._is_complete = True
            self._keeps_alive = self._parser.should_keep_alive()

    def _head(self) -> http_message.RequestHead:
        method = self._parser.get_method()
        return http_message.RequestHead(
            method, self._target, tuple(self._headers)
        )

    def _dispatch(self) -> None:
        if self._has_pipelined_request:
            self._refuse(400)
            return
        self._cancel_timer()
        head, body = self._head(), b"".join(self._body)
        self._is_closing = self._is_closing or not self._keeps_alive
        self._reset_message()
        self._request = IncomingRequest(self, head, body, self._factory.now())
        if self._is_first:
            self._is_first = False
            self._request.since_open_s = self._factory.now() - self._opened_at
        self._factory.handler.handle(self._request)

    def _refuse(self, status: int) -> None:
        """Respond with an error status and close the connection."""
        self._factory.on_refused(status)
        self._is_closing = True
        self._is_refused = True
        headers = [(b"Content-Length", b"0")]
        if status == 503:
            wait = b"%.3f" % BUSY_RETRY_AFTER_S
            headers.append((b"Retry-After", wait))
        self.send_head(status, headers)
        self._release_body()
        self._release_held()
        self._close_gracefully()

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
        self.transport.write(data)
        if not (self._is_streaming or self._is_sending):
            self._is_sending = True
            self.transport.registerProducer(_SentWatch(self._on_sent), False)

    def _on_sent(self) -> None:
        """Handle that the transport has sent all that was written."""
        self._stop_watching()
        action, self._when_sent = self._when_sent, None
        if action is not None:
            action()

    def _stop_watching(self) -> None:
        if self._is_sending:
            self._is_sending = False
            self.transport.unregisterProducer()

    def _after_sent(self, action: Callable[[], None]) -> None:
        """Call a function once all that was written is sent."""
        if self._is_sending:
            self._when_sent = action
        else:
            action()

    def begin_stream(self) -> None:
        """Watch how fast the caller reads a response."""
        self._stop_watching()
        self._is_streaming = True
        self.transport.registerProducer(self, True)

    def end_stream(self) -> None:
        """Stop watching how fast the caller reads."""
        if self._is_streaming:
            self._is_streaming = False
            self.transport.unregisterProducer()
            self.resumeProducing()

    async def drained(self, timeout_s: float) -> None:
        """Wait until the caller reads on; see `IncomingRequest.drained`."""
        if not self._is_blocked:
            return
        self._unblocked = defer.Deferred()
        self._unblocked.addTimeout(
            timeout_s, self._factory.clock, lambda *_: None
        )
        await self._unblocked

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the caller doesn't read; see twisted's IPushProducer."""
        self._is_blocked = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the caller reads on; see twisted's IPushProducer."""
        self._is_blocked = False
        waiter, self._unblocked = self._unblocked, None
        if waiter is not None and not waiter.called:
            waiter.callback(None)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the loss of the connection is handled apart."""

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
            self._after_sent(self._wait_for_request)

    def _wait_for_request(self) -> None:
        if self.is_idle:
            self._start_timer(self._factory.limits().idle_timeout_s)

    def abort(self) -> None:
        """Close at once, in the middle of a response."""
        self._request = None
        self._release_held()
        self._is_discarding = True
        self.end_stream()
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
        self._after_sent(self._close_writing)

    def _close_writing(self) -> None:
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
      is_draining: Whether connections are closed after their next response.
      buffered_body_bytes: Size of all bodies that are being received.
      held: Count of the bodies that are received or processed.
      connections: Open connections.
    """

    noisy = False

    def __init__(
        self,
        clock: Any,
        handler: Handler,
        limits: Callable[[], Limits],
        *,
        on_refused: Callable[[int], None] = lambda status: None,
        held: HeldBodies | None = None,
    ) -> None:
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.on_refused = on_refused
        self.is_draining = False
        self.buffered_body_bytes = 0
        self.held = held or HeldBodies()
        self.connections: set[IngressConnection] = set()

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return float(self.clock.seconds())

    def buildProtocol(self, addr: Any) -> IngressConnection:  # noqa: N802
        """Create the protocol of a new connection."""
        return IngressConnection(self)

    def close_idle(self) -> None:
        """Close the connections that receive or process no request."""
        for connection in list(self.connections):
            connection.close_if_idle()
