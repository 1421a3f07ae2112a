"""How long callers had waited before an attempt, from what they still have."""

# Differences below this are the way from the caller and its clock, seconds.
NOISE_S = 0.1


class PatienceNorm:
    """Longest patience that callers state for each route; pure.

    A caller that was refused comes back within the time that it set itself
    at first, so what is missing from the usual patience has passed already.
    """

    def __init__(self) -> None:
        self._longest_s: dict[str, float] = {}

    def waited_s(self, route: str, patience_s: float | None) -> float:
        """Return how long a caller had waited, seconds.

        Args:
          route: Name of the route.
          patience_s: Patience that the request states, or None.
        """
        if patience_s is None:
            return 0.0
        longest_s = max(patience_s, self._longest_s.get(route, 0.0))
        self._longest_s[route] = longest_s
        waited_s = longest_s - patience_s
        return waited_s if waited_s > NOISE_S else 0.0
