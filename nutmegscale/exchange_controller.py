"""Controller of model requests: admission, repeats, handover, cancel."""

from collections.abc import Callable
from typing import NamedTuple
import uuid

from twisted.internet import defer

from nutmegscale import blackboard
from nutmegscale import cancel_controller
from nutmegscale import config
from nutmegscale import engine
from nutmegscale import errors
from nutmegscale import exchange
from nutmegscale import exchange_runner
from nutmegscale import home_controller
from nutmegscale import kept_answers
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import planner_controller
from nutmegscale import prompts

CLAIM_TRIES = 6
CLAIM_POLL_S = 0.05
HANDOVER_TIMEOUT_S = 3.0
MAX_UNANSWERED_HANDOVERS = 2
HANDED_OVER_RUN_TTL_S = 120.0
NOT_READY_RETRY_AFTER_S = 2.0
DRAINING_RETRY_AFTER_S = 0.2


class _LiveExchange(NamedTuple):
    """An exchange that runs here, and its coroutine."""

    exchange: exchange.Exchange
    running: defer.Deferred[None]


class ExchangeController:
    """Serves model requests of callers at this host."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        link: mesh.Mesh,
        engines: Callable[[str], engine.Engine],
        homes: home_controller.HomeController,
        cancels: cancel_controller.CancelController,
    ) -> None:
        self._board = board
        self._mesh = link
        self._homes = homes
        self._live: dict[str, _LiveExchange] = {}
        self._answers = kept_answers.KeptAnswers()
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
            on_cleared=self._record_cleared,
            confirm=self._confirm,
        )
        link.on(messages.HandoverRequest, self._receive_handover)
        link.on(messages.Suspicion, self._receive_suspicion)
        link.on(messages.Cleared, self._receive_cleared)

    @property
    def live_count(self) -> int:
        """Exchanges that run here."""
        return len(self._live)

    def _is_live(self, run_id: str) -> bool:
        return self._runner.is_live(run_id)

    async def serve(
        self, request: exchange.ModelRequest, sink: exchange.Sink
    ) -> None:
        """Serve a request; its answer or failure goes to the sink."""
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
        name = uuid.uuid4().hex[: exchange.EXCHANGE_ID_HEX_DIGITS]
        if request.request_id:
            name = exchange.exchange_id(request.caller, request.request_id)
        self._last_attempt += 1
        x = exchange.Exchange(
            name, self._last_attempt, request, route, self._board.now(), sink
        )
        if self._board.quarantine.is_quarantined(
            self._board.now(), x.fingerprint
        ):
            self._refuse(request, sink, exchange_runner.quarantine_failure(x))
            return
        self._board.record_event(
            "exchange.accepted", name, caller=request.caller
        )
        if request.request_id and not await self._claim_in_turn(x, sink):
            return
        self._start(x)

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
        longest = service.get(
            "max_prompt_tokens", config.DEFAULT_MAX_PROMPT_TOKENS
        )
        if prompts.count_tokens(request.prompt) > longest:
            return errors.Failure(
                413, "prompt_too_long", f"over {longest} tokens"
            )
        most = service.get(
            "max_output_tokens", config.DEFAULT_MAX_OUTPUT_TOKENS
        )
        if not 1 <= request.max_tokens <= most:
            return errors.Failure(
                400, "bad_max_tokens", f"max_tokens must be from 1 to {most}"
            )
        return None

    def _refuse(
        self,
        request: exchange.ModelRequest,
        sink: exchange.Sink,
        failure: errors.Failure,
    ) -> None:
        self._board.metrics.refused(request.service, failure)
        sink.fail(failure)

    def _start(self, x: exchange.Exchange) -> None:
        if x.is_abandoned:
            self._end(x)
            return
        running = periodic.spawn(self._run(x))
        if not x.is_done:
            self._live[x.id] = _LiveExchange(x, running)

    async def _run(self, x: exchange.Exchange) -> None:
        try:
            await self._runner.run(x)
        finally:
            live = self._live.get(x.id)
            if live is not None and live.exchange is x:
                del self._live[x.id]
            self._end(x)

    def _end(self, x: exchange.Exchange) -> None:
        if x.is_complete:
            self._answers.put(self._board.now(), x.id, x.text, len(x.tokens))
        if x.failure is not None:
            self._board.metrics.refused(x.request.service, x.failure)
        if x.request.request_id and not x.is_handed_over:
            self._homes.end(x.id, x.attempt, answered=x.is_complete)

    def caller_gone(
        self, request: exchange.ModelRequest, sink: exchange.Sink
    ) -> None:
        """Free everything that a request holds whose caller has gone."""
        for live in list(self._live.values()):
            if live.exchange.has_sink(sink):
                self._board.record_event("caller.gone", live.exchange.id)
                live.exchange.replace_sink(None)
                live.running.cancel()
                return

    async def _claim_in_turn(
        self, x: exchange.Exchange, sink: exchange.Sink
    ) -> bool:
        """Claim an exchange; copies at this host do so one after the other."""
        while x.id in self._claiming:
            await periodic.sleep(self._board.clock, CLAIM_POLL_S)
        self._claiming.add(x.id)
        try:
            return await self._claim(x, sink)
        finally:
            self._claiming.discard(x.id)

    async def _confirm(self, x: exchange.Exchange) -> bool:
        """Whether this host still holds the claim of an exchange."""
        claim = await self._homes.claim(
            x.id, x.attempt, replaces=(self._board.host, x.attempt)
        )
        return (claim.host, claim.attempt) == (self._board.host, x.attempt)

    async def _claim(self, x: exchange.Exchange, sink: exchange.Sink) -> bool:
        """Make sure that this exchange runs once.

        Returns:
          Whether to run it here; else the sink was served otherwise.
        """
        replaces = ("", 0)
        for _ in range(CLAIM_TRIES):
            if self._serve_repeat(x.id, sink):
                return False
            claim = await self._homes.claim(x.id, x.attempt, replaces=replaces)
            if (claim.host, claim.attempt) == (self._board.host, x.attempt):
                return True
            replaces = (claim.host, claim.attempt)
            if claim.host == self._board.host:
                # An older try of this host, which it no longer knows.
                await periodic.sleep(self._board.clock, CLAIM_POLL_S)
            elif await self._take_over(x, sink, claim):
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

    def _serve_repeat(self, name: str, sink: exchange.Sink) -> bool:
        """Serve a repeat of an exchange that this host runs or has answered."""
        live = self._live.get(name)
        if live is not None:
            self._board.record_event("exchange.repeated", name)
            live.exchange.replace_sink(sink)
            return True
        answer = self._answers.get(self._board.now(), name)
        if answer is not None:
            self._board.record_event("exchange.replayed", name)
            sink.write(answer.text)
            sink.end(answer.tokens)
            return True
        return False

    async def _take_over(
        self,
        x: exchange.Exchange,
        sink: exchange.Sink,
        claim: messages.ClaimReply,
    ) -> bool:
        """Go on with an exchange of another host.

        Returns:
          Whether the sink was served; else the claim is to be replaced.
        """
        reply = await self._request_handover(x, claim)
        # Whoever held the claim had accepted the request.
        x.was_accepted = x.was_sent = True
        if reply is None:
            return False
        if reply.state == "finished":
            self._answers.put(self._board.now(), x.id, reply.text, reply.tokens)
            sink.write(reply.text)
            sink.end(reply.tokens)
            return True
        if reply.state == "running":
            x.run = exchange.RunRef(
                reply.run_id, reply.decode, reply.decode_url
            )
            x.was_sent = x.was_accepted = True
            x.has_started = True
            await self._homes.claim(
                x.id, x.attempt, replaces=(claim.host, claim.attempt)
            )
            self._start(x)
            return True
        return False

    async def _request_handover(
        self, x: exchange.Exchange, claim: messages.ClaimReply
    ) -> messages.HandoverReply | None:
        """Ask until the other host has a run to hand over, or is silent."""
        request = messages.HandoverRequest(x.id, claim.attempt)
        deadline = self._board.now() + HANDOVER_TIMEOUT_S
        silent = 0
        while (
            silent < MAX_UNANSWERED_HANDOVERS and self._board.now() < deadline
        ):
            try:
                reply = await self._mesh.call(
                    claim.host, request, messages.HandoverReply
                )
            except errors.PeerError:
                silent += 1
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
        is_coming = live is not None or request.exchange in self._claiming
        state = "wait" if is_coming else "unknown"
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

    def _record_crash(self, x: exchange.Exchange, worker: str) -> None:
        """Suspect what ran on a worker that was lost, here and at the peers."""
        crash = f"{worker}@{x.id}@{len(x.tokens)}"
        suspicion = messages.Suspicion(x.fingerprint, worker, crash)
        self._receive_suspicion(self._board.host, suspicion)
        for host in self._board.membership.alive():
            if host != self._board.host:
                self._mesh.send(host, suspicion)

    def _receive_suspicion(
        self, sender: str, message: messages.Suspicion
    ) -> None:
        now = self._board.now()
        if self._board.quarantine.suspect(
            now, message.fingerprint, message.crash
        ):
            self._board.record_event("content.suspected", worker=message.worker)

    def _record_cleared(self, x: exchange.Exchange) -> None:
        cleared = messages.Cleared(x.fingerprint)
        self._receive_cleared(self._board.host, cleared)
        for host in self._board.membership.alive():
            if host != self._board.host:
                self._mesh.send(host, cleared)

    def _receive_cleared(self, sender: str, message: messages.Cleared) -> None:
        self._board.quarantine.clear(message.fingerprint)

    def cancel_all(self) -> None:
        """Cancel every exchange, for the end of a drain that took too long."""
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
