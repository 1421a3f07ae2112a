"""Non-blocking output of log lines, with a limit on their rate."""

from collections import deque
from collections.abc import Callable
import os
from typing import Any

import structlog

# Log lines per second, not counting those of failures. A host writes about 15
# at its typical load.
MAX_LINES_PER_S = 100
# Most bytes that are buffered for a stalled reader; lines beyond are dropped.
MAX_BUFFERED_BYTES = 1 << 20
FAILURE_EVENTS = frozenset({"request_failed", "log_lines_left_out"})
FAILURE_LEVELS = frozenset({"warning", "error", "critical"})


class LogSink:
    """Writes lines to a non-blocking descriptor through a bounded buffer."""

    def __init__(
        self,
        descriptor: int,
        *,
        write: Callable[[int, bytes], int] = os.write,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self._descriptor = descriptor
        self._write = write
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Number of dropped lines that haven't been reported yet."""
        return self._dropped

    def write(self, text: str) -> int:
        """Write a line, or buffer it while the reader is stalled.

        A line that exceeds the buffer is dropped.

        Returns:
          The number of characters, as `io.TextIOBase.write` does.
        """
        data = text.encode("utf-8", "backslashreplace")
        if self._buffered_bytes + len(data) > self._max_buffered_bytes:
            self._dropped += 1
        else:
            self._buffer.append(data)
            self._buffered_bytes += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts."""
        while self._buffer:
            data = self._buffer[0]
            try:
                written = self._write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the log, so this can't be logged.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
            if self._dropped and not self._buffer:
                self._report_dropped()

    def _report_dropped(self) -> None:
        count, self._dropped = self._dropped, 0
        self.write(f"level=warning event=log_lines_left_out count={count}\n")


class LineLimit:
    """Processor of structlog that drops lines beyond a rate.

    Lines of failures are never dropped. The number of dropped lines is reported
    once the next second begins.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        *,
        max_lines_per_s: int = MAX_LINES_PER_S,
        on_dropped: Callable[[int], None] = lambda count: None,
    ) -> None:
        self._clock = clock
        self._max_lines_per_s = max_lines_per_s
        self._on_dropped = on_dropped
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def __call__(
        self, logger: Any, method: str, event: structlog.typing.EventDict
    ) -> structlog.typing.EventDict:
        """Return the event unchanged.

        Raises:
          structlog.DropEvent: The limit of this second is reached.
        """
        self._start_second(int(self._clock()))
        is_failure = (
            event.get("event") in FAILURE_EVENTS
            or event.get("level", method) in FAILURE_LEVELS
        )
        if is_failure:
            return event
        if self._lines >= self._max_lines_per_s:
            self._dropped += 1
            raise structlog.DropEvent
        self._lines += 1
        return event

    def _start_second(self, second: int) -> None:
        if second == self._second:
            return
        self._second, self._lines = second, 0
        count, self._dropped = self._dropped, 0
        if count:
            self._on_dropped(count)
