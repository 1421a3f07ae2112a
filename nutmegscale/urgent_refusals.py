"""Ranks of the calls that were refused lately; does no I/O."""

# Time for which a refusal counts, seconds.
MEMORY_S = 1.0


class UrgentRefusals:
    """Knows whether more urgent calls of a service were refused lately.

    Answers calls of several ranks beyond the limits of all servers: permits are
    then kept for the more urgent ones for a part of their time.
    """

    def __init__(self) -> None:
        self._refused_at: dict[str, dict[int, float]] = {}

    def record(self, now: float, service: str, priority: int) -> None:
        """Record a refused call.

        Args:
          now: Current time, seconds.
          service: Service of the call.
          priority: Its rank; 0 goes first.
        """
        self._refused_at.setdefault(service, {})[priority] = now

    def has_more_urgent(self, now: float, service: str, priority: int) -> bool:
        """Whether a call of a service that goes before a rank was refused."""
        return any(
            rank < priority and now - at < MEMORY_S
            for rank, at in self._refused_at.get(service, {}).items()
        )
