"""Decode workers of a service: who has a slot and memory for a run; pure."""

from collections.abc import Iterable
from typing import NamedTuple

from nutmegscale import backend
from nutmegscale import held_slots
from nutmegscale import kv_memory
from nutmegscale import request_costs
from nutmegscale import slot_types
from nutmegscale import stage_plan
from nutmegscale import worker_pauses

# Pause between two prompts that a decode worker reads itself, seconds: its
# other runs make an event of 58 tokens in 0.05 s, and two prompts within one
# such event make it later than the 0.3 s that callers allow.
LOCAL_PREFILL_PAUSE_S = 0.06
# Part of an engine's memory that is planned with: it is given out in blocks,
# and shared parts of prompts stay in it.
USABLE_MEMORY_FRACTION = 0.98
# Part of the memory that usual runs fill, each at its mean use, when places
# are counted; with it places and what `kv_memory` lets in agree.
TYPICAL_FILL_FRACTION = 0.85
# How long the room beside a usual run is known, seconds: runs grow by a
# hundredth of the memory meanwhile.
FREE_MEMORY_CACHE_S = 0.05


# Places of a worker whose memory isn't known: more than it has slots.
UNLIMITED_RUNS = 1_000_000
# Runs that seem too large by less than this part of a usual one are looked at
# exactly.
NEAR_FIT_FRACTION = 0.25


class _FreeMemory(NamedTuple):
    """Memory left if a usual run joins a worker that has so many runs."""

    runs: int
    valid_until: float
    tokens: float


class DecodeSlots:
    """Slots and memory of the decode workers.

    A slot is free if no run holds it. A place is a slot that has memory for a
    run of the usual size.
    """

    def __init__(
        self,
        held: held_slots.HeldSlots,
        pauses: worker_pauses.WorkerPauses,
        costs: request_costs.RequestCosts,
    ) -> None:
        self._held = held
        self._pauses = pauses
        self._costs = costs
        self._workers: dict[str, backend.Backend] = {}
        self._kv_tokens = 0
        self._local_prefill_until: dict[str, float] = {}
        self._free_memory: dict[str, _FreeMemory] = {}

    def set_workers(
        self, workers: Iterable[backend.Backend], *, kv_tokens: int
    ) -> None:
        """Set the decode workers that take new work.

        Args:
          workers: The workers.
          kv_tokens: Tokens that the memory of each one holds.
        """
        self._workers = {worker.id: worker for worker in workers}
        self._kv_tokens = kv_tokens

    @property
    def capacity(self) -> int:
        """Runs of the usual size that all workers carry."""
        memory_capacity = self._memory_capacity()
        return sum(
            min(w.slots, memory_capacity) for w in self._workers.values()
        )

    def stage_costs(self) -> stage_plan.StageCosts:
        """Return what a usual request costs a worker of each stage."""
        slots = max((w.slots for w in self._workers.values()), default=1)
        return self._costs.stage_costs(slots, self._kv_tokens)

    def choose(
        self,
        now: float,
        request: slot_types.SlotRequest,
        *,
        local_prefill: bool,
    ) -> str | None:
        """Return the worker with the least runs that has room, if any.

        Args:
          now: Monotonic time in seconds.
          request: What is asked for.
          local_prefill: Whether the worker must read the prompt.
        """
        candidates: list[tuple[float, str]] = []
        for worker in self._usable(now):
            count = self._held.count(worker.id)
            if worker.id in request.avoid or count >= worker.slots:
                continue
            # Two prompts read at once would hold up the runs beside them.
            if (
                local_prefill
                and self._local_prefill_until.get(worker.id, 0.0) > now
            ):
                continue
            candidates.append((count / worker.slots, worker.id))
        candidates.sort()
        # Memory is looked at last: it takes the most time.
        for _, name in candidates:
            if self._may_fit(now, name, request) and self._fits(
                now, name, request
            ):
                return name
        return None

    def record_local_prefill(
        self, now: float, worker: str, tokens: int
    ) -> None:
        """Note that a worker reads a prompt itself from now on."""
        prefill_s = self._costs.local_prefill_s(tokens)
        self._local_prefill_until[worker] = (
            now + prefill_s + LOCAL_PREFILL_PAUSE_S
        )

    def expected_local_prefill_s(self, now: float, tokens: int) -> float:
        """Return when a worker will have read a prompt itself, seconds."""
        waits = [
            max(0.0, self._local_prefill_until.get(worker.id, 0.0) - now)
            for worker in self._usable(now)
        ]
        return self._costs.local_prefill_s(tokens) + min(waits, default=0.0)

    def free_slots(self, now: float) -> int:
        """Count the slots that no run holds."""
        return sum(
            max(0, worker.slots - self._held.count(worker.id))
            for worker in self._usable(now)
        )

    def has_capacity(self, now: float, count: int) -> bool:
        """Whether so many free slots have memory for usual runs."""
        found = 0
        for worker in self._usable(now):
            if found >= count:
                break
            found += self._worker_free_capacity(now, worker)
        return found >= count

    def free_capacity(self, now: float) -> int:
        """Count the free slots that have memory for usual runs."""
        return sum(
            self._worker_free_capacity(now, worker)
            for worker in self._usable(now)
        )

    def capacity_times(self, now: float) -> list[float]:
        """Return when places are expected free, sorted, free ones first."""
        times: list[float] = []
        for worker in self._usable(now):
            token_s = self._costs.token_s(worker.id)
            runs = self._held.runs(worker.id)
            free = self._worker_free_capacity(now, worker)
            times += [now] * free
            capacity = (
                len(runs) + free if free else self._worker_capacity(worker)
            )
            ends = sorted(
                max(now, held.since + held.expected_tokens * token_s)
                for held in runs
            )
            # Runs beyond the places end without leaving one.
            times += ends[max(0, len(runs) - capacity) :]
        times.sort()
        return times

    def _usable(self, now: float) -> list[backend.Backend]:
        return [
            worker
            for name, worker in self._workers.items()
            if not self._pauses.is_paused(now, name)
        ]

    def _memory_capacity(self) -> int:
        """Return how many runs of the usual size the memory carries."""
        if not self._kv_tokens:
            return UNLIMITED_RUNS
        fitting = (
            self._kv_tokens
            * TYPICAL_FILL_FRACTION
            / self._costs.typical_memory_tokens
        )
        return max(1, round(fitting))

    def _worker_capacity(self, worker: backend.Backend) -> int:
        """Return how many runs of the usual size a worker carries."""
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
        """Return the memory left if a usual run joins a worker, tokens."""
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
        """Whether a run is small enough for a closer look; takes no time."""
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
        """Whether the memory of a worker takes one run more."""
        run = kv_memory.Run(request.prompt_tokens, 0.0, request.expected_tokens)
        return self._free_after_run(now, worker, run) >= 0.0

    def _free_after_run(
        self, now: float, worker: str, run: kv_memory.Run
    ) -> float:
        """Return the memory left if a run joins a worker, tokens."""
        token_s = self._costs.token_s(worker)
        runs = [run]
        for held in self._held.runs(worker):
            generated = (
                0.0 if held.prefill else max(0.0, now - held.since) / token_s
            )
            runs.append(
                kv_memory.Run(
                    held.prompt_tokens, generated, held.expected_tokens
                )
            )
        limit = self._kv_tokens * USABLE_MEMORY_FRACTION
        if len(runs) == 1 or not limit:
            # Alone it has all the memory, or the engine rejects it.
            return limit
        return kv_memory.free_memory(runs, limit, self._costs.length_deviation)
