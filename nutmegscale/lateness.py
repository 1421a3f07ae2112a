"""Error of predicted times, estimated from past predictions."""

# Weights of a new error in the smoothed mean and deviation.
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
# Deviations that the margin covers above the mean.
DEVIATIONS = 2.0
# Margin before the first observation, seconds.
INITIAL_MARGIN_S = 0.02


class Lateness:
    """Smoothed mean and deviation of actual minus predicted times.

    The deviation is the mean absolute one. The margin is smoothed like TCP's
    retransmission timeout: it covers the typical error of the predictions and
    grows when they get worse.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = INITIAL_MARGIN_S / DEVIATIONS

    @property
    def margin_s(self) -> float:
        """Margin to keep between a prediction and its target, seconds."""
        return max(0.0, self._mean_s + DEVIATIONS * self._deviation_s)

    def observe(self, late_s: float) -> None:
        """Record by how much one prediction was late; negative if early."""
        error_s = late_s - self._mean_s
        self._mean_s += MEAN_GAIN * error_s
        self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
