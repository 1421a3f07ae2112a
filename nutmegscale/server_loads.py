"""What a host knows of the load and faults of backend servers."""

import random

from nutmegscale import backend
from nutmegscale import caller_request

# A stated load says little once it is older than a few answers, seconds.
LOAD_LIFE_S = 0.5
# Pause after the first fault of a server, seconds; doubled with each further.
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0


class _Record:
    def __init__(self) -> None:
        self.outstanding = 0
        self.load: caller_request.ServerLoad | None = None
        self.load_at = 0.0
        self.own_at_load = 0
        self.faults = 0
        self.paused_until = 0.0
        self.unreachable_until = 0.0
        self.is_tried = False


class ServerLoads:
    """Own requests, stated loads and faults by backend server; pure."""

    def __init__(self, *, rng: random.Random | None = None) -> None:
        self._records: dict[str, _Record] = {}
        self._rng = rng or random.Random()

    def _record(self, server: backend.Backend) -> _Record:
        return self._records.setdefault(server.key, _Record())

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

    def sent(self, server: backend.Backend) -> None:
        """Note a request that is sent to a server."""
        record = self._record(server)
        record.outstanding += 1
        record.is_tried = bool(record.unreachable_until)

    def ended(self, server: backend.Backend) -> None:
        """Note that such a request is over."""
        self._record(server).outstanding -= 1

    def stated(
        self,
        now: float,
        server: backend.Backend,
        load: caller_request.ServerLoad | None,
    ) -> None:
        """Take in the load that an answer states."""
        if load is None:
            return
        record = self._record(server)
        record.load, record.load_at = load, now
        record.own_at_load = record.outstanding

    def worked(self, server: backend.Backend) -> None:
        """Note a sound answer."""
        record = self._record(server)
        record.faults = 0
        record.paused_until = 0.0
        record.unreachable_until = 0.0
        record.is_tried = False

    def unreachable(self, now: float, server: backend.Backend) -> None:
        """Note that no connection to a server could be made."""
        self.failed(now, server)
        record = self._record(server)
        record.unreachable_until = record.paused_until
        record.is_tried = False

    def is_unreachable(self, server: backend.Backend) -> bool:
        """Whether the last connection to a server couldn't be made."""
        return bool(self._record(server).unreachable_until)

    def failed(self, now: float, server: backend.Backend) -> None:
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
            s
            for s in servers
            if s.id not in avoid and self._may_be_reached(now, s)
        ]
        sound = [s for s in candidates if not self.is_paused(now, s)]
        best: backend.Backend | None = None
        best_key = (0.0, False, 0.0)
        for server in sound or candidates:
            key = (
                self._work(now, server),
                server.failure_domain != failure_domain,
                self._rng.random(),
            )
            if best is None or key < best_key:
                best, best_key = server, key
        return best

    def _may_be_reached(self, now: float, server: backend.Backend) -> bool:
        """Whether to try a server; one request at a time after a failure."""
        record = self._record(server)
        if not record.unreachable_until:
            return True
        return record.unreachable_until <= now and not record.is_tried

    def _work(self, now: float, server: backend.Backend) -> float:
        record = self._record(server)
        work = float(record.outstanding)
        load = record.load
        if load is not None and now - record.load_at < LOAD_LIFE_S:
            others = load.running + load.waiting - record.own_at_load
            work += max(0, others)
        return work / server.slots
