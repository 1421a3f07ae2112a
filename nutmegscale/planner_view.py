"""Which host plans for a service, as one host sees it."""

from nutmegscale import rendezvous
from nutmegscale import routing_board

# Time for which a redirect to another planner is followed, seconds: a few
# probe periods of the membership protocol.
REDIRECT_TTL_S = 2.0


class PlannerView:
    """The planner of each service.

    One host plans for each service: the first by rendezvous hashing among the
    hosts that are alive in this host's view and may plan. Two hosts may both
    plan for a while; that costs only goodput, since the engines decide in the
    end whether a run is admitted.
    """

    def __init__(self, board: routing_board.RoutingBoard) -> None:
        self._board = board
        self._redirects: dict[str, tuple[str, float]] = {}

    def planner_of(self, service: str) -> str:
        """Return the host that plans for a service.

        A recent redirect by the presumed planner overrides this host's own
        view: a host that has just started knows few of the others.
        """
        redirect = self._redirects.get(service)
        if redirect is not None and self._board.now() < redirect[1]:
            return redirect[0]
        eligible = self._board.membership.planners()
        return rendezvous.best(service.encode(), eligible) or self._board.host

    def is_own(self, service: str) -> bool:
        """Whether this host plans for a service."""
        return self.planner_of(service) == self._board.host

    def record_redirect(
        self, service: str, planner: str, new_planner: str
    ) -> None:
        """Follow a redirect to another planner, but plan here after a second.

        Requests would otherwise loop between hosts that redirect to each other.

        Args:
          service: The service.
          planner: Host that replied that it isn't the planner.
          new_planner: Host that it named as the planner.
        """
        redirect = self._redirects.get(service)
        is_loop = redirect is not None and redirect[0] == planner
        until = self._board.now() + REDIRECT_TTL_S
        target = self._board.host if is_loop else new_planner
        self._redirects[service] = (target, until)
