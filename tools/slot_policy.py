"""Compares slot policies: an oracle, the slot queue and independent hosts."""

import argparse
import itertools
import json
import multiprocessing
import os
import statistics
from typing import NamedTuple

from rich import console
from rich import table

from nutmegscale import slot_queue
from tools import slot_days
from tools import slot_oracle
from tools import slot_simulation
from tools import slot_worth

SEEDS = 3
POLICIES = ("oracle", "queue", "naive")


class Case(NamedTuple):
    """Parameters of one run.

    Attributes:
      site: Path of the site file; None for the built-in site.
      day: Name of the day.
      seed: Seed of the day and the policy.
      policy: Name of the policy, one of `POLICIES`.
      losses: Worker losses instead of the drawn ones, or None.
    """

    site: str | None
    day: str
    seed: int
    policy: str
    losses: tuple[slot_days.WorkerLoss, ...] | None


class Row(NamedTuple):
    """Results of a day under a policy, as written to slots.json.

    All figures are means over the seeds.

    Attributes:
      day: Name of the day.
      policy: Name of the policy.
      streams: Number of streams.
      in_time: Streams answered in time.
      late: Streams answered late.
      earned: Fraction earned of the worth of all streams.
      wasted_tokens: Prompt tokens whose prefill was wasted.
      worth: Score of the day, less costs.
    """

    day: str
    policy: str
    streams: float
    in_time: float
    late: float
    earned: float
    wasted_tokens: float
    worth: float


def run_case(case: Case) -> Row:
    """Run one case."""
    day = slot_days.draw_day(
        slot_days.load_site(case.site), case.day, case.seed
    )
    if case.losses is not None:
        day = day._replace(losses=case.losses)
    if case.policy == "oracle":
        result = slot_oracle.best_result(day)
    else:
        policy: slot_simulation.Policy = (
            slot_simulation.QueuePolicy(slot_queue.SlotQueue)
            if case.policy == "queue"
            else slot_simulation.NaivePolicy(case.seed)
        )
        result = slot_simulation.Simulation(day, policy).run()
    states = [outcome.state for outcome in result.outcomes]
    return Row(
        case.day,
        case.policy,
        len(states),
        states.count("in_time"),
        states.count("late"),
        slot_worth.earned_fraction(day, result.outcomes),
        result.wasted_tokens,
        slot_worth.net_worth(day, result),
    )


def average_seeds(rows: list[Row]) -> Row:
    """Average the rows of a day and policy over the seeds."""
    numbers = zip(*(row[2:] for row in rows), strict=True)
    means = [statistics.fmean(column) for column in numbers]
    return Row(rows[0].day, rows[0].policy, *means)


def print_rows(rows: list[Row]) -> None:
    """Print the rows as a table."""
    names = ("streams", "in time", "late", "earned", "read in vain", "worth")
    output = table.Table("day", "policy", *names)
    for row in rows:
        output.add_row(
            row.day,
            row.policy,
            f"{row.streams:.0f}",
            f"{row.in_time:.0f}",
            f"{row.late:.0f}",
            f"{row.earned:.3f}",
            f"{row.wasted_tokens / 1000:.0f}k",
            f"{row.worth:.3f}",
        )
    console.Console(width=100).print(output)


def plot(rows: list[Row], path: str) -> None:
    """Plot the worth of each day by policy."""
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(figsize=(9, 4))
    for policy in POLICIES:
        selected = [row for row in rows if row.policy == policy]
        days = [row.day for row in selected]
        axes.plot(days, [row.worth for row in selected], "o", label=policy)
    axes.set_ylabel("worth")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)


def parse_loss(text: str) -> slot_days.WorkerLoss:
    """Parse a worker loss.

    Args:
      text: "WORKER@START" for a worker that leaves, "WORKER@START-END" for a
        crash; times in seconds.

    Raises:
      ValueError: A number can't be parsed.
    """
    worker, _, span = text.partition("@")
    at, _, until = span.partition("-")
    is_crash = bool(until)
    end = float(until) if is_crash else float("inf")
    return slot_days.WorkerLoss(int(worker), float(at), end, is_crash)


def main() -> None:
    """Run the experiment, print its results and write them to out/policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "site", nargs="?", help="site file (default: the built-in site)"
    )
    parser.add_argument("--days", nargs="*")
    parser.add_argument("--seeds", type=int, default=SEEDS)
    parser.add_argument("--processes", type=int, default=os.cpu_count())
    parser.add_argument(
        "--losses",
        nargs="*",
        type=parse_loss,
        help="worker losses instead of drawn ones, as 3@15.0 or 4@6.0-9.2",
    )
    args = parser.parse_args()
    losses = None if args.losses is None else tuple(args.losses)
    days = args.days or slot_days.day_names(slot_days.load_site(args.site))
    cases = [
        Case(args.site, day, seed, policy, losses)
        for day, policy, seed in itertools.product(
            days, POLICIES, range(1, args.seeds + 1)
        )
    ]
    with multiprocessing.Pool(args.processes) as pool:
        results = pool.map(run_case, cases, chunksize=1)
    rows = [
        average_seeds(results[start : start + args.seeds])
        for start in range(0, len(results), args.seeds)
    ]
    print_rows(rows)
    os.makedirs("out/policy", exist_ok=True)
    with open("out/policy/slots.json", "w", encoding="utf-8") as file:
        json.dump([row._asdict() for row in rows], file, indent=1)
    plot(rows, "out/policy/slots.png")


if __name__ == "__main__":
    main()
