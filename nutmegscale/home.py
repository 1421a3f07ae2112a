"""Claims of exchanges on their home hosts, to avoid running one twice.

The first two hosts in the rendezvous order of an exchange are its home hosts.
The first one decides on a claim and copies it to the second one, if reachable,
before it answers, so that the claim survives the loss of either host.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_CLAIMS = 20_000
RUNNING_TTL_S = 300.0
FINISHED_TTL_S = 90.0


class Claim(NamedTuple):
    """Claim of a host to serve an exchange.

    Attributes:
      host: Host that serves it.
      attempt: Number of its attempt, unique on that host until it restarts.
      finished: Whether the attempt ended with a complete answer, which that
        host caches.
      expires: Time at which the claim expires, seconds (monotonic clock).
    """

    host: str
    attempt: int
    finished: bool
    expires: float


class Home:
    """Claims that one host stores as a home host; does no I/O."""

    def __init__(self, *, capacity: int = MAX_CLAIMS) -> None:
        self._claims: OrderedDict[str, Claim] = OrderedDict()
        self._capacity = capacity

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, now: float, exchange: str) -> Claim | None:
        """Return the claim in force, or None."""
        claim = self._claims.get(exchange)
        if claim is None or claim.expires <= now:
            return None
        return claim

    def claim(
        self,
        now: float,
        exchange: str,
        host: str,
        attempt: int,
        *,
        replaces: tuple[str, int] = ("", 0),
    ) -> Claim:
        """Claim an exchange unless another claim is in force.

        Args:
          now: Monotonic time in seconds.
          exchange: Name of the exchange.
          host: Host that wants to serve it.
          attempt: Number of its attempt.
          replaces: Host and attempt whose claim it may replace; any other
            claim in force refuses it.

        Returns:
          The claim now in force.
        """
        known = self.get(now, exchange)
        if known is not None and (known.host, known.attempt) != replaces:
            return known
        return self.put(
            exchange, Claim(host, attempt, False, now + RUNNING_TTL_S)
        )

    def put(self, exchange: str, claim: Claim) -> Claim:
        """Store a claim, for example one that another home host decided."""
        self._claims[exchange] = claim
        self._claims.move_to_end(exchange)
        while len(self._claims) > self._capacity:
            self._claims.popitem(last=False)
        return claim

    def end(
        self, now: float, exchange: str, host: str, attempt: int, answered: bool
    ) -> None:
        """End an attempt: mark its claim finished if answered, else drop it.

        Does nothing if the claim of another attempt is in force.
        """
        known = self.get(now, exchange)
        if known is not None and (known.host, known.attempt) != (host, attempt):
            return
        if answered:
            self.put(exchange, Claim(host, attempt, True, now + FINISHED_TTL_S))
        else:
            self._claims.pop(exchange, None)

    def expire(self, now: float) -> None:
        """Remove expired claims."""
        for exchange, claim in list(self._claims.items()):
            if claim.expires <= now:
                del self._claims[exchange]
