"""Execution of exchanges on the engines.

An exchange is placed, prefilled and decoded. A run that breaks off is resumed,
on another worker if necessary.
"""

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

# Tries of one request; waiting for a placement isn't counted.
MAX_TRIES = 6
# Later tries draw on the retry budget, unless the answer has begun.
TRIES_OUTSIDE_BUDGET = 2
# Time since the start of the tries after which no placement is requested.
RETRY_WINDOW_S = 30.0
# Timeout of a prefill or transfer = predicted time * factor + margin.
PREFILL_TIMEOUT_MARGIN_S = 0.6
PREFILL_TIMEOUT_FACTOR = 3.0
# Time past its prediction at which a prefill is reported as late.
PREFILL_LATE_AFTER_S = 0.02
TRANSFER_TIMEOUT_MARGIN_S = 0.4
TRANSFER_TIMEOUT_FACTOR = 3.0
# A token stream times out when no token arrives for this time or for
# PROGRESS_TIMEOUT_GAPS target token gaps, whichever is longer.
MIN_PROGRESS_TIMEOUT_S = 0.6
PROGRESS_TIMEOUT_GAPS = 10
MAX_STREAM_REOPENS = 2
REPLAN_PAUSE_S = 0.1
# Tokens of one stream after which suspected content counts as past the point
# of its crash.
CLEARED_AFTER_TOKENS = 4
# Time without activity after which another host may have taken over.
CONFIRM_CLAIM_AFTER_S = 1.0
REFUSAL_RETRY_AFTER_S = 1.0


class _TryResult(NamedTuple):
    """Result of one try to run an exchange on the engines.

    Attributes:
      failure: Why the try failed; None when the answer is complete.
      worker: Worker that failed, or that ran the decode.
      may_have_started: Whether the worker may have started the work.
      began_at: When the work was sent, seconds; None if another host sent it.
    """

    failure: errors.EngineError | errors.ConnectError | None
    worker: str
    may_have_started: bool
    began_at: float | None = None


class ExchangeRunner:
    """Runs the exchanges of one host and retries failed tries."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        engines: Callable[[str], engine.Engine],
        planning: planner_controller.PlannerController,
        cancels: cancel_controller.CancelController,
        *,
        on_crash: Callable[[exchange.Exchange, str, float | None], None],
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
        """Return whether this host serves a run, or reports it as served."""
        return run_id in self._live_runs

    def add_live_run(self, run_id: str) -> None:
        """Report a run as served although another host has taken it over."""
        self._live_runs.add(run_id)

    def remove_live_run(self, run_id: str) -> None:
        """Stop reporting a run as served."""
        self._live_runs.discard(run_id)

    async def run(self, served: exchange.Exchange) -> None:
        """Run an exchange until its answer is complete or it fails.

        If a run was handed over to this host, it is continued first.
        """
        target_cell = self._choose_cell(served)
        if target_cell is None:
            served.fail(
                _refusal_failure("no_worker", REFUSAL_RETRY_AFTER_S, served)
            )
            return
        avoid: list[str] = []
        try:
            if served.run is not None:
                try_result = await self._follow_run(served, served.run)
                if try_result.failure is None:
                    return
                self._record_failure(served, target_cell, try_result, avoid)
            self._budget.record_first_attempt()
            await self._run_tries(served, target_cell, avoid)
        except errors.SupersededError:
            served.replace_sink(None)
        finally:
            self._release_reservation(served, target_cell)

    async def _run_tries(
        self,
        served: exchange.Exchange,
        target_cell: cell.Cell,
        avoid: list[str],
    ) -> None:
        """Try until the answer is complete or a limit is reached.

        Waiting for a placement doesn't count as a try.
        """
        deadline = self._board.now() + RETRY_WINDOW_S
        tries = 0
        while tries < MAX_TRIES and self._board.now() < deadline:
            if self._is_quarantined(served):
                served.fail(errors.quarantine_failure(served.outcome))
                return
            reply = await self._plan(served, target_cell, avoid)
            if reply.grant is None:
                if not await self._wait_or_refuse(served, reply):
                    return
                continue
            tries += 1
            if (
                tries > TRIES_OUTSIDE_BUDGET
                and not served.tokens
                and not self._budget.take()
            ):
                break
            served.was_accepted = True
            try_result = await self._try(served, target_cell, reply.grant)
            if try_result.failure is None:
                return
            self._record_failure(served, target_cell, try_result, avoid)
            if isinstance(try_result.failure, errors.EngineBusyError):
                await periodic.sleep(self._board.clock, REPLAN_PAUSE_S)
        served.fail(_retries_spent_failure(served))

    def _is_quarantined(self, served: exchange.Exchange) -> bool:
        return self._board.quarantine.is_quarantined(
            self._board.now(), served.fingerprint
        )

    def _choose_cell(self, served: exchange.Exchange) -> cell.Cell | None:
        cells = self._board.cells.get(served.request.service, [])
        return cell.choose(cells, self._board.settings["failure_domain"])

    async def _plan(
        self,
        served: exchange.Exchange,
        target_cell: cell.Cell,
        avoid: list[str],
    ) -> messages.PlanReply:
        assert self._board.config is not None
        now = self._board.now()
        service = self._board.config.document["services"][
            served.request.service
        ]
        left = served.request.max_tokens - len(served.tokens)
        text = served.request.prompt
        placement_request = placement.Request(
            served.id,
            served.request.caller,
            self._board.config.weight_of(served.request.caller),
            served.route.priority,
            prompts.count_tokens(text) + len(served.tokens),
            prompts.block_digests(text),
            max(1, left),
            service.get("first_token_s", config.DEFAULT_FIRST_TOKEN_S),
            service.get("token_gap_s", config.DEFAULT_TOKEN_GAP_S),
            now - served.arrived,
            served.was_accepted,
            self._board.quarantine.is_suspect(now, served.fingerprint),
            tuple(avoid),
        )
        return await self._planning.plan(target_cell, placement_request)

    async def _wait_or_refuse(
        self, served: exchange.Exchange, reply: messages.PlanReply
    ) -> bool:
        """Refuse an exchange that was never sent to an engine; else wait.

        Returns:
          Whether to plan again.
        """
        if not served.was_sent:
            served.fail(
                _refusal_failure(reply.reason, reply.retry_after_s, served)
            )
            return False
        pause_s = max(REPLAN_PAUSE_S, min(1.0, reply.retry_after_s))
        await periodic.sleep(self._board.clock, pause_s)
        return True

    async def _try(
        self,
        served: exchange.Exchange,
        target_cell: cell.Cell,
        grant: placement.Grant,
    ) -> _TryResult:
        self._run_count += 1
        run_id = (
            f"{served.id}.{self._board.host}.{served.attempt}.{self._run_count}"
        )
        self._live_runs.add(run_id)
        self._board.record_event(
            "exchange.planned",
            served.id,
            prefill=grant.prefill,
            decode=grant.decode,
            start_in_s=round(grant.start_in_s, 3),
        )
        has_started = False
        try:
            if grant.start_in_s > 0:
                await periodic.sleep(self._board.clock, grant.start_in_s)
            began_at = self._board.now()
            try_result = await self._prefill_and_start(
                served, target_cell, grant, run_id
            )
            if try_result is not None:
                return try_result._replace(began_at=began_at)
            has_started = True
        finally:
            if not has_started:
                self._cancel_run(grant.prefill_url, run_id)
                self._cancel_run(grant.decode_url, run_id)
        served.run = exchange.RunRef(run_id, grant.decode, grant.decode_url)
        served.has_started = True
        served.last_active_at = self._board.now()
        followed = await self._follow_run(served, served.run)
        return followed._replace(began_at=began_at)

    def _cancel_run(self, url: str, run_id: str) -> None:
        self._live_runs.discard(run_id)
        self._cancels.cancel(url, run_id)

    async def _prefill_and_start(
        self,
        served: exchange.Exchange,
        target_cell: cell.Cell,
        grant: placement.Grant,
        run_id: str,
    ) -> _TryResult | None:
        """Prefill the prompt and start the decode run.

        Returns:
          The result of a failed try; None once the run has started.
        """
        tokens = prompts.count_tokens(served.request.prompt)
        was_sent = served.was_sent
        served.was_sent = True
        sent_at = self._board.now()
        late_timer = self._board.clock.callLater(
            grant.prefill_s + PREFILL_LATE_AFTER_S,
            self._planning.report_late_prefill,
            target_cell,
            served.id,
        )
        try:
            result = await self._engines(grant.prefill_url).prefill(
                run_id,
                self._board.host,
                served.request.prompt,
                served.route.priority,
                grant.prefill_s * PREFILL_TIMEOUT_FACTOR
                + PREFILL_TIMEOUT_MARGIN_S,
            )
        except (errors.ConnectError, errors.EngineLeavingError) as exc:
            served.was_sent = was_sent
            return _TryResult(exc, grant.prefill, False)
        except errors.EngineError as exc:
            return _TryResult(exc, grant.prefill, True)
        finally:
            if late_timer.active():
                late_timer.cancel()
        ready_at = self._board.now()
        self._board.metrics.record_prefill(tokens - result.cached_tokens)
        order = engine.RunOrder(
            run_id,
            self._board.host,
            served.request.prompt,
            len(served.tokens),
            served.request.max_tokens,
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
            self._board.metrics.record_waste(tokens - result.cached_tokens)
            is_lost = isinstance(exc, errors.EngineLostError)
            return _TryResult(exc, grant.decode, is_lost)
        self._planning.report_start(
            target_cell,
            served.id,
            ready_at - sent_at,
            self._board.now() - ready_at,
        )
        return None

    async def _follow_run(
        self, served: exchange.Exchange, run: exchange.RunRef
    ) -> _TryResult:
        """Read a run to its end, and cancel it if it doesn't complete.

        A run that was handed over isn't cancelled.
        """
        self._live_runs.add(run.run_id)
        try:
            return await self._read_with_reopens(served, run)
        finally:
            if served.is_complete:
                self._live_runs.discard(run.run_id)
            elif not served.is_handed_over:
                self._cancel_run(run.url, run.run_id)

    async def _read_with_reopens(
        self, served: exchange.Exchange, run: exchange.RunRef
    ) -> _TryResult:
        """Read a run's tokens; reopen a stream that fails or stalls."""
        failure: errors.EngineError | None = None
        for _ in range(1 + MAX_STREAM_REOPENS):
            made = len(served.tokens)
            try:
                await self._read(served, run)
                return _TryResult(None, run.worker, True)
            except errors.RunGoneError as exc:
                return _TryResult(exc, run.worker, True)
            except errors.EngineLostError as exc:
                failure = exc
                self._board.record_event(
                    "stream.lost", served.id, worker=run.worker, made=made
                )
        return _TryResult(failure, run.worker, True)

    async def _read(
        self, served: exchange.Exchange, run: exchange.RunRef
    ) -> None:
        gap_s = self._target_gap_s(served)
        timeout_s = max(MIN_PROGRESS_TIMEOUT_S, PROGRESS_TIMEOUT_GAPS * gap_s)
        first = len(served.tokens)
        stream = self._engines(run.url).tokens(run.run_id, first, timeout_s)
        async for token in stream:
            await self._confirm_after_inactivity(served)
            served.add_token(self._board.now(), token.data)
            if len(served.tokens) - first == CLEARED_AFTER_TOKENS:
                self._clear_suspicion(served)
        await self._confirm_after_inactivity(served)
        self._finish(served)

    def _clear_suspicion(self, served: exchange.Exchange) -> None:
        """Clear suspected content that counts as past its crash point."""
        if not self._board.quarantine.is_suspect(
            self._board.now(), served.fingerprint
        ):
            return
        self._on_cleared(served)
        target_cell = self._choose_cell(served)
        if target_cell is not None:
            self._planning.report_cleared(target_cell, served.id)

    async def _confirm_after_inactivity(
        self, served: exchange.Exchange
    ) -> None:
        """Confirm the claim after a period without activity.

        Another host may have taken the exchange over while this process was
        suspended. An exchange without a request id has no claim to confirm.

        Raises:
          errors.SupersededError: Another host serves the exchange.
        """
        was_inactive = (
            self._board.now() - served.last_active_at > CONFIRM_CLAIM_AFTER_S
        )
        if was_inactive and served.request.request_id:
            if not await self._confirm(served):
                raise errors.SupersededError(served.id)
            served.last_active_at = self._board.now()

    def _finish(self, served: exchange.Exchange) -> None:
        first_at = served.first_token_at or self._board.now()
        assert self._board.config is not None
        service = self._board.config.document["services"].get(
            served.request.service
        )
        target_s = config.DEFAULT_FIRST_TOKEN_S
        if service is not None:
            target_s = service.get("first_token_s", target_s)
        wait_s = first_at - served.arrived
        gap_s = served.mean_gap_s()
        good = wait_s <= target_s and gap_s <= self._target_gap_s(served)
        self._board.metrics.record_answer(
            served.request.service, wait_s, gap_s, good
        )
        self._board.record_event(
            "exchange.answered",
            served.id,
            tokens=len(served.tokens),
            first_token_s=round(wait_s, 3),
            gap_s=round(gap_s, 4),
        )
        served.finish()

    def _target_gap_s(self, served: exchange.Exchange) -> float:
        if self._board.config is None:
            return config.DEFAULT_TOKEN_GAP_S
        service = self._board.config.document["services"].get(
            served.request.service
        )
        if service is None:
            return config.DEFAULT_TOKEN_GAP_S
        return service.get("token_gap_s", config.DEFAULT_TOKEN_GAP_S)

    def _record_failure(
        self,
        served: exchange.Exchange,
        target_cell: cell.Cell,
        try_result: _TryResult,
        avoid: list[str],
    ) -> None:
        failure = try_result.failure
        kind = type(failure).__name__
        self._board.metrics.record_retry(kind)
        self._board.record_event(
            "exchange.retried", served.id, worker=try_result.worker, cause=kind
        )
        logs.get().info(
            "exchange_retried",
            exchange=served.id,
            worker=try_result.worker,
            cause=kind,
            message=str(failure),
        )
        is_unreachable = isinstance(
            failure, errors.EngineLostError | errors.ConnectError
        )
        is_stalled = isinstance(failure, errors.EngineStalledError)
        if is_unreachable and try_result.may_have_started and not is_stalled:
            self._on_crash(served, try_result.worker, try_result.began_at)
        if is_unreachable:
            self._planning.report_unreachable(target_cell, try_result.worker)
        if is_unreachable or isinstance(failure, errors.EngineLeavingError):
            avoid.append(try_result.worker)

    def _release_reservation(
        self, served: exchange.Exchange, target_cell: cell.Cell
    ) -> None:
        """Free the reservation unless another host continues the run."""
        if not served.is_handed_over:
            tokens = len(served.tokens) if served.is_complete else 0
            self._planning.release(target_cell, served.id, tokens)


def _refusal_failure(
    reason: str, retry_after_s: float, served: exchange.Exchange
) -> errors.Failure:
    return errors.Failure(
        503,
        reason,
        "the targets can't be met now",
        served.outcome,
        retry_after_s,
    )


def _retries_spent_failure(served: exchange.Exchange) -> errors.Failure:
    return errors.Failure(
        502,
        "retries_spent",
        "no backend server finished the request",
        served.outcome,
        REFUSAL_RETRY_AFTER_S,
    )
