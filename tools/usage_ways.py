"""Ways to keep customers to a usage limit over all hosts, compared.

    python -m tools.usage_ways [--hosts N...]

One customer with streams of 10,000 tokens and plain calls of 200, on virtual
time: equal fixed shares, shares that follow the demand, and permits as the
hosts use them. Prints a row for each way, number of hosts and load.
"""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import random
import sys
from typing import NamedTuple

from nutmegscale import customers
from standins import usage_world

PER_S = 230_530.0
LIMIT = customers.UsageLimit("tokens", PER_S, PER_S, 200)
CUSTOMER = customers.Customer("large", 1, LIMIT)
RULE = usage_world.RULE
# Usual use: 12 streams and 40 plain calls a second, 0.56 of the limit.
STREAM, PLAIN = 10_000, 200
STREAMS_PER_S, PLAINS_PER_S = 12.0, 40.0
DOMAINS = 4
WARM_S = 8.0
# Period in which shares that follow the demand are divided anew, seconds, time
# over which the demand is averaged, and the part that is divided equally.
DIVIDE_S = 1.0
DEMAND_S = 4.0
EQUAL_PART = 0.2
# Typical size of a sealed message, bytes.
MESSAGE_BYTES = 130


class Arrival(NamedTuple):
    """A request: when it comes, seconds, its host and its cost."""

    at: float
    host: int
    cost: int


class Load(NamedTuple):
    """A load.

    Attributes:
      name: Its name.
      seconds: How long it lasts after the usual use of `WARM_S`.
      factor: Use as a multiple of the usual one.
      hosts: Returns the hosts that get requests, given the number of hosts.
      is_cut: Whether the first failure domain is cut off from the others.
    """

    name: str
    seconds: float
    factor: float
    hosts: Callable[[int], list[int]]
    is_cut: bool = False


LOADS = (
    Load("usual, all hosts", 20.0, 1.0, lambda n: list(range(n))),
    Load("usual, two hosts", 20.0, 1.0, lambda _: [1, 2]),
    Load("7 times, all hosts", 8.0, 7.0, lambda n: list(range(n))),
    Load("cut, 3 s, all hosts", 3.0, 1.0, lambda n: list(range(n)), True),
    Load("cut, 3 s, two hosts", 3.0, 1.0, lambda _: [0, 1], True),
    Load("cut, 3 s, cut domain", 3.0, 1.0, lambda _: [0, DOMAINS], True),
)


class Row(NamedTuple):
    """What a way did with a load, after the usual use before it.

    Attributes:
      way: The way.
      hosts: Number of hosts.
      load: Name of the load.
      refused: Part of the cost that was refused.
      worst: Most cost in a window, as a part of what the rule allows.
      busiest: Bytes a second that the busiest host sends.
      requests: Part of the requests that were refused.
      unasked: Part of the refused requests that cost no message.
    """

    way: str
    hosts: int
    load: str
    refused: float
    worst: float
    busiest: float
    requests: float
    unasked: float = 1.0


def _arrivals(load: Load, hosts: int, seed: int) -> list[Arrival]:
    rng = random.Random(seed)
    found = []
    for cost, per_s in ((STREAM, STREAMS_PER_S), (PLAIN, PLAINS_PER_S)):
        at = 0.0
        while True:
            factor = load.factor if at >= WARM_S else 1.0
            at += rng.expovariate(per_s * factor)
            if at >= WARM_S + load.seconds:
                break
            found.append(Arrival(at, rng.choice(load.hosts(hosts)), cost))
    return sorted(found)


def _row(
    way: str,
    hosts: int,
    load: Load,
    decided: Sequence[tuple[Arrival, bool]],
    busiest: float,
) -> Row:
    late = [(a, is_allowed) for a, is_allowed in decided if a.at >= WARM_S]
    refused = sum(a.cost for a, is_allowed in late if not is_allowed)
    costs = [(a.at, a.cost) for a, is_allowed in decided if is_allowed]
    worst = total = 0.0
    first = 0
    for at, cost in costs:
        total += cost
        while costs[first][0] <= at - RULE.window_s:
            total -= costs[first][1]
            first += 1
        worst = max(worst, total)
    allowed = RULE.within(LIMIT) + RULE.beyond(LIMIT)
    part = refused / sum(a.cost for a, _ in late)
    count = sum(not is_allowed for _, is_allowed in late) / len(late)
    return Row(way, hosts, load.name, part, worst / allowed, busiest, count)


class _Bucket:
    """Token bucket of a host whose part of the limit changes."""

    def __init__(self, part: float) -> None:
        self.part = part
        self._level = LIMIT.burst * part
        self._filled_at = 0.0

    def take(self, now: float, cost: float) -> bool:
        """Take a cost if there is room."""
        passed_s, self._filled_at = now - self._filled_at, now
        filled = self._level + LIMIT.per_s * self.part * passed_s
        self._level = min(LIMIT.burst * self.part, filled)
        if self._level < cost:
            return False
        self._level -= cost
        return True


def _equal(load: Load, hosts: int, seed: int) -> Row:
    buckets = [_Bucket(1.0 / hosts) for _ in range(hosts)]
    decided = [
        (a, buckets[a.host].take(a.at, a.cost))
        for a in _arrivals(load, hosts, seed)
    ]
    return _row("equal shares", hosts, load, decided, 0.0)


def _following(load: Load, hosts: int, seed: int) -> Row:
    """One host divides the limit by the demand that the others report.

    Hosts that don't reach it keep the shares that they had.
    """
    buckets = [_Bucket(1.0 / hosts) for _ in range(hosts)]
    demand = [0.0] * hosts
    decided = []
    next_at = DIVIDE_S
    for arrival in _arrivals(load, hosts, seed):
        while arrival.at >= next_at:
            is_cut = load.is_cut and next_at >= WARM_S
            # The host that divides isn't in the domain that is cut off.
            heard = [n for n in range(hosts) if not is_cut or n % DOMAINS]
            divided = sum(buckets[n].part for n in heard)
            total = sum(demand[n] for n in heard) or 1.0
            for n in heard:
                wanted = (1.0 - EQUAL_PART) * demand[n] / total
                buckets[n].part = divided * (wanted + EQUAL_PART / len(heard))
            demand = [d * (1.0 - DIVIDE_S / DEMAND_S) for d in demand]
            next_at += DIVIDE_S
        demand[arrival.host] += arrival.cost
        is_allowed = buckets[arrival.host].take(arrival.at, arrival.cost)
        decided.append((arrival, is_allowed))
    busiest = MESSAGE_BYTES * (hosts - 1) / DIVIDE_S
    return _row("shares by demand", hosts, load, decided, busiest)


def _permits(load: Load, hosts: int, seed: int) -> Row:
    """Run the code of the hosts."""
    world = usage_world.UsageWorld(hosts, domains=DOMAINS)
    start = world.clock.seconds()
    before = [0] * hosts
    is_warm = False
    for arrival in _arrivals(load, hosts, seed):
        if arrival.at >= WARM_S and not is_warm:
            is_warm = True
            before = [counts.sent_bytes for counts in world.messages()]
            if load.is_cut:
                world.cut_off(list(range(0, hosts, DOMAINS)))
        world.run(max(0.0, start + arrival.at - world.clock.seconds()))
        world.send(arrival.host, CUSTOMER, arrival.cost)
    world.run(0.2)
    decided = [
        (Arrival(c.at - start, c.host, int(c.cost)), c.is_allowed)
        for c in sorted(world.charged, key=lambda c: c.at)
    ]
    sent = [counts.sent_bytes for counts in world.messages()]
    busiest = max(now - then for now, then in zip(sent, before, strict=True))
    row = _row("permits", hosts, load, decided, busiest / load.seconds)
    refused = [
        c
        for c in world.charged
        if c.sent_at - start >= WARM_S and not c.is_allowed
    ]
    unasked = sum(c.at == c.sent_at for c in refused) / max(1, len(refused))
    return row._replace(unasked=unasked)


def compare(hosts: int, seed: int = 1) -> list[Row]:
    """Return what each way does with each load.

    Args:
      hosts: Number of hosts.
      seed: Seed of the arrivals.
    """
    return [
        way(load, hosts, seed)
        for load in LOADS
        for way in (_equal, _following, _permits)
    ]


def main() -> int:
    """Run the command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[8, 76, 400])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print(
        "hosts | load | way | cost refused | requests refused | unasked | "
        "worst window | busiest host B/s"
    )
    for hosts in arguments.hosts:
        for row in compare(hosts, arguments.seed):
            print(
                f"{row.hosts} | {row.load} | {row.way} | {row.refused:.3f} | "
                f"{row.requests:.3f} | {row.unasked:.2f} | {row.worst:.2f} | "
                f"{row.busiest:.0f}"
            )
    return 0


if __name__ == "__main__":
    sys.exit(main())
