"""Tests of the index of held slots."""

from nutmegscale import held_slots
from nutmegscale import slot_types


def _held(name: str, decode: str, prefill: str = "") -> slot_types.HeldSlot:
    return slot_types.HeldSlot(name, "h", decode, prefill, 100, 50, 0.0, 0.0)


def test_look_ups_follow_what_is_put_and_removed() -> None:
    slots = held_slots.HeldSlots()
    slots.put(_held("a", "d1", "p1"))
    slots.put(_held("b", "d1", "p1"))
    slots.put(_held("c", "d2"))
    assert len(slots) == 3
    assert (slots.count("d1"), slots.count("d2")) == (2, 1)
    assert slots.queued_tokens("p1") == 200
    slots.put(_held("a", "d1"))
    assert (slots.count("d1"), slots.queued_tokens("p1")) == (2, 100)
    slots.put(_held("b", "d2"))
    assert (slots.count("d1"), slots.count("d2")) == (1, 2)
    assert slots.queued_tokens("p1") == 0
    removed = slots.remove("a")
    assert removed is not None
    assert removed.decode == "d1"
    assert slots.remove("a") is None
    assert (slots.count("d1"), list(slots.runs("d1"))) == (0, [])
    assert sorted(held.exchange for held in slots.all()) == ["b", "c"]
