"""Detects services of which this host reaches no backend server."""

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import periodic
from nutmegscale import routing_board
from nutmegscale import upstream

# Period of the check, and of the probes of the servers of a service of which
# none can be reached, seconds.
PERIOD_S = 0.5


class ReachController:
    """Writes `RoutingBoard.unreachable_services`.

    A host that reaches no server of a service reports itself as not ready, so
    that new callers are sent to hosts that do. Because it then receives few
    requests, it probes the servers itself to notice that they are back. Prefill
    workers don't count, and a service without servers isn't reported.
    """

    def __init__(
        self, board: routing_board.RoutingBoard, pool: upstream.UpstreamPool
    ) -> None:
        self._board = board
        self._pool = pool
        self._period = periodic.Periodic(board.clock, PERIOD_S, self._check)

    def start(self) -> None:
        """Start checking."""
        self._period.start()

    def stop(self) -> None:
        """Stop checking."""
        self._period.stop()

    async def _check(self) -> None:
        config = self._board.config
        if config is None:
            return
        unreachable_services = set()
        for service in config.services:
            servers = [
                server
                for server in self._board.backends.usable(service)
                if server.stage != "prefill"
            ]
            unreachable = [
                s for s in servers if self._board.loads.is_unreachable(s)
            ]
            if servers and len(unreachable) == len(servers):
                unreachable_services.add(service)
                for server in unreachable:
                    periodic.spawn(self._probe(server))
        if unreachable_services != self._board.unreachable_services:
            self._board.unreachable_services = frozenset(unreachable_services)
            logs.get().warning(
                "reach_changed", cut_off=",".join(unreachable_services)
            )

    async def _probe(self, server: backend.Backend) -> None:
        try:
            connection = await self._pool.reserve(server.address)
        except errors.ConnectError:
            # Still unreachable, as the board already records.
            return
        connection.release()
        self._board.loads.record_success(server)
