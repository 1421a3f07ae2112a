"""Which hosts hold the shares of a server's limit, as one host sees it."""

from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence

from nutmegscale import membership
from nutmegscale import rendezvous

# Hosts that hold a share of the limit of one server.
ALLOCATORS = 4
# Failure domains from which on each may hold a single share. With two, a second
# share in each leaves more of a limit if a single host is lost.
EQUAL_DOMAINS = 3
# Most domains that do. A share of a limit with many is too small for requests
# that cost much.
MAX_EQUAL_DOMAINS = 8


class AllocatorView:
    """The hosts that hold the shares of each server's limit; does no I/O.

    They follow from all known hosts, alive or not, so that two hosts don't hold
    the same share when they don't hear each other.

    Args:
      members: View of the hosts.
      failure_domain: Failure domain of this host.
      has_equal_domains: Whether each domain holds one share, if there are
        `EQUAL_DOMAINS` or more. The loss of one then costs the same part of a
        limit whichever it is, and each can serve when it is cut off.
    """

    def __init__(
        self,
        members: membership.Membership,
        failure_domain: str,
        *,
        has_equal_domains: bool = False,
    ) -> None:
        self._members = members
        self._failure_domain = failure_domain
        self._has_equal_domains = has_equal_domains
        self._known: dict[str, tuple[int, list[str]]] = {}

    def allocators(self, server: str) -> list[str]:
        """Return the hosts that hold a share of a server's limit.

        They are the first host of each failure domain in rendezvous order, and
        further hosts if there are few domains.

        Args:
          server: Key of the server.
        """
        known = self._known.get(server)
        if known is not None and known[0] == self._members.version:
            return known[1]
        hosts = {m.host: m.failure_domain for m in self._members.members()}
        ranked = rendezvous.rank(server.encode(), hosts)
        count = ALLOCATORS
        domains = len(set(hosts.values()))
        if self._has_equal_domains and domains >= EQUAL_DOMAINS:
            count = min(MAX_EQUAL_DOMAINS, domains)
        chosen = _spread_over_domains(ranked, hosts)[:count]
        self._known[server] = (self._members.version, chosen)
        return chosen

    def preferred(self, server: str, silent: Collection[str]) -> list[str]:
        """Return the allocators in the order in which this host asks them.

        That of its own failure domain goes first. The others follow in an order
        that differs from host to host.

        Args:
          server: Key of the server.
          silent: Hosts that don't answer, which are left out.
        """
        key = f"{server} {self._members.host}".encode()
        hosts = [h for h in self.allocators(server) if h not in silent]
        return sorted(rendezvous.rank(key, hosts), key=self._is_distant)

    def nearest(self, server: str) -> list[str]:
        """Return the other hosts that this allocator tells of a limit.

        They are those of its failure domain; the first allocator also takes the
        domains without one. If a domain has several, each tells all of it.

        Args:
          server: Key of the server.
        """
        hosts = self.allocators(server)
        domains = {host: self._domain(host) for host in hosts}
        is_first = hosts[0] == self._members.host
        return [
            member.host
            for member in self._members.members()
            if member.host != self._members.host
            and (
                member.failure_domain == self._failure_domain
                or (is_first and member.failure_domain not in domains.values())
            )
        ]

    def _domain(self, host: str) -> str:
        member = self._members.get(host)
        return member.failure_domain if member else ""

    def holds_share(self, server: str) -> bool:
        """Whether this host holds a share of a server's limit."""
        return self._members.host in self.allocators(server)

    def forget(self, server: str) -> None:
        """Forget the hosts of a server that has no limit any more."""
        self._known.pop(server, None)

    def _is_distant(self, host: str) -> bool:
        return self._domain(host) != self._failure_domain


def _spread_over_domains(
    ranked: Sequence[str], domains: Mapping[str, str]
) -> list[str]:
    """Move the first host of each failure domain to the front.

    Args:
      ranked: Hosts, the first ones first.
      domains: Failure domain of each host.
    """
    first: dict[str, str] = {}
    for host in ranked:
        first.setdefault(domains[host], host)
    chosen = list(first.values())
    return chosen + [host for host in ranked if host not in chosen]
