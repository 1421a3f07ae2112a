"""Whether backend servers still have their place in the directory."""

from nutmegscale import crash_watch
from nutmegscale import routing_board


class ServerPresence:
    """`crash_watch.ServerDirectory` of a host's board."""

    def __init__(self, board: routing_board.RoutingBoard) -> None:
        self._board = board

    def is_leaving(self, server: crash_watch.Server) -> bool:
        """Whether a server may end soon; see `crash_watch.ServerDirectory`."""
        entry = self._board.backends.get(server.id)
        is_listed = entry is not None and entry.key == server.key
        is_draining = entry is not None and entry.is_draining
        is_leaving = is_draining or self._board.notices.is_leaving(server.key)
        return is_leaving or not is_listed

    def is_replaced(self, server: crash_watch.Server) -> bool:
        """Whether another has its place; see `crash_watch.ServerDirectory`."""
        return any(
            entry.key != server.key
            and (entry.id == server.id or entry.address == server.address)
            for entry in self._board.backends.all()
        )
