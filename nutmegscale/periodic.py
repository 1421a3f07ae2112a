"""Background coroutines, and periodic ones on an injected clock."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from nutmegscale import errors
from nutmegscale import logs


async def sleep(clock: Any, seconds: float) -> None:
    """Wait for a time in seconds on the given clock."""
    await task.deferLater(clock, seconds, lambda: None)


def spawn(work: Awaitable[Any]) -> defer.Deferred[Any]:
    """Run a coroutine in the background; log its failure unless cancelled."""
    running: defer.Deferred[Any] = defer.ensureDeferred(work)  # type: ignore[arg-type]
    running.addErrback(_log_failure)
    return running


def _log_failure(failure: Any) -> None:
    if failure.check(defer.CancelledError):
        return
    logs.get().error(
        "task_failed",
        error=failure.type.__name__,
        message=failure.getErrorMessage(),
        trace=failure.getBriefTraceback().replace("\n", " "),
    )


class Periodic:
    """Runs a coroutine function repeatedly, with a pause after each run.

    If a run raises a NutmegscaleError, it is logged and the next run follows
    after the pause. Any other exception is logged and ends the runs.
    """

    def __init__(
        self,
        clock: Any,
        period_s: float,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._period_s = period_s
        self._work = work
        self._running: defer.Deferred[Any] | None = None

    def start(self) -> None:
        """Start with an immediate first run, unless already started."""
        if self._running is None:
            self._running = spawn(self._loop())

    def stop(self) -> None:
        """Stop; cancels a run that is in progress."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    async def _loop(self) -> None:
        while True:
            try:
                await self._work()
            except errors.NutmegscaleError as exc:
                logs.get().warning(
                    "periodic_failed",
                    error=type(exc).__name__,
                    message=str(exc),
                )
            await sleep(self._clock, self._period_s)
