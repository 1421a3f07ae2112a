"""Measures how far the event loop of this host is behind."""

from collections.abc import Callable
from typing import Any

from nutmegscale import logs
from nutmegscale import routing_board

PERIOD_S = 0.1
# A lag from which on it is logged, once until it has ended, seconds.
LOGGED_LAG_S = 0.25
# A lag from which on the host counts as suspended: its peers may have taken it
# for unreachable, seconds.
SUSPENDED_S = 1.0


class LoopLag:
    """Writes `RoutingBoard.loop_lag_s`.

    A request that has just been read may have waited in its socket for that
    long, and what is written leaves the host that much later. The longer of the
    last two measurements counts, so that a short burst ends it soon.

    Args:
      board: State of this host.
      on_resumed: Called when the host was suspended.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        *,
        on_resumed: Callable[[], None] = lambda: None,
    ) -> None:
        self._board = board
        self._on_resumed = on_resumed
        self._before_s = 0.0
        self._due_at = 0.0
        self._timer: Any = None

    def start(self) -> None:
        """Start measuring."""
        self._schedule()

    def stop(self) -> None:
        """Stop measuring."""
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _schedule(self) -> None:
        self._due_at = self._board.now() + PERIOD_S
        self._timer = self._board.clock.callLater(PERIOD_S, self._measure)

    def _measure(self) -> None:
        lag_s = max(0.0, self._board.now() - self._due_at)
        # First, so that a defect below doesn't leave an old lag in force.
        self._schedule()
        worst_s = max(lag_s, self._before_s)
        was_logged = self._board.loop_lag_s >= LOGGED_LAG_S
        self._before_s = lag_s
        self._board.loop_lag_s = worst_s
        self._board.metrics.record_loop_lag(worst_s)
        if worst_s >= LOGGED_LAG_S and not was_logged:
            logs.get().warning("loop_lagged", lag_s=round(worst_s, 3))
        if lag_s >= SUSPENDED_S:
            self._on_resumed()
