"""One host's share of the usage limit of a customer; no I/O."""

from collections import deque
from typing import NamedTuple

from nutmegscale.customers import directory
from nutmegscale.customers import usage_rule

# A limit that rises is applied once no lower one was heard for this time,
# seconds: hosts hear of a new configuration at different moments.
RISE_DELAY_S = 0.5
# Parts of a new share's burst and of what may run beyond the limit with which
# it starts, whichever is less. All hosts may be restarted several times in a
# window, each time with the start of all shares.
START_OF_BURST = 0.25
START_OF_SLACK = 0.125
# Part of what may run beyond the limit that shares may lend to requests that
# cost more than a share holds.
DEBT_OF_SLACK = 0.25
# Longest time for which hosts are told not to ask since others were refused
# just before, seconds. More would leave room unused when a burst ends.
MAX_CROWD_S = 1.0
# What was granted within this time counts as one, seconds.
GRAIN_S = 0.1
# Longest wait that is told, seconds, also for a request that never has room.
MAX_WAIT_S = 30.0


class Answer(NamedTuple):
    """Answer to a host that asked for the cost of a request.

    Attributes:
      is_granted: Whether the request may run.
      wait_s: If not, when the share has room for it, seconds from now.
      crowd_s: Time to add since others were told the same, seconds.
    """

    is_granted: bool
    wait_s: float = 0.0
    crowd_s: float = 0.0


class UsageShare:
    """Gives out this host's share of what one customer may use.

    Answers customers that send more than they may through many hosts, of which
    each sees a small part, while hosts are cut off, killed or restarted. A few
    hosts hold the shares of a limit; each is a token bucket that fills at its
    part of the rate and holds its part of the burst. So all hosts together stay
    within the limit, whichever of them hear each other. In a window it grants
    at most its part of the rule's target.
    """

    __slots__ = (
        "_crowd_host",
        "_crowded_until",
        "_filled_at",
        "_granted",
        "_granted_sum",
        "_level",
        "_limit",
        "_lowest_at",
        "_rule",
        "_shares",
    )

    def __init__(
        self,
        rule: usage_rule.QuotaRule,
        limit: directory.UsageLimit,
        *,
        now: float,
        shares: int,
        held_s: float,
    ) -> None:
        """Create the share.

        Args:
          rule: How far the limit may be exceeded.
          limit: The limit.
          now: Current time, seconds.
          shares: Number of hosts that hold a share.
          held_s: Time for which this host holds it already, unused, seconds.
        """
        self._rule = rule
        self._limit = limit
        self._shares = shares
        self._lowest_at = now
        self._filled_at = now
        # Host that caused it, "" if there are several.
        self._crowd_host = ""
        self._crowded_until = now
        # End and cost of what was granted in the current window.
        self._granted: deque[tuple[float, float]] = deque()
        self._granted_sum = 0.0
        start = min(
            START_OF_BURST * rule.burst(limit),
            START_OF_SLACK * rule.beyond(limit),
        )
        self._level = min(self._capacity, start / shares + self._rate * held_s)

    @property
    def _rate(self) -> float:
        return self._limit.per_s / self._shares

    @property
    def _capacity(self) -> float:
        return self._rule.burst(self._limit) / self._shares

    @property
    def _max_debt(self) -> float:
        beyond = self._rule.beyond(self._limit)
        if not beyond:
            return self._limit.burst
        return DEBT_OF_SLACK * beyond / self._shares

    def is_unused(self, now: float) -> bool:
        """Whether it is full, so that it can be forgotten."""
        self._refill(now)
        return self._level >= self._capacity

    def set_shares(self, now: float, shares: int) -> None:
        """Change the number of hosts that hold a share."""
        if shares != self._shares:
            self._refill(now)
            self._shares = shares
            self._refill(now)

    def hear(self, now: float, limit: directory.UsageLimit) -> None:
        """Record the limit as a host knows it; the lower one is in force."""
        known = self._limit
        if limit == known:
            self._lowest_at = now
            return
        self._refill(now)
        is_lower = limit.per_s <= known.per_s and limit.burst <= known.burst
        if is_lower or now - self._lowest_at > RISE_DELAY_S:
            self._limit, self._lowest_at = limit, now
        else:
            self._limit = known._replace(
                per_s=min(limit.per_s, known.per_s),
                burst=min(limit.burst, known.burst),
            )
        self._refill(now)

    def ask(
        self, now: float, cost: float, *, host: str, is_last: bool
    ) -> Answer:
        """Take the cost of a request from the share, if there is room.

        A request that costs more than the share holds is granted when the
        share is full, and leaves a debt.

        Args:
          now: Current time, seconds.
          cost: Cost of the request, units.
          host: Host that asks.
          is_last: Whether the host asks no other share if this one has too
            little.
        """
        self._refill(now)
        if cost > self._capacity + self._max_debt:
            return Answer(False, MAX_WAIT_S)
        wait_s = min(MAX_WAIT_S, self._wait_s(now, cost))
        if wait_s <= 0.0:
            self._level -= cost
            self._record_granted(now, cost)
            return Answer(True)
        crowd_s = max(0.0, self._crowded_until - now)
        is_alone = crowd_s == 0.0 or self._crowd_host == host
        if is_last:
            self._crowd_host = host if is_alone else ""
            self._crowded_until = now + min(
                MAX_CROWD_S, crowd_s + cost / self._rate
            )
        return Answer(False, wait_s, 0.0 if is_alone else crowd_s)

    def give_back(self, now: float, cost: float) -> None:
        """Return the cost of a request that didn't run, units."""
        self._refill(now)
        self._level = min(self._capacity, self._level + cost)
        if self._granted:
            # It was granted a moment ago, so the last part of the window is
            # close to its own.
            ends_at, granted = self._granted[-1]
            self._granted[-1] = (ends_at, granted - cost)
            self._granted_sum -= cost

    def _wait_s(self, now: float, cost: float) -> float:
        """Return when a request may be granted, seconds from now."""
        missing = min(cost, self._capacity) - self._level
        wait_s = max(0.0, missing / self._rate)
        while self._granted and self._granted[0][0] <= now:
            self._granted_sum -= self._granted.popleft()[1]
        target = self._rule.target(self._limit) / self._shares
        excess = self._granted_sum + cost - target
        for ends_at, granted in self._granted:
            if excess <= 0.0:
                break
            excess -= granted
            wait_s = max(wait_s, ends_at - now)
        return wait_s

    def _record_granted(self, now: float, cost: float) -> None:
        ends_at = now + self._rule.window_s
        self._granted_sum += cost
        if self._granted and ends_at - self._granted[-1][0] < GRAIN_S:
            # With the earlier time: the target isn't the rule.
            ends_at, before = self._granted.pop()
            cost += before
        self._granted.append((ends_at, cost))

    def _refill(self, now: float) -> None:
        passed_s, self._filled_at = now - self._filled_at, now
        self._level = min(self._capacity, self._level + self._rate * passed_s)
