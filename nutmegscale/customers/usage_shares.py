"""Gives out this host's shares of the usage limits of customers."""

import math
from typing import Any
from typing import Protocol

from nutmegscale import allocator_view
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import router_metrics
from nutmegscale.customers import directory
from nutmegscale.customers import usage_rule
from nutmegscale.customers import usage_share

# Period of the search for shares that can be forgotten, seconds.
SWEEP_S = 60.0


class Config(Protocol):
    """Part of the routing configuration that tells customers' limits."""

    @property
    def customer_directory(self) -> directory.CustomerDirectory | None:
        """The customers; None if there are none."""
        ...


class Board(Protocol):
    """Part of a host's shared state that usage limits need."""

    @property
    def host(self) -> str:
        """Name of this host."""
        ...

    @property
    def failure_domain(self) -> str:
        """Failure domain of this host."""
        ...

    @property
    def clock(self) -> Any:
        """Source of monotonic time and timers."""
        ...

    @property
    def membership(self) -> membership.Membership:
        """View of the hosts."""
        ...

    @property
    def metrics(self) -> router_metrics.RouterMetrics:
        """Metrics of this host."""
        ...

    @property
    def config(self) -> Config | None:
        """Configuration in force."""
        ...

    def now(self) -> float:
        """Return monotonic time in seconds."""
        ...


def share_key(customer: str) -> str:
    """Return the key by which the hosts that hold shares are chosen."""
    return f"usage/{customer}"


class UsageShares:
    """Answers hosts that ask whether a request is within a usage limit.

    Args:
      board: State of this host.
      link: Messages between hosts.
      view: Which hosts hold the shares of a limit.
      rule: How far limits may be exceeded.
    """

    def __init__(
        self,
        board: Board,
        link: mesh.Mesh,
        view: allocator_view.AllocatorView,
        *,
        rule: usage_rule.QuotaRule,
    ) -> None:
        self._board = board
        self._mesh = link
        self._view = view
        self._rule = rule
        self._shares: dict[str, usage_share.UsageShare] = {}
        self._joined = False
        self._hosts: frozenset[str] = frozenset()
        self._hosts_version = -1
        self._held_since = 0.0
        self._swept_at = 0.0
        link.on(messages.UsageRequest, self._receive)
        link.on(messages.UsageRefund, self._receive_refund)

    @property
    def has_joined(self) -> bool:
        """Whether this host knows the others, so that it may hold shares."""
        return self._joined

    def record_joined(self) -> None:
        """Record that this host knows the others."""
        self._joined = True
        self._find_new_hosts()

    def ask(
        self, host: str, request: messages.UsageRequest
    ) -> messages.UsageReply:
        """Return the answer to a host that asks for the cost of a request."""
        limit = directory.UsageLimit("tokens", request.per_s, request.burst)
        share = self._share(request.customer, limit)
        if share is None:
            # Another host holds this share, or this one may not use it yet.
            return _reply(request, "not_held")
        now = self._board.now()
        share.hear(now, limit)
        own = self._own_limit(request.customer)
        if own is not None:
            share.hear(now, own)
        answer = share.ask(
            now, request.cost, host=host, is_last=request.is_last
        )
        if answer.is_granted:
            return _reply(request, "granted")
        return _reply(request, "short", answer.wait_s, answer.crowd_s)

    def give_back(self, customer: str, cost: int) -> None:
        """Return the cost of a request that didn't run, units."""
        share = self._shares.get(customer)
        if share is not None:
            share.give_back(self._board.now(), cost)

    def _receive(self, sender: str, request: messages.UsageRequest) -> None:
        self._mesh.send(sender, self.ask(sender, request))

    def _receive_refund(
        self, sender: str, refund: messages.UsageRefund
    ) -> None:
        self.give_back(refund.customer, refund.cost)

    def _own_limit(self, customer: str) -> directory.UsageLimit | None:
        """Return the limit of a customer as this host knows it."""
        config = self._board.config
        customers = config.customer_directory if config else None
        known = customers.get(customer) if customers else None
        if known is None or known.limit is None:
            return None
        return directory.UsageLimit(
            "tokens", known.limit.per_s, known.limit.burst
        )

    def _share(
        self, customer: str, limit: directory.UsageLimit
    ) -> usage_share.UsageShare | None:
        """Return this host's share of a limit; None if it holds none."""
        key = share_key(customer)
        if not self._joined or not self._view.holds_share(key):
            self._shares.pop(customer, None)
            return None
        self._find_new_hosts()
        now = self._board.now()
        count = len(self._view.allocators(key))
        share = self._shares.get(customer)
        if share is None:
            self._forget_unused(now)
            share = self._shares[customer] = usage_share.UsageShare(
                self._rule,
                limit,
                now=now,
                shares=count,
                held_s=now - self._held_since,
            )
        share.set_shares(now, count)
        return share

    def _find_new_hosts(self) -> None:
        """Note when the known hosts changed, and so who holds which share.

        A share that wasn't asked for since then is as if it had been filled
        from then on.
        """
        members = self._board.membership
        if members.version == self._hosts_version:
            return
        self._hosts_version = members.version
        hosts = frozenset(member.host for member in members.members())
        if hosts != self._hosts:
            self._hosts = hosts
            self._held_since = self._board.now()

    def _forget_unused(self, now: float) -> None:
        if now - self._swept_at < SWEEP_S:
            return
        self._swept_at = now
        for customer, share in list(self._shares.items()):
            if share.is_unused(now):
                del self._shares[customer]
                self._view.forget(share_key(customer))


def _reply(
    request: messages.UsageRequest,
    state: str,
    wait_s: float = 0.0,
    crowd_s: float = 0.0,
) -> messages.UsageReply:
    return messages.UsageReply(
        request.number,
        request.customer,
        request.cost,
        state,
        math.ceil(wait_s * 1000),
        math.ceil(crowd_s * 1000),
    )
