"""Where the worth of a day is lost, from the hosts' logs.

    python -m tools.loss_report LOG [--report FILE] [--plot FILE]

Reads log lines of all hosts, each of which may follow a time and a host name.
Prints how each attempt of a caller ended and the last decision that explains
it, in all and by span of time.
"""

import argparse
from collections import Counter
from collections.abc import Iterable
import json
import pathlib
import re
import sys
from typing import Any
from typing import NamedTuple

from nutmegscale import log_lines

SPAN_S = 2.0
OBJECTIVE_MS = 900.0
MAX_PAUSE_MS = 300.0
IN_TIME = "in time"
# Events that explain a loss, the most specific one first.
_CAUSES = (
    ("stream_broke", "stream broke"),
    ("decode_left", "worker left"),
    ("decode_unreachable", "worker unreachable"),
    ("decode_rejected", "engine rejected"),
    ("prefill_failed", "prefill failed"),
    ("planner_silent", "planner silent"),
    ("server_failed", "server failed"),
    ("server_rejected", "server rejected"),
)
TIMED_LINE = re.compile(r"^\s*(\d+\.\d+)\s+\S+\s+(timestamp=.*)$")


class Limits(NamedTuple):
    """Bounds of an answer in time, in milliseconds.

    Attributes:
      objective_ms: Longest time to the first event of a stream.
      pause_ms: Longest time between two of its events.
    """

    objective_ms: float = OBJECTIVE_MS
    pause_ms: float = MAX_PAUSE_MS


class Attempt(NamedTuple):
    """One attempt of a caller.

    Attributes:
      request: Its id.
      began_at: When it arrived, seconds of the log.
      is_stream: Whether it is a stream of a model service.
      outcome: "in time", "late", "refused", "failed", "caller gone" or
        "host lost".
      cause: The last decision that explains the outcome; "" if in time.
    """

    request: str
    began_at: float
    is_stream: bool
    outcome: str
    cause: str

    @property
    def is_lost(self) -> bool:
        """Whether the attempt earned less than it could."""
        return self.outcome != IN_TIME


class _Line(NamedTuple):
    """A log line, and its time in seconds."""

    time: float
    log: log_lines.LogLine


def read_lines(lines: Iterable[str]) -> list[_Line]:
    """Parse the log lines that belong to a request, in order of time."""
    found = []
    for line in lines:
        timed = TIMED_LINE.match(line)
        if timed is None:
            continue
        log = log_lines.parse(timed.group(2))
        if log is not None and log.request:
            found.append(_Line(float(timed.group(1)), log))
    return sorted(found, key=lambda item: item.time)


def find_attempts(lines: Iterable[_Line], limits: Limits) -> list[Attempt]:
    """Return the attempts that the lines tell of, in order of arrival."""
    by_request: dict[str, list[_Line]] = {}
    for line in lines:
        # Slot requests of a stream are named after it: ID.NUMBER.
        request = line.log.request.partition(".")[0]
        by_request.setdefault(request, []).append(line)
    attempts = [
        _classify(request, events, limits)
        for request, events in by_request.items()
    ]
    return sorted(attempts, key=lambda attempt: attempt.began_at)


def _classify(request: str, events: list[_Line], limits: Limits) -> Attempt:
    kinds = {line.log.event for line in events}
    end = next(
        (
            line
            for line in reversed(events)
            if line.log.event
            in ("request_answered", "request_failed", "caller_gone")
        ),
        None,
    )
    is_stream = bool(
        kinds & {"slot_given", "slot_refused", "planner_silent", "stream_broke"}
    ) or any(line.log.get("slot_ms") for line in events)
    if end is None:
        began_at = events[0].time
        return Attempt(request, began_at, is_stream, "host lost", "host lost")
    began_at = end.time - _number(end.log, "age_ms") / 1000.0
    cause = next((text for kind, text in _CAUSES if kind in kinds), "")
    outcome, reason = _outcome(end.log, cause, limits)
    return Attempt(request, began_at, is_stream, outcome, reason)


def _outcome(
    log: log_lines.LogLine, cause: str, limits: Limits
) -> tuple[str, str]:
    """Return the outcome of an attempt that ended, and its cause."""
    status = int(log.get("status") or 0)
    if log.event == "caller_gone":
        return "caller gone", cause or "before the answer"
    if log.event == "request_failed":
        reason = log.get("reason")
        if status == 503:
            return "refused", reason
        return "failed", cause or reason
    if status >= 400:
        return "failed", "server's own failure"
    if not log.get("first_ms"):
        return IN_TIME, ""
    first_ms = _number(log, "first_ms") + _number(log, "waited_ms")
    if first_ms > limits.objective_ms:
        return "late", cause or _late_stage(log)
    if _number(log, "longest_gap_ms") > limits.pause_ms:
        return "late", "pause between events"
    return IN_TIME, ""


def _late_stage(log: log_lines.LogLine) -> str:
    """Return the stage that took the most time to the first event."""
    stages = {
        "waited before": _number(log, "waited_ms"),
        "queue": _number(log, "slot_ms"),
        "prefill": _number(log, "prefill_ms"),
    }
    rest = _number(log, "first_ms") - stages["queue"] - stages["prefill"]
    stages["first step"] = rest
    return max(stages, key=lambda name: stages[name])


def _number(log: log_lines.LogLine, name: str) -> float:
    return float(log.get(name) or 0.0)


def table(attempts: list[Attempt]) -> list[str]:
    """Return the lines of a table of outcomes and causes."""
    counts: Counter[tuple[str, str, str]] = Counter(
        (
            "stream" if attempt.is_stream else "call",
            attempt.outcome,
            attempt.cause,
        )
        for attempt in attempts
    )
    lines = [
        "| kind | outcome | cause | attempts |",
        "| --- | --- | --- | --- |",
    ]
    for (kind, outcome, cause), count in sorted(
        counts.items(), key=lambda item: (item[0][0], -item[1])
    ):
        lines.append(f"| {kind} | {outcome} | {cause} | {count} |")
    return lines


def spans(attempts: list[Attempt]) -> dict[float, Counter[str]]:
    """Count the lost streams by the span in which they began, and cause."""
    found: dict[float, Counter[str]] = {}
    for attempt in attempts:
        if attempt.is_stream and attempt.is_lost:
            start = attempt.began_at // SPAN_S * SPAN_S
            label = f"{attempt.outcome}: {attempt.cause}"
            found.setdefault(start, Counter())[label] += 1
    return dict(sorted(found.items()))


def plot(attempts: list[Attempt], path: str) -> None:
    """Draw the lost streams by time and cause into a PNG file."""
    import matplotlib  # noqa: PLC0415

    matplotlib.use("Agg")
    from matplotlib import pyplot  # noqa: PLC0415

    by_span = spans(attempts)
    labels = sorted({label for counts in by_span.values() for label in counts})
    figure, axes = pyplot.subplots(figsize=(11, 5))
    bottom = [0] * len(by_span)
    for label in labels:
        heights = [counts[label] for counts in by_span.values()]
        axes.bar(
            list(by_span), heights, SPAN_S * 0.9, bottom=bottom, label=label
        )
        bottom = [low + high for low, high in zip(bottom, heights, strict=True)]
    axes.set_xlabel("arrival, s")
    axes.set_ylabel("streams lost")
    axes.legend(fontsize="x-small")
    figure.tight_layout()
    figure.savefig(path)


def _window_lines(report: dict[str, Any]) -> list[str]:
    windows = report.get("windows", [])
    return [f"{w['name']:>6} s worth {w['worth']:.2f}" for w in windows]


def main() -> int:
    """Print the report of one day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "log", help="output of a run with the logs of all hosts"
    )
    parser.add_argument("--report", help="the run's report, for its windows")
    parser.add_argument("--plot", help="PNG file to draw the losses into")
    parser.add_argument("--objective-ms", type=float, default=OBJECTIVE_MS)
    parser.add_argument("--pause-ms", type=float, default=MAX_PAUSE_MS)
    arguments = parser.parse_args()
    text = pathlib.Path(arguments.log).read_text(errors="replace")
    limits = Limits(arguments.objective_ms, arguments.pause_ms)
    attempts = find_attempts(read_lines(text.splitlines()), limits)
    print("\n".join(table(attempts)))
    for start, counts in spans(attempts).items():
        causes = ", ".join(f"{n} {label}" for label, n in counts.most_common())
        print(f"{start:5.0f} s: {causes}")
    if arguments.report:
        report = json.loads(pathlib.Path(arguments.report).read_text())
        print("\n".join(_window_lines(report)))
    if arguments.plot:
        plot(attempts, arguments.plot)
    return 0


if __name__ == "__main__":
    sys.exit(main())
