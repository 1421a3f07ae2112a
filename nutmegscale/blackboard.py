"""Shared state of a host, read and written by its controllers.

The description of each attribute names the controller that writes it.
"""

from collections.abc import Callable
from typing import Any

from nutmegscale import cell
from nutmegscale import config
from nutmegscale import home
from nutmegscale import membership
from nutmegscale import metrics
from nutmegscale import quarantine
from nutmegscale import settings
from nutmegscale import timeline
from nutmegscale import worker


class Blackboard:
    """Shared state of one host.

    Attributes:
      settings: Settings of the host; never written.
      clock: Source of monotonic time and timers; never written.
      timeline: Events of this host; every controller adds to it.
      metrics: Metrics of this host; every controller updates them.
      membership: View of the membership; membership controller. The directory
        controller adds hosts, the config controller sets the revision.
      config: Configuration in force or None; config controller.
      is_stale: Whether this process was suspended and must confirm its
        configuration before it takes requests; config controller.
      workers: Backend servers by name; directory controller.
      cells: Cells of each service; directory controller.
      leaving_workers: Names of the workers that reported that they are leaving;
        planner controller, and the directory controller drops those that
        are no longer listed.
      home: Claims of the exchanges that this host is a home of; home
        controller.
      quarantine: Suspected and quarantined content; exchange controller.
      is_isolated: Whether this host reaches neither a peer nor a worker;
        planner controller.
      is_draining: Whether a graceful shutdown has begun; application.
    """

    def __init__(
        self,
        host_settings: settings.Settings,
        clock: Any,
        *,
        host_metrics: metrics.Metrics,
        view: membership.Membership,
        wall_clock: Callable[[], float] | None = None,
    ) -> None:
        self.settings = host_settings
        self.clock = clock
        self._wall_clock = wall_clock or clock.seconds
        self.timeline = timeline.Timeline(host_settings["host"])
        self.metrics = host_metrics
        self.membership = view
        self.config: config.Config | None = None
        self.is_stale = False
        self.workers: dict[str, worker.Worker] = {}
        self.cells: dict[str, list[cell.Cell]] = {}
        self.leaving_workers: set[str] = set()
        self.home = home.Home()
        self.quarantine = quarantine.Quarantine()
        self.is_isolated = False
        self.is_draining = False

    @property
    def host(self) -> str:
        """Name of this host."""
        return self.settings["host"]

    @property
    def is_ready(self) -> bool:
        """Whether this host takes requests."""
        return (
            self.config is not None
            and not self.is_stale
            and not self.is_isolated
            and not self.is_draining
            and bool(self.workers)
        )

    def now(self) -> float:
        """Return monotonic time in seconds."""
        return float(self.clock.seconds())

    def record_event(
        self, kind: str, request: str = "", **detail: object
    ) -> None:
        """Add an event to the timeline.

        Args:
          kind: Type of the event, as in "exchange.planned".
          request: Exchange that the event belongs to, or "".
          **detail: Further values of the event.
        """
        self.timeline.add(self._wall_clock(), kind, request, **detail)
