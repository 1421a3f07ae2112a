"""Callers that were refused and come back; pure."""

from typing import NamedTuple

# How long a refused caller may take to come back, seconds: the longest
# deadline of the users' sheets.
RETENTION_S = 15.0


class FirstAttempt(NamedTuple):
    """When a caller came first, and until when it is in time."""

    requested_at: float
    in_time_by: float


class RefusedRequests:
    """First asks of those who were refused, by the content of their request."""

    def __init__(self) -> None:
        # In the order of the refusals, so that the oldest go first.
        self._first: dict[str, tuple[float, FirstAttempt]] = {}

    def __len__(self) -> int:
        return len(self._first)

    def record(self, now: float, content: str, first: FirstAttempt) -> None:
        """Keep when a caller that is refused came first."""
        self._expire(now)
        if content:
            self._first.pop(content, None)
            self._first[content] = (now, first)

    def take(self, now: float, content: str) -> FirstAttempt | None:
        """Return when a caller came first, if it was refused before."""
        self._expire(now)
        known = self._first.pop(content, None)
        return known[1] if known else None

    def _expire(self, now: float) -> None:
        while self._first:
            content, (refused_at, _) = next(iter(self._first.items()))
            if refused_at >= now - RETENTION_S:
                return
            del self._first[content]
