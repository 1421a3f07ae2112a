"""Choice of a server for a call or a stream of a service without engines."""

from collections.abc import Collection
import random
from typing import NamedTuple

from nutmegscale import backend
from nutmegscale import crash_watch
from nutmegscale import limit_controller
from nutmegscale import request_context
from nutmegscale import routing_board

# With less time left, no server is tried, seconds.
MIN_TIME_LEFT_S = 0.01
# Retry-After of a call that ran on no server, seconds.
REJECTED_RETRY_AFTER_S = 0.3


class NoServer(NamedTuple):
    """Why no server can be chosen for a request.

    Attributes:
      reason: Stable machine-readable name.
      retry_after_s: Time after which the caller may send it again, seconds.
    """

    reason: str
    retry_after_s: float


class ServerChoice:
    """Chooses servers by load, apart from suspects, within their limits."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        crashes: crash_watch.CrashWatch,
        limits: limit_controller.LimitController,
        *,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._crashes = crashes
        self._limits = limits
        self._rng = rng

    async def choose_with_permit(
        self,
        context: request_context.RequestContext,
        *,
        avoid: Collection[str] = (),
        version: str = "",
    ) -> backend.Backend | None:
        """Choose a server, once permits for limited ones were asked for.

        See `choose`.
        """
        if self._board.notices.limits:
            await self._limits.prepare(
                self._board.wanted_servers(context.service),
                priority=context.rank,
            )
        return self.choose(context, avoid=avoid, version=version)

    def choose(
        self,
        context: request_context.RequestContext,
        *,
        avoid: Collection[str] = (),
        version: str = "",
    ) -> backend.Backend | None:
        """Choose a server that a request wasn't sent to yet.

        Args:
          context: The request.
          avoid: Ids of further servers that must not be chosen.
          version: Software version that the server must have; "" for any.

        Returns:
          The server; None if there is none.
        """
        loads, now = self._board.loads, self._board.now()
        servers = self._servers(context.service, version)
        if self._board.notices.limits:
            rank = context.rank
            servers = tuple(
                s for s in servers if self._limits.may_call(s, rank)
            )
        tried = frozenset((*context.tries, *avoid))
        healthy = {
            server.id: server
            for server in servers
            if server.id not in tried and not loads.is_paused(now, server)
        }
        apart = self._crashes.server_apart(context.content, healthy)
        if apart is not None:
            return healthy[apart]
        return loads.choose(
            now,
            servers,
            self._board.failure_domain,
            avoid=tried,
            # A permit is lost if it isn't used soon.
            preferred=frozenset(
                server.id for server in servers if self._limits.permits(server)
            ),
        )

    def explain(
        self,
        context: request_context.RequestContext,
        *,
        avoid: Collection[str] = (),
        version: str = "",
    ) -> NoServer:
        """Explain why `choose` finds no server; the arguments are the same."""
        if context.left_s < MIN_TIME_LEFT_S:
            # No server ran it, so the caller may safely retry, even a call
            # that must not run twice.
            return NoServer("too_little_time", REJECTED_RETRY_AFTER_S)
        limited = self._limited_servers(context, avoid, version)
        if limited:
            retry_after_s = self._limits.refuse(
                context.service, limited, priority=context.rank
            )
            return NoServer("limited", retry_after_s)
        paused_s = self._board.paused_for_s(
            context.service, priority=context.rank, rng=self._rng
        )
        if paused_s:
            return NoServer("paused", paused_s)
        return NoServer("no_server", REJECTED_RETRY_AFTER_S)

    def _servers(
        self, service: str, version: str
    ) -> tuple[backend.Backend, ...]:
        servers = self._board.wanted_servers(service)
        if not version:
            return servers
        return tuple(s for s in servers if s.version == version)

    def _limited_servers(
        self,
        context: request_context.RequestContext,
        avoid: Collection[str],
        version: str,
    ) -> tuple[backend.Backend, ...]:
        """Return the servers that only their limits keep from being chosen."""
        loads, now = self._board.loads, self._board.now()
        tried = {*context.tries, *avoid}
        return tuple(
            server
            for server in self._servers(context.service, version)
            if server.id not in tried
            and not self._limits.may_call(server, context.rank)
            and not loads.is_paused(now, server)
        )
