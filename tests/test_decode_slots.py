"""Tests of decode slots, capacity, prefill workers and estimated costs."""

from nutmegscale import backend
from nutmegscale import decode_slots
from nutmegscale import held_slots
from nutmegscale import prefill_workers
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
) -> slot_types.HeldSlot:
    return slot_types.HeldSlot(
        name, "h", decode, prefill, prompt, expected, since, since
    )


def _request(
    prompt: int = 5_200, expected: int = 4_060
) -> slot_types.SlotRequest:
    return slot_types.SlotRequest("a", "h", prompt, expected, 1, 0.0, 0.9, 3.4)


class _Setup:
    """Decode slots and prefill workers that share their state."""

    def __init__(self, *, kv_tokens: int = 100_000, slots: int = 12) -> None:
        self.held = held_slots.HeldSlots()
        self.pauses = worker_pauses.WorkerPauses()
        self.costs = request_costs.RequestCosts()
        shared = self.held, self.pauses, self.costs
        self.slots = decode_slots.DecodeSlots(*shared)
        self.prefill_workers = prefill_workers.PrefillWorkers(*shared)
        decodes = [
            _worker("d1", "decode", slots),
            _worker("d2", "decode", slots),
        ]
        self.slots.set_workers(decodes, kv_tokens=kv_tokens)
        self.prefill_workers.set_workers(
            [_worker("p1", "prefill"), _worker("p2", "prefill")]
        )


def test_the_worker_with_the_least_runs_is_chosen() -> None:
    parts = _Setup()
    parts.held.put(_held("x", "d1"))
    assert parts.slots.choose(0.0, _request(), local_prefill=False) == "d2"
    avoiding = _request()._replace(avoid=("d2",))
    assert parts.slots.choose(0.0, avoiding, local_prefill=False) == "d1"
    parts.pauses.record_unreachable(0.0, "d2")
    assert parts.slots.choose(0.0, _request(), local_prefill=False) == "d1"


def test_a_decode_worker_prefills_one_prompt_at_a_time() -> None:
    parts = _Setup()
    parts.slots.record_local_prefill(0.0, "d1", 5_000)
    assert parts.slots.choose(0.0, _request(), local_prefill=True) == "d2"
    parts.slots.record_local_prefill(0.0, "d2", 5_000)
    assert parts.slots.choose(0.1, _request(), local_prefill=True) is None
    assert parts.slots.choose(0.1, _request(), local_prefill=False) is not None
    assert parts.slots.local_prefill_forecast(0.1).prefill_s(5_000) > 0.3
    assert parts.slots.choose(1.0, _request(), local_prefill=True) is not None


def test_capacity_follows_the_memory_where_it_binds_before_the_slots() -> None:
    wide, narrow = _Setup(kv_tokens=100_125), _Setup(kv_tokens=61_590)
    assert wide.slots.capacity == 24
    assert narrow.slots.capacity == 14
    assert narrow.slots.free_slots(0.0) == 24
    assert narrow.slots.free_capacity(0.0) == 14


def test_a_worker_with_full_memory_has_no_capacity_until_a_run_ends() -> None:
    parts = _Setup(kv_tokens=61_590)
    for n in range(5):
        parts.held.put(_held(f"big{n}", "d1", prompt=11_000))
    assert parts.slots.free_slots(0.0) == 19
    assert parts.slots.free_capacity(0.0) == 7
    times = parts.slots.capacity_times(0.0)
    assert times[:7] == [0.0] * 7
    assert 3.0 < times[7] < 4.0
    parts.held.remove("big0")
    parts.held.remove("big1")
    assert parts.slots.free_capacity(0.1) > 7


def test_prompts_go_to_the_prefill_worker_with_the_shortest_queue() -> None:
    parts = _Setup()
    assert parts.prefill_workers.choose(0.0) == "p1"
    parts.held.put(_held("x", "d1", prefill="p1"))
    assert parts.prefill_workers.choose(0.0) == "p2"
    empty_queue_s = parts.prefill_workers.expected_prefill_s("p2", 5_000)
    assert (
        empty_queue_s
        < parts.prefill_workers.expected_prefill_s("p1", 5_000)
        < 2.2 * empty_queue_s
    )
    parts.pauses.record_unreachable(0.0, "p2")
    assert parts.prefill_workers.choose(0.0) == "p1"
    parts.pauses.record_unreachable(0.0, "p1")
    assert parts.prefill_workers.choose(0.0) is None


def test_costs_of_the_stages_follow_from_what_requests_took() -> None:
    costs = request_costs.RequestCosts()
    before = costs.stage_costs(12, 100_125)
    assert round(before.decode_s, 3) == round(4_060 * 0.0009 / 12, 3)
    assert costs.stage_costs(12, 61_590).decode_s > 1.4 * before.decode_s
    for _ in range(50):
        costs.record_prefill("p1", 5_000, 0.2)
        costs.record_run("d1", 4_060, 70, 7.3)
    after = costs.stage_costs(12, 100_125)
    assert after.prefill_s > 1.5 * before.prefill_s
    assert after.decode_s > 1.5 * before.decode_s


def test_large_run_is_granted_on_an_idle_worker() -> None:
    parts = _Setup(kv_tokens=40_000)
    large = _request(prompt=25_000, expected=4_000)
    assert parts.slots.choose(0.0, large, local_prefill=False) == "d1"
    parts.held.put(_held("x", "d1"))
    parts.held.put(_held("y", "d2"))
    assert parts.slots.choose(0.0, large, local_prefill=False) is None


def test_large_run_is_granted_where_the_memory_is_unknown() -> None:
    parts = _Setup(kv_tokens=0)
    parts.held.put(_held("x", "d1"))
    large = _request(prompt=25_000, expected=4_000)
    assert parts.slots.choose(0.0, large, local_prefill=False) == "d2"


def test_worker_in_the_domain_of_the_host_goes_first_while_it_has_room() -> (
    None
):
    parts = _Setup(kv_tokens=40_000)
    near = _worker("d1", "decode")._replace(failure_domain="near")
    far = _worker("d2", "decode")._replace(failure_domain="far")
    parts.slots.set_workers([near, far], kv_tokens=40_000)
    request = _request()._replace(failure_domain="near")
    chosen = []
    for number in range(8):
        name = parts.slots.choose(0.0, request, local_prefill=False)
        if name is not None:
            chosen.append(name)
            parts.held.put(_held(f"r{number}", name))
    assert len(chosen) == 8
    assert chosen == sorted(chosen)
    assert 2 <= chosen.count("d1") < 8


def test_prefill_worker_in_the_domain_of_the_decode_worker_goes_first() -> None:
    parts = _Setup()
    near = _worker("p2", "prefill")._replace(failure_domain="near")
    far = _worker("p1", "prefill")._replace(failure_domain="far")
    parts.prefill_workers.set_workers([near, far])
    assert parts.prefill_workers.choose(0.0, "near") == "p2"
    assert parts.prefill_workers.choose(0.0, "far") == "p1"
    for number in range(3):
        parts.held.put(_held(f"r{number}", "d1", prefill="p2"))
    assert parts.prefill_workers.choose(0.0, "near") == "p1"


def test_long_local_prefill_goes_to_the_worker_with_the_fewest_runs() -> None:
    """It would delay an event of each run beside it beyond the allowed time."""
    parts = _Setup(kv_tokens=100_000)
    near = _worker("d1", "decode")._replace(failure_domain="near")
    far = _worker("d2", "decode")._replace(failure_domain="far")
    parts.slots.set_workers([near, far], kv_tokens=100_000)
    parts.held.put(_held("x", "d1"))
    for prompt, chosen in ((1_000, "d1"), (9_000, "d2")):
        request = _request(prompt=prompt)._replace(failure_domain="near")
        found = parts.slots.choose(0.0, request, local_prefill=True)
        assert found == chosen
