"""Pool of persistent HTTP/1.1 connections to backend servers."""

from collections.abc import Callable
import hashlib
from typing import Any

import httptools
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import implementer

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import memory_budget
from nutmegscale import request_sender
from nutmegscale import tcp_options
from nutmegscale import upstream_call

CONNECT_TIMEOUT_S = 0.25
# Idle timeout if the server announces none; well below 5 s, the shortest idle
# timeout in common use.
IDLE_TIMEOUT_S = 3.0
# Subtracted from the timeout that a server announces, so that no request is on
# its way while the server closes the connection.
IDLE_TIMEOUT_MARGIN_S = 0.5
MAX_IDLE_PER_SERVER = 6
# Bytes since a request was sent, or since the last part of its answer's body,
# that aren't body: heads, trailers, and answers to other requests.
MAX_OVERHEAD_BYTES = 256 << 10
# Statuses that HTTP defines, those of interim answers included.
STATUSES = range(100, 600)
# Lines of the heads and trailers of a response. Those of sound servers have
# some twenty; in 256 KB there are up to 65,000, which take 6 MB.
MAX_HEADER_LINES = 1_000
# Longest request id that a connection remembers as it is, bytes.
MAX_REMEMBERED_ID_BYTES = 64
# Why no connection could be made: it was refused or not answered, the name of
# the server can't be resolved, or the host has no more file descriptors.
_CONNECT_ERRORS = (error.ConnectError, OSError)
# Each connection remembers the ids of its requests.
MAX_REQUESTS_PER_CONNECTION = 200


@implementer(interfaces.IHalfCloseableProtocol)
class _Connection(protocol.Protocol):
    """Connection to a server that carries one call at a time.

    A faulty server may write an earlier answer once more. So that it is told
    from the answer to a later request, a connection carries each request id
    once, and one request without an id.

    Attributes:
      address: IP and port of the server.
      served: Number of requests sent on the connection.
      idle_until: Monotonic time until which the idle connection may be used,
        seconds.
    """

    transport: Any

    def __init__(self, pool: "UpstreamPool", address: str) -> None:
        self._pool = pool
        self._parser: Any = None
        self._call: upstream_call.Call | None = None
        self._request_id = b""
        self._carried_ids: set[bytes] = set()
        self._is_trusted = False
        self._is_head_request = False
        self._is_request_sent = True
        self._is_closed = False
        self._is_ignoring_message = False
        self._must_abort = False
        self._keeps_alive = False
        self._completed_call: upstream_call.Call | None = None
        self._body_ends_at_close = False
        self._headers: list[http_message.Header] = []
        self._idle_timer: Any = None
        self._overhead_bytes = 0
        self.address = address
        self.served = 0
        self.idle_until = 0.0

    @property
    def is_usable(self) -> bool:
        """Whether a request may be sent on the connection."""
        return not self._is_closed and self._call is None

    def may_carry(self, request_id: bytes) -> bool:
        """Whether the answer to a request could be told from earlier ones.

        Args:
          request_id: Id of the request, or b"".
        """
        return (
            self.served < MAX_REQUESTS_PER_CONNECTION
            and _remembered(request_id) not in self._carried_ids
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Set up a new connection."""
        tcp_options.apply(self.transport)

    def send(
        self, call: upstream_call.Call, request: upstream_call.Request
    ) -> None:
        """Send a request and deliver its response to `call`."""
        self.stop_idle_timer()
        self.served += 1
        self._call = call
        self._request_id = request.request_id
        self._carried_ids.add(_remembered(request.request_id))
        self._is_trusted = request.is_trusted
        self._is_head_request = request.head.method == b"HEAD"
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._is_ignoring_message = False
        self._body_ends_at_close = False
        self._set_overhead(0)
        self._is_request_sent = not request.body
        sender = request_sender.RequestSender(
            self.transport,
            http_message.encode_request_head(request.head, len(request.body)),
            request.body,
            on_sent=self._on_request_sent,
        )
        sender.start()

    def _on_request_sent(self) -> None:
        self._is_request_sent = True

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received data; close the connection if no call is pending."""
        if self._call is None:
            self.abort()
            return
        self._set_overhead(self._overhead_bytes + len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # Also raised for data after a complete response.
            self._fail(
                errors.MalformedAnswerError(f"malformed HTTP response: {exc}")
            )
            self._must_abort = True
        size = self._overhead_bytes
        if size > MAX_OVERHEAD_BYTES or not self._pool.memory.allows_head(size):
            self._fail(
                errors.MalformedAnswerError(
                    f"{size} bytes without a part of the answer's body, "
                    f"expected at most {MAX_OVERHEAD_BYTES}, and less while "
                    f"all calls hold {self._pool.memory.head_bytes} of them"
                )
            )
            self._must_abort = True
        if self._completed_call is not None:
            self._complete(self._completed_call)
        elif self._must_abort:
            self.abort()

    def _set_overhead(self, size: int) -> None:
        """Set the bytes since the last part of a body, also in the sum."""
        self._pool.memory.head_bytes += size - self._overhead_bytes
        self._overhead_bytes = size

    def on_message_begin(self) -> None:
        """Handle the start of a message; see httptools."""
        if self._call is None:
            # A second response after the first one belongs to no request.
            self._must_abort = True
            return
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header; see httptools."""
        if self._call is not None:
            self._headers.append((name, value))
            if len(self._headers) > MAX_HEADER_LINES:
                self._fail(
                    errors.MalformedAnswerError(
                        f"more than {MAX_HEADER_LINES} headers"
                    )
                )
                self._must_abort = True

    def on_headers_complete(self) -> None:
        """Pass on the head if it belongs to the request; see httptools."""
        if self._call is None:
            return
        status = self._parser.get_status_code()
        if status not in STATUSES:
            self._fail(
                errors.MalformedAnswerError(
                    f"status {status}, expected {STATUSES[0]} to {STATUSES[-1]}"
                )
            )
            self._must_abort = True
            return
        head = http_message.ResponseHead(status, tuple(self._headers))
        # A late second response to an earlier request may arrive first.
        self._is_ignoring_message = status < 200 or not self._is_own(head)
        if not self._is_ignoring_message:
            self._body_ends_at_close = _body_ends_at_close(head)
            self._call.got_head(head)
            if self._is_head_request:
                # The parser expects the body that the head describes, so the
                # connection can't be used again.
                self._completed_call, self._call = self._call, None
                self._keeps_alive = False

    def _is_own(self, head: http_message.ResponseHead) -> bool:
        """Whether a response can only belong to the current request."""
        answered_id = head.get(b"request-id") or b""
        is_unnamed = bool(self._request_id) and not answered_id
        if self._is_trusted or (is_unnamed and self.served == 1):
            return True
        return answered_id == self._request_id

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body; see httptools."""
        if self._call is not None and not self._is_ignoring_message:
            self._set_overhead(0)
            self._call.got_data(body)

    def on_message_complete(self) -> None:
        """Handle the end of a message; see httptools."""
        call = self._call
        if call is None or self._is_ignoring_message:
            return
        self._call = None
        self._completed_call = call
        self._keeps_alive = (
            self._parser.should_keep_alive() and self._names_requests()
        )

    def _names_requests(self) -> bool:
        """Whether the response has the id of its request, if that has one."""
        is_named = http_message.find_header(self._headers, b"request-id")
        return self._is_trusted or not self._request_id or bool(is_named)

    def _complete(self, call: upstream_call.Call) -> None:
        """End a completed call once all received data is parsed.

        The waiting code may send the next request at once, so no data of this
        response may be left in the parser by then.
        """
        self._completed_call = None
        self._set_overhead(0)
        idle_timeout_s = (
            _idle_timeout_s(self._headers) if self._keeps_alive else 0.0
        )
        if self._must_abort or not self._is_request_sent:
            # What isn't sent would stay in the transport's buffer.
            self.abort()
        elif idle_timeout_s > 0.0:
            self._pool.add_idle(self, idle_timeout_s)
        else:
            self.transport.loseConnection()
        call.got_end()

    def readConnectionLost(self) -> None:  # noqa: N802
        """End the call and the connection, since the server sends no more."""
        is_sent = self._is_request_sent and not (
            tcp_options.unacknowledged_bytes(self.transport)
        )
        self._end_call(is_clean=True, is_request_sent=is_sent)
        if is_sent:
            self.transport.loseConnection()
        else:
            self.transport.abortConnection()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: this host never closes only its side."""

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """End the call, unless it has ended."""
        is_clean = reason is not None and reason.check(error.ConnectionDone)
        self._end_call(
            is_clean=bool(is_clean), is_request_sent=self._is_request_sent
        )

    def _end_call(self, *, is_clean: bool, is_request_sent: bool) -> None:
        """End the call; a clean close completes a response without a length.

        While the server lacks a part of the request, a close completes nothing:
        a server that gives up closes in the same way.
        """
        self._is_closed = True
        self.stop_idle_timer()
        self._pool.discard(self)
        self._forget_response()
        call, self._call = self._call, None
        if call is None:
            return
        if self._body_ends_at_close and is_clean and is_request_sent:
            call.got_end()
        elif is_clean:
            call.failed(
                errors.TransportError(
                    "server closed the connection before the end of the "
                    "response"
                )
            )
        else:
            call.failed(
                errors.ConnectionResetTransportError(
                    "connection reset before the end of the response"
                )
            )

    def _forget_response(self) -> None:
        """Drop what was received of a response that is given up."""
        self._set_overhead(0)
        self._headers = []
        self._parser = None

    def _fail(self, failure: errors.TransportError) -> None:
        call, self._call = self._call, None
        if call is not None:
            call.failed(failure)

    def abort(self) -> None:
        """Close the connection at once."""
        self._fail(errors.TransportError("connection aborted by this host"))
        self._forget_response()
        if not self._is_closed:
            self._is_closed = True
            self._pool.discard(self)
            self.transport.abortConnection()

    def start_idle_timer(self, clock: Any, seconds: float) -> None:
        """Close the connection after a time without a request."""
        self.stop_idle_timer()
        self._idle_timer = clock.callLater(seconds, self._close_idle)

    def _close_idle(self) -> None:
        self._idle_timer = None
        self._pool.discard(self)
        self.transport.loseConnection()

    def stop_idle_timer(self) -> None:
        """Cancel the idle timer, since the connection is in use."""
        timer, self._idle_timer = self._idle_timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def pause(self) -> None:
        """Stop reading while the caller isn't reading."""
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        if not self._is_closed:
            self.transport.resumeProducing()


class ReservedConnection:
    """A connection that is reserved for one request."""

    def __init__(self, pool: "UpstreamPool", connection: _Connection) -> None:
        self._pool = pool
        self._connection: _Connection | None = connection

    def take(self, request: upstream_call.Request) -> _Connection | None:
        """Return the connection once, if it may carry a request.

        Returns:
          The connection; None if it was closed or taken, or has carried a
          request with the same id.
        """
        connection = self._connection
        if connection is None or not _may_carry(connection, request):
            return None
        self._connection = None
        return connection if connection.is_usable else None

    def release(self) -> None:
        """Return the connection to the pool, unless it was taken."""
        connection, self._connection = self._connection, None
        if connection is not None and connection.is_usable:
            self._pool.add_idle(connection, IDLE_TIMEOUT_S)


def _remembered(request_id: bytes) -> bytes:
    """Return what a connection remembers of a request id.

    An id may be as long as a head; 200 of them would take 3 MB.
    """
    if len(request_id) <= MAX_REMEMBERED_ID_BYTES:
        return request_id
    return hashlib.blake2b(request_id).digest()


def _may_carry(connection: _Connection, request: upstream_call.Request) -> bool:
    return request.is_trusted or connection.may_carry(request.request_id)


def _body_ends_at_close(head: http_message.ResponseHead) -> bool:
    has_length = head.get(b"content-length") is not None
    is_chunked = head.get(b"transfer-encoding") is not None
    has_body = http_message.may_have_body(head.status)
    return has_body and not has_length and not is_chunked


def _idle_timeout_s(headers: list[http_message.Header]) -> float:
    announced = http_message.find_header(headers, b"keep-alive") or b""
    for part in announced.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() != b"timeout":
            continue
        try:
            return float(decoding.natural(value) - IDLE_TIMEOUT_MARGIN_S)
        except errors.MalformedDataError:
            # A timeout that can't be read is none.
            break
    return IDLE_TIMEOUT_S


class UpstreamPool:
    """Pool of connections to all servers, by address.

    Attributes:
      opened: Number of connections that the pool tried to open.
      memory: What all calls keep of their responses.
    """

    def __init__(
        self,
        reactor: Any,
        clock: Any,
        *,
        connect: Callable[..., Any] | None = None,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        limits: memory_budget.MemoryLimits | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._connect = connect or self._connect_tcp
        self._idle: dict[str, list[_Connection]] = {}
        self.memory = upstream_call.ResponseMemory(limits)
        self._on_connect: Callable[[str, Exception | None], None] = lambda *_: (
            None
        )
        self.opened = 0

    def watch_connects(
        self, on_connect: Callable[[str, Exception | None], None]
    ) -> None:
        """Set a function to call with the outcome of each new connection.

        Args:
          on_connect: Called with the address, and the failure or None.
        """
        self._on_connect = on_connect

    def _connect_tcp(self, address: str, factory: Any) -> Any:
        ip, _, port = address.rpartition(":")
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor, ip, int(port), timeout=self._connect_timeout_s
        )
        return endpoint.connect(factory)

    @property
    def collected_bytes(self) -> int:
        """Bytes of the bodies that all calls are collecting."""
        return self.memory.collected_bytes

    @property
    def buffered_bytes(self) -> int:
        """Bytes of responses that were received and not taken yet."""
        return self.memory.buffered_bytes

    async def call(
        self,
        address: str,
        request: upstream_call.Request,
        *,
        reserved: "ReservedConnection | None" = None,
        check: Callable[[], None] = lambda: None,
        on_head: Callable[[http_message.ResponseHead], None] = lambda _: None,
    ) -> upstream_call.Call:
        """Send a request to a server.

        Args:
          address: IP and port of the server.
          request: The request.
          reserved: Connection to the server that was reserved for the request;
            another one is used if it was closed meanwhile.
          check: Called once there is a connection, right before the request is
            sent; raises `errors.NotSentError` if it must not be.
          on_head: Called with the head of the response as soon as it arrives.

        Returns:
          The call; its response is still to be awaited.

        Raises:
          errors.ConnectError: No connection could be made; nothing was sent.
          errors.NotSentError: `check` has raised it; nothing was sent.
        """
        connection = reserved.take(request) if reserved else None
        if connection is None:
            connection = self._take_idle(
                address, lambda idle: _may_carry(idle, request)
            )
        if connection is None:
            connection = await self._open(address)
        try:
            check()
        except errors.NotSentError:
            self.add_idle(connection, IDLE_TIMEOUT_S)
            raise
        call = upstream_call.Call(
            connection, self._clock, self.memory, on_head=on_head
        )
        connection.send(call, request)
        return call

    async def reserve(
        self,
        address: str,
        *,
        request_id: bytes | None = None,
        fresh: bool = False,
    ) -> "ReservedConnection":
        """Reserve a connection before other work that depends on it starts.

        Args:
          address: IP and port of the server.
          request_id: Id of the request that it is for, if known.
          fresh: Whether to open a new connection.

        Raises:
          errors.ConnectError: No connection could be made.
        """
        connection = None
        if not fresh:
            connection = self._take_idle(
                address,
                lambda idle: request_id is None or idle.may_carry(request_id),
            )
        if connection is None:
            connection = await self._open(address)
        return ReservedConnection(self, connection)

    async def check_connection(self, address: str) -> None:
        """Check that a server accepts a new connection.

        Raises:
          errors.ConnectError: It accepts none.
        """
        connection = await self.reserve(address, fresh=True)
        connection.release()

    async def is_refused(self, address: str) -> bool:
        """Whether an address refuses connections: its process has ended."""
        try:
            await self.check_connection(address)
        except errors.ConnectError as exc:
            return isinstance(exc.__cause__, error.ConnectionRefusedError)
        return False

    def _take_idle(
        self, address: str, is_suitable: Callable[[_Connection], bool]
    ) -> _Connection | None:
        """Return the idle connection used last that is suitable."""
        idle = self._idle.get(address, [])
        now = self._clock.seconds()
        for connection in reversed(idle.copy()):
            is_usable = connection.is_usable and now < connection.idle_until
            if not is_usable:
                idle.remove(connection)
            elif is_suitable(connection):
                idle.remove(connection)
                connection.stop_idle_timer()
                return connection
        return None

    async def _open(self, address: str) -> _Connection:
        self.opened += 1
        factory = protocol.Factory.forProtocol(
            lambda: _Connection(self, address)
        )
        factory.noisy = False
        try:
            connection: _Connection = await self._connect(address, factory)
        except error.ConnectingCancelledError as exc:
            # Says nothing of the server: what needs the connection has ended.
            raise defer.CancelledError from exc
        except _CONNECT_ERRORS as exc:
            self._on_connect(address, exc)
            raise errors.ConnectError(f"{address}: {exc}") from exc
        self._on_connect(address, None)
        return connection

    def add_idle(self, connection: _Connection, timeout_s: float) -> None:
        """Keep an idle connection for later requests.

        Args:
          connection: The connection; closed if the pool already has the
            maximum of idle connections to its server.
          timeout_s: Idle time after which it is closed, seconds.
        """
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= MAX_IDLE_PER_SERVER:
            connection.transport.loseConnection()
            return
        connection.idle_until = self._clock.seconds() + timeout_s
        connection.start_idle_timer(self._clock, timeout_s)
        idle.append(connection)

    def discard(self, connection: _Connection) -> None:
        """Remove a connection from the idle ones."""
        idle = self._idle.get(connection.address)
        if idle is not None and connection in idle:
            idle.remove(connection)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.transport.loseConnection()
