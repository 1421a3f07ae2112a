"""Queue of streams for the slots of decode workers, and who holds them.

Decode slots are the scarce part: a prompt is read only once a slot is held
for its run. What can still be in time goes first; what is late anyway fills
slots that nothing else needs.
"""

from collections import deque
import math

from nutmegscale import backend
from nutmegscale import decode_slots
from nutmegscale import held_slots
from nutmegscale import prefill_lanes
from nutmegscale import request_costs
from nutmegscale import returning
from nutmegscale import slot_types
from nutmegscale import stage_plan
from nutmegscale import worker_pauses

# Time from the grant to the first event beside the prefill itself, seconds:
# three trips between hosts and workers, a transfer and the first step.
FIRST_EVENT_OVERHEAD_S = 0.08
# Part of the slots that late requests leave to those that can be in time.
LATE_RESERVE = 1 / 12
# Longest time for which smaller requests pass one that finds no room, s.
PASSING_S = 0.25
# Holders that weren't confirmed for so long are given up, seconds.
HOLDER_LIFE_S = 4.0
# A holder younger than that may be missing from its host's list, seconds.
CONFIRM_GRACE_S = 1.0
MIN_RETRY_AFTER_S = 0.2
NO_WORKER_RETRY_AFTER_S = 1.0
# Step between the times at which refused callers come back, seconds.
RETRY_SPREAD_S = 0.1
# Arrivals of so long are counted for the rate of those to come, seconds.
RATE_WINDOW_S = 1.0
# How much later than in time a forecast may be before a stream counts as
# late: answers differ in length from what is expected, seconds.
FORECAST_SLACK_S = 0.1


class SlotQueue:
    """Slots of the decode workers of one service; pure."""

    def __init__(self) -> None:
        self._waiting: dict[str, slot_types.Ask] = {}
        self._held = held_slots.HeldSlots()
        self._pauses = worker_pauses.WorkerPauses()
        self._costs = request_costs.RequestCosts()
        self._lanes = prefill_lanes.PrefillLanes(
            self._held, self._pauses, self._costs
        )
        self._slots = decode_slots.DecodeSlots(
            self._held, self._pauses, self._costs
        )
        self._returning = returning.Returning()
        self._arrivals: deque[float] = deque()
        self._refused = 0
        self._opens_at = 0.0

    @property
    def waiting(self) -> int:
        """Number of streams that wait."""
        return len(self._waiting)

    @property
    def held(self) -> int:
        """Number of slots that are held."""
        return len(self._held)

    def open_at(self, time: float) -> None:
        """Give out no slots before a time."""
        self._opens_at = time

    def set_workers(
        self, workers: tuple[backend.Backend, ...], *, kv_tokens: int
    ) -> None:
        """Set the workers that take new work.

        Args:
          workers: Workers of the service.
          kv_tokens: Tokens that the memory of each one holds.
        """
        prefills = [w for w in workers if w.stage == "prefill"]
        decodes = [w for w in workers if w.stage != "prefill"]
        for worker in decodes:
            if self._lanes.has(worker.id):
                self._pauses.end(worker.id)
        self._lanes.set_workers(prefills)
        self._slots.set_workers(decodes, kv_tokens=kv_tokens)

    def submit(
        self, now: float, ask: slot_types.Ask
    ) -> list[slot_types.Decision]:
        """Take in a stream, and return what is decided by now."""
        held = self._held.get(ask.exchange)
        if held is not None:
            return [
                slot_types.Grant(
                    held.exchange, held.host, held.prefill, held.decode
                )
            ]
        known = self._waiting.get(ask.exchange)
        if known is not None:
            ask = ask._replace(
                asked_at=known.asked_at,
                in_time_by=known.in_time_by,
                expected_tokens=known.expected_tokens,
            )
        else:
            ask = self._as_returning(now, ask)
            expected = self._costs.expect(ask.expected_tokens)
            ask = ask._replace(expected_tokens=expected)
            self._arrivals.append(now)
            self._costs.note_ask(ask.prompt_tokens, expected)
        self._waiting[ask.exchange] = ask
        return self.pump(now)

    def _as_returning(self, now: float, ask: slot_types.Ask) -> slot_types.Ask:
        """Give an ask the times of its caller's first one, if refused then."""
        first = self._returning.take(now, ask.content)
        if first is None:
            return ask
        return ask._replace(
            asked_at=min(first.asked_at, ask.asked_at),
            in_time_by=min(first.in_time_by, ask.in_time_by),
        )

    def release(self, exchange: str) -> None:
        """Free what a stream holds, or take it out of the queue."""
        self._waiting.pop(exchange, None)
        self._held.remove(exchange)

    def prefilled(self, now: float, exchange: str, prefill_s: float) -> None:
        """Note how long the prefill of a stream took; its lane is free."""
        held = self._held.get(exchange)
        if held is None or not held.prefill:
            return
        if prefill_s > 0.0:
            self._pauses.worked(held.prefill)
        if prefill_s > 0.0 and held.lane_tokens:
            self._costs.note_prefill(held.prefill, held.lane_tokens, prefill_s)
        # Its run begins now, and its memory grows from now on.
        self._held.put(held._replace(prefill="", since=now))

    def ran(self, decode: str, hinted: int, events: int, run_s: float) -> None:
        """Note how long a whole run took, and how long its answer was."""
        if hinted <= 0 or events <= 0:
            return
        self._pauses.worked(decode)
        self._costs.note_run(decode, hinted, events, run_s)

    def lost(self, now: float, worker: str) -> None:
        """Note that a worker can't be reached; several at once count once."""
        self._pauses.lost(now, worker)

    def leave_out(self, worker: str, until: float) -> None:
        """Plan without a worker until a time, or until its stage changes."""
        self._pauses.leave_out(worker, until)

    def costs(self) -> stage_plan.StageCosts:
        """Return what a request of the usual size costs a worker."""
        return self._slots.stage_costs()

    def confirm(
        self, now: float, host: str, held: list[slot_types.Held]
    ) -> None:
        """Replace what is known of a host's slots by its own list."""
        listed = {h.exchange for h in held}
        for known in self._held.all():
            is_dropped = known.host == host and known.exchange not in listed
            if is_dropped and now - known.since >= CONFIRM_GRACE_S:
                self._held.remove(known.exchange)
        for item in held:
            known_item = self._held.get(item.exchange)
            if known_item is None:
                expected = self._costs.expect(item.expected_tokens)
                self._held.put(
                    item._replace(confirmed=now, expected_tokens=expected)
                )
            else:
                self._held.put(known_item._replace(confirmed=now))

    def pump(self, now: float) -> list[slot_types.Decision]:
        """Give out the free slots and refuse what can't be served.

        Returns:
          The decisions, for the hosts that asked.
        """
        self._expire(now)
        decisions: list[slot_types.Decision] = []
        if now < self._opens_at:
            return decisions
        in_time, late = self._sort(now)
        passed = 0
        for ask in in_time:
            # Whoever is passed keeps a slot for when there is memory for it.
            if self._slots.free_slots(now) <= passed:
                break
            grant = self._place(now, ask)
            if grant is not None:
                decisions.append(grant)
            elif now - ask.asked_at > PASSING_S:
                break
            else:
                passed += 1
        still_waiting = any(a.exchange in self._waiting for a in in_time)
        reserve = self._late_reserve if late else 0
        for ask in late:
            if still_waiting or self._slots.free_places(now) <= reserve:
                break
            grant = self._place(now, ask)
            if grant is not None:
                decisions.append(grant)
        decisions += self._refuse(now)
        return decisions

    def first_event_s(self, now: float, ask: slot_types.Ask) -> float:
        """Return the time from a grant to the first event, seconds."""
        lane = None if ask.reads_itself else self._lanes.choose(now)
        if lane is None:
            read_s = self._slots.reads_itself_s(now, ask.prompt_tokens)
        else:
            read_s = self._lanes.read_s(lane, ask.prompt_tokens)
        return FIRST_EVENT_OVERHEAD_S + read_s

    def _sort(
        self, now: float
    ) -> tuple[list[slot_types.Ask], list[slot_types.Ask]]:
        """Divide those that wait by whether they can still be in time."""
        ordered = sorted(
            self._waiting.values(), key=lambda a: (a.priority, a.asked_at)
        )
        # While places are free for all that wait there is nothing to forecast.
        has_room = self._slots.has_places(now, len(ordered))
        times = [] if has_room else self._slots.place_times(now)
        in_time: list[slot_types.Ask] = []
        late: list[slot_types.Ask] = []
        for ask in ordered:
            position = len(in_time)
            start = times[position] if position < len(times) else now
            first_at = start + self.first_event_s(now, ask)
            slack_s = FORECAST_SLACK_S if start > now else 0.0
            is_in_time = first_at <= ask.in_time_by + slack_s
            (in_time if is_in_time else late).append(ask)
        late.sort(key=lambda a: a.asked_at)
        return in_time, late

    def _place(
        self, now: float, ask: slot_types.Ask
    ) -> slot_types.Grant | None:
        lane = None if ask.reads_itself else self._lanes.choose(now)
        decode = self._slots.choose(now, ask, reads_itself=lane is None)
        if decode is None:
            return None
        if lane is None:
            self._slots.note_reads_itself(now, decode, ask.prompt_tokens)
        prefill_s = self._lanes.read_s(lane, ask.prompt_tokens) if lane else 0.0
        del self._waiting[ask.exchange]
        held = slot_types.Held(
            ask.exchange,
            ask.host,
            decode,
            lane or "",
            ask.prompt_tokens,
            ask.expected_tokens,
            now,
            now,
            self._held.lane_tokens(lane) + ask.prompt_tokens if lane else 0,
        )
        self._held.put(held)
        return slot_types.Grant(
            ask.exchange, ask.host, lane or "", decode, prefill_s
        )

    def is_lost(self, now: float, worker: str) -> bool:
        """Whether a worker can't be reached, or is left out of plans."""
        return self._pauses.is_paused(now, worker)

    @property
    def _late_reserve(self) -> int:
        return math.ceil(self._slots.places * LATE_RESERVE)

    def _refuse(self, now: float) -> list[slot_types.Decision]:
        """Refuse what gets no slot before nobody waits for it any more."""
        if not self._waiting:
            return []
        in_time, late = self._sort(now)
        times = self._slots.place_times(now)
        late_times = self._late_times(now, times, len(in_time))
        decisions: list[slot_types.Decision] = []
        for ask, start in _pair_starts(in_time, times):
            if start is None or not self._is_worth_waiting(now, ask, start):
                decisions.append(self._refusal(now, ask, times))
        has_free = bool(times) and times[0] <= now
        for ask, start in _pair_starts(late, late_times):
            if start is None and has_free and now <= ask.give_up_at:
                continue
            if start is None or not self._is_worth_waiting(now, ask, start):
                decisions.append(self._refusal(now, ask, times))
        return decisions

    def _is_worth_waiting(
        self, now: float, ask: slot_types.Ask, start: float
    ) -> bool:
        return start + self.first_event_s(now, ask) <= ask.give_up_at

    def _late_times(
        self, now: float, times: list[float], in_time: int
    ) -> list[float]:
        """Return when slots are free that nothing in time will need.

        Args:
          now: Monotonic time in seconds.
          times: When each slot is free, sorted.
          in_time: Number of streams that wait and can be in time.
        """
        rate = self._arrival_rate(now)
        reserved = in_time + self._late_reserve
        found: list[float] = []
        for index, time in enumerate(times):
            needed = reserved + rate * (time - now)
            if index + 1 - needed >= len(found) + 1:
                found.append(time)
        return found

    def _arrival_rate(self, now: float) -> float:
        """Return the streams that came in each second of late."""
        while self._arrivals and self._arrivals[0] <= now - RATE_WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals) / RATE_WINDOW_S

    def _refusal(
        self, now: float, ask: slot_types.Ask, times: list[float]
    ) -> slot_types.Refusal:
        del self._waiting[ask.exchange]
        first = returning.FirstAsk(ask.asked_at, ask.in_time_by)
        self._returning.note(now, ask.content, first)
        self._refused += 1
        reason = "no_slot_in_time" if times else "no_decode_worker"
        wait_s = times[-1] - now if times else NO_WORKER_RETRY_AFTER_S
        wait_s += RETRY_SPREAD_S * (self._refused % 8)
        return slot_types.Refusal(
            ask.exchange,
            ask.host,
            max(MIN_RETRY_AFTER_S, wait_s),
            reason,
            waiting=len(self._waiting),
            held=len(self._held),
            rate=self._arrival_rate(now),
        )

    def _expire(self, now: float) -> None:
        for held in self._held.all():
            if now - held.confirmed > HOLDER_LIFE_S:
                self._held.remove(held.exchange)


def _pair_starts(
    asks: list[slot_types.Ask], times: list[float]
) -> list[tuple[slot_types.Ask, float | None]]:
    """Pair each stream with its start, None where there is none."""
    starts: list[float | None] = [*times]
    starts += [None] * (len(asks) - len(times))
    return list(zip(asks, starts, strict=False))
