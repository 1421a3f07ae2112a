"""Run of one exchange on the engines: plan, prefill, decode, resume."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from nutmegscale import blackboard
from nutmegscale import cancel_controller
from nutmegscale import cell
from nutmegscale import config
from nutmegscale import engine
from nutmegscale import errors
from nutmegscale import exchange
from nutmegscale import logs
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import placement
from nutmegscale import planner_controller
from nutmegscale import prompts
from nutmegscale import retry_budget

MAX_TRIES = 6
TRIES_OUTSIDE_BUDGET = 2
RETRY_WINDOW_S = 30.0
PREFILL_TIMEOUT_MARGIN_S = 0.6
PREFILL_TIMEOUT_FACTOR = 3.0
PREFILL_LATE_AFTER_S = 0.02
TRANSFER_TIMEOUT_MARGIN_S = 0.4
TRANSFER_TIMEOUT_FACTOR = 3.0
MIN_PROGRESS_TIMEOUT_S = 0.6
PROGRESS_TIMEOUT_GAPS = 10
MAX_STREAM_REOPENS = 2
REPLAN_PAUSE_S = 0.1
CLEARED_AFTER_TOKENS = 4
CONFIRM_CLAIM_AFTER_S = 1.0
REFUSAL_RETRY_AFTER_S = 1.0


class _TryResult(NamedTuple):
    """How a try ended; `failure` is None when the answer is whole."""

    failure: errors.EngineError | errors.ConnectError | None
    worker: str
    may_have_started: bool


class ExchangeRunner:
    """Runs exchanges of one host, with retries while they make sense."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        engines: Callable[[str], engine.Engine],
        planning: planner_controller.PlannerController,
        cancels: cancel_controller.CancelController,
        *,
        on_crash: Callable[[exchange.Exchange, str], None],
        on_cleared: Callable[[exchange.Exchange], None],
        confirm: Callable[[exchange.Exchange], Awaitable[bool]],
    ) -> None:
        self._board = board
        self._engines = engines
        self._planning = planning
        self._cancels = cancels
        self._on_crash = on_crash
        self._on_cleared = on_cleared
        self._budget = retry_budget.RetryBudget()
        self._confirm = confirm
        self._live_runs: set[str] = set()
        self._run_count = 0

    def is_live(self, run_id: str) -> bool:
        """Whether this host serves a run."""
        return run_id in self._live_runs

    def add_live_run(self, run_id: str) -> None:
        """Vouch for a run that another host has taken over."""
        self._live_runs.add(run_id)

    def remove_live_run(self, run_id: str) -> None:
        """Vouch for a run no longer."""
        self._live_runs.discard(run_id)

    async def run(self, x: exchange.Exchange) -> None:
        """Bring an exchange to its whole answer or to a failure.

        A run that was handed over to this host is gone on with first.
        """
        place = self._choose_cell(x)
        if place is None:
            x.fail(_refusal_failure("no_worker", REFUSAL_RETRY_AFTER_S, x))
            return
        avoid: list[str] = []
        try:
            if x.run is not None:
                step = await self._follow_run(x, x.run)
                if step.failure is None:
                    return
                self._record_failure(x, place, step, avoid)
            self._budget.first_try()
            await self._run_tries(x, place, avoid)
        except errors.SupersededError:
            x.replace_sink(None)
        finally:
            self._release_reservation(x, place)

    async def _run_tries(
        self, x: exchange.Exchange, place: cell.Cell, avoid: list[str]
    ) -> None:
        """Try until the answer is whole; waiting for a place is no try."""
        deadline = self._board.now() + RETRY_WINDOW_S
        tries = 0
        while tries < MAX_TRIES and self._board.now() < deadline:
            if self._is_quarantined(x):
                x.fail(quarantine_failure(x))
                return
            reply = await self._plan(x, place, avoid)
            if reply.grant is None:
                if not await self._wait_or_refuse(x, reply):
                    return
                continue
            tries += 1
            if (
                tries > TRIES_OUTSIDE_BUDGET
                and not x.tokens
                and not self._budget.take()
            ):
                break
            x.was_accepted = True
            step = await self._try(x, place, reply.grant)
            if step.failure is None:
                return
            self._record_failure(x, place, step, avoid)
            if isinstance(step.failure, errors.EngineBusyError):
                await periodic.sleep(self._board.clock, REPLAN_PAUSE_S)
        x.fail(_retries_spent_failure(x))

    def _is_quarantined(self, x: exchange.Exchange) -> bool:
        return self._board.quarantine.is_quarantined(
            self._board.now(), x.fingerprint
        )

    def _choose_cell(self, x: exchange.Exchange) -> cell.Cell | None:
        cells = self._board.cells.get(x.request.service, [])
        return cell.choose(cells, self._board.settings["failure_domain"])

    async def _plan(
        self, x: exchange.Exchange, place: cell.Cell, avoid: list[str]
    ) -> messages.PlanReply:
        assert self._board.config is not None
        now = self._board.now()
        service = self._board.config.document["services"][x.request.service]
        left = x.request.max_tokens - len(x.tokens)
        text = x.request.prompt
        ask = placement.Ask(
            x.id,
            x.request.caller,
            self._board.config.weight_of(x.request.caller),
            x.route.priority,
            prompts.count_tokens(text) + len(x.tokens),
            prompts.block_digests(text),
            max(1, left),
            service.get("first_token_s", config.DEFAULT_FIRST_TOKEN_S),
            service.get("token_gap_s", config.DEFAULT_TOKEN_GAP_S),
            now - x.arrived,
            x.was_accepted,
            self._board.quarantine.is_suspect(now, x.fingerprint),
            tuple(avoid),
        )
        return await self._planning.plan(place, ask)

    async def _wait_or_refuse(
        self, x: exchange.Exchange, reply: messages.PlanReply
    ) -> bool:
        """Refuse at once what was never sent; wait a little for the rest.

        Returns:
          Whether to plan again.
        """
        if not x.was_sent:
            x.fail(_refusal_failure(reply.reason, reply.retry_after_s, x))
            return False
        pause_s = max(REPLAN_PAUSE_S, min(1.0, reply.retry_after_s))
        await periodic.sleep(self._board.clock, pause_s)
        return True

    async def _try(
        self, x: exchange.Exchange, place: cell.Cell, grant: placement.Grant
    ) -> _TryResult:
        self._run_count += 1
        run_id = f"{x.id}.{self._board.host}.{x.attempt}.{self._run_count}"
        self._live_runs.add(run_id)
        self._board.record_event(
            "exchange.planned",
            x.id,
            prefill=grant.prefill,
            decode=grant.decode,
            start_in_s=round(grant.start_in_s, 3),
        )
        has_started = False
        try:
            if grant.start_in_s > 0:
                await periodic.sleep(self._board.clock, grant.start_in_s)
            step = await self._prefill_and_start(x, place, grant, run_id)
            if step is not None:
                return step
            has_started = True
        finally:
            if not has_started:
                self._cancel_run(grant.prefill_url, run_id)
                self._cancel_run(grant.decode_url, run_id)
        x.run = exchange.RunRef(run_id, grant.decode, grant.decode_url)
        x.has_started = True
        x.last_active_at = self._board.now()
        return await self._follow_run(x, x.run)

    def _cancel_run(self, url: str, run_id: str) -> None:
        self._live_runs.discard(run_id)
        self._cancels.cancel(url, run_id)

    async def _prefill_and_start(
        self,
        x: exchange.Exchange,
        place: cell.Cell,
        grant: placement.Grant,
        run_id: str,
    ) -> _TryResult | None:
        """Prefill and import; None when the run has started."""
        tokens = prompts.count_tokens(x.request.prompt)
        was_sent = x.was_sent
        x.was_sent = True
        sent_at = self._board.now()
        late = self._board.clock.callLater(
            grant.prefill_s + PREFILL_LATE_AFTER_S,
            self._planning.prefill_late,
            place,
            x.id,
        )
        try:
            result = await self._engines(grant.prefill_url).prefill(
                run_id,
                self._board.host,
                x.request.prompt,
                x.route.priority,
                grant.prefill_s * PREFILL_TIMEOUT_FACTOR
                + PREFILL_TIMEOUT_MARGIN_S,
            )
        except (errors.ConnectError, errors.EngineLeavingError) as exc:
            x.was_sent = was_sent
            return _TryResult(exc, grant.prefill, False)
        except errors.EngineError as exc:
            return _TryResult(exc, grant.prefill, True)
        finally:
            if late.active():
                late.cancel()
        ready_at = self._board.now()
        self._board.metrics.prefilled(tokens - result.cached_tokens)
        order = engine.RunOrder(
            run_id,
            self._board.host,
            x.request.prompt,
            len(x.tokens),
            x.request.max_tokens,
            grant.prefill_url,
            result.handle,
        )
        try:
            await self._engines(grant.decode_url).start(
                order,
                grant.transfer_s * TRANSFER_TIMEOUT_FACTOR
                + TRANSFER_TIMEOUT_MARGIN_S,
            )
        except (errors.EngineError, errors.ConnectError) as exc:
            self._board.metrics.wasted(tokens - result.cached_tokens)
            is_lost = isinstance(exc, errors.EngineLostError)
            return _TryResult(exc, grant.decode, is_lost)
        self._planning.started(
            place, x.id, ready_at - sent_at, self._board.now() - ready_at
        )
        return None

    async def _follow_run(
        self, x: exchange.Exchange, run: exchange.RunRef
    ) -> _TryResult:
        """Read a run to its end, and free it unless it was handed over."""
        self._live_runs.add(run.run_id)
        try:
            return await self._read_with_reopens(x, run)
        finally:
            if x.is_complete:
                self._live_runs.discard(run.run_id)
            elif not x.is_handed_over:
                self._cancel_run(run.url, run.run_id)

    async def _read_with_reopens(
        self, x: exchange.Exchange, run: exchange.RunRef
    ) -> _TryResult:
        """Read a run's tokens; a silent stream is opened anew."""
        failure: errors.EngineError | None = None
        for _ in range(1 + MAX_STREAM_REOPENS):
            made = len(x.tokens)
            try:
                await self._read(x, run)
                return _TryResult(None, run.worker, True)
            except errors.RunGoneError as exc:
                return _TryResult(exc, run.worker, True)
            except errors.EngineLostError as exc:
                failure = exc
                self._board.record_event(
                    "stream.lost", x.id, worker=run.worker, made=made
                )
        return _TryResult(failure, run.worker, True)

    async def _read(self, x: exchange.Exchange, run: exchange.RunRef) -> None:
        gap_s = self._token_gap_s(x)
        timeout_s = max(MIN_PROGRESS_TIMEOUT_S, PROGRESS_TIMEOUT_GAPS * gap_s)
        first = len(x.tokens)
        stream = self._engines(run.url).tokens(run.run_id, first, timeout_s)
        async for token in stream:
            await self._confirm_after_pause(x)
            x.add_token(self._board.now(), token.data)
            if len(x.tokens) - first == CLEARED_AFTER_TOKENS:
                self._clear_suspicion(x)
        await self._confirm_after_pause(x)
        self._finish(x)

    def _clear_suspicion(self, x: exchange.Exchange) -> None:
        """Clear content that ran past the point of its crash."""
        if not self._board.quarantine.is_suspect(
            self._board.now(), x.fingerprint
        ):
            return
        self._on_cleared(x)
        place = self._choose_cell(x)
        if place is not None:
            self._planning.cleared(place, x.id)

    async def _confirm_after_pause(self, x: exchange.Exchange) -> None:
        """Make sure that no other host took over while this one stood still.

        Raises:
          errors.SupersededError: Another host serves the exchange.
        """
        is_late = self._board.now() - x.last_active_at > CONFIRM_CLAIM_AFTER_S
        if is_late and x.request.request_id:
            if not await self._confirm(x):
                raise errors.SupersededError(x.id)
            x.last_active_at = self._board.now()

    def _finish(self, x: exchange.Exchange) -> None:
        first_at = x.first_token_at or self._board.now()
        assert self._board.config is not None
        service = self._board.config.document["services"].get(x.request.service)
        target_s = config.DEFAULT_FIRST_TOKEN_S
        if service is not None:
            target_s = service.get("first_token_s", target_s)
        wait_s = first_at - x.arrived
        gap_s = x.mean_gap_s()
        good = wait_s <= target_s and gap_s <= self._token_gap_s(x)
        self._board.metrics.answered(x.request.service, wait_s, gap_s, good)
        self._board.record_event(
            "exchange.answered",
            x.id,
            tokens=len(x.tokens),
            first_token_s=round(wait_s, 3),
            gap_s=round(gap_s, 4),
        )
        x.finish()

    def _token_gap_s(self, x: exchange.Exchange) -> float:
        if self._board.config is None:
            return config.DEFAULT_TOKEN_GAP_S
        service = self._board.config.document["services"].get(x.request.service)
        if service is None:
            return config.DEFAULT_TOKEN_GAP_S
        return service.get("token_gap_s", config.DEFAULT_TOKEN_GAP_S)

    def _record_failure(
        self,
        x: exchange.Exchange,
        place: cell.Cell,
        step: _TryResult,
        avoid: list[str],
    ) -> None:
        failure = step.failure
        kind = type(failure).__name__
        self._board.metrics.retried(kind)
        self._board.record_event(
            "exchange.retried", x.id, worker=step.worker, cause=kind
        )
        logs.get().info(
            "exchange_retried",
            exchange=x.id,
            worker=step.worker,
            cause=kind,
            message=str(failure),
        )
        is_gone = isinstance(
            failure, errors.EngineLostError | errors.ConnectError
        )
        is_stalled = isinstance(failure, errors.EngineStalledError)
        if is_gone and step.may_have_started and not is_stalled:
            self._on_crash(x, step.worker)
        if is_gone:
            self._planning.report_unreachable(place, step.worker)
        if is_gone or isinstance(failure, errors.EngineLeavingError):
            avoid.append(step.worker)

    def _release_reservation(
        self, x: exchange.Exchange, place: cell.Cell
    ) -> None:
        """Free the reservation unless another host goes on with the run."""
        if not x.is_handed_over:
            tokens = len(x.tokens) if x.is_complete else 0
            self._planning.release(place, x.id, tokens)


def _refusal_failure(
    reason: str, retry_after_s: float, x: exchange.Exchange
) -> errors.Failure:
    return errors.Failure(
        503,
        reason,
        "the targets can't be met now",
        x.outcome,
        retry_after_s,
    )


def _retries_spent_failure(x: exchange.Exchange) -> errors.Failure:
    return errors.Failure(
        502,
        "retries_spent",
        "no backend server finished the request",
        x.outcome,
        REFUSAL_RETRY_AFTER_S,
    )


def quarantine_failure(x: exchange.Exchange) -> errors.Failure:
    """Return the final failure for content that crashes servers."""
    return errors.Failure(
        422,
        "quarantined",
        "this content crashed the servers that ran it",
        x.outcome,
    )
