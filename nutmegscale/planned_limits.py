"""Limits of the workers of a service, as its planner needs them."""

from nutmegscale import backend
from nutmegscale import limit_controller
from nutmegscale import routing_board


class PlannedLimits:
    """`worker_limits.WorkerLimits` on the permits of this host."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        limits: limit_controller.LimitController,
    ) -> None:
        self._board = board
        self._limits = limits

    def _limited(self, worker: str) -> backend.Backend | None:
        """Return a worker if it states a limit."""
        if not self._board.notices.limits:
            return None
        found = self._board.backends.get(worker)
        if found is None or self._limits.permits(found) is None:
            return None
        return found

    def permits(self, worker: str) -> int | None:
        """Return the permits for a worker; see `WorkerLimits`."""
        limited = self._limited(worker)
        return self._limits.permits(limited) if limited else None

    def per_s(self, worker: str) -> float:
        """Return the limit of a worker; see `WorkerLimits`."""
        limited = self._limited(worker)
        if limited is None:
            return 0.0
        return self._board.notices.limits.per_s(limited.key) or 0.0

    def want(self, worker: str, queued: int) -> None:
        """Ask for permits for a worker; see `WorkerLimits`."""
        limited = self._limited(worker)
        if limited is not None:
            self._limits.want(limited, queued)

    def take(self, worker: str) -> bool:
        """Use a permit for a worker; see `WorkerLimits`."""
        limited = self._limited(worker)
        return limited is not None and self._limits.take(limited)
