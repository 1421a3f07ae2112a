"""Generates days of streams for slot experiments: calls and worker losses.

A day is one scenario of traffic and faults, some tens of seconds long. It is
drawn from a site file (TOML) of the deployment's benchmark.
"""

import math
import random
import tomllib
from typing import Any
from typing import NamedTuple

from tools import slot_site

# Sigma of the log-normal lengths. The prompts and answers served on five
# standard days have a sigma of 0.43 and 0.45 after clipping.
SIZE_SIGMA = 0.5
# Only services that run a language model have this key.
LLM_KEY = "llm"
# Delay from the start of a store outage until the workers that it hides leave,
# seconds, by kind of outage. The values follow the standard days.
DRAIN_DELAY_S = {"platform_compact": 0.2, "platform_down": 12.5}
DAY_LENGTH_S = 41.0
# Time that a day is simulated beyond its last call: the longest deadline.
OVERRUN_S = 15.0
# Price of a KV cache moved between failure domains relative to one moved within
# a domain. The first site reports 42.8 GB against 24.4 GB for its quiet day.
MOVED_PRICE_FACTOR = 1.75


class Engine(NamedTuple):
    """Capacity and speed of the workers of a model service.

    Attributes:
      slots: Largest number of concurrent runs of a worker.
      queue: Largest number of requests that wait at a worker.
      step_s: Duration of a step with an empty batch, seconds.
      step_slot_s: Time that each run adds to a step, seconds.
      step_token_s: Time that each token in memory adds to a step, seconds.
      prefill_token_s: Time per prompt token on a prefill worker, seconds.
      memory_tokens: KV cache capacity of a worker, tokens.
      event_tokens: Tokens per event of a stream.
      prefills: Number of prefill workers.
      decodes: Number of decode workers.
      slowness: Factors by which workers are slower than the times above; they
        are assigned to the workers in turn.
    """

    slots: int
    queue: int
    step_s: float
    step_slot_s: float
    step_token_s: float
    prefill_token_s: float
    memory_tokens: int
    event_tokens: int
    prefills: int
    decodes: int
    slowness: tuple[float, ...]


class Call(NamedTuple):
    """A stream that a caller requests.

    Attributes:
      name: Unique name.
      kind: Kind of request.
      arrival_s: Time of the first attempt, seconds.
      domain: Failure domain of the caller.
      prompt_tokens: Length of the prompt, tokens.
      output_tokens: Length of the answer, tokens.
      hinted_tokens: Length of the answer that the caller expects, tokens.
      worth: Value of the answer if it is in time.
      customer: Name of the caller's customer; "" if it has none.
    """

    name: str
    kind: str
    arrival_s: float
    domain: str
    prompt_tokens: int
    output_tokens: int
    hinted_tokens: int
    worth: float
    customer: str = ""


class WorkerLoss(NamedTuple):
    """A period in which a worker is unavailable.

    Attributes:
      worker: Number of the worker, prefill workers first.
      start_s: Start of the period, seconds.
      end_s: End, seconds; infinite if the worker doesn't return.
      is_crash: Whether the worker crashes and its runs are lost.
    """

    worker: int
    start_s: float
    end_s: float
    is_crash: bool


class PlainCall(NamedTuple):
    """A call of another service than the model service.

    Attributes:
      arrival_s: Time of the call, seconds.
      domain: Failure domain of the caller.
      kind: Kind of request.
      worth: Value of the answer if it is in time.
    """

    arrival_s: float
    domain: str
    kind: str
    worth: float


class ScoreWeights(NamedTuple):
    """Weights and prices by which a site scores a day.

    Attributes:
      overall: Weight of the fraction earned over the whole day.
      worst_windows: Weight of the mean of the two worst windows of two seconds.
      worst_kind: Weight of the worst kind of request.
      worst_domain: Weight of the worst failure domain.
      machines_cost: Cost of all hosts for the day.
      moved_token_price: Price of moving the KV cache of one prompt token.
      wasted_token_price: Price of a prompt token whose prefill is wasted.
    """

    overall: float
    worst_windows: float
    worst_kind: float
    worst_domain: float
    machines_cost: float
    moved_token_price: float
    wasted_token_price: float


class Day(NamedTuple):
    """A day of one model service.

    Attributes:
      name: Name of the day.
      engine: Capacity and speed of the workers.
      calls: Streams, ordered by arrival.
      losses: Periods in which workers are unavailable.
      cuts: Failure domains that are cut off: name, start and end, seconds.
      length_s: Time at which arrivals end, seconds.
      abort_at_s: Time at which all remaining runs are aborted, seconds.
      in_time_s: Target for the time to the first event, seconds.
      deadline_s: Time after which no caller takes an answer, seconds.
      late_fraction: Fraction of its worth that a late answer earns.
      plain_calls: Calls of the other services.
      weights: Weights and prices by which the day is scored.
    """

    name: str
    engine: Engine
    calls: tuple[Call, ...]
    losses: tuple[WorkerLoss, ...]
    cuts: tuple[tuple[str, float, float], ...]
    length_s: float
    abort_at_s: float
    in_time_s: float
    deadline_s: float
    late_fraction: float
    plain_calls: tuple[PlainCall, ...]
    weights: ScoreWeights


def load_site(path: str | None) -> dict[str, Any]:
    """Load a site file, or return the built-in site if the path is None."""
    if path is None:
        return slot_site.OWN_SITE
    with open(path, "rb") as file:
        return tomllib.load(file)


def day_names(site: dict[str, Any]) -> list[str]:
    """Return the names of a site's standard days."""
    return [day["name"] for day in site["day"]]


def draw_day(site: dict[str, Any], name: str, seed: int) -> Day:
    """Draw a random day of a site.

    Args:
      site: Contents of the site file.
      name: Name of the day.
      seed: Seed of all random choices.

    Raises:
      KeyError: The site has no day of this name.
      StopIteration: The site has no model service.
    """
    specs = {spec["name"]: spec for spec in site["day"]}
    spec = specs[name]
    service = next(s for s in site["services"] if LLM_KEY in s)
    kinds = [k for k in site["classes"] if k["service"] == service["name"]]
    rng = random.Random(f"{name}/{seed}")
    scale_factor = site.get("thin", 1.0)
    length_s = spec.get("length_s", DAY_LENGTH_S)
    engine = _make_engine(service, scale_factor)
    plain_kinds = [
        k for k in site["classes"] if k["service"] != service["name"]
    ]
    calls = _draw_calls(
        spec, kinds, rng, length_s, scale_factor, engine.event_tokens
    )
    return Day(
        name,
        engine,
        tuple(calls),
        tuple(_draw_losses(spec, site, engine, rng)),
        tuple(
            (f["zone"], f["at"], f["at"] + f["for_s"])
            for f in spec["faults"]
            if f["kind"] == "zone_cut"
        ),
        length_s,
        length_s if "closing" in spec else math.inf,
        kinds[0]["aim_ms"] / 1000,
        kinds[0]["deadline_ms"] / 1000,
        kinds[0]["late_worth"] / kinds[0]["worth"],
        tuple(
            _draw_plain_calls(spec, plain_kinds, rng, length_s, scale_factor)
        ),
        _make_weights(site, length_s),
    )


def _make_engine(service: dict[str, Any], scale_factor: float) -> Engine:
    llm = service["llm"]
    server_count = sum(group["count"] for group in service["servers"])
    workers = int(scale_factor * server_count + 0.5)
    prefills = math.ceil(workers * llm["prefill"])
    return Engine(
        service["slots"],
        service["queue"],
        llm["step_ms"] / 1000,
        llm["step_ms_per_slot"] / 1000,
        llm["context_ms_per_k"] / 1e6,
        1 / (llm["prefill_tokens_per_ms"] * 1000),
        llm["kv_tokens"],
        llm["stride"],
        prefills,
        workers - prefills,
        tuple(service["speeds"]) or (1.0,),
    )


def _draw_calls(
    spec: dict[str, Any],
    kinds: list[dict[str, Any]],
    rng: random.Random,
    length_s: float,
    scale_factor: float,
    event_tokens: int,
) -> list[Call]:
    calls: list[Call] = []
    for group in spec["traffic"]:
        for kind in kinds:
            for arrival_s in _draw_arrivals(
                spec, group, kind, rng, length_s, scale_factor
            ):
                name = f"{kind['name']}-{len(calls)}"
                call = _draw_call(
                    name, group, kind, rng, arrival_s, event_tokens
                )
                calls.append(call)
    return sorted(calls, key=lambda c: c.arrival_s)


def _draw_plain_calls(
    spec: dict[str, Any],
    kinds: list[dict[str, Any]],
    rng: random.Random,
    length_s: float,
    scale_factor: float,
) -> list[PlainCall]:
    return [
        PlainCall(arrival_s, group["zone"], kind["name"], kind["worth"])
        for group in spec["traffic"]
        for kind in kinds
        for arrival_s in _draw_arrivals(
            spec, group, kind, rng, length_s, scale_factor
        )
    ]


def _draw_arrivals(
    spec: dict[str, Any],
    group: dict[str, Any],
    kind: dict[str, Any],
    rng: random.Random,
    length_s: float,
    scale_factor: float,
) -> list[float]:
    """Draw the arrivals of a kind of request from a domain, seconds."""
    share = group["mix"][kind["name"]] / sum(group["mix"].values())
    rate = group["per_s"] * share * scale_factor
    peak_rate = (
        rate
        * _peak_burst_factor(spec, kind["name"])
        * (1 + group["shape"]["swing"])
    )
    arrivals: list[float] = []
    now = rng.expovariate(peak_rate)
    while now < length_s:
        current_rate = (
            rate * _periodic_factor(group, now) * _burst_factor(spec, kind, now)
        )
        if rng.random() < current_rate / peak_rate:
            arrivals.append(now)
        now += rng.expovariate(peak_rate)
    return arrivals


def _make_weights(site: dict[str, Any], length_s: float) -> ScoreWeights:
    goal, prices = site["goal"], site["prices"]
    machines = sum(group["count"] for group in site["machines"])
    service = next(s for s in site["services"] if LLM_KEY in s)
    moved_gb = service["llm"]["kv_bytes"] / 1e9
    return ScoreWeights(
        goal["mean"],
        goal["window"],
        goal["class"],
        goal["zone"],
        prices["machine_s"] * machines * (length_s + OVERRUN_S),
        prices["kv_gb"] * moved_gb * MOVED_PRICE_FACTOR,
        prices["read_waste"] / 1000,
    )


def _peak_burst_factor(spec: dict[str, Any], kind: str) -> float:
    bursts = [f for f in spec["faults"] if f["kind"] == "burst"]
    common = max([f["x"] for f in bursts if "class" not in f], default=1.0)
    own = max([f["x"] for f in bursts if f.get("class") == kind], default=1.0)
    return float(common * own)


def _periodic_factor(group: dict[str, Any], now: float) -> float:
    shape = group["shape"]
    angle = 2 * math.pi * (now / shape["period_s"] + shape["phase"])
    return float(1 + shape["swing"] * math.sin(angle))


def _burst_factor(
    spec: dict[str, Any], kind: dict[str, Any], now: float
) -> float:
    factor = 1.0
    for fault in spec["faults"]:
        is_burst = fault["kind"] == "burst"
        if not is_burst or fault.get("class", kind["name"]) != kind["name"]:
            continue
        if fault["at"] <= now < fault["at"] + fault["for_s"]:
            factor *= fault["x"]
    return factor


def _draw_call(
    name: str,
    group: dict[str, Any],
    kind: dict[str, Any],
    rng: random.Random,
    arrival_s: float,
    event_tokens: int,
) -> Call:
    stream = kind["stream"]
    prompt_spec = stream["prompt_tokens"]
    shared_tokens = sum(part["tokens"]["mean"] for part in stream["chain"])
    prompt = shared_tokens + _draw_size(
        rng, prompt_spec["mean"], prompt_spec["max"]
    )
    pieces = _draw_size(rng, stream["pieces"]["mean"], stream["pieces"]["max"])
    output = pieces * event_tokens
    # The worth grows with the size, in which a token of the answer counts as
    # ten tokens of the prompt.
    typical = (
        shared_tokens
        + prompt_spec["mean"]
        + 10 * stream["pieces"]["mean"] * event_tokens
    )
    relative_size = (prompt + 10 * output) / typical
    hinted = output * math.exp(rng.gauss(0.0, stream["hint"]))
    return Call(
        name,
        kind["name"],
        arrival_s,
        group["zone"],
        int(prompt),
        int(output),
        max(1, int(hinted)),
        kind["worth"] * min(4.0, 0.3 + 0.7 * relative_size),
    )


def _draw_size(rng: random.Random, mean: float, maximum: float) -> float:
    mu = math.log(mean) - SIZE_SIGMA**2 / 2
    return min(maximum, rng.lognormvariate(mu, SIZE_SIGMA))


def _draw_losses(
    spec: dict[str, Any],
    site: dict[str, Any],
    engine: Engine,
    rng: random.Random,
) -> list[WorkerLoss]:
    """Choose the workers that faults and plans of the day make unavailable."""
    workers = engine.prefills + engine.decodes
    scale_factor = site.get("thin", 1.0)
    other_workers = sum(
        scale_factor * sum(group["count"] for group in s["servers"])
        for s in site["services"]
        if LLM_KEY not in s
    )
    losses: list[WorkerLoss] = []
    for fault in [*spec["faults"], *spec.get("plan", [])]:
        kind, at = fault["kind"], fault["at"]
        is_drained = "drain" in fault.get("how", "") and kind in DRAIN_DELAY_S
        if kind == "srv_crash":
            for worker in _pick_workers(rng, workers, fault["share"]):
                end_s = at + fault["for_s"]
                losses.append(WorkerLoss(worker, at, end_s, is_crash=True))
        elif kind == "scale_in" or is_drained:
            # The loss may hit a worker of another service instead.
            if rng.random() > workers / (workers + other_workers):
                continue
            start_s = at + DRAIN_DELAY_S.get(kind, 0.0)
            share = fault["share"] if kind == "scale_in" else 0.0
            losses += [
                WorkerLoss(worker, start_s, math.inf, is_crash=False)
                for worker in _pick_workers(rng, workers, share)
            ]
    return losses


def _pick_workers(rng: random.Random, workers: int, share: float) -> list[int]:
    return rng.sample(range(workers), max(1, round(share * workers)))
