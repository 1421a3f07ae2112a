"""Permits to send requests to servers with a limit; does no I/O."""

from collections import deque
from collections.abc import Collection
from collections.abc import Sequence
import math

# Time for which an unused permit is valid, seconds. Permits given out within
# this time may be used together, which a limit must tolerate.
PERMIT_TTL_S = 1.5
# Time within which an allocator answers, seconds.
REPLY_TIMEOUT_S = 0.5
# Span of past requests from which is estimated how many permits can be used,
# and the part of it for which permits are asked at once, seconds.
DEMAND_S = 1.0
PREFETCH_S = 0.25
MAX_WANTED = 64


class _ServerPermits:
    """Permits, demand and asked allocators of one server; times in seconds.

    Attributes:
      expiries: When each permit expires, ascending.
      demands: When requests could have used a permit.
      no_reply_until: End of the wait for each allocator that was asked.
      ask_after: When each allocator that gave no permits is to be asked again.
      received: When permits were received.
      queued: Number of queued requests that could use a permit.
      queued_at: When that number was recorded.
    """

    def __init__(self) -> None:
        self.expiries: deque[float] = deque()
        self.demands: deque[float] = deque(maxlen=4 * MAX_WANTED)
        self.no_reply_until: dict[str, float] = {}
        self.ask_after: dict[str, float] = {}
        self.received: deque[float] = deque(maxlen=4 * MAX_WANTED)
        self.queued = 0
        self.queued_at = -math.inf


class SendPermits:
    """Permits that this host holds, and which allocators it asks for more.

    Allocators are asked one after the other, each once the time has passed
    after which it is to be asked again.
    """

    def __init__(self) -> None:
        self._servers: dict[str, _ServerPermits] = {}

    def _of(self, server: str) -> _ServerPermits:
        return self._servers.setdefault(server, _ServerPermits())

    def count(self, now: float, server: str, *, min_age_s: float = 0.0) -> int:
        """Return the number of valid permits for a server.

        Args:
          now: Current time, seconds.
          server: The server.
          min_age_s: Age from which permits count.
        """
        expiries = self._of(server).expiries
        while expiries and expiries[0] <= now:
            expiries.popleft()
        latest = now + PERMIT_TTL_S - min_age_s
        return sum(expiry <= latest for expiry in expiries)

    def add(self, now: float, server: str, count: int) -> None:
        """Add permits for a server."""
        known = self._of(server)
        count = min(count, MAX_WANTED)
        known.expiries.extend([now + PERMIT_TTL_S] * count)
        known.received.extend([now] * count)

    def take(self, now: float, server: str) -> bool:
        """Use a permit for a server; return False if there is none."""
        if not self.count(now, server):
            return False
        self._of(server).expiries.popleft()
        return True

    def give_back(self, now: float, server: str) -> None:
        """Return a permit whose request wasn't sent."""
        self._of(server).expiries.append(now + PERMIT_TTL_S)

    def record_demand(self, now: float, server: str) -> None:
        """Record a request that could use a permit for a server."""
        self._of(server).demands.append(now)

    def record_queue(self, now: float, server: str, queued: int) -> None:
        """Record how many queued requests could use a permit for a server."""
        known = self._of(server)
        known.queued, known.queued_at = queued, now

    def has_demand(self, now: float, server: str) -> bool:
        """Whether a request could have used a permit lately."""
        known = self._of(server)
        last = known.demands[-1] if known.demands else -math.inf
        return now - max(last, known.queued_at) < DEMAND_S

    def wanted(self, now: float, server: str) -> int:
        """Return how many permits for a server can be used at once."""
        known = self._of(server)
        recent = sum(now - at < DEMAND_S for at in known.demands)
        is_queued = now - known.queued_at < PREFETCH_S
        wanted = max(
            math.ceil(recent * PREFETCH_S), known.queued if is_queued else 0
        )
        return max(1, min(MAX_WANTED, wanted))

    def received_per_s(self, now: float, server: str, span_s: float) -> float:
        """Return the permits received a second over the last seconds."""
        received = self._of(server).received
        return sum(now - at < span_s for at in received) / span_s

    def next_allocator(
        self, now: float, server: str, allocators: Sequence[str]
    ) -> str | None:
        """Return the allocator to ask now, and expect its reply.

        Args:
          now: Current time, seconds.
          server: The server.
          allocators: Its allocators, the preferred ones first.
        """
        known = self._of(server)
        if self.count(now, server) >= self.wanted(now, server):
            return None
        for host in allocators:
            if now < known.no_reply_until.get(host, 0.0):
                return None
            if now < known.ask_after.get(host, 0.0):
                continue
            known.no_reply_until[host] = now + REPLY_TIMEOUT_S
            # One that doesn't reply is asked last.
            known.ask_after[host] = now + REPLY_TIMEOUT_S + PERMIT_TTL_S
            return host
        return None

    def record_reply(
        self, now: float, server: str, allocator: str, wait_s: float
    ) -> None:
        """Record the reply of an allocator.

        Args:
          now: Current time, seconds.
          server: The server.
          allocator: Host that replied.
          wait_s: Time after which it is to be asked again, seconds.
        """
        known = self._of(server)
        known.no_reply_until.pop(allocator, None)
        known.ask_after[allocator] = now + wait_s

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget all other servers."""
        self._servers = {
            key: known for key, known in self._servers.items() if key in servers
        }
