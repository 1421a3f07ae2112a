"""Plays calls of many hosts to uneven plain servers on virtual time.

Compares ways to choose a server: `python -m tools.uneven_servers`. Each play
has servers of which some are slow all the time, some for 0.6 s at a time, and
some as soon as half of their slots are taken; demand is a part of what all of
them serve.
"""

import argparse
from collections import Counter
from collections import deque
from collections.abc import Callable
import heapq
import itertools
import math
import random
from typing import Any
from typing import NamedTuple

import rich.console
import rich.table

from nutmegscale import adaptive
from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import server_choice

SLOTS = 6
QUEUE = 6
CALL_S = (0.03, 0.06)
TARGETS_S = (0.15, 0.3)
ONE_WAY_S = 0.0014
SLOW_PACE = 2.5
SLOW_PART = 0.15
EPISODE_S = 0.6
EPISODE_GAP_S = 1.8
# Requests in progress from which some servers become slower, and how much each
# further one adds to the pace.
EARLY_RUNNING = 3
EARLY_STEP = 0.4
MAX_OFFERS = 3


class Play(NamedTuple):
    """What is played.

    Attributes:
      seed: Seed of all random numbers.
      hosts: Number of hosts.
      servers: Number of servers.
      demand: Demand, as a part of what all servers serve.
      seconds: Length, seconds.
      share_s: Period in which each host tells one other what it knows.
      queue: Requests that a server queues before it rejects others.
    """

    seed: int
    hosts: int = 32
    servers: int = 3
    demand: float = 0.8
    seconds: float = 10.0
    share_s: float = 0.25
    queue: int = QUEUE


class Server:
    """A server with slots and a bounded queue."""

    def __init__(self, kind: str, phase_s: float) -> None:
        self.kind = kind
        self._phase_s = phase_s
        self.running = 0
        self.queue: deque[Callable[[], None]] = deque()

    def pace(self, now: float) -> float:
        """Return how long work takes now, 1 as usual."""
        if self.kind == "slow":
            return SLOW_PACE
        if self.kind == "episodes":
            at = (now + self._phase_s) % (EPISODE_S + EPISODE_GAP_S)
            return SLOW_PACE if at < EPISODE_S else 1.0
        if self.kind == "early":
            return 1.0 + EARLY_STEP * max(0, self.running - EARLY_RUNNING)
        return 1.0

    @property
    def throughput(self) -> float:
        """Calls of the mean length that it serves a second."""
        mean_s = sum(CALL_S) / 2
        if self.kind == "slow":
            return SLOTS / (mean_s * SLOW_PACE)
        if self.kind == "episodes":
            slow = EPISODE_S / (EPISODE_S + EPISODE_GAP_S)
            return SLOTS / mean_s * (1 - slow + slow / SLOW_PACE)
        if self.kind == "early":
            return max(
                n / mean_s / (1 + EARLY_STEP * max(0, n - EARLY_RUNNING))
                for n in range(1, SLOTS + 1)
            )
        return SLOTS / mean_s

    def load(self, now: float) -> caller_request.ServerLoad:
        """Return the load that it states."""
        return caller_request.ServerLoad(
            self.running, len(self.queue), SLOTS, self.pace(now), True
        )


class Result(NamedTuple):
    """What became of the calls of a play."""

    calls: int
    late: int
    rejections: int
    refused: int
    times_s: tuple[float, ...]


class World:
    """Events of one play with one way to choose."""

    def __init__(self, play: Play, make_chooser: Callable[..., Any]) -> None:
        self.play = play
        self.now = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        rng = random.Random(play.seed)
        kinds = rng.choices(
            ("slow", "episodes", "early", ""),
            (SLOW_PART, SLOW_PART, SLOW_PART, 1 - 3 * SLOW_PART),
            k=play.servers,
        )
        if not any(kinds):
            kinds[0] = ("slow", "episodes", "early")[play.seed % 3]
        self.servers = [Server(kind, rng.random() * 2.4) for kind in kinds]
        self._rng = random.Random(play.seed + 1)
        self.choosers = [
            make_chooser(self, random.Random(play.seed * 1000 + n))
            for n in range(play.hosts)
        ]
        self._late = self._rejections = self._calls = self._refused = 0
        self._times: list[float] = []
        self.counts: Counter[str] = Counter()

    def at(self, at: float, work: Callable[[], None]) -> None:
        """Do something at a time."""
        heapq.heappush(self._events, (at, next(self._numbers), work))

    def run(self) -> Result:
        """Play it, and return what became of the calls."""
        rate = self.play.demand * sum(s.throughput for s in self.servers)
        at = 0.0
        while at < self.play.seconds:
            at += self._rng.expovariate(rate)
            self.at(at, self._make_call(at))
        for host in self.choosers:
            self._share(host, self._rng.random() * self.play.share_s)
        while self._events:
            self.now, _, work = heapq.heappop(self._events)
            work()
        return Result(
            self._calls,
            self._late,
            self._rejections,
            self._refused,
            tuple(sorted(self._times)),
        )

    def _share(self, host: Any, after_s: float) -> None:
        def _send() -> None:
            message = host.share(self.now)
            if message is not None:
                self.tell(message)
            if self.now < self.play.seconds:
                self._share(host, self.play.share_s)

        self.at(self.now + after_s, _send)

    def tell(self, message: Any) -> None:
        """Send what a host knows to a random one."""
        self.counts["messages"] += 1
        other = self._rng.choice(self.choosers)
        self.at(self.now + ONE_WAY_S, lambda: other.receive(self.now, message))

    def _make_call(self, at: float) -> Callable[[], None]:
        host = self._rng.choice(self.choosers)
        work_s = self._rng.uniform(*CALL_S)
        target_s = self._rng.choice(TARGETS_S)
        return lambda: self._begin(host, work_s, target_s, at, [])

    def _begin(
        self,
        host: Any,
        work_s: float,
        target_s: float,
        began: float,
        tried: list[int],
    ) -> None:
        waited_s = self.now - began
        server = host.choose(self.now, target_s, waited_s, tried)
        if isinstance(server, float):
            self.counts["held"] += 1
            self.at(
                self.now + server,
                lambda: self._begin(host, work_s, target_s, began, tried),
            )
            return
        if server is None:
            self._end(math.inf, target_s)
            self._refused += 1
            return
        host.record_sent(self.now, server)
        sent = self.now
        self.at(
            self.now + ONE_WAY_S,
            lambda: self._arrive(
                host, server, work_s, target_s, began, sent, tried
            ),
        )

    def _arrive(
        self,
        host: Any,
        number: int,
        work_s: float,
        target_s: float,
        began: float,
        sent: float,
        tried: list[int],
    ) -> None:
        server = self.servers[number]

        def _start() -> None:
            server.running += 1
            self.at(self.now + work_s * server.pace(self.now), _finish)

        def _finish() -> None:
            server.running -= 1
            if server.queue:
                server.queue.popleft()()
            load = server.load(self.now)
            self.at(self.now + ONE_WAY_S, lambda: _answer(load))

        def _answer(load: caller_request.ServerLoad) -> None:
            host.record_answer(self.now, number, self.now - sent, load)
            self._end(self.now - began, target_s)

        def _reject(load: caller_request.ServerLoad) -> None:
            host.record_rejected(self.now, number, load)
            again = [*tried, number]
            if len(again) >= min(MAX_OFFERS, len(self.servers)):
                self._end(math.inf, target_s)
            else:
                self._begin(host, work_s, target_s, began, again)

        if server.running < SLOTS:
            _start()
        elif len(server.queue) < self.play.queue:
            server.queue.append(_start)
        else:
            self._rejections += 1
            load = server.load(self.now)
            self.at(self.now + ONE_WAY_S, lambda: _reject(load))

    def _end(self, took_s: float, target_s: float) -> None:
        self._calls += 1
        self._late += took_s > target_s
        self._times.append(took_s)


class Chooser:
    """Common parts of the ways to choose; also today's choice."""

    is_pace_used = False

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        count = len(world.servers)
        self.own = [0] * count
        self.loads: list[tuple[float, int, caller_request.ServerLoad] | None]
        self.loads = [None] * count

    def choose(
        self, now: float, target_s: float, waited_s: float, tried: list[int]
    ) -> int | float | None:
        """Return a server, a time to wait or None to refuse."""
        found = [n for n in range(len(self.own)) if n not in tried]
        return min(found, key=lambda n: (self.cost(now, n), self.rng.random()))

    def cost(self, now: float, number: int) -> float:
        """Return what a call to a server costs."""
        work = float(self.own[number])
        known = self.loads[number]
        pace = 1.0
        if known is not None:
            at, own, load = known
            pace = load.pace if self.is_pace_used else 1.0
            if now - at < 0.5:
                work += max(0, load.running + load.waiting - own)
        return (work + self.is_pace_used) * pace

    def record_sent(self, now: float, number: int) -> None:
        """Record a call to a server."""
        self.own[number] += 1

    def record_answer(
        self,
        now: float,
        number: int,
        took_s: float,
        load: caller_request.ServerLoad,
    ) -> None:
        """Record an answer."""
        self.loads[number] = (now, self.own[number], load)
        self.own[number] -= 1

    def record_rejected(
        self, now: float, number: int, load: caller_request.ServerLoad
    ) -> None:
        """Record a rejection."""
        self.record_answer(now, number, math.nan, load)

    def share(self, now: float) -> Any:
        """Return what another host is told."""
        return None

    def receive(self, now: float, message: Any) -> None:
        """Record what another host knows."""


class PaceChooser(Chooser):
    """Today's choice with the reported pace."""

    is_pace_used = True


class VegasChooser(Chooser):
    """Limits by the gradient of own times (Vegas); least used part first."""

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world, rng)
        self._limits = [float(SLOTS)] * len(self.own)
        self._best_s = [math.inf] * len(self.own)

    def cost(self, now: float, number: int) -> float:
        """Return what a call to a server costs."""
        return (1.0 + super().cost(now, number)) / self._limits[number]

    def record_answer(
        self,
        now: float,
        number: int,
        took_s: float,
        load: caller_request.ServerLoad,
    ) -> None:
        """Record an answer."""
        super().record_answer(now, number, took_s, load)
        if math.isnan(took_s):
            self._limits[number] = max(1.0, self._limits[number] - 0.5)
            return
        self._best_s[number] = min(self._best_s[number], took_s)
        limit = self._limits[number]
        queue = limit * (1 - self._best_s[number] / took_s)
        step = 0.5 if queue < 2 else -0.5 if queue > 4 else 0.0
        self._limits[number] = min(SLOTS, max(1.0, limit + step))


class QuantileChooser(Chooser):
    """Moving median of own times; the better of two random servers."""

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world, rng)
        self._times = [deque([0.045], maxlen=7) for _ in self.own]

    def choose(
        self, now: float, target_s: float, waited_s: float, tried: list[int]
    ) -> int | float | None:
        """Return a server, a time to wait or None to refuse."""
        found = [n for n in range(len(self.own)) if n not in tried]
        two = self.rng.sample(found, min(2, len(found)))
        return min(two, key=lambda n: (self.cost(now, n), self.rng.random()))

    def cost(self, now: float, number: int) -> float:
        """Return what a call to a server costs."""
        times = sorted(self._times[number])
        return (1 + self.own[number]) * times[len(times) // 2]

    def record_answer(
        self,
        now: float,
        number: int,
        took_s: float,
        load: caller_request.ServerLoad,
    ) -> None:
        """Record an answer."""
        super().record_answer(now, number, took_s, load)
        if not math.isnan(took_s):
            self._times[number].append(took_s)


class KnowingChooser(Chooser):
    """Knows the true work and pace of all servers at each moment."""

    def cost(self, now: float, number: int) -> float:
        """Return what a call to a server costs."""
        server = self.world.servers[number]
        work = server.running + len(server.queue) + 1
        pace = server.pace(now)
        if server.kind == "early":
            pace = 1 + EARLY_STEP * max(0, min(work, SLOTS) - EARLY_RUNNING)
        cost = pace * (1 + max(0, work - SLOTS) / SLOTS) * (1 + work / SLOTS)
        return cost + 100 * (work > SLOTS + self.world.play.queue)


class AdaptiveChooser(Chooser):
    """The router's own decision, `nutmegscale.adaptive`."""

    is_sharing = True
    is_holding = True
    knows_speeds = False

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world, rng)
        self.known = adaptive.ServerEstimates()
        if self.knows_speeds:
            self.known.pace = self._true_pace  # type: ignore
        self._selector = adaptive.ServerSelector(self.known, rng)
        self._servers = [
            backend.Backend(str(n), 1, "s", "", "", SLOTS, False, "")
            for n in range(len(self.own))
        ]
        self.known.keep_only({s.key for s in self._servers})
        self._budget = adaptive.NewsBudget()
        if self.is_sharing:
            self.known.watch_news(self._tell_news)
        # When the first call was sent since a server was heard last.
        self._asked_at = [0.0] * len(self.own)

    def _true_pace(self, now: float, server: str, requests: float) -> float:
        known = self.world.servers[int(server.partition("@")[0])]
        if known.kind == "early":
            more = max(0.0, min(requests, SLOTS) - EARLY_RUNNING)
            return 1.0 + EARLY_STEP * more
        return known.pace(now)

    def choose(
        self, now: float, target_s: float, waited_s: float, tried: list[int]
    ) -> int | float | None:
        """Return a server, a time to wait or None to refuse."""
        found = [
            adaptive.Candidate(server, self.own[n], self._silent_s(now, n))
            for n, server in enumerate(self._servers)
            if n not in tried
        ]
        left_s = target_s - waited_s
        selector = self._selector
        if self.is_holding and not selector.with_room(now, found, target_s):
            if waited_s < server_choice.HOLD_PART * target_s:
                return 0.01
            if not tried and not selector.with_room(
                now, found, target_s, stretch=adaptive.FULL_STRETCH
            ):
                return None
        chosen = selector.choose(now, found, target_s, left_s)
        return self._servers.index(chosen)

    def _tell_news(self) -> None:
        world = self.world
        message = self.share(world.now)
        for _ in range(self._budget.take(world.now)):
            world.tell(message)

    def _silent_s(self, now: float, number: int) -> float:
        asked_at = self._asked_at[number]
        return now - asked_at if asked_at and self.own[number] else 0.0

    def record_sent(self, now: float, number: int) -> None:
        """Record a call to a server."""
        super().record_sent(now, number)
        self._asked_at[number] = self._asked_at[number] or now

    def record_answer(
        self,
        now: float,
        number: int,
        took_s: float,
        load: caller_request.ServerLoad,
    ) -> None:
        """Record an answer."""
        self.own[number] -= 1
        self._asked_at[number] = 0.0
        key = self._servers[number].key
        self.known.record_load(now, key, load, own=self.own[number])
        if math.isnan(took_s):
            self.known.record_rejection(now, key, load)
        else:
            self.known.record_time(now, key, "s", took_s)

    def _own_by_key(self) -> dict[str, int]:
        return {s.key: self.own[n] for n, s in enumerate(self._servers)}

    def share(self, now: float) -> Any:
        """Return what another host is told."""
        if not self.is_sharing:
            return None
        return self.known.share(now, self._own_by_key())

    def receive(self, now: float, message: Any) -> None:
        """Record what another host knows."""
        self.known.receive(now, message, self._own_by_key())


class AloneChooser(AdaptiveChooser):
    """The router's own decision without what other hosts know."""

    is_sharing = False


class EagerChooser(AdaptiveChooser):
    """The router's own decision without limits: nothing is held."""

    is_holding = False


class SpeedsChooser(AdaptiveChooser):
    """The router's own decision with the true speeds of all servers."""

    knows_speeds = True


WAYS: dict[str, Callable[..., Any]] = {
    "today": Chooser,
    "reported pace alone": PaceChooser,
    "latency gradient (Vegas)": VegasChooser,
    "own quantile, two choices": QuantileChooser,
    "shared estimates and limits": AdaptiveChooser,
    "the same, not shared": AloneChooser,
    "the same, without limits": EagerChooser,
    "the same, true speeds": SpeedsChooser,
    "true speeds and work": KnowingChooser,
}


def play_all(
    make_chooser: Callable[..., Any], plays: list[Play]
) -> tuple[float, float, float, float]:
    """Return parts of calls: late, rejected, refused; 99th centile, ms."""
    results = [World(play, make_chooser).run() for play in plays]
    calls = sum(r.calls for r in results)
    times = sorted(itertools.chain.from_iterable(r.times_s for r in results))
    return (
        sum(r.late for r in results) / calls,
        sum(r.rejections for r in results) / calls,
        sum(r.refused for r in results) / calls,
        times[int(0.99 * len(times))] * 1000,
    )


def main() -> None:
    """Play all ways and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="+", default=[32, 96])
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--demand", type=float, default=0.8)
    parser.add_argument("--share", type=float, default=0.25)
    parser.add_argument("--queue", type=int, default=QUEUE)
    args = parser.parse_args()
    for hosts in args.hosts:
        plays = [
            Play(
                seed,
                hosts,
                servers,
                args.demand,
                args.seconds,
                args.share,
                args.queue,
            )
            for seed in range(args.first_seed, args.first_seed + args.seeds)
            for servers in (3, 5)
        ]
        table = rich.table.Table(title=f"{hosts} hosts, demand {args.demand}")
        for column in ("choice", "late", "rejected", "refused", "p99 ms"):
            table.add_column(column)
        for name, way in WAYS.items():
            late, rejected, refused, p99_ms = play_all(way, plays)
            table.add_row(
                name,
                f"{late:.4f}",
                f"{rejected:.4f}",
                f"{refused:.4f}",
                f"{p99_ms:.0f}",
            )
        rich.console.Console().print(table)


if __name__ == "__main__":
    main()
