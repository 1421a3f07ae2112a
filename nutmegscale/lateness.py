"""How late plans come true, learnt from those that did."""

MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATIONS = 2.0
START_MARGIN_S = 0.02


class Lateness:
    """Smoothed mean and deviation of actual minus predicted times.

    The margin follows the smoothing of retransmission timers: it covers the
    usual error of the predictions, and grows when they get worse.
    """

    def __init__(self) -> None:
        self._mean_s = 0.0
        self._deviation_s = START_MARGIN_S / DEVIATIONS

    @property
    def margin_s(self) -> float:
        """Time to keep free between a prediction and its target."""
        return max(0.0, self._mean_s + DEVIATIONS * self._deviation_s)

    def observe(self, late_s: float) -> None:
        """Take in how late one prediction was; negative when early."""
        error_s = late_s - self._mean_s
        self._mean_s += MEAN_GAIN * error_s
        self._deviation_s += DEVIATION_GAIN * (abs(error_s) - self._deviation_s)
