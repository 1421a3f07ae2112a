"""Server-sent events: whole ones, and the id of the last."""


class EventSplitter:
    """Splits a body into whole events."""

    def __init__(self) -> None:
        self._rest = b""
        self._last_id = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that isn't whole yet."""
        return self._rest

    @property
    def last_id(self) -> bytes:
        """Id of the last whole event that has one."""
        return self._last_id

    def feed(self, data: bytes) -> bytes:
        """Take in bytes and return those of the events that are now whole."""
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
        """Count the events in bytes that `feed` returned."""
        return complete.count(b"\n\n")
