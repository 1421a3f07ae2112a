"""State of one stream across its slot grants, prefills and runs."""

from nutmegscale import caller_request
from nutmegscale import http_message
from nutmegscale import routes


class StreamRun:
    """State of one stream while it is served; times are of the host's clock.

    Attributes:
      exchange: Name of the current slot request, ID.NUMBER.
      slot_requests: Slot requests so far.
      avoid: Ids of decode workers that must not be offered it again.
      local_prefill: Whether the decode worker must prefill locally.
      is_source_used: Whether a decode worker used the KV cache.
      cache_worker: Worker whose KV cache the last run used, or "".
      runs: Runs that started and ended early.
      unreached: Offers for which no connection could be made.
      failed_answer: Complete answer of a server that failed, which the caller
        gets if no other server runs the stream.
      source_rejections: Rejected runs from the KV cache of the last prefill.
      disconnects: Prefills and runs whose server broke the connection.
      is_trial: Whether it tries content after its quarantine.
      events: Events forwarded to the caller.
      run_events: Those of the current run.
      last_event: Id of the last of them that has one, or b"".
      content_type: Content type of the answer in progress, or b"".
      version: Software version of the workers that brought its events; "" if
        unknown, or if there are none yet.
      granted_at: When the current slot was granted, seconds.
      prefill_worker: Worker of the last successful prefill, or "".
      prefill_s: Duration of that prefill, seconds.
      handle_expires_at: Until when its KV cache is offered, seconds.
      first_event_at: When the first event came in, seconds; 0 if none has.
      longest_gap_s: Longest time between two events, seconds.
      began_at: When the last run was sent, seconds.
      ended_at: When the complete run ended, seconds.
      is_complete: Whether the complete answer was forwarded.
      load: Load that a worker stated when it last rejected a run, if any.
    """

    def __init__(self, request: caller_request.CallerRequest) -> None:
        self.exchange = ""
        self.slot_requests = 0
        self.avoid: list[str] = []
        self.local_prefill = False
        self.is_source_used = False
        self.cache_worker = ""
        self.runs = 0
        self.unreached = 0
        self.failed_answer: tuple[http_message.ResponseHead, bytes] | None = (
            None
        )
        self.source_rejections = 0
        self.disconnects = 0
        self.is_trial = False
        self.events = 0
        self.run_events = 0
        self.last_event = b""
        self.content_type = b""
        self.version = ""
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

    def record_events(self, now: float, count: int) -> None:
        """Record the arrival of events that are forwarded to the caller."""
        self.events += count
        self.run_events += count
        if not self.first_event_at:
            self.first_event_at = now
        else:
            gap_s = now - self._last_event_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self._last_event_at = now

    def begin(self, now: float) -> None:
        """Record that a run is sent."""
        self.began_at = now
        self.run_events = 0

    @property
    def had_free_slot(self) -> bool:
        """Whether the worker that rejected it last stated a free slot."""
        return self.load is not None and self.load.running < self.load.slots

    @property
    def took_s(self) -> float:
        """Duration of the complete run, seconds; 0 before its end."""
        return max(0.0, self.ended_at - self.began_at)

    @property
    def tokens_if_complete(self) -> int:
        """Expected tokens of the answer; 0 if the run wasn't completed."""
        return self._expected_tokens if self.is_complete else 0

    def may_run_again(self, route: routes.Route) -> bool:
        """Return whether another run of the stream is allowed."""
        if self.runs == 0:
            return True
        if self.events and not (self.version and self.last_event):
            # No other run can continue where this one ended.
            return False
        return route.is_resumable and self.runs < route.max_attempts

    def keep_source(
        self, source: caller_request.KvHandle | None, now: float
    ) -> bool:
        """Keep a KV cache for the next offer if the worker didn't run it.

        It is kept only after a recorded rejection, and not once it has expired.

        Returns:
          Whether it is kept; otherwise the caller of this method frees it
          unless a run used it.
        """
        is_rejected, self._is_rejected = self._is_rejected, False
        if source is None or not is_rejected or now >= self.handle_expires_at:
            return False
        self._source = source
        return True

    def take_source(self, now: float) -> caller_request.KvHandle | None:
        """Remove and return the kept KV cache, or None if it has expired."""
        source, self._source = self._source, None
        return source if now < self.handle_expires_at else None

    def record_rejection(
        self, now: float, decode: str, *, had_source: bool
    ) -> bool:
        """Record that a worker rejected the run or left before it.

        A worker without memory and one that can't fetch the KV cache give the
        same answer. A cache that two workers reject, or that may have expired,
        is taken for lost: the next worker prefills the prompt locally.

        Args:
          now: Current time, seconds.
          decode: Id of the worker.
          had_source: Whether it rejected a run from a KV cache.

        Returns:
          Whether the worker is likely to have no free memory or slot.
        """
        self.source_rejections += had_source
        is_source_lost = had_source and (
            self.source_rejections > 1 or now >= self.handle_expires_at
        )
        if is_source_lost and self.had_free_slot:
            self.local_prefill = True
            return False
        self._is_rejected = True
        self.avoid.append(decode)
        return True
