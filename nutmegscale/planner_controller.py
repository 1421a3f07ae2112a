"""Controller of the planners of cells, and of what their workers report."""

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

ACTIVE_AFTER_REQUEST_S = 5.0
FAILURES_TO_UNREACHABLE = 2
ISOLATED_AFTER_S = 3.0
IDLE_REPORT_POLL_PERIOD_S = 2.0
PLAN_CALL_TIMEOUT_S = 0.15
PLAN_TOTAL_TIMEOUT_S = 0.25
NO_CELL_RETRY_AFTER_S = 1.0
NO_CELL = "no_cell"


class _ActiveCell:
    """A cell that this host plans for."""

    def __init__(self, planner: placement.Planner) -> None:
        self.planner = planner
        self.last_requested_at = 0.0
        self.failures: dict[str, int] = {}
        self.next_poll: dict[str, float] = {}
        self.workers: tuple[worker.Worker, ...] = ()
        self.config_revision = 0


class PlannerController:
    """Writes `Blackboard.leaving_workers`; plans for the cells it owns.

    The owner of a cell is the first host in its rendezvous order. Any host
    that is asked plans as well, since views of the hosts differ at times:
    two planners cost goodput, and the engines refuse what doesn't fit.
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
            messages.PrefillLate: self._receive_late,
            messages.RunStarted: self._receive_started,
            messages.RunReleased: self._receive_released,
            messages.RunCleared: self._receive_cleared,
            messages.WorkerLost: self._receive_lost,
        }
        for kind, handler in self._progress_handlers.items():
            link.on(kind, handler)
        link.on(messages.LiveRequest, self._receive_live)
        link.on(messages.WorkerLeaving, self._receive_leaving)

    def start(self) -> None:
        """Start to poll the workers of owned cells."""
        self._polls.start()

    def stop(self) -> None:
        """Stop to poll."""
        self._polls.stop()

    def active_cells(self) -> dict[str, placement.Planner]:
        """Return the planners of this host by cell."""
        return {name: active.planner for name, active in self._active.items()}

    def owners(self, place: cell.Cell) -> list[str]:
        """Return the hosts that may plan for a cell, the owner first."""
        view = self._board.membership
        alive = view.alive(place.failure_domains, with_suspects=False)
        if not alive:
            alive = view.alive(with_suspects=False)
        return rendezvous.rank(place.name.encode(), alive)

    async def plan(
        self, place: cell.Cell, ask: placement.Ask
    ) -> messages.PlanReply:
        """Ask the owner of a cell for a placement; plan here if it is gone."""
        request = messages.PlanRequest(place.name, ask)
        deadline = self._board.now() + PLAN_TOTAL_TIMEOUT_S
        for owner in self.owners(place):
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
                    "planner.unreachable", ask.exchange, owner=owner
                )
                continue
            # A host that has just started doesn't know its cells yet.
            if reply.reason != NO_CELL:
                return reply
        return self._receive_plan(self._board.host, request)

    def started(
        self,
        place: cell.Cell,
        exchange: str,
        prefill_s: float,
        transfer_s: float,
    ) -> None:
        """Tell the planner that a run started; see `placement.Planner`."""
        self._notify_planner(
            place,
            messages.RunStarted(place.name, exchange, prefill_s, transfer_s),
        )

    def prefill_late(self, place: cell.Cell, exchange: str) -> None:
        """Tell the planner that a prefill isn't done in time."""
        self._notify_planner(place, messages.PrefillLate(place.name, exchange))

    def release(self, place: cell.Cell, exchange: str, tokens: int) -> None:
        """Tell the planner that an exchange holds nothing any more."""
        self._notify_planner(
            place, messages.RunReleased(place.name, exchange, tokens)
        )

    def cleared(self, place: cell.Cell, exchange: str) -> None:
        """Tell the planner that a run is a suspect no longer."""
        self._notify_planner(place, messages.RunCleared(place.name, exchange))

    def report_unreachable(self, place: cell.Cell, name: str) -> None:
        """Tell the planner that a worker failed a request of this host."""
        self._notify_planner(place, messages.WorkerLost(place.name, name))

    def _notify_planner(
        self,
        place: cell.Cell,
        message: messages.PrefillLate
        | messages.RunStarted
        | messages.RunReleased
        | messages.RunCleared
        | messages.WorkerLost,
    ) -> None:
        owners = self.owners(place)[:1]
        if owners and owners[0] != self._board.host:
            self._mesh.send(owners[0], message)
        # This host may have planned as well while the owner was out of reach.
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

    def _receive_late(self, sender: str, message: messages.PrefillLate) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.prefill_late(self._board.now(), message.exchange)

    def _receive_started(
        self, sender: str, message: messages.RunStarted
    ) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.started(
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
            active.planner.cleared(self._board.now(), message.exchange)

    def _receive_lost(self, sender: str, message: messages.WorkerLost) -> None:
        active = self._active.get(message.cell)
        if active is not None:
            active.planner.lost(self._board.now(), message.worker)
            active.next_poll[message.worker] = 0.0

    def _receive_live(
        self, sender: str, request: messages.LiveRequest
    ) -> messages.LiveReply:
        live = tuple(run for run in request.run_ids if self._is_live(run))
        return messages.LiveReply(live)

    def _receive_leaving(
        self, sender: str, message: messages.WorkerLeaving
    ) -> None:
        if message.leaving:
            self._board.leaving_workers.add(message.worker)
        else:
            self._board.leaving_workers.discard(message.worker)

    def _find_cell(self, name: str) -> cell.Cell | None:
        service = name.rpartition("@")[0]
        for place in self._board.cells.get(service, []):
            if place.name == name:
                return place
        return None

    def _activate(self, name: str) -> _ActiveCell | None:
        place = self._find_cell(name)
        config = self._board.config
        if place is None or config is None:
            return None
        active = self._active.get(name)
        if active is None:
            policy = config.document["services"][place.service].get(
                "policy", "joint"
            )
            planner = planners.make_planner(
                policy, config.document["objective"]
            )
            active = self._active[name] = _ActiveCell(planner)
        state = (place.workers, config.revision)
        if state != (active.workers, active.config_revision):
            active.workers, active.config_revision = state
            engines = {}
            for w in place.workers:
                profile = config.engine_of(w.pool)
                if profile is not None:
                    engines[w.pool] = profile
            active.planner.set_workers(list(place.workers), engines)
        return active

    async def _poll(self) -> None:
        now = self._board.now()
        for places in self._board.cells.values():
            for place in places:
                if self.owners(place)[:1] == [self._board.host]:
                    owned = self._activate(place.name)
                    if owned is not None:
                        owned.last_requested_at = now
        self._update_isolation()
        for name, active in list(self._active.items()):
            is_idle = now - active.last_requested_at > ACTIVE_AFTER_REQUEST_S
            if is_idle or self._activate(name) is None:
                del self._active[name]
                continue
            for w in active.workers:
                if now >= active.next_poll.get(w.name, 0.0):
                    active.next_poll[w.name] = now + IDLE_REPORT_POLL_PERIOD_S
                    periodic.spawn(self._poll_worker(active, w))

    def _update_isolation(self) -> None:
        """Say that this host isn't ready while it reaches nothing."""
        has_peers = len(self._board.membership.members()) > 1
        is_alone = has_peers and self._mesh.silence_s > ISOLATED_AFTER_S
        reaches_worker = any(
            active.failures.get(w.name, 0) < FAILURES_TO_UNREACHABLE
            for active in self._active.values()
            for w in active.workers
        )
        is_isolated = is_alone and not reaches_worker
        if is_isolated != self._board.is_isolated:
            self._board.is_isolated = is_isolated
            self._board.record_event("host.isolated", isolated=is_isolated)

    async def _poll_worker(self, active: _ActiveCell, w: worker.Worker) -> None:
        try:
            last = active.planner.last_cache_event(w.name)
            report = await self._engines(w.address).report(last)
        except errors.EngineError:
            failures = active.failures.get(w.name, 0) + 1
            active.failures[w.name] = failures
            active.next_poll[w.name] = 0.0
            if failures >= FAILURES_TO_UNREACHABLE:
                active.planner.lost(self._board.now(), w.name)
            if failures == FAILURES_TO_UNREACHABLE:
                self._board.record_event("worker.lost", worker=w.name)
            return
        active.failures[w.name] = 0
        if report.running or report.leaving:
            active.next_poll[w.name] = 0.0
        active.planner.observe(self._board.now(), w.name, report)
        self._broadcast_leaving(w.name, report.leaving)
        if report.running:
            await self._orphans.check(w, report)

    def _broadcast_leaving(self, name: str, leaving: bool) -> None:
        """Tell every host of a worker that is leaving, until it is gone."""
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
