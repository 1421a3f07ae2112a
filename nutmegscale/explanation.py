"""Explains the outcome of a request from the log lines of all hosts."""

from collections.abc import Sequence
from typing import NamedTuple

from nutmegscale import log_lines

_REASONS = {
    "no_slot_in_time": (
        "refused: every decode slot was held, and none was expected free"
        " before the caller would leave"
    ),
    "stream_unknown": (
        "refused: no host that was asked knows which version of the workers'"
        " software began the stream; it can only begin anew"
    ),
    "no_worker_of_version": (
        "refused: no worker is left of the software version that began the"
        " stream; it can only begin anew"
    ),
    "no_decode_worker": "refused: no decode worker could be reached",
    "no_server": "refused: no server of the service could take it",
    "limited": (
        "refused: each server of the service takes only so many requests a"
        " second from all hosts, and they were reached"
    ),
    "unreached": (
        "refused: this host reached no server of the service, and no other host"
        " took the request"
    ),
    "relay_broke": (
        "the request was passed on to another host, which broke off; it may"
        " have run"
    ),
    "paused": (
        "refused: each server of the service asked for a pause that goes on"
    ),
    "too_little_time": (
        "refused: too little time was left before the caller's deadline to try"
        " a server"
    ),
    "servers_full": (
        "refused: all servers of the service were at their limits, and no room"
        " came while the call was held"
    ),
    "quarantined": "refused: the same content crashed two servers",
    "no_config": "refused: this host had no configuration yet",
    "config_outdated": (
        "refused: this host's configuration doesn't allow it, but another host"
        " has a later one"
    ),
    "host_is_leaving": "refused: this host was shutting down",
    "retry_budget_spent": "refused: the retry budget was exhausted",
    "rejected_by_servers": "refused: each server that was tried rejected it",
    "no_route": "no route of the configuration in force matches the path",
    "unknown_key": "no customer of the configuration in force has its key",
    "unknown_customer": (
        "refused: another host passed it on for a customer that this host's"
        " configuration doesn't have"
    ),
    "usage_limit": (
        "refused: its customer has used up its usage limit, which holds over"
        " all hosts together"
    ),
    "usage_unknown": (
        "refused: this host reached no host that knows how much the customer"
        " has used, and its own part was spent"
    ),
    "malformed_request": "a header of the request can't be read",
    "timeout": (
        "no complete answer came within the time limits of the route and the"
        " caller"
    ),
    "server_broke": "the server cut off its answer or sent a malformed one",
    "run_lost": "the run ended early and couldn't be resumed on another server",
    "no_other_server": "a server failed, and no other could be tried",
    "internal": "an internal error of the host",
}


# Event of a host that takes a configuration, with its version.
CONFIG_EVENT = "config_in_force"
# Reasons that depend on the version of the configuration at the host.
_REASONS_OF_CUSTOMERS = ("unknown_key", "unknown_customer")


class Explanation(NamedTuple):
    """Explanation of a request's outcome.

    Attributes:
      verdict: The outcome in one sentence.
      lines: Log lines about the request, in order of time.
    """

    verdict: str
    lines: tuple[log_lines.LogLine, ...]


def explain(
    lines: Sequence[log_lines.LogLine],
    changes: Sequence[log_lines.LogLine] = (),
) -> Explanation:
    """Explain the outcome of a request.

    Args:
      lines: Log lines about the request, in order of time.
      changes: Lines of all hosts that took a configuration, in order of time.
    """
    if not lines:
        return Explanation(
            "no line about it in these logs; was it sent here?", ()
        )
    return Explanation(_verdict(lines, changes), tuple(lines))


def _verdict(
    lines: Sequence[log_lines.LogLine], changes: Sequence[log_lines.LogLine]
) -> str:
    last = {line.event: line for line in lines}
    if "request_failed" in last:
        line = last["request_failed"]
        reason = line.get("reason")
        text = _REASONS.get(reason, reason)
        if reason in _REASONS_OF_CUSTOMERS:
            text += _versions_text(line, changes)
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
    return "still in progress, or its host stopped first"


def _versions_text(
    refusal: log_lines.LogLine, changes: Sequence[log_lines.LogLine]
) -> str:
    """Describe which versions of the configuration hosts had at a refusal.

    A key is unknown for a short time where hosts take a version at different
    times; the hosts' clocks may differ by as much.
    """
    host, own = refusal.host, ""
    version, next_text = 0, ""
    for change in changes:
        if change.host != host:
            continue
        number = _version_of(change)
        if change.timestamp <= refusal.timestamp:
            version = number
            own = (
                f"; version {number} was in force on {host} since"
                f" {change.timestamp}"
            )
        elif not next_text:
            next_text = f", and {number} came at {change.timestamp}"
    return own + next_text + _ahead_text(refusal, changes, version)


def _ahead_text(
    refusal: log_lines.LogLine,
    changes: Sequence[log_lines.LogLine],
    version: int,
) -> str:
    """Describe which other host had a later version before a refusal."""
    for change in changes:
        is_before = change.timestamp <= refusal.timestamp
        if version and is_before and _version_of(change) > version:
            return (
                f"; {change.host} already had {_version_of(change)}, since"
                f" {change.timestamp}"
            )
    return ""


def _version_of(change: log_lines.LogLine) -> int:
    text = change.get("version")
    return int(text) if text.isdecimal() else 0


def _latency_text(line: log_lines.LogLine) -> str:
    """Describe how long the answer took and, for a stream, in which phases."""
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
