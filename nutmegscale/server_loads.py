"""Loads and failures of backend servers, as one host knows them."""

import math
import random

from nutmegscale import backend
from nutmegscale import caller_request

# Age from which a reported load is ignored, seconds: after a few more answers
# it is out of date.
MAX_LOAD_AGE_S = 0.5
# Pause after the first failure of a server, seconds; it doubles with each
# further failure in a row.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0


class _ServerRecord:
    """Requests, load and failures of one server; times in seconds.

    Attributes:
      outstanding: This host's requests at the server.
      load: Load that the server reported last.
      load_reported_at: When it reported that load.
      outstanding_at_load: This host's requests at the server at that time.
      failures: Failures in a row.
      paused_until: End of the pause after a failure.
      unreachable_until: End of the pause after a failed connection, 0 if none
        has failed since the last successful answer.
      is_probing: Whether a request was sent to find out if an unreachable
        server can be reached again.
      asked_at: When the first request was sent since the server was heard
        last; 0 if none was.
      heard_at: When data of an answer arrived last; -inf if none has.
    """

    def __init__(self) -> None:
        self.outstanding = 0
        self.load: caller_request.ServerLoad | None = None
        self.load_reported_at = 0.0
        self.outstanding_at_load = 0
        self.failures = 0
        self.paused_until = 0.0
        self.unreachable_until = 0.0
        self.is_probing = False
        self.asked_at = 0.0
        self.heard_at = -math.inf


class ServerLoads:
    """Own requests, reported loads and failures by backend server; no I/O."""

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._records: dict[str, _ServerRecord] = {}
        self._rng = rng or random.Random()

    def _record_of(self, server: backend.Backend) -> _ServerRecord:
        return self._records.setdefault(server.key, _ServerRecord())

    def keep_only(self, servers: list[backend.Backend]) -> None:
        """Remove all other servers that have no request of this host."""
        kept = {server.key for server in servers}
        self._records = {
            key: record
            for key, record in self._records.items()
            if key in kept or record.outstanding
        }

    def outstanding(self, server: backend.Backend) -> int:
        """Return the number of this host's requests at a server."""
        return self._record_of(server).outstanding

    def outstanding_by_key(self) -> dict[str, int]:
        """Return the numbers of this host's requests at servers with any."""
        return {
            key: record.outstanding
            for key, record in self._records.items()
            if record.outstanding
        }

    def record_sent(self, server: backend.Backend) -> None:
        """Record that a request is sent to a server."""
        record = self._record_of(server)
        record.outstanding += 1
        record.is_probing = bool(record.unreachable_until)

    def record_asked(self, now: float, server: backend.Backend) -> None:
        """Record when a request is sent to a server."""
        record = self._record_of(server)
        record.asked_at = record.asked_at or now

    def record_heard(self, now: float, server: backend.Backend) -> None:
        """Record that data of an answer of a server has arrived."""
        record = self._record_of(server)
        record.asked_at = 0.0
        record.heard_at = now

    def heard_at(self, server: backend.Backend) -> float:
        """Return when a server answered last, seconds; -inf if it never did."""
        record = self._records.get(server.key)
        return record.heard_at if record is not None else -math.inf

    def silent_s(self, now: float, server: backend.Backend) -> float | None:
        """Return for how long a server hasn't answered any request, seconds.

        Returns:
          The time; None if it has no unanswered request of this host.
        """
        record = self._records.get(server.key)
        if record is None or not record.outstanding:
            return None
        return now - record.asked_at if record.asked_at else 0.0

    def record_ended(self, server: backend.Backend) -> None:
        """Record that a request sent to a server has ended, in any way."""
        record = self._record_of(server)
        record.outstanding -= 1
        if not record.outstanding:
            record.asked_at = 0.0
        # The probe may have ended without showing whether the server can be
        # reached, as when its caller left: the next request is a probe again.
        record.is_probing = False

    def record_load(
        self,
        now: float,
        server: backend.Backend,
        load: caller_request.ServerLoad | None,
    ) -> None:
        """Record the load that an answer reports, if it reports one."""
        if load is None:
            return
        record = self._record_of(server)
        record.load, record.load_reported_at = load, now
        record.outstanding_at_load = record.outstanding

    def record_success(self, server: backend.Backend) -> None:
        """Record a successful answer, which ends all pauses of the server."""
        record = self._record_of(server)
        record.failures = 0
        record.paused_until = 0.0
        record.unreachable_until = 0.0
        record.is_probing = False

    def record_unreachable(self, now: float, server: backend.Backend) -> None:
        """Record that no connection to a server could be made."""
        self.record_failure(now, server)
        record = self._record_of(server)
        record.unreachable_until = record.paused_until
        record.is_probing = False

    def is_unreachable(self, server: backend.Backend) -> bool:
        """Whether the last connection to a server failed."""
        return bool(self._record_of(server).unreachable_until)

    def record_failure(self, now: float, server: backend.Backend) -> None:
        """Record a broken connection or a missing answer."""
        record = self._record_of(server)
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0**record.failures)
        record.failures += 1
        record.paused_until = now + pause_s

    def failures(self, server: backend.Backend) -> int:
        """Return the failures of a server since its last success."""
        return self._record_of(server).failures

    def is_paused(self, now: float, server: backend.Backend) -> bool:
        """Whether a server is paused after a failure."""
        return self._record_of(server).paused_until > now

    def choose(
        self,
        now: float,
        servers: tuple[backend.Backend, ...],
        failure_domain: str,
        *,
        avoid: frozenset[str] = frozenset(),
        preferred: frozenset[str] = frozenset(),
    ) -> backend.Backend | None:
        """Choose the server with the least load per slot.

        Paused servers are chosen only if all candidates are paused.

        Args:
          now: Monotonic time in seconds.
          servers: Candidates.
          failure_domain: Failure domain that is preferred at equal load.
          avoid: Ids of servers that must not be chosen.
          preferred: Ids of servers that are preferred at equal load, before
            those of the failure domain.

        Returns:
          The server, or None if all are unreachable or to be avoided.
        """
        best: backend.Backend | None = None
        best_key = (0.0, False, False, 0.0)
        for server in self.usable(now, servers, avoid=avoid):
            key = (
                self._load_per_slot(now, server),
                server.id not in preferred,
                server.failure_domain != failure_domain,
                self._rng.random(),
            )
            if best is None or key < best_key:
                best, best_key = server, key
        return best

    def usable(
        self,
        now: float,
        servers: tuple[backend.Backend, ...],
        *,
        avoid: frozenset[str] = frozenset(),
    ) -> list[backend.Backend]:
        """Return the servers to choose from: paused ones only if all are.

        Args:
          now: Monotonic time in seconds.
          servers: Candidates.
          avoid: Ids of servers that must not be chosen.
        """
        candidates = [
            s for s in servers if s.id not in avoid and self._may_try(now, s)
        ]
        healthy = [s for s in candidates if not self.is_paused(now, s)]
        return healthy or candidates

    def _may_try(self, now: float, server: backend.Backend) -> bool:
        """Whether a server may be tried.

        An unreachable one is tried after its pause, by one request at a time.
        """
        record = self._record_of(server)
        if not record.unreachable_until:
            return True
        return record.unreachable_until <= now and not record.is_probing

    def _load_per_slot(self, now: float, server: backend.Backend) -> float:
        record = self._record_of(server)
        work = float(record.outstanding)
        load = record.load
        if load is not None and now - record.load_reported_at < MAX_LOAD_AGE_S:
            # The part of the reported load that isn't this host's own.
            others = load.running + load.waiting - record.outstanding_at_load
            work += max(0, others)
        return work / server.slots
