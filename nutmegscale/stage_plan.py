"""How many model workers read prompts and how many make tokens; pure."""

from collections.abc import Sequence
from typing import NamedTuple

from nutmegscale import backend

# Gain in requests a second below which no worker is moved: an order keeps a
# worker away for seconds.
MIN_GAIN = 1.05
# The same where one prefill worker would be left: its loss or its queue then
# holds up every request. 1.15 and 1.2 were worse (docs/design/slots.md).
MIN_GAIN_TO_ONE = 1.25
# Prefill capacity kept above that of decode: the wait for a prefill worker
# comes out of the time to the first event, and bursts are twice the mean.
PREFILL_HEADROOM = 1.5


class StageCosts(NamedTuple):
    """Time that one request takes of a worker, seconds.

    Attributes:
      prefill_s: Of a prefill worker.
      decode_s: Of a decode worker, all its slots shared.
    """

    prefill_s: float
    decode_s: float


def rate(prefills: int, decodes: int, costs: StageCosts) -> float:
    """Return the requests a second that workers carry."""
    prefill_rate = prefills / (costs.prefill_s * PREFILL_HEADROOM)
    return min(prefill_rate, decodes / costs.decode_s)


def best_prefill_count(workers: int, costs: StageCosts) -> int:
    """Return how many of some workers should read prompts."""
    if workers < 2:
        return 0
    return max(
        range(1, workers),
        key=lambda prefills: rate(prefills, workers - prefills, costs),
    )


def choose_move(
    workers: Sequence[backend.Backend], costs: StageCosts
) -> backend.Backend | None:
    """Return a prefill worker that should make tokens instead, if any.

    Only this direction is ordered: without a prefill worker the decode
    workers read prompts themselves, and one that is drained for seconds
    costs more than that.

    Args:
      workers: Sound workers of one service.
      costs: What a request costs them.
    """
    prefills = [w for w in workers if w.stage == "prefill"]
    decodes = [w for w in workers if w.stage == "decode"]
    if len(prefills) <= max(1, best_prefill_count(len(workers), costs)):
        return None
    current_rate = rate(len(prefills), len(decodes), costs)
    new_rate = rate(len(prefills) - 1, len(decodes) + 1, costs)
    min_gain = MIN_GAIN if len(prefills) > 2 else MIN_GAIN_TO_ONE
    if new_rate < current_rate * min_gain:
        return None
    return min(prefills, key=lambda w: w.id)
