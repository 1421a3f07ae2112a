"""Prefill workers whose KV caches decode workers couldn't use; no I/O."""

from collections.abc import Collection

# Decode workers that must have rejected runs from the caches, within this
# time in seconds. One alone may have had no memory.
MIN_REJECTING = 2
MEMORY_S = 2.0
# First time without prefills, seconds; it doubles each time that the trial
# after it fails.
FIRST_PAUSE_S = 1.0
MAX_PAUSE_S = 8.0
# Time in which a trial shows that caches can be used again, seconds.
TRIAL_S = 1.0


class _Suspicion:
    """Suspicion against one prefill worker; times in seconds.

    Attributes:
      rejected_at: When each decode worker rejected a run from its caches last.
      paused_until: End of the time without prefills; 0 if it isn't suspected.
      pauses: Such times in a row.
      trial_at: When the last prefill was granted since then.
    """

    def __init__(self) -> None:
        self.rejected_at: dict[str, float] = {}
        self.paused_until = 0.0
        self.pauses = 0
        self.trial_at = 0.0


class CacheTrust:
    """Decides which prefill workers get no prompts, as their caches are lost.

    Answers a worker whose KV caches expire at once or can't be fetched. Its
    prefills succeed, so that it looks idle and gets prompt after prompt, and
    each one is prefilled in vain.
    """

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}

    def may_use(self, now: float, worker: str) -> bool:
        """Whether a prefill worker may be granted a prompt now.

        After its pause it gets one prompt, as a trial.
        """
        suspicion = self._suspicions.get(worker)
        if suspicion is None or not suspicion.paused_until:
            return True
        is_tried = now - suspicion.trial_at < TRIAL_S
        return now >= suspicion.paused_until and not is_tried

    def record_grant(self, now: float, worker: str) -> None:
        """Record that a prompt was granted to a prefill worker."""
        suspicion = self._suspicions.get(worker)
        if suspicion is not None and suspicion.paused_until:
            suspicion.trial_at = now

    def record_rejection(
        self, now: float, worker: str, decode: str
    ) -> list[str]:
        """Record that a decode worker rejected a run from a worker's cache.

        Args:
          now: Current time, seconds.
          worker: The prefill worker.
          decode: The decode worker.

        Returns:
          The decode workers whose rejections are laid to the prefill worker; of
          the others it isn't known if they had memory.
        """
        suspicion = self._suspicions.setdefault(worker, _Suspicion())
        suspicion.rejected_at[decode] = now
        if now < suspicion.paused_until:
            return [decode]
        recent = [
            at for at in suspicion.rejected_at.values() if now - at <= MEMORY_S
        ]
        if suspicion.paused_until or len(recent) >= MIN_REJECTING:
            pause_s = min(MAX_PAUSE_S, FIRST_PAUSE_S * 2.0**suspicion.pauses)
            suspicion.pauses += 1
            suspicion.paused_until = now + pause_s
            return list(suspicion.rejected_at)
        return []

    def record_use(self, worker: str, prefilled_at: float) -> None:
        """Record that a run has used a cache of a prefill worker.

        Args:
          worker: The prefill worker.
          prefilled_at: When the cache was granted or written, seconds; uses of
            earlier caches than the last rejected one say nothing.
        """
        suspicion = self._suspicions.get(worker)
        if suspicion is None:
            return
        last = max(suspicion.rejected_at.values(), default=0.0)
        if prefilled_at > last:
            del self._suspicions[worker]

    def keep_only(self, workers: Collection[str]) -> None:
        """Forget all other workers."""
        self._suspicions = {
            name: suspicion
            for name, suspicion in self._suspicions.items()
            if name in workers
        }
