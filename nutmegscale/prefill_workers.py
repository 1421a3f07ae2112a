"""Prefill workers of a service, as the slot queue knows them.

The queue of each worker follows from the held slots. The joint planner
schedules its prefills in `prefill_queue` instead.
"""

from collections.abc import Collection
from collections.abc import Iterable

from nutmegscale import backend
from nutmegscale import cache_trust
from nutmegscale import first_event_forecast
from nutmegscale import held_slots
from nutmegscale import request_costs
from nutmegscale import worker_limits
from nutmegscale import worker_pauses

# Wait that is worth keeping a prompt's KV cache in one failure domain, seconds:
# its transfer takes twice as long to another one, and costs more.
DISTANT_PENALTY_S = 0.05


class PrefillWorkers:
    """Prefill workers, and the prompts queued at each; does no I/O."""

    def __init__(
        self,
        held: held_slots.HeldSlots,
        pauses: worker_pauses.WorkerPauses,
        costs: request_costs.RequestCosts,
        limits: worker_limits.WorkerLimits | None = None,
        caches: cache_trust.CacheTrust | None = None,
    ) -> None:
        self._held = held
        self._pauses = pauses
        self._costs = costs
        self._limits = limits or worker_limits.Unlimited()
        self._caches = caches or cache_trust.CacheTrust()
        self._workers: dict[str, backend.Backend] = {}

    def set_workers(self, workers: Iterable[backend.Backend]) -> None:
        """Set the prefill workers that take new work."""
        self._workers = {worker.id: worker for worker in workers}

    def has(self, worker: str) -> bool:
        """Whether a worker is a prefill worker."""
        return worker in self._workers

    def want_permits(self, queued: int) -> None:
        """Ask for permits for the workers that state a limit.

        Args:
          queued: Number of prompts that wait.
        """
        for name in self._workers:
            self._limits.want(name, queued)

    def versions(self, now: float) -> set[str]:
        """Return the software versions of the workers that can be chosen."""
        return {worker.version for worker in self._usable(now)}

    def _usable(self, now: float) -> list[backend.Backend]:
        return [
            worker
            for name, worker in self._workers.items()
            if not self._pauses.is_paused(now, name)
            and self._limits.permits(name) != 0
            and self._caches.may_use(now, name)
        ]

    def choose(
        self,
        now: float,
        failure_domain: str = "",
        version: str | None = None,
        *,
        avoid: Collection[str] = (),
    ) -> str | None:
        """Return the unpaused worker with the shortest queue, or None.

        Args:
          now: Monotonic time in seconds.
          failure_domain: Failure domain of the decode worker. A worker in
            another one is chosen only if its queue is shorter by
            `DISTANT_PENALTY_S`.
          version: Software version of the decode worker, which the worker must
            have: another one can't use its KV caches. None for any.
          avoid: Ids of workers that must not be chosen.
        """
        usable = [
            worker
            for worker in self._usable(now)
            if version in (None, worker.version) and worker.id not in avoid
        ]

        def _cost_s(worker: backend.Backend) -> float:
            is_distant = worker.failure_domain != failure_domain
            penalty_s = DISTANT_PENALTY_S if is_distant else 0.0
            return self._queued_s(worker.id) + penalty_s

        chosen = min(usable, key=_cost_s, default=None)
        return chosen.id if chosen else None

    def expected_prefill_s(self, worker: str, tokens: int) -> float:
        """Return the time until a new prompt is prefilled, seconds.

        Args:
          worker: Prefill worker.
          tokens: Length of the prompt.
        """
        return self._queued_s(worker) + self._costs.prefill_s(worker, tokens)

    def forecast(self, worker: str) -> first_event_forecast.PrefillForecast:
        """Return when a new prompt is prefilled at a worker."""
        return first_event_forecast.PrefillForecast(
            self._queued_s(worker), self._costs.prefill_s(worker, 1)
        )

    def _queued_s(self, worker: str) -> float:
        ahead = self._held.queued_tokens(worker)
        return self._costs.prefill_s(worker, ahead)
