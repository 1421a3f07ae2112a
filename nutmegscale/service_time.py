"""Observed speed of a resource that serves one job after the other."""

import math

# Bounds on the ratio of a single job.
MIN_RATIO = 0.5
MAX_RATIO = 10.0
# Weight of a new job in the smoothed ratio.
GAIN = 0.3
DECAY_HALF_LIFE_S = 2.0
# Time without jobs after which the ratio starts to decay, seconds.
DECAY_AFTER_S = 1.0


class ServiceTimeRatio:
    """Smoothed ratio of observed to profiled service time.

    The service of a job begins when the job arrives or when the previous one
    ends, whichever is later. Without observations the ratio decays to 1.
    """

    def __init__(self) -> None:
        self._ratio = 1.0
        self._last_end = 0.0
        self._observed_at = 0.0

    def ratio(self, now: float) -> float:
        """Return the ratio of a job's service time to its profiled time."""
        idle_s = now - self._observed_at - DECAY_AFTER_S
        if idle_s <= 0:
            return self._ratio
        kept = math.pow(0.5, idle_s / DECAY_HALF_LIFE_S)
        return 1.0 + (self._ratio - 1.0) * kept

    def observe(
        self, now: float, arrived: float, ended: float, profile_s: float
    ) -> None:
        """Record one job.

        Args:
          now: Monotonic time in seconds.
          arrived: Time at which the job arrived at the resource.
          ended: Time at which it ended.
          profile_s: Its service time according to the cost profile.
        """
        current = self.ratio(now)
        service_s = ended - max(arrived, self._last_end)
        self._last_end = max(self._last_end, ended)
        self._observed_at = now
        if service_s <= 0 or profile_s <= 0:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, service_s / profile_s))
        self._ratio = current + GAIN * (ratio - current)
