"""What became of a request, from the log lines of all hosts."""

from collections.abc import Sequence
from typing import NamedTuple

from nutmegscale import log_lines

_REASONS = {
    "no_slot_in_time": (
        "refused: every decode slot was held, and none was expected free"
        " before the caller would leave"
    ),
    "no_decode_worker": "refused: no decode worker could be reached",
    "no_planner": (
        "refused: the planner of the service didn't answer, and this host's"
        " share of the slots was taken"
    ),
    "no_server": "refused: no server of the service could take it",
    "too_little_time": (
        "refused: too little of the caller's time was left to ask a server"
    ),
    "quarantined": "refused: the same content crashed two servers",
    "no_config": "refused: this host had no configuration yet",
    "host_is_leaving": "refused: this host was shutting down",
    "retry_budget_spent": "refused: the budget for repeats was spent",
    "rejected_by_servers": "refused: each server that was asked was full",
    "no_route": "no route of the configuration in force matches the path",
    "malformed_request": "a header of the request can't be read",
    "timeout": "no whole answer came within the time of route and caller",
    "server_broke": "the server closed or spoiled its answer midway",
    "run_lost": "the run broke off and couldn't go on elsewhere",
    "no_other_server": "a server failed it and no other could be asked",
    "internal": "a defect of the host",
}


class Explanation(NamedTuple):
    """Verdict on a request.

    Attributes:
      verdict: One sentence.
      lines: Log lines about it, in order of time.
    """

    verdict: str
    lines: tuple[log_lines.LogLine, ...]


def explain(lines: Sequence[log_lines.LogLine]) -> Explanation:
    """Explain a request from its lines, in order of time."""
    if not lines:
        return Explanation("no line about it; was it sent here?", ())
    return Explanation(_verdict(lines), tuple(lines))


def _verdict(lines: Sequence[log_lines.LogLine]) -> str:
    last = {line.event: line for line in lines}
    if "request_failed" in last:
        line = last["request_failed"]
        reason = line.get("reason")
        text = _REASONS.get(reason, reason)
        before = _earlier_events(lines)
        return f"{line.get('status')}: {text}{before}"
    if "request_answered" in last:
        line = last["request_answered"]
        late = _latency_text(line)
        return (
            f"answered with {line.get('status')}{late}{_earlier_events(lines)}"
        )
    if "caller_gone" in last:
        return f"the caller closed its connection first{_earlier_events(lines)}"
    return "not ended yet, or the host ended before it"


def _latency_text(line: log_lines.LogLine) -> str:
    """Say where the time of a stream went."""
    if not line.get("first_ms"):
        return f" after {line.get('age_ms')} ms"
    return (
        f"; first event after {line.get('first_ms')} ms, of which"
        f" {line.get('slot_ms')} ms for a slot and"
        f" {line.get('prefill_ms')} ms for the prefill"
        f" ({line.get('waited_ms')} ms before this attempt);"
        f" longest gap {line.get('longest_gap_ms')} ms"
    )


def _earlier_events(lines: Sequence[log_lines.LogLine]) -> str:
    ends = ("request_failed", "request_answered", "caller_gone")
    seen = [line.event for line in lines if line.event not in ends]
    return f" (before: {', '.join(dict.fromkeys(seen))})" if seen else ""
