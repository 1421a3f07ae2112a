"""Splitting of streams of server-sent events."""

from nutmegscale import errors

# Longest event. One event may hold several tokens; the longest answers of a
# model have some hundred KB in all.
MAX_EVENT_BYTES = 256 << 10


class EventSplitter:
    """Splits a response body into complete events and tracks their ids."""

    def __init__(self) -> None:
        self._rest = b""
        self._last_id = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that isn't complete yet."""
        return self._rest

    @property
    def last_id(self) -> bytes:
        """Id of the last complete event that has one; empty if none."""
        return self._last_id

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the bytes of newly complete events.

        Raises:
          errors.MalformedAnswerError: An event is too long.
        """
        data = self._rest + data
        end = data.rfind(b"\n\n")
        unfinished = len(data) - (end + 2 if end >= 0 else 0)
        if unfinished > MAX_EVENT_BYTES:
            raise errors.MalformedAnswerError(
                f"event of {unfinished} bytes or more, expected at most "
                f"{MAX_EVENT_BYTES}"
            )
        if end < 0:
            self._rest = data
            return b""
        complete, self._rest = data[: end + 2], data[end + 2 :]
        for line in complete.split(b"\n"):
            if line.startswith(b"id:"):
                self._last_id = line[3:].strip()
        return complete

    @staticmethod
    def count(complete: bytes) -> int:
        """Count the events in bytes returned by `feed`."""
        return complete.count(b"\n\n")
