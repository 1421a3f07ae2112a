"""Which host plans for a service, as one host sees it."""

from nutmegscale import rendezvous
from nutmegscale import routing_board

# How long the word of a host that another one plans is believed, seconds: a
# few periods of the membership's probes.
REDIRECT_LIFE_S = 2.0


class PlannerView:
    """The planner of each service.

    One host plans for each service: the first by rendezvous hashing among
    the hosts that this host holds for alive and that have the means. Two hosts
    may both plan for a while; that costs goodput only, since the engines have
    the last word.
    """

    def __init__(self, board: routing_board.RoutingBoard) -> None:
        self._board = board
        self._redirects: dict[str, tuple[str, float]] = {}

    def planner_of(self, service: str) -> str:
        """Return the host that plans for a service.

        What the host that was held for the planner has just said goes before
        the own view: a host that has just started knows little of the others.
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
        """Follow to another planner, or plan here if that goes in circles.

        Args:
          service: The service.
          planner: Host that said that it doesn't plan.
          new_planner: Host that plans, as it said.
        """
        redirect = self._redirects.get(service)
        is_loop = redirect is not None and redirect[0] == planner
        until = self._board.now() + REDIRECT_LIFE_S
        target = self._board.host if is_loop else new_planner
        self._redirects[service] = (target, until)
