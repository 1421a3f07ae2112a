"""Orders prefill workers to the decode stage, under a control lease."""

from collections.abc import Callable

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import errors
from nutmegscale import lease
from nutmegscale import logs
from nutmegscale import periodic
from nutmegscale import routing_board
from nutmegscale import server_calls
from nutmegscale import slot_controller
from nutmegscale import stage_plan
from nutmegscale import upstream_call

PERIOD_S = 0.5
ORDER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 65_536
# How long planning pauses a worker after an order, unless its entry shows the
# new stage earlier, seconds. The worker drains its runs first; the move itself
# takes 6 s.
MOVE_TIMEOUT_S = 10.0
# Entries must have been unchanged for this long, seconds, so that no worker is
# moved while others are still starting or leaving one after the other.
STABLE_S = 1.0
# How long to wait for a worker that was removed undrained, seconds. It may
# return: a crash lasts up to 5 s, and its entry lapses 3.6 s after its last
# heartbeat.
RESTART_WAIT_S = 3.0
LEASE_DURATION_S = 6.0
ACCEPTED_STATUSES = (200, 202)


class StageController:
    """Orders stage moves for the services that this host plans for."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        slots: slot_controller.SlotController,
        calls: server_calls.ServerCalls,
        codec: caller_request.ServerCodec,
        table: lease.LeaseTable,
        *,
        boot_now: Callable[[], float],
        era_known_s: Callable[[int], float],
    ) -> None:
        self._board = board
        self._slots = slots
        self._calls = calls
        self._codec = codec
        self._table = table
        self._boot_now = boot_now
        self._era_known_s = era_known_s
        self._leases: dict[str, lease.Lease] = {}
        self._moving_until: dict[str, float] = {}
        self._last_change: tuple[int, float] = (-1, 0.0)
        self._period = periodic.Periodic(board.clock, PERIOD_S, self._tick)

    def start(self) -> None:
        """Start looking for workers to move."""
        self._period.start()

    def stop(self) -> None:
        """Stop giving orders."""
        self._period.stop()

    async def _tick(self) -> None:
        config = self._board.config
        if config is None or self._board.is_draining:
            return
        now = self._board.now()
        version = self._board.backends.version
        if version != self._last_change[0]:
            self._last_change = (version, now)
        if now - self._last_change[1] < STABLE_S:
            return
        for service in config.services.values():
            if service.engine is None:
                continue
            if self._slots.planner_of(service.name) == self._board.host:
                await self._balance(service.name)

    async def _balance(self, service: str) -> None:
        now = self._board.now()
        workers = self._board.backends.usable(service)
        if any(self._moving_until.get(w.key, 0.0) > now for w in workers):
            return
        if any(self._slots.planner.is_paused(service, w.id) for w in workers):
            return
        if self._board.backends.count_removed_undrained(
            service, now - RESTART_WAIT_S
        ):
            return
        costs = self._slots.planner.costs(service)
        chosen = stage_plan.choose_move(workers, costs)
        if chosen is None:
            return
        control = self._lease(service)
        if await control.maintain() is None:
            return
        # Read again: the lease may have expired during the call to the store.
        fence = control.fence
        if fence is not None:
            await self._send_order(service, chosen, fence)

    def _end_move(self, service: str, worker: backend.Backend) -> None:
        """Plan with a worker again that doesn't carry out an order."""
        self._moving_until.pop(worker.key, None)
        self._slots.planner.pause_worker(service, worker.id, self._board.now())

    def _lease(self, service: str) -> lease.Lease:
        found = self._leases.get(service)
        if found is None:
            found = self._leases[service] = lease.Lease(
                self._table,
                f"stages/{service}",
                self._board.host,
                now=self._boot_now,
                duration_s=LEASE_DURATION_S,
                era_known_s=self._era_known_s,
            )
        return found

    async def _send_order(
        self, service: str, worker: backend.Backend, fence: int
    ) -> None:
        until = self._board.now() + MOVE_TIMEOUT_S
        self._moving_until[worker.key] = until
        self._slots.planner.pause_worker(service, worker.id, until)
        request = self._codec.set_stage(
            worker, "decode", holder=self._board.host, fence=fence
        )
        status = 0
        why = ""
        call: upstream_call.Call | None = None
        try:
            call = await self._calls.send(worker, request)
            head = await call.head(ORDER_TIMEOUT_S)
            await call.body(ORDER_TIMEOUT_S, MAX_ANSWER_BYTES)
            status = head.status
        except errors.NotSentError as exc:
            why = str(exc)
            self._end_move(service, worker)
        except errors.TransportError as exc:
            why = str(exc)
        finally:
            if call is not None:
                call.abort()
        # Without an answer the pause stays: the worker may have received the
        # order.
        if status and status not in ACCEPTED_STATUSES:
            self._end_move(service, worker)
        logs.get().info(
            "stage_ordered",
            service=service,
            backend=worker.id,
            stage="decode",
            fence=fence,
            status=status,
            why=why,
        )
