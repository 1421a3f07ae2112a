"""Work of a run, scaled to what the pools carry, and the best possible."""

import random
from typing import NamedTuple

from nutmegscale import config
from nutmegscale import joint_planner
from nutmegscale import prompts
from tools import policy_world

CALLERS = ("one", "two", "three")
SAMPLE = 400
DECODE_SLACK_S = 3.0


class Demand(NamedTuple):
    """What one request needs of each resource, in seconds of it.

    Attributes:
      prefill_s: Time of a prefill worker.
      link_s: Time of a link.
      decode_s: Time of a decode worker at its best batch.
      alone_s: Time to the first token on idle pools.
    """

    prefill_s: float
    link_s: float
    decode_s: float
    alone_s: float


def demand_of(
    deployment: policy_world.Deployment,
    engine: config.Engine,
    request: policy_world.Request,
    gap_s: float,
) -> Demand:
    """Return a request's demand, its preamble taken as cached."""
    total = prompts.count_tokens(request.prompt)
    block = prompts.BLOCK_TOKENS
    cached = deployment.preamble_tokens // block * block
    prefill_s = engine["prefill_base_s"] + engine["prefill_token_s"] * (
        total - cached
    )
    link_s = total * engine["kv_token_bytes"] / engine["link_bytes_s"]
    batch = joint_planner.batch_limit(engine, gap_s)
    step_s = engine["step_base_s"] + engine["step_run_s"] * batch
    tokens = policy_world.answer_length(request)
    decode_s = tokens * step_s / batch
    first_step_s = engine["step_base_s"] + engine["step_run_s"]
    return Demand(
        prefill_s, link_s, decode_s, prefill_s + link_s + first_step_s
    )


def _text(rng: random.Random, tokens: int) -> str:
    words = f"{rng.getrandbits(64):x} "
    size = tokens * prompts.BYTES_PER_TOKEN
    return (words + "brick map é " * (size // 12 + 1))[: max(4, size - 8)]


def make_request(
    deployment: policy_world.Deployment,
    rng: random.Random,
    number: int,
    arrives: float,
) -> policy_world.Request:
    """Make a request of the deployment's work."""
    preamble = "catalogue " * (
        deployment.preamble_tokens * prompts.BYTES_PER_TOKEN // 10 + 1
    )
    size = deployment.preamble_tokens * prompts.BYTES_PER_TOKEN
    length = min(
        6_000,
        int(
            deployment.prompt_tokens * rng.lognormvariate(0, deployment.spread)
        ),
    )
    prompt = preamble[:size] + _text(rng, max(16, length))
    return policy_world.Request(
        number,
        arrives,
        rng.choice(CALLERS),
        prompt,
        rng.randint(*deployment.output_tokens),
    )


def full_rate(
    deployment: policy_world.Deployment, engine: config.Engine, gap_s: float
) -> float:
    """Return the requests a second that fill the scarcest resource."""
    rng = random.Random(0)
    demands = [
        demand_of(
            deployment, engine, make_request(deployment, rng, n, 0.0), gap_s
        )
        for n in range(SAMPLE)
    ]
    loads = (
        sum(d.prefill_s for d in demands) / deployment.prefills,
        sum(d.link_s for d in demands) / deployment.prefills,
        sum(d.decode_s for d in demands) / deployment.decodes,
    )
    return SAMPLE / max(loads)


def make_requests(
    deployment: policy_world.Deployment, rate: float, seconds: float, seed: int
) -> list[policy_world.Request]:
    """Make Poisson arrivals at a rate."""
    rng = random.Random(seed * 7_919 + 1)
    requests: list[policy_world.Request] = []
    at_s = rng.expovariate(rate)
    while at_s < seconds:
        requests.append(make_request(deployment, rng, len(requests), at_s))
        at_s += rng.expovariate(rate)
    return requests


class Room(NamedTuple):
    """Time that each kind of resource has in a run with a fault.

    Attributes:
      prefill_s: Seconds of all prefill workers together.
      link_s: Seconds of all links together, at their full rate.
      decode_s: Seconds of all decode workers together.
    """

    prefill_s: float
    link_s: float
    decode_s: float


def room_of(
    deployment: policy_world.Deployment,
    fault: str,
    seconds: float,
    first_token_s: float,
) -> Room:
    """Return the room that a fault leaves; see `policy_world.World`."""
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
            * (1 - 1 / policy_world.SLOW_LINK_FACTOR)
        )
    elif fault == "domain_cut":
        prefill_s -= third_s
        link_s -= third_s
        decode_s -= third_s
    return Room(prefill_s, link_s, decode_s)


def best_possible(
    deployment: policy_world.Deployment,
    engine: config.Engine,
    requests: list[policy_world.Request],
    fault: str,
    seconds: float,
    first_token_s: float,
    gap_s: float,
) -> float:
    """Bound the answers within both targets, for an oracle without lag.

    The oracle knows every length and the true state of every resource, and
    may leave out what it likes. For each resource alone it takes the
    cheapest requests until the time is used; the least of these counts
    bounds every policy.
    """
    feasible = []
    for request in requests:
        demand = demand_of(deployment, engine, request, gap_s)
        alone_s = demand.alone_s
        is_third = seconds / 3 <= request.arrives < seconds * 2 / 3
        if fault == "link_slow" and is_third:
            alone_s += demand.link_s * (policy_world.SLOW_LINK_FACTOR - 1)
        if alone_s <= first_token_s:
            feasible.append(demand)
    room = room_of(deployment, fault, seconds, first_token_s)
    return min(
        _most([d.prefill_s for d in feasible], room.prefill_s),
        _most([d.link_s for d in feasible], room.link_s),
        _most([d.decode_s for d in feasible], room.decode_s),
    )


def _most(costs: list[float], room: float) -> float:
    count = 0
    for cost in sorted(costs):
        if cost > room:
            break
        room -= cost
        count += 1
    return float(count)
