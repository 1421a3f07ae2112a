"""Tests of the lag of a host's event loop."""

from twisted.internet import task

from nutmegscale import loop_lag
from nutmegscale import membership
from nutmegscale import routing_board


def test_a_host_that_was_suspended_notices_it_once() -> None:
    """Its peers may have taken it for unreachable, and sent it nothing."""
    clock = task.Clock()
    view = membership.Membership("a", "maadi", "tcp://a", period_s=0.8)
    board = routing_board.RoutingBoard("a", "maadi", clock, view=view)
    resumed: list[float] = []
    lag = loop_lag.LoopLag(
        board, on_resumed=lambda: resumed.append(clock.seconds())
    )
    lag.start()
    for step_s in (0.1, 0.1, 0.6, 0.1, 2.5, 0.1, 0.1):
        clock.advance(step_s)
    lag.stop()
    assert len(resumed) == 1
