"""Tests that customers above their share leave slots to the others."""

from typing import Any

import pytest
from structlog import testing

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import slot_planner
from nutmegscale import slot_queue
from nutmegscale import slot_types
from standins import router_world

OBJECTIVE_S = 2.0
PATIENCE_S = 8.0
PROMPT_TOKENS = 5_000
# Runs are short enough for others to wait for their slots.
ANSWER_TOKENS = 800
SLOTS = 12
DECODES = 4


def _queue() -> slot_queue.SlotQueue:
    queue = slot_queue.SlotQueue()
    stages = {f"p{n}": "prefill" for n in range(8)}
    stages |= {f"d{n}": "decode" for n in range(DECODES)}
    workers = tuple(
        backend.Backend(name, 1, "m", f"{name}:1", "z", SLOTS, False, stage)
        for name, stage in stages.items()
    )
    queue.set_workers(0.0, workers, kv_tokens=0)
    return queue


def _request(
    name: str,
    now: float,
    customer: str,
    *,
    priority: int = 0,
    late: bool = False,
) -> slot_types.SlotRequest:
    return slot_types.SlotRequest(
        name,
        "h",
        PROMPT_TOKENS,
        ANSWER_TOKENS,
        priority,
        now,
        now - 1 if late else now + OBJECTIVE_S,
        now + PATIENCE_S,
        customer=customer,
    )


def _submit(
    queue: slot_queue.SlotQueue, now: float, request: slot_types.SlotRequest
) -> list[slot_types.Decision]:
    decisions = queue.submit(now, request)
    for decision in decisions:
        if isinstance(decision, slot_types.Grant):
            queue.record_prefill(now, decision.exchange, 0.0)
    return decisions


def _used_queue(hot_streams: int = SLOTS * DECODES) -> slot_queue.SlotQueue:
    """Return a queue of ten equal customers, of which one holds slots."""
    queue = _queue()
    for n in range(200):
        now = n / 10
        _submit(queue, now, _request(f"u{n}", now, f"c{n % 10}"))
        queue.release(f"u{n}")
    for n in range(hot_streams):
        _submit(queue, 20.0, _request(f"hot{n}", 20.0, "c0"))
    return queue


def _granted(decisions: list[slot_types.Decision]) -> list[str]:
    return [d.exchange for d in decisions if isinstance(d, slot_types.Grant)]


def test_a_customer_above_its_share_leaves_capacity_to_the_others() -> None:
    """Guards against memory that one customer holds for a run's time."""
    queue = _used_queue()
    assert SLOTS * DECODES - 3 <= queue.held < SLOTS * DECODES
    assert _granted(_submit(queue, 20.0, _request("a", 20.0, "c1"))) == ["a"]


def test_others_go_before_a_customer_above_its_share() -> None:
    queue = _used_queue()
    held = queue.held
    for n in range(SLOTS * DECODES - held):
        _submit(queue, 20.0, _request(f"a{n}", 20.0, f"c{n + 1}"))
    # The hot customer's streams came first and still wait or were refused.
    _submit(queue, 20.0, _request("next", 20.1, "c9"))
    queue.release("hot0")
    assert _granted(queue.dispatch(20.2)) == ["next"]


def test_a_customer_above_its_share_is_refused_first() -> None:
    queue = _used_queue()
    refused: list[slot_types.Refusal] = []
    for n in range(40):
        now = 20.0 + n / 100
        for customer in ("c0", f"c{1 + n % 9}"):
            name = f"{customer}.{n}"
            refused += [
                decision
                for decision in _submit(
                    queue, now, _request(name, now, customer)
                )
                if isinstance(decision, slot_types.Refusal)
            ]
    first = refused[:10]
    assert first
    assert {refusal.customer for refusal in first} == {"c0"}
    assert all(refusal.is_above_share for refusal in first)


def test_urgent_streams_go_first_even_above_the_share() -> None:
    """Guards against shares that precede ranks."""
    queue = _used_queue(0)
    for n in range(SLOTS * DECODES):
        _submit(queue, 20.0, _request(f"x{n}", 20.0, f"c{n % 10}"))
    usual = _request("usual", 20.0, "c1", priority=1_000)
    _submit(queue, 20.0, usual)
    for n in range(8):
        _submit(queue, 20.1, _request(f"urgent{n}", 20.1, "c0"))
    for n in range(6):
        queue.release(f"x{n}")
    granted = _granted(queue.dispatch(20.2))
    assert granted
    assert "usual" not in granted


def test_late_streams_above_the_share_go_after_the_others() -> None:
    queue = _used_queue(40)
    assert queue.waiting == 0
    queue.hold_grants_until(20.1)
    for n in range(3):
        _submit(queue, 20.0, _request(f"hot-late{n}", 20.0, "c0", late=True))
    _submit(queue, 20.05, _request("late", 20.05, "c1", late=True))
    assert _granted(queue.dispatch(20.2))[0] == "late"


def test_streams_without_customers_keep_their_order() -> None:
    """Guards against shares where hosts name no customers."""
    queue = _queue()
    for n in range(SLOTS * DECODES + 4):
        _submit(queue, 0.0, _request(f"r{n}", n / 1000, ""))
    assert queue.held == SLOTS * DECODES
    queue.release("r0")
    assert _granted(queue.dispatch(0.1)) == [f"r{SLOTS * DECODES}"]


def test_the_planner_logs_whose_stream_it_decides_on() -> None:
    """Guards against a customer that is lost between host and planner."""
    world = router_world.Simulation()
    world.start_default_workers()
    world.configure(2, tenants=[{"name": "club-a", "apiKeys": ["k"]}])
    world.start()
    with testing.capture_logs() as lines:
        reply = world.ask("brief", Authorization="Token k", seconds=6.0)
    assert reply.status == 200
    given = [line for line in lines if line["event"] == "slot_given"]
    assert [line["customer"] for line in given] == ["club-a"]


def test_a_planner_of_an_earlier_build_serves_customers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against streams that such a planner never answers.

    It reads no request with a customer, but answers pings.
    """
    receive = slot_planner.SlotPlanner._receive_request

    async def _receive(
        planner: slot_planner.SlotPlanner, sender: str, request: Any
    ) -> Any:
        if request.customer:
            raise errors.PeerError("no reply in time")
        return await receive(planner, sender, request)

    monkeypatch.setattr(slot_planner.SlotPlanner, "_receive_request", _receive)
    world = router_world.Simulation()
    world.start_default_workers()
    world.configure(2, tenants=[{"name": "club-a", "apiKeys": ["k"]}])
    world.start()
    for _ in range(2):
        reply = world.ask("brief", Authorization="Token k", seconds=6.0)
        assert reply.status == 200
