"""One host's share of the retry budget of a service."""

from collections import deque

# Fraction of the budget that is used, so that hosts whose windows differ don't
# exceed the budget together.
USED_FRACTION = 0.7


class RetryShare:
    """Retries that this host may send to one service; does no I/O.

    The budget of all hosts is a ratio of the requests in a sliding window plus
    a fixed number. Each host applies the ratio to its own requests, takes an
    equal share of the fixed number, and uses USED_FRACTION of the sum. The
    number of hosts that share never falls: one that became silent may be cut
    off and still use its share. A host that doesn't know the others yet has
    no share of the fixed number.
    """

    def __init__(
        self, *, ratio: float, extra: float, window_s: float, hosts: int = 0
    ) -> None:
        """Initialize the share.

        Args:
          ratio: Retries allowed per request.
          extra: Retries allowed beyond that in each window, over all hosts.
          window_s: Length of the sliding window, seconds.
          hosts: Number of hosts that share the budget; 0 if unknown.
        """
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._hosts = hosts
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    @property
    def hosts(self) -> int:
        """Number of hosts that share the budget; 0 if unknown."""
        return self._hosts

    def add_hosts(self, hosts: int) -> None:
        """Set how many hosts are known to share the budget, if it is more."""
        self._hosts = max(self._hosts, hosts)

    def set_limits(
        self, *, ratio: float, extra: float, window_s: float
    ) -> None:
        """Change the limits; recorded requests and retries are kept."""
        self._ratio, self._extra, self._window_s = ratio, extra, window_s

    def record_request(self, now: float) -> None:
        """Record a caller's request to the service."""
        self._requests.append(now)
        self._drop_expired(now)

    def remaining(self, now: float) -> float:
        """Return how much of the share is left, in retries.

        The result may be fractional or negative; a retry needs at least 1.
        """
        self._drop_expired(now)
        fixed = self._extra / self._hosts if self._hosts else 0.0
        allowed = self._ratio * len(self._requests) + fixed
        return USED_FRACTION * allowed - len(self._retries)

    def take(self, now: float) -> bool:
        """Take a retry from the share; return False if less than 1 is left."""
        if self.remaining(now) < 1.0:
            return False
        self._retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_s:
                times.popleft()
