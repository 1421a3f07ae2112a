"""HTTP client for one base URL, with a timeout on every wait."""

from collections.abc import Awaitable
from typing import Any
from typing import NamedTuple
from typing import TypeVar
import zlib

import msgspec
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import policies
from twisted.python import failure
from twisted.web import client
from twisted.web import http
from twisted.web import http_headers
from twisted.web import iweb
from zope.interface import implementer

from nutmegscale import decoding
from nutmegscale import errors

CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 5.0
MAX_LINE_BYTES = 1 << 20
# Longest head of a response, with the bytes between two parts of it.
MAX_HEAD_BYTES = 64 << 10
# Longest body of a complete response, as received and decompressed.
MAX_BODY_BYTES = 4 << 20
# A stream's connection isn't read while more lines, or more bytes in them, than
# this are waiting.
MAX_QUEUED_LINES = 256
MAX_QUEUED_BYTES = 1 << 20
HEAD_END = b"\r\n\r\n"

_T = TypeVar("_T")


_json_decoder: decoding.Decoder[Any] = decoding.Decoder(Any)


class Response(NamedTuple):
    """A complete HTTP response.

    Attributes:
      status: Status code.
      headers: Last value of each header, by its name in lower case.
      body: Complete body, decompressed if it was gzip.
    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Decode the body as JSON.

        Raises:
          errors.TransportError: The body isn't valid JSON.
        """
        try:
            return _json_decoder.decode(self.body)
        except errors.MalformedDataError as exc:
            raise errors.TransportError(
                f"response body isn't valid JSON: {exc}"
            ) from exc


@implementer(iweb.IBodyProducer)
class _BytesProducer:
    """Body producer that writes one byte string."""

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:  # noqa: N802
        consumer.write(self._body)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


class _LimitedConnection(policies.ProtocolWrapper):
    """Connection that is closed when a response's head gets too long.

    Attributes:
      is_broken: Whether the connection was lost other than by an orderly close.
    """

    transport: Any
    is_broken = False

    def __init__(self, factory: Any, wrapped: Any) -> None:
        super().__init__(factory, wrapped)
        self._is_head_due = False
        self._head_bytes = 0
        self._head_tail = b""

    def write(self, data: bytes) -> None:
        """Send a part of a request; the head of its response is due."""
        self._expect_head()
        super().write(data)  # type: ignore[no-untyped-call]

    def writeSequence(self, data: Any) -> None:  # noqa: N802
        """Send parts of a request; the head of its response is due."""
        self._expect_head()
        super().writeSequence(data)  # type: ignore[no-untyped-call]

    def _expect_head(self) -> None:
        self._is_head_due = True
        self._head_bytes = 0
        self._head_tail = b""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on data, or abort if the head doesn't end in time."""
        if self._is_head_due:
            self._head_bytes += len(data)
            searched = self._head_tail + data
            self._head_tail = searched[1 - len(HEAD_END) :]
            self._is_head_due = HEAD_END not in searched
            if self._is_head_due and self._head_bytes > MAX_HEAD_BYTES:
                self.transport.abortConnection()
                return
        super().dataReceived(data)  # type: ignore[no-untyped-call]

    def connectionLost(  # noqa: N802
        self, reason: failure.Failure = protocol.connectionDone
    ) -> None:
        """Record how the connection ended, before its response ends."""
        self.is_broken = not reason.check(error.ConnectionDone)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


@implementer(iweb.IAgentEndpointFactory)
class _LimitedEndpoints:
    """Creates the endpoints of an agent; limits the heads of responses."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: client.URI) -> Any:  # noqa: N802
        """Return the endpoint of a server."""
        return _LimitedEndpoint(
            endpoints.TCP4ClientEndpoint(
                self._reactor,
                uri.host.decode(),
                uri.port,
                timeout=self._connect_timeout_s,
            )
        )


@implementer(interfaces.IStreamClientEndpoint)
class _LimitedEndpoint:
    """Endpoint whose connections are `_LimitedConnection`s."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Any:
        """Connect; the Deferred fires with the factory's own protocol."""
        wrapping: Any = policies.WrappingFactory(factory)
        wrapping.protocol = _LimitedConnection
        wrapping.noisy = False
        connecting = self._endpoint.connect(wrapping)
        return connecting.addCallback(lambda opened: opened.wrappedProtocol)


class _BodyCollector(protocol.Protocol):
    """Response body that is collected completely, up to a limit."""

    def __init__(self) -> None:
        self._body = bytearray()
        self._connection: Any = None
        self.done: defer.Deferred[bytes] = defer.Deferred(self._cancel)

    def _cancel(self, _: Any) -> None:
        _abort(self.transport)

    def connectionMade(self) -> None:  # noqa: N802
        """Remember the connection that carries the body."""
        self._connection = getattr(self.transport, "_producer", None)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body; abort if it gets too long."""
        if self.done.called:
            return
        if len(self._body) + len(data) > MAX_BODY_BYTES:
            self._body = bytearray()
            self.done.errback(
                errors.TransportError(
                    f"response body exceeds {MAX_BODY_BYTES} bytes"
                )
            )
            _abort(self.transport)
            return
        self._body += data

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Complete the body, or fail if it broke off."""
        if self.done.called:
            return
        # Without a length, only an orderly close shows that the body is whole.
        is_broken = getattr(self._connection, "is_broken", False)
        is_cut = is_broken and reason.check(http.PotentialDataLoss)
        if is_cut:
            self.done.errback(
                errors.TransportError("connection reset within the body")
            )
        elif reason.check(client.ResponseDone, http.PotentialDataLoss):
            self.done.callback(bytes(self._body))
        else:
            self.done.errback(reason)


def _abort(transport: Any) -> None:
    """Close the connection of a response body at once."""
    if transport is None:
        return
    producer = getattr(transport, "_producer", None)
    abort = getattr(producer, "abortConnection", None)
    if abort is not None:
        abort()
    else:
        transport.loseConnection()


class LineStream(protocol.Protocol):
    """Response body that is read line by line."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._buffer = bytearray()
        self._queued_bytes = 0
        self._lines: defer.DeferredQueue[bytes | None] = defer.DeferredQueue()
        self._closed = False
        self._is_paused = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Split received data into lines; abort if one is too long."""
        self._buffer += data
        if b"\n" in data:
            *lines, self._buffer = self._buffer.split(b"\n")
            for line in lines:
                self._queued_bytes += len(line)
                self._lines.put(bytes(line))
        if self._is_full:
            self._pause(True)
        if len(self._buffer) > MAX_LINE_BYTES:
            self.close()

    def connectionLost(self, reason: Any = protocol.connectionDone) -> None:  # noqa: N802
        """Mark the end of the stream."""
        if not self._closed:
            self._closed = True
            self._lines.put(None)

    @property
    def _is_full(self) -> bool:
        """Whether as much waits as may."""
        return (
            len(self._lines.pending) > MAX_QUEUED_LINES
            or self._queued_bytes > MAX_QUEUED_BYTES
        )

    async def next_line(self, timeout_s: float) -> bytes | None:
        """Wait for the next line.

        Args:
          timeout_s: Longest wait, seconds.

        Returns:
          The line without its line break, or None at the end of the stream.

        Raises:
          errors.ResponseTimeoutError: No line arrived in time.
        """
        waiting: defer.Deferred[bytes | None] = self._lines.get()
        waiting.addTimeout(timeout_s, self._clock)
        try:
            line = await waiting
        except (defer.TimeoutError, error.TimeoutError) as exc:
            raise errors.ResponseTimeoutError(
                f"stream made no progress in {timeout_s:.2f} s"
            ) from exc
        self._queued_bytes -= len(line or b"")
        if not self._is_full:
            self._pause(False)
        return line

    def _pause(self, is_paused: bool) -> None:
        """Stop reading from the connection, or go on."""
        if self._is_paused == is_paused or self.transport is None:
            return
        self._is_paused = is_paused
        if is_paused:
            self.transport.pauseProducing()
        elif not self._closed:
            self.transport.resumeProducing()

    def rest(self) -> bytes:
        """Return the data after the last complete line."""
        return bytes(self._buffer)

    def close(self) -> None:
        """Abort the connection."""
        if self._closed:
            return
        self._closed = True
        self._lines.put(None)
        _abort(self.transport)


class HttpClient:
    """Client of one server, identified by its base URL.

    A timeout closes all pooled connections to the server, since an open
    connection may have become unresponsive for good while new ones work.
    """

    def __init__(
        self,
        reactor: Any,
        base_url: str,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        headers: dict[str, str] | None = None,
    ) -> None:
        self._reactor = reactor
        self._base_url = base_url.rstrip("/")
        self._connect_timeout_s = connect_timeout_s
        self._headers = headers or {}
        self._agent, self._pool = self._new_agent()
        self._traffic_bytes = 0

    @property
    def traffic_bytes(self) -> int:
        """Approximate bytes of headers and complete bodies, both directions."""
        return self._traffic_bytes

    @property
    def base_url(self) -> str:
        """Base URL of the server."""
        return self._base_url

    def _new_agent(self) -> tuple[client.Agent, client.HTTPConnectionPool]:
        pool = client.HTTPConnectionPool(self._reactor, persistent=True)
        pool.maxPersistentPerHost = 16
        pool.cachedConnectionTimeout = 30
        pool.retryAutomatically = False
        agent = client.Agent.usingEndpointFactory(
            self._reactor,
            _LimitedEndpoints(self._reactor, self._connect_timeout_s),
            pool=pool,
        )
        return agent, pool

    def drop_connections(self) -> None:
        """Close the pooled connections and use new ones from now on."""
        pool = self._pool
        self._agent, self._pool = self._new_agent()
        pool.closeCachedConnections()

    async def check_connection(self) -> None:
        """Check that the server accepts a new connection.

        Raises:
          errors.ConnectError: It accepts none.
        """
        url = client.URI.fromBytes(self._base_url.encode())
        endpoint = endpoints.TCP4ClientEndpoint(
            self._reactor,
            url.host.decode(),
            url.port,
            timeout=self._connect_timeout_s,
        )
        factory: Any = protocol.Factory.forProtocol(protocol.Protocol)
        factory.noisy = False
        try:
            opened: Any = await endpoint.connect(factory)
        except error.ConnectingCancelledError as exc:
            raise defer.CancelledError from exc
        except error.ConnectError as exc:
            raise errors.ConnectError(f"{self._base_url}: {exc}") from exc
        opened.transport.loseConnection()

    async def request(
        self,
        method: str,
        path: str,
        *,
        json: Any = None,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> Response:
        """Send a request and read its complete response.

        Args:
          method: HTTP method.
          path: Path and query, starting with "/".
          json: Value to send as JSON instead of `body`.
          body: Raw body to send.
          headers: Headers in addition to those of the client.
          timeout_s: Longest wait for the complete response, seconds.

        Returns:
          The response, whatever its status.

        Raises:
          errors.ConnectError: The request was never sent.
          errors.ResponseTimeoutError: No complete response arrived in time.
          errors.TransportError: The connection broke, or the response is
            malformed.
        """

        async def _exchange() -> Response:
            response = await self._send(method, path, json, body, headers)
            body_of = _BodyCollector()
            response.deliverBody(body_of)
            data = await body_of.done
            raw = response.headers.getAllRawHeaders()
            self._traffic_bytes += len(data) + _head_bytes(raw)
            received = _last_header_values(response)
            if received.get("content-encoding") == "gzip":
                data = _decompress(data)
            return Response(response.code, received, data)

        return await self._with_timeout(_exchange(), timeout_s)

    async def stream(
        self,
        method: str,
        path: str,
        *,
        json: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> tuple[int, LineStream]:
        """Send a request and return the response's status and body stream.

        The arguments are those of `request`; the timeout covers the wait for
        the response head.

        Raises:
          errors.TransportError: As for `request`.
        """
        response = await self._with_timeout(
            self._send(method, path, json, None, headers), timeout_s
        )
        lines = LineStream(self._reactor)
        response.deliverBody(lines)
        return response.code, lines

    async def _send(
        self,
        method: str,
        path: str,
        json: Any,
        body: bytes | None,
        headers: dict[str, str] | None,
    ) -> Any:
        sent = http_headers.Headers()
        for name, value in {**self._headers, **(headers or {})}.items():
            sent.setRawHeaders(name, [value])
        if json is not None:
            body = msgspec.json.encode(json)
            sent.setRawHeaders("content-type", ["application/json"])
        producer = None if body is None else _BytesProducer(body)
        url = (self._base_url + path).encode()
        self._traffic_bytes += len(url) + len(body or b"")
        self._traffic_bytes += _head_bytes(sent.getAllRawHeaders())
        agent: Any = self._agent
        return await agent.request(method.encode(), url, sent, producer)

    async def _with_timeout(self, work: Awaitable[_T], timeout_s: float) -> _T:
        waiting: Any = defer.ensureDeferred(work)  # type: ignore[arg-type]
        timer = self._reactor.callLater(timeout_s, waiting.cancel)
        try:
            return await waiting  # type: ignore[no-any-return]
        except _REQUEST_ERRORS as exc:
            if not timer.active():
                self.drop_connections()
                raise errors.ResponseTimeoutError(
                    f"{self._base_url}: no response in {timeout_s:.2f} s"
                ) from exc
            raise self._translate(exc) from exc
        finally:
            if timer.active():
                timer.cancel()

    def _translate(self, exc: Exception) -> Exception:
        """Return the typed error of a failed request.

        Twisted may report a cancelled request as a failed response. It is
        translated back to a cancellation, so that it isn't taken for a failure
        of the server.
        """
        if _is_cancelled(exc):
            return defer.CancelledError()
        message = f"{self._base_url}: {_error_text(exc)}"
        if isinstance(exc, _NOT_SENT_ERRORS):
            return errors.ConnectError(message)
        return errors.TransportError(message)


_NOT_SENT_ERRORS = (
    error.ConnectError,
    error.TimeoutError,
    error.NoRouteError,
    error.DNSLookupError,
    client.RequestNotSent,  # type: ignore[attr-defined]
)
_REQUEST_ERRORS = (
    *_NOT_SENT_ERRORS,
    error.ConnectionLost,
    error.ConnectionDone,
    error.ConnectionAborted,
    client.ResponseFailed,
    client.RequestTransmissionFailed,
    defer.CancelledError,
)


def _is_cancelled(exc: Exception) -> bool:
    reasons = getattr(exc, "reasons", None) or ()
    return isinstance(exc, defer.CancelledError) or any(
        isinstance(r, failure.Failure) and r.check(defer.CancelledError)
        for r in reasons
    )


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj(wbits=zlib.MAX_WBITS | 16)
    try:
        plain = decompressor.decompress(data, MAX_BODY_BYTES + 1)
    except zlib.error as exc:
        raise errors.TransportError(f"malformed gzip body: {exc}") from exc
    if len(plain) > MAX_BODY_BYTES:
        raise errors.TransportError(
            f"decompressed body exceeds {MAX_BODY_BYTES} bytes"
        )
    if not decompressor.eof:
        raise errors.TransportError("gzip body ended early")
    return plain


def _head_bytes(headers: Any) -> int:
    return sum(
        len(name) + len(value) + 4
        for name, values in headers
        for value in values
    )


def _last_header_values(response: Any) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): values[-1].decode("latin-1")
        for name, values in response.headers.getAllRawHeaders()
    }


def _error_text(exc: Exception) -> str:
    reasons = getattr(exc, "reasons", None)
    if reasons and isinstance(reasons[0], failure.Failure):
        return str(reasons[0].getErrorMessage())
    return str(exc)
