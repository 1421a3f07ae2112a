"""Ranks of recent calls to services beyond their limits; does no I/O."""

# Time for which a call or a refusal counts, seconds: a host may get a call of a
# rank every few seconds only.
MEMORY_S = 4.0


class UrgentCalls:
    """Knows whether permits are to be kept for more urgent calls of a service.

    Answers calls of several ranks beyond the limits of all servers: as long as
    some are refused, permits are kept for the more urgent ones for a part of
    their time.
    """

    def __init__(self) -> None:
        self._called_at: dict[str, dict[int, float]] = {}
        self._refused_at: dict[str, float] = {}

    def record(self, now: float, service: str, priority: int) -> None:
        """Record a call that needs a permit.

        Args:
          now: Current time, seconds.
          service: Service of the call.
          priority: Its rank; 0 goes first.
        """
        self._called_at.setdefault(service, {})[priority] = now

    def record_refusal(self, now: float, service: str) -> None:
        """Record that a call of a service got no permit and was refused."""
        self._refused_at[service] = now

    def is_preceded(self, now: float, service: str, priority: int) -> bool:
        """Whether permits are kept for calls that go before a rank."""
        refused_at = self._refused_at.get(service)
        if refused_at is None or now - refused_at >= MEMORY_S:
            return False
        return any(
            rank < priority and now - at < MEMORY_S
            for rank, at in self._called_at.get(service, {}).items()
        )
