"""Reads of the store that several callers share."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import periodic


class SharedRead:
    """Lets callers share a read that began after each of them asked.

    A read that is in progress when a caller asks may miss what was written just
    before, so that this caller waits for the next one. Reads continue if a
    caller leaves. Answers many callers that ask within a short time for what
    only the store knows.
    """

    def __init__(
        self,
        clock: Any,
        read: Callable[[], Awaitable[None]],
        *,
        pause_s: float,
        failure_event: str,
    ) -> None:
        """Create the reader.

        Args:
          clock: Twisted clock.
          read: Reads and keeps the result; raises `errors.StoreError` if the
            store gave no usable answer.
          pause_s: Shortest time between the starts of two reads, seconds.
          failure_event: Name of the log event of a read that failed.
        """
        self._clock = clock
        self._read = read
        self._pause_s = pause_s
        self._failure_event = failure_event
        self._waiters: list[defer.Deferred[bool]] = []
        self._is_running = False
        self._started_at = -pause_s

    @property
    def is_running(self) -> bool:
        """Whether a read is in progress or due."""
        return self._is_running

    async def wait(self) -> bool:
        """Wait for a read that began after this call.

        Returns:
          Whether the store gave a usable answer.
        """
        waiter: defer.Deferred[bool] = defer.Deferred()
        self._waiters.append(waiter)
        if not self._is_running:
            self._is_running = True
            periodic.spawn(self._run())
        return await waiter

    async def _run(self) -> None:
        try:
            while self._waiters:
                due_s = self._started_at + self._pause_s - self._clock.seconds()
                if due_s > 0.0:
                    await periodic.sleep(self._clock, due_s)
                await self._serve_waiters()
        finally:
            self._is_running = False

    async def _serve_waiters(self) -> None:
        waiters, self._waiters = self._waiters, []
        self._started_at = self._clock.seconds()
        is_read = False
        try:
            await self._read()
            is_read = True
        except errors.StoreError as exc:
            logs.get().warning(self._failure_event, why=str(exc))
        except Exception as exc:
            # A defect must not hold up those who ask later.
            periodic.log_defect(exc)
        for waiter in waiters:
            if not waiter.called:
                waiter.callback(is_read)
