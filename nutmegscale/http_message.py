"""Heads of HTTP/1.1 messages and handling of hop-by-hop headers."""

from collections.abc import Iterable
from typing import NamedTuple

Header = tuple[bytes, bytes]

# Hop-by-hop headers of RFC 9110 section 7.6.1, and the framing headers that
# each hop sets itself.
_HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class RequestHead(NamedTuple):
    """Head of a request.

    Attributes:
      method: Method as sent.
      target: Path and query as sent.
      headers: Names and values as sent, in order.
    """

    method: bytes
    target: bytes
    headers: tuple[Header, ...]

    @property
    def path(self) -> bytes:
        """Request target without the query."""
        return self.target.partition(b"?")[0]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; `name` is in lower case."""
        return find_header(self.headers, name)

    def count(self, name: bytes) -> int:
        """Count the occurrences of a header; `name` is in lower case."""
        return sum(n.lower() == name for n, _ in self.headers)


class ResponseHead(NamedTuple):
    """Head of a response.

    Attributes:
      status: Status code.
      headers: Names and values as sent, in order.
    """

    status: int
    headers: tuple[Header, ...]

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; `name` is in lower case."""
        return find_header(self.headers, name)


def may_have_body(status: int) -> bool:
    """Whether a final answer of a status has a body and its framing."""
    return status not in (204, 304)


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header; `name` is in lower case."""
    for sent, value in headers:
        if sent.lower() == name:
            return value
    return None


def end_to_end_headers(
    headers: tuple[Header, ...], exclude: frozenset[bytes] = frozenset()
) -> list[Header]:
    """Return the headers to forward.

    Args:
      headers: Headers as received.
      exclude: Further names to exclude, in lower case.

    Returns:
      All headers except the hop-by-hop headers, those named in the Connection
      header and the excluded ones.
    """
    connection_options = set()
    for name, value in headers:
        if name.lower() == b"connection":
            connection_options |= {
                word.strip().lower() for word in value.split(b",")
            }
    excluded = _HOP_BY_HOP_HEADERS | exclude | connection_options
    return [(n, v) for n, v in headers if n.lower() not in excluded]


def encode_request_head(head: RequestHead, body_bytes: int) -> bytes:
    """Return the bytes of a request's head with its Content-Length.

    GET, HEAD and DELETE requests without a body get no Content-Length.

    Args:
      head: The head.
      body_bytes: Length of the body.
    """
    lines = [head.method + b" " + head.target + b" HTTP/1.1"]
    # No longer than the caller sent it: a server may limit the length as well.
    lines += [
        name + (b": " + value if value else b":")
        for name, value in head.headers
    ]
    if body_bytes or head.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Return the bytes of a response head."""
    reason = REASON_PHRASES.get(status, b"Status")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines += [name + b": " + value for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
