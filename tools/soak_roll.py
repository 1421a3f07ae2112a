"""Replacement of an earlier build by this one in the soak test."""

import io
import pathlib
import random
import signal
import subprocess
import tarfile

from twisted.internet import defer

from nutmegscale import periodic
from tools import soak_world

PROMISE = "each host is replaced by the newer build"
# Pause between the start of a host and the stop of the next one, seconds.
MIN_PAUSE_S = 3.0
MAX_PAUSE_S = 6.0
POLL_S = 0.1


def export_build(revision: str, folder: pathlib.Path) -> pathlib.Path:
    """Write the package of a revision of the repository's history.

    Args:
      revision: The revision.
      folder: Folder to create for it.

    Returns:
      The folder.

    Raises:
      subprocess.CalledProcessError: The history doesn't have the revision.
    """
    archive = subprocess.run(
        ["git", "archive", revision, "nutmegscale"],
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as packed:
        packed.extractall(folder, filter="data")
    return folder.resolve()


class RollingReplacement:
    """Stops each host as planned, and starts it as the newer build.

    Attributes:
      replaced: Number of hosts that run the newer build.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        build: pathlib.Path,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self.replaced = 0
        self._running: defer.Deferred[None] | None = None
        for host in deployment.hosts:
            host.build = build

    def start(self) -> None:
        """Start replacing hosts, one after the other."""
        self._running = periodic.spawn(self._run())

    async def finish(self) -> None:
        """Wait until all hosts are replaced."""
        if self._running is not None:
            await self._running

    async def _run(self) -> None:
        reactor = self._deployment.reactor
        for host in self._deployment.hosts:
            await periodic.sleep(
                reactor, self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S)
            )
            host.signal(signal.SIGTERM)
            while host.is_running:
                await periodic.sleep(reactor, POLL_S)
            host.build = None
            host.start()
            self.replaced += 1
