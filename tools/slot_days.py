"""Days of streams for experiments on slots: calls, workers and their losses.

A day comes from a site file of the users' bench, which is read where it lies.
"""

import math
import random
import tomllib
from typing import Any
from typing import NamedTuple

from tools import slot_site

# Sizes are drawn from a log-normal distribution of this deviation: served
# prompts and answers of five standard days had 0.43 and 0.45 after clipping.
SIZE_DEVIATION = 0.5
# Key of a service whose workers run a language model.
SERVICE_KIND = "llm"
# A worker that an outage of the store hides leaves that long after it began,
# seconds, by what happened on the standard days.
DRAIN_AFTER_S = {"platform_compact": 0.2, "platform_down": 12.5}
DAY_S = 41.0
# A day goes on after its last call for so long, seconds: the longest deadline.
AFTER_S = 15.0
# Price of moved memory between failure domains against within one: reported
# for the quiet day of the first site, 42.8 of 24.4 GB.
MOVED_FACTOR = 1.75


class Engine(NamedTuple):
    """What the workers of a model service can do.

    Attributes:
      slots: Runs at once.
      queue: Requests that wait at a worker, at most.
      step_s: Time of a step of an empty batch, seconds.
      step_slot_s: What each run adds to a step, seconds.
      step_token_s: What each token in memory adds to a step, seconds.
      read_token_s: Time of a prompt token at a prefill worker, seconds.
      memory_tokens: Tokens that the memory of a worker holds.
      event_tokens: Tokens of an event.
      prefills: Workers that read prompts.
      decodes: Workers that make tokens.
      slowness: Factors of time that the workers have in turn.
    """

    slots: int
    queue: int
    step_s: float
    step_slot_s: float
    step_token_s: float
    read_token_s: float
    memory_tokens: int
    event_tokens: int
    prefills: int
    decodes: int
    slowness: tuple[float, ...]


class Call(NamedTuple):
    """A stream that a caller asks for.

    Attributes:
      name: Its name.
      kind: Kind of request.
      at: Time of the first attempt, seconds.
      domain: Failure domain of the caller.
      prompt_tokens: Length of the prompt.
      output_tokens: Length of the answer.
      hinted_tokens: What the caller expects of it.
      worth: What it is worth in time.
    """

    name: str
    kind: str
    at: float
    domain: str
    prompt_tokens: int
    output_tokens: int
    hinted_tokens: int
    worth: float


class Loss(NamedTuple):
    """A worker that isn't there for a time.

    Attributes:
      worker: Number of the worker, prefill workers first.
      at: Start, seconds.
      until: End, seconds; infinite if it is gone for good.
      is_crash: Whether its runs are lost.
    """

    worker: int
    at: float
    until: float
    is_crash: bool


class Plain(NamedTuple):
    """A plain call beside the streams.

    Attributes:
      at: Its time, seconds.
      domain: Failure domain of the caller.
      kind: Its kind.
      worth: What it is worth in time.
    """

    at: float
    domain: str
    kind: str
    worth: float


class Scale(NamedTuple):
    """How a site weighs a day.

    Attributes:
      whole: Weight of the whole day.
      windows: Weight of the two worst spans of two seconds.
      kinds: Weight of the worst kind of request.
      domains: Weight of the worst failure domain.
      machines_price: What the hosts cost on a day.
      moved_price: What the KV cache of a prompt token costs to move.
      wasted_price: What a prompt token costs that is read in vain.
    """

    whole: float
    windows: float
    kinds: float
    domains: float
    machines_price: float
    moved_price: float
    wasted_price: float


class Day(NamedTuple):
    """A day of one model service.

    Attributes:
      name: Its name.
      engine: What the workers can do.
      calls: The streams in order of time.
      losses: Workers that go.
      cuts: Failure domains that are cut off: name, start and end.
      length_s: End of the calls, seconds.
      cut_at_s: When whatever still runs is lost, seconds.
      in_time_s: Objective of the first event, seconds.
      deadline_s: Time after which an answer reaches nobody, seconds.
      late_fraction: What a late answer earns of its worth.
      plain: The plain calls beside the streams.
      scale: How the day is weighed.
    """

    name: str
    engine: Engine
    calls: tuple[Call, ...]
    losses: tuple[Loss, ...]
    cuts: tuple[tuple[str, float, float], ...]
    length_s: float
    cut_at_s: float
    in_time_s: float
    deadline_s: float
    late_fraction: float
    plain: tuple[Plain, ...]
    scale: Scale


def load(path: str | None) -> dict[str, Any]:
    """Read a site file, or return the project's own site for None."""
    if path is None:
        return slot_site.OWN_SITE
    with open(path, "rb") as file:
        return tomllib.load(file)


def names(site: dict[str, Any]) -> list[str]:
    """Return the names of a site's standard days."""
    return [day["name"] for day in site["day"]]


def draw(site: dict[str, Any], name: str, seed: int) -> Day:
    """Draw a day of a site.

    Args:
      site: The site.
      name: Name of the day.
      seed: Seed of everything that is random.

    Raises:
      KeyError: The site has no such day, or no model service.
    """
    specs = {spec["name"]: spec for spec in site["day"]}
    spec = specs[name]
    service = next(s for s in site["services"] if SERVICE_KIND in s)
    kinds = [k for k in site["classes"] if k["service"] == service["name"]]
    chance = random.Random(f"{name}/{seed}")
    thin = site.get("thin", 1.0)
    length_s = spec.get("length_s", DAY_S)
    engine = _engine(service, thin)
    others = [k for k in site["classes"] if k["service"] != service["name"]]
    calls = _calls(spec, kinds, chance, length_s, thin, engine.event_tokens)
    return Day(
        name,
        engine,
        tuple(calls),
        tuple(_losses(spec, site, engine, chance)),
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
        tuple(_plain(spec, others, chance, length_s, thin)),
        _scale(site, length_s),
    )


def _engine(service: dict[str, Any], thin: float) -> Engine:
    sheet = service["llm"]
    counted = sum(group["count"] for group in service["servers"])
    workers = int(thin * counted + 0.5)
    prefills = math.ceil(workers * sheet["prefill"])
    return Engine(
        service["slots"],
        service["queue"],
        sheet["step_ms"] / 1000,
        sheet["step_ms_per_slot"] / 1000,
        sheet["context_ms_per_k"] / 1e6,
        1 / (sheet["prefill_tokens_per_ms"] * 1000),
        sheet["kv_tokens"],
        sheet["stride"],
        prefills,
        workers - prefills,
        tuple(service["speeds"]),
    )


def _calls(
    spec: dict[str, Any],
    kinds: list[dict[str, Any]],
    chance: random.Random,
    length_s: float,
    thin: float,
    event_tokens: int,
) -> list[Call]:
    calls: list[Call] = []
    for group in spec["traffic"]:
        for kind in kinds:
            for now in _times(spec, group, kind, chance, length_s, thin):
                name = f"{kind['name']}-{len(calls)}"
                call = _call(name, group, kind, chance, now, event_tokens)
                calls.append(call)
    return sorted(calls, key=lambda c: c.at)


def _plain(
    spec: dict[str, Any],
    kinds: list[dict[str, Any]],
    chance: random.Random,
    length_s: float,
    thin: float,
) -> list[Plain]:
    return [
        Plain(now, group["zone"], kind["name"], kind["worth"])
        for group in spec["traffic"]
        for kind in kinds
        for now in _times(spec, group, kind, chance, length_s, thin)
    ]


def _times(
    spec: dict[str, Any],
    group: dict[str, Any],
    kind: dict[str, Any],
    chance: random.Random,
    length_s: float,
    thin: float,
) -> list[float]:
    """Draw the times at which a kind of request comes from a domain."""
    share = group["mix"][kind["name"]] / sum(group["mix"].values())
    rate = group["per_s"] * share * thin
    top = rate * _top(spec, kind["name"]) * (1 + group["shape"]["swing"])
    found: list[float] = []
    now = chance.expovariate(top)
    while now < length_s:
        here = rate * _swell(group, now) * _burst(spec, kind, now)
        if chance.random() < here / top:
            found.append(now)
        now += chance.expovariate(top)
    return found


def _scale(site: dict[str, Any], length_s: float) -> Scale:
    goal, prices = site["goal"], site["prices"]
    machines = sum(group["count"] for group in site["machines"])
    service = next(s for s in site["services"] if SERVICE_KIND in s)
    moved_gb = service["llm"]["kv_bytes"] / 1e9
    return Scale(
        goal["mean"],
        goal["window"],
        goal["class"],
        goal["zone"],
        prices["machine_s"] * machines * (length_s + AFTER_S),
        prices["kv_gb"] * moved_gb * MOVED_FACTOR,
        prices["read_waste"] / 1000,
    )


def _top(spec: dict[str, Any], kind: str) -> float:
    bursts = [f for f in spec["faults"] if f["kind"] == "burst"]
    every = max([f["x"] for f in bursts if "class" not in f], default=1.0)
    own = max([f["x"] for f in bursts if f.get("class") == kind], default=1.0)
    return float(every * own)


def _swell(group: dict[str, Any], now: float) -> float:
    shape = group["shape"]
    angle = 2 * math.pi * (now / shape["period_s"] + shape["phase"])
    return float(1 + shape["swing"] * math.sin(angle))


def _burst(spec: dict[str, Any], kind: dict[str, Any], now: float) -> float:
    factor = 1.0
    for fault in spec["faults"]:
        is_burst = fault["kind"] == "burst"
        if not is_burst or fault.get("class", kind["name"]) != kind["name"]:
            continue
        if fault["at"] <= now < fault["at"] + fault["for_s"]:
            factor *= fault["x"]
    return factor


def _call(
    name: str,
    group: dict[str, Any],
    kind: dict[str, Any],
    chance: random.Random,
    now: float,
    event_tokens: int,
) -> Call:
    stream = kind["stream"]
    own = stream["prompt_tokens"]
    shared = sum(part["tokens"]["mean"] for part in stream["chain"])
    prompt = shared + _size(chance, own["mean"], own["max"])
    pieces = _size(chance, stream["pieces"]["mean"], stream["pieces"]["max"])
    output = pieces * event_tokens
    usual = shared + own["mean"] + 10 * stream["pieces"]["mean"] * event_tokens
    size = (prompt + 10 * output) / usual
    hinted = output * math.exp(chance.gauss(0.0, stream["hint"]))
    return Call(
        name,
        kind["name"],
        now,
        group["zone"],
        int(prompt),
        int(output),
        max(1, int(hinted)),
        kind["worth"] * min(4.0, 0.3 + 0.7 * size),
    )


def _size(chance: random.Random, mean: float, most: float) -> float:
    center = math.log(mean) - SIZE_DEVIATION**2 / 2
    return min(most, chance.lognormvariate(center, SIZE_DEVIATION))


def _losses(
    spec: dict[str, Any],
    site: dict[str, Any],
    engine: Engine,
    chance: random.Random,
) -> list[Loss]:
    """Choose the workers that the day's troubles take."""
    workers = engine.prefills + engine.decodes
    thin = site.get("thin", 1.0)
    others = sum(
        thin * sum(group["count"] for group in s["servers"])
        for s in site["services"]
        if SERVICE_KIND not in s
    )
    losses: list[Loss] = []
    for fault in [*spec["faults"], *spec.get("plan", [])]:
        kind, at = fault["kind"], fault["at"]
        is_hidden = "drain" in fault.get("how", "") and kind in DRAIN_AFTER_S
        if kind == "srv_crash":
            for worker in _pick(chance, workers, fault["share"]):
                until = at + fault["for_s"]
                losses.append(Loss(worker, at, until, is_crash=True))
        elif kind == "scale_in" or is_hidden:
            if chance.random() > workers / (workers + others):
                continue
            start = at + DRAIN_AFTER_S.get(kind, 0.0)
            share = fault["share"] if kind == "scale_in" else 0.0
            losses += [
                Loss(worker, start, math.inf, is_crash=False)
                for worker in _pick(chance, workers, share)
            ]
    return losses


def _pick(chance: random.Random, workers: int, share: float) -> list[int]:
    return chance.sample(range(workers), max(1, round(share * workers)))
