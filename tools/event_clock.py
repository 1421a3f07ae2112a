"""Event queue with virtual time, for simulations of the decision logic."""

import heapq
import itertools
from typing import Any


class _Timer:
    """A scheduled call; implements the needed part of IDelayedCall."""

    def __init__(self) -> None:
        self.is_cancelled = False
        self.is_called = False

    def active(self) -> bool:
        """Return whether the call is still pending."""
        return not (self.is_cancelled or self.is_called)

    def cancel(self) -> None:
        """Cancel the call."""
        self.is_cancelled = True


class EventClock:
    """Timers in virtual time; the part of IReactorTime that engines need."""

    def __init__(self) -> None:
        self._now = 0.0
        self._queue: list[tuple[float, int, _Timer, Any, Any]] = []
        self._numbers = itertools.count()

    def seconds(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def callLater(  # noqa: N802
        self, delay: float, function: Any, *args: Any
    ) -> _Timer:
        """Schedule a call of a function after a delay in seconds."""
        timer = _Timer()
        due = self._now + max(0.0, delay)
        entry = (due, next(self._numbers), timer, function, args)
        heapq.heappush(self._queue, entry)
        return timer

    def run(self, until: float) -> None:
        """Advance to a time and run every call that is due by then."""
        while self._queue and self._queue[0][0] <= until:
            due, _, timer, function, args = heapq.heappop(self._queue)
            if timer.is_cancelled:
                continue
            self._now = due
            timer.is_called = True
            function(*args)
        self._now = until
