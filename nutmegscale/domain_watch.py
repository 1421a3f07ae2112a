"""Finds the failure domains that this host is cut off from."""

import random

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import periodic
from nutmegscale import routing_board
from nutmegscale import upstream

# Period of the search, and of the probes of a domain that is cut off, seconds.
PERIOD_S = 0.25
# Number of a domain's servers that each search probes.
PROBED_SERVERS = 2
# Time after which a host that isn't known to be silent must have been heard of
# for its domain to count as reachable, seconds.
UNHEARD_S = 1.0


class DomainWatch:
    """Writes `RoutingBoard.cut_domains`.

    A domain is cut off if none of its hosts answers and none of its probed
    servers takes a connection. The servers of a domain that lost all its hosts
    stay in use.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        pool: upstream.UpstreamPool,
        *,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._mesh = link
        self._pool = pool
        self._rng = rng
        self._reachable: set[str] = set()
        self._period = periodic.Periodic(board.clock, PERIOD_S, self._search)

    def start(self) -> None:
        """Start searching."""
        self._period.start()

    def stop(self) -> None:
        """Stop searching."""
        self._period.stop()

    async def _search(self) -> None:
        silent = self._silent_domains()
        self._reachable &= silent
        self._set(silent - self._reachable)
        for domain in self._board.cut_domains:
            periodic.spawn(self._probe(domain))

    def _silent_domains(self) -> set[str]:
        """Return the other failure domains of which no host answers."""
        domains: dict[str, list[membership.Member]] = {}
        for member in self._board.membership.members():
            if member.state != membership.State.LEAVING:
                domains.setdefault(member.failure_domain, []).append(member)
        domains.pop(self._board.failure_domain, None)
        return {
            domain
            for domain, hosts in domains.items()
            if all(self._is_unheard(host) for host in hosts)
            and sum(self._is_silent(h) for h in hosts) >= min(2, len(hosts))
        }

    def _is_silent(self, member: membership.Member) -> bool:
        is_alive = member.state == membership.State.ALIVE
        return not is_alive or member.host in self._mesh.silent

    def _is_unheard(self, member: membership.Member) -> bool:
        """Whether a host is silent, or had nothing to say for a while."""
        unheard_s = self._board.now() - self._mesh.last_heard(member.host)
        return self._is_silent(member) or unheard_s > UNHEARD_S

    async def _probe(self, domain: str) -> None:
        """Find out whether a server of a domain takes a connection."""
        servers = [
            server
            for server in self._board.backends.all()
            if server.failure_domain == domain and not server.is_draining
        ]
        count = min(PROBED_SERVERS, len(servers))
        for server in self._rng.sample(servers, count):
            if await self._takes_connection(server):
                self._reachable.add(domain)
                self._set(self._board.cut_domains - {domain})
                return

    async def _takes_connection(self, server: backend.Backend) -> bool:
        try:
            connection = await self._pool.reserve(server.address, fresh=True)
        except errors.ConnectError:
            return False
        connection.release()
        return True

    def _set(self, domains: set[str] | frozenset[str]) -> None:
        if domains != self._board.cut_domains:
            self._board.cut_domains = frozenset(domains)
            logs.get().warning("domains_cut", domains=",".join(sorted(domains)))
