"""Runs streams: a place at a server, the run there, and its failures."""

from collections.abc import Callable

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import request_context
from nutmegscale import retry_share
from nutmegscale import routing_board
from nutmegscale import server_calls
from nutmegscale import server_choice
from nutmegscale import stream_places
from nutmegscale import stream_registry
from nutmegscale import stream_relay
from nutmegscale import stream_run
from nutmegscale import upstream
from nutmegscale import upstream_call
from nutmegscale import waiting_calls

# Places that one request may be given in turn.
MAX_OFFERS = 4
# Runs in a row that a server breaks off until it isn't used for a while.
MAX_BROKEN_IN_A_ROW = 3
# Retry-After of a request for which the retry budget allowed no further run,
# seconds.
NO_BUDGET_RETRY_AFTER_S = 1.0
# Retry-After of a caller that takes up a stream of which no host knows where it
# began, seconds. A host that has just started may know it after that time.
UNKNOWN_RETRY_AFTER_S = 0.5
# Retry-After of a request that was given `MAX_OFFERS` places and ran in none:
# each server rejected it, left or was unreachable; seconds.
REJECTED_RETRY_AFTER_S = 1.0


_NOT_SENT_EVENTS = {
    errors.BackendLeftError: "decode_left",
    errors.LimitedError: "decode_limited",
    errors.ServerPausedError: "decode_paused",
    errors.TooLateError: "decode_too_late",
}


class StreamRunner:
    """Runs streams at the places that their service offers."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        calls: server_calls.ServerCalls,
        codec: caller_request.ServerCodec,
        crashes: crash_watch.CrashWatch,
        registry: stream_registry.StreamRegistry,
        waiting: waiting_calls.WaitingCalls,
        *,
        places_of: Callable[[str], stream_places.StreamPlaces],
        retries_of: Callable[[str], retry_share.RetryShare],
    ) -> None:
        """Create the runner.

        Args:
          board: State of this host.
          pool: Connections to servers.
          calls: Sends requests to servers.
          codec: Codec of these requests.
          crashes: Content that crashes servers.
          registry: Where resumable streams began.
          waiting: Calls that another host can serve if this one is cut off.
          places_of: Returns what finds places for the streams of a service.
          retries_of: Returns the share of the retry budget of a service.
        """
        self._board = board
        self._pool = pool
        self._calls = calls
        self._codec = codec
        self._crashes = crashes
        self._registry = registry
        self._waiting = waiting
        self._places_of = places_of
        self._retries_of = retries_of
        self._relay = stream_relay.StreamRelay(board, crashes, registry)

    async def run(self, context: request_context.RequestContext) -> None:
        """Run a stream until it is answered, refused or failed.

        Raises:
          errors.UnreachedError: This host is cut off from the servers; the
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
        places = self._places_of(context.service)
        for _ in range(MAX_OFFERS):
            place = await places.find(context, run)
            if isinstance(place, server_choice.NoServer):
                self._give_up(context, run, place.reason, place.retry_after_s)
                return
            try:
                if await self._run_at(context, run, place):
                    return
            finally:
                place.release()
            if not run.may_run_again(context.route):
                return
            if self._board.is_cut_off and not (run.runs or context.tries):
                raise errors.UnreachedError("cut off from the servers")
            if await self._is_quarantined(context, run):
                break
        refused_for_s = self._crashes.refused_for_s(context.content)
        if refused_for_s:
            self._give_up(context, run, "quarantined", refused_for_s)
            return
        if run.unreached == MAX_OFFERS:
            raise errors.UnreachedError(f"no connection to {run.avoid}")
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
            stream_relay.origin_digest(request), request.resumes, targets
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

    async def _run_at(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        place: stream_places.Place,
    ) -> bool:
        """Run a stream at a place.

        Returns:
          Whether the request has ended; False if it may be offered to another
          server.
        """
        run.granted_at = self._board.now()
        server = place.server
        if server is None or server.is_draining:
            run.avoid.append(place.server_id)
            context.record_failure_event(
                "grant_outdated", decode=place.server_id
            )
            return False
        if run.version not in ("", server.version):
            run.avoid.append(server.id)
            context.record_failure_event(
                "grant_of_other_version",
                decode=server.id,
                software=server.version,
                expected=run.version,
            )
            return False
        if not context.sends.reserve():
            self._give_up(
                context, run, "retry_budget_spent", NO_BUDGET_RETRY_AFTER_S
            )
            return True
        source = place.reuse_source()
        try:
            # Connect to the server of the run first: if it is unreachable, a
            # prefill elsewhere would be wasted.
            connection = await self._pool.reserve(
                server.address, request_id=context.request.id.encode("latin-1")
            )
            try:
                if source is None:
                    source = await place.prefill()
                self._check_not_quarantined(context, run)
                self._check_not_draining(server)
                await self._send(
                    context, run, place, server, source, connection
                )
            finally:
                connection.release()
            return True
        except errors.NutmegscaleError as exc:
            return await self._handle_failure(
                context, run, place, server, exc, source=source
            )
        finally:
            place.keep_source(source)

    async def _handle_failure(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        place: stream_places.Place,
        server: backend.Backend,
        exc: errors.NutmegscaleError,
        *,
        source: caller_request.KvHandle | None,
    ) -> bool:
        """Handle a place that led to no complete answer.

        Returns:
          Whether the request has ended; False if it may be offered to another
          server.
        """
        match exc:
            case errors.PrefillFailedError():
                # The planner knows a better worker than a local prefill beside
                # the runs of the decode worker, which it would delay.
                pass
            case errors.QuarantinedError():
                context.record_failure_event(
                    "quarantined_meanwhile", decode=server.id, why=str(exc)
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
                    decode=server.id,
                    why=str(exc),
                )
                run.record_rejection(
                    self._board.now(), server.id, had_source=False
                )
            case errors.RejectedError():
                context.record_failure_event(
                    "decode_rejected", decode=server.id, why=str(exc)
                )
                place.record_rejection(source=source)
            case errors.ConnectError():
                self._record_unreachable(context, run, place, server, exc)
            case errors.CutOffError():
                return self._leave_to_other_host(context, server, exc)
            case errors.ServerFailedError():
                run.runs += 1
                run.avoid.append(server.id)
                context.record_failure_event(
                    "server_failed", server=server.id, why=str(exc)
                )
            case errors.ResumptionError():
                return self._handle_other_answer(context, run, server, exc)
            case errors.TransportError():
                return await self._handle_broken_run(
                    context, run, place, server, exc
                )
            case _:
                raise exc
        return False

    def _leave_to_other_host(
        self,
        context: request_context.RequestContext,
        server: backend.Backend,
        exc: errors.CutOffError,
    ) -> bool:
        """Handle a run whose server this host was cut off from.

        Returns:
          True: the request has ended, since its retries are spent.

        Raises:
          errors.UnreachedError: Another host may serve the request.
        """
        context.may_have_run = True
        if context.sends.record_offer():
            raise errors.UnreachedError(str(exc)) from exc
        context.fail(
            errors.Failure(504, "timeout", "cut off", "maybe_run"),
            decode=server.id,
        )
        return True

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

    async def _handle_broken_run(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        place: stream_places.Place,
        server: backend.Backend,
        exc: Exception,
    ) -> bool:
        """Handle a run that ended early.

        Returns:
          Whether the request has ended; False if it may be resumed on another
          server.
        """
        run.runs += 1
        is_timeout = isinstance(exc, errors.ResponseTimeoutError)
        context.record_failure_event(
            "stream_broke",
            decode=server.id,
            error=type(exc).__name__,
            why=str(exc),
            last_event=run.last_event.decode("latin-1"),
            run_events=run.run_events,
            parts=context.part_names,
        )
        if not is_timeout:
            run.disconnects += 1
            self._board.loads.record_failure(self._board.now(), server)
            is_working = self._is_working(run, server)
            self._crashes.record_disconnect(
                context.content(),
                server,
                run.began_at,
                has_begun=run.run_events >= stream_relay.BEGUN_EVENTS,
                on_down=place.record_lost if is_working else lambda: None,
            )
            if not is_working:
                place.record_lost()
        if run.may_run_again(context.route) and not is_timeout:
            run.avoid.append(server.id)
            return False
        # The checks are awaited so that all hosts know their result when the
        # caller sends the request again.
        await self._is_quarantined(context, run)
        status, kind = (504, "timeout") if is_timeout else (502, "server_broke")
        context.fail(
            errors.Failure(status, kind, "the run broke off", "maybe_run"),
            decode=server.id,
        )
        return True

    def _is_working(
        self, run: stream_run.StreamRun, server: backend.Backend
    ) -> bool:
        """Whether a server that broke off a run seems to serve others.

        Unless it is found down, its other runs continue, and it gets further
        ones.
        """
        failures = self._board.loads.failures(server)
        return run.run_events > 0 and failures < MAX_BROKEN_IN_A_ROW

    async def _send(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        place: stream_places.Place,
        server: backend.Backend,
        source: caller_request.KvHandle | None,
        connection: upstream.ReservedConnection,
    ) -> None:
        """Send a run to its server, and pass its answer on."""
        loads = self._board.loads
        request = self._codec.decode(
            context.request,
            server,
            context.left_s,
            source=source,
            last_event=run.last_event or context.request.last_event,
        )
        context.tries.append(server.id)
        loads.record_sent(server)
        call: upstream_call.Call | None = None
        run.begin(self._board.now())
        try:
            with context.sends.send():
                call = await self._calls.send(
                    server,
                    request,
                    reserved=connection,
                    is_permitted=place.is_permitted,
                    send_by=context.deadline,
                )
                head = await self._wait_for_head(context, server, call)
            info = self._codec.read_head(head)
            self._calls.record_load(server, info, is_running=True)
            self._check_has_run(run, server, head, info)
            if head.status >= 500 and self._may_try_another(
                context, run, place
            ):
                run.failed_answer = await self._relay.read_failure(
                    context, call, head
                )
                raise errors.ServerFailedError(f"status {head.status}")
            run.is_source_used = source is not None
            run.cache_worker = source.server.id if source else ""
            await self._relay.relay(context, run, server, call, head, info)
            loads.record_success(server)
        finally:
            loads.record_ended(server)
            if call is not None:
                call.abort()

    async def _wait_for_head(
        self,
        context: request_context.RequestContext,
        server: backend.Backend,
        call: upstream_call.Call,
    ) -> http_message.ResponseHead:
        """Wait for the head of an answer, unless another host can serve it.

        Raises:
          errors.CutOffError: This host was cut off from the server, and the
            stream may run once more.
          errors.TransportError: The answer has no head.
        """
        is_started = context.incoming.is_started
        if context.route.is_resumable and not (
            is_started or context.is_relayed
        ):
            self._waiting.add(call, server)
        try:
            return await call.head(max(0.0, context.left_s))
        finally:
            self._waiting.discard(call)

    def _check_has_run(
        self,
        run: stream_run.StreamRun,
        server: backend.Backend,
        head: http_message.ResponseHead,
        info: caller_request.ResponseInfo,
    ) -> None:
        """Check that a server has run a request.

        Raises:
          errors.RejectedError: It states that it hasn't.
        """
        if info.is_misdirected:
            self._pool.close_idle(server.address)
            if not server.stage:
                # An engine answers the same once its stage has changed.
                self._crashes.record_replaced(server)
            raise errors.MisdirectedError(
                f"another server has the address {server.address}"
            )
        if not info.has_run:
            run.load = info.load
            raise errors.RejectedError(f"rejected with status {head.status}")

    def _may_try_another(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        place: stream_places.Place,
    ) -> bool:
        """Whether a stream whose server failed may run on another one now."""
        route = context.route
        return (
            not context.incoming.is_started
            and route.is_resumable
            and run.runs + 1 < route.max_attempts
            and place.has_other()
        )

    def _record_unreachable(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        place: stream_places.Place,
        server: backend.Backend,
        exc: Exception,
    ) -> None:
        context.record_failure_event(
            "decode_unreachable", decode=server.id, why=str(exc)
        )
        self._board.loads.record_unreachable(self._board.now(), server)
        place.record_lost()
        run.avoid.append(server.id)
        run.unreached += 1

    def _give_up(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        reason: str,
        retry_after_s: float,
    ) -> None:
        """End a request that isn't run again."""
        if run.failed_answer is not None and not context.incoming.is_started:
            context.answer(*run.failed_answer)
        elif run.runs:
            context.fail(
                errors.Failure(502, "run_lost", "the run broke", "maybe_run")
            )
        else:
            context.refuse(reason, retry_after_s)
