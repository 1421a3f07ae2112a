"""How callers of hosts that reach no server were served, from the hosts' logs.

    python -m tools.cut_report LOG...

Reads log lines of all hosts, each after a time and the name of its host. Prints
for each cut how many attempts of callers were served at the hosts that were cut
off, and meanwhile at the others, once the cut had lasted for `SETTLED_S`.
"""

import argparse
from collections.abc import Iterable
import pathlib
import sys
from typing import NamedTuple

from nutmegscale import log_lines
from tools import loss_report

# Time after which attempts at a host that is cut off count, seconds.
SETTLED_S = 3.0
# Events of a host that has received a request from its caller and offered it to
# another host.
_OFFER_EVENTS = frozenset({"passed_on", "not_passed_on", "relay_broke"})
_END_EVENTS = frozenset({"request_answered", "request_failed", "caller_gone"})
# Statuses with which a host refuses requests that no host would serve.
_MALFORMED = frozenset({400, 401, 404, 413, 431})


class Span(NamedTuple):
    """Time in which a host was cut off, in seconds of the log.

    Attributes:
      host: Name of the host.
      start: When it noticed.
      end: When it reached a server again; infinite if the log ends before.
    """

    host: str
    start: float
    end: float


class Attempt(NamedTuple):
    """One attempt of a caller.

    Attributes:
      host: Host that received it from the caller.
      sent_at: When it arrived, seconds of the log.
      is_served: Whether the caller got an answer of a server.
    """

    host: str
    sent_at: float
    is_served: bool


class Count(NamedTuple):
    """Attempts, and those that were served."""

    served: int
    sent: int

    @property
    def share(self) -> float:
        """Part that was served; 1 if nothing was sent."""
        return self.served / self.sent if self.sent else 1.0

    def __str__(self) -> str:
        """Return the count as text."""
        return f"{self.served} of {self.sent}"


class Cut(NamedTuple):
    """A time in which some hosts were cut off from all servers.

    Attributes:
      hosts: Names of the hosts.
      start: When the first one noticed, seconds of the log.
      end: When the last one reached a server again, seconds of the log.
      there: Attempts at these hosts, each from `SETTLED_S` after it noticed.
      elsewhere: Attempts at the other hosts, from `SETTLED_S` after the start.
    """

    hosts: tuple[str, ...]
    start: float
    end: float
    there: Count
    elsewhere: Count

    def __str__(self) -> str:
        """Return the cut as a line of text."""
        return (
            f"{self.start:.3f} to {self.end:.3f} s, {', '.join(self.hosts)}: "
            f"{self.there} served there, {self.elsewhere} elsewhere"
        )


def find_spans(lines: Iterable[str]) -> list[Span]:
    """Return when each host was cut off, in order of time."""
    changes = []
    for line in lines:
        timed = loss_report.TIMED_LINE.match(line)
        log = log_lines.parse(timed.group(2)) if timed else None
        if timed and log is not None and log.event == "cut_off_changed":
            is_cut_off = log.get("is_cut_off") == "true"
            changes.append((float(timed.group(1)), log.host, is_cut_off))
    open_spans: dict[str, float] = {}
    spans = []
    for at, host, is_cut_off in sorted(changes):
        if is_cut_off:
            open_spans.setdefault(host, at)
        elif host in open_spans:
            spans.append(Span(host, open_spans.pop(host), at))
    spans += [Span(host, at, float("inf")) for host, at in open_spans.items()]
    return sorted(spans, key=lambda span: span.start)


def find_attempts(lines: Iterable[str]) -> list[Attempt]:
    """Return the attempts that have ended, at the hosts that received them.

    Requests that no host would serve are left out.
    """
    by_request: dict[str, list[tuple[float, log_lines.LogLine]]] = {}
    for line in loss_report.read_lines(lines):
        by_request.setdefault(line.log.request, []).append(
            (line.time, line.log)
        )
    attempts = []
    for events in by_request.values():
        offered = [log.host for _, log in events if log.event in _OFFER_EVENTS]
        ends = [
            (at, log)
            for at, log in events
            if log.event in _END_EVENTS
            and (not offered or log.host == offered[0])
        ]
        if ends:
            at, log = ends[-1]
            status = int(log.get("status") or 0)
            if log.event == "request_failed" and status in _MALFORMED:
                continue
            age_s = float(log.get("age_ms") or 0.0) / 1000.0
            is_served = log.event == "request_answered" and status < 500
            attempts.append(Attempt(log.host, at - age_s, is_served))
    return attempts


def _merge(spans: list[Span]) -> list[list[Span]]:
    """Group spans that overlap."""
    groups: list[list[Span]] = []
    for span in spans:
        if groups and span.start <= max(s.end for s in groups[-1]):
            groups[-1].append(span)
        else:
            groups.append([span])
    return groups


def _count(attempts: Iterable[Attempt]) -> Count:
    served = [attempt.is_served for attempt in attempts]
    return Count(sum(served), len(served))


def report(lines: Iterable[str]) -> list[Cut]:
    """Return the cuts that the log lines of all hosts show, in any order."""
    lines = list(lines)
    attempts = find_attempts(lines)
    cuts = []
    for spans in _merge(find_spans(lines)):
        hosts = {span.host for span in spans}
        start = min(span.start for span in spans)
        end = max(span.end for span in spans)
        there = [
            attempt
            for attempt in attempts
            if any(
                attempt.host == span.host
                and span.start + SETTLED_S <= attempt.sent_at < span.end
                for span in spans
            )
        ]
        elsewhere = [
            attempt
            for attempt in attempts
            if attempt.host not in hosts
            and start + SETTLED_S <= attempt.sent_at < end
        ]
        cuts.append(
            Cut(
                tuple(sorted(hosts)),
                start,
                end,
                _count(there),
                _count(elsewhere),
            )
        )
    return cuts


def main() -> int:
    """Print the cuts of log files."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", nargs="+", type=pathlib.Path)
    arguments = parser.parse_args()
    lines = [
        line
        for path in arguments.logs
        for line in path.read_text(encoding="utf-8").splitlines()
    ]
    for cut in report(lines):
        print(cut)
    return 0


if __name__ == "__main__":
    sys.exit(main())
