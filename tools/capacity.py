"""Measures the cost of each role at the target size, for docs/CAPACITY.md.

It prints figures only; nothing passes or fails.
"""

import argparse
from collections.abc import Callable
import gc
import hashlib
import random
import time
import tracemalloc
from typing import Any

import msgspec
from rich import console
from rich import table

from nutmegscale import claim
from nutmegscale import config
from nutmegscale import directory_controller
from nutmegscale import envelope
from nutmegscale import folder
from nutmegscale import home
from nutmegscale import joint_planner
from nutmegscale import membership
from nutmegscale import messages
from nutmegscale import placement
from nutmegscale import timeline
from nutmegscale import worker

# Target size of a deployment.
HOSTS = 400
WORKERS = 1_500
CALLERS = 2_200
MODELS = 35
ROLES = ("prefill", "decode", "decode")  # of the workers, in turn

MESH_KEY = b"k" * 32
DECISION_COUNT = 2_000
PROBE_PERIOD_S = 0.8


def measure_memory_mb(make: Callable[[], Any]) -> tuple[float, Any]:
    """Return the memory that a value takes, MB (2**20 bytes), and the value."""
    gc.collect()
    tracemalloc.start()
    value = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 2**20, value


def measure_membership(hosts: int, seconds: float) -> tuple[float, float]:
    """Measure the membership protocol of one host among many.

    Args:
      hosts: Number of hosts.
      seconds: Length of the warm-up and of the measurement, virtual seconds.

    Returns:
      Bytes per second that a host sends and receives, and the fraction of a
      core that it uses.
    """
    views = {}
    sealers = {}
    names = [f"host-{n:03d}" for n in range(hosts)]
    for number, name in enumerate(names):
        view = membership.Membership(
            name,
            f"domain-{number % 16}",
            f"tcp://10.0.0.1:{number}",
            period_s=PROBE_PERIOD_S,
            rng=random.Random(number),
        )
        for other, peer in enumerate(names):
            view.add_host(
                0.0, peer, f"domain-{other % 16}", f"tcp://10.0.0.1:{other}"
            )
        views[name] = view
        sealers[name] = envelope.Sealer(name, MESH_KEY, number)
    now = 0.0
    sent_bytes = 0
    warmup_s = seconds

    def _deliver(source: str, outgoing: list[membership.Outgoing]) -> None:
        nonlocal sent_bytes
        for item in outgoing:
            data = sealers[source].seal(item.host, item.message, lamport=1)
            sent_bytes += len(data)
            opened = sealers[item.host].open(data)
            _deliver(
                item.host, views[item.host].receive(now, source, opened.message)
            )

    while now < warmup_s:
        now += PROBE_PERIOD_S / 4
        for name, view in views.items():
            _deliver(name, view.tick(now))
    sent_bytes = 0
    began = time.process_time()
    while now < warmup_s + seconds:
        now += PROBE_PERIOD_S / 4
        for name, view in views.items():
            _deliver(name, view.tick(now))
    used_s = time.process_time() - began
    # Each byte is sent by one host and received by another.
    return 2 * sent_bytes / seconds / hosts, used_s / seconds / hosts


def _engine() -> config.Engine:
    document = folder.load("examples/federation")
    return document.get("engines", {})["standard"]


def make_planner(workers: int) -> joint_planner.JointPlanner:
    """Create a planner; a third of its workers are for prefill."""
    planner = joint_planner.JointPlanner()
    rows = [
        worker.Worker(
            f"w{n}",
            f"http://10.0.0.2:{n}",
            "d",
            "p" if n % 3 == 0 else "q",
            "m",
            "prefill" if n % 3 == 0 else "decode",
            False,
        )
        for n in range(workers)
    ]
    engine = _engine()
    planner.set_workers(rows, {"p": engine, "q": engine})
    report = worker.Report(False, 20, (), 0, 0, ())
    for row in rows:
        planner.observe(0.0, row.name, report)
    return planner


def make_request(number: int, rng: random.Random) -> placement.Request:
    """Create a request with a prompt of 1,500 tokens."""
    blocks = tuple(rng.randbytes(8) for _ in range(5))
    return placement.Request(
        f"x{number}", f"c{number % 50}", 1.0, 3, 1_500, blocks, 128, 0.54, 0.031
    )


def measure_plan(workers: int) -> tuple[float, float]:
    """Measure the planner.

    Args:
      workers: Number of workers.

    Returns:
      Processor time of one decision, and of recording its start and release,
      microseconds.
    """
    planner = make_planner(workers)
    rng = random.Random(1)
    requests = [make_request(n, rng) for n in range(DECISION_COUNT)]
    now = 100.0
    plan_s = release_s = 0.0
    live: list[str] = []
    for request in requests:
        # One request per worker every 0.6 s.
        now += 0.6 / workers
        began = time.process_time()
        planner.plan(now, request)
        planned = time.process_time()
        planner.record_start(now, request.exchange, 0.08, 0.04)
        live.append(request.exchange)
        # Keeps about six requests per worker in progress.
        if len(live) > workers * 6:
            planner.release(now, live.pop(0), 80)
        plan_s += planned - began
        release_s += time.process_time() - planned
    return plan_s / DECISION_COUNT * 1e6, release_s / DECISION_COUNT * 1e6


def make_document(callers: int) -> config.Document:
    """Create a configuration of the target size."""
    base: Any = folder.load("examples/federation")
    services, pools, rules = {}, {}, {}
    for number in range(MODELS):
        name = f"model-{number}"
        services[name] = base["services"]["notes-model"]
        for role in ("prefill", "decode"):
            pools[f"{name}-{role}"] = {
                "service": name,
                "role": role,
                "engine": "standard",
            }
        rules[f"{number:03d}"] = {"caller": "*", "service": name}
    keys = {
        f"caller-{n}": {"key_sha256": hashlib.sha256(b"%d" % n).hexdigest()}
        for n in range(callers)
    }
    return config.check(
        {
            **base,
            "services": services,
            "pools": pools,
            "rules": rules,
            "callers": keys,
        }
    )


def make_rows() -> list[dict[str, Any]]:
    """Create the platform's host list at the target size."""
    entries = [
        {
            "name": f"host-{n:03d}",
            "kind": "entry",
            "state": "live",
            "address": f"tcp://10.0.0.1:{n}",
            "failure_domain": f"domain-{n % 16}",
        }
        for n in range(HOSTS)
    ]
    backends = [
        {
            "name": f"worker-{n:04d}",
            "kind": "backend",
            "state": "live",
            "address": f"http://10.0.0.2:{n}",
            "failure_domain": f"domain-{n % 16}",
            "pool": f"model-{n % MODELS}-{ROLES[n % 3]}",
        }
        for n in range(WORKERS)
    ]
    return [*entries, *backends]


def request_bytes() -> list[tuple[str, int]]:
    """Return type and size in bytes of each message that a request causes."""
    sealer = envelope.Sealer("host-001", MESH_KEY, 2**62)
    request = make_request(1, random.Random(1))
    exchange = "f" * 24
    request = request._replace(exchange=exchange)
    grant = placement.Grant(
        "worker-0001",
        "http://10.0.0.2:8001",
        "worker-0002",
        "http://10.0.0.2:8002",
        0.01,
        0.08,
        0.04,
        0.2,
    )
    cell_name = "model-12@domain-3"
    sent_messages = [
        messages.PlanRequest(cell_name, request),
        messages.PlanReply(grant, "", 0.0),
        messages.RunStarted(cell_name, exchange, 0.08, 0.04),
        messages.RunReleased(cell_name, exchange, 80),
        messages.ClaimRequest(exchange, "host-001", 7, "", 0, True),
        messages.ClaimReply("host-001", 7, False),
        messages.ClaimRequest(exchange, "host-001", 7, "", 0, False),
        messages.ClaimReply("host-001", 7, False),
        messages.ClaimEnd(exchange, "host-001", 7, True),
        messages.ClaimEnd(exchange, "host-001", 7, True),
    ]
    return [
        (
            type(m).__name__,
            len(sealer.seal("host-002", m, lamport=2**30, call=9)),
        )
        for m in sent_messages
    ]


def measure_message() -> float:
    """Return the processor time to seal and open a message, microseconds."""
    sealer = envelope.Sealer("a", MESH_KEY, 1)
    opener = envelope.Sealer("b", MESH_KEY, 2)
    message = messages.PlanRequest("m@d", make_request(1, random.Random(1)))
    began = time.process_time()
    for _ in range(DECISION_COUNT):
        opener.open(sealer.seal("b", message, lamport=1))
    return (time.process_time() - began) / DECISION_COUNT * 1e6


def measure_claims(count: int) -> float:
    """Return the memory of one claim at its home host, bytes."""
    claims = home.Home(capacity=count)

    def _fill() -> None:
        for number in range(count):
            claims.claim(
                0.0, f"{number:024x}", f"host-{number % HOSTS}", number
            )

    used_mb, _ = measure_memory_mb(_fill)
    return used_mb * 2**20 / count


def measure_events(count: int) -> float:
    """Return the memory of one timeline event, bytes."""
    events = timeline.Timeline("host-001", capacity=count)

    def _fill() -> None:
        for number in range(count):
            events.add(
                1.5 * number,
                "exchange.planned",
                f"{number:024x}",
                prefill="worker-0001",
                decode="worker-0002",
                start_in_s=0.125,
            )

    used_mb, _ = measure_memory_mb(_fill)
    return used_mb * 2**20 / count


def main() -> None:
    """Measure and print the cost of each role."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=16.0)
    args = parser.parse_args()
    figures = table.Table("role", "at size", "figure", title_justify="left")
    for hosts in (25, 100, HOSTS):
        rate, cpu = measure_membership(hosts, args.seconds)
        figures.add_row(
            "membership prober",
            f"{hosts} hosts",
            f"{rate:.0f} B/s sent and received, {cpu:.3%} of a core",
        )
    for workers in (4, 16, 47, 94, 188):
        plan_us, release_us = measure_plan(workers)
        figures.add_row(
            "owner of a cell",
            f"{workers} workers",
            f"{plan_us:.0f} us to plan,"
            f" {release_us:.0f} us for start and release",
        )
    figures.add_row(
        "any message", "", f"{measure_message():.0f} us to seal+open"
    )
    sizes = request_bytes()
    figures.add_row(
        "serving host, owner, homes",
        "1 request",
        f"{sum(size for _, size in sizes)} B in {len(sizes)} messages: "
        + ", ".join(f"{name} {size}" for name, size in sizes),
    )
    claims = measure_claims(100_000)
    figures.add_row("home", "1 claim", f"{claims:.0f} B of memory")
    events = measure_events(50_000)
    figures.add_row("time line", "1 event", f"{events:.0f} B of memory")
    document = make_document(CALLERS)
    content = config.canonical(document)
    used_mb, _ = measure_memory_mb(lambda: config.decode(content, 1))
    began = time.process_time()
    config.decode(content, 1)
    figures.add_row(
        "configuration reader",
        f"{CALLERS} callers, {MODELS} models",
        f"{len(content) / 1024:.0f} KB to fetch, {used_mb:.1f} MB,"
        f" {(time.process_time() - began) * 1e3:.0f} ms to check",
    )
    rows = make_rows()
    body = msgspec.json.encode(rows)
    import gzip  # noqa: PLC0415

    pools = document["pools"]
    used_mb, _ = measure_memory_mb(
        lambda: directory_controller.parse_rows(
            msgspec.json.decode(body), pools
        )
    )
    began = time.process_time()
    directory_controller.parse_rows(msgspec.json.decode(body), pools)
    figures.add_row(
        "directory reader",
        f"{HOSTS} hosts, {WORKERS} workers",
        f"{len(body) / 1024:.0f} KB, {len(gzip.compress(body)) / 1024:.0f} KB"
        f" packed, {used_mb:.1f} MB,"
        f" {(time.process_time() - began) * 1e3:.0f} ms to read",
    )
    row = claim.ClaimRow(
        "done",
        "host-001.0123456789abcdef",
        "host-001",
        b"0" * 16,
        claim.Answer(200, "application/json", b"x" * 200),
    )
    figures.add_row(
        "at-most-once call",
        "1 call",
        f"2 writes, {len(claim.encode_row(row))} B for a 200 B answer",
    )
    console.Console(width=140).print(figures)


if __name__ == "__main__":
    main()
