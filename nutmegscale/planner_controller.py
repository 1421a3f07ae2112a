"""Controller of the planners of cells and of the reports of their workers."""

from collections.abc import Callable

from result import Ok

from nutmegscale import blackboard
from nutmegscale import cancel_controller
from nutmegscale import cell
from nutmegscale import engine
from nutmegscale import errors
from nutmegscale import home_controller
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import orphan_controller
from nutmegscale import periodic
from nutmegscale import placement
from nutmegscale import planners
from nutmegscale import rendezvous
from nutmegscale import worker

# How long this host plans for a cell after the last request for it.
ACTIVE_AFTER_REQUEST_S = 5.0
# Failed reports in a row after which a worker counts as unreachable.
FAILURES_TO_UNREACHABLE = 2
# Time without a message of any peer after which this host may be isolated.
ISOLATED_AFTER_S = 3.0
IDLE_REPORT_POLL_PERIOD_S = 2.0
# Timeout of a placement request to one owner, and time after which no further
# owner is asked.
PLAN_CALL_TIMEOUT_S = 0.15
PLAN_TOTAL_TIMEOUT_S = 0.25
NO_CELL_RETRY_AFTER_S = 1.0
NO_CELL = "no_cell"


class _ActiveCell:
    """A cell that this host plans for.

    Attributes:
      planner: Planner of the cell.
      last_requested_at: Monotonic time of the last placement request, or of
        the last poll while this host owns the cell, seconds.
      failures: Failed reports in a row by worker.
      next_poll: Earliest monotonic time of the next poll by worker, seconds.
      workers: Workers that the planner has been given.
      config_revision: Revision of the configuration that it has been given.
    """

    def __init__(self, planner: placement.Planner) -> None:
        self.planner = planner
        self.last_requested_at = 0.0
        self.failures: dict[str, int] = {}
        self.next_poll: dict[str, float] = {}
        self.workers: tuple[worker.Worker, ...] = ()
        self.config_revision = 0


class PlannerController:
    """Plans for the cells that this host owns, and polls their workers.

    Writes `Blackboard.leaving_workers` and `Blackboard.is_isolated`.

    The owner of a cell is the first host in its rendezvous order. Any other
    host that gets a placement request plans as well, since the hosts may
    disagree about the membership for a while. Two planners at once cost only
    goodput: the engines refuse what doesn't fit.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        link: mesh.Mesh,
        engines: Callable[[str], engine.Engine],
        cancels: cancel_controller.CancelController,
        homes: home_controller.HomeController,
        *,
        is_live: Callable[[str], bool],
    ) -> None:
        self._board = board
        self._mesh = link
        self._engines = engines
        self._orphans = orphan_controller.OrphanController(
            board, link, homes, cancels
        )
        self._is_live = is_live
        self._active: dict[str, _ActiveCell] = {}
        self._polls = periodic.Periodic(
            board.clock,
            board.settings["report_poll_s"],
            self._poll,
        )
        link.on(messages.PlanRequest, self._receive_plan)
        self._progress_handlers: dict[type, mesh.Handler] = {
            messages.PrefillOverdue: self._receive_late,
            messages.RunStarted: self._receive_started,
            messages.RunReleased: self._receive_released,
            messages.RunCleared: self._receive_cleared,
            messages.WorkerUnreachable: self._receive_unreachable,
        }
        for kind, handler in self._progress_handlers.items():
            link.on(kind, handler)
        link.on(messages.LiveRunsRequest, self._receive_live)
        link.on(messages.WorkerLeaving, self._receive_leaving)

    def start(self) -> None:
        """Start polling the workers of the active cells."""
        self._polls.start()

    def stop(self) -> None:
        """Stop polling."""
        self._polls.stop()

    def active_cells(self) -> dict[str, placement.Planner]:
        """Return the planners of this host by name of the cell."""
        return {name: active.planner for name, active in self._active.items()}

    def owners(self, target_cell: cell.Cell) -> list[str]:
        """Return the hosts that may plan for a cell, the owner first.

        These are the hosts of the failure domains of the cell that are alive,
        or all that are alive when there are none.
        """
        view = self._board.membership
        alive = view.alive(target_cell.failure_domains, with_suspects=False)
        if not alive:
            alive = view.alive(with_suspects=False)
        return rendezvous.rank(target_cell.name.encode(), alive)

    async def plan(
        self, target_cell: cell.Cell, placement_request: placement.Request
    ) -> messages.PlanReply:
        """Request a placement from the owner of a cell.

        If the owner is unreachable or doesn't know the cell, the next hosts in
        the rendezvous order are asked. This host plans at its own turn, after
        PLAN_TOTAL_TIMEOUT_S, or when no other host is left.
        """
        request = messages.PlanRequest(target_cell.name, placement_request)
        deadline = self._board.now() + PLAN_TOTAL_TIMEOUT_S
        for owner in self.owners(target_cell):
            if owner == self._board.host or self._board.now() >= deadline:
                break
            try:
                reply = await self._mesh.call(
                    owner,
                    request,
                    messages.PlanReply,
                    timeout_s=PLAN_CALL_TIMEOUT_S,
                )
            except errors.PeerError:
                self._board.record_event(
                    "planner.unreachable",
                    placement_request.exchange,
                    owner=owner,
                )
                continue
            # A host that has just started has no cells yet.
            if reply.reason != NO_CELL:
                return reply
        return self._receive_plan(self._board.host, request)

    def report_start(
        self,
        target_cell: cell.Cell,
        exchange: str,
        prefill_s: float,
        transfer_s: float,
    ) -> None:
        """Report the start of a run; see `placement.Planner`."""
        self._notify_planner(
            target_cell,
            messages.RunStarted(
                target_cell.name, exchange, prefill_s, transfer_s
            ),
        )

    def report_late_prefill(
        self, target_cell: cell.Cell, exchange: str
    ) -> None:
        """Report that a prefill is later than predicted."""
        self._notify_planner(
            target_cell, messages.PrefillOverdue(target_cell.name, exchange)
        )

    def release(
        self, target_cell: cell.Cell, exchange: str, tokens: int
    ) -> None:
        """Release the reservation of an exchange."""
        self._notify_planner(
            target_cell,
            messages.RunReleased(target_cell.name, exchange, tokens),
        )

    def report_cleared(self, target_cell: cell.Cell, exchange: str) -> None:
        """Report that the content of a run is no longer suspect."""
        self._notify_planner(
            target_cell, messages.RunCleared(target_cell.name, exchange)
        )

    def report_unreachable(self, target_cell: cell.Cell, name: str) -> None:
        """Report a worker that was unreachable for a request of this host."""
        self._notify_planner(
            target_cell, messages.WorkerUnreachable(target_cell.name, name)
        )

    def _notify_planner(
        self,
        target_cell: cell.Cell,
        message: messages.PrefillOverdue
        | messages.RunStarted
        | messages.RunReleased
        | messages.RunCleared
        | messages.WorkerUnreachable,
    ) -> None:
        owners = self.owners(target_cell)[:1]
        if owners and owners[0] != self._board.host:
            self._mesh.send(owners[0], message)
        # This host may have planned as well while the owner was unreachable.
        self._progress_handlers[type(message)](self._board.host, message)

    def _receive_plan(
        self, sender: str, request: messages.PlanRequest
    ) -> messages.PlanReply:
        active = self._activate(request.cell)
        if active is None:
            return messages.PlanReply(None, NO_CELL, NO_CELL_RETRY_AFTER_S)
        active.last_requested_at = self._board.now()
        result = active.planner.plan(self._board.now(), request.ask)
        if isinstance(result, Ok):
            return messages.PlanReply(result.ok_value, "", 0.0)
        refusal = result.err_value
        return messages.PlanReply(None, refusal.reason, refusal.retry_after_s)

    def _receive_late(
        self, sender: str, message: messages.PrefillOverdue
    ) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.record_late_prefill(
                self._board.now(), message.exchange
            )

    def _receive_started(
        self, sender: str, message: messages.RunStarted
    ) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.record_start(
                self._board.now(),
                message.exchange,
                message.prefill_s,
                message.transfer_s,
            )

    def _receive_released(
        self, sender: str, message: messages.RunReleased
    ) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.release(
                self._board.now(), message.exchange, message.tokens
            )

    def _receive_cleared(
        self, sender: str, message: messages.RunCleared
    ) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.clear_suspect(self._board.now(), message.exchange)

    def _receive_unreachable(
        self, sender: str, message: messages.WorkerUnreachable
    ) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.mark_unreachable(self._board.now(), message.worker)
            active.next_poll[message.worker] = 0.0

    def _receive_live(
        self, sender: str, request: messages.LiveRunsRequest
    ) -> messages.LiveRunsReply:
        live = tuple(run for run in request.run_ids if self._is_live(run))
        return messages.LiveRunsReply(live)

    def _receive_leaving(
        self, sender: str, message: messages.WorkerLeaving
    ) -> None:
        if message.leaving:
            self._board.leaving_workers.add(message.worker)
        else:
            self._board.leaving_workers.discard(message.worker)

    def _find_cell(self, name: str) -> cell.Cell | None:
        service = name.rpartition("@")[0]
        for target_cell in self._board.cells.get(service, []):
            if target_cell.name == name:
                return target_cell
        return None

    def _activate(self, name: str) -> _ActiveCell | None:
        target_cell = self._find_cell(name)
        config = self._board.config
        if target_cell is None or config is None:
            return None
        active = self._active.get(name)
        if active is None:
            policy = config.document["services"][target_cell.service].get(
                "policy", "joint"
            )
            planner = planners.make_planner(
                policy, config.document["objective"]
            )
            active = self._active[name] = _ActiveCell(planner)
        state = (target_cell.workers, config.revision)
        if state != (active.workers, active.config_revision):
            active.workers, active.config_revision = state
            engines = {}
            for member in target_cell.workers:
                profile = config.engine_of(member.pool)
                if profile is not None:
                    engines[member.pool] = profile
            active.planner.set_workers(list(target_cell.workers), engines)
        return active

    async def _poll(self) -> None:
        now = self._board.now()
        for cells in self._board.cells.values():
            for target_cell in cells:
                if self.owners(target_cell)[:1] == [self._board.host]:
                    owned = self._activate(target_cell.name)
                    if owned is not None:
                        owned.last_requested_at = now
        self._update_isolation()
        for name, active in list(self._active.items()):
            is_idle = now - active.last_requested_at > ACTIVE_AFTER_REQUEST_S
            if is_idle or self._activate(name) is None:
                del self._active[name]
                continue
            for polled in active.workers:
                if now >= active.next_poll.get(polled.name, 0.0):
                    active.next_poll[polled.name] = (
                        now + IDLE_REPORT_POLL_PERIOD_S
                    )
                    periodic.spawn(self._poll_worker(active, polled))

    def _update_isolation(self) -> None:
        """Mark this host as isolated while it reaches no peer and no worker.

        A host that knows no peers is never marked.
        """
        has_peers = len(self._board.membership.members()) > 1
        reaches_no_peer = (
            has_peers
            and self._mesh.time_since_last_message_s > ISOLATED_AFTER_S
        )
        reaches_worker = any(
            active.failures.get(w.name, 0) < FAILURES_TO_UNREACHABLE
            for active in self._active.values()
            for w in active.workers
        )
        is_isolated = reaches_no_peer and not reaches_worker
        if is_isolated != self._board.is_isolated:
            self._board.is_isolated = is_isolated
            self._board.record_event("host.isolated", isolated=is_isolated)

    async def _poll_worker(
        self, active: _ActiveCell, polled: worker.Worker
    ) -> None:
        try:
            last = active.planner.last_cache_event(polled.name)
            report = await self._engines(polled.address).report(last)
        except errors.EngineError:
            failures = active.failures.get(polled.name, 0) + 1
            active.failures[polled.name] = failures
            active.next_poll[polled.name] = 0.0
            if failures >= FAILURES_TO_UNREACHABLE:
                active.planner.mark_unreachable(self._board.now(), polled.name)
            if failures == FAILURES_TO_UNREACHABLE:
                self._board.record_event("worker.lost", worker=polled.name)
            return
        active.failures[polled.name] = 0
        if report.running or report.leaving:
            active.next_poll[polled.name] = 0.0
        active.planner.observe(self._board.now(), polled.name, report)
        self._broadcast_leaving(polled.name, report.leaving)
        if report.running:
            await self._orphans.check(polled, report)

    def _broadcast_leaving(self, name: str, leaving: bool) -> None:
        """Send the leaving state of a worker to every host.

        While the worker is leaving, this is repeated with each report.
        """
        was_leaving = name in self._board.leaving_workers
        if not leaving and not was_leaving:
            return
        if leaving and not was_leaving:
            self._board.record_event("worker.leaving", worker=name)
        message = messages.WorkerLeaving(name, leaving)
        self._receive_leaving(self._board.host, message)
        for host in self._board.membership.alive():
            if host != self._board.host:
                self._mesh.send(host, message)
