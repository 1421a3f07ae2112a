"""Replay of recorded traces against the stand-ins, judged by outcome."""

import argparse
import random
import signal
import sys
from typing import Any

from rich import console
from rich import table

from nutmegscale import periodic
from tools import cluster
from tools import load
from tools import promises
from tools import replay_virtual
from tools import trace

SETTLE_TRIES = 120
SETTLE_POLL_S = 0.1
SILENT_S = 0.1
PLANS = {
    "federation": cluster.federation_plan,
    "consortium": cluster.consortium_plan,
}
VIRTUAL_ONLY = {"cut_domain", "heal", "lose_cancels", "start_worker"}


_SIGNALS = {
    "kill_host": signal.SIGKILL,
    "freeze_host": signal.SIGSTOP,
    "thaw_host": signal.SIGCONT,
    "drain_host": signal.SIGTERM,
}


def inject(deployment: cluster.Cluster, fault: trace.Fault) -> None:
    """Make a fault happen now, on real processes."""
    if fault.fault in _SIGNALS:
        host = deployment.hosts[fault.target]
        host.process.send_signal(_SIGNALS[fault.fault])
    elif fault.fault == "start_host":
        deployment.start_host(deployment.hosts[fault.target].plan)
    elif fault.fault.startswith("platform_"):
        deployment.platform_faults(down=fault.fault == "platform_down")
    elif fault.fault == "lose_table_answers":
        deployment.platform_faults(lose_answers=fault.times)
    else:
        _inject_worker(deployment.workers[fault.target], fault.fault)


def _inject_worker(worker: cluster.Worker, kind: str) -> None:
    match kind:
        case "kill_worker":
            worker.process.send_signal(signal.SIGKILL)
        case "leave_worker":
            order = {"fence": 1, "leaving": True}
            cluster.call("POST", f"{worker.url}/v1/orders", order)
        case "silence_worker":
            body = {"kind": "silent", "for_s": SILENT_S}
            cluster.call("POST", f"{worker.url}/v1/faults", body)
        case "lose_call_answers":
            body = {"after_run": "lose"}
            cluster.call("POST", f"{worker.url}/_faults", body)


async def _run(
    reactor: Any, deployment: cluster.Cluster, recorded: trace.Trace, seed: int
) -> promises.Summary:
    urls = {name: h.caller_url for name, h in deployment.hosts.items()}
    callers = load.Callers(reactor, urls, random.Random(seed))
    for fault in recorded.faults:
        reactor.callLater(fault.at, inject, deployment, fault)
    works = [trace.work_of(request) for request in recorded.requests]
    outcomes = await load.send_all(reactor, callers, works)
    killed = {f.target for f in recorded.faults if f.fault == "kill_worker"}
    records = promises.read_records(deployment)
    for _ in range(SETTLE_TRIES):
        if not records.held:
            break
        await periodic.sleep(reactor, SETTLE_POLL_S)
        records = promises.read_records(deployment)
    lost = [
        name
        for name, w in deployment.workers.items()
        if w.process.poll() is not None and name not in killed
    ]
    return promises.judge(
        outcomes, records, recorded.header.expected, len(lost)
    )


def replay_processes(recorded: trace.Trace, seed: int) -> promises.Summary:
    """Replay a trace on real processes of this machine."""
    from twisted.internet import reactor  # noqa: PLC0415

    plan = PLANS[recorded.header.deployment]()
    summaries: list[promises.Summary] = []
    any_reactor: Any = reactor
    with cluster.Cluster(plan) as deployment:
        work = periodic.spawn(_run(any_reactor, deployment, recorded, seed))
        work.addCallback(summaries.append)
        work.addBoth(lambda _: any_reactor.stop())
        any_reactor.run()
    return summaries[0]


def print_summary(name: str, summary: promises.Summary) -> None:
    """Print the figures of a replay."""
    out = console.Console()
    drawn = table.Table("", "figure", title=name, title_justify="left")
    for row in summary.rows:
        drawn.add_row(*row)
    out.print(drawn)
    for line in summary.broken:
        out.print(f"BROKEN: {line}")
    out.print(f"promises broken: {len(summary.broken)}")


def main() -> None:
    """Replay a trace; exit 1 when its outcome isn't met."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trace")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--processes", action="store_true", help="real processes, real time"
    )
    asked = parser.parse_args()
    try:
        recorded = trace.read(asked.trace)
    except trace.TraceError as exc:
        sys.stderr.write(f"replay: {exc}\n")
        sys.exit(2)
    if asked.processes:
        left = {f.fault for f in recorded.faults} & VIRTUAL_ONLY
        if left:
            sys.stderr.write(
                f"replay: only without --processes: {sorted(left)}\n"
            )
            sys.exit(2)
        summary = replay_processes(recorded, asked.seed)
    else:
        summary = replay_virtual.replay(recorded, asked.seed)
    print_summary(recorded.header.trace, summary)
    sys.exit(1 if summary.broken else 0)


if __name__ == "__main__":
    main()
