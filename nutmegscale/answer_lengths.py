"""Expected answer lengths, from callers' hints and past answers; no I/O."""

import math

# Weight of a new answer in the moments, so that about the last hundred answers
# count.
SMOOTHING = 0.02
# Weight of the prior that answers are as long as hinted, in answers. From as
# many observed answers on, their mean hint and deviation are used.
PRIOR_ANSWERS = 10.0
# Prior standard deviation of the logarithm of hints, and of lengths with the
# same hint.
PRIOR_DEVIATION = 0.5


class AnswerLengths:
    """Estimates the lengths of answers from the hints of callers.

    Hints and lengths are assumed to be log-normal. Hints are right at the
    median but far off individually, so a hint is shrunk towards the mean by
    linear regression of the logarithms. Answers are counted in events that
    hold the same number of tokens each.
    """

    def __init__(self) -> None:
        self._count = 0.0
        # Smoothed means of the logarithms of hints and of lengths in events, of
        # their squares and of their product.
        self._hint = 0.0
        self._events = 0.0
        self._hint_squares = 0.0
        self._products = 0.0
        self._event_squares = 0.0

    @property
    def slope(self) -> float:
        """Slope of the regression of lengths on hints, from 0 to 1."""
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
        """Standard deviation of the logarithm of lengths with the same hint."""
        if self._count < PRIOR_ANSWERS:
            return PRIOR_DEVIATION
        variance = self._event_squares - self._events**2
        covariance = self._products - self._hint * self._events
        return math.sqrt(max(0.0, variance - self.slope * covariance))

    def record(self, hinted: int, events: int) -> None:
        """Record a complete answer.

        Args:
          hinted: Length that the caller expected, tokens.
          events: Length of the answer, events.
        """
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
        """Estimate the tokens in a number of events, 0 before any answer."""
        if not self._count:
            return 0.0
        return events * math.exp(self._hint - self._events)

    def expect(self, hinted: int) -> float:
        """Return the expected length of an answer with a hint, in tokens."""
        if hinted <= 0 or not self._count:
            return float(hinted)
        hint = math.log(hinted)
        typical = self._hint if self._count >= PRIOR_ANSWERS else hint
        return math.exp(typical + self.slope * (hint - typical))
