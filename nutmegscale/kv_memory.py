"""Forecast of the KV memory that the runs of a decode worker need; pure."""

from collections.abc import Sequence
import math
from typing import NamedTuple

# Standard deviations kept free above the expected use (docs/design/slots.md).
SAFE_DEVIATIONS = 2.0
# Number of points at which the use is forecast.
FORECAST_STEPS = 8
# Length of the forecast as a multiple of the longest expected answer, so that
# it reaches past the expected end of every run.
HORIZON_FACTOR = 1.2
# Lower bound on the deviation of the logarithm of lengths.
MIN_DEVIATION = 0.1


class Run(NamedTuple):
    """A run on a decode worker, in tokens.

    Attributes:
      prompt: Length of the prompt.
      generated: Tokens generated so far.
      expected: Expected length of the answer.
    """

    prompt: int
    generated: float
    expected: float


def fits(runs: Sequence[Run], limit: float, deviation: float) -> bool:
    """Whether the memory is very likely enough; see `free_memory`."""
    return free_memory(runs, limit, deviation) >= 0.0


def free_memory(runs: Sequence[Run], limit: float, deviation: float) -> float:
    """Return the memory that runs are very unlikely to need, in tokens.

    All runs are assumed to generate tokens at the same speed. The probability
    that a run still holds memory at a time follows from a log-normal answer
    length whose median is the expected one.

    Args:
      runs: The runs.
      limit: Size of the memory in tokens.
      deviation: Standard deviation of the logarithm of the lengths.

    Returns:
      Free memory at the likely peak, negative if the memory isn't enough.
    """
    scale = max(MIN_DEVIATION, deviation) * math.sqrt(2.0)
    survival_now = [max(1e-6, _survival(run, 0.0, scale)) for run in runs]
    horizon = HORIZON_FACTOR * max(run.expected for run in runs)
    peak = 0.0
    # The first point is now: an engine rejects a run that doesn't fit at once,
    # even if others are about to end.
    for step in range(FORECAST_STEPS + 1):
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
    """Return the probability that an answer is longer than a given length.

    It isn't conditional on the tokens generated so far.

    Args:
      run: The run.
      ahead: Tokens by which the length exceeds the generated ones.
      scale: Standard deviation of the logarithm of lengths, times sqrt(2).
    """
    generated = run.generated + ahead
    if generated <= 0.0:
        return 1.0
    return 0.5 * math.erfc(math.log(generated / run.expected) / scale)
