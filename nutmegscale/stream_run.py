"""What is known of one stream while it is served."""

from nutmegscale import caller_request
from nutmegscale import routes


class StreamRun:
    """What is known of one stream while it is served."""

    def __init__(self, request: caller_request.CallerRequest) -> None:
        self.exchange = ""
        self.slot_requests = 0
        self.avoid: list[str] = []
        self.reads_itself = False
        self.is_source_used = False
        self.runs = 0
        self.arrivals = 0
        self.prefills = 0
        self.events = 0
        self.last_event = b""
        self.granted_at = 0.0
        self.prefill_worker = ""
        self.prefill_s = 0.0
        self.handle_expires_at = 0.0
        self._source: caller_request.KvHandle | None = None
        self._is_rejected = False
        self.first_event_at = 0.0
        self.longest_gap_s = 0.0
        self._last_event_at = 0.0
        self.began_at = 0.0
        self.ended_at = 0.0
        self.is_complete = False
        self.load: caller_request.ServerLoad | None = None
        self._expected_tokens = request.expected_tokens

    def record_event(self, now: float) -> None:
        """Note that an event came in."""
        if not self.first_event_at:
            self.first_event_at = now
        else:
            gap_s = now - self._last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_event_at = now

    @property
    def took_s(self) -> float:
        """Time that the whole run took, seconds."""
        return max(0.0, self.ended_at - self.began_at)

    @property
    def tokens_if_complete(self) -> int:
        """Tokens that the run was expected to make, 0 if it wasn't whole."""
        return self._expected_tokens if self.is_complete else 0

    def may_run_again(self, route: routes.Route) -> bool:
        """Whether the stream may be run again after one that broke off."""
        if self.runs == 0:
            return True
        return route.is_resumable and self.runs < route.max_attempts

    def keep_source(
        self, source: caller_request.KvHandle | None, now: float
    ) -> bool:
        """Keep a KV cache for the next offer, if a full worker refused it."""
        is_rejected, self._is_rejected = self._is_rejected, False
        if source is None or not is_rejected or now >= self.handle_expires_at:
            return False
        self._source = source
        return True

    def take_source(self, now: float) -> caller_request.KvHandle | None:
        """Return the KV cache that was kept, while it lives."""
        source, self._source = self._source, None
        return source if now < self.handle_expires_at else None

    def record_rejection(self, decode: str, *, had_source: bool) -> None:
        """Note that a worker didn't take the run."""
        load = self.load
        has_room = load is not None and load.running < load.slots
        if had_source and has_room:
            # The KV cache is gone, not the room for it.
            self.reads_itself = True
        else:
            self._is_rejected = True
            self.avoid.append(decode)
