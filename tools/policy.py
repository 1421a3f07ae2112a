"""Compares goodput and wasted prefill of the placement policies."""

import argparse
import itertools
import json
import multiprocessing
import os
import statistics
import sys
from typing import NamedTuple

from rich import console
from rich import table

from nutmegscale import config
from nutmegscale import folder
from tools import policy_bound
from tools import policy_simulation

POLICIES = ("joint", "round_robin", "least_loaded", "prefix_affinity")
LOADS = (0.5, 0.75, 1.0, 1.25, 1.5, 2.0)
DEPLOYMENTS = {
    "federation": policy_simulation.FEDERATION,
    "consortium": policy_simulation.CONSORTIUM,
}
RUN_DURATION_S = 40.0
# None stands for the objective of the deployment's own configuration.
OBJECTIVES: dict[str, config.Objective | None] = {
    "own": None,
    "goodput": {"goodput_weight": 1.0, "waste_weight": 0.0},
    "waste": {"goodput_weight": 0.0, "waste_weight": 1.0},
}


class Case(NamedTuple):
    """Parameters of one simulation run.

    Attributes:
      deployment: Name of the deployment, a key of `DEPLOYMENTS`.
      policy: Name of the placement policy.
      fault: Fault to inject, one of `policy_simulation.FAULTS`.
      load: Request rate relative to the rate that saturates the deployment.
      seed: Seed of the arrivals and the simulation.
      seconds: Duration of the arrivals, seconds.
      objective: Planner objective, a key of `OBJECTIVES`.
    """

    deployment: str
    policy: str
    fault: str
    load: float
    seed: int
    seconds: float
    objective: str


class Row(NamedTuple):
    """Results of a case over its seeds, as written to rows.json.

    All figures are means over the seeds unless stated otherwise.

    Attributes:
      deployment: Name of the deployment.
      fault: Injected fault.
      load: Request rate relative to the saturation rate.
      policy: Name of the placement policy.
      offered: Requests that arrived.
      bound: Upper bound on the requests answered within both targets.
      good: Requests answered within both targets.
      good_of_bound: `good` as a fraction of `bound`.
      least_of_bound: Smallest such fraction of any seed.
      refused: Requests that the planner refused.
      wasted_fraction: Wasted fraction of all prefilled tokens.
    """

    deployment: str
    fault: str
    load: float
    policy: str
    offered: float
    bound: float
    good: float
    good_of_bound: float
    least_of_bound: float
    refused: float
    wasted_fraction: float


def run_case(case: Case) -> policy_simulation.Result:
    """Run one case and compute its goodput bound."""
    deployment = DEPLOYMENTS[case.deployment]
    simulation = policy_simulation.Simulation(
        deployment,
        case.policy,
        case.fault,
        case.seed,
        OBJECTIVES[case.objective],
    )
    service = folder.load(f"examples/{deployment.name}")["services"][
        deployment.service
    ]
    gap_s = service.get("token_gap_s", 0.031)
    first_s = service.get("first_token_s", 0.54)
    rate = case.load * policy_bound.saturation_rate(
        deployment, simulation.profile, gap_s
    )
    requests = policy_bound.make_requests(
        deployment, rate, case.seconds, case.seed
    )
    bound = policy_bound.goodput_bound(
        deployment,
        simulation.profile,
        requests,
        case.fault,
        case.seconds,
        first_s,
        gap_s,
    )
    simulation.run(requests, case.seconds)
    return simulation.result(requests, bound)


def average_seeds(
    key: tuple[str, str, float, str], results: list[policy_simulation.Result]
) -> Row:
    """Average the results of a case over its seeds."""
    mean = statistics.fmean
    ratios = [r.good / r.bound for r in results]
    return Row(
        *key,
        mean(r.offered for r in results),
        mean(r.bound for r in results),
        mean(r.good for r in results),
        mean(ratios),
        min(ratios),
        mean(r.refused for r in results),
        sum(r.wasted_tokens for r in results)
        / max(1, sum(r.prefill_tokens for r in results)),
    )


def run_all(cases: list[Case], processes: int) -> list[Row]:
    """Run all cases in parallel and average each over its seeds."""
    with multiprocessing.Pool(processes) as pool:
        results = pool.map(run_case, cases, chunksize=1)
    grouped: dict[
        tuple[str, str, float, str], list[policy_simulation.Result]
    ] = {}
    for case, result in zip(cases, results, strict=True):
        key = (case.deployment, case.fault, case.load, case.policy)
        grouped.setdefault(key, []).append(result)
    return [
        average_seeds(key, seed_results)
        for key, seed_results in grouped.items()
    ]


def print_rows(rows: list[Row]) -> None:
    """Print the rows as a table."""
    output = table.Table(
        "deployment",
        "fault",
        "load",
        "policy",
        "offered",
        "bound",
        "good",
        "good/bound",
        "least",
        "refused",
        "wasted",
    )
    for row in rows:
        output.add_row(
            row.deployment,
            row.fault,
            f"{row.load:g}",
            row.policy,
            f"{row.offered:.0f}",
            f"{row.bound:.0f}",
            f"{row.good:.0f}",
            f"{row.good_of_bound:.1%}",
            f"{row.least_of_bound:.1%}",
            f"{row.refused:.0f}",
            f"{row.wasted_fraction:.2%}",
        )
    console.Console(width=130).print(output)


def plot(rows: list[Row], path: str) -> None:
    """Plot goodput and wasted prefill over load for the fault-free cases."""
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    figure, axes = pyplot.subplots(2, 2, figsize=(10, 7), sharex=True)
    for column, deployment in enumerate(DEPLOYMENTS):
        for policy in POLICIES:
            selected = [
                r
                for r in rows
                if (r.deployment, r.policy, r.fault)
                == (deployment, policy, "none")
            ]
            loads = [r.load for r in selected]
            axes[0][column].plot(
                loads,
                [r.good_of_bound for r in selected],
                marker="o",
                label=policy,
            )
            axes[1][column].plot(
                loads,
                [r.wasted_fraction for r in selected],
                marker="o",
                label=policy,
            )
        axes[0][column].set_title(deployment)
        axes[1][column].set_xlabel("load")
    axes[0][0].set_ylabel("goodput / bound")
    axes[1][0].set_ylabel("wasted prefill")
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Run the experiment, print its results and write them to out/policy."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=RUN_DURATION_S)
    parser.add_argument("--loads", type=float, nargs="*", default=LOADS)
    parser.add_argument("--faults", nargs="*", default=policy_simulation.FAULTS)
    parser.add_argument("--policies", nargs="*", default=POLICIES)
    parser.add_argument("--deployments", nargs="*", default=list(DEPLOYMENTS))
    parser.add_argument("--objective", choices=list(OBJECTIVES), default="own")
    parser.add_argument("--processes", type=int, default=os.cpu_count())
    args = parser.parse_args()
    cases = [
        Case(
            deployment,
            policy,
            fault,
            load,
            seed,
            args.seconds,
            args.objective,
        )
        for deployment, fault, load, policy, seed in itertools.product(
            args.deployments,
            args.faults,
            args.loads,
            args.policies,
            range(1, args.seeds + 1),
        )
    ]
    rows = run_all(cases, args.processes)
    print_rows(rows)
    os.makedirs("out/policy", exist_ok=True)
    with open("out/policy/rows.json", "w", encoding="utf-8") as file:
        json.dump([row._asdict() for row in rows], file, indent=1)
    plot(rows, "out/policy/policy.png")
    sys.stdout.write(f"{len(cases)} runs; results written to out/policy\n")


if __name__ == "__main__":
    main()
