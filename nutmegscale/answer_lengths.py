"""Lengths of answers, from what callers expect and what came; pure."""

import math

# Weight of a new answer in the moments: some hundred answers count.
SMOOTHING = 0.02
# Answers that are taken for as long as hinted before any came; so many make
# the callers' hints known well enough.
PRIOR_ANSWERS = 10.0
# Deviation of a hint's logarithm that is taken at first (users' site files).
PRIOR_DEVIATION = 0.5


class AnswerLengths:
    """How far the hints of callers may be trusted.

    Hints and lengths are taken for log-normal. Hints are right at the median
    but far off one by one, so a hint that is far from the usual is taken for
    nearer to it: by linear regression of the logarithms. Answers are counted
    in events, of which each holds the same number of tokens.
    """

    def __init__(self) -> None:
        self._count = 0.0
        self._hint = 0.0
        self._events = 0.0
        self._hint_squares = 0.0
        self._products = 0.0
        self._event_squares = 0.0

    @property
    def slope(self) -> float:
        """Part of a hint's distance from the usual that the answer has."""
        variance = self._hint_squares - self._hint**2
        covariance = self._products - self._hint * self._events
        observed_weight = min(self._count, 1 / SMOOTHING)
        prior_weight = PRIOR_ANSWERS * PRIOR_DEVIATION**2
        slope = (observed_weight * covariance + prior_weight) / (
            observed_weight * variance + prior_weight
        )
        return min(1.0, max(0.0, slope))

    @property
    def deviation(self) -> float:
        """Deviation of the logarithm of lengths that have the same hint."""
        if self._count < PRIOR_ANSWERS:
            return PRIOR_DEVIATION
        variance = self._event_squares - self._events**2
        covariance = self._products - self._hint * self._events
        return math.sqrt(max(0.0, variance - self.slope * covariance))

    def record(self, hinted: int, events: int) -> None:
        """Take in a whole answer."""
        if hinted <= 0 or events <= 0:
            return
        hint, length = math.log(hinted), math.log(events)
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count)
        self._hint += weight * (hint - self._hint)
        self._events += weight * (length - self._events)
        self._hint_squares += weight * (hint**2 - self._hint_squares)
        self._products += weight * (hint * length - self._products)
        self._event_squares += weight * (length**2 - self._event_squares)

    def tokens(self, events: int) -> float:
        """Return the tokens of so many events, 0 while that isn't known."""
        if not self._count:
            return 0.0
        return events * math.exp(self._hint - self._events)

    def expect(self, hinted: int) -> float:
        """Return the expected length of an answer, in tokens."""
        if hinted <= 0 or not self._count:
            return float(hinted)
        hint = math.log(hinted)
        typical = self._hint if self._count >= PRIOR_ANSWERS else hint
        return math.exp(typical + self.slope * (hint - typical))
