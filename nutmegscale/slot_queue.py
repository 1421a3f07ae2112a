"""Queue of streams that wait for the slots of decode workers.

Decode slots are the scarce resource, so a prompt is prefilled only once a slot
is held for its run. Streams that can still be in time are served first; late
ones fill slots that no other stream needs.
"""

from collections import Counter
from collections import deque
from collections.abc import Iterable

from nutmegscale import backend
from nutmegscale import cache_trust
from nutmegscale import customers
from nutmegscale import decode_slots
from nutmegscale import first_event_forecast
from nutmegscale import held_slots
from nutmegscale import prefill_workers
from nutmegscale import refused_requests
from nutmegscale import request_costs
from nutmegscale import slot_types
from nutmegscale import stage_plan
from nutmegscale import stream_order
from nutmegscale import worker_limits
from nutmegscale import worker_pauses

# Age up to which a request that can't be granted yet, as for lack of free
# memory, may be bypassed by those behind it, seconds.
MAX_BYPASS_S = 0.25
# Time after which a slot that its host hasn't confirmed is freed, seconds.
UNCONFIRMED_SLOT_TTL_S = 4.0
# Age below which a slot may be missing from its host's list, seconds.
CONFIRM_GRACE_S = 1.0
# Longest wait of a late stream for capacity that will be free, seconds. Its
# answer is worth little, and a refusal that comes late costs its caller time.
MAX_LATE_WAIT_S = 0.25
MIN_RETRY_AFTER_S = 0.2
NO_WORKER_RETRY_AFTER_S = 1.0
# Step by which the retry times of refused callers are spread, seconds.
RETRY_SPREAD_STEP_S = 0.1
# Window of past arrivals from which the rate of arrivals is estimated, seconds.
RATE_WINDOW_S = 1.0


class SlotQueue:
    """Queue for the decode slots of one service.

    It does no I/O and reads no clock: time is passed in with each call.

    Args:
      costs: Estimated costs of the service, which outlive the queue.
      limits: Limits that the workers state; none by default.
    """

    def __init__(
        self,
        costs: request_costs.RequestCosts | None = None,
        limits: worker_limits.WorkerLimits | None = None,
    ) -> None:
        self._waiting: dict[str, slot_types.SlotRequest] = {}
        self._held = held_slots.HeldSlots()
        self._pauses = worker_pauses.WorkerPauses()
        self._caches = cache_trust.CacheTrust()
        self._costs = costs or request_costs.RequestCosts()
        self._limits = limits or worker_limits.Unlimited()
        self._prefill_workers = prefill_workers.PrefillWorkers(
            self._held, self._pauses, self._costs, self._limits, self._caches
        )
        self._slots = decode_slots.DecodeSlots(
            self._held, self._pauses, self._costs, self._limits
        )
        self._order = stream_order.StreamOrder(
            self._held, self._slots, self._costs
        )
        self._refused_requests = refused_requests.RefusedRequests()
        self._arrivals: deque[float] = deque()
        self._refusal_count = 0
        self._no_grants_before = 0.0

    @property
    def waiting(self) -> int:
        """Number of streams in the queue."""
        return len(self._waiting)

    def waiting_streams(self) -> list[tuple[str, str]]:
        """Return the streams in the queue, and their hosts."""
        return [(r.exchange, r.host) for r in self._waiting.values()]

    def hosts_with_slots(self) -> set[str]:
        """Return the hosts whose streams hold slots."""
        return {held.host for held in self._held.all()}

    @property
    def held(self) -> int:
        """Number of held slots."""
        return len(self._held)

    def hold_grants_until(self, time: float) -> None:
        """Grant no new slots and refuse no streams before a time."""
        self._no_grants_before = time

    def set_workers(
        self,
        now: float,
        workers: tuple[backend.Backend, ...],
        *,
        kv_tokens: int,
    ) -> None:
        """Set the workers that take new work.

        Args:
          now: Monotonic time in seconds.
          workers: Workers of the service.
          kv_tokens: Size of each worker's KV memory in tokens, 0 if unknown.
        """
        prefills = [w for w in workers if w.stage == "prefill"]
        decodes = [w for w in workers if w.stage != "prefill"]
        for worker in decodes:
            if self._prefill_workers.has(worker.id):
                self._pauses.resume(worker.id)
        self._prefill_workers.set_workers(prefills)
        self._slots.set_workers(decodes, kv_tokens=kv_tokens)
        names = {worker.id for worker in workers}
        self._pauses.prune(now, names)
        self._caches.keep_only(names)
        self._costs.keep_only(names)

    def set_customers(self, known: Iterable[customers.Customer]) -> None:
        """Set the customers, whose limits show their usual use."""
        self._order.set_customers(known)

    def submit(
        self, now: float, request: slot_types.SlotRequest
    ) -> list[slot_types.Decision]:
        """Add a stream to the queue, and return the decisions due now.

        A stream that already holds a slot gets the same grant again.
        """
        held = self._held.get(request.exchange)
        if held is not None:
            return [self._repeated_grant(held)]
        known = self._waiting.get(request.exchange)
        if known is not None:
            request = request._replace(
                requested_at=known.requested_at,
                in_time_by=known.in_time_by,
                expected_tokens=known.expected_tokens,
                submitted_at=known.submitted_at,
            )
        else:
            request = self._restore_first_attempt(now, request)
            expected = self._costs.expected_answer_tokens(
                request.expected_tokens
            )
            request = request._replace(
                expected_tokens=expected, submitted_at=now
            )
            self._arrivals.append(now)
            self._costs.record_request(request.prompt_tokens, expected)
        self._waiting[request.exchange] = request
        return self.dispatch(now)

    def _repeated_grant(self, held: slot_types.HeldSlot) -> slot_types.Grant:
        """Return the grant of a slot whose first answer was lost or late."""
        prefill_s = 0.0
        if held.prefill:
            prefill_s = self._prefill_workers.expected_prefill_s(
                held.prefill, 0
            )
        return slot_types.Grant(
            held.exchange,
            held.host,
            held.prefill,
            held.decode,
            prefill_s,
            held.permitted,
            held.customer,
        )

    def _restore_first_attempt(
        self, now: float, request: slot_types.SlotRequest
    ) -> slot_types.SlotRequest:
        """Restore the times of the first attempt if this one is a retry."""
        first = self._refused_requests.take(now, request.content)
        if first is None:
            return request
        return request._replace(
            requested_at=min(first.requested_at, request.requested_at),
            in_time_by=min(first.in_time_by, request.in_time_by),
        )

    def release(self, exchange: str) -> None:
        """Free the slot of a stream, or take it out of the queue."""
        self._waiting.pop(exchange, None)
        self._held.remove(exchange)

    def record_prefill(
        self, now: float, exchange: str, prefill_s: float
    ) -> None:
        """Record the end of a stream's prefill.

        Args:
          now: Monotonic time in seconds.
          exchange: The stream.
          prefill_s: How long the prefill took, seconds; 0 if it failed or
            wasn't needed.
        """
        held = self._held.get(exchange)
        if held is None or not held.prefill:
            return
        if prefill_s > 0.0:
            self._pauses.record_success(held.prefill)
        if prefill_s > 0.0 and held.queued_tokens:
            self._costs.record_prefill(
                held.prefill, held.queued_tokens, prefill_s
            )
        # The decode run starts now, and its memory grows from now on.
        self._held.put(held._replace(prefill="", since=now))

    def record_run(
        self, decode: str, hinted: int, events: int, run_s: float
    ) -> None:
        """Record how long a complete run took and how long its answer was.

        Args:
          decode: Decode worker.
          hinted: Length of the answer that the caller expected, tokens; 0 if
            the run isn't complete, which is then ignored.
          events: Length of the answer, events.
          run_s: Duration of the run, seconds.
        """
        if hinted <= 0 or events <= 0:
            return
        self._pauses.record_success(decode)
        self._costs.record_run(decode, hinted, events, run_s)

    def record_rejection(
        self, now: float, exchange: str, worker: str, prompt_tokens: int
    ) -> None:
        """Record that a decode worker had no memory for a granted run.

        Args:
          now: Monotonic time in seconds.
          exchange: The stream, which gives up the slot.
          worker: The decode worker.
          prompt_tokens: Length of the prompt, tokens.
        """
        self._held.remove(exchange)
        self._slots.record_rejection(now, worker, prompt_tokens)

    def record_cache_rejection(
        self, now: float, prefill: str, decode: str
    ) -> bool:
        """Record that a decode worker couldn't use a prefill worker's cache.

        Args:
          now: Monotonic time in seconds.
          prefill: The prefill worker.
          decode: The decode worker, which may have had no memory instead.

        Returns:
          Whether the cache is taken for lost.
        """
        cleared = self._caches.record_rejection(now, prefill, decode)
        for worker in cleared:
            self._slots.forget_rejection(worker)
        return decode in cleared

    def record_cache_use(self, prefill: str, prefilled_at: float) -> None:
        """Record that a complete run has used a prefill worker's cache."""
        self._caches.record_use(prefill, prefilled_at)

    def record_unreachable(self, now: float, worker: str) -> None:
        """Record that a worker is unreachable.

        Reports that arrive while the worker is paused are ignored.
        """
        self._pauses.record_unreachable(now, worker)

    def pause_worker(self, worker: str, until: float) -> None:
        """Pause a worker until a time, or until it becomes a decode worker."""
        self._pauses.pause(worker, until)

    def stage_costs(self) -> stage_plan.StageCosts:
        """Return the costs of a typical request at a worker of each stage."""
        return self._slots.stage_costs()

    def confirm(
        self, now: float, host: str, held: list[slot_types.HeldSlot]
    ) -> None:
        """Update the known slots of a host from the host's own list.

        Slots that aren't listed are freed, except those younger than
        `CONFIRM_GRACE_S`.
        """
        listed = {h.exchange for h in held}
        for known in self._held.all():
            is_dropped = known.host == host and known.exchange not in listed
            if is_dropped and now - known.since >= CONFIRM_GRACE_S:
                self._held.remove(known.exchange)
        for item in held:
            known_item = self._held.get(item.exchange)
            if known_item is None:
                expected = self._costs.expected_answer_tokens(
                    item.expected_tokens
                )
                self._held.put(
                    item._replace(confirmed=now, expected_tokens=expected)
                )
            else:
                self._held.put(known_item._replace(confirmed=now))

    def dispatch(self, now: float) -> list[slot_types.Decision]:
        """Grant the free slots and refuse the streams that can't be served.

        Returns:
          The decisions, for the hosts that serve the streams.
        """
        self._expire(now)
        decisions: list[slot_types.Decision] = []
        if now < self._no_grants_before:
            return decisions
        if self._waiting:
            self._slots.want_permits(len(self._waiting))
            self._prefill_workers.want_permits(len(self._waiting))
        order = self._arrange(now)
        decisions += self._grant_in_time(now, order)
        still_waiting = any(
            stream.exchange in self._waiting for stream in order.in_time
        )
        for request in order.late:
            if still_waiting or not self._has_late_capacity(now):
                break
            grant = self._try_grant(now, request)
            if grant is not None:
                decisions.append(grant)
        decisions += self._refuse(now)
        return decisions

    def _grant_in_time(
        self, now: float, order: stream_order.Order
    ) -> list[slot_types.Decision]:
        """Grant slots to the streams that can be in time."""
        decisions: list[slot_types.Decision] = []
        bypassed = 0
        for request in order.in_time:
            # One slot stays free for each bypassed request until there is
            # memory for it.
            if self._slots.free_slots(now) <= bypassed:
                break
            # Those behind it are less urgent, or above their share as well.
            is_above = request.exchange in order.above_share
            if is_above and self._slots.free_capacity(now) <= order.reserve:
                break
            grant = self._try_grant(now, request)
            if grant is not None:
                decisions.append(grant)
            elif request.version:
                # It waits for few workers, and others need not wait for it.
                continue
            elif now - request.requested_at > MAX_BYPASS_S:
                break
            else:
                bypassed += 1
        return decisions

    def first_event_s(
        self, now: float, request: slot_types.SlotRequest
    ) -> float:
        """Return the expected time from a grant to the first event, seconds."""
        return self._first_event_forecast(now).first_event_s(request)

    def _first_event_forecast(
        self, now: float
    ) -> first_event_forecast.FirstEventForecast:
        """Return a forecast for streams that are granted a slot now."""
        local = self._slots.local_prefill_forecast(now)
        worker = self._prefill_workers.choose(now)
        if worker is None:
            return first_event_forecast.FirstEventForecast(local, local)
        prefill = self._prefill_workers.forecast(worker)
        return first_event_forecast.FirstEventForecast(prefill, local)

    def _arrange(self, now: float) -> stream_order.Order:
        """Return the waiting streams in the order in which they are served."""
        forecast = self._first_event_forecast(now)
        return self._order.arrange(now, self._waiting.values(), forecast)

    def _choose_workers(
        self, now: float, request: slot_types.SlotRequest
    ) -> tuple[str, str] | None:
        """Choose the workers of a stream.

        Returns:
          The decode worker, and the prefill worker or "" if the decode worker
          must prefill the prompt; None if the stream can't be granted a slot.
        """
        prefill = (
            None
            if request.local_prefill
            else self._prefill_workers.choose(now, avoid=request.avoid)
        )
        decode = self._slots.choose(
            now,
            request,
            local_prefill=prefill is None,
            prefill_versions=self._prefill_workers.versions(now),
        )
        if decode is None:
            return None
        if prefill is not None:
            prefill = self._prefill_workers.choose(
                now,
                self._slots.failure_domain(decode),
                self._slots.version(decode),
                avoid=request.avoid,
            )
        return decode, prefill or ""

    def _try_grant(
        self, now: float, request: slot_types.SlotRequest
    ) -> slot_types.Grant | None:
        workers = self._choose_workers(now, request)
        if workers is None:
            return None
        decode, prefill = workers
        prefill_s, queued_tokens = 0.0, 0
        if prefill:
            self._caches.record_grant(now, prefill)
            prefill_s = self._prefill_workers.expected_prefill_s(
                prefill, request.prompt_tokens
            )
            queued_tokens = self._held.queued_tokens(prefill)
            queued_tokens += request.prompt_tokens
        else:
            self._slots.record_local_prefill(now, decode, request.prompt_tokens)
        permitted = tuple(
            worker for worker in workers if worker and self._limits.take(worker)
        )
        del self._waiting[request.exchange]
        held = slot_types.HeldSlot(
            request.exchange,
            request.host,
            decode,
            prefill,
            request.prompt_tokens,
            request.expected_tokens,
            now,
            now,
            queued_tokens,
            permitted,
            request.customer,
        )
        self._held.put(held)
        self._order.record_grant(now, request)
        return slot_types.Grant(
            request.exchange,
            request.host,
            prefill,
            decode,
            prefill_s,
            permitted,
            request.customer,
        )

    def is_paused(self, now: float, worker: str) -> bool:
        """Whether a worker is paused or counts as unreachable."""
        return self._pauses.is_paused(now, worker)

    def _has_late_capacity(self, now: float) -> bool:
        """Whether capacity is free beyond what late streams leave."""
        return self._slots.free_capacity(now) > self._order.late_reserve

    def _refuse(self, now: float) -> list[slot_types.Decision]:
        """Refuse streams without an expected start that is early enough."""
        if not self._waiting:
            return []
        order = self._arrange(now)
        forecast = self._first_event_forecast(now)
        times = self._slots.capacity_times(now)
        late_times = self._late_start_times(now, times, len(order.in_time))
        decisions = self._refuse_of_version(now, order.in_time)
        refused = [
            request
            for request, start in order.starts(times)
            if not request.version
            and (
                start is None or not _is_worth_waiting(forecast, request, start)
            )
        ]
        has_free = bool(times) and times[0] <= now
        for request, start in order.late_starts(late_times):
            # While capacity is free, a late stream without a start waits for
            # those that could still be in time to come first.
            if start is None and has_free:
                start = now
            if start is None or start > _latest_start(request):
                refused.append(request)
        for request in refused:
            is_above = request.exchange in order.above_share
            decisions.append(
                self._refusal(now, request, times, is_above_share=is_above)
            )
        return decisions

    def _refuse_of_version(
        self, now: float, requests: list[slot_types.SlotRequest]
    ) -> list[slot_types.Decision]:
        """Refuse streams with no worker of their version early enough."""
        decisions: list[slot_types.Decision] = []
        forecast = self._first_event_forecast(now)
        ahead: Counter[str] = Counter()
        for request in requests:
            version = request.version
            if not version:
                continue
            times = self._slots.capacity_times(now, version)
            position = ahead[version]
            ahead[version] += 1
            start = times[position] if position < len(times) else None
            if not self._slots.has_version(version):
                decisions.append(
                    self._refusal(now, request, [], "no_worker_of_version")
                )
            elif now > request.give_up_at or (
                start is not None
                and not _is_worth_waiting(forecast, request, start)
            ):
                decisions.append(self._refusal(now, request, times))
        return decisions

    def _late_start_times(
        self, now: float, times: list[float], in_time: int
    ) -> list[float]:
        """Return the times at which capacity is free for late streams.

        They exclude the capacity for the waiting streams that can be in time,
        for the expected arrivals and for the reserve.

        Args:
          now: Monotonic time in seconds.
          times: When capacity for each further run is free, ascending.
          in_time: Number of streams that wait and can be in time.
        """
        rate = self._arrival_rate(now)
        reserved = in_time + self._order.late_reserve
        found: list[float] = []
        for index, time in enumerate(times):
            needed = reserved + rate * (time - now)
            if index + 1 - needed >= len(found) + 1:
                found.append(time)
        return found

    def _arrival_rate(self, now: float) -> float:
        """Return the recent arrivals of streams per second."""
        while self._arrivals and self._arrivals[0] <= now - RATE_WINDOW_S:
            self._arrivals.popleft()
        return len(self._arrivals) / RATE_WINDOW_S

    def _refusal(
        self,
        now: float,
        request: slot_types.SlotRequest,
        times: list[float],
        reason: str = "",
        *,
        is_above_share: bool = False,
    ) -> slot_types.Refusal:
        del self._waiting[request.exchange]
        first = refused_requests.FirstAttempt(
            request.requested_at, request.in_time_by
        )
        self._refused_requests.record(now, request.content, first)
        self._refusal_count += 1
        if not reason:
            reason = "no_slot_in_time" if times else "no_decode_worker"
        wait_s = times[-1] - now if times else NO_WORKER_RETRY_AFTER_S
        wait_s += RETRY_SPREAD_STEP_S * (self._refusal_count % 8)
        return slot_types.Refusal(
            request.exchange,
            request.host,
            max(MIN_RETRY_AFTER_S, wait_s),
            reason,
            waiting=len(self._waiting),
            held=len(self._held),
            rate=self._arrival_rate(now),
            customer=request.customer,
            is_above_share=is_above_share,
        )

    def _expire(self, now: float) -> None:
        for held in self._held.all():
            if now - held.confirmed > UNCONFIRMED_SLOT_TTL_S:
                self._held.remove(held.exchange)


def _is_worth_waiting(
    forecast: first_event_forecast.FirstEventForecast,
    request: slot_types.SlotRequest,
    start: float,
) -> bool:
    """Whether the caller would still be there for the first event."""
    return start + forecast.first_event_s(request) <= request.give_up_at


def _latest_start(request: slot_types.SlotRequest) -> float:
    """Return the latest start that a late stream waits for."""
    return min(request.submitted_at + MAX_LATE_WAIT_S, request.give_up_at)
