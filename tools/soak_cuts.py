"""Hosts of the soak test that are cut off from all backend servers."""

import random
import statistics
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import periodic
from tools import cut_report
from tools import soak_callers
from tools import soak_links
from tools import soak_world

PROMISE = "callers of hosts without servers are served"
# Smallest ratio of what is served there to what is served elsewhere.
MIN_RATIO = 0.9
# Failures there that count in no case, and their part of all requests: those of
# the deployment's rule.
ALLOWED_FAILURES = 10
ALLOWED_SHARE = 1 / 50


class Cut(NamedTuple):
    """A time in which some hosts are cut off.

    Attributes:
      hosts: Names of the hosts.
      how: One of `soak_links.CUT_KINDS`.
      began_at: When it began, seconds of the reactor clock.
      ended_at: When it ended, or is to end.
    """

    hosts: frozenset[str]
    how: str
    began_at: float
    ended_at: float


class HostCuts:
    """Cuts hosts off from all servers, in series, while callers reach them.

    One host, all of a failure domain, half of them, and all but one.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        callers: soak_callers.Callers,
        rng: random.Random,
    ) -> None:
        self._deployment = deployment
        self._callers = callers
        self._rng = rng
        self._cuts: list[Cut] = []
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start cutting hosts off."""
        self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop, and heal all hosts."""
        if self._running is not None:
            self._running.cancel()
        now = self._deployment.reactor.seconds()
        if self._cuts and self._cuts[-1].ended_at > now:
            self._cuts[-1] = self._cuts[-1]._replace(ended_at=now)
        self._heal()

    async def _run(self) -> None:
        reactor: Any = self._deployment.reactor
        while True:
            await periodic.sleep(reactor, self._rng.uniform(1.0, 3.0))
            hosts = self._choose()
            how = self._rng.choice(soak_links.CUT_KINDS)
            lasts_s = self._rng.uniform(6.0, 9.0)
            now = reactor.seconds()
            names = frozenset(host.name for host in hosts)
            self._cuts.append(Cut(names, how, now, now + lasts_s))
            for host in hosts:
                host.cut_off(how)
            await periodic.sleep(reactor, lasts_s)
            self._heal()

    def _choose(self) -> list[soak_world.Host]:
        hosts = self._deployment.hosts
        zone = self._rng.choice(hosts).zone
        counts = (1, len(hosts) // 2, len(hosts) - 1)
        choices = [self._rng.sample(hosts, max(1, n)) for n in counts]
        choices.append([host for host in hosts if host.zone == zone])
        return self._rng.choice(choices)

    def _heal(self) -> None:
        for host in self._deployment.hosts:
            if host.cut:
                host.heal_links()

    def check(self) -> list[str]:
        """Check the answers of each cut; return lines of figures.

        Calls and streams are judged apart: streams lack decode slots at times,
        and each host receives another mix of both.
        """
        lines = []
        for cut in self._cuts:
            for is_stream in (False, True):
                there, elsewhere = self._count(cut, is_stream=is_stream)
                line = (
                    f"{cut.how}, {len(cut.hosts)} of "
                    f"{len(self._deployment.hosts)} hosts, "
                    f"{'streams' if is_stream else 'calls'}: "
                    f"{there} served there, {elsewhere} elsewhere"
                )
                lines.append(line)
                if _is_worse(there, elsewhere):
                    self._callers.record_violation(PROMISE, "", line)
        return lines

    def times(self) -> str:
        """Return the median times of plain calls there and elsewhere."""
        times: dict[bool, list[float]] = {True: [], False: []}
        for cut in self._cuts:
            settled_at = cut.began_at + cut_report.SETTLED_S
            for record in self._callers.records:
                is_call = soak_callers.ROUTES[record.route] != "stream"
                is_served = record.status == 200 and record.is_complete
                if (
                    is_call
                    and is_served
                    and settled_at <= record.sent_at < cut.ended_at
                ):
                    took_s = record.ended_at - record.sent_at
                    times[record.host in cut.hosts].append(took_s)
        there, elsewhere = (
            f"{statistics.median(times[name]) * 1000:.0f} ms"
            if times[name]
            else "none"
            for name in (True, False)
        )
        return (
            f"median time of plain calls: {there} there, {elsewhere} elsewhere"
        )

    def _count(
        self, cut: Cut, *, is_stream: bool
    ) -> tuple[cut_report.Count, cut_report.Count]:
        """Count the first tries at the hosts of a cut, and elsewhere."""
        counted: dict[bool, list[bool]] = {True: [], False: []}
        settled_at = cut.began_at + cut_report.SETTLED_S
        for record in self._callers.records:
            if (soak_callers.ROUTES[record.route] == "stream") != is_stream:
                continue
            if record.is_abandoned and record.ended_at - record.sent_at <= 1.0:
                # The caller left by itself.
                continue
            if settled_at <= record.sent_at < cut.ended_at:
                is_served = record.status == 200 and record.is_complete
                counted[record.host in cut.hosts].append(is_served)
        return (
            cut_report.Count(sum(counted[True]), len(counted[True])),
            cut_report.Count(sum(counted[False]), len(counted[False])),
        )


def _is_worse(there: cut_report.Count, elsewhere: cut_report.Count) -> bool:
    """Whether callers there were served too rarely beside the others."""
    failures = there.sent - there.served
    allowed = ALLOWED_FAILURES + ALLOWED_SHARE * (there.sent + elsewhere.sent)
    return failures > allowed and there.share < MIN_RATIO * elsewhere.share
