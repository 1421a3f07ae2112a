"""Requests decode slots from the planners and reports what this host holds."""

from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import limit_controller
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import named_planners
from nutmegscale import peer_watch
from nutmegscale import periodic
from nutmegscale import planned_limits
from nutmegscale import planner_view
from nutmegscale import routing_board
from nutmegscale import slot_planner

# Longest wait for a planner's reply, seconds: a few round trips between failure
# domains. A planner that takes longer is asked again if it answers a ping.
REQUEST_TIMEOUT_S = 0.12
# A queued stream repeats its request after this time, seconds, in case the
# decision was lost.
REQUEST_REPEAT_S = 0.4
LIST_PERIOD_S = 0.5
# Period of the check whether the planner may have changed, seconds.
PLANNER_CHECK_PERIOD_S = 0.05


class SlotDemand(NamedTuple):
    """A stream that needs a slot; times are of this host's clock, in seconds.

    Attributes:
      service: Service that the request is for.
      exchange: Name of the slot request at this host.
      prompt_tokens: Length of the prompt, tokens.
      expected_tokens: Expected length of the answer, tokens.
      priority: Rank; 0 is served first.
      waited_s: How long the caller had waited before this attempt, seconds.
      in_time_by: Latest time of a first event that meets the objective.
      give_up_at: Latest time at which a first event still reaches the caller.
      avoid: Ids of workers that must not be used.
      local_prefill: Whether the decode worker must prefill locally.
      content: Digest of the request; "" if there is none.
      version: Software version that the worker must have; "" for any.
      customer: Name of the stream's customer; "" if it has none.
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
    local_prefill: bool = False
    content: str = ""
    version: str = ""
    customer: str = ""


class _HeldSlot(NamedTuple):
    """A slot that this host holds.

    Attributes:
      service: Service of the stream.
      decode: Id of the decode worker.
      prompt_tokens: Length of the prompt, tokens.
      expected_tokens: Expected length of the answer, tokens.
      since: When it was granted, by this host's clock, seconds.
    """

    service: str
    decode: str
    prompt_tokens: int
    expected_tokens: int
    since: float


class _Waiter(NamedTuple):
    """A stream that waits for the decision of a planner.

    Attributes:
      planner: Host that queued the request.
      decision: Fires with the planner's grant or refusal.
    """

    planner: str
    decision: "defer.Deferred[messages.SlotReply]"


class SlotController:
    """Requests slots for this host's streams; owns its slot planner."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        peers: peer_watch.PeerWatch,
        limits: limit_controller.LimitController,
    ) -> None:
        self._board = board
        self._mesh = link
        self._peers = peers
        self._view = planner_view.PlannerView(board, link)
        self._planner = slot_planner.SlotPlanner(
            board,
            link,
            self._view,
            peers,
            planned_limits.PlannedLimits(board, limits),
            deliver_local=lambda reply: self._receive_reply(board.host, reply),
        )
        self._waiters: dict[str, _Waiter] = {}
        self._held: dict[str, _HeldSlot] = {}
        self._list_receivers: dict[str, str] = {}
        self._named_planners = named_planners.NamedPlanners()
        self._lists = periodic.Periodic(
            board.clock, LIST_PERIOD_S, self._send_lists
        )
        self._watch = periodic.Periodic(
            board.clock, PLANNER_CHECK_PERIOD_S, self._watch_planner
        )
        link.on(messages.SlotReply, self._receive_reply)
        link.on(messages.SlotListRequest, self._receive_list_request)

    @property
    def planner(self) -> slot_planner.SlotPlanner:
        """The planner for the services that this host plans for."""
        return self._planner

    def start(self) -> None:
        """Start planning and reporting held slots to the planners."""
        self._planner.start()
        self._lists.start()
        self._watch.start()

    def stop(self) -> None:
        """Stop planning and reporting."""
        self._watch.stop()
        self._lists.stop()
        self._planner.stop()

    def holds(self, decode: str) -> bool:
        """Return whether this host holds a slot of a decode worker."""
        return any(held.decode == decode for held in self._held.values())

    def planner_of(self, service: str) -> str:
        """Return the host that plans for a service, in this host's view."""
        return self._view.planner_of(service)

    async def acquire(self, demand: SlotDemand) -> messages.SlotReply:
        """Wait until a slot is granted or refused.

        Returns:
          The grant or the refusal.
        """
        reply = await self._acquire(demand)
        if reply.state == "granted":
            self._held[demand.exchange] = _HeldSlot(
                demand.service,
                reply.decode,
                demand.prompt_tokens,
                demand.expected_tokens,
                self._board.now(),
            )
        return reply

    async def _acquire(self, demand: SlotDemand) -> messages.SlotReply:
        try:
            while True:
                planner = self.planner_of(demand.service)
                try:
                    reply = await self._request_slot(planner, demand)
                except errors.PeerError as exc:
                    await self._replace_planner(demand, planner, exc)
                    continue
                if reply.state == "moved":
                    self._view.record_redirect(
                        demand.service, planner, reply.planner
                    )
                    logs.get().info(
                        "planner_moved",
                        request=demand.exchange,
                        planner=planner,
                        to=reply.planner,
                    )
                    continue
                if reply.state != "queued":
                    return reply
                decided = await self._wait_decision(demand.exchange, planner)
                if decided is not None and decided.state != "moved":
                    return decided
        except defer.CancelledError:
            self.report(demand.service, demand.exchange, "ended")
            raise

    async def _replace_planner(
        self, demand: SlotDemand, planner: str, exc: errors.PeerError
    ) -> None:
        """Find out who plans instead of a host that doesn't answer."""
        logs.get().warning(
            "planner_silent",
            request=demand.exchange,
            planner=planner,
            message=str(exc),
        )
        candidates = self._view.candidates(demand.service)
        await self._peers.roll_call(candidates | {planner})
        self._wake_waiters()

    def _wake_waiters(self) -> None:
        """Let the streams that wait for silent planners ask another one."""
        for waiter in list(self._waiters.values()):
            is_silent = waiter.planner in self._mesh.silent
            if is_silent and not waiter.decision.called:
                waiter.decision.errback(defer.TimeoutError())

    async def _request_slot(
        self, planner: str, demand: SlotDemand
    ) -> messages.SlotReply:
        now = self._board.now()
        is_named = bool(demand.customer) and (
            self._named_planners.reads_customers(now, planner)
        )
        request = messages.SlotRequest(
            demand.service,
            demand.exchange,
            demand.prompt_tokens,
            demand.expected_tokens,
            demand.priority,
            demand.waited_s,
            demand.in_time_by - now,
            demand.give_up_at - now,
            demand.avoid,
            demand.local_prefill,
            demand.content,
            self._view.silent_before(demand.service, planner),
            demand.version,
            demand.customer if is_named else "",
        )
        try:
            reply: messages.SlotReply = await self._mesh.call(
                planner,
                request,
                messages.SlotReply,
                timeout_s=REQUEST_TIMEOUT_S,
            )
        except errors.PeerError:
            if is_named:
                self._named_planners.record(
                    self._board.now(), planner, is_answered=False
                )
            raise
        if is_named:
            self._named_planners.record(now, planner, is_answered=True)
        return reply

    async def _wait_decision(
        self, exchange: str, planner: str
    ) -> messages.SlotReply | None:
        """Wait for the planner's decision on a queued request.

        Returns:
          The decision; None if the request should be repeated.
        """
        waiter: defer.Deferred[messages.SlotReply] = defer.Deferred()
        self._waiters[exchange] = _Waiter(planner, waiter)
        waiter.addTimeout(REQUEST_REPEAT_S, self._board.clock)
        try:
            return await waiter
        except (defer.TimeoutError, TimeoutError):
            return None
        finally:
            del self._waiters[exchange]

    def report(
        self,
        service: str,
        exchange: str,
        kind: str,
        *,
        worker: str = "",
        tokens: int = 0,
        events: int = 0,
        took_s: float = 0.0,
        prefill: str = "",
    ) -> None:
        """Report the state of a grant to the planner.

        Args:
          service: Service of the stream.
          exchange: The stream.
          kind: "prefilled", "ended", "lost", "rejected" or "cache_rejected";
            see `messages.SlotUpdate`.
          worker: Worker that the report is about.
          tokens: Expected tokens of the answer of a complete run, tokens of
            the prompt of a rejected one, else 0.
          events: Events of the answer.
          took_s: Duration of a successful prefill or of a complete run,
            seconds; else 0.
          prefill: Prefill worker whose KV cache was used or rejected, or "".
        """
        if kind == "lost" and self._board.is_cut_off:
            # The other hosts may well reach the worker.
            return
        held = self._held.get(exchange)
        if kind == "ended":
            self._held.pop(exchange, None)
        update = messages.SlotUpdate(
            service, exchange, kind, worker, tokens, events, took_s, prefill
        )
        planner = self.planner_of(service)
        if planner == self._board.host:
            self._planner.receive_update(planner, update)
            return
        if held is not None:
            self._planner.learn(
                update, held.prompt_tokens, held.expected_tokens
            )
        self._mesh.send(planner, update)

    def _receive_list_request(
        self, sender: str, request: messages.SlotListRequest
    ) -> None:
        service = request.service
        costs = self._planner.summarize_costs(service)
        self._mesh.send(sender, self._list_of(service)._replace(costs=costs))

    def _list_of(self, service: str) -> messages.SlotList:
        now = self._board.now()
        return messages.SlotList(
            service,
            tuple(
                (
                    exchange,
                    held.decode,
                    held.prompt_tokens,
                    held.expected_tokens,
                    now - held.since,
                )
                for exchange, held in self._held.items()
                if held.service == service
            ),
        )

    def _receive_reply(self, sender: str, reply: messages.SlotReply) -> None:
        waiting = self._waiters.get(reply.exchange)
        if waiting is None or waiting.planner != sender:
            # From a host that no longer plans, whose grant expires there, or
            # too late: a repeated request gets the same grant again.
            return
        if not waiting.decision.called:
            waiting.decision.callback(reply)

    async def _send_lists(self) -> None:
        """Send each planner the slots that this host holds."""
        for service in {held.service for held in self._held.values()}:
            planner = self.planner_of(service)
            if planner == self._board.host:
                self._planner.receive_list(planner, self._list_of(service))
            else:
                self._mesh.send(planner, self._list_of(service))

    async def _watch_planner(self) -> None:
        """Send the held slots at once to a host that has become the planner."""
        services = {held.service for held in self._held.values()}
        planners = {service: self.planner_of(service) for service in services}
        if planners != self._list_receivers:
            self._list_receivers = planners
            await self._send_lists()
