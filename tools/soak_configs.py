"""Large configurations in the soak test, while the store refuses hosts."""

from collections.abc import Callable
import datetime
import random
import signal
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import log_lines
from nutmegscale import periodic
from tools import soak_world

PROMISE = "a change is in force in time"
ROUTES = 1_400
# Bound of the deployment on the time until a change is in force, seconds.
APPLY_S = 3.0
# Longest time for which a host stands still, seconds.
MAX_PAUSE_S = 4.0
# Time after the start of a process for which it may be late, seconds.
UNDISTURBED_S = 4.0


class Change(NamedTuple):
    """A configuration that was written.

    Attributes:
      version: Its version.
      at: When it was written, seconds of the reactor clock.
      time: The same, seconds since 1970.
    """

    version: int
    at: float
    time: float


class _Outage(NamedTuple):
    """Time in which a host didn't run: stopped to its next start, or paused.

    Times are in seconds of the reactor clock.
    """

    host: str
    began_at: float
    ended_at: float


class LargeConfigs:
    """Writes large configurations in series, and disturbs hosts meanwhile.

    The store refuses some hosts, forgets its history, and hosts are killed,
    stopped, paused and reloaded, one beside the other.

    Attributes:
      changes: The configurations, in order.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        rng: random.Random,
        *,
        log_event: Callable[..., None],
    ) -> None:
        self._log_event = log_event
        self._deployment = deployment
        self._rng = rng
        self._outages: list[_Outage] = []
        self._restarting: set[str] = set()
        self._running: list[defer.Deferred[Any]] = []
        self.changes: list[Change] = []

    def start(self) -> None:
        """Start with changes and faults."""
        steps = (self._change, self._refuse, self._disturb, self._forget)
        self._running = [periodic.spawn(self._repeat(step)) for step in steps]

    async def stop(self) -> None:
        """Stop, and wait until the last change is in force."""
        for running in self._running:
            running.cancel()
        self._deployment.store.refused_hosts.clear()
        await periodic.sleep(self._deployment.reactor, APPLY_S)

    async def _repeat(self, step: Any) -> None:
        while True:
            await periodic.sleep(
                self._deployment.reactor, self._rng.uniform(0.5, 3.0)
            )
            step()

    def _change(self) -> None:
        deployment = self._deployment
        now = datetime.datetime.now(datetime.UTC).timestamp()
        at = deployment.reactor.seconds()
        self.changes.append(Change(deployment.next_version, at, now))
        deployment.configure(ROUTES + self._rng.randint(0, 50))

    def _refuse(self) -> None:
        """Let the store refuse up to half of the hosts, other than before."""
        hosts = self._deployment.hosts
        count = self._rng.randint(0, len(hosts) // 2)
        refused = self._rng.sample(hosts, count)
        self._deployment.store.refused_hosts = {host.name for host in refused}
        self._log_event("store", refused=[host.name for host in refused])

    def _forget(self) -> None:
        self._deployment.store.forget_history()

    def _disturb(self) -> None:
        host = self._rng.choice(self._deployment.hosts)
        if not host.is_running:
            return
        if self._rng.random() < 0.3:
            # SIGHUP ends a process that is still being started.
            if host.has_joined:
                self._log_event("hang_up", host=host.name)
                host.signal(signal.SIGHUP)
            return
        kind = self._rng.choice(
            (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
        )
        if kind is signal.SIGSTOP and host.name in self._restarting:
            return
        self._log_event(kind.name, host=host.name)
        host.disturbed_at = self._deployment.reactor.seconds()
        host.signal(kind)
        if kind is signal.SIGSTOP:
            self._deployment.reactor.callLater(
                self._rng.uniform(0.3, MAX_PAUSE_S),
                self._resume,
                host,
                host.disturbed_at,
            )
            return
        if host.name not in self._restarting:
            self._restarting.add(host.name)
            self._restart(host, host.disturbed_at)

    def _resume(self, host: soak_world.Host, paused_at: float) -> None:
        """Let a paused host run again, unless it was killed meanwhile."""
        self._log_event("resume", host=host.name)
        host.signal(signal.SIGCONT)
        resumed_at = self._deployment.reactor.seconds()
        self._outages.append(_Outage(host.name, paused_at, resumed_at))

    def _restart(self, host: soak_world.Host, signalled_at: float) -> None:
        """Start a host once its process has ended."""
        reactor = self._deployment.reactor
        if host.is_running:
            reactor.callLater(0.2, self._restart, host, signalled_at)
            return
        self._restarting.discard(host.name)
        self._log_event("start", host=host.name)
        host.start()
        host.disturbed_at = reactor.seconds()
        self._outages.append(
            _Outage(host.name, signalled_at, host.disturbed_at)
        )

    def check(self) -> tuple[str, list[str]]:
        """Check when each host had each change in force.

        Returns:
          A line of figures, and what was late.
        """
        late = []
        delays = []
        for host in self._deployment.hosts:
            in_force = _versions_in_force(host)
            for change in self.changes:
                if self._is_disturbed(host, change):
                    continue
                times = [
                    time
                    for time, version in in_force
                    if version >= change.version and time >= change.time
                ]
                delay_s = min(times, default=float("inf")) - change.time
                delays.append(delay_s)
                if delay_s > APPLY_S:
                    late.append(
                        f"{host.name}: version {change.version} after "
                        f"{delay_s:.2f} s, expected {APPLY_S:.1f} s"
                    )
        delays.sort()
        worst = f"{delays[-1]:.2f} s" if delays else "none"
        figures = (
            f"{len(self.changes)} large configurations, in force on "
            f"{len(delays)} undisturbed hosts after {worst} at most, "
            f"{len(late)} late"
        )
        return figures, late

    def _is_disturbed(self, host: soak_world.Host, change: Change) -> bool:
        """Whether the process of a host may not have run throughout."""
        return any(
            outage.host == host.name
            and outage.began_at <= change.at + APPLY_S
            and change.at <= outage.ended_at + UNDISTURBED_S
            for outage in self._outages
        )


def _versions_in_force(host: soak_world.Host) -> list[tuple[float, int]]:
    """Return when a host brought which version into force, by its log."""
    lines = host.log.read_text(encoding="utf-8", errors="replace").splitlines()
    return [
        (
            datetime.datetime.fromisoformat(line.timestamp).timestamp(),
            int(line.get("version")),
        )
        for line in log_lines.of_event(lines, "config_in_force")
    ]
