"""Decode workers of a service, and their free slots and memory; no I/O."""

from collections.abc import Collection
from collections.abc import Iterable
from typing import NamedTuple

from nutmegscale import backend
from nutmegscale import first_event_forecast
from nutmegscale import held_slots
from nutmegscale import kv_memory
from nutmegscale import permit_allocator
from nutmegscale import request_costs
from nutmegscale import slot_types
from nutmegscale import stage_plan
from nutmegscale import worker_limits
from nutmegscale import worker_pauses

# Pause between two local prefills of a decode worker, seconds. Its other runs
# generate an event of 58 tokens in 0.05 s; two prefills within one such event
# would delay it beyond the 0.3 s that callers allow.
LOCAL_PREFILL_PAUSE_S = 0.06
# A longer local prefill delays an event of each run beside it beyond the 0.3 s
# that callers allow, seconds.
MAX_LOCAL_PREFILL_S = 0.22
# Fraction of an engine's memory that is planned with: memory is allocated in
# blocks, and shared parts of prompts stay in it.
USABLE_MEMORY_FRACTION = 0.98
# Fraction of the memory that typical runs, each at its mean use, may fill when
# capacity is counted. With it the capacity agrees with the number of runs that
# `kv_memory` accepts.
TYPICAL_FILL_FRACTION = 0.85
# Time for which the free memory after a typical run is cached, seconds: runs
# grow by a hundredth of the memory in that time.
FREE_MEMORY_CACHE_S = 0.05
# Memory capacity of a worker whose memory size is unknown, in runs: more than
# it has slots, so that only the slots limit it.
UNLIMITED_RUNS = 1_000_000
# Time after a rejection within which the unknown runs that caused it are
# assumed to end, seconds: about one typical run.
FOREIGN_RUNS_S = 3.0
# Fraction of a typical run by which a run may exceed the estimated free memory
# and still be checked exactly.
NEAR_FIT_FRACTION = 0.25


class _FreeMemory(NamedTuple):
    """Cached free memory of a worker if a typical run is added to it.

    Attributes:
      runs: Number of runs on the worker when this was computed.
      valid_until: Time until which the value is used, seconds.
      tokens: Free memory in tokens, negative if the run doesn't fit.
    """

    runs: int
    valid_until: float
    tokens: float


class _ForeignMemory(NamedTuple):
    """Memory of a worker that runs of no known host hold.

    Attributes:
      tokens: Size when it was found, tokens.
      found_at: When a rejection showed it, seconds.
    """

    tokens: float
    found_at: float


class DecodeSlots:
    """Slots and memory of the decode workers.

    A slot is free if no run holds it. Capacity is counted in runs of typical
    size: it is the number of slots that there is also memory for.
    """

    def __init__(
        self,
        held: held_slots.HeldSlots,
        pauses: worker_pauses.WorkerPauses,
        costs: request_costs.RequestCosts,
        limits: worker_limits.WorkerLimits | None = None,
    ) -> None:
        self._held = held
        self._pauses = pauses
        self._costs = costs
        self._limits = limits or worker_limits.Unlimited()
        self._workers: dict[str, backend.Backend] = {}
        self._kv_tokens = 0
        self._local_prefill_until: dict[str, float] = {}
        self._free_memory: dict[str, _FreeMemory] = {}
        self._foreign: dict[str, _ForeignMemory] = {}

    def set_workers(
        self, workers: Iterable[backend.Backend], *, kv_tokens: int
    ) -> None:
        """Set the decode workers that take new work.

        Args:
          workers: The workers.
          kv_tokens: Size of each worker's KV memory in tokens, 0 if unknown.
        """
        self._workers = {worker.id: worker for worker in workers}
        self._kv_tokens = kv_tokens
        for known in (
            self._local_prefill_until,
            self._free_memory,
            self._foreign,
        ):
            for name in known.keys() - self._workers.keys():
                del known[name]

    @property
    def capacity(self) -> int:
        """Number of typical runs that all workers carry, even paused ones."""
        memory_capacity = self._memory_capacity()
        return sum(
            min(w.slots, memory_capacity) for w in self._workers.values()
        )

    def stage_costs(self) -> stage_plan.StageCosts:
        """Return the costs of a typical request at a worker of each stage."""
        slots = max((w.slots for w in self._workers.values()), default=1)
        return self._costs.stage_costs(slots, self._kv_tokens)

    def choose(
        self,
        now: float,
        request: slot_types.SlotRequest,
        *,
        local_prefill: bool,
        prefill_versions: Collection[str] | None = None,
    ) -> str | None:
        """Return the least loaded worker that a run fits on, or None.

        Workers in the failure domain of the stream's host go before others: a
        partition cuts off the streams that cross the border of a domain. A
        long local prefill goes to the worker with the fewest runs. Workers for
        which a prefill worker has the same software version go first.

        Args:
          now: Monotonic time in seconds.
          request: Request for the slot.
          local_prefill: Whether the worker must prefill the prompt.
          prefill_versions: Software versions of the prefill workers; a worker
            of another one must prefill the prompt. None if they don't matter.
        """
        candidates: list[tuple[bool, int, bool, float, str]] = []
        is_long = (
            self._costs.local_prefill_s(request.prompt_tokens)
            > MAX_LOCAL_PREFILL_S
        )
        for worker in self._usable(now):
            count = self._held.count(worker.id)
            if worker.id in request.avoid or count >= worker.slots:
                continue
            if request.version not in ("", worker.version):
                continue
            if self._limits.permits(worker.id) == 0:
                continue
            is_local = local_prefill or (
                prefill_versions is not None
                and worker.version not in prefill_versions
            )
            # Two prefills at once would delay the other runs of the worker.
            if is_local and self._local_prefill_until.get(worker.id, 0.0) > now:
                continue
            is_distant = worker.failure_domain != request.failure_domain
            delayed = count if is_local and is_long else 0
            load = count / worker.slots
            candidates.append((is_local, delayed, is_distant, load, worker.id))
        candidates.sort()
        # Memory is checked last, since this check is the most expensive.
        for *_, name in candidates:
            if self._may_fit(now, name, request) and self._fits(
                now, name, request
            ):
                return name
        return None

    def record_rejection(
        self, now: float, worker: str, prompt_tokens: int
    ) -> None:
        """Record that a worker had no memory for a prompt.

        Runs that this planner doesn't know hold the memory, such as those of
        another planner or of a host that was lost. They are assumed to end
        evenly over `FOREIGN_RUNS_S`.
        """
        if not self._kv_tokens or worker not in self._workers:
            return
        used = sum(
            run.prompt + run.generated for run in self._runs(now, worker)
        )
        foreign = self._kv_tokens - used - prompt_tokens
        self._foreign[worker] = _ForeignMemory(
            max(0.0, foreign) + prompt_tokens, now
        )
        self._free_memory.pop(worker, None)

    def forget_rejection(self, worker: str) -> None:
        """Forget that a worker had no memory; there was another reason."""
        self._foreign.pop(worker, None)
        self._free_memory.pop(worker, None)

    def _foreign_tokens(self, now: float, worker: str) -> float:
        """Return the memory that unknown runs are assumed to hold, tokens."""
        found = self._foreign.get(worker)
        if found is None:
            return 0.0
        left = 1.0 - (now - found.found_at) / FOREIGN_RUNS_S
        if left <= 0.0:
            del self._foreign[worker]
            return 0.0
        return found.tokens * left

    def has_version(self, version: str) -> bool:
        """Whether a worker has a software version, even a paused one."""
        return any(w.version == version for w in self._workers.values())

    def version(self, worker: str) -> str:
        """Return the software version of a worker, "" if it is unknown."""
        known = self._workers.get(worker)
        return known.version if known else ""

    def failure_domain(self, worker: str) -> str:
        """Return the failure domain of a decode worker, "" if it is unknown."""
        known = self._workers.get(worker)
        return known.failure_domain if known else ""

    def record_local_prefill(
        self, now: float, worker: str, tokens: int
    ) -> None:
        """Record that a decode worker starts a local prefill now."""
        prefill_s = self._costs.local_prefill_s(tokens)
        self._local_prefill_until[worker] = (
            now + prefill_s + LOCAL_PREFILL_PAUSE_S
        )

    def local_prefill_forecast(
        self, now: float
    ) -> first_event_forecast.PrefillForecast:
        """Return when a decode worker would prefill a new prompt itself."""
        waits = [
            max(0.0, self._local_prefill_until.get(worker.id, 0.0) - now)
            for worker in self._usable(now)
        ]
        return first_event_forecast.PrefillForecast(
            min(waits, default=0.0), self._costs.local_prefill_s(1)
        )

    def want_permits(self, queued: int) -> None:
        """Ask for permits for the workers that state a limit.

        Args:
          queued: Number of streams that wait.
        """
        for name in self._workers:
            self._limits.want(name, queued)

    def free_slots(self, now: float) -> int:
        """Return the number of slots of unpaused workers that may be granted.

        No run holds them, and the limits of the workers allow them now.
        """
        return sum(
            self._within_limit(
                worker.id, max(0, worker.slots - self._held.count(worker.id))
            )
            for worker in self._usable(now)
        )

    def _within_limit(self, worker: str, runs: int) -> int:
        """Return how many of some runs a worker's limit allows now."""
        permits = self._limits.permits(worker)
        return runs if permits is None else min(runs, permits)

    def has_capacity(self, now: float, count: int) -> bool:
        """Whether there is free capacity for a number of typical runs."""
        found = 0
        for worker in self._usable(now):
            if found >= count:
                break
            found += self._startable_runs(now, worker)
        return found >= count

    def free_capacity(self, now: float) -> int:
        """Return the number of typical runs that can be started now."""
        return sum(
            self._startable_runs(now, worker) for worker in self._usable(now)
        )

    def capacity_times(self, now: float, version: str = "") -> list[float]:
        """Return when capacity for each further run is expected to be free.

        Args:
          now: Monotonic time in seconds.
          version: Software version of the workers; "" for any.

        Returns:
          Times in ascending order; `now` for each unit of free capacity.
        """
        times: list[float] = []
        for worker in self._usable(now):
            if version not in ("", worker.version):
                continue
            token_s = self._costs.token_s(worker.id)
            runs = self._held.runs(worker.id)
            free = self._worker_free_capacity(now, worker)
            times += self._start_times(now, worker.id, free)
            capacity = (
                len(runs) + free if free else self._worker_capacity(worker)
            )
            ends = sorted(
                max(now, held.since + held.expected_tokens * token_s)
                for held in runs
            )
            # With more runs than capacity, the first ends free none.
            times += ends[max(0, len(runs) - capacity) :]
        times.sort()
        return times

    def _startable_runs(self, now: float, worker: backend.Backend) -> int:
        """Return the typical runs that can be started now on a worker."""
        free = self._worker_free_capacity(now, worker)
        return self._within_limit(worker.id, free)

    def _start_times(self, now: float, worker: str, runs: int) -> list[float]:
        """Return when runs that there is room for may start on a worker.

        The ones that its limit doesn't allow now follow at its rate.
        """
        allowed = self._within_limit(worker, runs)
        per_s = max(permit_allocator.MIN_PER_S, self._limits.per_s(worker))
        later = range(1, runs - allowed + 1)
        return [now] * allowed + [now + number / per_s for number in later]

    def _usable(self, now: float) -> list[backend.Backend]:
        return [
            worker
            for name, worker in self._workers.items()
            if not self._pauses.is_paused(now, name)
        ]

    def _memory_capacity(self) -> int:
        """Return the number of typical runs that a worker's memory carries."""
        if not self._kv_tokens:
            return UNLIMITED_RUNS
        fitting = (
            self._kv_tokens
            * TYPICAL_FILL_FRACTION
            / self._costs.typical_memory_tokens
        )
        return max(1, round(fitting))

    def _worker_capacity(self, worker: backend.Backend) -> int:
        """Return the number of typical runs that a worker carries."""
        return min(worker.slots, self._memory_capacity())

    def _worker_free_capacity(self, now: float, worker: backend.Backend) -> int:
        count = self._held.count(worker.id)
        if (
            count >= worker.slots
            or self._free_after_typical_run(now, worker.id) < 0.0
        ):
            return 0
        return max(1, self._worker_capacity(worker) - count)

    def _free_after_typical_run(self, now: float, worker: str) -> float:
        """Return a worker's free memory with a typical run added, tokens."""
        count = self._held.count(worker)
        cached = self._free_memory.get(worker)
        if (
            cached is not None
            and cached.runs == count
            and now < cached.valid_until
        ):
            return cached.tokens
        typical_run = kv_memory.Run(
            int(self._costs.typical_prompt_tokens),
            0.0,
            self._costs.typical_answer_tokens,
        )
        tokens = self._free_after_run(now, worker, typical_run)
        until = now + FREE_MEMORY_CACHE_S
        self._free_memory[worker] = _FreeMemory(count, until, tokens)
        return tokens

    def _may_fit(
        self, now: float, worker: str, request: slot_types.SlotRequest
    ) -> bool:
        """Whether a run may fit, by a cheap estimate; see `_fits`."""
        if not self._kv_tokens or not self._held.count(worker):
            # The exact check costs little here.
            return True
        typical_tokens = (
            self._costs.typical_prompt_tokens
            + self._costs.typical_answer_tokens
        )
        size = request.prompt_tokens + request.expected_tokens
        free = self._free_after_typical_run(now, worker) + typical_tokens - size
        return free >= -NEAR_FIT_FRACTION * typical_tokens

    def _fits(
        self, now: float, worker: str, request: slot_types.SlotRequest
    ) -> bool:
        """Whether the memory of a worker is enough for one more run."""
        run = kv_memory.Run(request.prompt_tokens, 0.0, request.expected_tokens)
        return self._free_after_run(now, worker, run) >= 0.0

    def _runs(self, now: float, worker: str) -> list[kv_memory.Run]:
        """Return the runs that hold slots of a worker."""
        token_s = self._costs.token_s(worker)
        return [
            kv_memory.Run(
                held.prompt_tokens,
                0.0 if held.prefill else max(0.0, now - held.since) / token_s,
                held.expected_tokens,
            )
            for held in self._held.runs(worker)
        ]

    def _free_after_run(
        self, now: float, worker: str, run: kv_memory.Run
    ) -> float:
        """Return a worker's free memory with a run added, tokens."""
        runs = [run, *self._runs(now, worker)]
        limit = self._kv_tokens * USABLE_MEMORY_FRACTION
        foreign = self._foreign_tokens(now, worker)
        if (len(runs) == 1 and not foreign) or not limit:
            # A single run may use all the memory; if it doesn't fit even so,
            # the engine rejects it. The limit is 0 if the size is unknown.
            return limit
        limit -= foreign
        return kv_memory.free_memory(runs, limit, self._costs.length_deviation)
