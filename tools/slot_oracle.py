"""Estimates what a scheduler with full knowledge could earn on a day.

Each stream is assigned to a calendar of decode slots, with its actual length
known from the start. Several orders of assignment are tried and the best one
counts. The model simplifies in favor of this bound: streams never wait for a
prefill worker, a decode worker generates tokens at the speed of a half full
batch without pauses for local prefills, and memory is limited by its mean use
only.
"""

from collections.abc import Callable
import math

from tools import slot_days
from tools import slot_engines
from tools import slot_simulation
from tools import slot_worth


class _Slot:
    """Calendar of a decode slot.

    Attributes:
      worker: Number of the worker, prefill workers first.
      token_s: Time per generated token, seconds.
    """

    def __init__(self, worker: int, token_s: float) -> None:
        self.worker = worker
        self.token_s = token_s
        self._reserved: list[tuple[float, float]] = []

    def reserve(self, start: float, end: float) -> None:
        """Reserve a period."""
        self._reserved.append((start, end))
        self._reserved.sort()

    def earliest_start(self, start: float, length_s: float) -> float:
        """Return the earliest start at which a run of this length fits."""
        for begin, end in self._reserved:
            if start + length_s <= begin:
                return start
            start = max(start, end)
        return start


def best_result(day: slot_days.Day) -> slot_simulation.Result:
    """Return the result of a scheduler with full knowledge of a day."""
    orders: list[Callable[[slot_days.Call], float]] = [
        lambda c: -c.worth / c.output_tokens,
        lambda c: c.arrival_s,
        lambda c: c.output_tokens,
        lambda c: c.arrival_s + c.output_tokens / 10_000,
    ]
    plans = [_schedule(day, order) for order in orders]
    return max(
        plans, key=lambda plan: slot_worth.earned_fraction(day, plan.outcomes)
    )


def _schedule(
    day: slot_days.Day, order: Callable[[slot_days.Call], float]
) -> slot_simulation.Result:
    slots = _make_slots(day)
    states = {call.name: "refused" for call in day.calls}
    unplaced: list[slot_days.Call] = []
    for call in sorted(day.calls, key=order):
        if _is_cut_off(day, call):
            continue
        if _place(day, slots, call, call.arrival_s + day.in_time_s):
            states[call.name] = "in_time"
        else:
            unplaced.append(call)
    for call in unplaced:
        if _place(day, slots, call, call.arrival_s + day.deadline_s):
            states[call.name] = "late"
    outcomes = (
        slot_simulation.Outcome(call, states[call.name]) for call in day.calls
    )
    return slot_simulation.Result(tuple(outcomes), 0.0)


def _make_slots(day: slot_days.Day) -> list[_Slot]:
    engine = day.engine
    prompt = sum(c.prompt_tokens for c in day.calls) / len(day.calls)
    output = sum(c.output_tokens for c in day.calls) / len(day.calls)
    slots_per_worker = min(
        engine.slots, engine.memory_tokens / (prompt + output / 2)
    )
    step_s = engine.step_s + engine.step_slot_s * slots_per_worker / 2
    step_s += engine.step_token_s * slots_per_worker * (prompt + output / 2)
    slots: list[_Slot] = []
    for index in range(engine.decodes):
        worker = engine.prefills + index
        slowness = engine.slowness[worker % len(engine.slowness)]
        slots += [
            _Slot(worker, step_s * slowness)
            for _ in range(math.ceil(slots_per_worker))
        ]
    for loss in day.losses:
        for slot in slots:
            if slot.worker == loss.worker:
                slot.reserve(loss.start_s, loss.end_s)
    return slots


def _place(
    day: slot_days.Day,
    slots: list[_Slot],
    call: slot_days.Call,
    first_event_by_s: float,
) -> bool:
    """Reserve the slot with the earliest start, or return False if too late."""
    prefill_s = call.prompt_tokens * day.engine.prefill_token_s
    ready_at_s = call.arrival_s + prefill_s + slot_engines.PREFILL_BASE_S
    latest_start_s = first_event_by_s - slot_engines.FIRST_STEP_S
    best: tuple[float, _Slot] | None = None
    for slot in slots:
        run_s = call.output_tokens * slot.token_s
        start = slot.earliest_start(ready_at_s, run_s)
        fits = start <= latest_start_s and start + run_s <= day.abort_at_s
        if fits and (best is None or start < best[0]):
            best = (start, slot)
    if best is None:
        return False
    start, slot = best
    slot.reserve(start, start + call.output_tokens * slot.token_s)
    return True


def _is_cut_off(day: slot_days.Day, call: slot_days.Call) -> bool:
    return any(
        domain == call.domain and start <= call.arrival_s < end
        for domain, start, end in day.cuts
    )
