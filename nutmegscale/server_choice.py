"""Choice of a server for a call or a stream of a service without engines."""

from collections.abc import Callable
from collections.abc import Collection
import math
import random
from typing import NamedTuple

from nutmegscale import adaptive
from nutmegscale import backend
from nutmegscale import crash_watch
from nutmegscale import limit_controller
from nutmegscale import request_context
from nutmegscale import routing_board

# With less time left, no server is tried, seconds.
MIN_TIME_LEFT_S = 0.01
# Retry-After of a call that ran on no server, seconds.
REJECTED_RETRY_AFTER_S = 0.3
# Part of its target for which a call is held while all servers are at their
# limits.
HOLD_PART = 0.1
# Part of the time left to its deadline for which a call is held at most.
MAX_HOLD_PART = 1 / 3


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
        is_adaptive: Callable[[], bool] = lambda: False,
    ) -> None:
        self._board = board
        self._crashes = crashes
        self._limits = limits
        self._rng = rng
        self._is_adaptive = is_adaptive
        self._selector = adaptive.ServerSelector(board.estimates, rng)
        self._held = adaptive.HeldCalls(board.clock)

    def wake(self, service: str) -> None:
        """Let held calls of a service go that a server has room for."""
        self._held.wake(service)

    async def choose_with_permit(
        self,
        context: request_context.RequestContext,
        *,
        avoid: Collection[str] = (),
        version: str = "",
    ) -> backend.Backend | None:
        """Choose a server, once permits for limited ones were asked for.

        While all servers are at their limits, a call that was sent to none yet
        is held, and then refused if that lasts. See `choose`.
        """
        if self._board.notices.limits:
            await self._limits.prepare(
                self._board.wanted_servers(context.service),
                priority=context.rank,
            )
        if not context.tries and not await self._hold(context, avoid, version):
            return None
        return self.choose(context, avoid=avoid, version=version)

    async def _hold(
        self,
        context: request_context.RequestContext,
        avoid: Collection[str],
        version: str,
    ) -> bool:
        """Hold a call while all servers are at their limits.

        Returns:
          Whether it may be sent; False if the servers couldn't serve it within
          their callers' targets.
        """

        def _has_room(**options: float) -> bool:
            candidates = self._adaptive_candidates(context, avoid, version)
            return not candidates or bool(
                self._selector.with_room(
                    self._board.now(), candidates, target_s, **options
                )
            )

        target_s = _target_s(context)
        must_wait = self._held.must_wait(
            context.service, context.rank, context.deadline
        )
        if not must_wait and _has_room():
            return True
        is_ready = await self._held.wait(
            context.service,
            _has_room,
            rank=context.rank,
            deadline=context.deadline,
            limit_s=max(
                0.0, min(HOLD_PART * target_s, context.left_s * MAX_HOLD_PART)
            ),
        )
        return is_ready or _has_room(stretch=adaptive.FULL_STRETCH)

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
        candidates = self._adaptive_candidates(context, avoid, version)
        if candidates:
            return self._choose_adaptively(context, candidates)
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
        full = self._refuse_full(context, avoid, version)
        if full is not None:
            return full
        paused_s = self._board.paused_for_s(
            context.service, priority=context.rank, rng=self._rng
        )
        if paused_s:
            return NoServer("paused", paused_s)
        return NoServer("no_server", REJECTED_RETRY_AFTER_S)

    def _adaptive_candidates(
        self,
        context: request_context.RequestContext,
        avoid: Collection[str],
        version: str,
        *,
        is_tried_left_out: bool = True,
    ) -> list[adaptive.Candidate]:
        """Return the servers to choose from if they report their paces.

        Args:
          context: The request.
          avoid: Ids of servers that must not be chosen.
          version: Software version that they must have; "" for any.
          is_tried_left_out: Whether those that it was sent to are left out.

        Returns:
          The servers; none if the choice is by load alone.
        """
        board, now = self._board, self._board.now()
        servers = self._servers(context.service, version)
        if not self._is_adaptive() or not any(
            board.estimates.is_reporting(now, s.key) for s in servers
        ):
            return []
        tried = context.tries if is_tried_left_out else ()
        if board.notices.limits:
            servers = tuple(
                s for s in servers if self._limits.may_call(s, context.rank)
            )
        return [
            adaptive.Candidate(
                server,
                board.loads.outstanding(server),
                board.loads.silent_s(now, server) or 0.0,
                is_permitted=bool(self._limits.permits(server)),
            )
            for server in board.loads.usable(
                now, servers, avoid=frozenset((*tried, *avoid))
            )
        ]

    def _choose_adaptively(
        self,
        context: request_context.RequestContext,
        candidates: list[adaptive.Candidate],
    ) -> backend.Backend:
        now, target_s = self._board.now(), _target_s(context)
        left_s = target_s - (now - context.incoming.arrived)
        return self._selector.choose(now, candidates, target_s, left_s)

    def _refuse_full(
        self,
        context: request_context.RequestContext,
        avoid: Collection[str],
        version: str,
    ) -> NoServer | None:
        """Explain a refusal because all servers are at their limits."""
        candidates = self._adaptive_candidates(
            context, avoid, version
        ) or self._adaptive_candidates(
            context, avoid, version, is_tried_left_out=False
        )
        if not candidates:
            return None
        retry_after_s = self._selector.refuse(
            self._board.now(), candidates, _target_s(context)
        )
        return NoServer("servers_full", round(retry_after_s, 3))

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


def _target_s(context: request_context.RequestContext) -> float:
    """Return the time in which a call is to be answered, seconds."""
    return context.route.objective_s or math.inf
