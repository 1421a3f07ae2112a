"""Runs streams of model services: decode slot, prefill, KV transfer, decode."""

from collections.abc import Callable
import hashlib
import random

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import event_stream
from nutmegscale import http_message
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import prefill_runner
from nutmegscale import request_context
from nutmegscale import retry_share
from nutmegscale import routing_board
from nutmegscale import server_calls
from nutmegscale import slot_controller
from nutmegscale import stream_origins
from nutmegscale import stream_registry
from nutmegscale import stream_run
from nutmegscale import upstream
from nutmegscale import upstream_call

# A caller abandons a stream that has sent no event after two seconds or four
# times the route's objective, whichever is longer.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVE_FACTOR = 4.0
# Part of that time reserved for the first event to reach the caller, seconds.
PATIENCE_MARGIN_S = 0.2
# Slots that one request may be granted in turn.
MAX_OFFERS = 4
# Longest body of a run's answer with a status from 300, bytes.
MAX_ERROR_BYTES = 65_536
# Retry-After of a request for which the retry budget allowed no further run,
# seconds.
NO_BUDGET_RETRY_AFTER_S = 1.0
# Retry-After of a caller that takes up a stream of which no host knows where it
# began, seconds. A host that has just started may know it after that time.
UNKNOWN_RETRY_AFTER_S = 0.5
# Length of a content digest, bytes: enough to distinguish the refused requests
# that a planner remembers for `refused_requests.RETENTION_S`, and the streams
# that hosts remember for `stream_origins.RETENTION_S`.
DIGEST_BYTES = 8
# Events of a run after which its answer is past its beginning, where a part of
# the prompt may crash the worker.
BEGUN_EVENTS = 4
# Retry-After of a request that was granted `MAX_OFFERS` slots and ran in none:
# each worker rejected it, left or was unreachable; seconds.
REJECTED_RETRY_AFTER_S = 1.0


_NOT_SENT_EVENTS = {
    errors.BackendLeftError: "decode_left",
    errors.LimitedError: "decode_limited",
    errors.ServerPausedError: "decode_paused",
    errors.TooLateError: "decode_too_late",
}


class StreamRunner:
    """Runs streams on decode workers, with prefill on separate workers."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        calls: server_calls.ServerCalls,
        codec: caller_request.ServerCodec,
        slots: slot_controller.SlotController,
        crashes: crash_watch.CrashWatch,
        registry: stream_registry.StreamRegistry,
        *,
        retries_of: Callable[[str], retry_share.RetryShare],
        rng: random.Random,
    ) -> None:
        self._board = board
        self._pool = pool
        self._calls = calls
        self._codec = codec
        self._slots = slots
        self._crashes = crashes
        self._registry = registry
        self._retries_of = retries_of
        self._rng = rng
        self._prefills = prefill_runner.PrefillRunner(
            board, pool, calls, codec, slots, crashes
        )

    async def run(self, context: request_context.RequestContext) -> None:
        """Run a stream until it is answered, refused or failed.

        Raises:
          errors.UnreachedError: This host is cut off from the workers; the
            stream hasn't begun.
        """
        run = stream_run.StreamRun(context.request)
        # The router admits a request in quarantine only if it is a trial.
        run.is_trial = self._crashes.refused_for_s(context.content) > 0.0
        if context.request.last_event and not await self._find_origin(
            context, run
        ):
            context.refuse("stream_unknown", UNKNOWN_RETRY_AFTER_S)
            return
        for _ in range(MAX_OFFERS):
            paused_s = self._board.paused_for_s(
                context.service,
                priority=context.route.priority,
                rng=self._rng,
                stage="decode",
            )
            if paused_s:
                self._give_up(context, run, "paused", paused_s)
                return
            grant = await self._slots.acquire(self._slot_demand(context, run))
            if grant.state != "granted":
                self._give_up(context, run, grant.reason, grant.retry_after_s)
                return
            try:
                if await self._run_granted(context, run, grant):
                    return
            finally:
                self._slots.report(
                    context.service,
                    run.exchange,
                    "ended",
                    worker=grant.decode,
                    tokens=run.tokens_if_complete,
                    events=run.events,
                    took_s=run.took_s,
                    prefill=run.cache_worker if run.is_complete else "",
                )
            if not run.may_run_again(context.route):
                return
            if self._board.is_cut_off and not (run.runs or context.tries):
                raise errors.UnreachedError("cut off from the workers")
            if await self._is_quarantined(context, run):
                break
        refused_for_s = self._crashes.refused_for_s(context.content)
        if refused_for_s:
            self._give_up(context, run, "quarantined", refused_for_s)
            return
        self._give_up(
            context, run, "rejected_by_servers", REJECTED_RETRY_AFTER_S
        )

    async def _find_origin(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> bool:
        """Find out at which service and version a stream is to go on.

        Returns:
          Whether it is known, and a target of the route.
        """
        request = context.request
        targets = {target.service for target in context.route.targets}
        origin = await self._registry.find(
            _origin_digest(request), request.resumes, targets
        )
        if origin is None or origin.service not in targets:
            return False
        if origin.service != context.service:
            context.move_to(origin.service, self._retries_of(origin.service))
        run.version = origin.version
        return True

    async def _is_quarantined(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> bool:
        """Whether a stream whose offer failed must not be offered again."""
        if not run.disconnects:
            return False
        return await self._crashes.is_quarantined_after_checks(
            context.content(),
            disconnects=run.disconnects,
            limit_s=context.left_s,
        )

    def _slot_demand(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> slot_controller.SlotDemand:
        request, route = context.request, context.route
        arrived = context.incoming.arrived
        patience_s = max(
            MIN_PATIENCE_S, PATIENCE_OBJECTIVE_FACTOR * route.objective_s
        )
        run.slot_requests += 1
        run.exchange = f"{request.id}.{run.slot_requests}"
        return slot_controller.SlotDemand(
            service=context.service,
            exchange=run.exchange,
            prompt_tokens=request.prompt_tokens,
            expected_tokens=request.expected_tokens,
            priority=route.priority,
            waited_s=context.waited_s,
            in_time_by=arrived - context.waited_s + route.objective_s,
            give_up_at=min(
                arrived + patience_s - PATIENCE_MARGIN_S, context.deadline
            ),
            avoid=(*run.avoid, *self._paused_workers(context.service)),
            local_prefill=run.local_prefill,
            content=_content_digest(request),
            version=run.version,
        )

    def _paused_workers(self, service: str) -> list[str]:
        """Return the ids of the workers that want no request of this host."""
        now, notices = self._board.now(), self._board.notices
        return [
            worker.id
            for worker in self._board.backends.usable(service)
            if notices.is_paused(now, worker.key)
        ]

    async def _run_granted(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        grant: messages.SlotReply,
    ) -> bool:
        """Run a stream in a granted slot.

        Returns:
          Whether the request has ended; False if it may be offered to another
          worker.
        """
        run.granted_at = self._board.now()
        decode = self._board.backends.get(grant.decode)
        prefill = self._board.backends.get(grant.prefill)
        if decode is None or decode.is_draining:
            run.avoid.append(grant.decode)
            context.record_failure_event("grant_outdated", decode=grant.decode)
            return False
        if run.version not in ("", decode.version):
            run.avoid.append(decode.id)
            context.record_failure_event(
                "grant_of_other_version",
                decode=decode.id,
                software=decode.version,
                expected=run.version,
            )
            return False
        if not context.sends.reserve():
            self._give_up(
                context, run, "retry_budget_spent", NO_BUDGET_RETRY_AFTER_S
            )
            return True
        source = self._reuse_source(context, run, grant, decode)
        is_permitted = decode.id in grant.permitted
        try:
            # Connect to the decode worker first: if it is unreachable, the
            # prefill would be wasted.
            connection = await self._pool.reserve(
                decode.address, request_id=context.request.id.encode("latin-1")
            )
            try:
                if source is None and self._may_prefill(
                    context, prefill, decode
                ):
                    assert prefill is not None
                    source = await self._prefills.prefill(
                        context,
                        run,
                        prefill,
                        forecast_s=grant.prefill_s,
                        is_permitted=prefill.id in grant.permitted,
                    )
                self._check_not_quarantined(context, run)
                self._check_not_draining(decode)
                await self._decode(
                    context,
                    run,
                    decode,
                    source,
                    connection,
                    is_permitted=is_permitted,
                )
            finally:
                connection.release()
            return True
        except errors.NutmegscaleError as exc:
            return await self._handle_failure(
                context, run, decode, exc, source=source
            )
        finally:
            is_kept = run.keep_source(source, self._board.now())
            if source is not None and not run.is_source_used and not is_kept:
                periodic.spawn(self._prefills.free(source))

    async def _handle_failure(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        decode: backend.Backend,
        exc: errors.NutmegscaleError,
        *,
        source: caller_request.KvHandle | None,
    ) -> bool:
        """Handle an offer that led to no complete answer.

        Returns:
          Whether the request has ended; False if it may be offered to another
          worker.
        """
        match exc:
            case errors.PrefillFailedError():
                # The planner knows a better worker than a local prefill beside
                # the runs of the decode worker, which it would delay.
                pass
            case errors.QuarantinedError():
                context.record_failure_event(
                    "quarantined_meanwhile", decode=decode.id, why=str(exc)
                )
                self._give_up(
                    context,
                    run,
                    "quarantined",
                    self._crashes.refused_for_s(context.content),
                )
                return True
            case errors.NotSentError():
                context.record_failure_event(
                    _NOT_SENT_EVENTS.get(type(exc), "decode_left"),
                    decode=decode.id,
                    why=str(exc),
                )
                run.record_rejection(
                    self._board.now(), decode.id, had_source=False
                )
            case errors.RejectedError():
                self._record_rejection(context, run, decode, exc, source=source)
            case errors.ConnectError():
                self._record_unreachable(context, run, decode, exc)
            case errors.ResumptionError():
                return self._handle_other_answer(context, run, decode, exc)
            case errors.TransportError():
                return await self._handle_broken_run(context, run, decode, exc)
            case _:
                raise exc
        return False

    def _handle_other_answer(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        decode: backend.Backend,
        exc: errors.ResumptionError,
    ) -> bool:
        """Handle an answer that isn't the rest of a stream in progress.

        Returns:
          Whether the request has ended; False if it may be resumed on another
          worker.
        """
        run.runs += 1
        run.avoid.append(decode.id)
        context.record_failure_event(
            "resumption_failed",
            decode=decode.id,
            why=str(exc),
            last_event=run.last_event.decode("latin-1"),
        )
        self._board.loads.record_failure(self._board.now(), decode)
        if run.may_run_again(context.route):
            return False
        context.fail(
            errors.Failure(
                502, "not_resumed", "the run broke off", "maybe_run"
            ),
            decode=decode.id,
        )
        return True

    def _record_rejection(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        decode: backend.Backend,
        exc: errors.RejectedError,
        *,
        source: caller_request.KvHandle | None,
    ) -> None:
        """Record that a decode worker rejected a run without running it."""
        context.record_failure_event(
            "decode_rejected", decode=decode.id, why=str(exc)
        )
        is_full = run.record_rejection(
            self._board.now(), decode.id, had_source=source is not None
        )
        # With a free slot it had no memory, or couldn't use the KV cache.
        is_suspect = source is not None and run.had_free_slot
        if is_full or is_suspect:
            self._slots.report(
                context.service,
                run.exchange,
                "rejected" if is_full else "cache_rejected",
                worker=decode.id,
                tokens=context.request.prompt_tokens,
                prefill=source.server.id if source and is_suspect else "",
            )

    def _check_not_quarantined(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> None:
        """Check that the content wasn't quarantined during the prefill.

        Raises:
          errors.QuarantinedError: It was; it isn't run.
        """
        refused_for_s = self._crashes.refused_for_s(context.content)
        if refused_for_s and not run.is_trial:
            raise errors.QuarantinedError(
                f"quarantined for {refused_for_s:.1f} s during the prefill"
            )

    def _check_not_draining(self, worker: backend.Backend) -> None:
        """Check that a worker didn't leave or restart during the prefill.

        A restarted one may have another software version.

        Raises:
          errors.BackendLeftError: It was; nothing was sent to it.
        """
        entry = self._board.backends.get(worker.id)
        if entry is None or entry.is_draining or entry.key != worker.key:
            raise errors.BackendLeftError(
                f"decode worker {worker.id} left or restarted meanwhile"
            )

    def _reuse_source(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        grant: messages.SlotReply,
        decode: backend.Backend,
    ) -> caller_request.KvHandle | None:
        """Return the KV cache of an earlier offer if it can be used.

        It can't if it has expired or if the decode worker has another software
        version than the worker that wrote it.

        In that case, the planner is informed that the prefill worker of the
        grant isn't needed.
        """
        source = run.take_source(self._board.now())
        if source is not None and source.server.version != decode.version:
            periodic.spawn(self._prefills.free(source))
            return None
        if source is not None and grant.prefill:
            self._slots.report(
                context.service,
                run.exchange,
                "prefilled",
                worker=grant.prefill,
            )
        return source

    def _may_prefill(
        self,
        context: request_context.RequestContext,
        prefill: backend.Backend | None,
        decode: backend.Backend,
    ) -> bool:
        if prefill is None or prefill.is_draining:
            return False
        if prefill.version != decode.version:
            return False
        # Both a further prefill and the run after it count as arrivals.
        return not context.sends.has_prefilled or context.sends.reserve(2)

    async def _handle_broken_run(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        decode: backend.Backend,
        exc: Exception,
    ) -> bool:
        """Handle a run that ended early.

        Returns:
          Whether the request has ended; False if it may be resumed on another
          worker.
        """
        run.runs += 1
        is_timeout = isinstance(exc, errors.ResponseTimeoutError)
        context.record_failure_event(
            "stream_broke",
            decode=decode.id,
            error=type(exc).__name__,
            why=str(exc),
            last_event=run.last_event.decode("latin-1"),
            run_events=run.run_events,
            parts=context.part_names,
        )
        if not is_timeout:
            run.disconnects += 1
            self._crashes.record_disconnect(
                context.content(),
                decode,
                run.began_at,
                has_begun=run.run_events >= BEGUN_EVENTS,
            )
            self._board.loads.record_failure(self._board.now(), decode)
            self._report_unreachable(context, run, decode)
        if run.may_run_again(context.route) and not is_timeout:
            run.avoid.append(decode.id)
            return False
        # The checks are awaited so that all hosts know their result when the
        # caller sends the request again.
        await self._is_quarantined(context, run)
        status, kind = (504, "timeout") if is_timeout else (502, "server_broke")
        context.fail(
            errors.Failure(status, kind, "the run broke off", "maybe_run"),
            decode=decode.id,
        )
        return True

    async def _decode(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        source: caller_request.KvHandle | None,
        connection: upstream.ReservedConnection,
        *,
        is_permitted: bool,
    ) -> None:
        loads = self._board.loads
        last_event = run.last_event or context.request.last_event
        request = self._codec.decode(
            context.request,
            worker,
            context.left_s,
            source=source,
            last_event=last_event,
        )
        context.tries.append(worker.id)
        loads.record_sent(worker)
        call: upstream_call.Call | None = None
        run.begin(self._board.now())
        try:
            with context.sends.send():
                call = await self._calls.send(
                    worker,
                    request,
                    reserved=connection,
                    is_permitted=is_permitted,
                    send_by=context.deadline,
                )
                head = await call.head(max(0.0, context.left_s))
            info = self._codec.read_head(head)
            if info.is_misdirected:
                self._pool.close_idle(worker.address)
                raise errors.MisdirectedError(
                    f"another server has the address {worker.address}"
                )
            if not info.has_run:
                run.load = info.load
                raise errors.RejectedError(
                    f"rejected with status {head.status}"
                )
            run.is_source_used = source is not None
            run.cache_worker = source.server.id if source else ""
            await self._relay(context, run, worker, call, head, info)
            loads.record_success(worker)
        finally:
            loads.record_ended(worker)
            if call is not None:
                call.abort()

    async def _relay(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        call: upstream_call.Call,
        head: http_message.ResponseHead,
        info: caller_request.ResponseInfo,
    ) -> None:
        is_resumed = context.incoming.is_started
        if is_resumed:
            _check_resumption(run, head)
        elif head.status >= 300:
            body = await call.body(context.left_s, MAX_ERROR_BYTES)
            context.answer(head, body)
            return
        if not info.is_genuine:
            raise errors.MalformedAnswerError(
                f"answer with status {head.status} has no valid signature"
            )
        if not is_resumed:
            run.content_type = _content_type(head)
            context.start(head)
        await self._relay_events(
            context, run, worker, call, is_resumed=is_resumed
        )
        self._end_complete(context, run, head)

    async def _relay_events(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        call: upstream_call.Call,
        *,
        is_resumed: bool,
    ) -> None:
        """Forward the events of a run as they arrive, up to its end.

        Raises:
          errors.ResumptionError: They aren't the rest of a stream that was
            resumed.
          errors.TransportError: The run broke off.
        """
        incoming = context.incoming
        splitter = event_stream.EventSplitter()
        while data := await call.chunk(max(0.0, context.left_s)):
            complete = splitter.feed(data)
            if not complete:
                continue
            if is_resumed and run.events:
                splitter.check_continues(complete, run.last_event)
            had_begun = run.run_events >= BEGUN_EVENTS
            if not run.run_events:
                self._record_begin(context, run, worker)
            run.record_events(self._board.now(), splitter.count(complete))
            run.last_event = splitter.last_id or run.last_event
            if run.run_events >= BEGUN_EVENTS and not had_begun:
                context.record_begun(self._crashes)
            self._board.loads.record_heard(self._board.now(), worker)
            incoming.write(complete)
            await incoming.drained(max(0.0, context.left_s))
        if splitter.rest:
            raise errors.TransportError("the stream ended within an event")
        if is_resumed and not run.run_events:
            # Nothing shows that the event forwarded last was the last one.
            raise errors.ResumptionError("the answer has no event")

    def _end_complete(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        head: http_message.ResponseHead,
    ) -> None:
        """End an answer whose last event was forwarded."""
        incoming = context.incoming
        run.ended_at = self._board.now()
        run.is_complete = True
        if run.run_events < BEGUN_EVENTS:
            context.record_begun(self._crashes)
        self._crashes.record_success(context.content)
        incoming.finish()
        self._board.metrics.record_stream(
            run.granted_at - incoming.arrived,
            run.first_event_at - incoming.arrived,
        )
        context.record_answer(
            head.status,
            events=run.events,
            prompt_tokens=context.request.prompt_tokens,
            waited_ms=_ms(context.waited_s),
            slot_ms=_ms(run.granted_at - incoming.arrived),
            prefill=run.prefill_worker,
            prefill_ms=_ms(run.prefill_s),
            first_ms=_ms(run.first_event_at - incoming.arrived),
            longest_gap_ms=_ms(run.longest_gap_s),
        )

    def _record_begin(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
    ) -> None:
        """Record that the first events of a run are about to be forwarded."""
        request = context.request
        is_first = not run.events and not request.last_event
        if is_first and worker.version:
            run.version = worker.version
        if is_first and worker.version and context.route.is_resumable:
            origin = stream_origins.Origin(
                request.id, context.service, worker.version
            )
            self._registry.record(_origin_digest(request), origin)
        last_event = run.last_event or context.request.last_event
        context.log(
            "stream_begun",
            decode=worker.id,
            software=worker.version,
            after=last_event.decode("latin-1"),
        )

    def _record_unreachable(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        exc: Exception,
    ) -> None:
        context.record_failure_event(
            "decode_unreachable", decode=worker.id, why=str(exc)
        )
        self._board.loads.record_unreachable(self._board.now(), worker)
        self._report_unreachable(context, run, worker)
        run.avoid.append(worker.id)

    def _report_unreachable(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
    ) -> None:
        self._slots.report(
            context.service, run.exchange, "lost", worker=worker.id
        )

    def _give_up(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        reason: str,
        retry_after_s: float,
    ) -> None:
        """End a request that isn't run again."""
        if run.runs:
            context.fail(
                errors.Failure(502, "run_lost", "the run broke", "maybe_run")
            )
        else:
            context.refuse(reason, retry_after_s)


def _check_resumption(
    run: stream_run.StreamRun, head: http_message.ResponseHead
) -> None:
    """Check that the rest of a stream may follow a head.

    Raises:
      errors.ResumptionError: It may not.
    """
    if head.status != 200:
        raise errors.ResumptionError(
            f"status {head.status} for a stream in progress, expected 200"
        )
    content_type = _content_type(head)
    if content_type != run.content_type:
        raise errors.ResumptionError(
            f"content type {content_type!r} after {run.content_type!r}"
        )


def _content_type(head: http_message.ResponseHead) -> bytes:
    """Return the content type of an answer without its parameters."""
    stated = head.get(b"content-type") or b""
    return stated.partition(b";")[0].strip().lower()


def _origin_digest(request: caller_request.CallerRequest) -> bytes:
    """Return a digest by which hosts know the request of a stream again."""
    return request.content_digest()[:DIGEST_BYTES]


def _content_digest(request: caller_request.CallerRequest) -> str:
    """Return a digest that is equal for all attempts of a caller.

    Returns:
      The digest in hex; "" if the caller states no parts of its prompt.
    """
    if not request.prompt_parts:
        return ""
    digest = hashlib.blake2b(
        b",".join(request.prompt_parts), digest_size=DIGEST_BYTES
    )
    digest.update(b"%d,%d" % (request.prompt_tokens, request.max_tokens))
    digest.update(request.head.target)
    return digest.hexdigest()


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
