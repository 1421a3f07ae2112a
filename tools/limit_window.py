"""How close requests come to a server's stated limit, from what it received.

A limit states the requests a second that a server takes from all hosts
together, while it is in force. In any window, those of hosts that were told of
it some time before may exceed it by half, and by a fixed number.
"""

import bisect
from collections.abc import Sequence
from typing import NamedTuple

WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXTRA_REQUESTS = 5
# Time after which a host that was told of a limit is bound by it, seconds.
TOLD_S = 0.5


class Statement(NamedTuple):
    """A limit from a time on: requests a second, or None if there is none."""

    at: float
    per_s: float | None


class Contact(NamedTuple):
    """A request, or an answer that states a limit.

    Attributes:
      at: When the request arrived or the answer was sent, seconds.
      host: Host that sent or got it.
    """

    at: float
    host: str


class WorstWindow(NamedTuple):
    """The window that comes closest to the limit of a server, or beyond it.

    Attributes:
      from_s: Start of the window, seconds.
      requests: Requests of hosts that were told.
      allowed: Requests that the limit allows them.
    """

    from_s: float
    requests: int
    allowed: float

    @property
    def is_exceeded(self) -> bool:
        """Whether there are more requests than allowed."""
        return self.requests > self.allowed

    def __str__(self) -> str:
        """Return the figures as one line."""
        return (
            f"{self.requests} requests in {WINDOW_S:.0f} s from "
            f"{self.from_s:.1f} s, allowed {self.allowed:.1f}"
        )


def worst_window(
    statements: Sequence[Statement],
    requests: Sequence[Contact],
    told: Sequence[Contact],
) -> WorstWindow | None:
    """Find the worst window of a server.

    Args:
      statements: What the server stated, in order of time.
      requests: All requests that reached it, in order of time.
      told: Its answers that stated a limit, in order of time.

    Returns:
      The window; None if no host that was told sent anything.
    """
    counted = [
        request.at
        for request in requests
        if _is_bound(statements, told, request)
    ]
    windows = [
        WorstWindow(
            start,
            bisect.bisect_right(counted, start + WINDOW_S)
            - bisect.bisect_left(counted, start),
            EXCESS_RATIO * _permitted(statements, start, start + WINDOW_S)
            + EXTRA_REQUESTS,
        )
        for start in counted
    ]
    return max(windows, key=lambda w: w.requests - w.allowed, default=None)


def _is_bound(
    statements: Sequence[Statement], told: Sequence[Contact], request: Contact
) -> bool:
    """Whether a request's host was told of the limit in force long enough."""
    in_force = [s for s in statements if s.at <= request.at]
    if not in_force or in_force[-1].per_s is None:
        return False
    ends = [s.at for s in in_force if s.per_s is None]
    since = ends[-1] if ends else in_force[0].at
    return any(
        contact.host == request.host
        and since <= contact.at <= request.at - TOLD_S
        for contact in told
    )


def _permitted(
    statements: Sequence[Statement], start: float, end: float
) -> float:
    """Return the requests that the limits permit within a time."""
    total = 0.0
    for index, statement in enumerate(statements):
        is_last = index + 1 == len(statements)
        until = end if is_last else min(end, statements[index + 1].at)
        span_s = until - max(start, statement.at)
        if statement.per_s is not None and span_s > 0.0:
            total += statement.per_s * span_s
    return total
