"""This host's share of a retry budget that all hosts keep together."""

from collections import deque

# Share of the budget that is used, so that hosts whose views of each other
# differ for a while don't spend more than the whole together.
USED_FRACTION = 0.7


class RetryShare:
    """Repeats that this host may send to one service; pure.

    The budget is a ratio of the requests of a sliding window plus a fixed
    number, over all hosts. Each host uses its own requests for the ratio and
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
        """Take over changed limits; what was counted stays."""
        self._ratio, self._extra, self._window_s = ratio, extra, window_s

    def record_request(self, now: float) -> None:
        """Note a caller's request for the service."""
        self._requests.append(now)
        self._drop_expired(now)

    def remaining(self, now: float) -> float:
        """Return how many repeats may still be sent now."""
        self._drop_expired(now)
        allowed = self._ratio * len(self._requests) + self._extra / self._hosts
        return USED_FRACTION * allowed - len(self._retries)

    def take(self, now: float) -> bool:
        """Take a repeat from the share; False when it is spent."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
