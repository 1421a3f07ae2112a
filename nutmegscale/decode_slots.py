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
READS_ITSELF_PAUSE_S = 0.06
# Part of an engine's memory that is planned with: it is given out in blocks,
# and shared parts of prompts stay in it.
MEMORY_FRACTION = 0.98
# Part of the memory that usual runs fill, each at its mean use, when places
# are counted; with it places and what `kv_memory` lets in agree.
PLACE_FRACTION = 0.85
# How long the room beside a usual run is known, seconds: runs grow by a
# hundredth of the memory meanwhile.
USUAL_ROOM_LIFE_S = 0.05


# Places of a worker whose memory isn't known: more than it has slots.
UNKNOWN_ROOM = 1_000_000
# Runs that seem too large by less than this part of a usual one are looked at
# exactly.
NEARLY_FITS = 0.25


class _UsualRoom(NamedTuple):
    """Memory left if a usual run joins a worker that has so many runs."""

    runs: int
    until: float
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
        self._reading_until: dict[str, float] = {}
        self._usual_rooms: dict[str, _UsualRoom] = {}

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
    def places(self) -> int:
        """Runs of the usual size that all workers carry."""
        room = self._room_places()
        return sum(min(w.slots, room) for w in self._workers.values())

    def stage_costs(self) -> stage_plan.StageCosts:
        """Return what a usual request costs a worker of each stage."""
        slots = max((w.slots for w in self._workers.values()), default=1)
        return self._costs.of_stages(slots, self._kv_tokens)

    def choose(
        self, now: float, ask: slot_types.Ask, *, reads_itself: bool
    ) -> str | None:
        """Return the worker with the least runs that has room, if any.

        Args:
          now: Monotonic time in seconds.
          ask: What is asked for.
          reads_itself: Whether the worker must read the prompt.
        """
        candidates: list[tuple[float, str]] = []
        for worker in self._usable(now):
            count = self._held.count(worker.id)
            if worker.id in ask.avoid or count >= worker.slots:
                continue
            # Two prompts read at once would hold up the runs beside them.
            if reads_itself and self._reading_until.get(worker.id, 0.0) > now:
                continue
            candidates.append((count / worker.slots, worker.id))
        candidates.sort()
        # Memory is looked at last: it takes the most time.
        for _, name in candidates:
            if self._may_fit(now, name, ask) and self._fits(now, name, ask):
                return name
        return None

    def note_reads_itself(self, now: float, worker: str, tokens: int) -> None:
        """Note that a worker reads a prompt itself from now on."""
        read_s = self._costs.reads_itself_s(tokens)
        self._reading_until[worker] = now + read_s + READS_ITSELF_PAUSE_S

    def reads_itself_s(self, now: float, tokens: int) -> float:
        """Return when a worker will have read a prompt itself, seconds."""
        waits = [
            max(0.0, self._reading_until.get(worker.id, 0.0) - now)
            for worker in self._usable(now)
        ]
        return self._costs.reads_itself_s(tokens) + min(waits, default=0.0)

    def free_slots(self, now: float) -> int:
        """Count the slots that no run holds."""
        return sum(
            max(0, worker.slots - self._held.count(worker.id))
            for worker in self._usable(now)
        )

    def has_places(self, now: float, count: int) -> bool:
        """Whether so many free slots have memory for usual runs."""
        found = 0
        for worker in self._usable(now):
            if found >= count:
                break
            found += self._free_places(now, worker)
        return found >= count

    def free_places(self, now: float) -> int:
        """Count the free slots that have memory for usual runs."""
        return sum(
            self._free_places(now, worker) for worker in self._usable(now)
        )

    def place_times(self, now: float) -> list[float]:
        """Return when places are expected free, sorted, free ones first."""
        times: list[float] = []
        for worker in self._usable(now):
            token_s = self._costs.token_s(worker.id)
            runs = self._held.runs(worker.id)
            free = self._free_places(now, worker)
            times += [now] * free
            places = len(runs) + free if free else self._places(worker)
            ends = sorted(
                max(now, held.since + held.expected_tokens * token_s)
                for held in runs
            )
            # Runs beyond the places end without leaving one.
            times += ends[max(0, len(runs) - places) :]
        times.sort()
        return times

    def _usable(self, now: float) -> list[backend.Backend]:
        return [
            worker
            for name, worker in self._workers.items()
            if not self._pauses.is_paused(now, name)
        ]

    def _room_places(self) -> int:
        """Return how many runs of the usual size the memory carries."""
        if not self._kv_tokens:
            return UNKNOWN_ROOM
        fitting = self._kv_tokens * PLACE_FRACTION / self._costs.usual_memory
        return max(1, round(fitting))

    def _places(self, worker: backend.Backend) -> int:
        """Return how many runs of the usual size a worker carries."""
        return min(worker.slots, self._room_places())

    def _free_places(self, now: float, worker: backend.Backend) -> int:
        count = self._held.count(worker.id)
        if count >= worker.slots or self._usual_room(now, worker.id) < 0.0:
            return 0
        return max(1, self._places(worker) - count)

    def _usual_room(self, now: float, worker: str) -> float:
        """Return the memory left if a usual run joins a worker, tokens."""
        count = self._held.count(worker)
        known = self._usual_rooms.get(worker)
        if known is not None and known.runs == count and now < known.until:
            return known.tokens
        usual = kv_memory.Run(
            int(self._costs.usual_prompt), 0.0, self._costs.usual_answer
        )
        tokens = self._room(now, worker, usual)
        until = now + USUAL_ROOM_LIFE_S
        self._usual_rooms[worker] = _UsualRoom(count, until, tokens)
        return tokens

    def _may_fit(self, now: float, worker: str, ask: slot_types.Ask) -> bool:
        """Whether a run is small enough for a closer look; takes no time."""
        usual = self._costs.usual_prompt + self._costs.usual_answer
        size = ask.prompt_tokens + ask.expected_tokens
        left = self._usual_room(now, worker) + usual - size
        return left >= -NEARLY_FITS * usual

    def _fits(self, now: float, worker: str, ask: slot_types.Ask) -> bool:
        """Whether the memory of a worker takes one run more."""
        run = kv_memory.Run(ask.prompt_tokens, 0.0, ask.expected_tokens)
        return self._room(now, worker, run) >= 0.0

    def _room(self, now: float, worker: str, run: kv_memory.Run) -> float:
        """Return the memory left if a run joins a worker, tokens."""
        token_s = self._costs.token_s(worker)
        runs = [run]
        for held in self._held.runs(worker):
            made = 0.0 if held.prefill else max(0.0, now - held.since) / token_s
            runs.append(
                kv_memory.Run(held.prompt_tokens, made, held.expected_tokens)
            )
        limit = self._kv_tokens * MEMORY_FRACTION
        if len(runs) == 1 or not limit:
            # Alone it has all the memory, or the engine rejects it.
            return limit
        return kv_memory.room(runs, limit, self._costs.length_deviation)
