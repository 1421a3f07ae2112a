"""First attempts of refused requests, to recognize their retries; no I/O."""

from typing import NamedTuple

# Time for which the retry of a refused request is recognized, seconds: the
# longest deadline in the deployment's specification.
RETENTION_S = 15.0


class FirstAttempt(NamedTuple):
    """Times of a caller's first attempt.

    Attributes:
      requested_at: When the caller first sent the request.
      in_time_by: Latest time at which the first event is still in time.
    """

    requested_at: float
    in_time_by: float


class RefusedRequests:
    """First attempts of refused requests by the digest of their content."""

    def __init__(self) -> None:
        # By order of refusal, so that the oldest entries expire first.
        self._first_attempts: dict[str, tuple[float, FirstAttempt]] = {}

    def __len__(self) -> int:
        return len(self._first_attempts)

    def record(self, now: float, content: str, first: FirstAttempt) -> None:
        """Record the first attempt of a request that is refused now."""
        self._expire(now)
        if content:
            self._first_attempts.pop(content, None)
            self._first_attempts[content] = (now, first)

    def take(self, now: float, content: str) -> FirstAttempt | None:
        """Remove and return the first attempt of a refused request, or None."""
        self._expire(now)
        known = self._first_attempts.pop(content, None)
        return known[1] if known else None

    def _expire(self, now: float) -> None:
        while self._first_attempts:
            content, (refused_at, _) = next(iter(self._first_attempts.items()))
            if refused_at >= now - RETENTION_S:
                return
            del self._first_attempts[content]
