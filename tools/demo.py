"""Demonstration: the Federation under load while one host is killed."""

import argparse
import random
import sys
from typing import Any

from twisted.internet import reactor as _reactor

from nutmegscale import periodic
from tools import cluster
from tools import load
from tools import promises
from tools import replay

reactor: Any = _reactor
DURATION_S = 20.0
KILL_FRACTION = 0.5  # of the duration, after which the host is killed
SETTLE_TRIES = 100
SETTLE_POLL_S = 0.1
KILLED_HOST = "nasr-1"


async def _run(deployment: cluster.Cluster, seconds: float, seed: int) -> int:
    rng = random.Random(seed)
    urls = {name: h.caller_url for name, h in deployment.hosts.items()}
    callers = load.Callers(reactor, urls, rng)
    requests = load.make_federation_requests(rng, seconds)

    def _kill() -> None:
        deployment.kill(deployment.hosts[KILLED_HOST].process)
        # The balancer sends requests to the dead host for another second.
        reactor.callLater(1.0, callers.down.add, KILLED_HOST)

    reactor.callLater(seconds * KILL_FRACTION, _kill)
    outcomes = await load.send_all(reactor, callers, requests)
    for _ in range(SETTLE_TRIES):
        records = promises.read_records(deployment)
        if not records.held:
            break
        await periodic.sleep(reactor, SETTLE_POLL_S)
    summary = promises.summarize(outcomes, records)
    title = f"{seconds:.0f} s, seed {seed}, host {KILLED_HOST} killed halfway"
    replay.print_summary(title, summary)
    return 1 if summary.violations else 0


def main() -> None:
    """Run the demonstration.

    The exit status is 1 if a guarantee was violated or the run failed.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=DURATION_S)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--logs", metavar="DIR", help="keep the log files in DIR"
    )
    args = parser.parse_args()
    status: list[int] = []

    with cluster.Cluster(cluster.federation_plan(), logs=args.logs) as running:
        work = periodic.spawn(_run(running, args.seconds, args.seed))
        work.addCallback(status.append)
        work.addBoth(lambda _: reactor.stop())
        reactor.run()
    sys.exit(status[0] if status and status[0] is not None else 1)


if __name__ == "__main__":
    main()
