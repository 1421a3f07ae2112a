"""Splitting of streams of server-sent events."""


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
        """Add received data and return the bytes of newly complete events."""
        data = self._rest + data
        end = data.rfind(b"\n\n")
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
