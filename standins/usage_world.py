"""Simulated hosts that charge customers' requests, without HTTP or servers.

Light enough for hundreds of hosts: membership is fixed, and only the messages
about usage limits are exchanged.
"""

import random
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import task

from nutmegscale import customers
from nutmegscale import envelope
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import router_metrics
from nutmegscale import timeline
from standins import fake_network

STEP_S = 0.001
# Time from the start of a host until it knows the others, seconds.
JOIN_S = 0.2
RULE = customers.QuotaRule(8.0, 0.1, 120_000.0)
KEY = b"k" * 32


class Board:
    """Shared state of a host, as far as usage limits need it."""

    def __init__(self, clock: task.Clock, view: membership.Membership) -> None:
        own = view.get(view.host)
        assert own is not None
        self.host = view.host
        self.failure_domain = own.failure_domain
        self.clock = clock
        self.membership = view
        self.metrics = router_metrics.make_disabled()
        self.config: Config | None = None

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return float(self.clock.seconds())


class Config(NamedTuple):
    """Configuration of a host, as far as usage limits need it."""

    customer_directory: customers.CustomerDirectory | None


class Host(NamedTuple):
    """A host."""

    board: Board
    link: mesh.Mesh
    usage: customers.UsageController


class Charged(NamedTuple):
    """A request that was charged.

    Attributes:
      sent_at: When it came, seconds.
      at: When it was decided, seconds.
      host: Number of its host.
      customer: Name of its customer.
      cost: Its cost, units.
      charge: The decision.
    """

    sent_at: float
    at: float
    host: int
    customer: str
    cost: float
    charge: customers.Charge

    @property
    def is_allowed(self) -> bool:
        """Whether it may run."""
        return isinstance(self.charge, customers.Allowed)


class UsageWorld:
    """Hosts on a virtual clock that charge requests.

    Attributes:
      clock: Clock of all hosts.
      network: Network between the hosts, by name.
      hosts: The hosts; None for one that is killed.
      charged: Decided requests, in order.
    """

    def __init__(self, hosts: int, *, domains: int = 4) -> None:
        self.clock = task.Clock()
        self.network = fake_network.Network(self.clock)
        self._domains = domains
        self._names = [f"host-{number}" for number in range(hosts)]
        self._sessions = 0
        self.hosts: list[Host | None] = [None] * hosts
        self.charged: list[Charged] = []
        for number in range(hosts):
            self.start(number)
        self.run(JOIN_S)

    def start(self, number: int) -> None:
        """Start a host without memory."""
        name = self._names[number]
        view = membership.Membership(name, self.domain_of(number), name)
        for other, other_name in enumerate(self._names):
            if other != number:
                view.add_host(0.0, other_name, self.domain_of(other), "x")
        board = Board(self.clock, view)
        self._sessions += 1
        link = mesh.Mesh(
            self.clock,
            fake_network.FakeTransport(self.network, name),
            envelope.Sealer(name, KEY, self._sessions),
            timeline.Timeline(name),
            lambda host: host,
            host=name,
        )
        usage = customers.make_usage_controller(board, link, rule=RULE)
        self.network.receivers[name] = link.receive
        self.hosts[number] = Host(board, link, usage)
        self.clock.callLater(JOIN_S, usage.record_joined)

    def domain_of(self, number: int) -> str:
        """Return the failure domain of a host."""
        return f"domain-{number % self._domains}"

    def kill(self, number: int) -> None:
        """Kill a host."""
        self.hosts[number] = None
        self.network.receivers.pop(self._names[number], None)

    def cut_off(self, numbers: list[int]) -> None:
        """Cut some hosts off from all others."""
        group = [self._names[n] for n in numbers]
        others = [name for name in self._names if name not in group]
        self.network.cut_off(group, others)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def send(
        self, number: int, customer: customers.Customer, cost: int
    ) -> None:
        """Charge a request at a host, if it is alive."""
        host = self.hosts[number]
        if host is None:
            return
        sent_at = self.clock.seconds()

        def _record(charge: customers.Charge) -> None:
            now = self.clock.seconds()
            self.charged.append(
                Charged(sent_at, now, number, customer.name, cost, charge)
            )

        decided = defer.ensureDeferred(
            host.usage.charge(customer, cost, give_up_at=sent_at + 1.0)
        )
        decided.addCallback(_record)

    def load(
        self,
        customer: customers.Customer,
        *,
        seconds: float,
        cost: int,
        per_second: float,
        hosts: list[int],
        seed: int = 1,
    ) -> list[Charged]:
        """Send requests at random times to random hosts.

        Returns:
          The requests that were decided in that time.
        """
        rng = random.Random(seed)
        first = len(self.charged)
        now, end = self.clock.seconds(), self.clock.seconds() + seconds
        at = now + rng.expovariate(per_second)
        while at < end:
            self.run(max(0.0, at - self.clock.seconds()))
            self.send(rng.choice(hosts), customer, cost)
            at += rng.expovariate(per_second)
        self.run(max(0.0, end - self.clock.seconds()) + 0.2)
        return self.charged[first:]

    def worst_window(self) -> float:
        """Return the most that was allowed in a window of the rule, units."""
        allowed = sorted((c.at, c.cost) for c in self.charged if c.is_allowed)
        worst = total = 0.0
        first = 0
        for at, cost in allowed:
            total += cost
            while allowed[first][0] <= at - RULE.window_s:
                total -= allowed[first][1]
                first += 1
            worst = max(worst, total)
        return worst

    def messages(self) -> list[mesh.Counts]:
        """Return the counters of messages of the hosts that are alive."""
        return [host.link.counts for host in self.hosts if host is not None]


def refused_part(charged: list[Charged]) -> float:
    """Return the part of requests that weren't allowed."""
    return sum(not c.is_allowed for c in charged) / max(1, len(charged))
