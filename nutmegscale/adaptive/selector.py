"""Choice among servers that differ in speed, within their limits; no I/O."""

from collections.abc import Sequence
import random
from typing import NamedTuple

from nutmegscale import backend
from nutmegscale.adaptive import estimates

# How much longer a call is expected to take on a server whose slots are all
# taken than on an idle one, in calls. Reports are stale and calls arrive in
# bursts, so that used slots cost before all are taken.
USAGE_COST = 8.0
# Servers are chosen at random by the inverse of their cost to this power: hosts
# that know the same would otherwise all choose the same server.
SHARPNESS = 2.5
# Factor on the cost of a server where a call is expected to be late.
LATE_COST = 5.0
# Factor on the cost of a server all of whose last answers were failures.
FAILED_COST = 20.0
# Factor on the cost of a server that this host has a permit for, which is lost
# if it isn't used soon.
PERMIT_COST = 0.5
# Part of the slots up to which calls are sent at once, and up to which they are
# sent after they were held. Reports are stale, so that a limit at the slots
# refuses calls that the servers would have served (`tools.uneven_servers`).
HOLD_STRETCH = 1.3
FULL_STRETCH = 2.0
# Bounds of the time after which refused callers come back, seconds.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Span of the counts of refused and admitted calls, seconds.
COUNT_SPAN_S = 1.0


class Candidate(NamedTuple):
    """A server that a call may be sent to.

    Attributes:
      server: The server.
      own: This host's requests there.
      silent_s: How long it has left this host's requests unanswered, seconds.
      is_permitted: Whether this host has a permit for it that will expire.
    """

    server: backend.Backend
    own: int
    silent_s: float = 0.0
    is_permitted: bool = False


class _Counts:
    """Calls refused and admitted of one service in the current span."""

    def __init__(self, now: float) -> None:
        self.since = now
        self.admitted = 0
        self.refused = 0


class ServerSelector:
    """Chooses servers by expected completion time, and tells when all are full.

    Answers demand of 0.8 and more of what servers of different speeds serve,
    where equal loads make the slow ones late and the fast ones idle.
    """

    def __init__(
        self, known: estimates.ServerEstimates, rng: random.Random
    ) -> None:
        self._known = known
        self._rng = rng
        self._counts: dict[str, _Counts] = {}

    def choose(
        self,
        now: float,
        candidates: Sequence[Candidate],
        target_s: float,
        left_s: float,
    ) -> backend.Backend:
        """Choose a server, one within its limit if there is one.

        Args:
          now: Current time, seconds.
          candidates: Servers of one service, at least one.
          target_s: Time in which a call is to be answered, seconds.
          left_s: What is left of it for this one, seconds.
        """
        found = (
            self.with_room(now, candidates, target_s)
            or self.with_room(now, candidates, target_s, stretch=FULL_STRETCH)
            or candidates
        )
        weights = [
            self._cost(now, candidate, left_s) ** -SHARPNESS
            for candidate in found
        ]
        return self._rng.choices(found, weights)[0].server

    def with_room(
        self,
        now: float,
        candidates: Sequence[Candidate],
        target_s: float,
        *,
        stretch: float = HOLD_STRETCH,
    ) -> list[Candidate]:
        """Return the servers that can take a call within their limits."""
        return [
            candidate
            for candidate in candidates
            if self._excess(now, candidate, target_s, stretch) <= 0.0
        ]

    def record_admitted(self, now: float, service: str) -> None:
        """Record that a call of a service is sent."""
        self._counts_of(now, service).admitted += 1

    def refuse(
        self, now: float, candidates: Sequence[Candidate], target_s: float
    ) -> float:
        """Record a refusal, and return when there is room for the call.

        That is when a server has worked off what is beyond its limit, later by
        as much as callers are refused: they all come back.

        Args:
          now: Current time, seconds.
          candidates: Servers of one service, at least one.
          target_s: Time that a call may take, seconds.

        Returns:
          The time from now, seconds.
        """
        service = candidates[0].server.service
        counts = self._counts_of(now, service)
        counts.refused += 1
        room_s = min(self._room_s(now, c, target_s) for c in candidates)
        crowd = 1.0 + counts.refused / max(1, counts.admitted)
        after_s = max(MIN_RETRY_AFTER_S, room_s) * crowd
        after_s *= self._rng.uniform(1.0, 1.5)
        return min(MAX_RETRY_AFTER_S, after_s)

    def _counts_of(self, now: float, service: str) -> _Counts:
        counts = self._counts.get(service)
        if counts is None or now - counts.since >= COUNT_SPAN_S:
            counts = self._counts[service] = _Counts(now)
        return counts

    def _cost(self, now: float, candidate: Candidate, left_s: float) -> float:
        server = candidate.server
        key, slots = server.key, max(1, server.slots)
        work = self._known.work(now, key, own=candidate.own) + 1
        pace = self._pace(now, candidate, min(work, slots))
        cost = pace * (1 + USAGE_COST * work / slots)
        queued = max(0.0, work - slots) / slots
        call_s = self._known.call_s(server.service)
        if call_s * pace * (1 + queued) > left_s:
            cost *= LATE_COST
        cost *= 1 + (FAILED_COST - 1) * self._known.failures(now, key)
        return cost * (PERMIT_COST if candidate.is_permitted else 1.0)

    def _pace(self, now: float, candidate: Candidate, requests: float) -> float:
        """Return the pace of a server, also of one that doesn't answer."""
        server = candidate.server
        pace = self._known.pace(now, server.key, requests)
        call_s = self._known.call_s(server.service)
        return max(pace, candidate.silent_s / call_s) if call_s else pace

    def _excess(
        self,
        now: float,
        candidate: Candidate,
        target_s: float,
        stretch: float,
    ) -> float:
        """Return the requests beyond a server's limit, with one more call."""
        server = candidate.server
        limit = self._known.limit(
            now,
            server.key,
            server.service,
            max(1, server.slots),
            target_s,
            stretch=stretch,
        )
        return self._known.work(now, server.key, own=candidate.own) + 1 - limit

    def _room_s(
        self, now: float, candidate: Candidate, target_s: float
    ) -> float:
        server = candidate.server
        excess = max(0.0, self._excess(now, candidate, target_s, HOLD_STRETCH))
        slots = max(1, server.slots)
        pace = self._known.pace(now, server.key, slots)
        return excess / slots * pace * self._known.call_s(server.service)
