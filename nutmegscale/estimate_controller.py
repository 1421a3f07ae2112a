"""Tells other hosts what this one knows of servers' work and speed."""

from collections.abc import Callable
import random

from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import routing_board

# Period in which a host tells one other, seconds: 5 messages a second of about
# 130 bytes, whatever the number of hosts.
SHARE_PERIOD_S = 0.2
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
    than what it knows. Losses don't matter: the next message replaces them.

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

    def _own(self) -> dict[str, int]:
        """Return this host's requests at each server without engine."""
        return {
            server.key: self._board.loads.outstanding(server)
            for server in self._board.backends.all()
            if not server.stage
        }

    async def _share(self) -> None:
        self._update_servers()
        if not self._is_enabled():
            return
        others = [
            host
            for host in self._board.membership.alive()
            if host != self._board.host
        ]
        if not others:
            return
        shared = self._board.estimates.share(self._board.now(), self._own())
        if shared:
            self._mesh.send(
                self._rng.choice(others), messages.ServerEstimates(shared)
            )

    def _receive(self, sender: str, message: messages.ServerEstimates) -> None:
        if self._is_enabled():
            self._update_servers()
            self._board.estimates.receive(
                self._board.now(), message.servers, self._own()
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
