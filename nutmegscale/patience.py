"""Estimate of how long callers waited before an attempt.

It follows from the patience that a request states: the time that its caller
will still wait.
"""

# Differences up to this come from the network and the callers' clocks, seconds.
TOLERANCE_S = 0.1


class _RoutePatience:
    """Patience that the callers of one route state."""

    def __init__(self) -> None:
        self.typical_s = 0.0
        self.typical_count = 0
        self.count = 0

    def record(self, patience_s: float) -> None:
        """Record a request; the longest patience counts as the typical one."""
        self.count += 1
        if patience_s > self.typical_s + TOLERANCE_S:
            self.typical_count = 0
        self.typical_s = max(patience_s, self.typical_s)
        if patience_s > self.typical_s - TOLERANCE_S:
            self.typical_count += 1

    @property
    def is_typical(self) -> bool:
        """Whether most callers state the typical patience."""
        return 2 * self.typical_count > self.count


class PatienceEstimator:
    """Estimates past waits from the typical patience per route; does no I/O.

    Where all callers start with the same patience, a request that states less
    was attempted before: its caller was refused, or reached no host. Where each
    caller sets its own patience, nothing follows from a single request.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RoutePatience] = {}

    def waited_s(self, route: str, patience_s: float | None) -> float:
        """Record a request and return how long its caller has waited, seconds.

        Args:
          route: Name of the route.
          patience_s: Patience that the request states, or None.

        Returns:
          The time waited, 0 if it is within the tolerance or unknown.
        """
        if patience_s is None:
            return 0.0
        known = self._routes.setdefault(route, _RoutePatience())
        known.record(patience_s)
        waited_s = known.typical_s - patience_s
        if waited_s <= TOLERANCE_S or not known.is_typical:
            return 0.0
        return waited_s
