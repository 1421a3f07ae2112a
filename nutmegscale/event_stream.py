"""Splitting of streams of server-sent events."""

from nutmegscale import errors

# Longest event. One event may hold several tokens; the longest answers of a
# model have some hundred KB in all.
MAX_EVENT_BYTES = 256 << 10
# Longest part of an event that an error names, bytes.
MAX_QUOTED_BYTES = 40


class EventSplitter:
    """Splits a response body into complete events and tracks their ids."""

    def __init__(self) -> None:
        self._rest = bytearray()
        self._last_id = b""

    @property
    def rest(self) -> bytes:
        """Bytes of an event that isn't complete yet."""
        return bytes(self._rest)

    @property
    def last_id(self) -> bytes:
        """Id of the last complete event that has one; empty if none."""
        return self._last_id

    def feed(self, data: bytes) -> bytes:
        """Add received data and return the bytes of newly complete events.

        Raises:
          errors.MalformedAnswerError: An event is too long.
        """
        # Only what is new is searched: an event may come in parts of a byte.
        searched_from = max(0, len(self._rest) - 1)
        self._rest += data
        end = self._rest.rfind(b"\n\n", searched_from)
        unfinished = len(self._rest) - (end + 2 if end >= 0 else 0)
        if unfinished > MAX_EVENT_BYTES:
            raise errors.MalformedAnswerError(
                f"event of {unfinished} bytes or more, expected at most "
                f"{MAX_EVENT_BYTES}"
            )
        if end < 0:
            return b""
        complete = bytes(self._rest[: end + 2])
        del self._rest[: end + 2]
        for line in complete.split(b"\n"):
            if line.startswith(b"id:"):
                self._last_id = line[3:].strip()
        return complete

    @staticmethod
    def check_continues(complete: bytes, after: bytes) -> None:
        """Check that events follow one that was forwarded.

        Args:
          complete: Bytes returned by `feed`.
          after: Id of the last event that was forwarded.

        Raises:
          errors.ResumptionError: An event has no id, or its number isn't higher
            than that of the event before it.
        """
        for event in complete.split(b"\n\n")[:-1]:
            lines = event.split(b"\n")
            if all(line.startswith(b":") for line in lines):
                continue
            ids = [line[3:].strip() for line in lines if line[:3] == b"id:"]
            if not ids:
                raise errors.ResumptionError(
                    f"event {event[:MAX_QUOTED_BYTES]!r} has no id, expected "
                    f"one after {after!r}"
                )
            if not _is_higher(ids[-1], after):
                raise errors.ResumptionError(
                    f"event {ids[-1]!r} doesn't follow event {after!r}"
                )
            after = ids[-1]

    @staticmethod
    def count(complete: bytes) -> int:
        """Count the events in bytes returned by `feed`."""
        return complete.count(b"\n\n")


def _is_higher(event_id: bytes, after: bytes) -> bool:
    """Whether the id of an event may follow another id.

    Ids that aren't numbers have no known order, but differ.
    """
    if event_id.isdigit() and after.isdigit():
        known, found = after.lstrip(b"0"), event_id.lstrip(b"0")
        return (len(found), found) > (len(known), known)
    return event_id != after
