"""Controller of model requests: admission, repeats, handover and cancel."""

from collections.abc import Callable
from typing import NamedTuple
import uuid

from twisted.internet import defer

from nutmegscale import answer_cache
from nutmegscale import blackboard
from nutmegscale import cancel_controller
from nutmegscale import config
from nutmegscale import engine
from nutmegscale import errors
from nutmegscale import exchange
from nutmegscale import exchange_runner
from nutmegscale import home_controller
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import planner_controller
from nutmegscale import prompts
from nutmegscale import quarantine
from nutmegscale import shared_quarantine

# Claims of one request before it fails as in progress.
CLAIM_TRIES = 6
CLAIM_POLL_S = 0.05
HANDOVER_TIMEOUT_S = 3.0
MAX_UNANSWERED_HANDOVERS = 2
# How long this host still reports a run that it handed over as served.
HANDED_OVER_RUN_TTL_S = 120.0
NOT_READY_RETRY_AFTER_S = 2.0
DRAINING_RETRY_AFTER_S = 0.2


class _LiveExchange(NamedTuple):
    """An exchange that runs on this host, and its coroutine."""

    exchange: exchange.Exchange
    running: defer.Deferred[None]


class ExchangeController:
    """Serves the model requests that callers send to this host."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        link: mesh.Mesh,
        engines: Callable[[str], engine.Engine],
        homes: home_controller.HomeController,
        cancels: cancel_controller.CancelController,
        suspects: shared_quarantine.SharedQuarantine,
    ) -> None:
        self._board = board
        self._mesh = link
        self._homes = homes
        self._suspects = suspects
        self._live: dict[str, _LiveExchange] = {}
        self._answers = answer_cache.AnswerCache()
        self._last_attempt = 0
        self._claiming: set[str] = set()
        self.planning = planner_controller.PlannerController(
            board, link, engines, cancels, homes, is_live=self._is_live
        )
        self._runner = exchange_runner.ExchangeRunner(
            board,
            engines,
            self.planning,
            cancels,
            on_crash=self._record_crash,
            on_cleared=lambda served: suspects.clear((served.fingerprint,)),
            confirm=self._confirm,
        )
        link.on(messages.HandoverRequest, self._receive_handover)

    @property
    def live_count(self) -> int:
        """Number of exchanges that run on this host."""
        return len(self._live)

    def _is_live(self, run_id: str) -> bool:
        return self._runner.is_live(run_id)

    async def serve(
        self, request: exchange.ModelRequest, sink: exchange.Sink
    ) -> None:
        """Serve a request and deliver its answer or failure to the sink.

        Returns when the exchange runs in the background or has ended.
        """
        refusal = self._check(request)
        if refusal is not None:
            self._refuse(request, sink, refusal)
            return
        assert self._board.config is not None
        route = self._board.config.route(request.caller, request.service)
        if route is None:
            failure = errors.Failure(
                403, "no_rule", "no rule allows this request"
            )
            self._refuse(request, sink, failure)
            return
        exchange_id = uuid.uuid4().hex[: exchange.EXCHANGE_ID_HEX_DIGITS]
        if request.request_id:
            exchange_id = exchange.exchange_id(
                request.caller, request.request_id
            )
        self._last_attempt += 1
        served = exchange.Exchange(
            exchange_id,
            self._last_attempt,
            request,
            route,
            self._board.now(),
            sink,
        )
        if self._board.quarantine.is_quarantined(
            self._board.now(), served.fingerprint
        ):
            self._refuse(
                request, sink, errors.quarantine_failure(served.outcome)
            )
            return
        self._board.record_event(
            "exchange.accepted", exchange_id, caller=request.caller
        )
        if request.request_id and not await self._claim_in_turn(served, sink):
            return
        self._start(served)

    def _check(self, request: exchange.ModelRequest) -> errors.Failure | None:
        current = self._board.config
        if self._board.is_draining:
            return errors.Failure(
                503,
                "draining",
                "this host is leaving; send the request again",
                "not_run",
                DRAINING_RETRY_AFTER_S,
            )
        if current is None or not self._board.is_ready:
            return errors.Failure(
                503,
                "not_ready",
                "this host isn't ready",
                "not_run",
                NOT_READY_RETRY_AFTER_S,
            )
        service = current.document["services"].get(request.service)
        if service is None or service["kind"] != "model":
            return errors.Failure(404, "no_such_model", "no such model service")
        max_prompt_tokens = service.get(
            "max_prompt_tokens", config.DEFAULT_MAX_PROMPT_TOKENS
        )
        if prompts.count_tokens(request.prompt) > max_prompt_tokens:
            return errors.Failure(
                413,
                "prompt_too_long",
                f"over {max_prompt_tokens} tokens",
            )
        max_output_tokens = service.get(
            "max_output_tokens", config.DEFAULT_MAX_OUTPUT_TOKENS
        )
        if not 1 <= request.max_tokens <= max_output_tokens:
            return errors.Failure(
                400,
                "bad_max_tokens",
                f"max_tokens must be from 1 to {max_output_tokens}",
            )
        return None

    def _refuse(
        self,
        request: exchange.ModelRequest,
        sink: exchange.Sink,
        failure: errors.Failure,
    ) -> None:
        self._board.metrics.record_failure(request.service, failure)
        sink.fail(failure)

    def _start(self, served: exchange.Exchange) -> None:
        if served.is_abandoned:
            self._end(served)
            return
        running = periodic.spawn(self._run(served))
        if not served.is_done:
            self._live[served.id] = _LiveExchange(served, running)

    async def _run(self, served: exchange.Exchange) -> None:
        try:
            await self._runner.run(served)
        finally:
            live = self._live.get(served.id)
            if live is not None and live.exchange is served:
                del self._live[served.id]
            self._end(served)

    def _end(self, served: exchange.Exchange) -> None:
        if served.is_complete:
            self._answers.put(
                self._board.now(), served.id, served.text, len(served.tokens)
            )
        if served.failure is not None:
            self._board.metrics.record_failure(
                served.request.service, served.failure
            )
        if served.request.request_id and not served.is_handed_over:
            self._homes.end(
                served.id, served.attempt, answered=served.is_complete
            )

    def handle_disconnect(
        self, request: exchange.ModelRequest, sink: exchange.Sink
    ) -> None:
        """Cancel a request whose caller has closed the connection.

        An exchange that is still being claimed isn't started.
        """
        for live in list(self._live.values()):
            if live.exchange.has_sink(sink):
                self._board.record_event("caller.gone", live.exchange.id)
                live.exchange.replace_sink(None)
                live.running.cancel()
                return

    async def _claim_in_turn(
        self, served: exchange.Exchange, sink: exchange.Sink
    ) -> bool:
        """Claim an exchange; copies of it at this host claim in turn."""
        while served.id in self._claiming:
            await periodic.sleep(self._board.clock, CLAIM_POLL_S)
        self._claiming.add(served.id)
        try:
            return await self._claim(served, sink)
        finally:
            self._claiming.discard(served.id)

    async def _confirm(self, served: exchange.Exchange) -> bool:
        """Renew the claim of an exchange; return whether this host holds it."""
        claim = await self._homes.claim(
            served.id,
            served.attempt,
            replaces=(self._board.host, served.attempt),
        )
        return (claim.host, claim.attempt) == (self._board.host, served.attempt)

    async def _claim(
        self, served: exchange.Exchange, sink: exchange.Sink
    ) -> bool:
        """Claim the exchange, so that it runs only once.

        Returns:
          Whether to start it. If not, the sink is or will be served from an
          earlier attempt, or has got a failure.
        """
        replaces = ("", 0)
        for _ in range(CLAIM_TRIES):
            if self._serve_repeat(served.id, sink):
                return False
            claim = await self._homes.claim(
                served.id, served.attempt, replaces=replaces
            )
            if (claim.host, claim.attempt) == (
                self._board.host,
                served.attempt,
            ):
                return True
            replaces = (claim.host, claim.attempt)
            if claim.host == self._board.host:
                # An earlier attempt of this host, which has no record of it
                # now.
                await periodic.sleep(self._board.clock, CLAIM_POLL_S)
            elif await self._take_over(served, sink, claim):
                return False
        sink.fail(
            errors.Failure(
                409,
                "in_progress",
                "another copy of the request is being served",
                "maybe_run",
                1.0,
            )
        )
        return False

    def _serve_repeat(self, exchange_id: str, sink: exchange.Sink) -> bool:
        """Serve a repeat of an exchange that this host runs or answered.

        Returns:
          Whether the sink is or will be served.
        """
        live = self._live.get(exchange_id)
        if live is not None:
            self._board.record_event("exchange.repeated", exchange_id)
            live.exchange.replace_sink(sink)
            return True
        answer = self._answers.get(self._board.now(), exchange_id)
        if answer is not None:
            self._board.record_event("exchange.replayed", exchange_id)
            sink.write(answer.text)
            sink.end(answer.tokens)
            return True
        return False

    async def _take_over(
        self,
        served: exchange.Exchange,
        sink: exchange.Sink,
        claim: messages.ClaimReply,
    ) -> bool:
        """Continue an exchange of another host.

        Returns:
          Whether the sink is or will be served. If not, the claim must be
          replaced.
        """
        reply = await self._request_handover(served, claim)
        # The host that held the claim may have sent the request to an engine.
        served.was_accepted = served.was_sent = True
        if reply is None:
            return False
        if reply.state == "finished":
            self._answers.put(
                self._board.now(), served.id, reply.text, reply.tokens
            )
            sink.write(reply.text)
            sink.end(reply.tokens)
            return True
        if reply.state == "running":
            held = await self._homes.claim(
                served.id, served.attempt, replaces=(claim.host, claim.attempt)
            )
            if (held.host, held.attempt) != (self._board.host, served.attempt):
                # Another host took the exchange over meanwhile; it runs it
                # again, and the orphan check cancels the run.
                return False
            served.run = exchange.RunRef(
                reply.run_id, reply.decode, reply.decode_url
            )
            served.has_started = True
            self._start(served)
            return True
        return False

    async def _request_handover(
        self, served: exchange.Exchange, claim: messages.ClaimReply
    ) -> messages.HandoverReply | None:
        """Request a handover, and repeat it while the host replies "wait".

        Returns:
          The reply; None if the host was unresponsive or still replied "wait"
          after HANDOVER_TIMEOUT_S.
        """
        request = messages.HandoverRequest(served.id, claim.attempt)
        deadline = self._board.now() + HANDOVER_TIMEOUT_S
        unanswered = 0
        while (
            unanswered < MAX_UNANSWERED_HANDOVERS
            and self._board.now() < deadline
        ):
            try:
                reply = await self._mesh.call(
                    claim.host, request, messages.HandoverReply
                )
            except errors.PeerError:
                unanswered += 1
                continue
            if reply.state != "wait":
                return reply
            await periodic.sleep(self._board.clock, CLAIM_POLL_S)
        return None

    def _receive_handover(
        self, sender: str, request: messages.HandoverRequest
    ) -> messages.HandoverReply:
        answer = self._answers.get(self._board.now(), request.exchange)
        if answer is not None:
            return messages.HandoverReply(
                "finished", answer.text, answer.tokens, "", "", ""
            )
        live = self._live.get(request.exchange)
        if live is not None and live.exchange.run is not None:
            return self._hand_over(sender, live)
        is_starting = live is not None or request.exchange in self._claiming
        state = "wait" if is_starting else "unknown"
        return messages.HandoverReply(state, "", 0, "", "", "")

    def _hand_over(
        self, sender: str, live: _LiveExchange
    ) -> messages.HandoverReply:
        run = live.exchange.run
        assert run is not None
        self._runner.add_live_run(run.run_id)
        self._board.clock.callLater(
            HANDED_OVER_RUN_TTL_S, self._runner.remove_live_run, run.run_id
        )
        self._board.record_event(
            "exchange.handed_over", live.exchange.id, to=sender
        )
        live.exchange.is_handed_over = True
        live.exchange.replace_sink(None)
        live.running.cancel()
        return messages.HandoverReply(
            "running", "", 0, run.run_id, run.worker, run.url
        )

    def _record_crash(
        self, served: exchange.Exchange, worker: str, began_at: float | None
    ) -> None:
        """Mark content as suspect after a worker failure, here and at peers."""
        # Without the time of the run, only its name tells crashes apart.
        is_timed = began_at is not None
        run = "" if is_timed else f"@{served.id}@{len(served.tokens)}"
        self._suspects.suspect(
            quarantine.Content(served.fingerprint),
            worker,
            f"{worker}{run}",
            began_at=began_at,
        )

    def cancel_all(self) -> None:
        """Fail and cancel every exchange when a drain exceeds its limit."""
        for live in list(self._live.values()):
            live.exchange.fail(
                errors.Failure(
                    503,
                    "host_stopped",
                    "this host stopped before the answer was whole",
                    "maybe_run",
                    DRAINING_RETRY_AFTER_S,
                )
            )
            live.running.cancel()
