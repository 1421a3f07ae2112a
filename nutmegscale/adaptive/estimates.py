"""What one host knows of the work and the speed of servers; does no I/O."""

from collections import deque
from collections.abc import Callable
from collections.abc import Collection
import hashlib
import math
from typing import NamedTuple

from nutmegscale import caller_request

# Age at which a reported work counts for a third, seconds: after a few calls
# the server has other ones. The mean of the server's reports counts instead.
WORK_AGE_S = 0.2
# Age at which a reported pace counts for a third, seconds; the mean of the
# server's paces counts instead.
PACE_AGE_S = 0.5
# Age at which the deviation of that mean from 1 counts for a third, seconds. A
# server that was slow is thereby tried again, also if nothing is heard of it.
USUAL_PACE_AGE_S = 5.0
# Age at which the mean counts for a third, seconds: without any report, the
# server may have become idle, and it is tried again.
USUAL_AGE_S = 2.0
# Weight of a new report in the means of a server.
SMOOTHING = 0.05
# Weight of a new answer in the part of failures.
FAILURE_SMOOTHING = 0.2
# Age at which a part of failures counts for a third, seconds.
FAILURE_AGE_S = 2.0
# Largest pace that one more request is assumed to add.
MAX_SLOPE = 0.5
# Variance of the running requests from which the slope is trusted.
SLOPE_PRIOR = 0.2
# Own times of calls that are kept for a service.
KEPT_TIMES = 64
# Time for which a server is sent no more requests at once than it had when it
# rejected one, seconds.
CAPACITY_AGE_S = 5.0
# Subtracted from the stretch of a limit where that number counts instead of the
# slots: of calls that were held, 1.2 times as many are sent. With fewer,
# servers without a queue reject less, but more calls are lost in all.
CAPACITY_MARGIN = 0.8
# Part of a target that a call may take at the server by its limit.
TARGET_PART = 0.8
# Time after the last report with a pace for which a server counts as one that
# reports it, seconds.
REPORTING_S = 10.0
# Oldest report that is shared or taken from another host, seconds.
MAX_SHARED_AGE_S = 0.5
# Factor between a reported pace and the expected one from which the other hosts
# are told at once.
NEWS_FACTOR = 1.5
# Estimates in one message to another host.
MAX_SHARED = 8
NAME_BYTES = 4


class SharedEstimate(NamedTuple):
    """What a host tells another one of a server.

    Attributes:
      name: Number that stands for the key of the server.
      age_ms: Age of the report that it rests on, milliseconds.
      work: Requests in progress or queued at the server.
      pace: How long work takes there, percent of the usual time.
    """

    name: int
    age_ms: int
    work: int
    pace: int


class ServerStatus(NamedTuple):
    """Estimate of a server, for logs and metrics.

    Attributes:
      server: Key of the server.
      work: Requests of all hosts there.
      pace: How long work takes there, 1 as usual.
      limit: Requests at once that it serves within its last caller's target.
    """

    server: str
    work: float
    pace: float
    limit: float


class _Estimate:
    """Estimate of one server; times in seconds.

    Attributes:
      at: When the report was made that it rests on; -inf if there is none.
      others: Requests of other hosts there, by that report.
      usual_others: Mean of these.
      pace: Pace by that report.
      usual_pace: Mean of the paces.
      running: Requests that ran then; only own reports tell it.
      stated_at: When it stated its pace last.
      failures: Part of failures among its last answers to this host.
      failed_at: When that part was changed last.
      capacity: Requests that it had when it rejected another one.
      rejected_at: When that was.
      target_s: Target of the last call that a limit was computed for.
    """

    def __init__(self) -> None:
        self.at = -math.inf
        self.others = 0.0
        self.usual_others = 0.0
        self.pace = 1.0
        self.usual_pace = 1.0
        self.running = 0.0
        self.stated_at = -math.inf
        self.failures = 0.0
        self.failed_at = -math.inf
        self.capacity = math.inf
        self.rejected_at = -math.inf
        self.target_s = math.inf
        # Smoothed moments of running requests and pace in own reports.
        self._count = 0
        self._running_mean = 0.0
        self._pace_mean = 0.0
        self._variance = 0.0
        self._covariance = 0.0

    @property
    def slope(self) -> float:
        """Pace that one more running request adds."""
        slope = self._covariance / (self._variance + SLOPE_PRIOR)
        return min(MAX_SLOPE, max(0.0, slope))

    def record(self, at: float, others: float, pace: float) -> None:
        """Record a report, own or another host's."""
        is_first = self.at == -math.inf
        weight = 1.0 if is_first else SMOOTHING
        self.usual_others += weight * (others - self.usual_others)
        self.usual_pace += weight * (pace - self.usual_pace)
        self.at, self.others, self.pace = at, others, pace

    def record_running(self, running: float, pace: float) -> None:
        """Record an own report, which also tells how many requests ran."""
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count)
        running_off, pace_off = (
            running - self._running_mean,
            pace - self._pace_mean,
        )
        self._running_mean += weight * running_off
        self._pace_mean += weight * pace_off
        keep = 1 - weight
        self._variance = keep * (self._variance + weight * running_off**2)
        self._covariance = keep * (
            self._covariance + weight * running_off * pace_off
        )


class ServerEstimates:
    """Work, pace and limits of the servers of services without engines.

    Answers servers of one service that differ in speed, for good, for moments
    or by how many requests they run. With few servers behind many hosts, a host
    gets about one answer a second from each: reports of other hosts count as
    its own, and what is old fades to what is usual.

    Servers are named by their keys, so that one that restarts starts fresh.
    Only complete answers to calls that the server has run teach a time; failed,
    cut and cancelled ones don't.
    """

    def __init__(self) -> None:
        self._known: dict[str, _Estimate] = {}
        self._key_by_name: dict[int, str] = {}
        self._times: dict[str, deque[float]] = {}
        self._call_s: dict[str, float] = {}
        self._on_news: Callable[[], None] = lambda: None

    def watch_news(self, on_news: Callable[[], None]) -> None:
        """Set a function to call when a server's pace has changed."""
        self._on_news = on_news

    def keep_only(self, servers: Collection[str]) -> None:
        """Forget all but the registered servers, and get to know new ones.

        Args:
          servers: Keys of the registered servers.
        """
        kept = set(servers)
        self._known = {k: e for k, e in self._known.items() if k in kept}
        self._key_by_name = {_name(key): key for key in kept}

    def is_reporting(self, now: float, server: str) -> bool:
        """Whether a server has stated its pace lately."""
        known = self._known.get(server)
        return known is not None and now - known.stated_at < REPORTING_S

    def record_load(
        self,
        now: float,
        server: str,
        load: caller_request.ServerLoad,
        *,
        own: int,
    ) -> None:
        """Record the load that an answer states.

        Args:
          now: Current time, seconds.
          server: Key of the server.
          load: The load; ignored if it has no pace.
          own: This host's requests there, without the answered one.
        """
        if not load.states_pace:
            return
        known = self._known.setdefault(server, _Estimate())
        expected = self.pace(now, server, load.running)
        known.stated_at = now
        known.running = load.running
        known.record_running(load.running, load.pace)
        others = max(0, load.running + load.waiting - own)
        known.record(now, others, load.pace)
        if _is_news(expected, load.pace):
            self._on_news()

    def record_rejection(
        self, now: float, server: str, load: caller_request.ServerLoad
    ) -> None:
        """Record that a server turned a request away at a load."""
        known = self._known.get(server)
        if known is not None:
            known.capacity = max(1, load.running + load.waiting)
            known.rejected_at = now

    def record_time(
        self, now: float, server: str, service: str, took_s: float
    ) -> None:
        """Record how long a call took that a server has served.

        Args:
          now: Current time, seconds.
          server: Key of the server.
          service: Its service.
          took_s: From sending the call to its complete answer, seconds.
        """
        known = self._known.get(server)
        if known is None:
            return
        self._record_outcome(now, known, 0.0)
        times = self._times.setdefault(service, deque(maxlen=KEPT_TIMES))
        times.append(took_s / max(known.pace, 1.0))
        self._call_s[service] = sorted(times)[len(times) // 2]

    def record_failure(self, now: float, server: str) -> None:
        """Record that a server failed a call, however quickly."""
        known = self._known.get(server)
        if known is not None:
            self._record_outcome(now, known, 1.0)

    def _record_outcome(
        self, now: float, known: _Estimate, failed: float
    ) -> None:
        part = _failures(now, known)
        known.failures = part + FAILURE_SMOOTHING * (failed - part)
        known.failed_at = now

    def call_s(self, service: str) -> float:
        """Return the usual time of a call at pace 1, seconds; 0 if unknown."""
        return self._call_s.get(service, 0.0)

    def failures(self, now: float, server: str) -> float:
        """Return the part of failures among a server's last answers."""
        known = self._known.get(server)
        return _failures(now, known) if known is not None else 0.0

    def work(self, now: float, server: str, *, own: int) -> float:
        """Return the requests of all hosts at a server.

        Args:
          now: Current time, seconds.
          server: Key of the server.
          own: This host's requests there.
        """
        known = self._known.get(server)
        if known is None:
            return float(own)
        age_s = now - known.at
        fresh = math.exp(-age_s / WORK_AGE_S)
        usual = known.usual_others * math.exp(-age_s / USUAL_AGE_S)
        return own + max(0.0, usual + (known.others - usual) * fresh)

    def pace(self, now: float, server: str, requests: float) -> float:
        """Return the pace of a server with a number of requests in progress."""
        known = self._known.get(server)
        if known is None:
            return 1.0
        age_s = now - known.at
        usual = 1.0 + (known.usual_pace - 1.0) * math.exp(
            -age_s / USUAL_PACE_AGE_S
        )
        pace = usual + (known.pace - usual) * math.exp(-age_s / PACE_AGE_S)
        return max(0.1, pace + known.slope * (requests - known.running))

    def limit(
        self,
        now: float,
        server: str,
        service: str,
        slots: int,
        target_s: float,
        *,
        stretch: float = 1.0,
    ) -> float:
        """Return how many requests at once a server serves within a target.

        Args:
          now: Current time, seconds.
          server: Key of the server.
          service: Its service.
          slots: Its slots.
          target_s: Longest time that a call may take there, seconds.
          stretch: Part of the slots that the limit may reach at most.

        Returns:
          The number, at least 1 so that the server is tried again.
        """
        known = self._known.get(server)
        if known is not None:
            known.target_s = target_s
        call_s, allowed_s = self.call_s(service), TARGET_PART * target_s
        part = stretch
        if 0.0 < call_s <= allowed_s:
            # Otherwise no server meets the target, however few it serves.
            pace = self.pace(now, server, slots)
            part = min(stretch, allowed_s / (call_s * pace))
        limit = slots * part
        if known is not None and now - known.rejected_at < CAPACITY_AGE_S:
            limit = min(
                limit, known.capacity * max(1.0, stretch - CAPACITY_MARGIN)
            )
        return max(1.0, limit)

    def status(
        self, now: float, server: str, service: str, slots: int, *, own: int
    ) -> ServerStatus:
        """Return the estimate of a server, for logs and metrics."""
        known = self._known.get(server)
        target_s = known.target_s if known is not None else math.inf
        work = self.work(now, server, own=own)
        return ServerStatus(
            server,
            work,
            self.pace(now, server, work),
            self.limit(now, server, service, slots, target_s),
        )

    def share(
        self, now: float, own: dict[str, int]
    ) -> tuple[SharedEstimate, ...]:
        """Return what another host is told: the newest reports.

        Args:
          now: Current time, seconds.
          own: This host's requests at each server, by key.
        """
        newest = sorted(
            (now - known.at, key)
            for key, known in self._known.items()
            if now - known.at < MAX_SHARED_AGE_S
        )
        return tuple(
            SharedEstimate(
                _name(key),
                round(age_s * 1000),
                round(self._known[key].others) + own.get(key, 0),
                round(self._known[key].pace * 100),
            )
            for age_s, key in newest[:MAX_SHARED]
        )

    def receive(
        self,
        now: float,
        shared: Collection[SharedEstimate],
        own: dict[str, int],
    ) -> None:
        """Take what another host tells of servers, if it is newer.

        Args:
          now: Current time, seconds.
          shared: What it tells; servers that aren't registered are ignored.
          own: This host's requests at each server, by key.
        """
        has_news = False
        for told in shared:
            key = self._key_by_name.get(told.name)
            age_s = max(0, told.age_ms) / 1000
            if key is None or age_s >= MAX_SHARED_AGE_S or told.pace <= 0:
                continue
            known = self._known.setdefault(key, _Estimate())
            if now - age_s <= known.at:
                continue
            expected = self.pace(now, key, told.work)
            has_news = has_news or _is_news(expected, told.pace / 100)
            others = max(0, told.work - own.get(key, 0))
            known.stated_at = max(known.stated_at, now - age_s)
            known.running = min(float(told.work), max(known.running, 0.0))
            known.record(now - age_s, others, told.pace / 100)
        if has_news:
            self._on_news()


def _is_news(expected: float, pace: float) -> bool:
    return max(expected, pace) > NEWS_FACTOR * min(expected, pace)


def _failures(now: float, known: _Estimate) -> float:
    return known.failures * math.exp(-(now - known.failed_at) / FAILURE_AGE_S)


def _name(key: str) -> int:
    """Return a number for a key; two of 1,500 rarely get the same one."""
    digest = hashlib.blake2b(key.encode(), digest_size=NAME_BYTES).digest()
    return int.from_bytes(digest, "big")
