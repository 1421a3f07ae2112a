"""Which planners are told the customers of streams; does no I/O.

Answers hosts of two builds side by side: a planner of the build before reads no
message with a further field, so that each request for a slot would time out.
"""

# Requests with a customer that a planner leaves unanswered in a row before it
# counts as one of the earlier build. A slow planner may miss a single one.
MAX_UNANSWERED = 2
# The same for a planner that has answered one before. It is slow, unless it was
# restarted with the earlier build.
MAX_UNANSWERED_BY_READER = 8
# Time after which such a planner is told a customer again, seconds. Each try
# costs a stream the timeout of a request, and lets the planner look silent.
RETRY_S = 30.0


class NamedPlanners:
    """Planners that didn't answer requests with a customer."""

    def __init__(self) -> None:
        self._unanswered: dict[str, int] = {}
        self._unnamed_until: dict[str, float] = {}
        self._readers: set[str] = set()

    def reads_customers(self, now: float, planner: str) -> bool:
        """Whether requests to a planner may name customers.

        Args:
          now: Monotonic time in seconds.
          planner: The host.
        """
        return now >= self._unnamed_until.get(planner, 0.0)

    def record(self, now: float, planner: str, *, is_answered: bool) -> None:
        """Record whether a planner answered a request with a customer.

        Args:
          now: Monotonic time in seconds.
          planner: The host.
          is_answered: Whether it answered in time.
        """
        if is_answered:
            self._readers.add(planner)
            self._unanswered.pop(planner, None)
            self._unnamed_until.pop(planner, None)
            return
        count = self._unanswered.get(planner, 0) + 1
        self._unanswered[planner] = count
        is_reader = planner in self._readers
        if count >= (MAX_UNANSWERED_BY_READER if is_reader else MAX_UNANSWERED):
            self._readers.discard(planner)
            self._unnamed_until[planner] = now + RETRY_S
