"""Plays bursts in which one of many customers sends more than usual.

`python -m tools.share_days` prints what the others keep of their answers in
time, by first attempt only and with customers' shares.
"""

import argparse
from collections import Counter
from collections.abc import Iterable
import itertools
import multiprocessing
import random
from typing import NamedTuple

from rich import console
from rich import table

from nutmegscale import slot_queue
from tools import slot_days
from tools import slot_simulation
from tools import slot_site

CUSTOMERS = 16
# Workers of the built-in site, enlarged so that each customer has streams.
PREFILLS = 8
DECODES = 12
# Streams a second that these serve if more are requested, measured.
CAPACITY_PER_S = 30.0
USUAL_LOAD = 0.6
LENGTH_S = 30.0
BURST_START_S = 16.0
BURST_LENGTH_S = 6.0
BURST_FACTOR = 2.0
HOT_FACTOR = 7.0
# Time after the burst for which its streams are counted, seconds: about as long
# as runs that the burst started hold memory.
AFTERMATH_S = 2.0


class Served(NamedTuple):
    """Streams of a customer that came during the burst and shortly after.

    Attributes:
      in_time: Streams answered in time.
      all: All its streams.
    """

    in_time: int
    all: int


def names() -> list[str]:
    """Return the names of the customers, those with most streams first."""
    return [f"c{number:02}" for number in range(CUSTOMERS)]


def usual_shares() -> dict[str, float]:
    """Return the customers' parts of the usual streams, by Zipf's law."""
    sizes = {name: 1 / n for n, name in enumerate(names(), start=1)}
    total = sum(sizes.values())
    return {name: size / total for name, size in sizes.items()}


def draw_day(
    seed: int, *, hot: str = "", is_named: bool = True
) -> slot_days.Day:
    """Draw a day with a burst on all customers.

    The streams of the other customers don't depend on the hot one.

    Args:
      seed: Seed of all random choices.
      hot: Customer that sends seven times its usual rate during the burst, ""
        for none.
      is_named: Whether the slot queue learns the customers.
    """
    day = slot_days.draw_day(slot_site.OWN_SITE, "busy", seed)
    calls = [
        call
        for name, share in usual_shares().items()
        for call in _draw_calls(day, seed, name, share, is_hot=name == hot)
    ]
    if not is_named:
        calls = [call._replace(customer="") for call in calls]
    return day._replace(
        engine=day.engine._replace(prefills=PREFILLS, decodes=DECODES),
        calls=tuple(sorted(calls, key=lambda call: call.arrival_s)),
        losses=(),
        cuts=(),
        plain_calls=(),
        length_s=LENGTH_S,
    )


def _draw_calls(
    day: slot_days.Day, seed: int, customer: str, share: float, *, is_hot: bool
) -> Iterable[slot_days.Call]:
    rng = random.Random(f"{seed}/{customer}")
    usual = share * USUAL_LOAD * CAPACITY_PER_S
    burst = usual * (HOT_FACTOR if is_hot else BURST_FACTOR)
    end_s = BURST_START_S + BURST_LENGTH_S
    for start, until, rate in (
        (0.0, BURST_START_S, usual),
        (end_s, LENGTH_S, usual),
        (BURST_START_S, end_s, burst),
    ):
        now = start
        for number in itertools.count():
            now += rng.expovariate(rate)
            if now >= until:
                break
            # Sizes follow those of the site's own streams.
            sizes = rng.choice(day.calls)
            yield sizes._replace(
                name=f"{customer}-{start:.0f}-{number}",
                arrival_s=now,
                customer=customer,
            )


def count_served(result: slot_simulation.Result) -> dict[str, Served]:
    """Count the streams of each customer that came during the burst."""
    end_s = BURST_START_S + BURST_LENGTH_S + AFTERMATH_S
    in_time: Counter[str] = Counter()
    total: Counter[str] = Counter()
    for outcome in result.outcomes:
        call = outcome.call
        if BURST_START_S <= call.arrival_s < end_s:
            customer = call.name.partition("-")[0]
            total[customer] += 1
            in_time[customer] += outcome.state == "in_time"
    return {name: Served(in_time[name], total[name]) for name in names()}


class Case(NamedTuple):
    """Parameters of one run; see `draw_day`."""

    seed: int
    hot: str
    is_named: bool


def run_case(case: Case) -> dict[str, Served]:
    """Play one day."""
    day = draw_day(case.seed, hot=case.hot, is_named=case.is_named)
    policy = slot_simulation.QueuePolicy(slot_queue.SlotQueue)
    return count_served(slot_simulation.Simulation(day, policy).run())


def add_up(results: Iterable[dict[str, Served]]) -> dict[str, Served]:
    """Add up the streams of several days."""
    days = list(results)
    return {
        name: Served(
            sum(day[name].in_time for day in days),
            sum(day[name].all for day in days),
        )
        for name in names()
    }


def kept(
    served: dict[str, Served], without_hot: dict[str, Served], hot: str
) -> dict[str, float]:
    """Return what part of their answers in time the other customers keep."""
    return {
        name: served[name].in_time / max(1, without_hot[name].in_time)
        for name in names()
        if name != hot
    }


def relative_rates(served: dict[str, Served]) -> dict[str, float]:
    """Return how often each customer is served, relative to all together."""
    total = sum(s.in_time for s in served.values())
    rate = total / max(1, sum(s.all for s in served.values()))
    return {
        name: s.in_time / max(1, s.all) / rate for name, s in served.items()
    }


def main() -> None:
    """Play the days and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--processes", type=int, default=4)
    args = parser.parse_args()
    output = table.Table(
        "hot", "order", "in time", "of", "others keep", "least", "rel. rate"
    )
    with multiprocessing.Pool(args.processes) as pool:

        def _play(hot: str, *, is_named: bool) -> dict[str, Served]:
            cases = [
                Case(seed, hot, is_named) for seed in range(1, args.seeds + 1)
            ]
            return add_up(pool.map(run_case, cases, chunksize=1))

        usual = _play("", is_named=False)
        for hot, is_named in itertools.product(
            ("", "c00", "c02", "c07"), (False, True)
        ):
            served = _play(hot, is_named=is_named)
            ratios = kept(served, usual, hot)
            others = [name for name in names() if name != hot]
            in_time = sum(served[name].in_time for name in others)
            before = sum(usual[name].in_time for name in others)
            output.add_row(
                hot or "none",
                "shares" if is_named else "first attempt",
                str(sum(s.in_time for s in served.values())),
                str(sum(s.all for s in served.values())),
                f"{in_time / before:.3f}",
                f"{min(ratios.values()):.2f}",
                f"{min(relative_rates(served).values()):.2f}",
            )
    console.Console(width=90).print(output)


if __name__ == "__main__":
    main()
