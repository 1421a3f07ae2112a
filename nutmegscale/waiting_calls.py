"""Calls whose answer hasn't started, for a host that is cut off."""

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import routing_board
from nutmegscale import upstream_call

# Silence of a server from which on this host doesn't wait for it once it is cut
# off: connections may live on while new ones are refused, seconds.
MIN_SILENCE_S = 0.3


class WaitingCalls:
    """Calls that may run twice, so that another host can serve them instead.

    Answers hosts that are cut off while callers wait for servers on connections
    that deliver nothing more.
    """

    def __init__(self, board: routing_board.RoutingBoard) -> None:
        self._board = board
        self._waiting: dict[upstream_call.Call, backend.Backend] = {}

    def add(self, call: upstream_call.Call, server: backend.Backend) -> None:
        """Add a call whose answer hasn't started."""
        self._waiting[call] = server

    def discard(self, call: upstream_call.Call) -> None:
        """Remove a call, if it is there."""
        self._waiting.pop(call, None)

    def abandon(self) -> None:
        """Stop waiting for servers that this host is cut off from.

        Calls on connections that still deliver answers wait on.
        """
        now, loads = self._board.now(), self._board.loads
        for call, server in list(self._waiting.items()):
            silent_s = loads.silent_s(now, server)
            if silent_s is not None and silent_s >= MIN_SILENCE_S:
                call.failed(errors.CutOffError(f"cut off from {server.id}"))
