"""Records what servers ask of this host, and tells other hosts of leavers."""

from nutmegscale import backend
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import rendezvous
from nutmegscale import routing_board

# Hosts that tell all others of a leaving server, so that the number of messages
# grows linearly with the number of hosts.
ANNOUNCING_HOSTS = 2


class NoticeController:
    """Writes `RoutingBoard.notices` except for limits.

    Args:
      board: State of this host.
      link: Messages between hosts.
    """

    def __init__(
        self, board: routing_board.RoutingBoard, link: mesh.Mesh
    ) -> None:
        self._board = board
        self._mesh = link
        link.on(messages.ServerLeaving, self._receive_leaving)

    def record_pause(self, server: backend.Backend, pause_s: float) -> None:
        """Record that a server turned a request away and wants a pause."""
        now = self._board.now()
        if pause_s > 0.0 and self._board.notices.record_pause(
            now, server.key, pause_s
        ):
            self._board.metrics.record_failure_event("server_paused")
            logs.get().info(
                "server_paused",
                backend=server.id,
                service=server.service,
                pause_s=pause_s,
            )

    def record_leaving(self, server: backend.Backend) -> None:
        """Record that an answer of a server says that it leaves."""
        self._apply_leaving(server.key, told_by=server.id)

    def _apply_leaving(self, server: str, *, told_by: str) -> None:
        board = self._board
        if not board.notices.record_leaving(board.now(), server):
            return
        backend_id = server.rpartition("@")[0]
        known = board.backends.get(backend_id)
        if known is not None and known.key == server:
            board.backends.mark_leaving(backend_id, known.incarnation)
        board.metrics.record_failure_event("server_leaving")
        logs.get().info("server_leaving", backend=backend_id, told_by=told_by)
        self._tell_others(server)

    def _tell_others(self, server: str) -> None:
        alive = self._board.membership.alive()
        announcers = rendezvous.rank(server.encode(), alive)[:ANNOUNCING_HOSTS]
        is_announcer = self._board.host in announcers
        for host in alive if is_announcer else announcers:
            if host != self._board.host:
                self._mesh.send(host, messages.ServerLeaving(server))

    def _receive_leaving(
        self, sender: str, message: messages.ServerLeaving
    ) -> None:
        self._apply_leaving(message.server, told_by=sender)
