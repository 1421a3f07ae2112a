"""Keeps this host to the limits that backend servers state."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from nutmegscale import allocator_view
from nutmegscale import backend
from nutmegscale import limit_shares
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import permit_allocator
from nutmegscale import permit_waiters
from nutmegscale import routing_board
from nutmegscale import send_permits
from nutmegscale import urgent_calls

# Longest wait of a call for the reply to the permit request that it caused,
# seconds: two trips between failure domains.
REPLY_WAIT_S = 0.01
# Age up to which a permit is kept for more urgent calls, seconds: half of the
# time for which it is valid.
URGENT_ONLY_S = send_permits.PERMIT_TTL_S / 2
# Period in which a planner is told again of a limit in force, seconds.
REPORT_PERIOD_S = 1.0
# Span of received permits from which their rate is estimated, seconds.
RATE_SPAN_S = 4.0
# Bounds of the Retry-After of a call that no server may be sent, seconds.
MIN_RETRY_AFTER_S = 0.3
MAX_RETRY_AFTER_S = 10.0


class LimitController:
    """Decides how many requests this host sends to servers with a limit.

    Each request to such a server needs a permit, which expires soon. Permits
    come from the hosts that hold the shares of its limit.

    Args:
      board: State of this host.
      link: Messages between hosts.
      planner_of: Returns the host that plans for a service, or "" if none does.
      rng: Source of random numbers.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        *,
        planner_of: Callable[[str], str],
        rng: random.Random,
    ) -> None:
        self._board = board
        self._mesh = link
        self._planner_of = planner_of
        self._view = allocator_view.AllocatorView(
            board.membership, board.failure_domain
        )
        self._shares = limit_shares.LimitShares(
            board,
            link,
            self._view,
            rng=rng,
            deliver_local=lambda reply: self._receive_reply(board.host, reply),
        )
        self._permits = send_permits.SendPermits()
        self._waiters = permit_waiters.PermitWaiters(board.clock)
        self._reported: dict[str, tuple[str, float | None, float]] = {}
        self._calls = urgent_calls.UrgentCalls()
        self._return_at: dict[str, float] = {}
        self._pruned_version = 0
        link.on(messages.PermitReply, self._receive_reply)
        link.on(messages.LimitUpdate, self._receive_update)

    def record_joined(self) -> None:
        """Record that this host knows the others and they know it."""
        self._shares.record_joined()

    def permits(self, server: backend.Backend) -> int | None:
        """Return how many requests a server may be sent now; None if any."""
        if self._board.notices.limits.get(server.key) is None:
            return None
        return self._permits.count(self._board.now(), server.key)

    def may_call(self, server: backend.Backend, priority: int) -> bool:
        """Whether a server may be sent a call of a rank now; 0 goes first.

        While calls are refused, permits are kept for the more urgent ones
        until they are of a certain age.
        """
        if self._board.notices.limits.get(server.key) is None:
            return True
        now = self._board.now()
        is_kept = self._calls.is_preceded(now, server.service, priority)
        min_age_s = URGENT_ONLY_S if is_kept else 0.0
        return self._permits.count(now, server.key, min_age_s=min_age_s) > 0

    def take(self, server: backend.Backend) -> bool:
        """Use a permit for a server; return False if there is none."""
        is_taken = self._permits.take(self._board.now(), server.key)
        self._board.metrics.record_limited_send(is_sent=is_taken)
        return is_taken

    def give_back(self, server: backend.Backend) -> None:
        """Return a permit whose request wasn't sent."""
        self._permits.give_back(self._board.now(), server.key)

    def want(self, server: backend.Backend, queued: int) -> None:
        """Ask for permits for queued requests if a server states a limit.

        Args:
          server: The server.
          queued: Number of requests that could use one now.
        """
        if self._board.notices.limits.get(server.key) is not None:
            self._permits.record_queue(self._board.now(), server.key, queued)
            self._ask(server.key)

    async def prepare(
        self, servers: Sequence[backend.Backend], *, priority: int
    ) -> None:
        """Ask for permits for a call, and wait shortly for the replies.

        Permits that are used at once aren't lost to other hosts.

        Args:
          servers: Servers that the call may be sent to.
          priority: Rank of the call; 0 goes first.
        """
        asked = set()
        for server in servers:
            if self._board.notices.limits.get(server.key) is None:
                continue
            now = self._board.now()
            self._calls.record(now, server.service, priority)
            self._permits.record_demand(now, server.key)
            if self._ask(server.key):
                asked.add(server.key)
        if asked:
            await self._waiters.wait(
                asked, priority=priority, limit_s=REPLY_WAIT_S
            )

    def _ask(self, server: str) -> bool:
        """Ask the next host that holds a share of a server's limit.

        Returns:
          Whether another host was asked, which replies soon.
        """
        limit = self._board.notices.limits.get(server)
        if limit is None:
            return False
        self._prune()
        now = self._board.now()
        allocators = self._view.preferred(server, self._mesh.silent)
        host = self._permits.next_allocator(now, server, allocators)
        if host is None:
            return False
        wanted = self._permits.wanted(now, server)
        request = messages.PermitRequest(server, limit.per_s, wanted)
        if host == self._board.host:
            self._shares.receive(host, request)
            return False
        self._mesh.send(host, request)
        return True

    def _receive_reply(self, sender: str, reply: messages.PermitReply) -> None:
        now, server = self._board.now(), reply.server
        self._permits.record_reply(now, server, sender, reply.wait_s)
        if reply.permits > 0:
            self._permits.add(now, server, reply.permits)
            self._waiters.wake(
                server,
                lambda: self._permits.count(self._board.now(), server) > 0,
            )
        elif self._permits.has_demand(now, server):
            self._ask(server)

    def refuse(
        self,
        service: str,
        servers: Sequence[backend.Backend],
        *,
        priority: int,
    ) -> float:
        """Record a call that is refused since no server may be sent it.

        Callers are spread at the rate at which this host gets permits.

        Args:
          service: Service of the servers.
          servers: Servers that the call may be sent to; each has a limit.
          priority: Rank of the call; 0 goes first.

        Returns:
          When the caller is to come back, seconds from now.
        """
        now = self._board.now()
        self._calls.record_refusal(now, service)
        due = max(now, self._return_at.get(service, 0.0))
        due += 1.0 / self._permits_per_s(servers)
        due = min(due, now + MAX_RETRY_AFTER_S)
        self._return_at[service] = due
        return max(MIN_RETRY_AFTER_S, due - now)

    def _permits_per_s(self, servers: Sequence[backend.Backend]) -> float:
        """Return the permits a second that this host gets for some servers.

        Without any in the last time, it is this host's part of the limits.
        """
        now = self._board.now()
        received = sum(
            self._permits.received_per_s(now, server.key, RATE_SPAN_S)
            for server in servers
        )
        if received:
            return received
        limits = [
            self._board.notices.limits.per_s(s.key) or 0.0 for s in servers
        ]
        hosts = len(self._board.membership.members())
        return max(permit_allocator.MIN_PER_S, sum(limits)) / hosts

    def record(
        self,
        server: backend.Backend,
        per_s: float | None,
        *,
        has_changed: bool,
        was_permitted: bool,
    ) -> None:
        """Tell other hosts what the answer of a server states.

        Args:
          server: The server.
          per_s: Its limit, requests a second; None if it states none.
          has_changed: Whether that is new to this host.
          was_permitted: Whether a planner used a permit for the request, and so
            believes in a limit.
        """
        if per_s is not None:
            self.report(server)
        elif has_changed or was_permitted:
            update = messages.LimitUpdate(server.key, None)
            for host in self._view.allocators(server.key):
                if host == self._board.host:
                    self._shares.end_limit(server.key)
                else:
                    self._mesh.send(host, update)
            self.report(server)

    def report(self, server: backend.Backend) -> None:
        """Tell the planner of a server's limit, unless it was told just now."""
        planner = self._planner_of(server.service)
        if planner in ("", self._board.host):
            return
        per_s = self._board.notices.limits.per_s(server.key)
        now = self._board.now()
        known = self._reported.get(server.key)
        is_known = known is not None and known[:2] == (planner, per_s)
        if known is None or not is_known or now - known[2] >= REPORT_PERIOD_S:
            self._reported[server.key] = (planner, per_s, now)
            self._mesh.send(planner, messages.LimitUpdate(server.key, per_s))

    def _receive_update(
        self, sender: str, update: messages.LimitUpdate
    ) -> None:
        """Handle what a server stated to another host."""
        if update.per_s is None:
            self._shares.end_limit(update.server)
        server = self._board.backends.get(update.server.rpartition("@")[0])
        if server is None or server.key != update.server:
            return
        limits, now = self._board.notices.limits, self._board.now()
        is_planned_here = self._planner_of(server.service) == self._board.host
        is_new = update.per_s is not None and limits.get(server.key) is None
        if is_planned_here or is_new:
            has_changed = limits.record(now, server.key, now, update.per_s)
            if has_changed:
                logs.get().info(
                    "server_limit_heard",
                    backend=server.id,
                    per_s=update.per_s,
                    told_by=sender,
                )

    def _prune(self) -> None:
        """Forget the servers that are gone."""
        version = self._board.backends.version
        if version == self._pruned_version:
            return
        self._pruned_version = version
        keys = {server.key for server in self._board.backends.all()}
        self._permits.keep_only(keys)
        self._reported = {
            key: known for key, known in self._reported.items() if key in keys
        }
