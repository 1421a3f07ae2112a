"""Notices when a transport has sent what was written to it."""

from collections.abc import Callable


class SentWatch:
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
