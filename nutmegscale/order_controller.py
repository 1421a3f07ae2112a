"""Orders engines into their target state, under a failure domain's lease."""

from collections.abc import Callable

from nutmegscale import blackboard
from nutmegscale import engine
from nutmegscale import errors
from nutmegscale import lease
from nutmegscale import logs
from nutmegscale import periodic
from nutmegscale import platform_service
from nutmegscale import worker

PERIOD_S = 1.0


class OrderController:
    """Orders the engines of a failure domain into their target state.

    A host requests the lease only while the configuration sets a target state
    for an engine of its domain. An order states the target state, carries the
    fencing number, and is repeated until the engine reports that state.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        platform: platform_service.Platform,
        engines: Callable[[str], engine.Engine],
        *,
        boot_now: Callable[[], float],
        era_known_s: Callable[[int], float],
    ) -> None:
        self._board = board
        self._engines = engines
        domain = board.settings["failure_domain"]
        self._lease = lease.Lease(
            platform,
            f"lease/{domain}",
            board.host,
            now=boot_now,
            era_known_s=era_known_s,
        )
        self._period = periodic.Periodic(board.clock, PERIOD_S, self._tick)

    def start(self) -> None:
        """Start comparing engines with their target states."""
        self._period.start()

    def stop(self) -> None:
        """Stop giving orders."""
        self._period.stop()

    async def leave(self) -> None:
        """Stop and release the lease, for a graceful shutdown."""
        self._period.stop()
        if self._lease.fence is not None:
            await self._lease.release()

    async def _tick(self) -> None:
        target_states = self._target_states()
        if not target_states or await self._lease.maintain() is None:
            return
        for target, leaving in target_states:
            await self._send_order(target, leaving)

    def _target_states(self) -> list[tuple[worker.Worker, bool]]:
        """Return this domain's engines that have a target state.

        Returns:
          Each engine with whether it should be leaving.
        """
        current = self._board.config
        states = current.document.get("workers", {}) if current else {}
        domain = self._board.settings["failure_domain"]
        return [
            (target, states[target.name]["leaving"])
            for target in self._board.workers.values()
            if target.name in states
            and target.failure_domain == domain
            and target.role != "plain"
        ]

    async def _send_order(self, target: worker.Worker, leaving: bool) -> None:
        client = self._engines(target.address)
        try:
            report = await client.report(0)
            # Read again after each wait: the lease may have expired while this
            # host was suspended.
            fence = self._lease.fence
            if report.leaving == leaving or fence is None:
                return
            await client.order(fence, leaving)
        except errors.EngineError as exc:
            logs.get().warning(
                "order_failed", worker=target.name, error=type(exc).__name__
            )
            return
        self._board.record_event(
            "order.given", worker=target.name, fence=fence, leaving=leaving
        )
