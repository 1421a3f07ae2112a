"""What backend servers ask of this host in their answers; no I/O."""

from collections.abc import Collection
from collections.abc import Iterable
import random

from nutmegscale import customers
from nutmegscale import server_limits

# Longest pause that is kept, seconds.
MAX_PAUSE_S = 600.0
# Time for which a leaving server is remembered after its entry is gone: a
# restored store may show the entry again, seconds.
LEAVING_RETENTION_S = 600.0
# Callers refused for a pause return over this time after its end, seconds.
RETURN_SPREAD_S = 0.4
# How much later calls of the next rank return, and the last priorities of a
# route and of a customer that count. The last rank returns 2.2 s after the
# first: callers of streams give up after two seconds or more.
RANK_STEP_S = 0.2
MAX_RANK = 3
MAX_CUSTOMER_PRIORITY = 2


class ServerNotices:
    """Limits, pauses and departures that servers stated.

    Servers are named by their keys. A departure holds for good, since a server
    that restarts has another key; a pause holds until its end, whatever the
    server answers meanwhile to requests that were on their way.

    Attributes:
      limits: Requests that servers take from all hosts.
    """

    def __init__(self) -> None:
        self.limits = server_limits.ServerLimits()
        self._leaving_since: dict[str, float] = {}
        self._paused_until: dict[str, float] = {}

    def record_leaving(self, now: float, server: str) -> bool:
        """Record that a server leaves, and return whether that is new."""
        is_new = server not in self._leaving_since
        self._leaving_since.setdefault(server, now)
        return is_new

    def is_leaving(self, server: str) -> bool:
        """Whether a server has said that it leaves."""
        return server in self._leaving_since

    def record_pause(self, now: float, server: str, pause_s: float) -> bool:
        """Record that a server wants no request for a time.

        Args:
          now: Current time, seconds.
          server: Key of the server.
          pause_s: The time, seconds; at most `MAX_PAUSE_S` counts.

        Returns:
          Whether this host was not paused by the server before.
        """
        until = now + min(pause_s, MAX_PAUSE_S)
        is_new = not self.is_paused(now, server)
        if until > self._paused_until.get(server, now):
            self._paused_until[server] = until
        return is_new

    def is_paused(self, now: float, server: str) -> bool:
        """Whether a server wants no request of this host now."""
        return self._paused_until.get(server, 0.0) > now

    def return_after_s(
        self,
        now: float,
        servers: Iterable[str],
        *,
        priority: int,
        rng: random.Random,
    ) -> float:
        """Return when a caller may be served again by paused servers.

        Callers return spread over a time, so that the servers aren't met by all
        of them at once, and calls of an earlier rank return before the others.

        Args:
          now: Current time, seconds.
          servers: Keys of the servers, at least one.
          priority: Rank of the call; 0 goes first.
          rng: Source of random numbers.

        Returns:
          The time from now, seconds.
        """
        ends = min(self._paused_until.get(server, now) for server in servers)
        later_s = RANK_STEP_S * _return_step(priority)
        return max(0.0, ends - now) + later_s + rng.uniform(0, RETURN_SPREAD_S)

    def keep_only(self, now: float, servers: Collection[str]) -> None:
        """Forget the other servers, departures only after some time.

        Pauses are kept to their end: an entry may be missing for a moment.

        Args:
          now: Current time, seconds.
          servers: Keys of the registered servers.
        """
        self.limits.keep_only(now, servers)
        self._paused_until = {
            key: until
            for key, until in self._paused_until.items()
            if until > now
        }
        self._leaving_since = {
            key: since
            for key, since in self._leaving_since.items()
            if key in servers or now - since < LEAVING_RETENTION_S
        }


def _return_step(rank: int) -> int:
    """Return after how many steps the calls of a rank return.

    The customer's priority goes first, the route's decides among its calls.
    """
    customer, route = customers.split_rank(rank)
    first = min(customer, MAX_CUSTOMER_PRIORITY) * (MAX_RANK + 1)
    return first + min(route, MAX_RANK)
