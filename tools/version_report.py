"""Which streams hold events of two software versions, from the hosts' logs.

    python -m tools.version_report LOG...

Reads log lines of all hosts, each after a time and the name of its host.
Prints the streams that went on at another version than the one that began them,
and how many of those that callers took up again went on.
"""

import argparse
from collections.abc import Iterable
import pathlib
import sys
from typing import NamedTuple

from tools import loss_report


class Report(NamedTuple):
    """Streams and resumptions of some logs.

    Attributes:
      streams: Number of streams with events.
      mixed: Versions of each stream that holds events of several, by the name
        of the attempt that began it.
      resumptions: Number of attempts of callers to take up a stream.
      resumed: Number of those that brought events.
    """

    streams: int
    mixed: dict[str, list[str]]
    resumptions: int
    resumed: int

    def __str__(self) -> str:
        """Return the figures, and one line for each mixed stream."""
        lines = [
            f"{self.streams} streams, {len(self.mixed)} of two versions",
            f"{self.resumptions} taken up again, {self.resumed} went on",
        ]
        lines += [
            f"{name}: {', '.join(versions)}"
            for name, versions in sorted(self.mixed.items())
        ]
        return "\n".join(lines)


def report(lines: Iterable[str]) -> Report:
    """Return the report on log lines of all hosts, in any order."""
    versions: dict[str, list[str]] = {}
    taken_up: set[str] = set()
    resumed: set[str] = set()
    for line in loss_report.read_lines(lines):
        log = line.log
        first = log.get("resumes")
        if first:
            taken_up.add(log.request)
        if log.event == "stream_begun":
            known = versions.setdefault(first or log.request, [])
            software = log.get("software")
            if software not in known:
                known.append(software)
            if first:
                resumed.add(log.request)
    mixed = {name: seen for name, seen in versions.items() if len(seen) > 1}
    return Report(len(versions), mixed, len(taken_up), len(resumed))


def main() -> int:
    """Print the report of log files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    arguments = parser.parse_args()
    lines = [
        line
        for path in arguments.logs
        for line in path.read_text(encoding="utf-8").splitlines()
    ]
    print(report(lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
