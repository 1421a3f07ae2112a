"""Tells other hosts what this one knows of servers' work and speed."""

from collections.abc import Callable
import random

from nutmegscale import adaptive
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import routing_board

# Period in which a host tells one other, seconds: 4 messages a second of about
# 130 bytes, whatever the number of hosts, and as many of changed paces.
SHARE_PERIOD_S = 0.25
# Period in which metrics are set and changes are logged, seconds.
REPORT_PERIOD_S = 1.0
# Servers whose estimates become metrics; the others would be too many labels.
MAX_REPORTED = 64
# Pace from which a server counts as slow, and from which it no longer does.
SLOW_PACE = 2.0
USUAL_PACE = 1.3
# Shortest time between two log lines of a server, seconds.
LOG_PERIOD_S = 5.0


class EstimateController:
    """Shares estimates of servers, and shows them in logs and metrics.

    Each host tells a random other one at a time, which passes on what is newer
    than what it knows, at once if a pace has changed. Losses don't matter: the
    next message replaces them.

    Args:
      board: State of this host.
      link: Messages between hosts.
      rng: Source of random numbers.
      is_enabled: Returns whether servers are chosen by their estimates.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        *,
        rng: random.Random,
        is_enabled: Callable[[], bool],
    ) -> None:
        self._board = board
        self._mesh = link
        self._rng = rng
        self._is_enabled = is_enabled
        self._budget = adaptive.NewsBudget()
        self._version = -1
        self._slow: set[str] = set()
        self._logged_at: dict[str, float] = {}
        self._reported: set[str] = set()
        self._sharing = periodic.Periodic(
            board.clock, SHARE_PERIOD_S, self._share
        )
        self._reporting = periodic.Periodic(
            board.clock, REPORT_PERIOD_S, self._report
        )
        board.estimates.watch_news(self._tell_news)
        link.on(messages.ServerEstimates, self._receive)

    def start(self) -> None:
        """Start to share and to report."""
        self._sharing.start()
        self._reporting.start()

    def stop(self) -> None:
        """Stop."""
        self._sharing.stop()
        self._reporting.stop()

    def _update_servers(self) -> None:
        backends = self._board.backends
        if backends.version == self._version:
            return
        self._version = backends.version
        keys = {s.key for s in backends.all() if not s.stage}
        self._board.estimates.keep_only(keys)
        self._slow &= keys
        self._logged_at = {
            k: at for k, at in self._logged_at.items() if k in keys
        }

    async def _share(self) -> None:
        self._update_servers()
        self._tell(1)

    def _tell_news(self) -> None:
        """Tell some hosts at once that a server's pace has changed."""
        if self._is_enabled():
            self._tell(self._budget.take(self._board.now()))

    def _tell(self, count: int) -> None:
        """Tell a number of random hosts what this one knows."""
        if not self._is_enabled() or not count:
            return
        shared = self._board.estimates.share(
            self._board.now(), self._board.loads.outstanding_by_key()
        )
        if not shared:
            return
        others = [
            host
            for host in self._board.membership.alive()
            if host != self._board.host
        ]
        for host in self._rng.sample(others, min(count, len(others))):
            self._mesh.send(host, messages.ServerEstimates(shared))

    def _receive(self, sender: str, message: messages.ServerEstimates) -> None:
        if self._is_enabled():
            self._update_servers()
            self._board.estimates.receive(
                self._board.now(),
                message.servers,
                self._board.loads.outstanding_by_key(),
            )

    async def _report(self) -> None:
        """Set metrics, and log servers that became slow or recovered."""
        if not self._is_enabled():
            return
        board, now = self._board, self._board.now()
        for server in board.backends.all():
            if server.stage or not board.estimates.is_reporting(
                now, server.key
            ):
                continue
            status = board.estimates.status(
                now,
                server.key,
                server.service,
                max(1, server.slots),
                own=board.loads.outstanding(server),
            )
            if (
                server.id in self._reported
                or len(self._reported) < MAX_REPORTED
            ):
                self._reported.add(server.id)
                board.metrics.record_server(
                    server.id, status.pace, status.limit
                )
            was_slow = server.key in self._slow
            is_slow = status.pace >= (USUAL_PACE if was_slow else SLOW_PACE)
            last = self._logged_at.get(server.key, now - LOG_PERIOD_S)
            if is_slow != was_slow and now - last >= LOG_PERIOD_S:
                self._log(now, server.key, server.service, status.pace)

    def _log(self, now: float, key: str, service: str, pace: float) -> None:
        self._slow ^= {key}
        self._logged_at[key] = now
        logs.get().info(
            "server_slow" if key in self._slow else "server_usual",
            backend=key.rpartition("@")[0],
            service=service,
            pace=round(pace, 2),
        )
