"""What full knowledge could earn on a day of streams.

Each stream is put into a calendar of decode slots, best ones first, with its
true length known from the start. Of several orders the best one counts. Left
out, in favour of this bound: prefill workers are never waited for, a worker
makes tokens at the speed of a half full batch without pauses for reading, and
memory binds by its mean use only.
"""

from collections.abc import Callable
import math

from tools import slot_days
from tools import slot_engines
from tools import slot_world
from tools import slot_worth


class _Slot:
    """Calendar of a decode slot."""

    def __init__(self, worker: int, token_s: float) -> None:
        self.worker = worker
        self.token_s = token_s
        self._busy: list[tuple[float, float]] = []

    def block(self, start: float, end: float) -> None:
        """Take a time."""
        self._busy.append((start, end))
        self._busy.sort()

    def earliest(self, start: float, length_s: float) -> float:
        """Return the first time from which a run fits."""
        for begin, end in self._busy:
            if start + length_s <= begin:
                return start
            start = max(start, end)
        return start


def best(day: slot_days.Day) -> slot_world.Result:
    """Return what full knowledge gets on a day."""
    orders: list[Callable[[slot_days.Call], float]] = [
        lambda c: -c.worth / c.output_tokens,
        lambda c: c.at,
        lambda c: c.output_tokens,
        lambda c: c.at + c.output_tokens / 10_000,
    ]
    plans = [_plan(day, order) for order in orders]
    return max(plans, key=lambda plan: slot_worth.earned(day, plan.outcomes))


def _plan(
    day: slot_days.Day, order: Callable[[slot_days.Call], float]
) -> slot_world.Result:
    slots = _slots(day)
    states = {call.name: "refused" for call in day.calls}
    late: list[slot_days.Call] = []
    for call in sorted(day.calls, key=order):
        if _is_cut(day, call):
            continue
        if _insert(day, slots, call, call.at + day.in_time_s):
            states[call.name] = "in_time"
        else:
            late.append(call)
    for call in late:
        if _insert(day, slots, call, call.at + day.deadline_s):
            states[call.name] = "late"
    outcomes = (
        slot_world.Outcome(call, states[call.name]) for call in day.calls
    )
    return slot_world.Result(tuple(outcomes), 0.0)


def _slots(day: slot_days.Day) -> list[_Slot]:
    engine = day.engine
    prompt = sum(c.prompt_tokens for c in day.calls) / len(day.calls)
    output = sum(c.output_tokens for c in day.calls) / len(day.calls)
    room = min(engine.slots, engine.memory_tokens / (prompt + output / 2))
    step_s = engine.step_s + engine.step_slot_s * room / 2
    step_s += engine.step_token_s * room * (prompt + output / 2)
    found: list[_Slot] = []
    for index in range(engine.decodes):
        worker = engine.prefills + index
        slowness = engine.slowness[worker % len(engine.slowness)]
        found += [
            _Slot(worker, step_s * slowness) for _ in range(math.ceil(room))
        ]
    for loss in day.losses:
        for slot in found:
            if slot.worker == loss.worker:
                slot.block(loss.at, loss.until)
    return found


def _insert(
    day: slot_days.Day,
    slots: list[_Slot],
    call: slot_days.Call,
    first_by: float,
) -> bool:
    """Put a stream where it starts first, if that is soon enough."""
    read_s = call.prompt_tokens * day.engine.read_token_s
    ready = call.at + read_s + slot_engines.FIRST_READ_S
    last = first_by - slot_engines.FIRST_STEP_S
    best: tuple[float, _Slot] | None = None
    for slot in slots:
        run_s = call.output_tokens * slot.token_s
        start = slot.earliest(ready, run_s)
        is_in = start <= last and start + run_s <= day.cut_at_s
        if is_in and (best is None or start < best[0]):
            best = (start, slot)
    if best is None:
        return False
    start, slot = best
    slot.block(start, start + call.output_tokens * slot.token_s)
    return True


def _is_cut(day: slot_days.Day, call: slot_days.Call) -> bool:
    return any(
        domain == call.domain and start <= call.at < end
        for domain, start, end in day.cuts
    )
