"""This host as the planner of services: who gets which decode slot."""

from collections.abc import Callable

from nutmegscale import logs
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import planner_view
from nutmegscale import routing_board
from nutmegscale import slot_queue
from nutmegscale import slot_types
from nutmegscale import stage_plan

# Period of the planner's own look at its queue, seconds.
PUMP_PERIOD_S = 0.05
# How long a new planner waits for the hosts' lists before it gives out slots,
# seconds: some trips between failure domains, and what a slow host takes.
TAKE_OVER_S = 0.1


class SlotPlanner:
    """Gives out slots of the services that this host plans for."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        view: planner_view.PlannerView,
        *,
        deliver_own: Callable[[messages.SlotReply], None],
    ) -> None:
        self._board = board
        self._mesh = link
        self._view = view
        self._deliver_own = deliver_own
        self._desks: dict[str, slot_queue.SlotQueue] = {}
        self._desk_states: dict[str, tuple[int, int]] = {}
        self._pumps = periodic.Periodic(board.clock, PUMP_PERIOD_S, self._pump)
        link.on(messages.SlotRequest, self._receive_ask)
        link.on(messages.SlotUpdate, self.take_news)
        link.on(messages.SlotList, self.take_list)

    def start(self) -> None:
        """Start to look at the queues."""
        self._pumps.start()

    def stop(self) -> None:
        """Stop."""
        self._pumps.stop()

    def is_lost(self, service: str, worker: str) -> bool:
        """Whether a worker can't be reached, as far as this host plans."""
        return self._desk(service).is_paused(self._board.now(), worker)

    def leave_out(self, service: str, worker: str, until: float) -> None:
        """Plan without a worker until a time."""
        self._desk(service).pause_worker(worker, until)

    def costs(self, service: str) -> stage_plan.StageCosts:
        """Return what a request costs the workers of a service."""
        return self._desk(service).costs()

    def _desk(self, service: str) -> slot_queue.SlotQueue:
        desk = self._desks.get(service)
        if desk is None:
            desk = self._desks[service] = slot_queue.SlotQueue()
            self._ask_for_lists(service, desk)
        config = self._board.config
        version = config.version if config else 0
        state = (self._board.backends.version, version)
        if self._desk_states.get(service) != state:
            self._desk_states[service] = state
            spec = config.services.get(service) if config else None
            kv_tokens = spec.engine.kv_tokens if spec and spec.engine else 0
            desk.set_workers(
                self._board.backends.usable(service), kv_tokens=kv_tokens
            )
        return desk

    def _ask_for_lists(self, service: str, desk: slot_queue.SlotQueue) -> None:
        """Ask all hosts what they hold, those that are leaving included.

        Hosts whose view differs would send their lists to another planner.
        """
        others = [
            member.host
            for member in self._board.membership.members()
            if member.host != self._board.host
            and member.state != membership.State.DEAD
        ]
        for host in others:
            self._mesh.send(host, messages.SlotListRequest(service))
        if others:
            desk.hold_grants_until(self._board.now() + TAKE_OVER_S)

    def _receive_ask(
        self, sender: str, ask: messages.SlotRequest
    ) -> messages.SlotReply:
        now = self._board.now()
        planner = self._view.planner_of(ask.service)
        if planner != self._board.host and sender != self._board.host:
            return messages.SlotReply(ask.exchange, "moved", planner=planner)
        decisions = self._desk(ask.service).submit(
            now,
            slot_types.SlotRequest(
                exchange=ask.exchange,
                host=sender,
                prompt_tokens=ask.prompt_tokens,
                expected_tokens=ask.expected_tokens,
                priority=ask.priority,
                requested_at=now - ask.waited_s,
                in_time_by=now + ask.in_time_s,
                give_up_at=now + ask.patience_s,
                avoid=ask.avoid,
                local_prefill=ask.reads_itself,
                content=ask.content,
            ),
        )
        answer = messages.SlotReply(ask.exchange, "queued")
        for decision in decisions:
            if decision.exchange == ask.exchange:
                answer = _reply(decision)
                self._log(decision)
            else:
                self._deliver(decision)
        return answer

    def _deliver(self, decision: slot_types.Decision) -> None:
        reply = _reply(decision)
        self._log(decision)
        if decision.host == self._board.host:
            self._deliver_own(reply)
        else:
            self._mesh.send(decision.host, reply)

    def _log(self, decision: slot_types.Decision) -> None:
        """Write what this host decided as a planner."""
        if isinstance(decision, slot_types.Grant):
            logs.get().info(
                "slot_given",
                request=decision.exchange,
                asker=decision.host,
                decode=decision.decode,
                prefill=decision.prefill,
                expected_prefill_ms=round(decision.prefill_s * 1000, 1),
            )
        else:
            logs.get().info(
                "slot_refused",
                request=decision.exchange,
                asker=decision.host,
                reason=decision.reason,
                retry_after_s=round(decision.retry_after_s, 3),
                waiting=decision.waiting,
                held=decision.held,
                rate=decision.rate,
            )

    def take_news(self, sender: str, news: messages.SlotUpdate) -> None:
        """Take in what became of a grant."""
        desk = self._desks.get(news.service)
        if desk is None:
            return
        now = self._board.now()
        if news.kind == "prefilled":
            desk.record_prefill(now, news.exchange, news.took_s)
        elif news.kind == "lost":
            desk.record_unreachable(now, news.worker)
        else:
            desk.record_run(news.worker, news.tokens, news.events, news.took_s)
            desk.release(news.exchange)
            self._pump_desk(news.service, now)

    def take_list(self, sender: str, message: messages.SlotList) -> None:
        """Take in what a host holds."""
        is_planner = self._view.is_own(message.service)
        if message.service not in self._desks and not is_planner:
            return
        now = self._board.now()
        held = [
            slot_types.HeldSlot(
                exchange, sender, decode, "", prompt, expected, now - age, now
            )
            for exchange, decode, prompt, expected, age in message.held
        ]
        self._desk(message.service).confirm(now, sender, held)

    def _pump_desk(self, service: str, now: float) -> None:
        for decision in self._desk(service).dispatch(now):
            self._deliver(decision)

    def _drop_desks(self) -> None:
        """Forget the slots of services that another host plans for now."""
        for service in list(self._desks):
            if not self._view.is_own(service):
                # Those that wait here ask the other host within a moment.
                del self._desks[service]
                self._desk_states.pop(service, None)

    async def _pump(self) -> None:
        now = self._board.now()
        self._drop_desks()
        for service, desk in list(self._desks.items()):
            if desk.waiting:
                self._pump_desk(service, now)


def _reply(decision: slot_types.Decision) -> messages.SlotReply:
    if isinstance(decision, slot_types.Grant):
        return messages.SlotReply(
            decision.exchange,
            "granted",
            prefill=decision.prefill,
            decode=decision.decode,
            prefill_s=decision.prefill_s,
        )
    return messages.SlotReply(
        decision.exchange,
        "refused",
        retry_after_s=decision.retry_after_s,
        reason=decision.reason,
    )
