"""Queue of streams for the slots of decode workers, and who holds them.

Decode slots are the scarce part: a prompt is read only once a slot is held
for its run. What can still be in time goes first; what is late anyway fills
slots that nothing else needs.
"""

from collections import deque
import math
from typing import NamedTuple

from nutmegscale import answer_lengths
from nutmegscale import backend
from nutmegscale import held_slots
from nutmegscale import kv_memory
from nutmegscale import returning
from nutmegscale import slot_types
from nutmegscale import stage_plan
from nutmegscale import worker_pauses
from nutmegscale import worker_speeds

# Time from the grant to the first event beside the prefill itself, seconds:
# three trips between hosts and workers, a transfer and the first step.
FIRST_EVENT_OVERHEAD_S = 0.08
# A decode worker reads at half the speed of a prefill worker (users' pages),
# between the tokens of its runs.
READS_ITSELF_FACTOR = 2.2
# Pause between two prompts that a decode worker reads itself, seconds: its
# other runs make an event of 58 tokens in 0.05 s, and two prompts within one
# such event make it later than the 0.3 s that callers allow.
READS_ITSELF_PAUSE_S = 0.06
# Part of an engine's memory that is planned with: it is given out in blocks,
# and shared parts of prompts stay in it.
MEMORY_FRACTION = 0.98
# Memory kept free of usual runs when places are counted, beside their mean
# use; with it places and what `kv_memory` lets in agree.
PLACE_FRACTION = 0.85
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


# How long it is known whether a usual run fits, seconds: runs grow by a
# hundredth of the memory meanwhile.
USUAL_FITS_LIFE_S = 0.05


class _UsualFits(NamedTuple):
    """Whether a run of usual size fits a worker with so many runs."""

    runs: int
    until: float
    fits: bool


class SlotQueue:
    """Slots of the decode workers of one service; pure."""

    def __init__(self) -> None:
        self._prefills: dict[str, backend.Backend] = {}
        self._decodes: dict[str, backend.Backend] = {}
        self._kv_tokens = 0
        self._waiting: dict[str, slot_types.Ask] = {}
        self._held = held_slots.HeldSlots()
        self._pauses = worker_pauses.WorkerPauses()
        self._returning = returning.Returning()
        self._lengths = answer_lengths.AnswerLengths()
        self._reading_until: dict[str, float] = {}
        self._usual_fits: dict[str, _UsualFits] = {}
        self._arrivals: deque[float] = deque()
        self._prefill_speeds = worker_speeds.WorkerSpeeds(
            worker_speeds.START_PREFILL_S
        )
        self._token_speeds = worker_speeds.WorkerSpeeds(
            worker_speeds.START_TOKEN_S
        )
        self._prompts = worker_speeds.UsualSize(
            worker_speeds.START_PROMPT_TOKENS
        )
        self._answers = worker_speeds.UsualSize(
            worker_speeds.START_EXPECTED_TOKENS
        )
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
        for worker in workers:
            known = self._prefills.get(worker.id)
            if known is not None and known.stage != worker.stage:
                self._pauses.end(worker.id)
        self._prefills = {w.id: w for w in workers if w.stage == "prefill"}
        self._decodes = {w.id: w for w in workers if w.stage != "prefill"}
        self._kv_tokens = kv_tokens

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
            expected = int(self._lengths.expect(ask.expected_tokens))
            ask = ask._replace(expected_tokens=max(1, expected))
            self._arrivals.append(now)
            self._prompts.learn(ask.prompt_tokens)
            self._answers.learn(ask.expected_tokens)
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
            self._prefill_speeds.learn(
                held.prefill, held.lane_tokens, prefill_s
            )
        # Its run begins now, and its memory grows from now on.
        self._held.put(held._replace(prefill="", since=now))

    def ran(self, decode: str, hinted: int, events: int, run_s: float) -> None:
        """Note how long a whole run took, and how long its answer was."""
        if hinted <= 0 or events <= 0:
            return
        self._pauses.worked(decode)
        self._lengths.learn(hinted, events)
        tokens = self._lengths.tokens(events)
        self._token_speeds.learn(decode, tokens, run_s)

    def lost(self, now: float, worker: str) -> None:
        """Note that a worker can't be reached; several at once count once."""
        self._pauses.lost(now, worker)

    def leave_out(self, worker: str, until: float) -> None:
        """Plan without a worker until a time, or until its stage changes."""
        self._pauses.leave_out(worker, until)

    def costs(self) -> stage_plan.StageCosts:
        """Return what a request of the usual size costs a worker."""
        slots = max((w.slots for w in self._decodes.values()), default=1)
        room = slots
        if self._kv_tokens:
            each = self._prompts.mean + self._answers.mean / 2
            room = min(slots, int(self._kv_tokens / max(1.0, each)))
        run_s = self._answers.mean * self._token_speeds.mean_s
        return stage_plan.StageCosts(
            self._prompts.mean * self._prefill_speeds.mean_s,
            run_s / max(1, room),
        )

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
                expected = max(
                    1, int(self._lengths.expect(item.expected_tokens))
                )
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
            if self._free_slots(now) <= passed:
                break
            grant = self._place(now, ask)
            if grant is not None:
                decisions.append(grant)
            elif now - ask.asked_at > PASSING_S:
                break
            else:
                passed += 1
        still_waiting = any(a.exchange in self._waiting for a in in_time)
        for ask in late:
            spare = self._free_places(now) - self._late_reserve
            if still_waiting or spare <= 0:
                break
            grant = self._place(now, ask)
            if grant is not None:
                decisions.append(grant)
        decisions += self._refuse(now)
        return decisions

    def first_event_s(self, now: float, ask: slot_types.Ask) -> float:
        """Return the time from a grant to the first event, seconds."""
        lane = None if ask.reads_itself else self._choose_prefill(now)
        if lane is not None:
            return FIRST_EVENT_OVERHEAD_S + self._read_s(ask, lane)
        waits = [
            max(0.0, self._reading_until.get(name, 0.0) - now)
            for name in self._decodes
            if not self.is_lost(now, name)
        ]
        itself_s = self._reads_itself_s(ask) + min(waits, default=0.0)
        return FIRST_EVENT_OVERHEAD_S + itself_s

    def _sort(
        self, now: float
    ) -> tuple[list[slot_types.Ask], list[slot_types.Ask]]:
        """Divide those that wait by whether they can still be in time."""
        ordered = sorted(
            self._waiting.values(), key=lambda a: (a.priority, a.asked_at)
        )
        # While places are free for all that wait there is nothing to forecast.
        has_room = self._free_places(now) >= len(ordered)
        times = [] if has_room else self._slot_times(now)
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
        lane = None if ask.reads_itself else self._choose_prefill(now)
        decode = self._choose_decode(now, ask, reads_itself=lane is None)
        if decode is None:
            return None
        if lane is None:
            read_s = self._reads_itself_s(ask) + READS_ITSELF_PAUSE_S
            self._reading_until[decode] = now + read_s
        prefill_s = self._read_s(ask, lane) if lane else 0.0
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

    def _read_s(self, ask: slot_types.Ask, lane: str) -> float:
        """Return when a prefill worker will have read a prompt, seconds."""
        own_s = ask.prompt_tokens * self._prefill_speeds.token_s(lane)
        return self._lane_s(lane) + own_s

    def _reads_itself_s(self, ask: slot_types.Ask) -> float:
        """Return how long a decode worker takes for a prompt, seconds."""
        speed = self._prefill_speeds.mean_s
        return READS_ITSELF_FACTOR * ask.prompt_tokens * speed

    def is_lost(self, now: float, worker: str) -> bool:
        """Whether a worker can't be reached, or is left out of plans."""
        return self._pauses.is_paused(now, worker)

    def _choose_decode(
        self, now: float, ask: slot_types.Ask, *, reads_itself: bool
    ) -> str | None:
        """Choose the decode worker with the least runs that has room."""
        candidates: list[tuple[float, str]] = []
        for name, worker in self._decodes.items():
            if name in ask.avoid or self.is_lost(now, name):
                continue
            count = self._held.count(name)
            if count >= worker.slots:
                continue
            # Two prompts read at once would hold up the runs beside them.
            if reads_itself and self._reading_until.get(name, 0.0) > now:
                continue
            candidates.append((count / worker.slots, name))
        candidates.sort()
        # Memory is looked at last: it takes the most time.
        sizes = ask.prompt_tokens, ask.expected_tokens
        fitting = (n for _, n in candidates if self._fits(now, n, *sizes))
        return next(fitting, None)

    def _choose_prefill(self, now: float) -> str | None:
        usable = [n for n in self._prefills if not self.is_lost(now, n)]
        return min(usable, key=self._lane_s, default=None)

    def _fits(
        self, now: float, decode: str, prompt_tokens: int, expected: float
    ) -> bool:
        """Whether the memory of a worker takes one run more."""
        token_s = self._token_speeds.token_s(decode)
        runs = [kv_memory.Run(prompt_tokens, 0.0, expected)]
        for held in self._held.runs(decode):
            made = 0.0 if held.prefill else max(0.0, now - held.since) / token_s
            runs.append(
                kv_memory.Run(held.prompt_tokens, made, held.expected_tokens)
            )
        limit = self._kv_tokens * MEMORY_FRACTION
        deviation = self._lengths.deviation
        return len(runs) == 1 or kv_memory.fits(runs, limit, deviation)

    @property
    def _late_reserve(self) -> int:
        places = sum(self._places(w) for w in self._decodes.values())
        return math.ceil(places * LATE_RESERVE)

    def _free_slots(self, now: float) -> int:
        return sum(
            max(0, worker.slots - self._held.count(name))
            for name, worker in self._decodes.items()
            if not self.is_lost(now, name)
        )

    def _places(self, worker: backend.Backend) -> int:
        """Return how many runs of the usual size a decode worker carries."""
        if not self._kv_tokens:
            return worker.slots
        each = self._prompts.mean + self._answers.mean / 2
        fitting = self._kv_tokens * PLACE_FRACTION / max(1.0, each)
        return max(1, min(worker.slots, round(fitting)))

    def _takes_usual(self, now: float, decode: str) -> bool:
        """Whether the memory of a worker takes one more run of usual size."""
        count = self._held.count(decode)
        known = self._usual_fits.get(decode)
        if known is not None and known.runs == count and now < known.until:
            return known.fits
        fits = self._fits(
            now, decode, int(self._prompts.mean), self._answers.mean
        )
        until = now + USUAL_FITS_LIFE_S
        self._usual_fits[decode] = _UsualFits(count, until, fits)
        return fits

    def _worker_free_places(self, now: float, worker: backend.Backend) -> int:
        count = self._held.count(worker.id)
        if count >= worker.slots or not self._takes_usual(now, worker.id):
            return 0
        return max(1, self._places(worker) - count)

    def _free_places(self, now: float) -> int:
        """Count slots that are free and have memory for usual runs."""
        return sum(
            self._worker_free_places(now, worker)
            for name, worker in self._decodes.items()
            if not self.is_lost(now, name)
        )

    def _lane_s(self, prefill: str) -> float:
        """Return how long the prompts ahead take at a prefill worker."""
        return self._held.lane_tokens(prefill) * self._prefill_speeds.token_s(
            prefill
        )

    def _refuse(self, now: float) -> list[slot_types.Decision]:
        """Refuse what gets no slot before nobody waits for it any more."""
        if not self._waiting:
            return []
        in_time, late = self._sort(now)
        times = self._slot_times(now)
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
        found: list[float] = []
        for index, time in enumerate(times):
            needed = in_time + self._late_reserve + rate * (time - now)
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

    def _slot_times(self, now: float) -> list[float]:
        """Return when places are expected free, sorted, free ones first."""
        times: list[float] = []
        for name, worker in self._decodes.items():
            if self.is_lost(now, name):
                continue
            token_s = self._token_speeds.token_s(name)
            runs = self._held.runs(name)
            free = self._worker_free_places(now, worker)
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
