"""Replays a recorded trace on the stand-ins and checks its outcome."""

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

# Most checks, SETTLE_POLL_S apart, until the engines hold no memory.
SETTLE_TRIES = 120
SETTLE_POLL_S = 0.1
# A stream that has a token to send in this time never sends again.
SILENCE_DURATION_S = 0.1
PLANS = {
    "federation": cluster.federation_plan,
    "consortium": cluster.consortium_plan,
}
VIRTUAL_ONLY_FAULTS = {"cut_domain", "heal", "lose_cancels", "start_worker"}
_HOST_FAULT_SIGNALS = {
    "kill_host": signal.SIGKILL,
    "freeze_host": signal.SIGSTOP,
    "thaw_host": signal.SIGCONT,
    "drain_host": signal.SIGTERM,
}


def inject(deployment: cluster.Cluster, fault: trace.Fault) -> None:
    """Inject a fault into a deployment of real processes."""
    if fault.fault in _HOST_FAULT_SIGNALS:
        host = deployment.hosts[fault.target]
        host.process.send_signal(_HOST_FAULT_SIGNALS[fault.fault])
    elif fault.fault == "start_host":
        deployment.start_host(deployment.hosts[fault.target].plan)
    elif fault.fault.startswith("platform_"):
        deployment.platform_faults(down=fault.fault == "platform_down")
    elif fault.fault == "lose_table_answers":
        deployment.platform_faults(lose_answers=fault.times)
    else:
        _inject_worker_fault(deployment.workers[fault.target], fault.fault)


def _inject_worker_fault(worker: cluster.Worker, kind: str) -> None:
    match kind:
        case "kill_worker":
            worker.process.send_signal(signal.SIGKILL)
        case "leave_worker":
            order = {"fence": 1, "leaving": True}
            cluster.call("POST", f"{worker.url}/v1/orders", order)
        case "silence_worker":
            body = {"kind": "silent", "for_s": SILENCE_DURATION_S}
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
    requests = [
        trace.to_scheduled_request(request) for request in recorded.requests
    ]
    outcomes = await load.send_all(reactor, callers, requests)
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
    return promises.evaluate(
        outcomes, records, recorded.header.expected, len(lost)
    )


def replay_processes(recorded: trace.Trace, seed: int) -> promises.Summary:
    """Replay a trace on real processes of this machine, in real time."""
    from twisted.internet import reactor  # noqa: PLC0415

    plan = PLANS[recorded.header.deployment]()
    summaries: list[promises.Summary] = []
    untyped_reactor: Any = reactor
    with cluster.Cluster(plan) as deployment:
        work = periodic.spawn(_run(untyped_reactor, deployment, recorded, seed))
        work.addCallback(summaries.append)
        work.addBoth(lambda _: untyped_reactor.stop())
        untyped_reactor.run()
    return summaries[0]


def print_summary(name: str, summary: promises.Summary) -> None:
    """Print the figures and violations of a run."""
    out = console.Console()
    figures = table.Table("", "figure", title=name, title_justify="left")
    for row in summary.rows:
        figures.add_row(*row)
    out.print(figures)
    for line in summary.violations:
        out.print(f"BROKEN: {line}")
    out.print(f"promises broken: {len(summary.violations)}")


def main() -> None:
    """Replay a trace.

    The exit status is 1 if the outcome isn't the expected one, and 2 if the
    trace can't be replayed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("trace")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--processes",
        action="store_true",
        help="use real processes and real time",
    )
    args = parser.parse_args()
    try:
        recorded = trace.read(args.trace)
    except trace.TraceError as exc:
        sys.stderr.write(f"replay: {exc}\n")
        sys.exit(2)
    if args.processes:
        unsupported = {f.fault for f in recorded.faults} & VIRTUAL_ONLY_FAULTS
        if unsupported:
            sys.stderr.write(
                "replay: faults not supported with --processes:"
                f" {sorted(unsupported)}\n"
            )
            sys.exit(2)
        summary = replay_processes(recorded, args.seed)
    else:
        summary = replay_virtual.replay(recorded, args.seed)
    print_summary(recorded.header.trace, summary)
    sys.exit(1 if summary.violations else 0)


if __name__ == "__main__":
    main()
