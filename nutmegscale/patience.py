"""How long callers had waited before an attempt, from what they still have."""

# Differences below this are the way from the caller and its clock, seconds.
TOLERANCE_S = 0.1


class _RoutePatience:
    """Patience that the callers of a route state."""

    def __init__(self) -> None:
        self.typical_s = 0.0
        self.typical_count = 0
        self.count = 0

    def record(self, patience_s: float) -> None:
        """Take in a request; the longest patience counts as the usual one."""
        self.count += 1
        if patience_s > self.typical_s + TOLERANCE_S:
            self.typical_count = 0
        self.typical_s = max(patience_s, self.typical_s)
        if patience_s > self.typical_s - TOLERANCE_S:
            self.typical_count += 1

    @property
    def is_typical(self) -> bool:
        """Whether most callers state the same."""
        return 2 * self.typical_count > self.count


class PatienceEstimator:
    """Usual patience that callers state for each route; pure.

    Where callers set themselves the same time, what is missing from it in a
    request has passed already: its caller was refused, or found no host.
    Where each caller sets its own time, a request says nothing of that.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RoutePatience] = {}

    def waited_s(self, route: str, patience_s: float | None) -> float:
        """Return how long a caller had waited, seconds.

        Args:
          route: Name of the route.
          patience_s: Patience that the request states, or None.
        """
        if patience_s is None:
            return 0.0
        known = self._routes.setdefault(route, _RoutePatience())
        known.record(patience_s)
        waited_s = known.typical_s - patience_s
        if waited_s <= TOLERANCE_S or not known.is_typical:
            return 0.0
        return waited_s
