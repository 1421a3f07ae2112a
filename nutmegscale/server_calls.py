"""Requests to backend servers: the one place that sends them."""

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import limit_controller
from nutmegscale import logs
from nutmegscale import routing_board
from nutmegscale import upstream
from nutmegscale import upstream_call


class ServerCalls:
    """Sends requests to servers within the limits that their answers state."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        codec: caller_request.ServerCodec,
        limits: limit_controller.LimitController,
    ) -> None:
        self._board = board
        self._pool = pool
        self._codec = codec
        self._limits = limits

    async def send(
        self,
        server: backend.Backend,
        request: upstream_call.Request,
        *,
        reserved: upstream.ReservedConnection | None = None,
        is_permitted: bool = False,
    ) -> upstream_call.Call:
        """Send a request; see `upstream.UpstreamPool.call`.

        Args:
          server: The server.
          request: The request.
          reserved: Connection to the server that was reserved for the request.
          is_permitted: Whether a planner has used a permit for the request;
            otherwise this host uses one if the server states a limit.

        Raises:
          errors.LimitedError: There is no permit; nothing was sent.
          errors.ConnectError: No connection could be made; nothing was sent.
        """
        asked_at = self._board.now()
        is_limited = self._limits.permits(server) is not None
        needs_permit = is_limited and not is_permitted
        if needs_permit and not self._limits.take(server):
            self._limits.report(server)
            raise errors.LimitedError(
                f"{server.id} takes "
                f"{self._board.server_limits.per_s(server.key)} requests a "
                "second from all hosts, and this one has no permit"
            )
        try:
            return await self._pool.call(
                server.address,
                request,
                reserved=reserved,
                on_head=lambda head: self._record_limit(
                    server, asked_at, is_permitted, head
                ),
            )
        except errors.ConnectError:
            if needs_permit:
                self._limits.give_back(server)
            raise

    def _record_limit(
        self,
        server: backend.Backend,
        asked_at: float,
        is_permitted: bool,
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
        has_changed = board.server_limits.record(
            now, server.key, asked_at, per_s
        )
        self._limits.record(
            server, per_s, has_changed=has_changed, was_permitted=is_permitted
        )
        if not has_changed:
            return
        board.metrics.record_limited_servers(len(board.server_limits))
        logs.get().info(
            "server_limit_ended" if per_s is None else "server_limit_stated",
            backend=server.id,
            service=server.service,
            per_s=per_s,
            in_force_s=round(now - known.since, 3) if known else 0.0,
        )
