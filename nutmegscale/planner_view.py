"""Which host plans for a service, as one host sees it."""

from nutmegscale import rendezvous
from nutmegscale import routing_board

# How long the word of a host that another one plans is believed, seconds: a
# few periods of the membership's probes.
MOVED_LIFE_S = 2.0


class PlannerView:
    """The planner of each service.

    One host plans for each service: the first by rendezvous hashing among
    the hosts that this host holds for alive and that have the means. Two hosts
    may both plan for a while; that costs goodput only, since the engines have
    the last word.
    """

    def __init__(self, board: routing_board.RoutingBoard) -> None:
        self._board = board
        self._moved: dict[str, tuple[str, float]] = {}

    def planner_of(self, service: str) -> str:
        """Return the host that plans for a service.

        What the host that was held for the planner has just said goes before
        the own view: a host that has just started knows little of the others.
        """
        moved = self._moved.get(service)
        if moved is not None and self._board.now() < moved[1]:
            return moved[0]
        able = self._board.membership.planners()
        return rendezvous.best(service.encode(), able) or self._board.host

    def is_own(self, service: str) -> bool:
        """Whether this host plans for a service."""
        return self.planner_of(service) == self._board.host

    def note_moved(self, service: str, planner: str, other: str) -> None:
        """Follow to another planner, or plan here if that goes in circles.

        Args:
          service: The service.
          planner: Host that said that it doesn't plan.
          other: Host that plans, as it said.
        """
        moved = self._moved.get(service)
        is_circle = moved is not None and moved[0] == planner
        until = self._board.now() + MOVED_LIFE_S
        target = self._board.host if is_circle else other
        self._moved[service] = (target, until)
