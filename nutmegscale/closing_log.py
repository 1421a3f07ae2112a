"""Logs and counts the connections that are closed to free resources."""

from collections.abc import Callable
from typing import Protocol

from nutmegscale import logs

# Lines per second. A crowd of callers that ignore limits is closed by hundreds
# a second; other events would be left out of the log.
MAX_LINES_PER_S = 5


class Counter(Protocol):
    """Metrics of the closings."""

    def record_closing(self, reason: str) -> None:
        """Count a connection that was closed for a reason."""
        ...


class ClosingLog:
    """Log of closings, with a limit on its lines; each closing is counted.

    Args:
      port: Name of the port, for the log.
      counter: Metrics of the closings.
      now: Returns monotonic time, seconds.
    """

    def __init__(
        self, port: str, counter: Counter, now: Callable[[], float]
    ) -> None:
        self._port = port
        self._counter = counter
        self._now = now
        self._second = 0
        self._lines = 0
        self._left_out = 0

    def record(self, reason: str, held_bytes: int) -> None:
        """Record a closing.

        Args:
          reason: Why the connection was closed.
          held_bytes: Memory that it held, bytes.
        """
        self._counter.record_closing(reason)
        second = int(self._now())
        if second != self._second:
            self._second, self._lines = second, 0
        if self._lines >= MAX_LINES_PER_S:
            self._left_out += 1
            return
        self._lines += 1
        left_out, self._left_out = self._left_out, 0
        logs.get().info(
            "connection_closed",
            port=self._port,
            reason=reason,
            held_bytes=held_bytes,
            left_out=left_out,
        )
