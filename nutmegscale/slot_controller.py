"""Slots of decode workers: this host as planner, and as one that asks.

One host plans for each service: the first by rendezvous hashing among the
hosts that this host holds for alive. Two hosts may both plan for a while;
that costs goodput only, since the engines have the last word.
"""

from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import rendezvous
from nutmegscale import routing_board
from nutmegscale import slot_queue
from nutmegscale import stage_plan

# How long a planner may take for an answer, seconds: some trips between
# failure domains, and what a slow host takes.
ASK_TIMEOUT_S = 0.25
# A queued stream asks again after that, in case the decision was lost, s.
ASK_AGAIN_S = 0.4
# Period of the planner's own look at its queue, seconds.
PUMP_PERIOD_S = 0.05
LIST_PERIOD_S = 0.5
# How long a new planner waits for the hosts' lists before it gives out slots,
# seconds: some trips between failure domains, and what a slow host takes.
TAKE_OVER_S = 0.1
# How long the word of a host that another one plans is believed, seconds: a
# few periods of the membership's probes.
MOVED_LIFE_S = 2.0
# Pause between two looks for a slot while no planner answers, seconds.
ALONE_POLL_S = 0.05


class Want(NamedTuple):
    """A stream that wants a slot; times are of this host's clock.

    Attributes:
      service: Service that it goes to.
      exchange: Name of the request at this host.
      prompt_tokens: Length of the prompt.
      expected_tokens: Expected length of the answer.
      priority: Rank, 0 first.
      waited_s: How long its caller had waited before it came here.
      in_time_by: Time until which its first event is on time.
      give_up_at: Time after which a first event reaches nobody.
      avoid: Ids of workers that must not be used.
      reads_itself: Whether the decode worker shall read the prompt.
    """

    service: str
    exchange: str
    prompt_tokens: int
    expected_tokens: int
    priority: int
    waited_s: float
    in_time_by: float
    give_up_at: float
    avoid: tuple[str, ...] = ()
    reads_itself: bool = False


class _Own(NamedTuple):
    """A slot that this host holds."""

    service: str
    decode: str
    prompt_tokens: int
    expected_tokens: int
    since: float


class _Waiter(NamedTuple):
    """A stream that waits for the decision of a planner."""

    planner: str
    decision: "defer.Deferred[messages.SlotReply]"


class SlotController:
    """Asks for slots, and gives them out where this host is the planner."""

    def __init__(
        self, board: routing_board.RoutingBoard, link: mesh.Mesh
    ) -> None:
        self._board = board
        self._mesh = link
        self._desks: dict[str, slot_queue.SlotQueue] = {}
        self._desk_states: dict[str, tuple[int, int]] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._own: dict[str, _Own] = {}
        self._lists_version = 0
        self._moved: dict[str, tuple[str, float]] = {}
        self._pumps = periodic.Periodic(board.clock, PUMP_PERIOD_S, self._pump)
        self._lists = periodic.Periodic(
            board.clock, LIST_PERIOD_S, self._send_lists
        )
        link.on(messages.SlotAsk, self._receive_ask)
        link.on(messages.SlotReply, self._receive_reply)
        link.on(messages.SlotNews, self._receive_news)
        link.on(messages.SlotList, self._receive_list)
        link.on(messages.SlotListRequest, self._receive_list_request)

    def start(self) -> None:
        """Start to plan and to tell the planners what this host holds."""
        self._pumps.start()
        self._lists.start()

    def stop(self) -> None:
        """Stop."""
        self._pumps.stop()
        self._lists.stop()

    def planner_of(self, service: str) -> str:
        """Return the host that plans for a service, as seen from here.

        What the host that was held for the planner has just said goes before
        the own view: a host that has just started knows little of the others.
        """
        moved = self._moved.get(service)
        if moved is not None and self._board.now() < moved[1]:
            return moved[0]
        alive = self._board.membership.alive()
        return rendezvous.best(service.encode(), alive) or self._board.host

    def is_lost(self, service: str, worker: str) -> bool:
        """Whether a worker can't be reached, as far as this host plans."""
        return self._desk(service).is_lost(self._board.now(), worker)

    def leave_out(self, service: str, worker: str, until: float) -> None:
        """Plan without a worker until a time."""
        self._desk(service).leave_out(worker, until)

    def costs(self, service: str) -> stage_plan.StageCosts:
        """Return what a request costs the workers of a service."""
        return self._desk(service).costs()

    async def acquire(self, want: Want) -> messages.SlotReply:
        """Wait for a slot.

        Returns:
          A grant or a refusal.
        """
        reply = await self._acquire(want)
        if reply.state == "granted":
            self._own[want.exchange] = _Own(
                want.service,
                reply.decode,
                want.prompt_tokens,
                want.expected_tokens,
                self._board.now(),
            )
        return reply

    async def _acquire(self, want: Want) -> messages.SlotReply:
        try:
            while True:
                planner = self.planner_of(want.service)
                try:
                    reply = await self._ask(planner, want)
                except errors.PeerError as exc:
                    logs.get().warning(
                        "planner_silent",
                        request=want.exchange,
                        planner=planner,
                        message=str(exc),
                    )
                    return await self._plan_alone(want)
                if reply.state == "moved":
                    self._note_moved(want, planner, reply.planner)
                    continue
                if reply.state != "queued":
                    return reply
                decided = await self._wait_decision(want.exchange, planner)
                if decided is not None:
                    return decided
        except defer.CancelledError:
            self.tell(want.service, want.exchange, "ended")
            raise

    def _note_moved(self, want: Want, planner: str, other: str) -> None:
        """Follow to another planner, or use the own view if that fails."""
        moved = self._moved.get(want.service)
        logs.get().info(
            "planner_moved", request=want.exchange, planner=planner, to=other
        )
        is_loop = moved is not None and moved[0] == planner
        until = self._board.now() + MOVED_LIFE_S
        self._moved[want.service] = (
            self._board.host if is_loop else other,
            until,
        )

    async def _ask(self, planner: str, want: Want) -> messages.SlotReply:
        now = self._board.now()
        ask = messages.SlotAsk(
            want.service,
            want.exchange,
            want.prompt_tokens,
            want.expected_tokens,
            want.priority,
            want.waited_s,
            want.in_time_by - now,
            want.give_up_at - now,
            want.avoid,
            want.reads_itself,
        )
        return await self._mesh.call(
            planner, ask, messages.SlotReply, timeout_s=ASK_TIMEOUT_S
        )

    async def _wait_decision(
        self, exchange: str, planner: str
    ) -> messages.SlotReply | None:
        """Wait for a decision of the planner, None when it is time to ask."""
        waiter: defer.Deferred[messages.SlotReply] = defer.Deferred()
        self._waiters[exchange] = _Waiter(planner, waiter)
        waiter.addTimeout(ASK_AGAIN_S, self._board.clock)
        try:
            return await waiter
        except (defer.TimeoutError, TimeoutError):
            return None
        finally:
            del self._waiters[exchange]

    async def _plan_alone(self, want: Want) -> messages.SlotReply:
        """Use this host's share of the slots while no planner answers."""
        while True:
            now = self._board.now()
            reply = self._take_alone(now, want)
            if reply is not None:
                return reply
            if now > want.give_up_at - slot_queue.FIRST_EVENT_OVERHEAD_S:
                return messages.SlotReply(
                    want.exchange,
                    "refused",
                    retry_after_s=1.0,
                    reason="no_planner",
                )
            await periodic.sleep(self._board.clock, ALONE_POLL_S)

    def _take_alone(self, now: float, want: Want) -> messages.SlotReply | None:
        """Choose workers for a stream by what this host alone knows.

        Workers of the own failure domain go first: a planner that is silent
        is often on the other side of a cut.
        """
        workers = self._board.backends.usable(want.service)
        own = self._board.failure_domain
        near = [w for w in workers if w.failure_domain == own]
        far = [w for w in workers if w.failure_domain != own]
        hosts = self._board.membership.alive()
        peers = self._board.membership.alive([own])
        decode = self._choose_alone(now, want, near, "decode", len(peers))
        if decode is None:
            decode = self._choose_alone(now, want, far, "decode", len(hosts))
        if decode is None:
            return None
        prefill: backend.Backend | None = None
        if not want.reads_itself:
            prefill = self._choose_alone(now, want, near, "prefill", 1)
            if prefill is None and decode.failure_domain != own:
                prefill = self._choose_alone(now, want, far, "prefill", 1)
        return messages.SlotReply(
            want.exchange,
            "granted",
            prefill=prefill.id if prefill else "",
            decode=decode.id,
        )

    def _choose_alone(
        self,
        now: float,
        want: Want,
        workers: list[backend.Backend],
        stage: str,
        sharers: int,
    ) -> backend.Backend | None:
        """Choose a worker of a stage on which this host's share has room."""
        loads = self._board.loads
        share = [
            w
            for w in workers
            if w.stage == stage
            and loads.outstanding(w) < max(1, w.slots // max(1, sharers))
        ]
        return loads.choose(
            now,
            tuple(share),
            self._board.failure_domain,
            avoid=frozenset(want.avoid),
        )

    def tell(
        self,
        service: str,
        exchange: str,
        kind: str,
        *,
        worker: str = "",
        tokens: int = 0,
        took_s: float = 0.0,
    ) -> None:
        """Tell the planner what became of a grant; see `messages.SlotNews`."""
        if kind == "ended":
            self._own.pop(exchange, None)
        news = messages.SlotNews(
            service, exchange, kind, worker, tokens, took_s
        )
        planner = self.planner_of(service)
        if planner == self._board.host:
            self._receive_news(planner, news)
        else:
            self._mesh.send(planner, news)

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
            desk.open_at(self._board.now() + TAKE_OVER_S)

    def _receive_list_request(
        self, sender: str, request: messages.SlotListRequest
    ) -> None:
        self._mesh.send(sender, self._list_of(request.service))

    def _list_of(self, service: str) -> messages.SlotList:
        now = self._board.now()
        return messages.SlotList(
            service,
            tuple(
                (
                    exchange,
                    own.decode,
                    own.prompt_tokens,
                    own.expected_tokens,
                    now - own.since,
                )
                for exchange, own in self._own.items()
                if own.service == service
            ),
        )

    def _receive_ask(
        self, sender: str, ask: messages.SlotAsk
    ) -> messages.SlotReply:
        now = self._board.now()
        planner = self.planner_of(ask.service)
        if planner != self._board.host and sender != self._board.host:
            return messages.SlotReply(ask.exchange, "moved", planner=planner)
        decisions = self._desk(ask.service).submit(
            now,
            slot_queue.Ask(
                exchange=ask.exchange,
                host=sender,
                prompt_tokens=ask.prompt_tokens,
                expected_tokens=ask.expected_tokens,
                priority=ask.priority,
                asked_at=now - ask.waited_s,
                in_time_by=now + ask.in_time_s,
                give_up_at=now + ask.patience_s,
                avoid=ask.avoid,
                reads_itself=ask.reads_itself,
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

    def _deliver(self, decision: slot_queue.Decision) -> None:
        reply = _reply(decision)
        self._log(decision)
        if decision.host == self._board.host:
            self._receive_reply(decision.host, reply)
        else:
            self._mesh.send(decision.host, reply)

    def _log(self, decision: slot_queue.Decision) -> None:
        """Write what this host decided as a planner."""
        if isinstance(decision, slot_queue.Grant):
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

    def _receive_reply(self, sender: str, reply: messages.SlotReply) -> None:
        waiting = self._waiters.get(reply.exchange)
        if waiting is None or waiting.planner != sender:
            # Of a host that planned before; the slot lapses there.
            return
        if not waiting.decision.called:
            waiting.decision.callback(reply)

    def _receive_news(self, sender: str, news: messages.SlotNews) -> None:
        desk = self._desks.get(news.service)
        if desk is None:
            return
        now = self._board.now()
        if news.kind == "prefilled":
            desk.prefilled(now, news.exchange, news.took_s)
        elif news.kind == "lost":
            desk.lost(now, news.worker)
        else:
            desk.ran(news.worker, news.tokens, news.took_s)
            desk.release(news.exchange)
            self._pump_desk(news.service, now)

    def _receive_list(self, sender: str, message: messages.SlotList) -> None:
        is_planner = self.planner_of(message.service) == self._board.host
        if message.service not in self._desks and not is_planner:
            return
        now = self._board.now()
        held = [
            slot_queue.Held(
                exchange, sender, decode, "", prompt, expected, now - age, now
            )
            for exchange, decode, prompt, expected, age in message.held
        ]
        self._desk(message.service).confirm(now, sender, held)

    def _pump_desk(self, service: str, now: float) -> None:
        for decision in self._desk(service).pump(now):
            self._deliver(decision)

    def _drop_desks(self) -> None:
        """Forget the slots of services that another host plans for now."""
        for service in list(self._desks):
            if self.planner_of(service) != self._board.host:
                # Those that wait here ask the other host within a moment.
                del self._desks[service]
                self._desk_states.pop(service, None)

    async def _pump(self) -> None:
        now = self._board.now()
        version = self._board.membership.version
        if version != self._lists_version:
            # Another host may plan now: it must know what is held at once.
            self._lists_version = version
            await self._send_lists()
        self._drop_desks()
        for service, desk in list(self._desks.items()):
            if desk.waiting:
                self._pump_desk(service, now)

    async def _send_lists(self) -> None:
        """Tell each planner what this host holds."""
        self._drop_desks()
        for service in {own.service for own in self._own.values()}:
            planner = self.planner_of(service)
            if planner == self._board.host:
                self._receive_list(planner, self._list_of(service))
            else:
                self._mesh.send(planner, self._list_of(service))


def _reply(decision: slot_queue.Decision) -> messages.SlotReply:
    if isinstance(decision, slot_queue.Grant):
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
