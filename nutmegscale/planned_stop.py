"""Which requests a host still takes while it shuts down; does no I/O."""

from collections import deque

from nutmegscale import routes

# Time after SIGTERM from which new streams are refused, seconds: they may last
# longer than the time that is left until the process is killed.
REFUSE_STREAMS_AFTER_S = 1.0
# Requests are answered this long before the process would be killed, seconds.
KILL_MARGIN_S = 0.4
# A call may take this many times as long as the longest one lately.
LONGER_FACTOR = 2.0
# Calls of a service whose durations count, and how many must be known.
MAX_DURATIONS = 64
MIN_DURATIONS = 4


class CallDurations:
    """How long the latest calls of each service took."""

    def __init__(self) -> None:
        self._durations: dict[str, deque[float]] = {}

    def record(self, service: str, took_s: float) -> None:
        """Record a call that a server answered.

        Args:
          service: Its service.
          took_s: Time from its arrival to its answer, seconds.
        """
        latest = self._durations.setdefault(
            service, deque(maxlen=MAX_DURATIONS)
        )
        latest.append(took_s)

    def longest_s(self, service: str) -> float | None:
        """Return the longest duration, seconds; None if too few are known."""
        latest = self._durations.get(service, ())
        return max(latest) if len(latest) >= MIN_DURATIONS else None


class PlannedStop:
    """Decides which requests a host takes from SIGTERM to its end.

    Answers callers that come late in the grace, while others are still served:
    a request that can't be answered in time is refused as not run, so that its
    caller can send it to another host. It isn't passed on to another host: the
    answer would have to come back through this one.

    Attributes:
      answer_by: When each request must have been answered, seconds.
    """

    def __init__(self, now: float, *, grace_s: float) -> None:
        """Create the decision of one stop.

        Args:
          now: When it began, seconds.
          grace_s: Time until the process is killed, seconds.
        """
        self._began_at = now
        self.answer_by = now + grace_s - KILL_MARGIN_S

    def refuses(
        self,
        now: float,
        *,
        kind: routes.RouteKind,
        is_relayed: bool,
        limit_s: float,
        longest_s: float | None,
    ) -> bool:
        """Whether a request that has just come is refused.

        Args:
          now: Current time, seconds.
          kind: Kind of its route.
          is_relayed: Whether another host has passed it on, which can ask
            others.
          limit_s: Time after which it is answered in any case, seconds.
          longest_s: Duration of the longest call of its service lately,
            seconds; None if that isn't known.
        """
        if is_relayed:
            return True
        if kind == "stream":
            return now - self._began_at > REFUSE_STREAMS_AFTER_S
        needed_s = limit_s
        if longest_s is not None:
            needed_s = min(limit_s, LONGER_FACTOR * longest_s)
        return now + needed_s > self.answer_by
