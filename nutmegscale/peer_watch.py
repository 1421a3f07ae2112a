"""Finds out which peers answer, and when silent ones are back."""

from collections.abc import Collection
import random
from typing import Any

from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic

# Time in which a peer answers a roll call, seconds: a round trip between
# failure domains plus the processing time of a slow host.
ROLL_CALL_S = 0.1
# Period of the pings to silent peers, seconds, and their largest number in
# each, so that the messages of a host don't grow with the number of hosts.
PING_PERIOD_S = 0.5
MAX_PINGS = 8


class PeerWatch:
    """Pings peers on which a decision depends, and those that are silent.

    After the end of a partition, a connection that was opened or used during
    it stays silent for seconds, since its packets are repeated at growing
    intervals. Each ping to a silent peer replaces the connections of both
    directions.
    """

    def __init__(
        self, clock: Any, link: mesh.Mesh, *, rng: random.Random
    ) -> None:
        self._clock = clock
        self._mesh = link
        self._rng = rng
        self._calls_end: dict[str, float] = {}
        self._pings = periodic.Periodic(clock, PING_PERIOD_S, self._ping_silent)
        link.on(messages.Ping, self._receive_ping)
        link.on(messages.Pong, self._receive_pong)

    def start(self) -> None:
        """Start pinging silent peers."""
        self._pings.start()

    def stop(self) -> None:
        """Stop pinging."""
        self._pings.stop()

    async def roll_call(self, hosts: Collection[str]) -> None:
        """Ping hosts, and take those that don't answer in time for silent."""
        now = self._clock.seconds()
        new = [host for host in hosts if host not in self._calls_end]
        for host in new:
            self._calls_end[host] = now + ROLL_CALL_S
            self._ping(host)
        if new:
            self._clock.callLater(ROLL_CALL_S, self._end_call, new, now)
        while any(host in self._calls_end for host in hosts):
            ends = [self._calls_end.get(host, now) for host in hosts]
            left_s = max(ends) - self._clock.seconds()
            await periodic.sleep(self._clock, max(0.001, left_s))

    def _end_call(self, hosts: list[str], began_at: float) -> None:
        for host in hosts:
            del self._calls_end[host]
            if self._mesh.last_heard(host) < began_at:
                self._mesh.mark_silent(host)
        silent = [host for host in hosts if host in self._mesh.silent]
        logs.get().info(
            "roll_called", hosts=len(hosts), silent=",".join(silent)
        )

    async def _ping_silent(self) -> None:
        self._mesh.forget_unknown()
        silent = sorted(self._mesh.silent)
        for host in self._rng.sample(silent, min(MAX_PINGS, len(silent))):
            self._mesh.reset(host)
            self._ping(host)

    def _ping(self, host: str) -> None:
        self._mesh.send(host, messages.Ping(host in self._mesh.silent))

    def _receive_ping(self, sender: str, ping: messages.Ping) -> None:
        if ping.is_silent:
            # What this host sent didn't arrive.
            self._mesh.reset(sender)
        self._mesh.send(sender, messages.Pong())

    def _receive_pong(self, sender: str, pong: messages.Pong) -> None:
        """Do nothing: each message shows that its sender answers."""
