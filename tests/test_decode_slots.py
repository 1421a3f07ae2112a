"""Decode workers: slots, places, memory; prefill lanes; learnt costs."""

from nutmegscale import backend
from nutmegscale import decode_slots
from nutmegscale import held_slots
from nutmegscale import prefill_lanes
from nutmegscale import request_costs
from nutmegscale import slot_types
from nutmegscale import worker_pauses


def _worker(name: str, stage: str, slots: int = 12) -> backend.Backend:
    return backend.Backend(name, 1, "m", f"{name}:1", "z", slots, False, stage)


def _held(
    name: str,
    decode: str,
    *,
    prompt: int = 5_200,
    expected: int = 4_060,
    since: float = 0.0,
    prefill: str = "",
) -> slot_types.Held:
    return slot_types.Held(
        name, "h", decode, prefill, prompt, expected, since, since
    )


def _ask(prompt: int = 5_200, expected: int = 4_060) -> slot_types.Ask:
    return slot_types.Ask("a", "h", prompt, expected, 1, 0.0, 0.9, 3.4)


class _Parts:
    """Slots and lanes that share what they know."""

    def __init__(self, *, kv_tokens: int = 100_000, slots: int = 12) -> None:
        self.held = held_slots.HeldSlots()
        self.pauses = worker_pauses.WorkerPauses()
        self.costs = request_costs.RequestCosts()
        shared = self.held, self.pauses, self.costs
        self.slots = decode_slots.DecodeSlots(*shared)
        self.lanes = prefill_lanes.PrefillLanes(*shared)
        decodes = [
            _worker("d1", "decode", slots),
            _worker("d2", "decode", slots),
        ]
        self.slots.set_workers(decodes, kv_tokens=kv_tokens)
        self.lanes.set_workers(
            [_worker("p1", "prefill"), _worker("p2", "prefill")]
        )


def test_the_worker_with_the_least_runs_is_chosen() -> None:
    parts = _Parts()
    parts.held.put(_held("x", "d1"))
    assert parts.slots.choose(0.0, _ask(), reads_itself=False) == "d2"
    avoiding = _ask()._replace(avoid=("d2",))
    assert parts.slots.choose(0.0, avoiding, reads_itself=False) == "d1"
    parts.pauses.lost(0.0, "d2")
    assert parts.slots.choose(0.0, _ask(), reads_itself=False) == "d1"


def test_a_worker_reads_one_prompt_at_a_time() -> None:
    parts = _Parts()
    parts.slots.note_reads_itself(0.0, "d1", 5_000)
    assert parts.slots.choose(0.0, _ask(), reads_itself=True) == "d2"
    parts.slots.note_reads_itself(0.0, "d2", 5_000)
    assert parts.slots.choose(0.1, _ask(), reads_itself=True) is None
    assert parts.slots.choose(0.1, _ask(), reads_itself=False) is not None
    assert parts.slots.reads_itself_s(0.1, 5_000) > 0.3
    assert parts.slots.choose(1.0, _ask(), reads_itself=True) is not None


def test_places_follow_the_memory_where_it_binds_before_the_slots() -> None:
    wide, narrow = _Parts(kv_tokens=100_125), _Parts(kv_tokens=61_590)
    assert wide.slots.places == 24
    assert narrow.slots.places == 14
    assert narrow.slots.free_slots(0.0) == 24
    assert narrow.slots.free_places(0.0) == 14


def test_a_worker_whose_memory_is_full_has_no_place_until_a_run_ends() -> None:
    parts = _Parts(kv_tokens=61_590)
    for n in range(5):
        parts.held.put(_held(f"big{n}", "d1", prompt=11_000))
    assert parts.slots.free_slots(0.0) == 19
    assert parts.slots.free_places(0.0) == 7
    times = parts.slots.place_times(0.0)
    assert times[:7] == [0.0] * 7
    assert 3.0 < times[7] < 4.0
    parts.held.remove("big0")
    parts.held.remove("big1")
    assert parts.slots.free_places(0.1) > 7


def test_prompts_go_to_the_lane_with_the_least_to_read() -> None:
    parts = _Parts()
    assert parts.lanes.choose(0.0) == "p1"
    parts.held.put(_held("x", "d1", prefill="p1"))
    assert parts.lanes.choose(0.0) == "p2"
    alone = parts.lanes.read_s("p2", 5_000)
    assert alone < parts.lanes.read_s("p1", 5_000) < 2.2 * alone
    parts.pauses.lost(0.0, "p2")
    assert parts.lanes.choose(0.0) == "p1"
    parts.pauses.lost(0.0, "p1")
    assert parts.lanes.choose(0.0) is None


def test_costs_of_the_stages_follow_from_what_requests_took() -> None:
    costs = request_costs.RequestCosts()
    before = costs.of_stages(12, 100_125)
    assert round(before.decode_s, 3) == round(4_060 * 0.0009 / 12, 3)
    assert costs.of_stages(12, 61_590).decode_s > 1.4 * before.decode_s
    for _ in range(50):
        costs.note_prefill("p1", 5_000, 0.2)
        costs.note_run("d1", 4_060, 70, 7.3)
    after = costs.of_stages(12, 100_125)
    assert after.prefill_s > 1.5 * before.prefill_s
    assert after.decode_s > 1.5 * before.decode_s
