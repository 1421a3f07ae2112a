"""Calls that wait at their host while all servers are at their limits."""

from collections.abc import Callable
import itertools
from typing import Any

from twisted.internet import defer

# Calls without room after which no further one is looked at, to bound the time
# that a look takes.
MAX_MISSES = 8


class _HeldCall:
    """A waiting call.

    Attributes:
      order: Rank, deadline and number of the call; the lowest goes first.
      has_room: Returns whether a server has room for it.
      is_ready: Fires with whether one has.
    """

    def __init__(
        self,
        order: tuple[int, float, int],
        has_room: Callable[[], bool],
    ) -> None:
        self.order = order
        self.has_room = has_room
        self.is_ready: defer.Deferred[bool] = defer.Deferred()

    def resolve(self, is_ready: bool) -> None:
        """End the wait, unless it has ended."""
        if not self.is_ready.called:
            self.is_ready.callback(is_ready)


class HeldCalls:
    """Queue of calls by rank and deadline, each for a bounded time.

    Answers bursts beyond what the servers serve within their callers' targets,
    which they would queue or reject otherwise. Room also comes without any
    event at this host, as when other hosts' calls end, so that the queue looks
    for it periodically while calls wait.

    Args:
      clock: Source of timers.
      period_s: How often it looks, seconds.
      max_calls: Calls of one service that may wait.
    """

    def __init__(
        self, clock: Any, *, period_s: float = 0.01, max_calls: int = 200
    ) -> None:
        self._clock = clock
        self._period_s = period_s
        self._max_calls = max_calls
        self._queues: dict[str, list[_HeldCall]] = {}
        self._numbers = itertools.count()
        self._timer: Any = None

    def count(self, service: str) -> int:
        """Return the waiting calls of a service."""
        return len(self._queues.get(service, ()))

    def must_wait(self, service: str, rank: int, deadline: float) -> bool:
        """Whether waiting calls of a service go before a new one."""
        queue = self._queues.get(service, [])
        return bool(queue) and queue[0].order[:2] <= (rank, deadline)

    async def wait(
        self,
        service: str,
        has_room: Callable[[], bool],
        *,
        rank: int,
        deadline: float,
        limit_s: float,
    ) -> bool:
        """Wait until a server has room for a call.

        Args:
          service: Service of the call.
          has_room: Returns whether a server has room for it.
          rank: Its rank; 0 goes first.
          deadline: When it must be answered, seconds.
          limit_s: Longest wait, seconds.

        Returns:
          Whether there is room, which must be used at once.
        """
        queue = self._queues.setdefault(service, [])
        if len(queue) >= self._max_calls:
            return False
        held = _HeldCall((rank, deadline, next(self._numbers)), has_room)
        queue.append(held)
        queue.sort(key=lambda known: known.order)
        timer = self._clock.callLater(max(0.0, limit_s), held.resolve, False)
        self._look_later()
        try:
            return await held.is_ready
        finally:
            if timer.active():
                timer.cancel()
            if held in queue:
                queue.remove(held)

    def wake(self, service: str) -> None:
        """Let calls go that a server has room for, the first ones first."""
        queue = self._queues.get(service, [])
        misses = 0
        for held in list(queue):
            if held.has_room():
                # Sending it takes the room: the next one is asked anew.
                queue.remove(held)
                held.resolve(True)
                continue
            # One with a later target may have room where this one hasn't.
            misses += 1
            if misses >= MAX_MISSES:
                return

    def _look_later(self) -> None:
        if self._timer is None:
            self._timer = self._clock.callLater(self._period_s, self._look)

    def _look(self) -> None:
        self._timer = None
        for service in list(self._queues):
            self.wake(service)
        self._queues = {s: q for s, q in self._queues.items() if q}
        if self._queues:
            self._look_later()
