"""Which host plans for a service, as one host sees it."""

from collections.abc import Collection
from typing import NamedTuple

from nutmegscale import mesh
from nutmegscale import rendezvous
from nutmegscale import routing_board

# Time for which a redirect to another planner is followed, seconds: a few
# probe periods of the membership protocol.
REDIRECT_TTL_S = 2.0
# Largest number of hosts, in all and in one failure domain, of which a host
# finds out whether they answer when its planner doesn't.
MAX_CANDIDATES = 6
# Time after which a host that holds slots must have been heard of, seconds: it
# lists them twice in it.
UNHEARD_S = 1.0


class _RankedFirst(NamedTuple):
    """The first host in the order of a service.

    Attributes:
      versions: Versions of the membership and of the silent hosts for which
        it was computed.
      host: The host.
    """

    versions: tuple[int, int]
    host: str


class PlannerView:
    """The planner of each service.

    One host plans for each service: the first by rendezvous hashing among the
    hosts that are alive in this host's view, answer it and may plan. Hosts that
    don't hear each other have planners of their own; that costs only goodput,
    since the engines decide in the end whether a run is admitted.
    """

    def __init__(
        self, board: routing_board.RoutingBoard, link: mesh.Mesh
    ) -> None:
        self._board = board
        self._mesh = link
        self._redirects: dict[str, tuple[str, float]] = {}
        self._first: dict[str, _RankedFirst] = {}

    def planner_of(self, service: str) -> str:
        """Return the host that plans for a service.

        A recent redirect by the presumed planner overrides this host's own
        view: a host that has just started knows few of the others.
        """
        redirect = self._redirects.get(service)
        if (
            redirect is not None
            and self._board.now() < redirect[1]
            and redirect[0] not in self._mesh.silent
        ):
            return redirect[0]
        members = self._board.membership
        versions = (members.version, self._mesh.silence_version)
        known = self._first.get(service)
        if known is None or known.versions != versions:
            eligible = members.planners(without=self._mesh.silent)
            first = rendezvous.best(service.encode(), eligible)
            known = _RankedFirst(versions, first or self._board.host)
            self._first[service] = known
        return known.host

    def is_own(self, service: str) -> bool:
        """Whether this host plans for a service."""
        return self.planner_of(service) == self._board.host

    def candidates(self, service: str) -> set[str]:
        """Return the other hosts that may plan for a service soon.

        These are the first in the order of the service, among all hosts and in
        the failure domain of this one, which may be cut off.
        """
        members = self._board.membership
        eligible = members.planners()
        nearby = set(members.alive([self._board.failure_domain]))
        ranked = rendezvous.rank(service.encode(), eligible)
        found = ranked[:MAX_CANDIDATES]
        found += [host for host in ranked if host in nearby][:MAX_CANDIDATES]
        return set(found) - {self._board.host}

    def silent_before(self, service: str, planner: str) -> tuple[str, ...]:
        """Return the silent hosts that rank before a planner."""
        eligible = self._board.membership.planners()
        ranked = rendezvous.rank(service.encode(), eligible)
        before = ranked[: ranked.index(planner)] if planner in ranked else []
        return tuple(h for h in before if h in self._mesh.silent)

    def unheard_hosts(self, hosts: Collection[str]) -> list[str]:
        """Return those of some hosts that had nothing to say for a while."""
        now = self._board.now()
        return [
            host
            for host in hosts
            if host != self._board.host
            and host not in self._mesh.silent
            and now - self._mesh.last_heard(host) > UNHEARD_S
        ]

    def record_redirect(
        self, service: str, planner: str, new_planner: str
    ) -> None:
        """Follow a redirect to another planner, or plan here after a second.

        Requests would otherwise loop between hosts that redirect to each
        other, or to a host that doesn't answer this one.

        Args:
          service: The service.
          planner: Host that replied that it isn't the planner.
          new_planner: Host that it named as the planner.
        """
        redirect = self._redirects.get(service)
        is_loop = redirect is not None and redirect[0] == planner
        is_loop = is_loop or new_planner in self._mesh.silent
        until = self._board.now() + REDIRECT_TTL_S
        target = self._board.host if is_loop else new_planner
        self._redirects[service] = (target, until)
