"""Background coroutines, and periodic ones on an injected clock."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import TypeVar

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure

from nutmegscale import errors
from nutmegscale import logs

_T = TypeVar("_T")


async def sleep(clock: Any, seconds: float) -> None:
    """Wait for a time in seconds on the given clock."""
    await task.deferLater(clock, seconds, lambda: None)


async def gather(works: Iterable[Awaitable[_T]]) -> list[_T]:
    """Run coroutines at the same time and return their results in order.

    The first exception of one is raised as it is, a cancellation, too.
    """
    running: list[defer.Deferred[_T]] = [
        defer.ensureDeferred(work)  # type: ignore[arg-type]
        for work in works
    ]
    try:
        return await defer.gatherResults(running, consumeErrors=True)
    except defer.FirstError as exc:
        assert exc.subFailure.value is not None
        raise exc.subFailure.value from exc


def spawn(work: Awaitable[Any]) -> defer.Deferred[Any]:
    """Run a coroutine in the background; log its failure unless cancelled."""
    running: defer.Deferred[Any] = defer.ensureDeferred(work)  # type: ignore[arg-type]
    running.addErrback(_log_failure)
    return running


def log_defect(exc: BaseException | None) -> None:
    """Log an exception that no code expected, with its place."""
    found = failure.Failure(exc)
    logs.get().error(
        "task_failed",
        error=type(exc).__name__,
        message=str(exc),
        trace=found.getBriefTraceback().replace("\n", " "),
    )


def _log_failure(found: failure.Failure) -> None:
    if not found.check(defer.CancelledError):
        log_defect(found.value)


class Periodic:
    """Runs a coroutine function repeatedly, with a pause after each run.

    If a run raises an exception, it is logged and the next run follows after
    the pause. One that isn't a NutmegscaleError is a defect and is logged as
    an error, with its place.
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
        self._starts = 0

    def start(self) -> None:
        """Start with an immediate first run, unless already started."""
        if self._running is None:
            self._starts += 1
            self._running = spawn(self._loop(self._starts))

    def stop(self) -> None:
        """Stop; cancels a run that is in progress."""
        running, self._running = self._running, None
        if running is not None:
            self._starts += 1
            running.cancel()

    async def _loop(self, start: int) -> None:
        # The work may turn its cancellation into another exception.
        while start == self._starts:
            try:
                await self._work()
            except errors.NutmegscaleError as exc:
                logs.get().warning(
                    "periodic_failed",
                    error=type(exc).__name__,
                    message=str(exc),
                )
            except defer.CancelledError:
                raise
            except Exception as exc:
                log_defect(exc)
            await sleep(self._clock, self._period_s)
