"""Requests that wait shortly for a permit, the most urgent ones first."""

from collections.abc import Callable
from collections.abc import Collection
from typing import Any

from twisted.internet import defer


class _Waiter:
    """A waiting request.

    Attributes:
      order: Rank of the request and its number; the lowest one goes first.
      servers: Keys of the servers that it may be sent to.
      is_ready: Fires with whether there is a permit for it.
    """

    def __init__(
        self, priority: int, number: int, servers: frozenset[str]
    ) -> None:
        self.order = (priority, number)
        self.servers = servers
        self.is_ready: defer.Deferred[bool] = defer.Deferred()

    def resolve(self, is_ready: bool) -> None:
        """End the wait, unless it has ended."""
        if not self.is_ready.called:
            self.is_ready.callback(is_ready)


class PermitWaiters:
    """Queue of the requests that wait for permits."""

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._count = 0

    async def wait(
        self, servers: Collection[str], *, priority: int, limit_s: float
    ) -> bool:
        """Wait for a permit for one of some servers.

        Args:
          servers: Keys of the servers.
          priority: Rank of the request; 0 goes first.
          limit_s: Longest wait, seconds.

        Returns:
          Whether there is a permit, which must be used at once.
        """
        self._count += 1
        waiter = _Waiter(priority, self._count, frozenset(servers))
        self._waiters.append(waiter)
        self._waiters.sort(key=lambda known: known.order)
        timer = self._clock.callLater(max(0.0, limit_s), waiter.resolve, False)
        try:
            return await waiter.is_ready
        finally:
            if timer.active():
                timer.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def wake(self, server: str, has_permit: Callable[[], bool]) -> None:
        """Let requests use the permits for a server.

        Args:
          server: Key of the server.
          has_permit: Returns whether a permit is left.
        """
        while has_permit():
            waiter = next(
                (w for w in self._waiters if server in w.servers), None
            )
            if waiter is None:
                return
            self._waiters.remove(waiter)
            waiter.resolve(True)
