"""How close retries came to their budget, from the hosts' logs.

    python -m tools.retry_report LOG... [--ratio N] [--extra N] [--window S]

Reads log lines of all hosts, each after a time and the name of its host.
Prints the worst window of each service, and the failures before the retries.
"""

import argparse
from collections import Counter
from collections.abc import Iterable
import pathlib
import sys

from nutmegscale import retry_share
from tools import loss_report
from tools import retry_window

_ENDS = ("request_answered", "request_failed", "caller_gone")
# Events of a request that lead to a further send.
_FAILURES = (
    "prefill_failed",
    "decode_rejected",
    "decode_unreachable",
    "decode_left",
    "stream_broke",
    "server_failed",
    "server_rejected",
    "retry_denied",
)


def report(lines: Iterable[str], budget: retry_share.Limits) -> list[str]:
    """Return the lines of the report.

    Args:
      lines: Log lines of all hosts, in any order.
      budget: Limits of the retries of each service.
    """
    retries: list[retry_window.Event] = []
    requests: list[retry_window.Event] = []
    failures: Counter[tuple[str, str]] = Counter()
    for line in loss_report.read_lines(lines):
        event, service = line.log.event, line.log.get("service")
        if event == "retry_allowed":
            retries.append(retry_window.Event(line.time, service))
        elif event in _ENDS and service:
            age_s = float(line.log.get("age_ms") or 0.0) / 1000.0
            requests.append(retry_window.Event(line.time - age_s, service))
        elif event in _FAILURES:
            failures[service, event] += 1
    windows = retry_window.worst_windows(retries, requests, budget)
    counts = [
        f"{service}: {count} {event}"
        for (service, event), count in sorted(failures.items())
    ]
    return [str(window) for window in windows] + counts


def main() -> int:
    """Print the report of log files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    parser.add_argument("--ratio", type=float, default=0.2)
    parser.add_argument("--extra", type=float, default=56.0)
    parser.add_argument("--window", type=float, default=10.0)
    arguments = parser.parse_args()
    lines = [
        line
        for path in arguments.logs
        for line in path.read_text(encoding="utf-8").splitlines()
    ]
    budget = retry_share.Limits(
        arguments.ratio, arguments.extra, arguments.window
    )
    for line in report(lines, budget):
        print(line)
    return 0


if __name__ == "__main__":
    sys.exit(main())
