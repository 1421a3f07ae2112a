"""Keeps customers to their usage limits, which hold over all hosts together."""

from collections.abc import Sequence
import math
import secrets
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import allocator_view
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale.customers import directory
from nutmegscale.customers import known_room
from nutmegscale.customers import own_part
from nutmegscale.customers import usage_rule
from nutmegscale.customers import usage_shares

# Longest time that a request waits for the hosts that hold shares, seconds.
MAX_WAIT_S = 0.1
# Time after which the next host is asked, too, seconds: several round trips
# between failure domains plus the processing time of a busy host.
SLOW_S = 0.03
# Time for which a slow host is asked only if no other can be, seconds, unless
# it replies.
SLOW_PAUSE_S = 1.5
# A wait whose timer is later than this was prolonged by this host itself, which
# may not have read the replies yet, seconds; it is prolonged once by as much.
LATE_S = 0.02
# Bounds of the Retry-After of a refusal, seconds. Rounding and the way of the
# request mustn't bring a caller back too early.
MIN_RETRY_AFTER_S = 0.01
RETRY_MARGIN_S = 0.005
# Largest cost in a message, units. It is beyond any limit.
MAX_COST = 10**12
# Length of the number at which requests begin to count; more is a longer
# message.
NUMBER_BITS = 30
# Retry-After of a request for which no host could be asked, seconds.
UNKNOWN_RETRY_AFTER_S = 1.0


class Allowed(NamedTuple):
    """A request is within the usage limit of its customer.

    Attributes:
      is_own_part: Whether this host could ask no other.
    """

    is_own_part: bool = False


class Refused(NamedTuple):
    """A request isn't within the usage limit of its customer.

    Attributes:
      reason: "usage_limit" if the customer has used up its limit,
        "usage_unknown" if no host could be asked.
      retry_after_s: When the caller is to come back, seconds from now.
    """

    reason: str
    retry_after_s: float


Charge = Allowed | Refused


class _Request(NamedTuple):
    """A request to charge: its customer, the limit of it, and its cost."""

    customer: str
    limit: directory.UsageLimit
    cost: int


class _Inquiry:
    """A request that waits for the hosts that hold shares.

    Attributes:
      number: Its number in messages.
      request: The request.
      left: Hosts that weren't asked yet, in order.
      waiting: Hosts that were asked and haven't replied.
      slow: Those of them that haven't replied for `SLOW_S`.
      is_short: Whether a share had too little.
      wait_s: When the first share has room, seconds from its reply.
      crowd_s: Time to add since others were told the same, seconds.
      asks_all_at_once: Whether not to wait for one host after the other.
      granted_by: Host whose share had room, or "".
      done: Fires once it is decided.
    """

    def __init__(
        self, number: int, request: _Request, hosts: Sequence[str]
    ) -> None:
        self.number = number
        self.request = request
        self.left = list(hosts)
        self.waiting: set[str] = set()
        self.slow: set[str] = set()
        self.is_short = False
        self.wait_s = math.inf
        self.crowd_s = 0.0
        self.asks_all_at_once = False
        self.granted_by = ""
        self.done: defer.Deferred[None] = defer.Deferred()

    @property
    def is_decided(self) -> bool:
        """Whether it has room, or no host is left that may have some."""
        if self.granted_by:
            return True
        waiting = self.waiting - self.slow if self.is_short else self.waiting
        return not self.left and not waiting

    def message(self) -> messages.UsageRequest:
        """Return the message to a host that is taken from those left."""
        request = self.request
        return messages.UsageRequest(
            self.number,
            request.customer,
            request.cost,
            request.limit.per_s,
            request.limit.burst,
            not self.left,
        )


class UsageController:
    """Decides whether customers' requests are within their usage limits.

    Args:
      board: State of this host.
      link: Messages between hosts.
      view: Which hosts hold the shares of a limit.
      shares: Shares that this host holds.
      rule: How far limits may be exceeded.
    """

    def __init__(
        self,
        board: usage_shares.Board,
        link: mesh.Mesh,
        view: allocator_view.AllocatorView,
        shares: usage_shares.UsageShares,
        *,
        rule: usage_rule.QuotaRule,
    ) -> None:
        self._board = board
        self._mesh = link
        self._view = view
        self._shares = shares
        self._own_part = own_part.OwnPart(rule)
        self._known = known_room.KnownRoom()
        self._turns: dict[str, int] = {}
        self._slow_until: dict[str, float] = {}
        self._inquiries: dict[int, _Inquiry] = {}
        # Starts at random, so that replies to an earlier process of this host
        # aren't taken for replies to this one.
        self._last_number = secrets.randbits(NUMBER_BITS)
        link.on(messages.UsageReply, self._receive)

    def record_joined(self) -> None:
        """Record that this host knows the others and they know it."""
        self._shares.record_joined()

    async def charge(
        self, customer: directory.Customer, cost: int, *, give_up_at: float
    ) -> Charge:
        """Charge a request to its customer, before it may run.

        Args:
          customer: The customer.
          cost: Cost of the request, units.
          give_up_at: Time by which the caller needs an answer, seconds.
        """
        if customer.limit is None or cost <= 0:
            return Allowed()
        request = _Request(customer.name, customer.limit, min(cost, MAX_COST))
        allocators = self._allocators(customer.name)
        decided = self._decide_unasked(request, allocators)
        if not isinstance(decided, _Inquiry):
            return decided
        await self._inquire(
            decided, until=min(give_up_at, self._board.now() + MAX_WAIT_S)
        )
        if decided.granted_by:
            self._board.metrics.record_usage_charge("allowed")
            return Allowed()
        # Hosts that have just started may all hold no share yet.
        is_unknown = not decided.is_short or self._is_any_slow(allocators)
        if is_unknown and self._take_own_part(request):
            return Allowed(is_own_part=True)
        return self._refuse(decided)

    def _decide_unasked(
        self, request: _Request, allocators: Sequence[str]
    ) -> Charge | _Inquiry:
        """Decide on a request if no host need be asked.

        Returns:
          The decision, or which hosts are to be asked.
        """
        now, name, cost = self._board.now(), request.customer, request.cost
        per_s = request.limit.per_s / max(1, len(allocators))
        known = self._known
        wait_s = known.wait_s(now, name, cost=cost, per_s=per_s)
        if wait_s > 0.0:
            return self._refuse_unasked(wait_s)
        heard = [host for host in allocators if not self._is_slow(host)]
        hosts = [host for host in heard if host not in self._slow_until]
        to_ask = known.to_ask(now, name, hosts, cost=cost, per_s=per_s)
        next_s = known.next_room_s(now, name, hosts, cost=cost, per_s=per_s)
        may_use_own_part = not to_ask and self._is_any_slow(allocators)
        if may_use_own_part and self._take_own_part(request):
            return Allowed(is_own_part=True)
        if hosts and not to_ask:
            return self._refuse_unasked(next_s)
        self._last_number += 1
        # Hosts that were slow are asked, too, and not waited for.
        left = [host for host in heard if host not in hosts] + to_ask
        inquiry = _Inquiry(
            self._last_number, request, left if hosts else allocators
        )
        inquiry.is_short, inquiry.wait_s = math.isfinite(next_s), next_s
        inquiry.asks_all_at_once = not hosts
        return inquiry

    def give_back(self, customer: directory.Customer, cost: int) -> None:
        """Return the cost of a request that was charged and didn't run."""
        if customer.limit is None or cost <= 0:
            return
        for host in self._allocators(customer.name):
            if not self._is_slow(host):
                self._refund(host, customer.name, min(cost, MAX_COST))
                return

    def _allocators(self, customer: str) -> list[str]:
        """Return the hosts that hold the shares of a customer's limit, in turn.

        Those of this host's failure domain come last: their shares are all that
        is left to it in a cut, so they are kept full. The others are used
        equally, however few hosts the customer sends to.
        """
        hosts = self._view.preferred(usage_shares.share_key(customer), ())
        near = [host for host in hosts if self._is_near(host)]
        distant = [host for host in hosts if host not in near]
        turn = self._turns[customer] = self._turns.get(customer, 0) + 1
        first = turn % max(1, len(distant))
        return distant[first:] + distant[:first] + near

    def _is_near(self, host: str) -> bool:
        member = self._board.membership.get(host)
        domain = member.failure_domain if member else ""
        return domain == self._board.failure_domain

    def _is_slow(self, host: str) -> bool:
        return (
            host in self._mesh.silent
            or self._slow_until.get(host, 0.0) > self._board.now()
        )

    def _is_any_slow(self, allocators: Sequence[str]) -> bool:
        return any(self._is_slow(host) for host in allocators)

    def _take_own_part(self, request: _Request) -> bool:
        """Use this host's own part, which it has once it knows the others."""
        if not self._shares.has_joined:
            return False
        is_taken = self._own_part.take(
            self._board.now(),
            request.customer,
            request.limit,
            request.cost,
            hosts=len(self._board.membership.members()),
        )
        if is_taken:
            self._board.metrics.record_usage_charge("own_part")
        return is_taken

    def _refuse_unasked(self, wait_s: float) -> Refused:
        self._board.metrics.record_usage_charge("refused_unasked")
        return _refused(wait_s)

    def _refuse(self, inquiry: _Inquiry) -> Refused:
        """Refuse a request for which no host that was asked had room."""
        if not inquiry.is_short:
            self._board.metrics.record_usage_charge("unknown")
            return Refused("usage_unknown", UNKNOWN_RETRY_AFTER_S)
        wait_s = inquiry.wait_s + inquiry.crowd_s
        self._known.refuse(
            self._board.now(),
            inquiry.request.customer,
            cost=inquiry.request.cost,
            wait_s=wait_s,
        )
        self._board.metrics.record_usage_charge("refused")
        return _refused(wait_s)

    async def _inquire(self, inquiry: _Inquiry, *, until: float) -> None:
        """Ask hosts for a request until one grants it or the time has passed.

        Args:
          inquiry: The request.
          until: Time by which it must be decided, seconds.
        """
        self._inquiries[inquiry.number] = inquiry
        end = self._board.clock.callLater(
            max(0.0, until - self._board.now()), self._end, inquiry, until
        )
        try:
            self._ask_next(inquiry)
            if not inquiry.is_decided:
                await inquiry.done
        finally:
            # A reply that comes later gives back what it grants.
            del self._inquiries[inquiry.number]
            if end.active():
                end.cancel()

    def _end(self, inquiry: _Inquiry, due: float) -> None:
        """End the wait of a request, unless this host itself was too slow."""
        late_s = self._board.now() - due
        if late_s > LATE_S:
            self._board.clock.callLater(LATE_S, self._fire, inquiry)
        else:
            self._fire(inquiry)

    def _fire(self, inquiry: _Inquiry) -> None:
        if not inquiry.done.called:
            inquiry.done.callback(None)

    def _ask_next(self, inquiry: _Inquiry) -> None:
        """Ask the next host, and those before it that may not reply."""
        while inquiry.left and not inquiry.granted_by:
            host = inquiry.left.pop(0)
            request = inquiry.message()
            if host == self._board.host:
                self._record(inquiry, host, self._shares.ask(host, request))
                continue
            inquiry.waiting.add(host)
            self._board.metrics.record_usage_message("ask")
            self._mesh.send(host, request)
            self._board.clock.callLater(
                SLOW_S, self._check_slow, inquiry, host, self._board.now()
            )
            if host in self._slow_until:
                inquiry.slow.add(host)
            elif not inquiry.asks_all_at_once:
                return

    def _check_slow(self, inquiry: _Inquiry, host: str, since: float) -> None:
        """Ask the next host if one hasn't replied to an inquiry in time."""
        if host not in inquiry.waiting:
            return
        now = self._board.now()
        is_heard = self._mesh.last_heard(host) > since
        if now - since <= SLOW_S + LATE_S and not is_heard:
            self._slow_until[host] = now + SLOW_PAUSE_S
            self._board.metrics.record_usage_message("slow")
        if inquiry.number in self._inquiries:
            inquiry.slow.add(host)
            # If the hosts beyond a cut are asked one after the other, too
            # little time is left for the last one.
            inquiry.asks_all_at_once = True
            self._go_on(inquiry)

    def _go_on(self, inquiry: _Inquiry) -> None:
        if not inquiry.granted_by:
            self._ask_next(inquiry)
        if inquiry.is_decided:
            self._fire(inquiry)

    def _receive(self, sender: str, reply: messages.UsageReply) -> None:
        self._slow_until.pop(sender, None)
        inquiry = self._inquiries.get(reply.number)
        is_awaited = inquiry is not None and sender in inquiry.waiting
        if inquiry is None or not is_awaited or inquiry.granted_by:
            if reply.state == "granted":
                self._refund(sender, reply.customer, reply.cost)
            return
        inquiry.waiting.discard(sender)
        inquiry.slow.discard(sender)
        self._record(inquiry, sender, reply)
        self._go_on(inquiry)

    def _record(
        self, inquiry: _Inquiry, host: str, reply: messages.UsageReply
    ) -> None:
        """Record what a host has replied to an inquiry."""
        if reply.state == "granted":
            inquiry.granted_by = host
            self._known.record_room(reply.customer, host)
        elif reply.state == "short":
            inquiry.is_short = True
            inquiry.wait_s = min(inquiry.wait_s, reply.wait_ms / 1000)
            if reply.crowd_ms > 0:
                # Others were refused by all shares just before.
                del inquiry.left[1:]
            inquiry.crowd_s = max(inquiry.crowd_s, reply.crowd_ms / 1000)
            self._known.record_short(
                self._board.now(),
                reply.customer,
                host,
                cost=reply.cost,
                wait_s=reply.wait_ms / 1000,
            )

    def _refund(self, host: str, customer: str, cost: int) -> None:
        if host == self._board.host:
            self._shares.give_back(customer, cost)
            return
        self._board.metrics.record_usage_message("refund")
        self._mesh.send(host, messages.UsageRefund(customer, cost))


def _refused(wait_s: float) -> Refused:
    return Refused(
        "usage_limit", max(MIN_RETRY_AFTER_S, wait_s + RETRY_MARGIN_S)
    )


def make(
    board: Any,
    link: mesh.Mesh,
    *,
    rule: usage_rule.QuotaRule,
) -> UsageController:
    """Create the usage controller of a host.

    Args:
      board: State of this host, a `usage_shares.Board`.
      link: Messages between hosts.
      rule: How far limits may be exceeded.
    """
    view = allocator_view.AllocatorView(
        board.membership, board.failure_domain, has_equal_domains=True
    )
    shares = usage_shares.UsageShares(board, link, view, rule=rule)
    return UsageController(board, link, view, shares, rule=rule)
