"""Workers that a planner leaves out for a while; pure."""

# Pause of a worker that can't be reached, seconds, doubled each time.
UNREACHABLE_PAUSE_S = 0.5
MAX_UNREACHABLE_PAUSE_S = 4.0


class WorkerPauses:
    """Until when each worker is left out, and how often it was lost."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def is_paused(self, now: float, worker: str) -> bool:
        """Whether a worker is left out."""
        return self._until.get(worker, 0.0) > now

    def record_unreachable(self, now: float, worker: str) -> None:
        """Note that a worker can't be reached; several at once count once."""
        if self.is_paused(now, worker):
            return
        failures = self._failures.get(worker, 0)
        self._failures[worker] = failures + 1
        pause_s = min(
            MAX_UNREACHABLE_PAUSE_S, UNREACHABLE_PAUSE_S * 2.0**failures
        )
        self._until[worker] = now + pause_s

    def record_success(self, worker: str) -> None:
        """Note that a worker did what it was asked."""
        self._failures.pop(worker, None)

    def pause(self, worker: str, until: float) -> None:
        """Leave a worker out until a time."""
        self._until[worker] = until

    def resume(self, worker: str) -> None:
        """Use a worker again at once."""
        self._until.pop(worker, None)
