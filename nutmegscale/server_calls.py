"""Requests to backend servers: the one place that sends them."""

import math

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import limit_controller
from nutmegscale import logs
from nutmegscale import notice_controller
from nutmegscale import routing_board
from nutmegscale import upstream
from nutmegscale import upstream_call

# Shortest time between two log lines of one server's malformed loads, seconds:
# such a server states one with each answer.
LOAD_LOG_PERIOD_S = 5.0
MALFORMED_LOAD_EVENT = "server_load_malformed"


class ServerCalls:
    """Sends requests to servers as their answers ask for.

    A server that leaves or wants a pause is sent nothing, and one that states
    a limit only what this host has permits for.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        codec: caller_request.ServerCodec,
        limits: limit_controller.LimitController,
        notices: notice_controller.NoticeController,
    ) -> None:
        self._board = board
        self._pool = pool
        self._codec = codec
        self._limits = limits
        self._notices = notices
        self._load_logged_at: dict[str, float] = {}

    async def send(
        self,
        server: backend.Backend,
        request: upstream_call.Request,
        *,
        reserved: upstream.ReservedConnection | None = None,
        is_permitted: bool = False,
        send_by: float = math.inf,
    ) -> upstream_call.Call:
        """Send a request; see `upstream.UpstreamPool.call`.

        Making a connection takes a time, so that what the server asked for and
        the time of the request are looked at once more when it is there.

        Args:
          server: The server.
          request: The request.
          reserved: Connection to the server that was reserved for the request.
          is_permitted: Whether a planner has used a permit for the request;
            otherwise this host uses one if the server states a limit.
          send_by: Time after which the request isn't sent, seconds of the
            host's clock.

        Raises:
          errors.BackendLeftError: The server leaves; nothing was sent.
          errors.ServerPausedError: It wants a pause; nothing was sent.
          errors.LimitedError: There is no permit; nothing was sent.
          errors.TooLateError: Its time has ended; nothing was sent.
          errors.ConnectError: No connection could be made; nothing was sent.
        """
        self._check_wanted(server, send_by)
        asked_at = self._board.now()
        is_limited = self._limits.permits(server) is not None
        needs_permit = is_limited and not is_permitted
        if needs_permit and not self._limits.take(server):
            self._limits.report(server)
            raise errors.LimitedError(
                f"{server.id} takes "
                f"{self._board.notices.limits.per_s(server.key)} requests a "
                "second from all hosts, and this one has no permit"
            )
        self._board.loads.record_asked(asked_at, server)
        try:
            return await self._pool.call(
                server.address,
                request,
                reserved=reserved,
                check=lambda: self._check_wanted(server, send_by),
                on_head=lambda head: self._record_notices(
                    server, asked_at, is_permitted, head
                ),
            )
        except (errors.ConnectError, errors.NotSentError):
            if needs_permit:
                self._limits.give_back(server)
            raise

    def record_load(
        self,
        server: backend.Backend,
        info: caller_request.ResponseInfo,
        *,
        is_running: bool = False,
    ) -> None:
        """Record the load that an answer states, and what is malformed in it.

        Each malformed load is counted; they are logged at most once in
        `LOAD_LOG_PERIOD_S` for each server.

        Args:
          server: The server.
          info: What the head of the answer states.
          is_running: Whether the request still runs there.
        """
        now, loads = self._board.now(), self._board.loads
        loads.record_load(now, server, info.load)
        if info.load is not None:
            own = loads.outstanding(server) - (not is_running)
            self._board.estimates.record_load(
                now, server.key, info.load, own=own
            )
        if info.load_error is None:
            return
        self._load_logged_at = {
            key: at
            for key, at in self._load_logged_at.items()
            if now - at < LOAD_LOG_PERIOD_S
        }
        if server.key in self._load_logged_at:
            self._board.metrics.record_failure_event(MALFORMED_LOAD_EVENT)
            return
        self._load_logged_at[server.key] = now
        self._record_malformed(MALFORMED_LOAD_EVENT, server, info.load_error)

    def _check_wanted(self, server: backend.Backend, send_by: float) -> None:
        notices = self._board.notices
        if self._board.now() + self._board.loop_lag_s >= send_by:
            raise errors.TooLateError(f"too late for a request to {server.id}")
        if notices.is_leaving(server.key):
            raise errors.BackendLeftError(f"{server.id} has said it leaves")
        if notices.is_paused(self._board.now(), server.key):
            raise errors.ServerPausedError(f"{server.id} wants a pause")

    def _record_notices(
        self,
        server: backend.Backend,
        asked_at: float,
        is_permitted: bool,
        head: http_message.ResponseHead,
    ) -> None:
        """Record what the head of an answer asks of this host."""
        self._board.loads.record_heard(self._board.now(), server)
        self._record_limit(server, asked_at, is_permitted, head)
        if self._codec.is_leaving(head):
            self._notices.record_leaving(server)
        try:
            self._notices.record_pause(server, self._codec.read_pause(head))
        except errors.MalformedPauseError as exc:
            # A pause that can't be read changes nothing.
            self._record_malformed("server_pause_malformed", server, exc)

    def _record_malformed(
        self, event: str, server: backend.Backend, exc: Exception
    ) -> None:
        self._board.metrics.record_failure_event(event)
        logs.get().warning(event, backend=server.id, message=str(exc))

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
            self._record_malformed("server_limit_malformed", server, exc)
            return
        now = board.now()
        known = board.notices.limits.get(server.key)
        has_changed = board.notices.limits.record(
            now, server.key, asked_at, per_s
        )
        self._limits.record(
            server, per_s, has_changed=has_changed, was_permitted=is_permitted
        )
        if not has_changed:
            return
        board.metrics.record_limited_servers(len(board.notices.limits))
        logs.get().info(
            "server_limit_ended" if per_s is None else "server_limit_stated",
            backend=server.id,
            service=server.service,
            per_s=per_s,
            in_force_s=round(now - known.since, 3) if known else 0.0,
        )
