"""Sends a request to a server part by part, as the server reads it."""

from collections.abc import Callable
from typing import Any

# Most bytes of a body that the transport is given before it has sent them. The
# transport copies them; the rest of the body isn't copied.
PART_BYTES = 256 << 10


class RequestSender:
    """Pull producer that writes a request to a transport.

    A transport asks it for data once when it is registered, and again each time
    when it has sent what was written.
    """

    def __init__(
        self,
        transport: Any,
        head: bytes,
        body: bytes,
        *,
        on_sent: Callable[[], None],
    ) -> None:
        """Create the producer; nothing is sent yet.

        Args:
          transport: Transport of a connection without another producer.
          head: Head of the request.
          body: Its body; may be empty.
          on_sent: Called when the transport has sent all of a request with a
            body.
        """
        self._transport = transport
        self._head = head
        self._body = body
        self._on_sent = on_sent
        self._offset = 0
        self._is_registered = False

    def start(self) -> None:
        """Write the head and the first part of the body."""
        self._offset = min(PART_BYTES, len(self._body))
        self._transport.write(self._head + self._body[: self._offset])
        if self._body:
            self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Write the next part; see twisted's IPullProducer."""
        if not self._is_registered:
            self._is_registered = True
        elif self._offset < len(self._body):
            end = self._offset + PART_BYTES
            part = self._body[self._offset : end]
            self._offset = end
            self._transport.write(part)
        else:
            self._transport.unregisterProducer()
            self._body = b""
            self._on_sent()

    def stopProducing(self) -> None:  # noqa: N802
        """Drop what isn't sent: the connection is lost."""
        self._body = b""
