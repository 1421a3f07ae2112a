"""Whether the memory of a decode worker will hold its runs; pure."""

from collections.abc import Sequence
import math
from typing import NamedTuple

# Deviations kept free above the expected use (docs/design/slots.md).
SAFE_DEVIATIONS = 2.0
# Times at which the use is looked at, up to past the longest expected end.
STEPS = 8
HORIZON = 1.2
# Lengths are never taken for known more exactly than that (logarithm).
MIN_DEVIATION = 0.1


class Run(NamedTuple):
    """A run on a decode worker, in tokens.

    Attributes:
      prompt: Length of its prompt.
      made: Tokens that it has made.
      expected: Expected length of its answer.
    """

    prompt: int
    made: float
    expected: float


def fits(runs: Sequence[Run], limit: float, deviation: float) -> bool:
    """Whether runs will hardly need more memory than there is; see `room`."""
    return room(runs, limit, deviation) >= 0.0


def room(runs: Sequence[Run], limit: float, deviation: float) -> float:
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
    spread = max(MIN_DEVIATION, deviation) * math.sqrt(2.0)
    alive = [max(1e-6, _survival(run, 0.0, spread)) for run in runs]
    horizon = HORIZON * max(run.expected for run in runs)
    peak = 0.0
    for step in range(1, STEPS + 1):
        ahead = horizon * step / STEPS
        mean = variance = most = 0.0
        for run, now in zip(runs, alive, strict=True):
            chance = _survival(run, ahead, spread) / now
            size = run.prompt + run.made + ahead
            mean += chance * size
            variance += chance * (1.0 - chance) * size * size
            most += size
        safe = mean + SAFE_DEVIATIONS * math.sqrt(variance)
        peak = max(peak, min(most, safe))
    return limit - peak


def _survival(run: Run, ahead: float, spread: float) -> float:
    """Return the chance that a run makes more than some further tokens."""
    made = run.made + ahead
    if made <= 0.0:
        return 1.0
    return 0.5 * math.erfc(math.log(made / run.expected) / spread)
