"""Measures the daemon: memory, control traffic, throughput and latency.

It prints figures only; nothing passes or fails. 1 MB is 2**20 bytes.
"""

import argparse
import http.client
import json
import os
import statistics
import tempfile
import threading
import time
from typing import Any
from typing import NamedTuple
from urllib import parse

from rich import console
from rich import table

from nutmegscale import folder
from tools import cluster

IDLE_MEASUREMENT_S = 10.0
LATENCY_CALLS = 40
PROMPT = "course planning brief " * 40
CLIENT_COUNT = 8
CALLS_PER_CLIENT = 20
MAX_TOKENS = 64
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class IdleCost(NamedTuple):
    """Cost of an idle host, as mean and maximum over the hosts.

    Attributes:
      hosts: Number of hosts in the deployment.
      resident_mb: Mean resident memory, MB.
      largest_mb: Largest resident memory, MB.
      cpu: Mean fraction of a core in use.
      largest_cpu: Largest fraction of a core in use.
      mesh_bytes_s: Mean traffic to and from peers, bytes per second.
      http_bytes_s: Mean traffic of the polls of platform and workers, bytes
        per second.
      largest_bytes_s: Largest sum of both kinds of traffic, bytes per second.
    """

    hosts: int
    resident_mb: float
    largest_mb: float
    cpu: float
    largest_cpu: float
    mesh_bytes_s: float
    http_bytes_s: float
    largest_bytes_s: float


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, MB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1_024
    return 0.0


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def make_plan(hosts: int, path: str = "examples/federation") -> cluster.Plan:
    """Return the Federation's layout with the given number of hosts."""
    base = cluster.federation_plan()
    domains = ("maadi", "nasr", "giza", "shorouk")
    names = tuple(
        cluster.HostPlan(f"{domains[n % 4]}-{n // 4}", domains[n % 4])
        for n in range(hosts)
    )
    return cluster.Plan(names, base.workers, path)


class _Sample(NamedTuple):
    """Totals of a host since its start."""

    cpu_s: float
    mesh_bytes: int
    http_bytes: int


def _sample(deployment: cluster.Cluster) -> dict[str, _Sample]:
    samples = {}
    for name, host in deployment.hosts.items():
        status = deployment.status(name)
        mesh = status["mesh"]
        samples[name] = _Sample(
            cpu_s(host.process.pid),
            mesh["sent_bytes"] + mesh["received_bytes"],
            status["http_bytes"],
        )
    return samples


def measure_idle(hosts: int, seconds: float) -> IdleCost:
    """Measure hosts that serve no requests.

    Args:
      hosts: Number of hosts.
      seconds: Length of the measurement, seconds, after a warm-up of half
        that time.

    Returns:
      The cost of a host.
    """
    with cluster.Cluster(make_plan(hosts)) as deployment:
        time.sleep(seconds / 2)
        before = _sample(deployment)
        time.sleep(seconds)
        after = _sample(deployment)
        memory = [resident_mb(h.process.pid) for h in deployment.hosts.values()]
    cpu = [(after[n].cpu_s - before[n].cpu_s) / seconds for n in after]
    mesh = [
        (after[n].mesh_bytes - before[n].mesh_bytes) / seconds for n in after
    ]
    http = [
        (after[n].http_bytes - before[n].http_bytes) / seconds for n in after
    ]
    both = [a + b for a, b in zip(mesh, http, strict=True)]
    mean = statistics.fmean
    return IdleCost(
        hosts,
        mean(memory),
        max(memory),
        mean(cpu),
        max(cpu),
        mean(mesh),
        mean(http),
        max(both),
    )


class LoadCost(NamedTuple):
    """Throughput and cost of one host under load.

    Attributes:
      requests_s: Completed requests per second.
      tokens_s: Tokens per second, estimated from the mean answer length.
      cpu: Fraction of a core that the host used.
      cpu_ms_per_request: Processor time per request, ms.
    """

    requests_s: float
    tokens_s: float
    cpu: float
    cpu_ms_per_request: float


def _connect(url: str) -> http.client.HTTPConnection:
    address = parse.urlsplit(url)
    return http.client.HTTPConnection(
        str(address.hostname), address.port, timeout=30.0
    )


def _first_line_s(
    connection: http.client.HTTPConnection, began: float
) -> float:
    """Read a complete response; return the seconds to its first line."""
    response = connection.getresponse()
    response.readline()
    first_s = time.perf_counter() - began
    response.read()
    connection.close()
    return first_s


def complete(url: str, number: int, tokens: int, *, stream: bool) -> float:
    """Send one completion; return the seconds to the first line of text."""
    connection = _connect(url)
    body = json.dumps(
        {
            "model": "notes-model",
            "prompt": f"{number} {PROMPT}",
            "max_tokens": tokens,
            "stream": stream,
        }
    )
    began = time.perf_counter()
    connection.request(
        "POST",
        "/v1/completions",
        body.encode(),
        {"authorization": "Bearer cairo-club-key"},
    )
    return _first_line_s(connection, began)


def complete_directly(deployment: cluster.Cluster, number: int) -> float:
    """Run a completion on the engines directly; see `complete`."""
    urls = {name: w.url for name, w in deployment.workers.items()}
    prefill, decode = urls["prefill-maadi"], urls["decode-maadi"]
    run_id = f"direct{number}.x"
    prompt = f"{number} {PROMPT}"
    began = time.perf_counter()
    prefill_request = {
        "run_id": run_id,
        "host": "x",
        "prompt": prompt,
        "priority": 0,
    }
    result = cluster.call("POST", f"{prefill}/v1/prefills", prefill_request)
    order = {
        "run_id": run_id,
        "host": "x",
        "prompt": prompt,
        "first_token": 0,
        "max_tokens": 8,
        "source": prefill,
        "handle": result["handle"],
    }
    cluster.call("POST", f"{decode}/v1/runs", order)
    connection = _connect(decode)
    connection.request("GET", f"/v1/runs/{run_id}/tokens?from=0")
    return _first_line_s(connection, began)


def make_fast_config() -> tempfile.TemporaryDirectory[str]:
    """Create a configuration whose engines are never the bottleneck."""
    directory = tempfile.TemporaryDirectory()
    document: Any = folder.load("examples/federation")
    document["engines"]["standard"].update(
        prefill_base_s=0.001,
        prefill_token_s=1e-7,
        step_base_s=0.002,
        step_run_s=1e-6,
        kv_token_bytes=16,
        slots=500,
    )
    with open(
        os.path.join(directory.name, "10.json"), "w", encoding="utf-8"
    ) as file:
        json.dump(document, file)
    return directory


def measure_load(*, stream: bool, tokens: int) -> LoadCost:
    """Measure one host under closed-loop load from several clients."""
    with (
        make_fast_config() as path,
        cluster.Cluster(make_plan(1, path)) as deployment,
    ):
        (host,) = deployment.hosts.values()
        url = host.caller_url
        complete(url, 0, tokens, stream=stream)
        before = cpu_s(host.process.pid)
        began = time.perf_counter()

        def _client(client: int) -> None:
            for call in range(CALLS_PER_CLIENT):
                complete(url, client * 1_000 + call, tokens, stream=stream)

        threads = [
            threading.Thread(target=_client, args=(n,))
            for n in range(CLIENT_COUNT)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        seconds = time.perf_counter() - began
        used_s = cpu_s(host.process.pid) - before
    count = CLIENT_COUNT * CALLS_PER_CLIENT
    # Answer lengths are uniform between 0.3 and 1 times the maximum.
    mean_tokens = tokens * 0.65
    return LoadCost(
        count / seconds,
        count * mean_tokens / seconds,
        used_s / seconds,
        used_s / count * 1e3,
    )


def measure_latency() -> tuple[float, float]:
    """Return the median ms to the first token, directly and through a host."""
    with cluster.Cluster(cluster.federation_plan()) as deployment:
        url = deployment.hosts["maadi-1"].caller_url
        routed_ms, direct_ms = [], []
        for number in range(LATENCY_CALLS):
            direct_ms.append(complete_directly(deployment, number) * 1e3)
            routed_ms.append(complete(url, number, 8, stream=True) * 1e3)
    return statistics.median(direct_ms), statistics.median(routed_ms)


def _print_idle(rows: list[IdleCost]) -> None:
    figures = table.Table(
        "hosts",
        "resident MB (largest)",
        "CPU of a core (largest)",
        "mesh B/s",
        "polls B/s",
        "largest B/s",
        title="At rest, for each host",
        title_justify="left",
    )
    for row in rows:
        figures.add_row(
            str(row.hosts),
            f"{row.resident_mb:.1f} ({row.largest_mb:.1f})",
            f"{row.cpu:.2%} ({row.largest_cpu:.2%})",
            f"{row.mesh_bytes_s:.0f}",
            f"{row.http_bytes_s:.0f}",
            f"{row.largest_bytes_s:.0f}",
        )
    console.Console(width=110).print(figures)


def _print_load(rows: dict[str, LoadCost]) -> None:
    figures = table.Table(
        "work",
        "requests/s",
        "tokens/s",
        "CPU of a core",
        "CPU ms a request",
        title="One host under closed-loop work",
        title_justify="left",
    )
    for name, row in rows.items():
        figures.add_row(
            name,
            f"{row.requests_s:.0f}",
            f"{row.tokens_s:.0f}",
            f"{row.cpu:.0%}",
            f"{row.cpu_ms_per_request:.1f}",
        )
    console.Console(width=110).print(figures)


def main() -> None:
    """Measure and print the tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, nargs="*", default=[8, 25])
    parser.add_argument("--seconds", type=float, default=IDLE_MEASUREMENT_S)
    parser.add_argument("--rest-only", action="store_true")
    args = parser.parse_args()
    _print_idle([measure_idle(n, args.seconds) for n in args.hosts])
    if args.rest_only:
        return
    _print_load(
        {
            f"{MAX_TOKENS} tokens, streamed": measure_load(
                stream=True, tokens=MAX_TOKENS
            ),
            f"{MAX_TOKENS} tokens, whole": measure_load(
                stream=False, tokens=MAX_TOKENS
            ),
            "1 token": measure_load(stream=False, tokens=1),
        }
    )
    direct_ms, routed_ms = measure_latency()
    console.Console().print(
        f"first token: {direct_ms:.1f} ms on the engines,"
        f" {routed_ms:.1f} ms by a host, {routed_ms - direct_ms:.1f} ms added"
        f" (medians of {LATENCY_CALLS})"
    )


if __name__ == "__main__":
    main()
