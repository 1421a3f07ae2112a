"""Shared state of a host that routes for a platform; see the controllers.

Each attribute names the one part that writes it.
"""

from typing import Any

from nutmegscale import backend
from nutmegscale import http_ingress
from nutmegscale import membership
from nutmegscale import router_metrics
from nutmegscale import routes
from nutmegscale import server_loads
from nutmegscale import timeline


class RoutingBoard:
    """State of one host.

    Attributes:
      host: Name of this host; never written.
      failure_domain: Where it stands; never written.
      clock: Source of monotonic time and timers; never written.
      metrics: Metrics; every part adds to them.
      timeline: Events; every part adds to it.
      membership: View of the hosts; membership controller.
      config: Routing configuration in force or None; routing controller.
      content: The same as it was read; routing controller.
      table: Finds routes of the configuration; routing controller.
      backends: Registered backend servers; backend controller.
      loads: Load and faults of backend servers; plain and stream runner.
      unreachable_services: Services of which no server is reached; reach
        controller.
      is_draining: Whether a graceful shutdown began; application.
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
        self.content = b""
        self.table: routes.RouteTable | None = None
        self.backends = backend.BackendDirectory()
        self.loads = loads or server_loads.ServerLoads()
        self.unreachable_services: frozenset[str] = frozenset()
        self.is_draining = False

    @property
    def is_ready(self) -> bool:
        """Whether this host takes requests."""
        return (
            self.config is not None
            and len(self.backends) > 0
            and not self.unreachable_services
            and not self.is_draining
        )

    @property
    def limits(self) -> http_ingress.Limits:
        """What callers may send now."""
        return self.config.limits if self.config else http_ingress.Limits()

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return float(self.clock.seconds())

    def record_event(
        self, kind: str, request: str = "", **detail: object
    ) -> None:
        """Add an event to the time line."""
        self.timeline.add(self.now(), kind, request, **detail)
