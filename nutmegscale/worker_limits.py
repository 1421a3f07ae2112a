"""Limits of model workers, as a planner needs them."""

from typing import Protocol


class WorkerLimits(Protocol):
    """Requests that workers which state a limit may be sent."""

    def permits(self, worker: str) -> int | None:
        """Return how many requests a worker may be sent now; None if any."""
        ...

    def per_s(self, worker: str) -> float:
        """Return the limit of a worker, requests a second; 0 if none."""
        ...

    def want(self, worker: str, queued: int) -> None:
        """Ask for permits for a worker that states a limit.

        Args:
          worker: Id of the worker.
          queued: Number of requests that could use one now.
        """
        ...

    def take(self, worker: str) -> bool:
        """Use a permit for a worker.

        Returns:
          Whether the worker states a limit and a permit was used.
        """
        ...


class Unlimited:
    """`WorkerLimits` of workers that state no limits."""

    def permits(self, worker: str) -> int | None:
        """Return None; see `WorkerLimits`."""
        return None

    def per_s(self, worker: str) -> float:
        """Return 0; see `WorkerLimits`."""
        return 0.0

    def want(self, worker: str, queued: int) -> None:
        """Do nothing; see `WorkerLimits`."""

    def take(self, worker: str) -> bool:
        """Return False; see `WorkerLimits`."""
        return False
