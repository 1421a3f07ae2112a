"""One host's share of the retry budget of a service."""

from typing import NamedTuple

# Part of the fixed number that may be used at once; the rest is added at a
# constant rate over the window.
BURST_FRACTION = 0.5


class Limits(NamedTuple):
    """Retry budget of a service, over all hosts.

    Attributes:
      ratio: Retries allowed per request.
      extra: Retries allowed beyond that in each window.
      window_s: Length of the window, seconds.
    """

    ratio: float
    extra: float
    window_s: float


class RetryShare:
    """Retries that this host may send to one service; does no I/O.

    Answers retries that pile up while servers fail, also while hosts can't
    hear each other or restart. The share is a token bucket: requests fill it by
    the ratio, and the host's part of the fixed number fills it by its burst and
    a constant rate. It is empty at the start, so that a host and those that ran
    before it under its name fill no more than one host. In any window, all
    hosts together then take at most the ratio of the requests in that window
    plus the fixed number.

    A retry counts until it must have arrived: what is taken and not yet used
    limits how much the bucket holds.

    The number of hosts that share never falls: one that became silent may be
    cut off and still use its share. A host that doesn't know the others yet has
    no share of the fixed number; its bucket holds one retry.
    """

    def __init__(self, limits: Limits, *, now: float, hosts: int = 0) -> None:
        """Create an empty share.

        Args:
          limits: Budget of all hosts.
          now: Since when it fills, seconds.
          hosts: Number of hosts that share the budget; 0 if unknown.
        """
        self._limits = limits
        self._hosts = hosts
        self._tokens = 0.0
        self._in_flight = 0
        self._filled_at = now

    @property
    def hosts(self) -> int:
        """Number of hosts that share the budget; 0 if unknown."""
        return self._hosts

    def add_hosts(self, now: float, hosts: int) -> None:
        """Set how many hosts are known to share the budget, if it is more."""
        self._refill(now)
        self._hosts = max(self._hosts, hosts)

    def set_limits(self, now: float, limits: Limits) -> None:
        """Change the limits; what the bucket holds is kept within them."""
        self._refill(now)
        self._limits = limits

    def record_request(self, now: float) -> None:
        """Record a caller's request to the service."""
        self._refill(now)
        self._add(self._limits.ratio)

    def remaining(self, now: float) -> float:
        """Return how much of the share is left, in retries.

        The result may be fractional; a retry needs at least 1.
        """
        self._refill(now)
        return self._tokens

    def take(self, now: float) -> bool:
        """Take a retry from the share; return False if less than 1 is left.

        Each retry taken must later be reported by `use` or `give_back`.
        """
        if self.remaining(now) < 1.0:
            return False
        self._tokens -= 1.0
        self._in_flight += 1
        return True

    def use(self) -> None:
        """Report that a retry arrived, or can't arrive any more."""
        self._in_flight -= 1

    def give_back(self) -> None:
        """Report that a retry wasn't sent."""
        self._in_flight -= 1
        self._add(1.0)

    @property
    def _fixed(self) -> float:
        return self._limits.extra / self._hosts if self._hosts else 0.0

    @property
    def _capacity(self) -> float:
        return max(1.0, BURST_FRACTION * self._fixed)

    def _refill(self, now: float) -> None:
        rate = (1.0 - BURST_FRACTION) * self._fixed / self._limits.window_s
        passed_s, self._filled_at = now - self._filled_at, now
        self._add(rate * passed_s)

    def _add(self, tokens: float) -> None:
        room = max(0.0, self._capacity - self._in_flight)
        self._tokens = min(room, self._tokens + tokens)
