"""Another program that leaves odd rows in the tables of the soak test."""

import pathlib
import random

from twisted.internet import defer

from nutmegscale import host_rows
from nutmegscale import periodic
from nutmegscale.platform import worker_entries
from standins import odd_rows
from tools import soak_callers
from tools import soak_world

PROMISE = "no task of a daemon ends by a defect"
DEFECT_EVENTS = (
    b"event=task_failed",
    b"event=follower_failed",
    b"event=row_skipped",
    b"event=message_failed",
    b"event=answer_out_of_order",
)
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0


class OddRows:
    """Writes odd entries of servers and rows of hosts, and removes them again.

    What the other promises of the soak say of the rows beside them still holds:
    hosts follow the servers, find each other, and don't end.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        callers: soak_callers.Callers,
        folder: pathlib.Path,
        rng: random.Random,
    ) -> None:
        """Create the writer.

        Args:
          deployment: Hosts, backend servers and store.
          callers: Callers, which record violations.
          folder: Where the hosts write their logs.
          rng: Source of random numbers.
        """
        self._deployment = deployment
        self._callers = callers
        self._folder = folder
        self._rng = rng
        # Logs of an earlier soak in the same folder don't count.
        self._logged_before = {
            path: path.stat().st_size for path in folder.glob("host-*.log")
        }
        self._count = 0
        self._running: defer.Deferred[None] | None = None

    @property
    def count(self) -> int:
        """Number of rows that were written."""
        return self._count

    def start(self) -> None:
        """Start writing."""
        self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop writing."""
        if self._running is not None:
            self._running.cancel()

    def check(self) -> None:
        """Check that no host has logged a defect."""
        for path in sorted(self._folder.glob("host-*.log")):
            logged = path.read_bytes()[self._logged_before.get(path, 0) :]
            lines = logged.splitlines()
            found = [
                line
                for line in lines
                if any(event in line for event in DEFECT_EVENTS)
            ]
            if found:
                first = found[0].decode("utf-8", "replace")
                self._callers.record_violation(
                    PROMISE, path.stem, f"{len(found)} times, first: {first}"
                )

    async def _run(self) -> None:
        entries = sorted(odd_rows.entries().values())
        hosts = sorted(odd_rows.hosts().values())
        while True:
            pause_s = self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            await periodic.sleep(self._deployment.reactor, pause_s)
            self._count += 1
            table, row = (worker_entries.TABLE, self._rng.choice(entries))
            if self._rng.random() < 0.2:
                table, row = host_rows.HOST_TABLE, self._rng.choice(hosts)
            # Names of other rows are before and behind these.
            key = self._rng.choice(("a-odd", "m-odd", "z-odd", "z\r\nodd"))
            self._deployment.store.put(table, key, row)
            if self._rng.random() < 0.5:
                self._deployment.store.remove(table, key)
