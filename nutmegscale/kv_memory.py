"""Whether the memory of a decode worker will hold its runs; pure."""

from collections.abc import Sequence
import math
from typing import NamedTuple

# Deviations kept free above the expected use (docs/design/slots.md).
SAFE_DEVIATIONS = 2.0
# Times at which the use is looked at, up to past the longest expected end.
FORECAST_STEPS = 8
HORIZON_FACTOR = 1.2
# Lengths are never taken for known more exactly than that (logarithm).
MIN_DEVIATION = 0.1


class Run(NamedTuple):
    """A run on a decode worker, in tokens.

    Attributes:
      prompt: Length of its prompt.
      generated: Tokens that it has made.
      expected: Expected length of its answer.
    """

    prompt: int
    generated: float
    expected: float


def fits(runs: Sequence[Run], limit: float, deviation: float) -> bool:
    """Whether runs will hardly need more memory than there is; see `room`."""
    return free_memory(runs, limit, deviation) >= 0.0


def free_memory(runs: Sequence[Run], limit: float, deviation: float) -> float:
    """Return the memory that runs will hardly ever need, in tokens.

    All runs make tokens at the same speed. Whether each one is still there at
    a time follows from a log-normal length.

    Args:
      runs: The runs.
      limit: Tokens that the memory holds.
      deviation: Deviation of the logarithm of the lengths.

    Returns:
      What is left of the memory, less than 0 if it isn't enough.
    """
    scale = max(MIN_DEVIATION, deviation) * math.sqrt(2.0)
    survival_now = [max(1e-6, _survival(run, 0.0, scale)) for run in runs]
    horizon = HORIZON_FACTOR * max(run.expected for run in runs)
    peak = 0.0
    for step in range(1, FORECAST_STEPS + 1):
        ahead = horizon * step / FORECAST_STEPS
        mean = variance = upper_bound = 0.0
        for run, alive_now in zip(runs, survival_now, strict=True):
            probability = _survival(run, ahead, scale) / alive_now
            size = run.prompt + run.generated + ahead
            mean += probability * size
            variance += probability * (1.0 - probability) * size * size
            upper_bound += size
        likely_peak = mean + SAFE_DEVIATIONS * math.sqrt(variance)
        peak = max(peak, min(upper_bound, likely_peak))
    return limit - peak


def _survival(run: Run, ahead: float, scale: float) -> float:
    """Return the chance that a run makes more than some further tokens."""
    generated = run.generated + ahead
    if generated <= 0.0:
        return 1.0
    return 0.5 * math.erfc(math.log(generated / run.expected) / scale)
