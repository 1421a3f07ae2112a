"""What a host knows of the load and faults of backend servers."""

import random

from nutmegscale import backend
from nutmegscale import caller_request

# A stated load says little once it is older than a few answers, seconds.
MAX_LOAD_AGE_S = 0.5
# Pause after the first fault of a server, seconds; doubled with each further.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0


class _ServerRecord:
    def __init__(self) -> None:
        self.outstanding = 0
        self.load: caller_request.ServerLoad | None = None
        self.load_reported_at = 0.0
        self.outstanding_at_load = 0
        self.faults = 0
        self.paused_until = 0.0
        self.unreachable_until = 0.0
        self.is_probing = False


class ServerLoads:
    """Own requests, stated loads and faults by backend server; pure."""

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._records: dict[str, _ServerRecord] = {}
        self._rng = rng or random.Random()

    def _record(self, server: backend.Backend) -> _ServerRecord:
        return self._records.setdefault(server.key, _ServerRecord())

    def keep_only(self, servers: list[backend.Backend]) -> None:
        """Forget all others, but those that still work for this host."""
        kept = {server.key for server in servers}
        self._records = {
            key: record
            for key, record in self._records.items()
            if key in kept or record.outstanding
        }

    def outstanding(self, server: backend.Backend) -> int:
        """Count this host's requests at a server."""
        return self._record(server).outstanding

    def record_sent(self, server: backend.Backend) -> None:
        """Note a request that is sent to a server."""
        record = self._record(server)
        record.outstanding += 1
        record.is_probing = bool(record.unreachable_until)

    def record_ended(self, server: backend.Backend) -> None:
        """Note that such a request is over."""
        self._record(server).outstanding -= 1

    def record_load(
        self,
        now: float,
        server: backend.Backend,
        load: caller_request.ServerLoad | None,
    ) -> None:
        """Take in the load that an answer states."""
        if load is None:
            return
        record = self._record(server)
        record.load, record.load_reported_at = load, now
        record.outstanding_at_load = record.outstanding

    def record_success(self, server: backend.Backend) -> None:
        """Note a sound answer."""
        record = self._record(server)
        record.faults = 0
        record.paused_until = 0.0
        record.unreachable_until = 0.0
        record.is_probing = False

    def record_unreachable(self, now: float, server: backend.Backend) -> None:
        """Note that no connection to a server could be made."""
        self.record_failure(now, server)
        record = self._record(server)
        record.unreachable_until = record.paused_until
        record.is_probing = False

    def is_unreachable(self, server: backend.Backend) -> bool:
        """Whether the last connection to a server couldn't be made."""
        return bool(self._record(server).unreachable_until)

    def record_failure(self, now: float, server: backend.Backend) -> None:
        """Note a broken connection or a missing answer."""
        record = self._record(server)
        pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0**record.faults)
        record.faults += 1
        record.paused_until = now + pause_s

    def is_paused(self, now: float, server: backend.Backend) -> bool:
        """Whether a server is left alone for a while after faults."""
        return self._record(server).paused_until > now

    def choose(
        self,
        now: float,
        servers: tuple[backend.Backend, ...],
        failure_domain: str,
        *,
        avoid: frozenset[str] = frozenset(),
    ) -> backend.Backend | None:
        """Choose the server with the least work for its slots.

        Args:
          now: Monotonic time in seconds.
          servers: Candidates.
          failure_domain: Preferred where the work is equal.
          avoid: Ids of servers that must not be chosen.

        Returns:
          The choice; None if none can be reached or all are to be avoided.
        """
        candidates = [
            s for s in servers if s.id not in avoid and self._may_try(now, s)
        ]
        healthy = [s for s in candidates if not self.is_paused(now, s)]
        best: backend.Backend | None = None
        best_key = (0.0, False, 0.0)
        for server in healthy or candidates:
            key = (
                self._load_per_slot(now, server),
                server.failure_domain != failure_domain,
                self._rng.random(),
            )
            if best is None or key < best_key:
                best, best_key = server, key
        return best

    def _may_try(self, now: float, server: backend.Backend) -> bool:
        """Whether to try a server; one request at a time after a failure."""
        record = self._record(server)
        if not record.unreachable_until:
            return True
        return record.unreachable_until <= now and not record.is_probing

    def _load_per_slot(self, now: float, server: backend.Backend) -> float:
        record = self._record(server)
        work = float(record.outstanding)
        load = record.load
        if load is not None and now - record.load_reported_at < MAX_LOAD_AGE_S:
            others = load.running + load.waiting - record.outstanding_at_load
            work += max(0, others)
        return work / server.slots
