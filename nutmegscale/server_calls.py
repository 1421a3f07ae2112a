"""Requests to backend servers: the one place that sends them."""

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import logs
from nutmegscale import routing_board
from nutmegscale import upstream
from nutmegscale import upstream_call


class ServerCalls:
    """Sends requests to servers, and records the limits that answers state."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        codec: caller_request.ServerCodec,
    ) -> None:
        self._board = board
        self._pool = pool
        self._codec = codec

    async def send(
        self,
        server: backend.Backend,
        request: upstream_call.Request,
        *,
        reserved: upstream.ReservedConnection | None = None,
    ) -> upstream_call.Call:
        """Send a request; see `upstream.UpstreamPool.call`.

        Raises:
          errors.ConnectError: No connection could be made; nothing was sent.
        """
        asked_at = self._board.now()
        return await self._pool.call(
            server.address,
            request,
            reserved=reserved,
            on_head=lambda head: self._record_limit(server, asked_at, head),
        )

    def _record_limit(
        self,
        server: backend.Backend,
        asked_at: float,
        head: http_message.ResponseHead,
    ) -> None:
        board = self._board
        try:
            per_s = self._codec.read_limit(head)
        except errors.MalformedLimitError as exc:
            # A limit that can't be read changes nothing.
            board.metrics.record_failure_event("server_limit_malformed")
            logs.get().warning(
                "server_limit_malformed", backend=server.id, message=str(exc)
            )
            return
        now = board.now()
        known = board.server_limits.get(server.key)
        if not board.server_limits.record(now, server.key, asked_at, per_s):
            return
        board.metrics.record_limited_servers(len(board.server_limits))
        logs.get().info(
            "server_limit_ended" if per_s is None else "server_limit_stated",
            backend=server.id,
            service=server.service,
            per_s=per_s,
            in_force_s=round(now - known.since, 3) if known else 0.0,
        )
