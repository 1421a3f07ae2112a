"""Workers that a planner leaves out for a while; pure."""

# Pause of a worker that can't be reached, seconds, doubled each time.
LOST_PAUSE_S = 0.5
MAX_LOST_PAUSE_S = 4.0


class WorkerPauses:
    """Until when each worker is left out, and how often it was lost."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._losses: dict[str, int] = {}

    def is_paused(self, now: float, worker: str) -> bool:
        """Whether a worker is left out."""
        return self._until.get(worker, 0.0) > now

    def lost(self, now: float, worker: str) -> None:
        """Note that a worker can't be reached; several at once count once."""
        if self.is_paused(now, worker):
            return
        losses = self._losses.get(worker, 0)
        self._losses[worker] = losses + 1
        pause_s = min(MAX_LOST_PAUSE_S, LOST_PAUSE_S * 2.0**losses)
        self._until[worker] = now + pause_s

    def worked(self, worker: str) -> None:
        """Note that a worker did what it was asked."""
        self._losses.pop(worker, None)

    def leave_out(self, worker: str, until: float) -> None:
        """Leave a worker out until a time."""
        self._until[worker] = until

    def end(self, worker: str) -> None:
        """Use a worker again at once."""
        self._until.pop(worker, None)
