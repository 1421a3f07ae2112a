"""Runs calls of plain services, with a retry elsewhere where that is safe."""

import random

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import limit_controller
from nutmegscale import request_context
from nutmegscale import routing_board
from nutmegscale import server_calls
from nutmegscale import upstream
from nutmegscale import upstream_call

# Longest answer of a plain service, bytes. Answers are buffered completely
# before they are passed on, so that a call can be retried if one is cut short.
MAX_BODY_BYTES = 4 << 20
# Servers that one request may be offered to.
MAX_OFFERS = 3
# With less time left, no server is tried, seconds.
MIN_TIME_LEFT_S = 0.01
# Silence of a server from which on this host doesn't wait for it once it is cut
# off: connections may live on while new ones are refused, seconds.
MIN_SILENCE_S = 0.3
# Retry-After of a call that ran on no server, seconds.
REJECTED_RETRY_AFTER_S = 0.3


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
        limits: limit_controller.LimitController,
        *,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._pool = pool
        self._calls = calls
        self._codec = codec
        self._crashes = crashes
        self._limits = limits
        self._rng = rng
        # Calls that may run twice and whose answer hasn't begun.
        self._waiting: dict[upstream_call.Call, backend.Backend] = {}

    def abandon_unanswered(self) -> None:
        """Stop waiting for servers that this host is cut off from.

        Calls that may run twice go to other hosts instead. Those on connections
        that still deliver answers, and those that must not run twice, wait on.
        """
        now, loads = self._board.now(), self._board.loads
        for call, server in list(self._waiting.items()):
            silent_s = loads.silent_s(now, server)
            if silent_s is not None and silent_s >= MIN_SILENCE_S:
                call.failed(errors.CutOffError(f"cut off from {server.id}"))

    async def run(self, context: request_context.RequestContext) -> None:
        """Run a call until it is answered, refused or failed.

        Raises:
          errors.UnreachedError: No server took a connection, or this host was
            cut off from the one that runs it; the call isn't answered.
        """
        attempt = _Attempt()
        for offer in range(MAX_OFFERS):
            server = await self._choose_with_permit(context)
            if server is None or context.left_s < MIN_TIME_LEFT_S:
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
                and self._choose(context) is not None
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

    async def _choose_with_permit(
        self, context: request_context.RequestContext
    ) -> backend.Backend | None:
        """Choose a server, once permits for limited ones were asked for."""
        if self._board.notices.limits:
            await self._limits.prepare(
                self._board.wanted_servers(context.service),
                priority=context.route.priority,
            )
        return self._choose(context)

    def _limited_servers(
        self, context: request_context.RequestContext
    ) -> tuple[backend.Backend, ...]:
        """Return the servers that only their limits keep from being chosen."""
        loads, now = self._board.loads, self._board.now()
        return tuple(
            server
            for server in self._board.wanted_servers(context.service)
            if server.id not in context.tries
            and not self._limits.may_call(server, context.route.priority)
            and not loads.is_paused(now, server)
        )

    def _choose(
        self, context: request_context.RequestContext
    ) -> backend.Backend | None:
        loads, now = self._board.loads, self._board.now()
        servers = self._board.wanted_servers(context.service)
        if self._board.notices.limits:
            rank = context.route.priority
            servers = tuple(
                s for s in servers if self._limits.may_call(s, rank)
            )
        healthy = {
            server.id: server
            for server in servers
            if server.id not in context.tries
            and not loads.is_paused(now, server)
        }
        apart = self._crashes.server_apart(context.content, healthy)
        if apart is not None:
            return healthy[apart]
        return loads.choose(
            now,
            servers,
            self._board.failure_domain,
            avoid=frozenset(context.tries),
            # A permit is lost if it isn't used soon.
            preferred=frozenset(
                server.id for server in servers if self._limits.permits(server)
            ),
        )

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
        call: upstream_call.Call | None = None
        try:
            with context.sends.send():
                call = await self._calls.send(
                    server, request, send_by=context.deadline
                )
                if context.route.is_idempotent and not context.is_relayed:
                    self._waiting[call] = server
                head = await call.head(context.left_s)
            info = self._codec.read_head(head)
            loads.record_load(self._board.now(), server, info.load)
            body = await call.body(context.left_s, MAX_BODY_BYTES)
            if info.is_misdirected:
                self._pool.close_idle(server.address)
                self._crashes.record_replaced(server)
                raise errors.MisdirectedError(
                    f"another server has the address {server.address}"
                )
            if not info.has_run:
                raise errors.RejectedError(
                    f"rejected with status {head.status}"
                )
            if head.status < 300 and not info.is_genuine:
                raise errors.MalformedAnswerError(
                    f"answer with status {head.status} has no valid signature"
                )
            loads.record_success(server)
        except errors.ResponseTimeoutError:
            raise
        except errors.ConnectError:
            loads.record_unreachable(self._board.now(), server)
            raise
        except errors.TransportError:
            loads.record_failure(self._board.now(), server)
            raise
        finally:
            loads.record_ended(server)
            if call is not None:
                self._waiting.pop(call, None)
                call.abort()
        return head, body

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
        elif context.left_s < MIN_TIME_LEFT_S:
            # No server ran it, so the caller may safely retry, even a call
            # that must not run twice.
            context.refuse("too_little_time", REJECTED_RETRY_AFTER_S)
        elif limited := self._limited_servers(context):
            retry_after_s = self._limits.refuse(
                context.service, limited, priority=context.route.priority
            )
            context.refuse("limited", retry_after_s)
        elif paused_s := self._board.paused_for_s(
            context.service, priority=context.route.priority, rng=self._rng
        ):
            context.refuse("paused", paused_s)
        else:
            context.refuse("no_server", REJECTED_RETRY_AFTER_S)
