"""Prefills the prompts of streams on prefill workers."""

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import request_context
from nutmegscale import routing_board
from nutmegscale import server_calls
from nutmegscale import slot_controller
from nutmegscale import stream_run
from nutmegscale import upstream
from nutmegscale import upstream_call

# Timeout of a prefill = the planner's forecast * factor + margin, but at most
# the time left. A slow worker takes 1.3 times the forecast; the margin covers a
# pause of the worker.
TIMEOUT_FACTOR = 3.0
TIMEOUT_MARGIN_S = 0.4
FREE_TIMEOUT_S = 1.0
# How long after its prefill a KV cache is offered to decode workers, seconds:
# engines keep it for 0.5 s, and reaching the worker takes part of it.
HANDLE_REUSE_S = 0.35
# Longest answer of a prefill or of a call that frees a KV cache, bytes.
MAX_HANDLE_BYTES = 65_536


class PrefillRunner:
    """Lets prefill workers prefill prompts, and frees unused KV caches."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        calls: server_calls.ServerCalls,
        codec: caller_request.ServerCodec,
        slots: slot_controller.SlotController,
        crashes: crash_watch.CrashWatch,
    ) -> None:
        self._board = board
        self._pool = pool
        self._calls = calls
        self._codec = codec
        self._slots = slots
        self._crashes = crashes

    async def prefill(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        *,
        forecast_s: float,
        is_permitted: bool,
    ) -> caller_request.KvHandle:
        """Prefill a prompt, and report the end to the planner.

        Args:
          context: The request.
          run: State of its stream.
          worker: Prefill worker.
          forecast_s: Time that the planner expects it to take, seconds.
          is_permitted: Whether the planner has used a permit of a worker that
            states a limit.

        Returns:
          The KV cache.

        Raises:
          errors.PrefillFailedError: The worker gave none.
        """
        run.source_rejections = 0
        began = self._board.now()
        took_s = 0.0
        loads = self._board.loads
        loads.record_sent(worker)
        try:
            handle = await self._request(
                context,
                worker,
                TIMEOUT_MARGIN_S + TIMEOUT_FACTOR * forecast_s,
                is_permitted=is_permitted,
            )
            took_s = self._board.now() - began
            loads.record_success(worker)
            run.prefill_worker, run.prefill_s = worker.id, took_s
            run.handle_expires_at = self._board.now() + HANDLE_REUSE_S
            return handle
        except errors.NotSentError as exc:
            is_limited = isinstance(exc, errors.LimitedError)
            context.record_failure_event(
                "prefill_limited" if is_limited else "prefill_unwanted",
                prefill=worker.id,
                why=str(exc),
            )
            raise errors.PrefillFailedError(str(exc)) from exc
        except (errors.TransportError, errors.RejectedError) as exc:
            self._record_failure(context, run, worker, exc)
            if crash_watch.is_disconnect(exc):
                run.disconnects += 1
                self._crashes.record_disconnect(
                    context.content(), worker, began
                )
            raise errors.PrefillFailedError(str(exc)) from exc
        finally:
            loads.record_ended(worker)
            self._slots.report(
                context.service,
                run.exchange,
                "prefilled",
                worker=worker.id,
                took_s=took_s,
            )

    async def _request(
        self,
        context: request_context.RequestContext,
        worker: backend.Backend,
        timeout_s: float,
        *,
        is_permitted: bool,
    ) -> caller_request.KvHandle:
        request = self._codec.prefill(context.request, worker, context.left_s)
        timeout_s = min(timeout_s, max(0.0, context.left_s))
        call: upstream_call.Call | None = None
        try:
            with context.sends.send() as send:
                call = await self._calls.send(
                    worker,
                    request,
                    is_permitted=is_permitted,
                    send_by=context.deadline,
                )
                head = await call.head(timeout_s)
                if head.status == 200:
                    send.accept_prefill()
            body = await call.body(timeout_s, MAX_HANDLE_BYTES)
        finally:
            if call is not None:
                call.abort()
        if self._codec.read_head(head).is_misdirected:
            self._pool.close_idle(worker.address)
        if head.status != 200:
            raise errors.RejectedError(
                f"prefill ended with status {head.status}, not 200"
            )
        return caller_request.KvHandle(worker, self._codec.read_handle(body))

    def _record_failure(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        exc: Exception,
    ) -> None:
        context.record_failure_event(
            "prefill_failed",
            prefill=worker.id,
            error=type(exc).__name__,
            why=str(exc),
            parts=context.part_names,
        )
        if isinstance(exc, errors.ConnectError):
            self._board.loads.record_unreachable(self._board.now(), worker)
        self._slots.report(
            context.service, run.exchange, "lost", worker=worker.id
        )

    async def free(self, handle: caller_request.KvHandle) -> None:
        """Ask a server to free a KV cache that no run used."""
        call: upstream_call.Call | None = None
        try:
            call = await self._calls.send(
                handle.server, self._codec.free(handle)
            )
            await call.body(FREE_TIMEOUT_S, MAX_HANDLE_BYTES)
        except (errors.NotSentError, errors.TransportError) as exc:
            # A server that may not be asked frees it by itself soon.
            logs.get().info(
                "handle_not_freed", server=handle.server.id, why=str(exc)
            )
        finally:
            if call is not None:
                call.abort()
