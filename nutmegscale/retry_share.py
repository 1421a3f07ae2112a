"""One host's share of a retry budget that all hosts share."""

from collections import deque

# Fraction of the budget that is used, so that hosts whose views of each other
# differ for a while don't exceed the budget together.
USED_FRACTION = 0.7


class RetryShare:
    """Retries that this host may send to one service; does no I/O.

    The budget of all hosts is a ratio of the requests in a sliding window plus
    a fixed number. Each host applies the ratio to its own requests and takes
    an equal share of the fixed number.
    """

    def __init__(
        self, *, ratio: float, extra: float, window_s: float, hosts: int
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._hosts = max(1, hosts)
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def set_hosts(self, hosts: int) -> None:
        """Set how many hosts share the budget."""
        self._hosts = max(1, hosts)

    def set_limits(
        self, *, ratio: float, extra: float, window_s: float
    ) -> None:
        """Change the limits; the counts are kept."""
        self._ratio, self._extra, self._window_s = ratio, extra, window_s

    def record_request(self, now: float) -> None:
        """Record a caller's request to the service."""
        self._requests.append(now)
        self._drop_expired(now)

    def remaining(self, now: float) -> float:
        """Return how many more retries may be sent now."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + self._extra / self._hosts
        return USED_FRACTION * allowed - len(self._retries)

    def take(self, now: float) -> bool:
        """Take a retry from the share; return False if it is used up."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
