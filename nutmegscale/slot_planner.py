"""Plans services on this host: decides which stream gets which decode slot."""

from collections.abc import Callable

from nutmegscale import backend
from nutmegscale import logs
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import peer_watch
from nutmegscale import periodic
from nutmegscale import planner_view
from nutmegscale import request_costs
from nutmegscale import routing_board
from nutmegscale import slot_queue
from nutmegscale import slot_types
from nutmegscale import stage_plan
from nutmegscale import worker_limits

# Period at which waiting streams are dispatched, seconds.
DISPATCH_PERIOD_S = 0.05
# Period at which hosts with slots are checked for being cut off, seconds.
HOST_CHECK_PERIOD_S = 0.5
MAX_HOST_CHECKS = 8
# How long a new planner waits for the hosts' lists of held slots before it
# grants any, seconds: a few round trips between failure domains plus the
# processing time of a slow host.
TAKEOVER_WAIT_S = 0.1


class SlotPlanner:
    """Grants slots of the services that this host plans for."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        view: planner_view.PlannerView,
        peers: peer_watch.PeerWatch,
        limits: worker_limits.WorkerLimits,
        *,
        deliver_local: Callable[[messages.SlotReply], None],
    ) -> None:
        self._board = board
        self._mesh = link
        self._view = view
        self._peers = peers
        self._limits = limits
        self._silent_hosts: frozenset[str] = frozenset()
        self._deliver_local = deliver_local
        self._queues: dict[str, slot_queue.SlotQueue] = {}
        self._costs: dict[str, request_costs.RequestCosts] = {}
        self._queue_versions: dict[str, tuple[int, int, frozenset[str]]] = {}
        self._dispatch_timer = periodic.Periodic(
            board.clock, DISPATCH_PERIOD_S, self._dispatch
        )
        self._host_checks = periodic.Periodic(
            board.clock, HOST_CHECK_PERIOD_S, self._check_hosts
        )
        link.on(messages.SlotRequest, self._receive_request)
        link.on(messages.SlotUpdate, self.receive_update)
        link.on(messages.SlotList, self.receive_list)

    def start(self) -> None:
        """Start dispatching the queues periodically."""
        self._dispatch_timer.start()
        self._host_checks.start()

    def stop(self) -> None:
        """Stop dispatching."""
        self._host_checks.stop()
        self._dispatch_timer.stop()

    def is_paused(self, service: str, worker: str) -> bool:
        """Return whether a worker is paused, by order or as unreachable."""
        return self._queue_of(service).is_paused(self._board.now(), worker)

    def pause_worker(self, service: str, worker: str, until: float) -> None:
        """Plan without a worker for a while.

        Args:
          service: Service of the worker.
          worker: Id of the worker.
          until: End of the pause by this host's clock, seconds; it ends earlier
            if the worker changes from prefill to decode.
        """
        self._queue_of(service).pause_worker(worker, until)

    def costs(self, service: str) -> stage_plan.StageCosts:
        """Return the estimated costs of a typical request of a service."""
        return self._queue_of(service).stage_costs()

    def _costs_of(self, service: str) -> request_costs.RequestCosts:
        return self._costs.setdefault(service, request_costs.RequestCosts())

    def summarize_costs(self, service: str) -> request_costs.CostSummary:
        """Return what this host learned of a service."""
        return self._costs_of(service).summary()

    def learn(
        self, update: messages.SlotUpdate, prompt_tokens: int, hinted: int
    ) -> None:
        """Learn from a stream of this host that another host planned.

        This host may be the next planner.

        Args:
          update: Report on the stream.
          prompt_tokens: Length of its prompt.
          hinted: Length of the answer that its caller expected, tokens.
        """
        costs = self._costs_of(update.service)
        if update.kind == "prefilled":
            costs.record_request(prompt_tokens, hinted)
            costs.record_prefill(update.worker, prompt_tokens, update.took_s)
        elif update.kind == "ended" and update.tokens and update.events:
            costs.record_run(
                update.worker, update.tokens, update.events, update.took_s
            )

    def _queue_of(self, service: str) -> slot_queue.SlotQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = slot_queue.SlotQueue(self._costs_of(service), self._limits)
            self._queues[service] = queue
            self._request_lists(service, queue)
        config = self._board.config
        version = config.version if config else 0
        cut_domains = self._board.cut_domains
        state = (self._board.backends.version, version, cut_domains)
        if self._queue_versions.get(service) != state:
            self._queue_versions[service] = state
            spec = config.services.get(service) if config else None
            kv_tokens = spec.engine.kv_tokens if spec and spec.engine else 0
            queue.set_workers(
                self._board.now(),
                self._reachable_workers(service),
                kv_tokens=kv_tokens,
            )
            directory = config.customer_directory if config else None
            queue.set_customers(directory.all() if directory else ())
        return queue

    def _reachable_workers(self, service: str) -> tuple[backend.Backend, ...]:
        """Return the workers outside of cut failure domains.

        All are returned if no decode worker is left otherwise.
        """
        workers = self._board.backends.usable(service)
        reachable = self._board.reachable_servers(service)
        if any(worker.stage != "prefill" for worker in reachable):
            return reachable
        return workers

    def _request_lists(self, service: str, queue: slot_queue.SlotQueue) -> None:
        """Request the held slots of all hosts, including those leaving.

        Hosts with another view of the membership would otherwise send their
        lists to another planner only.
        """
        others = [
            member.host
            for member in self._board.membership.members()
            if member.host != self._board.host
            and member.state != membership.State.DEAD
        ]
        self._request_lists_of(service, queue, others)

    def _request_lists_of(
        self, service: str, queue: slot_queue.SlotQueue, hosts: list[str]
    ) -> None:
        """Request the held slots of some hosts, and wait for their answers."""
        for host in hosts:
            self._mesh.send(host, messages.SlotListRequest(service))
        if hosts:
            queue.hold_grants_until(self._board.now() + TAKEOVER_WAIT_S)

    async def _receive_request(
        self, sender: str, request: messages.SlotRequest
    ) -> messages.SlotReply:
        planner = self._view.planner_of(request.service)
        if planner != self._board.host and planner in request.silent:
            # The sender may be right, or cut off from the planner alone.
            await self._peers.roll_call([planner])
            planner = self._view.planner_of(request.service)
        if planner != self._board.host and sender != self._board.host:
            return messages.SlotReply(
                request.exchange, "moved", planner=planner
            )
        return self._submit(sender, request)

    def _submit(
        self, sender: str, request: messages.SlotRequest
    ) -> messages.SlotReply:
        now = self._board.now()
        member = self._board.membership.get(sender)
        decisions = self._queue_of(request.service).submit(
            now,
            slot_types.SlotRequest(
                exchange=request.exchange,
                host=sender,
                prompt_tokens=request.prompt_tokens,
                expected_tokens=request.expected_tokens,
                priority=request.priority,
                requested_at=now - request.waited_s,
                in_time_by=now + request.in_time_s,
                give_up_at=now + request.patience_s,
                avoid=request.avoid,
                local_prefill=request.reads_itself,
                content=request.content,
                failure_domain=member.failure_domain if member else "",
                version=request.version,
                customer=request.customer,
            ),
        )
        answer = messages.SlotReply(request.exchange, "queued")
        for decision in decisions:
            if decision.exchange == request.exchange:
                answer = _reply(decision)
                self._log(decision)
            else:
                self._deliver(decision)
        return answer

    def _deliver(self, decision: slot_types.Decision) -> None:
        reply = _reply(decision)
        self._log(decision)
        if decision.host == self._board.host:
            self._deliver_local(reply)
        else:
            self._mesh.send(decision.host, reply)

    def _log(self, decision: slot_types.Decision) -> None:
        """Log a decision of this host as planner."""
        if isinstance(decision, slot_types.Grant):
            logs.get().info(
                "slot_given",
                request=decision.exchange,
                asker=decision.host,
                decode=decision.decode,
                prefill=decision.prefill,
                expected_prefill_ms=round(decision.prefill_s * 1000, 1),
                customer=decision.customer,
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
                customer=decision.customer,
                above_share=decision.is_above_share,
            )

    def receive_update(self, sender: str, update: messages.SlotUpdate) -> None:
        """Apply a host's report on a grant."""
        queue = self._queues.get(update.service)
        if queue is None:
            return
        now = self._board.now()
        if update.kind == "prefilled":
            queue.record_prefill(now, update.exchange, update.took_s)
        elif update.kind == "lost":
            queue.record_unreachable(now, update.worker)
        elif update.kind in ("rejected", "cache_rejected"):
            self._apply_rejection(queue, now, update)
        else:
            queue.record_run(
                update.worker, update.tokens, update.events, update.took_s
            )
            if update.prefill:
                queue.record_cache_use(update.prefill, now - update.took_s)
            queue.release(update.exchange)
            self._dispatch_queue(update.service, now)

    def _apply_rejection(
        self,
        queue: slot_queue.SlotQueue,
        now: float,
        update: messages.SlotUpdate,
    ) -> None:
        """Apply a decode worker's rejection of a run."""
        is_cache_lost = bool(update.prefill) and queue.record_cache_rejection(
            now, update.prefill, update.worker
        )
        if is_cache_lost:
            logs.get().info(
                "kv_cache_lost",
                request=update.exchange,
                prefill=update.prefill,
                decode=update.worker,
            )
        if update.kind == "rejected" and is_cache_lost:
            queue.release(update.exchange)
        elif update.kind == "rejected":
            queue.record_rejection(
                now, update.exchange, update.worker, update.tokens
            )

    def receive_list(self, sender: str, message: messages.SlotList) -> None:
        """Apply a host's list of held slots."""
        is_planner = self._view.is_own(message.service)
        if message.service not in self._queues and not is_planner:
            return
        now = self._board.now()
        if message.costs is not None:
            self._costs_of(message.service).adopt(message.costs)
        held = [
            slot_types.HeldSlot(
                exchange, sender, decode, "", prompt, expected, now - age, now
            )
            for exchange, decode, prompt, expected, age in message.held
        ]
        self._queue_of(message.service).confirm(now, sender, held)

    def _dispatch_queue(self, service: str, now: float) -> None:
        for decision in self._queue_of(service).dispatch(now):
            self._deliver(decision)

    def _drop_queues(self) -> None:
        """Drop the queues of services that another host plans for now."""
        for service in list(self._queues):
            planner = self._view.planner_of(service)
            if planner == self._board.host:
                continue
            queue = self._queues.pop(service)
            self._queue_versions.pop(service, None)
            for exchange, host in queue.waiting_streams():
                reply = messages.SlotReply(exchange, "moved", planner=planner)
                if host == self._board.host:
                    self._deliver_local(reply)
                else:
                    self._mesh.send(host, reply)

    def _welcome_hosts(self) -> None:
        """Request the held slots of hosts that answer again."""
        silent = frozenset(self._mesh.silent)
        returned = self._silent_hosts - silent
        self._silent_hosts = silent
        for service, queue in self._queues.items():
            self._request_lists_of(service, queue, sorted(returned))

    async def _check_hosts(self) -> None:
        """Find out whether hosts that stopped listing their slots answer."""
        hosts = {h for q in self._queues.values() for h in q.hosts_with_slots()}
        unheard = self._view.unheard_hosts(hosts)
        if unheard:
            await self._peers.roll_call(unheard[:MAX_HOST_CHECKS])

    async def _dispatch(self) -> None:
        now = self._board.now()
        self._drop_queues()
        self._welcome_hosts()
        for service, queue in list(self._queues.items()):
            if queue.waiting:
                self._dispatch_queue(service, now)


def _reply(decision: slot_types.Decision) -> messages.SlotReply:
    if isinstance(decision, slot_types.Grant):
        return messages.SlotReply(
            decision.exchange,
            "granted",
            prefill=decision.prefill,
            decode=decision.decode,
            prefill_s=decision.prefill_s,
            permitted=decision.permitted,
        )
    return messages.SlotReply(
        decision.exchange,
        "refused",
        retry_after_s=decision.retry_after_s,
        reason=decision.reason,
    )
