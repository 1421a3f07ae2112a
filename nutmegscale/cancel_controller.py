"""Controller that cancels runs on engines, so that their memory is freed."""

from collections.abc import Callable

from nutmegscale import blackboard
from nutmegscale import engine
from nutmegscale import errors
from nutmegscale import periodic

RETRY_DELAY_S = 0.25
GIVE_UP_AFTER_S = 30.0


class CancelController:
    """Cancels runs on engines.

    A cancel is retried until the engine confirms it or GIVE_UP_AFTER_S passed.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        engines: Callable[[str], engine.Engine],
    ) -> None:
        self._board = board
        self._engines = engines
        self._pending: set[tuple[str, str]] = set()

    @property
    def pending(self) -> int:
        """Number of cancels that aren't confirmed yet."""
        return len(self._pending)

    def cancel(self, url: str, run_id: str) -> None:
        """Start to free everything that a run holds on an engine."""
        if (url, run_id) in self._pending:
            return
        self._pending.add((url, run_id))
        periodic.spawn(self._cancel(url, run_id))

    async def _cancel(self, url: str, run_id: str) -> None:
        deadline = self._board.now() + GIVE_UP_AFTER_S
        try:
            while self._board.now() < deadline:
                try:
                    await self._engines(url).cancel(run_id)
                except errors.EngineError:
                    await periodic.sleep(self._board.clock, RETRY_DELAY_S)
                    continue
                self._board.record_event(
                    "run.cancelled", run_id.partition(".")[0], run=run_id
                )
                return
            self._board.record_event(
                "run.cancel_failed", run_id.partition(".")[0]
            )
        finally:
            self._pending.discard((url, run_id))
