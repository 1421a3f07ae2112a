"""Division of model workers between the prefill and decode stages; pure."""

from collections.abc import Sequence
from typing import NamedTuple

from nutmegscale import backend

# Factor by which the request rate must grow for a worker to be moved: a stage
# order takes the worker out of service for seconds.
MIN_GAIN = 1.05
# The same where one prefill worker would be left, whose failure or queue then
# delays every request. 1.15 and 1.2 gave worse results (docs/design/slots.md).
MIN_GAIN_TO_ONE = 1.25
# Prefill capacity relative to decode capacity: queueing for a prefill worker
# uses up time to the first event, and bursts reach twice the mean rate.
PREFILL_HEADROOM = 1.5


class StageCosts(NamedTuple):
    """Worker time that one typical request takes, seconds.

    Attributes:
      prefill_s: Time of a prefill worker.
      decode_s: Time of a decode worker, divided by the runs that share it.
    """

    prefill_s: float
    decode_s: float


def rate(prefills: int, decodes: int, costs: StageCosts) -> float:
    """Return the request rate that workers sustain, per second."""
    prefill_rate = prefills / (costs.prefill_s * PREFILL_HEADROOM)
    return min(prefill_rate, decodes / costs.decode_s)


def best_prefill_count(workers: int, costs: StageCosts) -> int:
    """Return the number of prefill workers with the highest request rate."""
    if workers < 2:
        return 0
    return max(
        range(1, workers),
        key=lambda prefills: rate(prefills, workers - prefills, costs),
    )


def choose_move(
    workers: Sequence[backend.Backend], costs: StageCosts
) -> backend.Backend | None:
    """Return a prefill worker that should become a decode worker, or None.

    No decode worker is ever moved to prefill: without a prefill worker the
    decode workers prefill locally, which costs less than draining one of them
    for seconds.

    Args:
      workers: Healthy workers of one service.
      costs: Costs of a typical request at them.
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
