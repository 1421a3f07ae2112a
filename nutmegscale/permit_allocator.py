"""One host's share of the requests that a server with a limit takes; no I/O."""

import random
from typing import NamedTuple

# Tokens that a share may hold, and those of a larger share as the time within
# which they are filled, seconds.
MIN_BURST = 1.25
BURST_S = 0.25
# Requests a second to a server that takes none or next to none: without any,
# no host would see that its limit has ended.
MIN_PER_S = 0.2
# A limit that rises is applied once no lower one was heard for this time,
# seconds: hosts hear of a change at different moments.
RISE_DELAY_S = 0.5
# Requests for permits that are aimed at for each token, so that few tokens
# wait, and hosts don't ask more often than needed.
ASKS_PER_TOKEN = 8.0
# Time for which a host counts as one that asks, seconds, and the longest time
# after which it is to ask again.
ASKING_S = 5.0
MAX_WAIT_S = 30.0
# Time after a limit has ended in which each host gets a permit at once, so that
# it finds that out by itself, seconds.
ENDED_S = 2.0


class Reply(NamedTuple):
    """Answer to a host that asked for permits.

    Attributes:
      host: The host.
      permits: Number of requests that it may send.
      wait_s: If there are none, the time after which it may ask again, seconds.
    """

    host: str
    permits: int
    wait_s: float


class PermitAllocator:
    """Gives out this host's share of the requests to one server.

    A few hosts hold the shares of a server's limit. Each share is a token
    bucket that starts empty, fills at its part of the limit and holds next to
    nothing. So all hosts together stay within the limit, whichever of them hear
    each other.
    """

    def __init__(
        self,
        *,
        shares: int,
        starts_at: float,
        per_s: float,
        rng: random.Random,
    ) -> None:
        """Create an empty share.

        Args:
          shares: Number of hosts that hold a share of the limit.
          starts_at: Since when it fills, seconds.
          per_s: The limit, requests a second of all hosts.
          rng: Source of random numbers.
        """
        self._shares = shares
        self._filled_at = starts_at
        self._per_s = per_s
        self._rng = rng
        self._lowest_at = starts_at
        self._tokens = 0.0
        self._asked_at: dict[str, float] = {}
        self._ended_until = 0.0
        self._probed: set[str] = set()

    @property
    def last_asked_at(self) -> float:
        """When a host asked last, seconds."""
        return max(self._asked_at.values(), default=self._filled_at)

    def set_shares(self, now: float, shares: int) -> None:
        """Change the number of hosts that hold a share of the limit."""
        if shares != self._shares:
            self._refill(now)
            self._shares = shares

    def ask(self, now: float, host: str, wanted: int, per_s: float) -> Reply:
        """Return the permits that a host gets now.

        Args:
          now: Current time, seconds.
          host: The host.
          wanted: Number of permits that it can use at once.
          per_s: The limit as it knows it.
        """
        self._asked_at[host] = now
        if now < self._ended_until and host not in self._probed:
            self._probed.add(host)
            return Reply(host, 1, 0.0)
        # The host knows of the limit although it had a permit since its end.
        self._ended_until = 0.0
        self._set_limit(now, per_s)
        granted = max(0, min(wanted, int(self._tokens)))
        self._tokens -= granted
        return Reply(host, granted, 0.0 if granted else self._wait_s(now))

    def end_limit(self, now: float) -> list[Reply]:
        """Record that the limit has ended.

        Returns:
          Replies that let the hosts that asked lately ask again at once.
        """
        self._ended_until = now + ENDED_S
        self._probed = set()
        return [
            Reply(host, 0, 0.0)
            for host, at in self._asked_at.items()
            if now - at < MAX_WAIT_S
        ]

    @property
    def _rate(self) -> float:
        return max(MIN_PER_S, self._per_s) / self._shares

    def _wait_s(self, now: float) -> float:
        """Return when a host that got no permit is to ask again.

        The more hosts ask, the later each asks again, at random.
        """
        self._asked_at = {
            host: at
            for host, at in self._asked_at.items()
            if now - at < MAX_WAIT_S
        }
        asking = sum(now - at < ASKING_S for at in self._asked_at.values())
        next_token_s = max(0.0, self._filled_at - now)
        next_token_s += (1.0 - self._tokens) / self._rate
        spread_s = asking / (ASKS_PER_TOKEN * self._rate)
        return min(
            MAX_WAIT_S,
            max(next_token_s, spread_s * self._rng.uniform(0.5, 1.5)),
        )

    def _set_limit(self, now: float, per_s: float) -> None:
        self._refill(now)
        if per_s <= self._per_s or now - self._lowest_at > RISE_DELAY_S:
            self._per_s = per_s
            self._lowest_at = now
            self._refill(now)

    def _refill(self, now: float) -> None:
        passed_s = now - self._filled_at
        if passed_s < 0.0:
            return
        self._filled_at = now
        capacity = max(MIN_BURST, self._rate * BURST_S)
        self._tokens = min(capacity, self._tokens + self._rate * passed_s)
