"""Router of one host: creates its components and handles every request.

The deployment supplies what differs between platforms: the row store, the
codecs for callers and backend servers, and the transport between hosts.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
import functools
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import backend_controller
from nutmegscale import caller_request
from nutmegscale import chosen_places
from nutmegscale import crash_watch
from nutmegscale import customers
from nutmegscale import domain_watch
from nutmegscale import envelope
from nutmegscale import errors
from nutmegscale import estimate_controller
from nutmegscale import host_rows
from nutmegscale import http_ingress
from nutmegscale import lease_rows
from nutmegscale import limit_controller
from nutmegscale import logs
from nutmegscale import loop_lag
from nutmegscale import membership
from nutmegscale import membership_controller
from nutmegscale import mesh
from nutmegscale import notice_controller
from nutmegscale import origin_rows
from nutmegscale import patience
from nutmegscale import peer_relay
from nutmegscale import peer_watch
from nutmegscale import periodic
from nutmegscale import plain_runner
from nutmegscale import planned_places
from nutmegscale import planned_stop
from nutmegscale import prefill_runner
from nutmegscale import reach_controller
from nutmegscale import request_context
from nutmegscale import retry_share
from nutmegscale import router_metrics
from nutmegscale import router_settings
from nutmegscale import routes
from nutmegscale import routing_board
from nutmegscale import routing_controller
from nutmegscale import row_store
from nutmegscale import server_calls
from nutmegscale import server_choice
from nutmegscale import server_loads
from nutmegscale import server_presence
from nutmegscale import shared_quarantine
from nutmegscale import slot_controller
from nutmegscale import stage_controller
from nutmegscale import store_era
from nutmegscale import stream_registry
from nutmegscale import stream_runner
from nutmegscale import table_follower
from nutmegscale import upstream
from nutmegscale import version_controller
from nutmegscale import waiting_calls

PROBE_PERIOD_S = 0.8
# A host with a slower link plans only if no other can, Mbit/s. The smallest
# hosts have links of 5 or 10, which transferring a configuration of 1,344
# routes occupies for half a second or more.
PLANNER_LINK_MBPS = 50.0
# Retry-After of a request that this host can't serve yet, because it has just
# started, has no usable backend server or is shutting down, seconds.
NOT_READY_RETRY_AFTER_S = 0.5
# After SIGTERM the load balancer needs up to two readiness checks, one second
# apart, before it sends new connections elsewhere, seconds. Until then they are
# served.
BALANCER_DRAIN_S = 2.2
# Retry-After of a request that comes too late for a host that shuts down: other
# hosts can serve it at once, seconds.
LEAVING_RETRY_AFTER_S = 0.1
DRAIN_POLL_S = 0.05
# New streams are refused while the event loop is further behind, seconds: it
# couldn't notice in time that their callers leave.
MAX_STREAM_LAG_S = 0.25
# Bounds of the Retry-After of a stream that is refused for that, seconds.
BUSY_RETRY_AFTER_S = (0.5, 1.5)


Runner = Callable[[request_context.RequestContext], Coroutine[Any, Any, None]]


class _Admitted(NamedTuple):
    """A request that the configuration allows."""

    request: caller_request.CallerRequest
    route: routes.Route
    customer: customers.Customer | None


class Router:
    """Owns the components of one host and dispatches its callers' requests."""

    def __init__(
        self,
        settings: router_settings.RouterSettings,
        clock: Any,
        *,
        store: row_store.RowStore,
        pool: upstream.UpstreamPool,
        transport: mesh.Transport,
        codecs: router_settings.Codecs,
        metrics: router_metrics.RouterMetrics | None = None,
        rng: random.Random | None = None,
        boot_now: Callable[[], float] | None = None,
    ) -> None:
        """Create all components; none is started.

        Args:
          settings: Identity and limits of the host.
          clock: Source of monotonic time and timers.
          store: The platform's row store.
          pool: Connections to backend servers.
          transport: Transport for messages between hosts.
          codecs: Codecs of the deployment.
          metrics: Metrics; disabled by default.
          rng: Source of random numbers.
          boot_now: Clock for leases, in seconds, that keeps running while the
            host is suspended; `clock` by default.
        """
        self._rng = rng or random.Random()
        self._settings = settings
        self._codecs = codecs
        view = membership.Membership(
            settings.host,
            settings.failure_domain,
            settings.peer_address,
            period_s=PROBE_PERIOD_S,
            rng=self._rng,
            may_plan=settings.link_mbps >= PLANNER_LINK_MBPS,
        )
        self.board = routing_board.RoutingBoard(
            settings.host,
            settings.failure_domain,
            clock,
            view=view,
            loads=server_loads.ServerLoads(
                rng=random.Random(self._rng.random())
            ),
            metrics=metrics,
        )
        self._era = store_era.StoreEra(is_first_start=settings.is_first_start)
        store = store_era.EraStore(
            store,
            store_era.EraWatch(
                self._era,
                now=self.board.now,
                on_restored=self._on_store_restored,
            ),
        )
        self._sealer = envelope.Sealer(
            settings.host, self._rng.randbytes(32), self._rng.getrandbits(63)
        )
        self.mesh = mesh.Mesh(
            clock,
            transport,
            self._sealer,
            self.board.timeline,
            self._address_of,
            host=settings.host,
            traffic=self.board.metrics,
        )
        self.members = membership_controller.MembershipController(
            self.board, self.mesh, period_s=PROBE_PERIOD_S
        )
        self.mesh.watch_returns(self.board.membership.probe_soon)
        self.configs = routing_controller.RoutingController(
            self.board,
            self.mesh,
            codecs.decode_config,
            remove_keys=codecs.remove_keys,
            key=codecs.config_key,
            rng=self._rng,
        )
        self.members.watch_revisions(self.configs.fetch_from)
        self.backends = backend_controller.BackendController(
            self.board, self.mesh, codecs.decode_entry
        )
        entries = self._make_followers(clock, store)
        self._rows = host_rows.HostRegistry(
            self.board,
            store,
            settings.peer_address,
            may_plan=settings.link_mbps >= PLANNER_LINK_MBPS,
            rng=self._rng,
            on_key=self._sealer.set_key,
            on_joined=self._on_joined,
        )
        self._lag = loop_lag.LoopLag(
            self.board, on_resumed=lambda: self._suspects.ask_peers()
        )
        self._peers = peer_watch.PeerWatch(clock, self.mesh, rng=self._rng)
        self._domains = domain_watch.DomainWatch(
            self.board, self.mesh, pool, rng=self._rng
        )
        self._limits = limit_controller.LimitController(
            self.board, self.mesh, planner_of=self._planner_of, rng=self._rng
        )
        self._usage = customers.make_usage_controller(
            self.board, self.mesh, rule=settings.quota_rule
        )
        self.slots = slot_controller.SlotController(
            self.board, self.mesh, self._peers, self._limits
        )
        calls = server_calls.ServerCalls(
            self.board,
            pool,
            codecs.servers,
            self._limits,
            notice_controller.NoticeController(self.board, self.mesh),
        )
        self.stages = stage_controller.StageController(
            self.board,
            self.slots,
            calls,
            codecs.servers,
            lease_rows.LeaseRows(store),
            boot_now=boot_now or clock.seconds,
            era_known_s=lambda era: self._era.known_s(self.board.now(), era),
        )
        self._reachability = reach_controller.ReachController(
            self.board,
            pool,
            rng=self._rng,
            on_change=self._on_cut_off_changed,
            while_cut_off=lambda: self._relay.repeat_report(),
        )
        self._relay = peer_relay.PeerRelay(
            self.board,
            pool,
            codecs.servers,
            link=self.mesh,
            address_of=settings.relay_address_of,
            rng=self._rng,
        )
        self.relayed = peer_relay.RelayedRequests(self.handle)
        self._retry_shares: dict[str, retry_share.RetryShare] = {}
        self._suspects = shared_quarantine.SharedQuarantine(
            self.mesh,
            self.board.membership,
            host=settings.host,
            now=self.board.now,
            on_event=lambda event, _: self.board.metrics.record_failure_event(
                event
            ),
        )
        self.members.watch_returns(self._suspects.inform)
        self.crashes = crash_watch.CrashWatch(
            clock,
            self._suspects,
            self._reachability.check_connection,
            servers=server_presence.ServerPresence(self.board),
        )
        self._waiting = waiting_calls.WaitingCalls(self.board)
        servers = server_choice.ServerChoice(
            self.board,
            self.crashes,
            self._limits,
            rng=self._rng,
            is_adaptive=lambda: self._settings.is_adaptive,
        )
        self._estimates = estimate_controller.EstimateController(
            self.board,
            self.mesh,
            rng=self._rng,
            is_enabled=lambda: self._settings.is_adaptive,
        )
        self._plain = plain_runner.PlainRunner(
            self.board,
            pool,
            calls,
            codecs.servers,
            self.crashes,
            servers,
            self._waiting,
        )
        rows = origin_rows.OriginRows(store)
        self._versions = version_controller.VersionController(
            self.board,
            self.mesh,
            rows,
            era=lambda: self._era.era,
            refresh_servers=entries.refresh,
            is_first_start=settings.is_first_start,
        )
        self._origins = stream_registry.StreamRegistry(
            self.board,
            self.mesh,
            self._versions,
            rows,
            has_ended=functools.partial(self._has_ended, pool),
            is_first_start=settings.is_first_start,
        )
        self._streams = self._make_streams(pool, calls, servers)
        self._patience = patience.PatienceEstimator()
        self._live: dict[
            request_context.RequestContext, defer.Deferred[Any] | None
        ] = {}
        self._joining: defer.Deferred[Any] | None = None
        self._stop: planned_stop.PlannedStop | None = None
        self._durations = planned_stop.CallDurations()
        self._joined_at: float | None = None

    def _make_followers(
        self, clock: Any, store: row_store.RowStore
    ) -> table_follower.TableFollower:
        """Create the followers of the tables; return that of the entries."""
        codecs = self._codecs
        configs = table_follower.TableFollower(
            clock,
            store,
            codecs.config_table,
            on_snapshot=self.configs.apply_rows,
            on_change=self.configs.apply_row,
            rng=self._rng,
        )
        entries = table_follower.TableFollower(
            clock,
            store,
            codecs.entry_table,
            on_snapshot=self.backends.apply_rows,
            on_change=self.backends.apply_row,
            on_contact=self.backends.record_contact,
            rng=self._rng,
        )
        self._followers = [configs, entries]
        return entries

    def _make_streams(
        self,
        pool: upstream.UpstreamPool,
        calls: server_calls.ServerCalls,
        servers: server_choice.ServerChoice,
    ) -> stream_runner.StreamRunner:
        """Create the runner of streams, and what finds places for them."""
        codec = self._codecs.servers
        self._prefills = prefill_runner.PrefillRunner(
            self.board, pool, calls, codec, self.slots, self.crashes
        )
        planned = planned_places.PlannedPlaces(
            self.board, self.slots, self._prefills, rng=self._rng
        )
        chosen = chosen_places.ChosenPlaces(self.board, self.crashes, servers)
        return stream_runner.StreamRunner(
            self.board,
            pool,
            calls,
            codec,
            self.crashes,
            self._origins,
            self._waiting,
            places_of=lambda service: (
                planned if self._has_engine(service) else chosen
            ),
            retries_of=self._retry_share,
        )

    def _on_joined(self) -> None:
        if self._joined_at is None:
            self._joined_at = self.board.now()
            self._limits.record_joined()
            self._usage.record_joined()
        self.members.announce()
        self.configs.ask_peers()
        self._suspects.ask_peers()

    def _on_cut_off_changed(self, is_cut_off: bool) -> None:
        self._relay.report(is_cut_off=is_cut_off)
        if is_cut_off:
            self._waiting.abandon()

    def _on_store_restored(self) -> None:
        """Write again what this host wrote, and expect older entries."""
        self.backends.record_restore()
        joining = periodic.spawn(self._rows.join())
        if self._joining is None or self._joining.called:
            self._joining = joining

    def _address_of(self, host: str) -> str | None:
        member = self.board.membership.get(host)
        return member.address if member else None

    async def _has_ended(self, pool: upstream.UpstreamPool, host: str) -> bool:
        """Whether the process of another host is known to have ended."""
        address = self._address_of(host)
        if address is None:
            return False
        return await pool.is_refused(self._settings.relay_address_of(address))

    @property
    def live(self) -> int:
        """Number of requests in progress."""
        return len(self._live)

    def update_settings(self, settings: router_settings.RouterSettings) -> None:
        """Apply changed limits; other changed settings require a restart."""
        self._settings = settings
        for share in self._retry_shares.values():
            share.set_limits(self.board.now(), settings.retry_limits)

    def start(self) -> None:
        """Start every component."""
        self._lag.start()
        for follower in self._followers:
            follower.start()
        self.backends.start()
        self.members.start()
        self._peers.start()
        self._domains.start()
        self.slots.start()
        self._estimates.start()
        self.stages.start()
        self._reachability.start()
        self._versions.start()
        self._origins.start()
        self._joining = periodic.spawn(self._rows.join())
        self._rows.start()

    def stop(self) -> None:
        """Stop every component without waiting for requests."""
        self._rows.stop()
        if self._joining is not None:
            self._joining.cancel()
        self._origins.stop()
        self._versions.stop()
        self._reachability.stop()
        self.stages.stop()
        self._estimates.stop()
        self.slots.stop()
        self._domains.stop()
        self._peers.stop()
        self.members.stop()
        self.backends.stop()
        for follower in self._followers:
            follower.stop()
        self.configs.stop()
        self._lag.stop()

    async def drain(
        self,
        connections: Collection[Any],
        close_idle: Callable[[], None],
        stop_accepting: Callable[[], None],
    ) -> None:
        """Shut down gracefully and finish the requests in progress.

        Requests that can't be answered in time are refused; the others are
        served until no caller is connected or the deadline has passed. What is
        in progress then ends with an answer that it may have run.

        Args:
          connections: Open connections of callers.
          close_idle: Closes the connections without a request.
          stop_accepting: Closes the listening port for callers.
        """
        stop = self._stop = planned_stop.PlannedStop(
            self.board.now(), grace_s=self._settings.grace_s
        )
        self.board.is_draining = True
        self.members.leave()
        logs.get().info("draining", live=self.live)
        await periodic.sleep(self.board.clock, BALANCER_DRAIN_S)
        while self._live and self.board.now() < stop.answer_by:
            close_idle()
            await periodic.sleep(self.board.clock, DRAIN_POLL_S)
        # No connection is accepted from here on; those accepted before are
        # still served.
        stop_accepting()
        while connections and self.board.now() < stop.answer_by:
            close_idle()
            await periodic.sleep(self.board.clock, DRAIN_POLL_S)
        logs.get().info("drained", left=self.live, open=len(connections))
        self._end_unfinished()

    def _end_unfinished(self) -> None:
        """Answer the requests in progress before the process ends."""
        for context, running in list(self._live.items()):
            if context.has_been_sent:
                context.fail(
                    errors.Failure(
                        504, "host_stopped", "the host stops", "maybe_run"
                    )
                )
            else:
                context.refuse("host_is_leaving", LEAVING_RETRY_AFTER_S)
            if running is not None:
                running.cancel()

    def handle(self, incoming: http_ingress.IncomingRequest) -> None:
        """Handle a caller's request; see `http_ingress.Handler`."""
        try:
            request = self._codecs.callers.decode(incoming.head, incoming.body)
        except errors.MalformedRequestError as exc:
            self._reject(incoming, 400, "malformed_request", str(exc))
            return
        admitted = self._admit(incoming, request)
        if admitted is None:
            return
        request, route, customer = admitted
        board = self.board
        names = [t.service for t in route.targets]
        usable = [name for name in names if board.backends.usable(name)]
        if not usable:
            self._refuse(incoming, request, "no_server")
            return
        service = route.choose_service(self._rng, usable)
        if route.kind == "stream" and board.loop_lag_s >= MAX_STREAM_LAG_S:
            self._refuse(
                incoming,
                request,
                "host_is_busy",
                retry_after_s=self._rng.uniform(*BUSY_RETRY_AFTER_S),
            )
            return
        if self._comes_too_late(incoming, request, route, service):
            self._refuse(
                incoming,
                request,
                "host_is_leaving",
                retry_after_s=LEAVING_RETRY_AFTER_S,
            )
            return
        refused_for_s = self.crashes.admit(request.content)
        if refused_for_s:
            self._refuse(
                incoming, request, "quarantined", retry_after_s=refused_for_s
            )
            return
        context = request_context.RequestContext(
            board,
            incoming,
            request,
            route,
            codec=self._codecs.callers,
            service=service,
            retries=self._retry_share(
                service, is_counted=not incoming.is_relayed
            ),
            waited_s=self._patience.waited_s(route.name, request.patience_s),
            customer=customer,
        )
        if self._stop is not None and route.kind != "stream":
            context.deadline = min(context.deadline, self._stop.answer_by)
        self._run(context)

    def _admit(
        self,
        incoming: http_ingress.IncomingRequest,
        request: caller_request.CallerRequest,
    ) -> _Admitted | None:
        """Find the route and the customer of a request.

        Returns:
          The request as its customer's, its route and its customer; None if it
          was answered, since the configuration doesn't allow it.
        """
        board = self.board
        if board.config is None or board.table is None:
            self._refuse(incoming, request, "no_config")
            return None
        route = board.table.find(request.host, request.path)
        if route is None:
            self._deny(incoming, request, 404, "no_route", request.path)
            return None
        identity = self._identify(incoming, route)
        if identity.rejection == "unknown_key":
            self._deny(
                incoming, request, 401, "unknown_key", "the key is unknown"
            )
            return None
        if identity.rejection:
            self._refuse(incoming, request, identity.rejection)
            return None
        customer = identity.customer
        if board.config.customer_directory is not None:
            request = self._codecs.callers.set_customer(
                request, customer.name if customer else ""
            )
            incoming.head = request.head
        return _Admitted(request, route, customer)

    def _identify(
        self, incoming: http_ingress.IncomingRequest, route: routes.Route
    ) -> customers.Identity:
        """Decide whose request it is, and whether it may be served."""
        codec, config = self._codecs.callers, self.board.config
        return customers.identify(
            config.customer_directory if config else None,
            key=codec.read_key(incoming.head),
            stated_name=codec.read_customer(incoming.head),
            is_public=route.is_public,
            is_relayed=incoming.is_relayed,
        )

    def _comes_too_late(
        self,
        incoming: http_ingress.IncomingRequest,
        request: caller_request.CallerRequest,
        route: routes.Route,
        service: str,
    ) -> bool:
        """Whether this host shuts down before it could answer a request."""
        return self._stop is not None and self._stop.refuses(
            self.board.now(),
            kind=route.kind,
            is_relayed=incoming.is_relayed,
            limit_s=request_context.limit_s(route, request),
            longest_s=self._durations.longest_s(service),
        )

    def _run(self, context: request_context.RequestContext) -> None:
        is_stream = context.route.kind == "stream"
        runner = self._streams.run if is_stream else self._plain.run
        self._live[context] = None
        running = periodic.spawn(self._serve(context, runner))
        running.addBoth(self._on_run_ended, context)
        if not running.called:
            self._live[context] = running
            context.incoming.watch_disconnect(
                lambda: self._on_disconnect(context, running)
            )

    async def _serve(
        self, context: request_context.RequestContext, runner: Runner
    ) -> None:
        """Charge a request to its customer and serve it."""
        customer = context.customer
        if customer is None or customer.limit is None or context.is_relayed:
            await self._serve_charged(context, runner)
            return
        cost = customer.limit.cost(context.request.stated_tokens)
        charge = await self._usage.charge(
            customer, cost, give_up_at=context.deadline
        )
        if isinstance(charge, customers.Refused):
            context.refuse_usage(charge)
            return
        try:
            await self._serve_charged(context, runner)
        finally:
            if context.has_not_run:
                self._usage.give_back(customer, cost)

    async def _serve_charged(
        self, context: request_context.RequestContext, runner: Runner
    ) -> None:
        """Serve a request, or let another host do so if this one can't."""
        board = self.board
        is_unreachable = context.service in board.unreachable_services
        if board.is_cut_off or is_unreachable:
            if await self._relay.serve(context):
                return
            if is_unreachable or context.is_relayed:
                context.refuse("unreached", NOT_READY_RETRY_AFTER_S)
                return
        try:
            await runner(context)
        except errors.UnreachedError as exc:
            context.log("unreached", why=str(exc))
            await self._reachability.settle()
            if board.is_cut_off and await self._relay.serve(context):
                return
            if context.may_have_run:
                context.fail(
                    errors.Failure(504, "unreached", "cut off", "maybe_run")
                )
            else:
                context.refuse("unreached", NOT_READY_RETRY_AFTER_S)

    def _on_disconnect(
        self,
        context: request_context.RequestContext,
        running: defer.Deferred[Any],
    ) -> None:
        context.log("caller_gone")
        running.cancel()

    def _on_run_ended(
        self, result: Any, context: request_context.RequestContext
    ) -> None:
        self._live.pop(context, None)
        context.sends.close()
        context.sends.detach()
        if context.outcome in ("ran", "maybe_run"):
            took_s = self.board.now() - context.incoming.arrived
            self._durations.record(context.service, took_s)
        if not context.incoming.is_ended:
            # A defect: the runner ended without an answer.
            context.fail(
                errors.Failure(502, "internal", "no answer", "maybe_run")
            )

    def _planner_of(self, service: str) -> str:
        """Return the host that plans for a service, "" if none does."""
        return (
            self.slots.planner_of(service) if self._has_engine(service) else ""
        )

    def _has_engine(self, service: str) -> bool:
        config = self.board.config
        spec = config.services.get(service) if config else None
        return spec is not None and spec.engine is not None

    def _retry_share(
        self, service: str, *, is_counted: bool = True
    ) -> retry_share.RetryShare:
        """Return the retry share of a service for a new request to it.

        Args:
          service: The service.
          is_counted: Whether no other host has counted the request.
        """
        now = self.board.now()
        # Hosts that are silent or gone count, too: this one can't tell them
        # from hosts that are cut off.
        known = len(self.board.membership.members())
        hosts = 0 if self._joined_at is None else known
        share = self._retry_shares.get(service)
        if share is None:
            share = self._retry_shares[service] = retry_share.RetryShare(
                self._settings.retry_limits,
                now=now if self._joined_at is None else self._joined_at,
                hosts=hosts,
            )
        share.add_hosts(now, hosts)
        if is_counted:
            share.record_request(now)
        return share

    def _deny(
        self,
        incoming: http_ingress.IncomingRequest,
        request: caller_request.CallerRequest,
        status: int,
        kind: str,
        why: str,
    ) -> None:
        """Reject a request that the configuration in force doesn't allow.

        It is refused instead while a later configuration may allow it.
        """
        if self.board.is_outdated:
            self._refuse(incoming, request, "config_outdated")
        else:
            self._reject(incoming, status, kind, why, request.id)

    def _reject(
        self,
        incoming: http_ingress.IncomingRequest,
        status: int,
        kind: str,
        why: str,
        request_id: str = "",
    ) -> None:
        """Answer a request that can't be served as it was sent."""
        failure = errors.Failure(status, kind, why)
        self._respond(incoming, failure)
        config = self.board.config
        logs.get().info(
            "request_failed",
            request=request_id,
            status=status,
            reason=kind,
            why=why,
            config=config.version if config else 0,
        )

    def _respond(
        self, incoming: http_ingress.IncomingRequest, failure: errors.Failure
    ) -> None:
        headers = request_context.failure_headers(
            self._codecs.callers, failure, is_relayed=incoming.is_relayed
        )
        incoming.respond(failure.status, headers, b"")

    def _refuse(
        self,
        incoming: http_ingress.IncomingRequest,
        request: caller_request.CallerRequest,
        kind: str,
        *,
        retry_after_s: float = NOT_READY_RETRY_AFTER_S,
    ) -> None:
        """Answer a request that wasn't run and may be sent again later."""
        failure = errors.Failure(503, kind, "not run", "not_run", retry_after_s)
        self._respond(incoming, failure)
        logs.get().info(
            "request_failed", request=request.id, status=503, reason=kind
        )
