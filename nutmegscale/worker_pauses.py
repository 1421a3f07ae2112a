"""Workers that a planner doesn't use for a while; no I/O."""

from collections.abc import Collection

# First pause of an unreachable worker, seconds; it doubles with each further
# failure in a row.
UNREACHABLE_PAUSE_S = 0.5
MAX_UNREACHABLE_PAUSE_S = 4.0


class WorkerPauses:
    """End of each worker's pause, and its number of failures in a row."""

    def __init__(self) -> None:
        self._until: dict[str, float] = {}
        self._failures: dict[str, int] = {}

    def is_paused(self, now: float, worker: str) -> bool:
        """Whether a worker is paused."""
        return self._until.get(worker, 0.0) > now

    def record_unreachable(self, now: float, worker: str) -> None:
        """Record that a worker is unreachable, and pause it.

        Reports that arrive while the worker is paused are ignored.
        """
        if self.is_paused(now, worker):
            return
        failures = self._failures.get(worker, 0)
        self._failures[worker] = failures + 1
        pause_s = min(
            MAX_UNREACHABLE_PAUSE_S, UNREACHABLE_PAUSE_S * 2.0**failures
        )
        self._until[worker] = now + pause_s

    def record_success(self, worker: str) -> None:
        """Record that a worker completed a prefill or a run.

        The failures before it count no more; a current pause goes on.
        """
        self._failures.pop(worker, None)

    def pause(self, worker: str, until: float) -> None:
        """Pause a worker until a time."""
        self._until[worker] = until

    def resume(self, worker: str) -> None:
        """End the pause of a worker at once."""
        self._until.pop(worker, None)

    def prune(self, now: float, workers: Collection[str]) -> None:
        """Forget ended pauses of workers that aren't among the given ones."""
        gone = [
            name
            for name in self._until.keys() | self._failures.keys()
            if name not in workers and not self.is_paused(now, name)
        ]
        for name in gone:
            self._until.pop(name, None)
            self._failures.pop(name, None)
