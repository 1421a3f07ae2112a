"""Controller that polls the platform's host list."""

import contextlib
from typing import Any

import msgspec

from nutmegscale import blackboard
from nutmegscale import cell
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import periodic
from nutmegscale import platform_service
from nutmegscale import worker


class _EntryRow(msgspec.Struct):
    name: str
    failure_domain: str
    address: str


class DirectoryController:
    """Writes `Blackboard.workers` and `Blackboard.cells`.

    Also adds the entry hosts of the list to the membership. While the platform
    is unreachable, the last list stays in use.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        platform: platform_service.Platform,
    ) -> None:
        self._board = board
        self._platform = platform
        self._reads = periodic.Periodic(
            board.clock,
            board.settings["host_list_poll_s"],
            self._read,
        )
        self._rows: list[dict[str, Any]] = []
        self._applied: tuple[object, ...] = ()

    def start(self) -> None:
        """Start polling the list."""
        self._reads.start()

    def stop(self) -> None:
        """Stop polling the list."""
        self._reads.stop()

    async def _read(self) -> None:
        with contextlib.suppress(errors.PlatformUnavailableError):
            rows = await self._platform.hosts()
            self._rows = self._rows if rows is None else rows
        self._add_hosts()
        self.update_workers()

    def _add_hosts(self) -> None:
        for row in self._rows:
            if row.get("kind") != "entry" or row.get("state") != "live":
                continue
            try:
                entry = decoding.convert(row, _EntryRow)
            except errors.MalformedDataError as exc:
                _log_skipped(row, exc)
                continue
            if entry.name != self._board.host:
                self._board.membership.add_host(
                    self._board.now(),
                    entry.name,
                    entry.failure_domain,
                    entry.address,
                )

    def update_workers(self) -> None:
        """Derive workers and cells from the last list and the configuration.

        An empty list of workers never replaces one that isn't empty.
        """
        config = self._board.config
        if config is None:
            return
        workers = parse_rows(self._rows, config.document["pools"])
        state = (config.revision, tuple(sorted(workers.items())))
        if state == self._applied or (not workers and self._board.workers):
            return
        self._applied = state
        self._board.workers = workers
        self._board.cells = {
            service: cell.make_cells(service, workers.values())
            for service in config.document["services"]
        }
        self._board.leaving_workers &= workers.keys()
        self._board.record_event("directory.changed", workers=len(workers))


def parse_rows(
    rows: list[dict[str, Any]], pools: dict[str, Any]
) -> dict[str, worker.Worker]:
    """Return the backend servers of the given pools in a host list, by name."""
    found = {}
    for row in rows:
        if row.get("kind") != "backend":
            continue
        try:
            known = worker.from_row(row, pools)
        except errors.MalformedDataError as exc:
            _log_skipped(row, exc)
            continue
        if known is not None:
            found[known.name] = known
    return found


def _log_skipped(row: dict[str, Any], exc: errors.MalformedDataError) -> None:
    logs.get().warning(
        "host_row_skipped", key=str(row.get("name")), why=str(exc)
    )
