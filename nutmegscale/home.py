"""Home of exchanges: which host serves each one, so that none runs twice.

The first two hosts in the rendezvous order of an exchange are its homes.
The first one decides and copies each claim to the second one before it
answers, so that the loss of either leaves the claim known.
"""

from collections import OrderedDict
from typing import NamedTuple

MAX_CLAIMS = 20_000
RUNNING_TTL_S = 300.0
FINISHED_TTL_S = 90.0


class Claim(NamedTuple):
    """Who serves an exchange.

    Attributes:
      host: Host that serves it.
      attempt: Number of its try, unique on that host.
      finished: Whether a whole answer is kept there.
      expires: Time at which the claim is forgotten.
    """

    host: str
    attempt: int
    finished: bool
    expires: float


class Home:
    """Claims that one host keeps as a home; pure."""

    def __init__(self, *, capacity: int = MAX_CLAIMS) -> None:
        self._claims: OrderedDict[str, Claim] = OrderedDict()
        self._capacity = capacity

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, now: float, exchange: str) -> Claim | None:
        """Return the claim that stands, or None."""
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
        """Claim an exchange unless another claim stands.

        Args:
          now: Monotonic time in seconds.
          exchange: Name of the exchange.
          host: Host that wants to serve it.
          attempt: Number of its try.
          replaces: Host and attempt that it takes over from; the claim is
            refused if neither that one nor none stands.

        Returns:
          The claim that stands now.
        """
        known = self.get(now, exchange)
        if known is not None and (known.host, known.attempt) != replaces:
            return known
        return self.put(
            exchange, Claim(host, attempt, False, now + RUNNING_TTL_S)
        )

    def put(self, exchange: str, claim: Claim) -> Claim:
        """Store a claim that another home has decided."""
        self._claims[exchange] = claim
        self._claims.move_to_end(exchange)
        while len(self._claims) > self._capacity:
            self._claims.popitem(last=False)
        return claim

    def end(
        self, now: float, exchange: str, host: str, attempt: int, answered: bool
    ) -> None:
        """Note that a try ended: keep its answer's place, or forget it."""
        known = self.get(now, exchange)
        if known is not None and (known.host, known.attempt) != (host, attempt):
            return
        if answered:
            self.put(exchange, Claim(host, attempt, True, now + FINISHED_TTL_S))
        else:
            self._claims.pop(exchange, None)

    def expire(self, now: float) -> None:
        """Forget the claims whose time has passed."""
        for exchange, claim in list(self._claims.items()):
            if claim.expires <= now:
                del self._claims[exchange]
