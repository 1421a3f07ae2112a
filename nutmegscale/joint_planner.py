"""Joint placement policy.

A decode slot, transfer time on a link and prefill time are reserved together
for each request. A request that would miss its first-token target is refused,
unless it was admitted before or its latency on idle workers allows more time.
"""

import itertools
from typing import NamedTuple

from result import Err
from result import Ok

from nutmegscale import config
from nutmegscale import lateness
from nutmegscale import ledger
from nutmegscale import placement
from nutmegscale import prefill_queue
from nutmegscale import worker

# Fractions of the first-token target: the latest admitted prediction, the
# largest safety margin, and the part reserved for more urgent requests.
ADMIT_FRACTION = 0.98
MAX_MARGIN_FRACTION = 0.5
PRIORITY_RESERVE_FRACTION = 0.3
# Time since the last more urgent request for which that part is reserved.
URGENCY_WINDOW_S = 5.0
# Longest predicted time from planning to the first token of a request that was
# admitted before.
ACCEPTED_MAX_WAIT_S = 20.0
# A request is admitted up to this multiple of its latency on idle workers, even
# past its target. One that misses its target on idle workers is not, within
# OVERLOAD_WINDOW_S after the refusal of one that would meet its target there.
UNLOADED_FACTOR = 1.25
OVERLOAD_WINDOW_S = 2.0
# Time after the predicted first token at which the reservation of a run that
# hasn't started expires.
RESERVATION_SLACK_S = 1.0
# Caller shares apply to a request if its predicted time to the first token
# exceeds this fraction of its target.
CONTENTION_FRACTION = 0.5
# Time after its last request for which a caller counts in the shares.
CALLER_WINDOW_S = 5.0
# Expected answer length before the first answer, as a fraction of max_tokens,
# and the weight of a new answer in its smoothed value.
INITIAL_LENGTH_FRACTION = 0.65
LENGTH_SMOOTHING = 0.05
# Fraction of the token gap target that a decode step may take.
TOKEN_GAP_FRACTION = 0.9
# Weight of a second of prefill work against a second of delay.
PREFILL_WORK_WEIGHT = 0.5
# Added to PREFILL_WORK_WEIGHT after multiplication by the fraction of
# waste_weight in the sum of the objective's weights.
WASTE_WORK_WEIGHT = 0.5
# Time for which an unreachable worker gets no requests unless it reports.
UNREACHABLE_PAUSE_S = 3.0
MIN_RETRY_AFTER_S = 0.05
# Shortest time between two searches for expired reservations.
EXPIRY_PERIOD_S = 0.1
# Up to FULL_SEARCH_QUEUES prefill workers are all evaluated in full. Of more,
# only LEAST_BUSY_QUEUES of the least busy ones and WARM_QUEUES of those with
# the first block of the prompt in their cache are.
FULL_SEARCH_QUEUES = 8
LEAST_BUSY_QUEUES = 5
WARM_QUEUES = 2
NO_WORKER_RETRY_AFTER_S = 1.0
SUSPECT_RETRY_AFTER_S = 0.1


class _DecodeChoice(NamedTuple):
    """A chosen decode worker and the time at which it has a free slot.

    Attributes:
      worker: The decode worker.
      engine: Cost profile of the worker.
      slot_at: Time at which a slot is free, seconds (monotonic clock).
      batch: Number of other runs expected in the batch.
    """

    worker: worker.Worker
    engine: config.Engine
    slot_at: float
    batch: int


class _PrefillChoice(NamedTuple):
    """A chosen prefill worker with the planned times."""

    worker: worker.Worker
    queue: prefill_queue.PrefillQueue
    times: prefill_queue.Proposal

    @property
    def transfer_end(self) -> float:
        """Time at which the KV transfer ends, seconds (monotonic clock)."""
        return self.times.transfer_at + self.times.transfer_s


class JointPlanner:
    """Planner that reserves decode slot, link and prefill time together.

    It implements `placement.Planner`.
    """

    def __init__(
        self, *, goodput_weight: float = 1.0, waste_weight: float = 0.2
    ) -> None:
        """Initialize a planner without workers.

        Args:
          goodput_weight: Weight of answers within both latency targets.
          waste_weight: Weight of prefill work whose result no decode run uses.
        """
        total = max(goodput_weight + waste_weight, 1e-9)
        self._work_weight = (
            PREFILL_WORK_WEIGHT + WASTE_WORK_WEIGHT * waste_weight / total
        )
        self._ledger = ledger.Ledger()
        self._workers: dict[str, worker.Worker] = {}
        self._engines: dict[str, config.Engine] = {}
        self._queues: dict[str, prefill_queue.PrefillQueue] = {}
        self._leaving: set[str] = set()
        self._unreported: set[str] = set()
        self._unreachable_until: dict[str, float] = {}
        self._callers: dict[str, tuple[float, float]] = {}
        self._priority_seen_at: dict[int, float] = {}
        self._length_fraction = INITIAL_LENGTH_FRACTION
        self._max_tokens_of: dict[str, int] = {}
        self._queue_of: dict[str, prefill_queue.PrefillQueue] = {}
        self._decode_workers: list[worker.Worker] = []
        self._next_expiry = 0.0
        self._overloaded_at = -OVERLOAD_WINDOW_S
        self._lateness = lateness.Lateness()

    @property
    def ledger(self) -> ledger.Ledger:
        """Reservations of decode slots."""
        return self._ledger

    def last_cache_event(self, name: str) -> int:
        """Return the number of a worker's latest cache event, 0 if unknown."""
        queue = self._queues.get(name)
        return queue.prefixes.last_event if queue else 0

    def set_workers(
        self, workers: list[worker.Worker], engines: dict[str, config.Engine]
    ) -> None:
        """Replace the workers; see `placement.Planner`."""
        known = self._workers
        self._workers = {w.name: w for w in workers}
        self._unreported &= self._workers.keys()
        self._unreported |= self._workers.keys() - known.keys()
        self._engines = {
            w.name: engines[w.pool] for w in workers if w.pool in engines
        }
        for name in set(self._queues) - set(self._workers):
            del self._queues[name]
        for w in workers:
            if w.role == "prefill" and w.name not in self._queues:
                self._queues[w.name] = prefill_queue.PrefillQueue()
        self._decode_workers = [
            w for w in workers if w.role == "decode" and self._is_offered(w)
        ]

    def _is_offered(self, candidate: worker.Worker) -> bool:
        return not candidate.leaving and candidate.name in self._engines

    def plan(
        self, now: float, request: placement.Request
    ) -> placement.PlanResult:
        """Place a request; see `placement.Planner`."""
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_PERIOD_S
            self._ledger.expire(now)
        self._callers[request.caller] = (now, request.weight)
        self.release(now, request.exchange, 0)
        excluded = self._excluded_workers(now, request)
        decode = self._choose_decode(now, request, excluded)
        if decode is None:
            # A decode worker gets one suspect at a time. Suspects wait for
            # one another only briefly, so the retry may come soon.
            wait_s = NO_WORKER_RETRY_AFTER_S
            if request.suspect:
                wait_s = SUSPECT_RETRY_AFTER_S
            return Err(placement.Refusal("no_decode_worker", wait_s))
        prefill = self._choose_prefill(now, request, decode, excluded)
        if prefill is None:
            return Err(
                placement.Refusal("no_prefill_worker", NO_WORKER_RETRY_AFTER_S)
            )
        step_s = _step_s(decode.engine, decode.batch + 1)
        first_token_at = prefill.transfer_end + step_s
        times = prefill.times
        unloaded_s = times.prefill_s + times.transfer_s + step_s
        refusal = self._admit(now, request, first_token_at, unloaded_s)
        if refusal is not None:
            return Err(refusal)
        self._book(request, decode, prefill, first_token_at)
        return Ok(
            placement.Grant(
                prefill.worker.name,
                prefill.worker.address,
                decode.worker.name,
                decode.worker.address,
                max(0.0, times.start - now),
                times.prefill_s,
                times.transfer_s,
                first_token_at - now,
            )
        )

    def record_late_prefill(self, now: float, exchange: str) -> None:
        """Record a late prefill; see `placement.Planner`."""
        queue = self._queue_of.get(exchange)
        if queue is not None:
            queue.record_late_prefill(exchange)

    def record_start(
        self, now: float, exchange: str, prefill_s: float, transfer_s: float
    ) -> None:
        """Record the start of a decode run; see `placement.Planner`."""
        self._ledger.record_start(now, exchange)
        queue = self._queue_of.pop(exchange, None)
        if queue is None:
            return
        late_s = queue.record_start(now, exchange, prefill_s, transfer_s)
        if late_s is not None:
            self._lateness.observe(late_s)

    def release(self, now: float, exchange: str, tokens: int) -> None:
        """Release the reservations of an exchange; see `placement.Planner`."""
        held = self._ledger.release(exchange)
        max_tokens = self._max_tokens_of.pop(exchange, 0)
        if held is not None and tokens and max_tokens:
            sample = min(1.0, tokens / max_tokens)
            self._length_fraction += LENGTH_SMOOTHING * (
                sample - self._length_fraction
            )
        queue = self._queue_of.pop(exchange, None)
        if queue is not None:
            queue.release(exchange)

    def clear_suspect(self, now: float, exchange: str) -> None:
        """Clear the suspicion of a run; see `placement.Planner`."""
        self._ledger.clear_suspect(exchange)

    def observe(self, now: float, name: str, report: worker.Report) -> None:
        """Apply a load report; see `placement.Planner`."""
        self._unreachable_until.pop(name, None)
        self._unreported.discard(name)
        if report.leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)
        queue = self._queues.get(name)
        if queue is not None:
            queue.observe(now, report)
        else:
            self._ledger.observe(now, name, report)

    def mark_unreachable(self, now: float, name: str) -> None:
        """Mark a worker as unreachable; see `placement.Planner`."""
        self._unreachable_until[name] = now + UNREACHABLE_PAUSE_S
        if name in self._queues:
            self._queues[name] = prefill_queue.PrefillQueue()
        self._ledger.drop_worker(name)

    def _excluded_workers(
        self, now: float, request: placement.Request
    ) -> set[str]:
        """Return the workers that must not get this request now."""
        for name, until in list(self._unreachable_until.items()):
            if until <= now:
                del self._unreachable_until[name]
        excluded = self._leaving.union(request.avoid, self._unreachable_until)
        for role in ("prefill", "decode"):
            excluded |= self._never_reported(role, excluded)
        return excluded

    def _never_reported(
        self, role: worker.Role, excluded: set[str]
    ) -> set[str]:
        """Return the workers of a role without a report since they were added.

        The set is empty if no worker of the role outside `excluded` has
        reported: a new planner has no reports yet and may have to place
        requests before the first one arrives.
        """
        if not self._unreported:
            return set()
        names = {n for n, w in self._workers.items() if w.role == role}
        reported = names - self._unreported - excluded
        return names & self._unreported if reported else set()

    def _choose_decode(
        self, now: float, request: placement.Request, excluded: set[str]
    ) -> _DecodeChoice | None:
        best: _DecodeChoice | None = None
        best_key = (0.0, 0.0)
        limits: dict[str, int] = {}
        for candidate in self._decode_workers:
            name = candidate.name
            if name in excluded:
                continue
            if request.suspect and self._ledger.has_suspect(name):
                continue
            capacity = limits.get(candidate.pool)
            if capacity is None:
                capacity = batch_limit(self._engines[name], request.token_gap_s)
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
                best = _DecodeChoice(
                    candidate, self._engines[name], slot_at, batch
                )
        return best

    def _choose_prefill(
        self,
        now: float,
        request: placement.Request,
        decode: _DecodeChoice,
        excluded: set[str],
    ) -> _PrefillChoice | None:
        names = [
            name
            for name in self._queues
            if name not in excluded and self._is_offered(self._workers[name])
        ]
        best: _PrefillChoice | None = None
        best_score = 0.0
        for name in self._shortlist(request, names):
            queue = self._queues[name]
            times = queue.propose(
                now, request, self._engines[name], decode.slot_at
            )
            candidate = _PrefillChoice(self._workers[name], queue, times)
            score = candidate.transfer_end + self._work_weight * times.prefill_s
            if best is None or score < best_score:
                best, best_score = candidate, score
        return best

    def _shortlist(
        self, request: placement.Request, names: list[str]
    ) -> list[str]:
        """Return the prefill workers to evaluate in full.

        With more than FULL_SEARCH_QUEUES workers, these are the least busy ones
        and the least busy ones that have the first block of the prompt cached.
        """
        if len(names) <= FULL_SEARCH_QUEUES:
            return names
        by_load = sorted((self._queues[n].busy_until, n) for n in names)
        chosen = [name for _, name in by_load[:LEAST_BUSY_QUEUES]]
        if request.blocks:
            first = request.blocks[0]
            warm = (
                n for _, n in by_load if self._queues[n].prefixes.has(first)
            )
            chosen += itertools.islice(warm, WARM_QUEUES)
        return chosen

    def _admit(
        self,
        now: float,
        request: placement.Request,
        first_token_at: float,
        unloaded_s: float,
    ) -> placement.Refusal | None:
        wait_s = first_token_at - now + request.waited_s
        max_wait_s = self._max_wait_s(now, request, unloaded_s)
        if wait_s > max_wait_s:
            if unloaded_s <= request.first_token_s and not request.accepted:
                self._overloaded_at = now
            late_s = max(MIN_RETRY_AFTER_S, wait_s - max_wait_s)
            return placement.Refusal("first_token_too_late", late_s)
        is_contended = wait_s > request.first_token_s * CONTENTION_FRACTION
        if (
            not request.accepted
            and is_contended
            and self._exceeds_share(now, request)
        ):
            return placement.Refusal("over_share", wait_s)
        return None

    def _max_wait_s(
        self, now: float, request: placement.Request, unloaded_s: float
    ) -> float:
        """Return the longest admitted time from arrival to the first token.

        A request is admitted up to UNLOADED_FACTOR times its latency on idle
        workers, even past its target. One that would miss its target there
        could displace one that can still meet its own, so it isn't admitted
        late within OVERLOAD_WINDOW_S after such a request was refused.

        Args:
          now: Monotonic time in seconds.
          request: The request.
          unloaded_s: Predicted time to the first token if the prefill, transfer
            and decode step follow one another without waiting, seconds.
        """
        if request.accepted:
            return ACCEPTED_MAX_WAIT_S + request.waited_s
        margin_s = min(
            self._lateness.margin_s, request.first_token_s * MAX_MARGIN_FRACTION
        )
        fraction = ADMIT_FRACTION - self._reserved_fraction(now, request)
        in_time_s = request.first_token_s * fraction - margin_s
        is_overloaded = now - self._overloaded_at < OVERLOAD_WINDOW_S
        if is_overloaded and unloaded_s > request.first_token_s:
            return in_time_s
        return max(in_time_s, unloaded_s * UNLOADED_FACTOR)

    def _reserved_fraction(
        self, now: float, request: placement.Request
    ) -> float:
        """Return the fraction of the target reserved for more urgent requests.

        Nothing is reserved if no more urgent request reached this check within
        the last URGENCY_WINDOW_S.
        """
        self._priority_seen_at[request.priority] = now
        more_urgent = any(
            priority < request.priority and now - seen < URGENCY_WINDOW_S
            for priority, seen in self._priority_seen_at.items()
        )
        return PRIORITY_RESERVE_FRACTION if more_urgent else 0.0

    def _exceeds_share(self, now: float, request: placement.Request) -> bool:
        for caller, (seen, _) in list(self._callers.items()):
            if now - seen > CALLER_WINDOW_S:
                del self._callers[caller]
        if len(self._callers) < 2:
            return False
        total = sum(weight for _, weight in self._callers.values())
        slots = sum(
            batch_limit(self._engines[name], request.token_gap_s)
            for name, w in self._workers.items()
            if w.role == "decode" and name in self._engines
        )
        held = self._ledger.held_by_caller().get(request.caller, 0)
        return held + 1 > max(1.0, slots * request.weight / total)

    def _book(
        self,
        request: placement.Request,
        decode: _DecodeChoice,
        prefill: _PrefillChoice,
        first_token_at: float,
    ) -> None:
        tokens = max(1.0, request.max_tokens * self._length_fraction)
        self._max_tokens_of[request.exchange] = request.max_tokens
        self._ledger.reserve(
            ledger.Reservation(
                request.exchange,
                request.caller,
                decode.worker.name,
                first_token_at,
                tokens,
                first_token_at + RESERVATION_SLACK_S,
                None,
                request.suspect,
            )
        )
        prefill.queue.book(request, prefill.times)
        self._queue_of[request.exchange] = prefill.queue


def _step_s(engine: config.Engine, batch: int) -> float:
    return engine["step_base_s"] + engine["step_run_s"] * batch


def batch_limit(engine: config.Engine, token_gap_s: float) -> int:
    """Return how many runs a decode worker can batch within a token gap.

    Args:
      engine: Cost profile of the worker.
      token_gap_s: Target for the time between tokens, seconds.

    Returns:
      Number of runs, at least 1 and at most the slots of the worker.
    """
    available_s = token_gap_s * TOKEN_GAP_FRACTION - engine["step_base_s"]
    if available_s <= 0:
        return 1
    if engine["step_run_s"] <= 0:
        # The time of a step doesn't depend on the batch.
        return engine["slots"]
    fitting = int(available_s / engine["step_run_s"])
    return max(1, min(engine["slots"], fitting))
