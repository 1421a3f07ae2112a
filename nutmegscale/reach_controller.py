"""Detects that this host reaches no backend server, of a service or at all."""

from collections.abc import Callable
from collections.abc import Iterable
import random

from twisted.internet import defer
from twisted.internet import error

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import periodic
from nutmegscale import routing_board
from nutmegscale import upstream

# Period of the check, and of the probes of the servers of a service of which
# none can be reached, seconds.
PERIOD_S = 0.5
# Failed connections to this many servers in a row, within this time in seconds,
# make this host check whether it is cut off.
MIN_FAILED_SERVERS = 2
FAILURE_MEMORY_S = 2.0
# Time without any answer to waiting requests after which it checks, seconds.
SILENCE_S = 0.6
# Shortest time between two such checks, seconds.
CHECK_PAUSE_S = 0.5
# Time for which an answer of a server shows that it could be reached, seconds.
NEARBY_MEMORY_S = 5.0
# Servers that a check tries to connect to.
CHECKED_SERVERS = 4


class ReachController:
    """Writes `RoutingBoard.unreachable_services` and `is_cut_off`.

    A host that reaches no server of a service reports itself as not ready, so
    that new callers are sent to hosts that do. Because it then receives few
    requests, it probes the servers itself to notice that they are back. Prefill
    workers don't count, and a service without servers isn't reported.

    A host is cut off if none of some servers takes a new connection. It checks
    that when connections to several servers were refused and none was made,
    when one got no answer, and when no waiting request is answered: connections
    that are open may hang without an error. A server that is silent but alive
    takes connections.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        *,
        rng: random.Random,
        on_change: Callable[[bool], None] = lambda _: None,
        while_cut_off: Callable[[], None] = lambda: None,
    ) -> None:
        """Create the controller.

        Args:
          board: State of this host.
          pool: Connections to servers.
          rng: Source of random numbers.
          on_change: Called when this host is cut off, and when it no longer is.
          while_cut_off: Called every `PERIOD_S` while it is.
        """
        self._board = board
        self._pool = pool
        self._rng = rng
        self._on_change = on_change
        self._while_cut_off = while_cut_off
        self._failed_at: dict[str, float] = {}
        self._addresses: frozenset[str] = frozenset()
        self._addresses_version = -1
        self._check_ended_at = 0.0
        self._is_checking = False
        self._waiters: list[defer.Deferred[None]] = []
        self._period = periodic.Periodic(board.clock, PERIOD_S, self._check)
        pool.watch_connects(self._record_connect)

    def start(self) -> None:
        """Start checking."""
        self._period.start()

    def stop(self) -> None:
        """Stop checking."""
        self._period.stop()

    async def check_connection(self, address: str) -> None:
        """Check that a server accepts a new connection.

        While this host is cut off, or its path to the failure domain of the
        server is, that can't be known, and the server counts as accepting.

        Raises:
          errors.ConnectError: It accepts none.
        """
        try:
            await self._pool.check_connection(address)
        except errors.ConnectError:
            await self.settle()
            is_cut_off = self._board.is_cut_off
            if not is_cut_off and not await self._is_domain_cut_off(address):
                raise

    async def _is_domain_cut_off(self, address: str) -> bool:
        """Whether servers near one that have just answered are out of reach.

        Those that haven't may have been down before.
        """
        board = self._board
        heard_since = board.now() - NEARBY_MEMORY_S
        servers = [s for s in self._board.backends.all() if not s.is_draining]
        domains = {s.failure_domain for s in servers if s.address == address}
        nearby = [
            server
            for server in servers
            if server.failure_domain in domains
            and server.address != address
            and board.loads.heard_at(server) > heard_since
        ]
        self._rng.shuffle(nearby)
        checks = [
            defer.ensureDeferred(self._pool.check_connection(server.address))
            for server in nearby[:CHECKED_SERVERS]
        ]
        if len(checks) < MIN_FAILED_SERVERS:
            return False
        # A list of outcomes if all failed, the first success otherwise.
        outcome = await defer.DeferredList(
            checks, fireOnOneCallback=True, consumeErrors=True
        )
        is_cut_off = isinstance(outcome, list)
        if is_cut_off:
            logs.get().info("domain_unreachable", domains=",".join(domains))
        return is_cut_off

    async def settle(self) -> None:
        """Wait for the end of a check of whether this host is cut off."""
        if self._is_checking:
            waiter: defer.Deferred[None] = defer.Deferred()
            self._waiters.append(waiter)
            await waiter

    def _record_connect(self, address: str, failure: Exception | None) -> None:
        """Record the outcome of a new connection of this host."""
        if address not in self._server_addresses():
            return
        now = self._board.now()
        if failure is None:
            self._failed_at.clear()
            self._set_cut_off(False)
            return
        self._failed_at[address] = now
        recent = [
            at for at in self._failed_at.values() if now - at < FAILURE_MEMORY_S
        ]
        is_unanswered = isinstance(failure, error.TimeoutError)
        if is_unanswered or len(recent) >= MIN_FAILED_SERVERS:
            self._start_check()

    def _server_addresses(self) -> frozenset[str]:
        backends = self._board.backends
        if backends.version != self._addresses_version:
            self._addresses_version = backends.version
            self._addresses = frozenset(s.address for s in backends.all())
            self._failed_at = {
                address: at
                for address, at in self._failed_at.items()
                if address in self._addresses
            }
        return self._addresses

    def _set_cut_off(self, is_cut_off: bool) -> None:
        if is_cut_off == self._board.is_cut_off:
            return
        self._board.is_cut_off = is_cut_off
        logs.get().warning("cut_off_changed", is_cut_off=is_cut_off)
        if is_cut_off:
            # Requests on these connections would hang.
            for address in self._server_addresses():
                self._pool.close_idle(address)
        self._on_change(is_cut_off)

    def _start_check(self) -> None:
        now = self._board.now()
        is_due = now - self._check_ended_at >= CHECK_PAUSE_S
        if not self._is_checking and is_due and not self._board.is_cut_off:
            self._is_checking = True
            periodic.spawn(self._check_cut_off())

    async def _check_cut_off(self) -> None:
        """Find out whether any of some servers takes a connection."""
        try:
            outcomes = await self._connect(self._sample())
            if len(outcomes) >= MIN_FAILED_SERVERS and not any(outcomes):
                self._set_cut_off(True)
        finally:
            self._check_ended_at = self._board.now()
            self._is_checking = False
            waiters, self._waiters = self._waiters, []
            for waiter in waiters:
                if not waiter.called:
                    waiter.callback(None)

    def _sample(self) -> list[backend.Backend]:
        """Return some servers in different failure domains.

        One in the domain of this host comes first: the others may be cut off.
        """
        servers = [s for s in self._board.backends.all() if not s.is_draining]
        self._rng.shuffle(servers)
        own = self._board.failure_domain
        by_domain: dict[str, list[backend.Backend]] = {}
        for server in servers:
            by_domain.setdefault(server.failure_domain, []).append(server)
        domains = sorted(by_domain, key=lambda domain: domain != own)
        first = [by_domain[domain][0] for domain in domains]
        others = [server for server in servers if server not in first]
        return (first + others)[:CHECKED_SERVERS]

    async def _connect(self, servers: Iterable[backend.Backend]) -> list[bool]:
        """Return which servers take a new connection."""
        return await periodic.gather(
            self._takes_connection(server) for server in servers
        )

    async def _takes_connection(self, server: backend.Backend) -> bool:
        try:
            await self._pool.check_connection(server.address)
        except errors.ConnectError:
            return False
        return True

    def _is_unanswered(self) -> bool:
        """Whether servers have requests of this host, and none answers."""
        now, loads = self._board.now(), self._board.loads
        silences = [
            silent_s
            for server in self._board.backends.all()
            if (silent_s := loads.silent_s(now, server)) is not None
        ]
        return bool(silences) and min(silences) >= SILENCE_S

    async def _check(self) -> None:
        if self._is_unanswered():
            self._start_check()
        if self._board.is_cut_off:
            self._while_cut_off()
            # A connection that is made ends it.
            await self._connect(self._sample())
        self._check_services()

    def _check_services(self) -> None:
        config = self._board.config
        if config is None:
            return
        unreachable_services = set()
        for service in config.services:
            servers = [
                server
                for server in self._board.backends.usable(service)
                if server.stage != "prefill"
            ]
            unreachable = [
                s for s in servers if self._board.loads.is_unreachable(s)
            ]
            if servers and len(unreachable) == len(servers):
                unreachable_services.add(service)
                for server in unreachable:
                    periodic.spawn(self._probe(server))
        if unreachable_services != self._board.unreachable_services:
            self._board.unreachable_services = frozenset(unreachable_services)
            logs.get().warning(
                "reach_changed", cut_off=",".join(unreachable_services)
            )

    async def _probe(self, server: backend.Backend) -> None:
        if await self._takes_connection(server):
            self._board.loads.record_success(server)
