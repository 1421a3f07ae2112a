"""Decides how much engine memory each customer may hold; does no I/O.

Answers a customer that sends seven times its usual rate, within its limit,
while a burst of twice the load runs on all and on the least urgent streams.
Streams wait for a second at most and run for about three, so that the order of
the queue alone gives the others too little: the memory is held by then. A
customer's share is therefore a part of the memory, in proportion to what it
has usually used, and what it asks for beyond that fills what others leave.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
import statistics

from nutmegscale.customers import directory

# Time constant over which the usual use of customers is averaged, seconds. Six
# seconds at seven times the usual rate raise it by half of it at most.
USUAL_USE_TIME_S = 60.0
# Use that each customer starts with if no customer states a limit in tokens:
# about one stream. Until more is known, they have about equal shares; with
# more, a large customer gets less than its part for longer.
INITIAL_USE_TOKENS = 8_000.0
# Time at its limit that counts as use which a customer starts with, seconds:
# limits are known at once, but they follow the usual use roughly only.
INITIAL_USE_TIME_S = 5.0
# Memory that a customer may hold relative to its share, and in typical streams
# beyond that: arrivals vary by as much at a constant rate. With less, customers
# lose answers while nobody sends more than usual; with more, a hot one takes
# answers of the others (docs/design/fair-shares.md).
SHARE_FACTOR = 1.1
SPARE_STREAMS = 2.0
# Customers with less use than this are forgotten, tokens.
MIN_USE_TOKENS = 100.0


class FairShares:
    """Usual use of engine memory by each customer of a service.

    The cost of each call is independent of the number of customers, except for
    one call in `USUAL_USE_TIME_S`.
    """

    def __init__(self) -> None:
        # Use is kept in tokens at the time `_base`: later use counts for more
        # there, so that earlier use needs no update.
        self._base = 0.0
        self._use: dict[str, float] = {}
        self._total = 0.0
        # Use that customers start with, and its sum over those in `_use`.
        self._initial: dict[str, float] = {}
        self._initial_default = INITIAL_USE_TOKENS
        self._initial_total = 0.0

    @property
    def count(self) -> int:
        """Number of customers known."""
        return len(self._use)

    def set_customers(self, known: Iterable[directory.Customer]) -> None:
        """Set the customers whose limits show their usual use.

        Customers without a limit in tokens start with the mean of the others.
        """
        self._initial = {
            customer.name: customer.limit.per_s * INITIAL_USE_TIME_S
            for customer in known
            if customer.limit is not None
            and customer.limit.unit == "tokens"
            and customer.limit.per_s > 0.0
        }
        self._initial_default = INITIAL_USE_TOKENS
        if self._initial:
            self._initial_default = statistics.fmean(self._initial.values())
        self._initial_total = sum(map(self._initial_use, self._use))

    def _initial_use(self, customer: str) -> float:
        return self._initial.get(customer, self._initial_default)

    def record_use(self, now: float, customer: str, tokens: float) -> None:
        """Record that a customer got memory for a stream.

        Args:
          now: Monotonic time in seconds.
          customer: Name of the customer; "" for all without a name.
          tokens: Prompt and expected answer, tokens.
        """
        self._rebase(now)
        use = tokens * self._growth(now)
        if customer not in self._use:
            self._initial_total += self._initial_use(customer)
        self._use[customer] = self._use.get(customer, 0.0) + use
        self._total += use

    def share(self, now: float, customer: str) -> float:
        """Return a customer's part of the memory, from 0 to 1.

        Args:
          now: Monotonic time in seconds.
          customer: Name of the customer.
        """
        self._rebase(now)
        growth = self._growth(now)
        own = self._initial_use(customer)
        initial = self._initial_total
        if customer not in self._use:
            initial += own
        use = self._use.get(customer, 0.0)
        return (use + own * growth) / (self._total + initial * growth)

    def _growth(self, now: float) -> float:
        return math.exp((now - self._base) / USUAL_USE_TIME_S)

    def _rebase(self, now: float) -> None:
        """Convert all use to tokens at the present time, now and then."""
        if now - self._base <= USUAL_USE_TIME_S:
            return
        left = math.exp((self._base - now) / USUAL_USE_TIME_S)
        self._use = {
            customer: use * left
            for customer, use in self._use.items()
            if use * left >= MIN_USE_TOKENS
        }
        self._total = sum(self._use.values())
        self._initial_total = sum(map(self._initial_use, self._use))
        self._base = now


class Allowances:
    """What customers may still be granted at one moment.

    Streams are to be claimed in the order in which they would be served.

    Args:
      now: Monotonic time in seconds.
      shares: Usual use of the customers.
      held: Tokens of the streams that each customer holds memory for.
      capacity_tokens: Tokens of all streams that there is memory for.
      stream_tokens: Tokens of a typical stream.
    """

    def __init__(
        self,
        now: float,
        shares: FairShares,
        held: Mapping[str, int],
        *,
        capacity_tokens: float,
        stream_tokens: float,
    ) -> None:
        self._now = now
        self._shares = shares
        self._held = held
        self._capacity_tokens = capacity_tokens
        self._spare_tokens = SPARE_STREAMS * stream_tokens
        self._allowed: dict[str, float] = {}
        self._claimed: dict[str, float] = {}

    def claim(self, customer: str, tokens: int) -> float:
        """Claim memory for a stream.

        Args:
          customer: Name of the stream's customer.
          tokens: Its prompt and expected answer, tokens.

        Returns:
          What the customer then holds and claims, relative to what it may; 0 if
          it may claim the stream.
        """
        allowed = self._allowed.get(customer)
        if allowed is None:
            share = self._shares.share(self._now, customer)
            allowed = SHARE_FACTOR * share * self._capacity_tokens
            allowed += self._spare_tokens
            self._allowed[customer] = allowed
            self._claimed[customer] = self._held.get(customer, 0)
        self._claimed[customer] += tokens
        excess = self._claimed[customer] / allowed
        return excess if excess > 1.0 else 0.0
