"""Gives out this host's shares of the limits that servers state."""

from collections.abc import Callable
import random

from nutmegscale import allocator_view
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import permit_allocator
from nutmegscale import routing_board

# Time after this host joined from which its shares fill, seconds: by then the
# others know it, and one that held the share before it has stopped.
SETTLE_S = 3.0
# Time after which a share that no host asks for is forgotten, seconds.
IDLE_S = 60.0


class LimitShares:
    """Answers hosts that ask for permits.

    Args:
      board: State of this host.
      link: Messages between hosts.
      view: Which hosts hold the shares of a limit.
      rng: Source of random numbers.
      deliver_local: Receives the replies to this host.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        view: allocator_view.AllocatorView,
        *,
        rng: random.Random,
        deliver_local: Callable[[messages.PermitReply], None],
    ) -> None:
        self._board = board
        self._mesh = link
        self._view = view
        self._rng = rng
        self._deliver_local = deliver_local
        self._shares: dict[str, permit_allocator.PermitAllocator] = {}
        self._joined_at: float | None = None
        link.on(messages.PermitRequest, self.receive)

    def record_joined(self) -> None:
        """Record that this host knows the others and they know it."""
        if self._joined_at is None:
            self._joined_at = self._board.now()

    def receive(self, sender: str, request: messages.PermitRequest) -> None:
        """Handle a host's request for permits."""
        share = self._share(request)
        if share is None:
            # Another host holds this share, or this one may not use it yet.
            reply = permit_allocator.Reply(sender, 0, SETTLE_S)
        else:
            reply = share.ask(
                self._board.now(), sender, request.wanted, request.per_s
            )
        self._reply(request.server, reply)

    def end_limit(self, server: str) -> None:
        """Record that the limit of a server has ended."""
        share = self._shares.get(server)
        if share is not None:
            for reply in share.end_limit(self._board.now()):
                self._reply(server, reply)

    def _share(
        self, request: messages.PermitRequest
    ) -> permit_allocator.PermitAllocator | None:
        """Return the share that a request is for; None if there is none."""
        server = request.server
        if self._joined_at is None or not self._view.holds_share(server):
            self._shares.pop(server, None)
            return None
        now = self._board.now()
        count = len(self._view.allocators(server))
        share = self._shares.get(server)
        if share is None:
            self._forget_idle(now)
            share = permit_allocator.PermitAllocator(
                shares=count,
                starts_at=max(now, self._joined_at + SETTLE_S),
                per_s=request.per_s,
                rng=self._rng,
            )
            self._shares[server] = share
            self._announce(server, request.per_s)
        share.set_shares(now, count)
        return share

    def _announce(self, server: str, per_s: float) -> None:
        """Tell the hosts that this one answers first of a server's limit."""
        update = messages.LimitUpdate(server, per_s)
        for host in self._view.nearest(server):
            self._mesh.send(host, update)

    def _forget_idle(self, now: float) -> None:
        for server, share in list(self._shares.items()):
            if now - share.last_asked_at > IDLE_S:
                del self._shares[server]
                self._view.forget(server)

    def _reply(self, server: str, reply: permit_allocator.Reply) -> None:
        message = messages.PermitReply(server, reply.permits, reply.wait_s)
        if reply.host == self._board.host:
            self._deliver_local(message)
        else:
            self._mesh.send(reply.host, message)
