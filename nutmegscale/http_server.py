"""HTTP server: dispatch to a coroutine handler, and JSON replies."""

from collections.abc import Awaitable
from collections.abc import Callable
import io
from typing import Any
from typing import NamedTuple

import msgspec
from twisted.internet import defer
from twisted.web import resource
from twisted.web import server

JSON_TYPE = "application/json"
MAX_BODY_BYTES = 4 << 20


class Reply(NamedTuple):
    """A complete reply of a handler."""

    status: int
    body: bytes = b""
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


class MemoryRequest(server.Request):
    """Request whose body is kept in memory and truncated at MAX_BODY_BYTES.

    Twisted would store larger bodies in temporary files, but entry hosts have
    no disks.

    Attributes:
      is_too_large: Whether the body is longer than the limit.
    """

    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Prepare to receive a body; see `http.Request`."""
        self.content = io.BytesIO()
        if length is not None and length > MAX_BODY_BYTES:
            self.is_too_large = True

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body; see `http.Request`."""
        content = self.content
        assert content is not None
        if self.is_too_large or content.tell() + len(data) > MAX_BODY_BYTES:
            self.is_too_large = True
            return
        content.write(data)


def make_site(handler: "Handler", on_error: "ErrorReply") -> server.Site:
    """Create the HTTP site of a handler."""
    site = server.Site(Endpoint(handler, on_error))
    site.requestFactory = MemoryRequest
    return site


class Call(NamedTuple):
    """A received request with its body.

    Attributes:
      method: HTTP method.
      path: Decoded path segments.
      body: Body; truncated if it is too large.
      request: The underlying request, for streamed replies.
      disconnected: Fires if the connection is lost before the reply ends.
      is_too_large: Whether the body was longer than MAX_BODY_BYTES.
    """

    method: str
    path: list[str]
    body: bytes
    request: server.Request
    disconnected: defer.Deferred[None]
    is_too_large: bool = False

    def header(self, name: str) -> str | None:
        """Return a request header, or None."""
        value = self.request.getHeader(name)
        return value if value is None else str(value)

    def query(self, name: str, default: str = "") -> str:
        """Return a query argument, or the default."""
        values = (self.request.args or {}).get(name.encode())
        return values[0].decode() if values else default


Handler = Callable[[Call], Awaitable[Reply | None]]
ErrorReply = Callable[[Exception], Reply]


def json_reply(
    status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
) -> Reply:
    """Create a reply with a JSON body."""
    return Reply(status, msgspec.json.encode(value), JSON_TYPE, headers)


class Endpoint(resource.Resource):
    """Resource that passes every request to one coroutine handler."""

    isLeaf = True  # noqa: N815

    def __init__(
        self, handler: Handler, on_error: Callable[[Exception], Reply]
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._handler = handler
        self._on_error = on_error

    def render(self, request: server.Request) -> Any:
        """Start the handler; its reply is written when it returns."""
        disconnected: defer.Deferred[None] = defer.Deferred()
        ended: defer.Deferred[None] = request.notifyFinish()
        ended.addErrback(lambda _: disconnected.callback(None))
        parts: list[bytes] = request.postpath or []
        path = [part.decode("utf-8", "replace") for part in parts]
        body = request.content.read() if request.content else b""
        too_large = bool(getattr(request, "is_too_large", False))
        call = Call(
            request.method.decode(),
            path,
            body,
            request,
            disconnected,
            too_large,
        )
        defer.ensureDeferred(self._run(call))
        return server.NOT_DONE_YET

    async def _run(self, call: Call) -> None:
        try:
            reply = await self._handler(call)
        except Exception as exc:
            reply = self._on_error(exc)
        if reply is None or call.disconnected.called:
            return
        write_reply(call.request, reply)


def write_reply(request: server.Request, reply: Reply) -> None:
    """Write a complete reply and finish the request."""
    request.setResponseCode(reply.status)
    request.setHeader("content-type", reply.content_type)
    request.setHeader("content-length", str(len(reply.body)))
    for name, value in reply.headers:
        request.setHeader(name, value)
    request.write(reply.body)
    request.finish()
