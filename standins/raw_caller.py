"""Connection of a caller that records everything it receives."""

from typing import Any

import httptools
from twisted.internet import protocol


class Reply:
    """Answer as far as a caller has received it."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = b""
        self.is_complete = False
        self.is_closed = False


class Caller(protocol.Protocol):
    """One connection of a caller.

    Attributes:
      replies: Answers received, the latest possibly incomplete.
      received: All bytes received.
      is_closed: Whether the host closed the connection.
      is_closed_unanswered: Whether it closed before any answer began.
    """

    transport: Any

    def __init__(self) -> None:
        self.replies: list[Reply] = []
        self._parser = httptools.HttpResponseParser(self)
        self.received = b""
        self.is_closed = False
        self.is_closed_unanswered = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes."""
        self.received += data
        self._parser.feed_data(data)

    def forget_answer(self) -> None:
        """Expect a new answer, as after one to HEAD that has no body."""
        self._parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; see httptools."""
        self.replies[-1].headers[name.lower()] = value

    def on_message_begin(self) -> None:
        """Start a reply; see httptools."""
        self.replies.append(Reply())

    def on_headers_complete(self) -> None:
        """Record the status; see httptools."""
        self.replies[-1].status = self._parser.get_status_code()

    def on_body(self, body: bytes) -> None:
        """Record a part of the body; see httptools."""
        self.replies[-1].body += body

    def on_message_complete(self) -> None:
        """Record the end; see httptools."""
        self.replies[-1].is_complete = True

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Record that the host closed the connection."""
        self.is_closed = True
        self.is_closed_unanswered = not self.replies
        for reply in self.replies:
            reply.is_closed = True
