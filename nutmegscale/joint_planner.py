"""Joint planning: slot, link and prefill are reserved together."""

import itertools
from typing import NamedTuple

from result import Err
from result import Ok

from nutmegscale import config
from nutmegscale import lateness
from nutmegscale import ledger
from nutmegscale import placement
from nutmegscale import prefill_lane
from nutmegscale import worker

ADMIT_FRACTION = 0.98
MAX_MARGIN_FRACTION = 0.5
PRIORITY_RESERVE = 0.3
URGENCY_MEMORY_S = 5.0
ACCEPTED_PATIENCE_S = 20.0
ALONE_FACTOR = 1.25
SQUEEZE_MEMORY_S = 2.0
RESERVATION_SLACK_S = 1.0
CONTENTION_FRACTION = 0.5
CALLER_MEMORY_S = 5.0
START_LENGTH_FRACTION = 0.65
LENGTH_SMOOTHING = 0.05
GAP_MARGIN = 0.9
WORK_WEIGHT = 0.5
WASTE_WORK_WEIGHT = 0.5
LOST_PERIOD_S = 3.0
MIN_RETRY_AFTER_S = 0.05
EXPIRY_PERIOD_S = 0.1
FULL_SEARCH_LANES = 8
LEAST_BUSY_LANES = 5
WARMEST_LANES = 2
NO_WORKERS_RETRY_AFTER_S = 1.0
SUSPECT_RETRY_AFTER_S = 0.1


class _Decode(NamedTuple):
    """A decode worker that was chosen, and when a slot of it is free."""

    worker: worker.Worker
    engine: config.Engine
    slot_at: float
    batch: int


class _Prefill(NamedTuple):
    """A prefill worker that was chosen, with the times of the plan."""

    worker: worker.Worker
    lane: prefill_lane.PrefillLane
    times: prefill_lane.Proposal

    @property
    def ends(self) -> float:
        """Time at which the transfer ends."""
        return self.times.transfer_at + self.times.transfer_s


class JointPlanner:
    """Planner that reserves decode slot, link and prefill time at once."""

    def __init__(
        self, *, goodput_weight: float = 1.0, waste_weight: float = 0.2
    ) -> None:
        total = max(goodput_weight + waste_weight, 1e-9)
        self._work_weight = (
            WORK_WEIGHT + WASTE_WORK_WEIGHT * waste_weight / total
        )
        self._ledger = ledger.Ledger()
        self._workers: dict[str, worker.Worker] = {}
        self._engines: dict[str, config.Engine] = {}
        self._lanes: dict[str, prefill_lane.PrefillLane] = {}
        self._leaving: set[str] = set()
        self._silent: set[str] = set()
        self._lost_until: dict[str, float] = {}
        self._callers: dict[str, tuple[float, float]] = {}
        self._urgency: dict[int, float] = {}
        self._length_fraction = START_LENGTH_FRACTION
        self._asked: dict[str, int] = {}
        self._lane_of: dict[str, prefill_lane.PrefillLane] = {}
        self._decodes: list[worker.Worker] = []
        self._next_expiry = 0.0
        self._squeezed_at = -SQUEEZE_MEMORY_S
        self._lateness = lateness.Lateness()

    @property
    def ledger(self) -> ledger.Ledger:
        """Slots that are held."""
        return self._ledger

    def last_cache_event(self, name: str) -> int:
        """Return the number of the latest cache event of a worker."""
        lane = self._lanes.get(name)
        return lane.prefixes.last_event if lane else 0

    def set_workers(
        self, workers: list[worker.Worker], engines: dict[str, config.Engine]
    ) -> None:
        """Replace the workers; see `placement.Planner`."""
        known = self._workers
        self._workers = {w.name: w for w in workers}
        self._silent &= self._workers.keys()
        self._silent |= self._workers.keys() - known.keys()
        self._engines = {
            w.name: engines[w.pool] for w in workers if w.pool in engines
        }
        for name in set(self._lanes) - set(self._workers):
            del self._lanes[name]
        for w in workers:
            if w.role == "prefill" and w.name not in self._lanes:
                self._lanes[w.name] = prefill_lane.PrefillLane()
        self._decodes = [
            w for w in workers if w.role == "decode" and self._is_offered(w)
        ]

    def _is_offered(self, w: worker.Worker) -> bool:
        return not w.leaving and w.name in self._engines

    def plan(self, now: float, ask: placement.Ask) -> placement.PlanResult:
        """Place a request; see `placement.Planner`."""
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_PERIOD_S
            self._ledger.expire(now)
        self._callers[ask.caller] = (now, ask.weight)
        self.release(now, ask.exchange, 0)
        blocked = self._blocked(now, ask)
        decode = self._choose_decode(now, ask, blocked)
        if decode is None:
            # Suspects wait for one another, which takes a moment only.
            wait_s = NO_WORKERS_RETRY_AFTER_S
            if ask.suspect:
                wait_s = SUSPECT_RETRY_AFTER_S
            return Err(placement.Refusal("no_decode_worker", wait_s))
        prefill = self._choose_prefill(now, ask, decode, blocked)
        if prefill is None:
            return Err(
                placement.Refusal("no_prefill_worker", NO_WORKERS_RETRY_AFTER_S)
            )
        step_s = _step_s(decode.engine, decode.batch + 1)
        first_at = prefill.ends + step_s
        times = prefill.times
        alone_s = times.prefill_s + times.transfer_s + step_s
        refusal = self._admit(now, ask, first_at, alone_s)
        if refusal is not None:
            return Err(refusal)
        self._book(ask, decode, prefill, first_at)
        return Ok(
            placement.Grant(
                prefill.worker.name,
                prefill.worker.address,
                decode.worker.name,
                decode.worker.address,
                max(0.0, times.start - now),
                times.prefill_s,
                times.transfer_s,
                first_at - now,
            )
        )

    def prefill_late(self, now: float, exchange: str) -> None:
        """Note a late prefill; see `placement.Planner`."""
        lane = self._lane_of.get(exchange)
        if lane is not None:
            lane.prefill_late(exchange)

    def started(
        self, now: float, exchange: str, prefill_s: float, transfer_s: float
    ) -> None:
        """Note that a run started; see `placement.Planner`."""
        self._ledger.started(now, exchange)
        lane = self._lane_of.pop(exchange, None)
        if lane is None:
            return
        late_s = lane.started(now, exchange, prefill_s, transfer_s)
        if late_s is not None:
            self._lateness.observe(late_s)

    def release(self, now: float, exchange: str, tokens: int) -> None:
        """Free what an exchange holds; see `placement.Planner`."""
        held = self._ledger.release(exchange)
        asked = self._asked.pop(exchange, 0)
        if held is not None and tokens and asked:
            sample = min(1.0, tokens / asked)
            self._length_fraction += LENGTH_SMOOTHING * (
                sample - self._length_fraction
            )
        lane = self._lane_of.pop(exchange, None)
        if lane is not None:
            lane.release(exchange)

    def cleared(self, now: float, exchange: str) -> None:
        """Note that a run is no suspect; see `placement.Planner`."""
        self._ledger.clear_suspect(exchange)

    def observe(self, now: float, name: str, report: worker.Report) -> None:
        """Take in a load report; see `placement.Planner`."""
        self._lost_until.pop(name, None)
        self._silent.discard(name)
        if report.leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)
        lane = self._lanes.get(name)
        if lane is not None:
            lane.observe(now, report)
        else:
            self._ledger.observe(now, name, report)

    def lost(self, now: float, name: str) -> None:
        """Note that a worker gives no answer; see `placement.Planner`."""
        self._lost_until[name] = now + LOST_PERIOD_S
        if name in self._lanes:
            self._lanes[name] = prefill_lane.PrefillLane()
        self._ledger.drop_worker(name)

    def _blocked(self, now: float, ask: placement.Ask) -> set[str]:
        """Return the workers that a request must not use now."""
        for name, until in list(self._lost_until.items()):
            if until <= now:
                del self._lost_until[name]
        blocked = self._leaving.union(ask.avoid, self._lost_until)
        for role in ("prefill", "decode"):
            blocked |= self._unheard(role, blocked)
        return blocked

    def _unheard(self, role: worker.Role, blocked: set[str]) -> set[str]:
        """Return the workers of a role that never reported.

        None while no usable worker of the role has: a planner that has just
        begun knows nothing, and may have to place work before it does.
        """
        if not self._silent:
            return set()
        names = {n for n, w in self._workers.items() if w.role == role}
        heard = names - self._silent - blocked
        return names & self._silent if heard else set()

    def _choose_decode(
        self, now: float, ask: placement.Ask, blocked: set[str]
    ) -> _Decode | None:
        best: _Decode | None = None
        best_key = (0.0, 0.0)
        limits: dict[str, int] = {}
        for candidate in self._decodes:
            name = candidate.name
            if name in blocked:
                continue
            if ask.suspect and self._ledger.has_suspect(name):
                continue
            capacity = limits.get(candidate.pool)
            if capacity is None:
                capacity = batch_limit(self._engines[name], ask.token_gap_s)
                limits[candidate.pool] = capacity
            held = self._ledger.count(name)
            slot_at = now
            if held >= capacity:
                gap_s = _step_s(self._engines[name], min(held, capacity))
                ends = self._ledger.ends(now, name, gap_s)
                slot_at = ends[held - capacity]
            key = (slot_at, held / capacity)
            if best is None or key < best_key:
                best_key = key
                batch = min(held, capacity - 1)
                best = _Decode(candidate, self._engines[name], slot_at, batch)
        return best

    def _choose_prefill(
        self,
        now: float,
        ask: placement.Ask,
        decode: _Decode,
        blocked: set[str],
    ) -> _Prefill | None:
        names = [
            name
            for name in self._lanes
            if name not in blocked and self._is_offered(self._workers[name])
        ]
        best: _Prefill | None = None
        best_score = 0.0
        for name in self._shortlist(ask, names):
            lane = self._lanes[name]
            times = lane.propose(now, ask, self._engines[name], decode.slot_at)
            candidate = _Prefill(self._workers[name], lane, times)
            score = candidate.ends + self._work_weight * times.prefill_s
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best

    def _shortlist(self, ask: placement.Ask, names: list[str]) -> list[str]:
        """Choose the lanes to look at closely: idle ones and warm ones."""
        if len(names) <= FULL_SEARCH_LANES:
            return names
        by_load = sorted((self._lanes[n].busy_until, n) for n in names)
        chosen = [name for _, name in by_load[:LEAST_BUSY_LANES]]
        if ask.blocks:
            first = ask.blocks[0]
            warm = (n for _, n in by_load if self._lanes[n].prefixes.has(first))
            chosen += itertools.islice(warm, WARMEST_LANES)
        return chosen

    def _admit(
        self, now: float, ask: placement.Ask, first_at: float, alone_s: float
    ) -> placement.Refusal | None:
        wait_s = first_at - now + ask.waited_s
        allowed_s = self._allowed_s(now, ask, alone_s)
        if wait_s > allowed_s:
            if alone_s <= ask.first_token_s and not ask.accepted:
                self._squeezed_at = now
            late_s = max(MIN_RETRY_AFTER_S, wait_s - allowed_s)
            return placement.Refusal("first_token_too_late", late_s)
        is_contended = wait_s > ask.first_token_s * CONTENTION_FRACTION
        if not ask.accepted and is_contended and self._over_share(now, ask):
            return placement.Refusal("over_share", wait_s)
        return None

    def _allowed_s(
        self, now: float, ask: placement.Ask, alone_s: float
    ) -> float:
        """Return how long after its arrival a first token may come.

        A request that would be late on idle pools as well is let in late,
        unless that takes the place of one that could be in time.
        """
        if ask.accepted:
            return ACCEPTED_PATIENCE_S + ask.waited_s
        margin_s = min(
            self._lateness.margin_s, ask.first_token_s * MAX_MARGIN_FRACTION
        )
        fraction = ADMIT_FRACTION - self._reserve(now, ask)
        in_time_s = ask.first_token_s * fraction - margin_s
        is_squeezed = now - self._squeezed_at < SQUEEZE_MEMORY_S
        if is_squeezed and alone_s > ask.first_token_s:
            return in_time_s
        return max(in_time_s, alone_s * ALONE_FACTOR)

    def _reserve(self, now: float, ask: placement.Ask) -> float:
        """Return the part of the target that is kept for more urgent work.

        Nothing is kept while no more urgent work was seen for some time.
        """
        self._urgency[ask.priority] = now
        more_urgent = any(
            priority < ask.priority and now - seen < URGENCY_MEMORY_S
            for priority, seen in self._urgency.items()
        )
        return PRIORITY_RESERVE if more_urgent else 0.0

    def _over_share(self, now: float, ask: placement.Ask) -> bool:
        for caller, (seen, _) in list(self._callers.items()):
            if now - seen > CALLER_MEMORY_S:
                del self._callers[caller]
        if len(self._callers) < 2:
            return False
        total = sum(weight for _, weight in self._callers.values())
        slots = sum(
            batch_limit(self._engines[name], ask.token_gap_s)
            for name, w in self._workers.items()
            if w.role == "decode" and name in self._engines
        )
        held = self._ledger.held_by_caller().get(ask.caller, 0)
        return held + 1 > max(1.0, slots * ask.weight / total)

    def _book(
        self,
        ask: placement.Ask,
        decode: _Decode,
        prefill: _Prefill,
        first_at: float,
    ) -> None:
        tokens = max(1.0, ask.max_tokens * self._length_fraction)
        self._asked[ask.exchange] = ask.max_tokens
        self._ledger.reserve(
            ledger.Reservation(
                ask.exchange,
                ask.caller,
                decode.worker.name,
                first_at,
                tokens,
                first_at + RESERVATION_SLACK_S,
                None,
                ask.suspect,
            )
        )
        prefill.lane.book(ask, prefill.times)
        self._lane_of[ask.exchange] = prefill.lane


def _step_s(engine: config.Engine, batch: int) -> float:
    return engine["step_base_s"] + engine["step_run_s"] * batch


def batch_limit(engine: config.Engine, token_gap_s: float) -> int:
    """Return how many runs a decode worker carries within a token gap."""
    room_s = token_gap_s * GAP_MARGIN - engine["step_base_s"]
    fitting = int(room_s / engine["step_run_s"]) if room_s > 0 else 1
    return max(1, min(engine["slots"], fitting))
