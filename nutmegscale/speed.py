"""Observed speed of a resource that serves one job after the other."""

import math

MIN_FACTOR = 0.5
MAX_FACTOR = 10.0
GAIN = 0.3
DECAY_HALF_LIFE_S = 2.0
DECAY_AFTER_S = 1.0


class ServiceTimeRatio:
    """Smoothed ratio of observed to profiled service time.

    A job's service begins when it arrives or when the job before it ended,
    whichever is later. Without observations the ratio drifts back to 1.
    """

    def __init__(self) -> None:
        self._factor = 1.0
        self._last_end = 0.0
        self._observed_at = 0.0

    def factor(self, now: float) -> float:
        """Return how many times longer than by the profile a job takes."""
        idle_s = now - self._observed_at - DECAY_AFTER_S
        if idle_s <= 0:
            return self._factor
        kept = math.pow(0.5, idle_s / DECAY_HALF_LIFE_S)
        return 1.0 + (self._factor - 1.0) * kept

    def observe(
        self, now: float, arrived: float, ended: float, profile_s: float
    ) -> None:
        """Take in one job.

        Args:
          now: Monotonic time in seconds.
          arrived: Time at which the job was given to the resource.
          ended: Time at which it ended.
          profile_s: Its service time by the cost profile.
        """
        current = self.factor(now)
        service_s = ended - max(arrived, self._last_end)
        self._last_end = max(self._last_end, ended)
        self._observed_at = now
        if service_s <= 0 or profile_s <= 0:
            return
        ratio = min(MAX_FACTOR, max(MIN_FACTOR, service_s / profile_s))
        self._factor = current + GAIN * (ratio - current)
