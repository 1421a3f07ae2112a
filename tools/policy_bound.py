"""Generates requests at a given load and bounds the achievable goodput."""

import random
from typing import NamedTuple

from nutmegscale import config
from nutmegscale import joint_planner
from nutmegscale import prompts
from tools import policy_simulation

CALLERS = ("one", "two", "three")
SAMPLE_REQUESTS = 400
# Additional time in which the last runs are decoded.
DECODE_SLACK_S = 3.0


class Demand(NamedTuple):
    """Time that one request occupies each resource, seconds.

    Attributes:
      prefill_s: Time on a prefill worker.
      link_s: Time on the link of a prefill worker.
      decode_s: Share of a decode worker's time at the largest batch that
        meets the token gap target.
      unloaded_s: Time to the first token when all workers are idle.
    """

    prefill_s: float
    link_s: float
    decode_s: float
    unloaded_s: float


def compute_demand(
    deployment: policy_simulation.Deployment,
    engine: config.Engine,
    request: policy_simulation.Request,
    gap_s: float,
) -> Demand:
    """Return a request's demand, assuming that the prefix is cached."""
    total = prompts.count_tokens(request.prompt)
    block = prompts.BLOCK_TOKENS
    cached = deployment.prefix_tokens // block * block
    prefill_s = engine["prefill_base_s"] + engine["prefill_token_s"] * (
        total - cached
    )
    link_s = total * engine["kv_token_bytes"] / engine["link_bytes_s"]
    batch = joint_planner.batch_limit(engine, gap_s)
    step_s = engine["step_base_s"] + engine["step_run_s"] * batch
    tokens = policy_simulation.answer_length(request)
    decode_s = tokens * step_s / batch
    first_step_s = engine["step_base_s"] + engine["step_run_s"]
    return Demand(
        prefill_s, link_s, decode_s, prefill_s + link_s + first_step_s
    )


def _make_text(rng: random.Random, tokens: int) -> str:
    unique = f"{rng.getrandbits(64):x} "
    size = tokens * prompts.BYTES_PER_TOKEN
    return (unique + "brick map é " * (size // 12 + 1))[: max(4, size - 8)]


def make_request(
    deployment: policy_simulation.Deployment,
    rng: random.Random,
    number: int,
    arrival_s: float,
) -> policy_simulation.Request:
    """Make a random request as the deployment's callers send it."""
    prefix = "catalogue " * (
        deployment.prefix_tokens * prompts.BYTES_PER_TOKEN // 10 + 1
    )
    size = deployment.prefix_tokens * prompts.BYTES_PER_TOKEN
    length = min(
        6_000,
        int(
            deployment.prompt_tokens * rng.lognormvariate(0, deployment.spread)
        ),
    )
    prompt = prefix[:size] + _make_text(rng, max(16, length))
    return policy_simulation.Request(
        number,
        arrival_s,
        rng.choice(CALLERS),
        prompt,
        rng.randint(*deployment.output_tokens),
    )


def saturation_rate(
    deployment: policy_simulation.Deployment,
    engine: config.Engine,
    gap_s: float,
) -> float:
    """Return the request rate that saturates the scarcest resource, 1/s."""
    rng = random.Random(0)
    demands = [
        compute_demand(
            deployment, engine, make_request(deployment, rng, n, 0.0), gap_s
        )
        for n in range(SAMPLE_REQUESTS)
    ]
    loads = (
        sum(d.prefill_s for d in demands) / deployment.prefills,
        sum(d.link_s for d in demands) / deployment.prefills,
        sum(d.decode_s for d in demands) / deployment.decodes,
    )
    return SAMPLE_REQUESTS / max(loads)


def make_requests(
    deployment: policy_simulation.Deployment,
    rate: float,
    seconds: float,
    seed: int,
) -> list[policy_simulation.Request]:
    """Make requests with Poisson arrivals at a rate, for `seconds` seconds."""
    rng = random.Random(seed * 7_919 + 1)
    requests: list[policy_simulation.Request] = []
    arrival_s = rng.expovariate(rate)
    while arrival_s < seconds:
        requests.append(make_request(deployment, rng, len(requests), arrival_s))
        arrival_s += rng.expovariate(rate)
    return requests


class AvailableTime(NamedTuple):
    """Time that each kind of resource is available during a run.

    Attributes:
      prefill_s: Total time of all prefill workers, seconds.
      link_s: Total time of all links, in seconds at their full rate.
      decode_s: Total time of all decode workers, seconds.
    """

    prefill_s: float
    link_s: float
    decode_s: float


def compute_available_time(
    deployment: policy_simulation.Deployment,
    fault: str,
    seconds: float,
    first_token_s: float,
) -> AvailableTime:
    """Return the time left by a fault.

    `policy_simulation.Simulation` injects the faults.
    """
    third_s = seconds / 3
    slack_s = seconds + first_token_s
    prefill_s = link_s = deployment.prefills * slack_s
    decode_s = deployment.decodes * (slack_s + DECODE_SLACK_S)
    if fault == "worker_dies":
        decode_s -= third_s
    elif fault == "link_slow":
        link_s -= (
            deployment.prefills
            * third_s
            * (1 - 1 / policy_simulation.SLOW_LINK_FACTOR)
        )
    elif fault == "domain_cut":
        prefill_s -= third_s
        link_s -= third_s
        decode_s -= third_s
    return AvailableTime(prefill_s, link_s, decode_s)


def goodput_bound(
    deployment: policy_simulation.Deployment,
    engine: config.Engine,
    requests: list[policy_simulation.Request],
    fault: str,
    seconds: float,
    first_token_s: float,
    gap_s: float,
) -> float:
    """Return an upper bound on the requests answered within both targets.

    The bound holds for a planner that knows every length and the current state
    of every resource without lag, and may refuse any request. For each
    resource separately, the cheapest requests are taken until its time is used
    up. The smallest of these counts bounds every policy.
    """
    feasible = []
    for request in requests:
        demand = compute_demand(deployment, engine, request, gap_s)
        unloaded_s = demand.unloaded_s
        is_middle_third = seconds / 3 <= request.arrival_s < seconds * 2 / 3
        if fault == "link_slow" and is_middle_third:
            unloaded_s += demand.link_s * (
                policy_simulation.SLOW_LINK_FACTOR - 1
            )
        if unloaded_s <= first_token_s:
            feasible.append(demand)
    available = compute_available_time(
        deployment, fault, seconds, first_token_s
    )
    return min(
        _max_count([d.prefill_s for d in feasible], available.prefill_s),
        _max_count([d.link_s for d in feasible], available.link_s),
        _max_count([d.decode_s for d in feasible], available.decode_s),
    )


def _max_count(costs_s: list[float], available_s: float) -> float:
    count = 0
    for cost_s in sorted(costs_s):
        if cost_s > available_s:
            break
        available_s -= cost_s
        count += 1
    return float(count)
