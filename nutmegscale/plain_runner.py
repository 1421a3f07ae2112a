"""Runs calls of plain services, with a retry elsewhere where that is safe."""

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import request_context
from nutmegscale import routing_board
from nutmegscale import server_calls
from nutmegscale import server_choice
from nutmegscale import upstream
from nutmegscale import upstream_call
from nutmegscale import waiting_calls

# Longest answer of a plain service, bytes. Answers are buffered completely
# before they are passed on, so that a call can be retried if one is cut short.
MAX_BODY_BYTES = 4 << 20
# Servers that one request may be offered to.
MAX_OFFERS = 3


class _Attempt:
    """Offers of one attempt of a caller.

    Attributes:
      runs: Runs that a server began.
      unreached: Offers for which no connection could be made.
      disconnects: Runs whose server broke the connection.
      began_at: When the last offer began, seconds of the host's clock.
      failed_answer: Complete answer of a server that failed, which the caller
        gets if no other server can be tried.
    """

    def __init__(self) -> None:
        self.runs = 0
        self.unreached = 0
        self.disconnects = 0
        self.began_at = 0.0
        self.failed_answer: tuple[http_message.ResponseHead, bytes] | None = (
            None
        )


class PlainRunner:
    """Runs calls of plain services."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        calls: server_calls.ServerCalls,
        codec: caller_request.ServerCodec,
        crashes: crash_watch.CrashWatch,
        servers: server_choice.ServerChoice,
        waiting: waiting_calls.WaitingCalls,
    ) -> None:
        self._board = board
        self._pool = pool
        self._calls = calls
        self._codec = codec
        self._crashes = crashes
        self._servers = servers
        self._waiting = waiting

    async def run(self, context: request_context.RequestContext) -> None:
        """Run a call until it is answered, refused or failed.

        Raises:
          errors.UnreachedError: No server took a connection, or this host was
            cut off from the one that runs it; the call isn't answered.
        """
        attempt = _Attempt()
        for offer in range(MAX_OFFERS):
            server = await self._servers.choose_with_permit(context)
            if server is None or context.left_s < server_choice.MIN_TIME_LEFT_S:
                break
            if not context.sends.reserve():
                break
            context.tries.append(server.id)
            attempt.began_at = self._board.now()
            try:
                head, body = await self._offer(context, server)
            except (
                errors.ConnectError,
                errors.NotSentError,
                errors.RejectedError,
            ) as exc:
                context.record_failure_event(
                    "server_rejected", server=server.id, why=str(exc)
                )
                attempt.unreached += isinstance(exc, errors.ConnectError)
                continue
            except errors.CutOffError as exc:
                context.may_have_run = True
                if not context.sends.record_offer():
                    self._fail_after_error(context, exc)
                    return
                raise errors.UnreachedError(str(exc)) from exc
            except errors.TransportError as exc:
                if await self._may_run_again(context, attempt, server, exc):
                    continue
                self._fail_after_error(context, exc)
                return
            attempt.runs += 1
            if (
                head.status >= 500
                and offer + 1 < MAX_OFFERS
                and self._may_retry(context, attempt)
                and self._servers.choose(context) is not None
                and context.sends.reserve()
            ):
                context.record_failure_event(
                    "server_failed", server=server.id, status=head.status
                )
                attempt.failed_answer = head, body
                continue
            context.record_begun(self._crashes)
            self._crashes.record_success(context.content)
            context.answer(head, body)
            return
        if attempt.unreached and attempt.unreached == len(context.tries):
            raise errors.UnreachedError(
                f"no connection to {', '.join(context.tries)}"
            )
        self._end_without_answer(context, attempt)

    async def _may_run_again(
        self,
        context: request_context.RequestContext,
        attempt: _Attempt,
        server: backend.Backend,
        exc: errors.TransportError,
    ) -> bool:
        """Record a run without a complete answer.

        Returns:
          Whether the call may run on another server.
        """
        attempt.runs += 1
        context.record_failure_event(
            "server_failed",
            server=server.id,
            error=type(exc).__name__,
            why=str(exc),
        )
        if crash_watch.is_disconnect(exc):
            attempt.disconnects += 1
            self._crashes.record_disconnect(
                context.content(), server, attempt.began_at
            )
            if self._may_retry(context, attempt):
                await self._crashes.wait_for_first_check(
                    context.content(), limit_s=context.left_s
                )
            if await self._crashes.is_quarantined_after_checks(
                context.content(),
                disconnects=attempt.disconnects,
                limit_s=context.left_s,
            ):
                return False
        return self._may_retry(context, attempt)

    def _may_retry(
        self, context: request_context.RequestContext, attempt: _Attempt
    ) -> bool:
        route = context.route
        return route.is_idempotent and attempt.runs < route.max_attempts

    async def _offer(
        self, context: request_context.RequestContext, server: backend.Backend
    ) -> tuple[http_message.ResponseHead, bytes]:
        loads = self._board.loads
        request = self._codec.plain(context.request, server, context.left_s)
        loads.record_sent(server)
        sent_at = self._board.now()
        call: upstream_call.Call | None = None
        try:
            with context.sends.send():
                call = await self._calls.send(
                    server, request, send_by=context.deadline
                )
                if context.route.is_idempotent and not context.is_relayed:
                    self._waiting.add(call, server)
                head = await call.head(context.left_s)
            info = self._codec.read_head(head)
            self._calls.record_load(server, info)
            body = await call.body(context.left_s, MAX_BODY_BYTES)
            if info.is_misdirected:
                self._pool.close_idle(server.address)
                self._crashes.record_replaced(server)
                raise errors.MisdirectedError(
                    f"another server has the address {server.address}"
                )
            if not info.has_run:
                if info.load is not None:
                    self._board.estimates.record_rejection(
                        self._board.now(), server.key, info.load
                    )
                raise errors.RejectedError(
                    f"rejected with status {head.status}"
                )
            if head.status < 300 and not info.is_genuine:
                raise errors.MalformedAnswerError(
                    f"answer with status {head.status} has no valid signature"
                )
            loads.record_success(server)
            self._record_outcome(server, head.status, sent_at)
        except errors.ResponseTimeoutError:
            raise
        except errors.ConnectError:
            loads.record_unreachable(self._board.now(), server)
            raise
        except errors.TransportError:
            loads.record_failure(self._board.now(), server)
            self._board.estimates.record_failure(self._board.now(), server.key)
            raise
        finally:
            loads.record_ended(server)
            self._servers.wake(server.service)
            if call is not None:
                self._waiting.discard(call)
                call.abort()
        return head, body

    def _record_outcome(
        self, server: backend.Backend, status: int, sent_at: float
    ) -> None:
        """Record what an answer tells of its server's speed.

        A server that fails quickly isn't a fast one, and what a call costs that
        is refused for its content says nothing.
        """
        now, known = self._board.now(), self._board.estimates
        if status >= 500:
            known.record_failure(now, server.key)
        elif status < 400:
            known.record_time(now, server.key, server.service, now - sent_at)

    def _fail_after_error(
        self, context: request_context.RequestContext, exc: Exception
    ) -> None:
        is_timeout = isinstance(exc, errors.ResponseTimeoutError)
        status, kind = (504, "timeout") if is_timeout else (502, "server_broke")
        context.fail(
            errors.Failure(status, kind, "the server broke off", "maybe_run")
        )

    def _end_without_answer(
        self, context: request_context.RequestContext, attempt: _Attempt
    ) -> None:
        if attempt.failed_answer is not None:
            context.answer(*attempt.failed_answer)
        elif attempt.runs:
            context.fail(
                errors.Failure(502, "no_other_server", "failed", "maybe_run")
            )
        else:
            why = self._servers.explain(context)
            context.refuse(why.reason, why.retry_after_s)
