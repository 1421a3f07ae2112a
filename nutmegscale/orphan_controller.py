"""Controller that cancels the engines' runs that no host serves any more."""

from typing import NamedTuple

from nutmegscale import blackboard
from nutmegscale import cancel_controller
from nutmegscale import errors
from nutmegscale import home_controller
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import worker

# Checks in a row that find no host serving a run, after which it is cancelled.
CHECKS_TO_CANCEL = 2
# Younger decode runs aren't checked.
MIN_DECODE_AGE_S = 0.5
CHECK_PERIOD_S = 4.0


class _RunCheck(NamedTuple):
    """Checks of a run that a worker lists in its reports.

    Attributes:
      checked_at: Monotonic time of the last check, or of the first report that
        listed the run, seconds.
      failed_checks: Checks in a row that found no host serving the run.
    """

    checked_at: float
    failed_checks: int


class OrphanController:
    """Finds orphaned runs in the reports of workers, and cancels them.

    A run is checked with each report when its host isn't alive or the last
    check failed, and every CHECK_PERIOD_S otherwise, since its host may have
    restarted or a cancel may have been lost.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        link: mesh.Mesh,
        homes: home_controller.HomeController,
        cancels: cancel_controller.CancelController,
    ) -> None:
        self._board = board
        self._mesh = link
        self._homes = homes
        self._cancels = cancels
        self._runs: dict[str, dict[str, _RunCheck]] = {}

    async def check(
        self, reporter: worker.Worker, report: worker.Report
    ) -> None:
        """Check the runs of a report, and cancel those that no host serves."""
        known = self._runs.get(reporter.name, {})
        now = self._board.now()
        self._runs[reporter.name] = runs = {
            run.run_id: known.get(run.run_id, _RunCheck(now, 0))
            for run in report.running
        }
        by_host: dict[str, list[str]] = {}
        for run in report.running:
            if self._is_due(run, runs[run.run_id]):
                by_host.setdefault(run.host, []).append(run.run_id)
        for host, run_ids in by_host.items():
            live = await self._live_runs(host, run_ids)
            for run_id in run_ids:
                self._record_check(reporter, host, run_id, run_id in live)

    def _is_due(self, run: worker.Running, known: _RunCheck) -> bool:
        if run.phase == "decode" and run.age_s < MIN_DECODE_AGE_S:
            return False
        member = self._board.membership.get(run.host)
        is_alive = member is not None and member.state == membership.State.ALIVE
        is_old = self._board.now() - known.checked_at >= CHECK_PERIOD_S
        return not is_alive or is_old or known.failed_checks > 0

    def _record_check(
        self, reporter: worker.Worker, host: str, run_id: str, is_live: bool
    ) -> None:
        known = self._runs[reporter.name].get(run_id)
        if known is None:
            return
        failed_checks = 0 if is_live else known.failed_checks + 1
        self._runs[reporter.name][run_id] = _RunCheck(
            self._board.now(), failed_checks
        )
        if failed_checks >= CHECKS_TO_CANCEL:
            self._board.record_event(
                "run.orphaned",
                worker.exchange_of(run_id),
                worker=reporter.name,
                host=host,
            )
            self._cancels.cancel(reporter.address, run_id)

    async def _live_runs(self, host: str, run_ids: list[str]) -> set[str]:
        """Return the runs that count as served.

        If their host answers, its answer counts, even if it is marked as dead.
        If it doesn't answer and isn't marked as dead yet, all its runs count as
        served. If it is dead or unknown, the hosts that took over are asked.
        """
        live = await self._query_live_runs(host, run_ids)
        if live is not None:
            return live
        member = self._board.membership.get(host)
        if member is not None and member.state != membership.State.DEAD:
            return set(run_ids)
        return await self._taken_over_runs(run_ids)

    async def _taken_over_runs(self, run_ids: list[str]) -> set[str]:
        """Return the runs of a dead host that another host took over."""
        live: set[str] = set()
        for run_id in run_ids:
            host = await self._homes.look_up(worker.exchange_of(run_id))
            if host is not None and not self._board.membership.is_dead(host):
                live |= await self._query_live_runs(host, [run_id]) or set()
        return live

    async def _query_live_runs(
        self, host: str, run_ids: list[str]
    ) -> set[str] | None:
        """Ask a host which runs it serves; return None without an answer."""
        request = messages.LiveRunsRequest(tuple(run_ids))
        try:
            reply = await self._mesh.call(host, request, messages.LiveRunsReply)
        except errors.PeerError:
            return None
        return set(reply.run_ids)
