"""Shared state of one host that routes for a platform.

As a rule an attribute has one writer, which its description names.
"""

import random
from typing import Any

from nutmegscale import adaptive
from nutmegscale import backend
from nutmegscale import config_transfer
from nutmegscale import http_ingress
from nutmegscale import membership
from nutmegscale import router_metrics
from nutmegscale import routes
from nutmegscale import server_loads
from nutmegscale import server_notices
from nutmegscale import timeline


class RoutingBoard:
    """State of one host, shared by its controllers and runners.

    Attributes:
      host: Name of this host; never written.
      failure_domain: Failure domain of this host; never written.
      clock: Source of monotonic time and timers; never written.
      metrics: Metrics; every component records to them.
      timeline: Events; every component adds to it.
      membership: View of the hosts; membership controller. The host registry
        adds hosts, and the routing controller sets the revision.
      config: Routing configuration in force or None; routing controller.
      packed_config: Its encoded form, without customers' keys, or None; routing
        controller.
      table: Index of its routes; routing controller.
      outdated_until: Time until which this host takes its configuration for
        outdated, seconds; routing controller.
      backends: Registered backend servers; backend controller.
      loads: Load and failures of backend servers; plain runner, stream runner
        and reach controller. The backend controller drops removed servers.
      estimates: Work and speed of servers that report their pace; server calls,
        plain runner and estimate controller.
      notices: What backend servers ask of this host; server calls and notice
        controller. The backend controller drops removed servers.
      unreachable_services: Names of services of which this host reaches no
        server; reach controller.
      is_cut_off: Whether this host reaches no server at all; reach controller.
      cut_domains: Failure domains that this host is cut off from; domain
        watch.
      is_draining: Whether a graceful shutdown has begun; router.
      loop_lag_s: How far the event loop is behind, seconds; loop lag.
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        clock: Any,
        *,
        view: membership.Membership,
        loads: server_loads.ServerLoads | None = None,
        metrics: router_metrics.RouterMetrics | None = None,
    ) -> None:
        self.host = host
        self.failure_domain = failure_domain
        self.clock = clock
        self.metrics = metrics or router_metrics.make_disabled()
        self.timeline = timeline.Timeline(host)
        self.membership = view
        self.config: routes.RoutingConfig | None = None
        self.packed_config: config_transfer.PackedConfig | None = None
        self.table: routes.RouteTable | None = None
        self.outdated_until = 0.0
        self.backends = backend.BackendDirectory()
        self.loads = loads or server_loads.ServerLoads()
        self.estimates = adaptive.ServerEstimates()
        self.notices = server_notices.ServerNotices()
        self.unreachable_services: frozenset[str] = frozenset()
        self.is_cut_off = False
        self.cut_domains: frozenset[str] = frozenset()
        self.is_draining = False
        self.loop_lag_s = 0.0

    @property
    def is_ready(self) -> bool:
        """Whether this host is ready for requests."""
        return (
            self.config is not None
            and len(self.backends) > 0
            and not self.unreachable_services
            and not self.is_cut_off
            and not self.is_draining
        )

    @property
    def is_outdated(self) -> bool:
        """Whether another host has announced a later configuration."""
        return self.now() < self.outdated_until

    @property
    def limits(self) -> http_ingress.Limits:
        """Limits on callers' requests; the defaults without a configuration."""
        return self.config.limits if self.config else http_ingress.Limits()

    def reachable_servers(self, service: str) -> tuple[backend.Backend, ...]:
        """Return the usable servers of a service outside of cut domains.

        If all are in cut domains, they are returned.
        """
        servers = self.backends.usable(service)
        if not self.cut_domains:
            return servers
        reachable = tuple(
            s for s in servers if s.failure_domain not in self.cut_domains
        )
        return reachable or servers

    def wanted_servers(self, service: str) -> tuple[backend.Backend, ...]:
        """Return the reachable servers that want requests of this host."""
        now = self.now()
        return tuple(
            server
            for server in self.reachable_servers(service)
            if not self.notices.is_paused(now, server.key)
        )

    def paused_for_s(
        self,
        service: str,
        *,
        priority: int,
        rng: random.Random,
        stage: str = "",
    ) -> float:
        """Return when a caller may come back while all servers want a pause.

        Args:
          service: Service of the servers.
          priority: Rank of the call; 0 goes first.
          rng: Source of random numbers.
          stage: Stage of the servers that count.

        Returns:
          The time in seconds; 0 if some server wants requests, or if there are
          no servers.
        """
        now = self.now()
        keys = [
            server.key
            for server in self.reachable_servers(service)
            if server.stage == stage
        ]
        if not keys or not all(self.notices.is_paused(now, k) for k in keys):
            return 0.0
        return self.notices.return_after_s(
            now, keys, priority=priority, rng=rng
        )

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return float(self.clock.seconds())

    def record_event(
        self, kind: str, request: str = "", **detail: object
    ) -> None:
        """Add an event to the timeline."""
        self.timeline.add(self.now(), kind, request, **detail)
