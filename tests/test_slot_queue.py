"""Tests of the slot queue: order, memory, refusals and unreachable workers."""

from typing import Any
from typing import NamedTuple

import pytest

from nutmegscale import backend
from nutmegscale import decode_slots
from nutmegscale import prefill_workers
from nutmegscale import request_costs
from nutmegscale import slot_queue
from nutmegscale import slot_types
from nutmegscale import worker_pauses
from nutmegscale import worker_speeds

OBJECTIVE_S = 0.9
PATIENCE_S = 3.4


def _worker(name: str, stage: str, slots: int = 2) -> backend.Backend:
    return backend.Backend(name, 1, "m", f"{name}:1", "z", slots, False, stage)


def _queue(
    decodes: int = 1, kv_tokens: int = 100_000, slots: int = 2
) -> slot_queue.SlotQueue:
    queue = slot_queue.SlotQueue()
    workers = [_worker("p1", "prefill"), _worker("p2", "prefill")]
    workers += [_worker(f"d{n}", "decode", slots) for n in range(decodes)]
    queue.set_workers(0.0, tuple(workers), kv_tokens=kv_tokens)
    return queue


def _request(
    name: str,
    now: float,
    *,
    prompt: int = 5_000,
    expected: int = 4_000,
    priority: int = 1,
    late: bool = False,
    host: str = "h",
) -> slot_types.SlotRequest:
    in_time_by = now - 1 if late else now + OBJECTIVE_S
    return slot_types.SlotRequest(
        name,
        host,
        prompt,
        expected,
        priority,
        now,
        in_time_by,
        now + PATIENCE_S,
    )


def _granted(decisions: list[slot_types.Decision]) -> list[str]:
    return [d.exchange for d in decisions if isinstance(d, slot_types.Grant)]


def _refused(decisions: list[slot_types.Decision]) -> list[str]:
    return [d.exchange for d in decisions if isinstance(d, slot_types.Refusal)]


def test_slots_are_never_given_twice() -> None:
    queue = _queue(decodes=2)
    for n in range(6):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=500))
        queue.record_prefill(0.0, f"r{n}", 0.1)
    assert queue.held == 4
    again = queue.submit(0.1, _request("r0", 0.1))
    assert _granted(again) == ["r0"]
    assert queue.held == 4
    queue.release("r0")
    assert _granted(queue.dispatch(0.2)) == ["r4"]


def test_both_prefill_workers_are_used() -> None:
    queue = _queue()
    grants = [
        d
        for n in range(2)
        for d in queue.submit(0.0, _request(f"r{n}", 0.0))
        if isinstance(d, slot_types.Grant)
    ]
    assert {g.prefill for g in grants} == {"p1", "p2"}


def test_what_can_be_in_time_goes_before_what_is_late() -> None:
    queue = _queue(decodes=4)
    # The runs end soon enough for the late one to wait for them.
    for n in range(8):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=200))
        queue.record_prefill(0.0, f"r{n}", 0.1)
    queue.submit(0.0, _request("late", 0.0, late=True))
    queue.submit(0.1, _request("early", 0.1))
    queue.release("r0")
    assert _granted(queue.dispatch(0.2)) == ["early"]
    assert queue.waiting == 1


def test_late_ones_fill_slots_that_are_idle() -> None:
    queue = _queue(decodes=4)
    decisions = queue.submit(0.0, _request("late", 0.0, late=True))
    assert _granted(decisions) == ["late"]
    for n in range(6):
        queue.submit(0.0, _request(f"r{n}", 0.0))
        queue.record_prefill(0.0, f"r{n}", 0.1)
    assert _granted(queue.submit(0.0, _request("more", 0.0, late=True))) == []


def test_urgent_ones_go_first() -> None:
    queue = _queue()
    for n in range(2):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=500))
    queue.submit(0.0, _request("usual", 0.0, priority=2))
    queue.submit(0.1, _request("urgent", 0.1, priority=0))
    queue.release("r0")
    assert _granted(queue.dispatch(0.2)) == ["urgent"]


def test_hopeless_ones_are_refused_at_once_with_a_time() -> None:
    queue = _queue()
    for n in range(2):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=8_000))
    decisions = queue.submit(0.0, _request("hopeless", 0.0))
    assert _refused(decisions) == ["hopeless"]
    refusal = decisions[0]
    assert isinstance(refusal, slot_types.Refusal)
    assert 4.0 <= refusal.retry_after_s <= 9.0
    assert queue.waiting == 0


def test_refused_callers_get_different_retry_times() -> None:
    queue = _queue()
    for n in range(2):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=8_000))
    times = []
    for n in range(8):
        for d in queue.submit(0.0, _request(f"x{n}", 0.0)):
            assert isinstance(d, slot_types.Refusal)
            times.append(round(d.retry_after_s, 3))
    assert len(set(times)) == 8


def test_nobody_is_refused_while_a_slot_is_free() -> None:
    queue = _queue(decodes=3)
    for n in range(6):
        decisions = queue.submit(0.0, _request(f"r{n}", 0.0, late=n % 2 == 1))
        assert not _refused(decisions)


def test_memory_binds_before_the_slots() -> None:
    queue = _queue(kv_tokens=16_000)
    # Request "a" ends early enough for "b" to wait for its memory.
    request = _request("a", 0.0, prompt=11_500, expected=500)
    assert _granted(queue.submit(0.0, request)) == ["a"]
    assert queue.submit(0.0, _request("b", 0.0)) == []
    queue.release("a")
    assert _granted(queue.dispatch(0.1)) == ["b"]


def test_one_that_needs_all_the_memory_is_not_bypassed_for_ever() -> None:
    queue = _queue(kv_tokens=20_000, slots=3)
    # Request "a" ends early enough for "big" to be in time after it.
    queue.submit(0.0, _request("a", 0.0, prompt=8_000, expected=400))
    queue.record_prefill(0.0, "a", 0.1)
    queue.submit(0.0, _request("big", 0.0, prompt=12_000, expected=3_000))
    decisions = queue.submit(0.1, _request("small", 0.1, prompt=1_000))
    assert _granted(decisions) == ["small"]
    queue.record_prefill(0.0, "small", 0.02)
    queue.release("small")
    decisions = queue.submit(0.5, _request("other", 0.5, prompt=1_000))
    assert _granted(decisions) == []


def test_one_that_finds_memory_too_late_is_refused_at_once() -> None:
    queue = _queue(kv_tokens=20_000, slots=3)
    queue.submit(0.0, _request("a", 0.0, prompt=8_000, expected=4_000))
    queue.record_prefill(0.0, "a", 0.1)
    queue.submit(0.0, _request("b", 0.0, prompt=4_000, expected=1_000))
    queue.record_prefill(0.0, "b", 0.1)
    decisions = queue.submit(0.1, _request("big", 0.1, prompt=12_000))
    assert _refused(decisions) == ["big"]


def test_unreachable_worker_gets_nothing_for_a_while() -> None:
    queue = _queue(decodes=2)
    queue.record_unreachable(0.0, "d0")
    queue.record_unreachable(0.0, "p1")
    for n in range(2):
        for d in queue.submit(0.0, _request(f"r{n}", 0.0)):
            assert isinstance(d, slot_types.Grant)
            assert (d.decode, d.prefill) == ("d1", "p2")
    later = worker_pauses.UNREACHABLE_PAUSE_S + 0.1
    grants = queue.submit(later, _request("late", later))
    assert isinstance(grants[0], slot_types.Grant)
    assert grants[0].decode == "d0"


def test_without_workers_it_is_refused() -> None:
    queue = slot_queue.SlotQueue()
    decisions = queue.submit(0.0, _request("a", 0.0))
    assert _refused(decisions) == ["a"]


def test_hosts_lists_free_what_was_lost_and_restore_what_is_unknown() -> None:
    queue = _queue()
    queue.submit(0.0, _request("a", 0.0, host="h1"))
    queue.submit(0.0, _request("b", 0.0, host="h2"))
    queue.confirm(0.5, "h1", [])
    assert queue.held == 2
    queue.confirm(1.5, "h1", [])
    assert queue.held == 1
    fresh = _queue()
    item = slot_types.HeldSlot("c", "h1", "d0", "", 5_000, 4_000, 1.0, 2.0)
    fresh.confirm(2.0, "h1", [item])
    assert fresh.held == 1
    fresh.dispatch(2.0 + slot_queue.UNCONFIRMED_SLOT_TTL_S + 0.1)
    assert fresh.held == 0


def test_a_late_one_that_would_take_the_place_of_others_is_refused() -> None:
    queue = _queue(decodes=4)
    for n in range(8):
        queue.submit(n / 10, _request(f"r{n}", n / 10, expected=3_000))
    decisions = queue.submit(0.8, _request("late", 0.8, late=True))
    assert _refused(decisions) == ["late"]


def test_the_cost_of_an_arrival_does_not_grow_with_the_prefill_workers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a planner whose processor a burst fills.

    Each arrival looked up the best prefill worker once for each stream that
    waits, so that a queue of 120 took 13 ms of processor time an arrival.
    """
    looked_up = 0
    choose = prefill_workers.PrefillWorkers.choose

    def _count(*args: Any, **more: Any) -> str | None:
        nonlocal looked_up
        looked_up += 1
        return choose(*args, **more)

    monkeypatch.setattr(prefill_workers.PrefillWorkers, "choose", _count)
    queue = _queue(decodes=2, slots=10)
    for n in range(60):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=500))
    assert queue.waiting >= 20
    looked_up = 0
    queue.submit(0.0, _request("one-more", 0.0, expected=500))
    assert looked_up <= 10


def test_late_requests_are_served_in_order_of_first_attempt() -> None:
    queue = _queue(decodes=6)
    for n in range(12):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=1_000))
    back = _request("back", 3.0, late=True)._replace(requested_at=0.5)
    queue.submit(
        3.0, _request("new", 3.0, late=True)._replace(requested_at=2.0)
    )
    queue.submit(3.0, back)
    for n in range(3):
        queue.release(f"r{n}")
    assert _granted(queue.dispatch(3.1)) == ["back", "new"]


def test_new_planner_waits_for_the_lists_of_the_hosts() -> None:
    queue = _queue()
    queue.hold_grants_until(0.2)
    assert queue.submit(0.0, _request("a", 0.0)) == []
    item = slot_types.HeldSlot("b", "h1", "d0", "", 5_000, 500, 0.0, 0.1)
    queue.confirm(0.1, "h1", [item])
    assert _granted(queue.dispatch(0.2)) == ["a"]
    assert _granted(queue.submit(0.3, _request("c", 0.3))) == []


def test_with_two_slots_nobody_bypasses_one_that_finds_no_memory() -> None:
    queue = _queue(kv_tokens=20_000)
    queue.submit(0.0, _request("a", 0.0, prompt=8_000, expected=1_000))
    queue.submit(0.0, _request("big", 0.0, prompt=12_000, expected=3_000))
    decisions = queue.submit(0.1, _request("small", 0.1, prompt=1_000))
    assert "big" not in _refused(decisions)
    assert _granted(decisions) == []
    queue.release("a")
    assert _granted(queue.dispatch(0.2))[:1] == ["big"]


def test_the_retry_of_a_refused_caller_is_late() -> None:
    queue = _queue(decodes=4)
    for n in range(8):
        queue.submit(0.0, _request(f"r{n}", 0.0, expected=4_000))
        queue.record_prefill(0.0, f"r{n}", 0.1)
    refused = [
        name
        for n in range(12)
        for name in _refused(
            queue.submit(0.0, _request(f"w{n}", 0.0)._replace(content=f"c{n}"))
        )
    ]
    assert refused
    again = refused[0].replace("w", "c")
    queue.release("r0")
    queue.submit(2.0, _request("again", 2.0)._replace(content=again))
    decisions = queue.submit(
        2.1, _request("fresh", 2.1)._replace(content="other")
    )
    granted = _granted(decisions + queue.dispatch(2.2))
    assert "fresh" in granted
    assert "again" not in granted


def test_workers_that_are_gone_leave_nothing_behind() -> None:
    """Workers are replaced under new names for as long as the planner runs."""
    queue = _queue()
    for number in range(200):
        now = 10.0 * number
        workers = (
            _worker(f"p{number}", "prefill"),
            _worker(f"d{number}", "decode"),
        )
        queue.set_workers(now, workers, kv_tokens=100_000)
        queue.submit(now, _request(f"r{number}", now))
        queue.record_prefill(now, f"r{number}", 0.1)
        queue.record_run(f"d{number}", 4_000, 70, 3.5)
        queue.record_unreachable(now, f"d{number}")
        queue.release(f"r{number}")
    sizes = [
        len(queue._pauses._until),
        len(queue._pauses._failures),
        len(queue._costs._token_speeds._token_times),
        len(queue._costs._prefill_speeds._token_times),
        len(queue._slots._free_memory),
    ]
    assert max(sizes) <= 2 + worker_speeds.MAX_ABSENT_WORKERS + 4


class _Played(NamedTuple):
    """Outcome of a burst.

    Attributes:
      peak_tokens: Largest memory that runs held at once on one engine, tokens.
      in_time: Number of streams that were granted a slot in time.
      longest_wait_s: Longest wait of a stream that was then refused, seconds.
    """

    peak_tokens: int
    in_time: int
    longest_wait_s: float


def _play_burst(costs: request_costs.RequestCosts) -> _Played:
    """Play a burst on two engines that carry 8 runs each, 4.3 ms a token."""
    token_s, answer, prompt = 0.0043, 792, 3_200
    queue = slot_queue.SlotQueue(costs)
    workers = [_worker("p1", "prefill"), _worker("p2", "prefill")]
    workers += [_worker(f"d{n}", "decode", 128) for n in range(2)]
    queue.set_workers(0.0, tuple(workers), kv_tokens=33_505)
    running: dict[str, tuple[str, float]] = {}
    arrived: dict[str, float] = {}
    peak, in_time, longest_wait_s = 0.0, 0, 0.0
    for step in range(160):
        now = step * 0.05
        if step % 2 == 0:
            name = f"r{step}"
            arrived[name] = now
            decisions = queue.submit(
                now, _request(name, now, prompt=prompt, expected=answer)
            )
        else:
            decisions = queue.dispatch(now)
        for name, (worker, since) in list(running.items()):
            if now - since >= answer * token_s:
                del running[name]
                queue.record_run(worker, answer, 72, answer * token_s)
                queue.release(name)
        for decision in decisions:
            waited_s = now - arrived[decision.exchange]
            if isinstance(decision, slot_types.Refusal):
                longest_wait_s = max(longest_wait_s, waited_s)
                continue
            running[decision.exchange] = (decision.decode, now)
            queue.record_prefill(now, decision.exchange, 0.1)
            in_time += waited_s <= OBJECTIVE_S - 0.2
        for worker in ("d0", "d1"):
            ages_s = [now - s for w, s in running.values() if w == worker]
            used = sum(prompt + age_s / token_s for age_s in ages_s)
            peak = max(peak, used)
    return _Played(int(peak), in_time, longest_wait_s)


def _learned_costs() -> request_costs.RequestCosts:
    """Return what a host learns from ten of its own streams."""
    costs = request_costs.RequestCosts()
    for _ in range(10):
        costs.record_request(3_200, 792)
        costs.record_run("d0", 792, 72, 792 * 0.0043)
    return costs


def test_new_planner_knows_the_engines_from_the_streams_of_its_host() -> None:
    """A planner takes over in a burst, on engines slower than it assumes.

    Without what its host has learned, it keeps callers waiting for slots that
    don't come, and refuses them once they are late.
    """
    learned = _play_burst(_learned_costs())
    fresh = _play_burst(request_costs.RequestCosts())
    assert learned.longest_wait_s <= 0.5 < fresh.longest_wait_s
    assert learned.in_time >= 43


def test_burst_never_needs_more_memory_than_an_engine_has() -> None:
    """An engine rejects a run that doesn't fit now, though others end soon."""
    assert _play_burst(_learned_costs()).peak_tokens <= 33_505
    assert _play_burst(request_costs.RequestCosts()).peak_tokens <= 33_505


def test_worker_that_rejected_a_run_isnt_sent_the_next_ones() -> None:
    """Runs of a planner on the other side of a cut fill one of two engines.

    Guards against prompts that are prefilled for it one after the other, only
    to be rejected.
    """
    queue = _queue(decodes=2, kv_tokens=33_505, slots=128)
    rejected = granted = 0
    for step in range(30):
        now = step * 0.1
        request = _request(f"r{step}", now, prompt=3_200, expected=792)
        for decision in queue.submit(now, request):
            if not isinstance(decision, slot_types.Grant):
                continue
            granted += 1
            if decision.decode == "d0":
                rejected += 1
                queue.record_rejection(now, decision.exchange, "d0", 3_200)
            else:
                queue.record_prefill(now, decision.exchange, 0.1)
                queue.release(decision.exchange)
    assert granted == 30
    # One try in the time in which one of eight runs of 3 s ends.
    assert rejected <= 8


def test_worker_that_rejected_a_run_is_used_again_after_a_while() -> None:
    queue = _queue(decodes=1, kv_tokens=33_505, slots=128)
    request = _request("a", 0.0, prompt=3_200, expected=792)
    assert _granted(queue.submit(0.0, request)) == ["a"]
    queue.record_rejection(0.0, "a", "d0", 3_200)
    assert _granted(queue.submit(0.1, _request("b", 0.1, prompt=3_200))) == []
    later = decode_slots.FOREIGN_RUNS_S
    assert _granted(queue.submit(later, _request("c", later, prompt=3_200)))


def test_repeated_grant_states_the_time_of_the_prefill() -> None:
    """The first answer was lost; the host waits for the prefill by this time.

    A time of 0 would end it with a prompt that is read in vain.
    """
    queue = _queue(slots=12)
    for number in range(4):
        queue.submit(0.0, _request(f"r{number}", 0.0))
    (first,) = queue.submit(0.0, _request("a", 0.0))
    (again,) = queue.submit(0.1, _request("a", 0.1))
    assert isinstance(first, slot_types.Grant)
    assert isinstance(again, slot_types.Grant)
    assert again.prefill_s == first.prefill_s > 0.1


def _queue_of_versions(slots: int = 1) -> slot_queue.SlotQueue:
    """Return a queue with a prefill and a decode worker of each version."""
    workers = [
        _worker(f"{stage[0]}-{version}", stage, slots)._replace(version=version)
        for version in ("v1", "v2")
        for stage in ("prefill", "decode")
    ]
    queue = slot_queue.SlotQueue()
    queue.set_workers(0.0, tuple(workers), kv_tokens=100_000)
    return queue


def _request_of(name: str, now: float, version: str) -> slot_types.SlotRequest:
    return _request(name, now, expected=500)._replace(version=version)


def test_a_stream_that_has_begun_gets_workers_of_its_version() -> None:
    for version in ("v1", "v2"):
        queue = _queue_of_versions()
        (grant,) = queue.submit(0.0, _request_of("a", 0.0, version))
        assert isinstance(grant, slot_types.Grant)
        assert grant.decode == f"d-{version}"
        assert grant.prefill == f"p-{version}"


def test_a_prompt_is_prefilled_at_the_version_of_its_decode_worker() -> None:
    queue = _queue_of_versions()
    for name in ("a", "b"):
        (grant,) = queue.submit(0.0, _request(name, 0.0))
        assert isinstance(grant, slot_types.Grant)
        assert grant.prefill[1:] == grant.decode[1:]


def test_a_stream_that_waits_for_its_version_holds_up_no_other() -> None:
    queue = _queue_of_versions()
    queue.submit(0.0, _request_of("held", 0.0, "v1"))
    assert queue.submit(0.1, _request_of("waits", 0.1, "v1")) == []
    (grant,) = queue.submit(0.5, _request("other", 0.5))
    assert isinstance(grant, slot_types.Grant)
    assert grant.decode == "d-v2"
    queue.release("held")
    assert _granted(queue.dispatch(0.6)) == ["waits"]


def test_a_stream_goes_before_new_ones_to_the_workers_of_its_version() -> None:
    queue = _queue_of_versions()
    for name in ("a", "b"):
        queue.submit(0.0, _request(name, 0.0, expected=500))
    assert queue.submit(0.1, _request("new", 0.1, expected=500)) == []
    assert queue.submit(0.2, _request_of("begun", 0.2, "v1")) == []
    held = [n for n in ("a", "b") if queue._held.get(n).decode == "d-v1"]  # type: ignore[union-attr]
    queue.release(held[0])
    assert _granted(queue.dispatch(0.3)) == ["begun"]


def test_a_stream_without_a_worker_of_its_version_is_refused_at_once() -> None:
    queue = _queue_of_versions()
    (refusal,) = queue.submit(0.0, _request_of("a", 0.0, "v1.1"))
    assert isinstance(refusal, slot_types.Refusal)
    assert refusal.reason == "no_worker_of_version"
