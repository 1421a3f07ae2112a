"""Recorded traces: requests, faults and the expected outcome.

A trace is a JSON Lines file. The first line is the header; each other line
is a request or a fault, ordered by time. docs/TRACES.md describes the format.
"""

import hashlib
from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from nutmegscale import errors
from nutmegscale import prompts
from standins import engine_model
from tools import load

FaultKind = Literal[
    "kill_host",
    "start_host",
    "freeze_host",
    "thaw_host",
    "drain_host",
    "kill_worker",
    "start_worker",
    "leave_worker",  # The worker announces that it leaves.
    "silence_worker",  # Token streams stay connected but stop sending.
    "lose_cancels",  # Engines neither apply nor answer a cancel.
    "lose_call_answers",  # A plain call runs, but its answer is lost.
    "platform_down",
    "platform_up",
    "lose_table_answers",  # A row is written, but the answer is lost.
    "cut_domain",
    "heal",  # Removes every cut of the network.
]


class TraceError(errors.NutmegscaleError):
    """A trace can't be read; the message names the file and line."""


class Expected(NamedTuple):
    """Expected outcome of a trace; a violated guarantee is never allowed.

    Attributes:
      answered_at_least: Fraction of the requests, cancelled ones left out,
        that are answered.
      good_at_least: Fraction of the same requests that are answered within
        both latency targets.
      wasted_at_most: Fraction of the prefilled tokens that is discarded.
      servers_lost_at_most: Number of backend servers that requests may crash.
    """

    answered_at_least: float
    good_at_least: float
    wasted_at_most: float = 0.05
    servers_lost_at_most: int = 0


class Header(NamedTuple):
    """First line of a trace.

    Attributes:
      trace: Name of the trace.
      deployment: Deployment on which it is replayed.
      about: One-line description.
      expected: Expected outcome.
    """

    trace: str
    deployment: Literal["federation", "consortium"]
    about: str
    expected: Expected


class Request(NamedTuple):
    """A request line.

    Attributes:
      at: Time of the first send, seconds from the start.
      caller: Name of the caller.
      service: Name of the requested service.
      id: Request id, or idempotency key of a plain call.
      prompt_tokens: Length of the prompt, or of the body of a plain call,
        tokens.
      max_tokens: Maximum length of the answer, tokens; 0 for a plain call.
      prefix: Name of the prefix that prompts share, or "".
      prefix_tokens: Length of the shared prefix, tokens.
      cancel_after: Seconds until the caller closes the connection, or None.
      repeat_after: Seconds until the caller sends a second copy, or None.
      poison: Whether the prompt crashes the engine that prefills it.
    """

    at: float
    caller: str
    service: str
    id: str
    prompt_tokens: int
    max_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    cancel_after: float | None = None
    repeat_after: float | None = None
    poison: bool = False


class Fault(NamedTuple):
    """A fault line.

    Attributes:
      at: Time of the fault, seconds from the start.
      fault: Kind of the fault.
      target: Name of the host, worker or failure domain, or "".
      times: Number of messages or streams that the fault affects. On real
        processes only lose_table_answers uses it.
    """

    at: float
    fault: FaultKind
    target: str = ""
    times: int = 1


class Trace(NamedTuple):
    """A complete trace."""

    header: Header
    requests: list[Request]
    faults: list[Fault]


def read(path: str) -> Trace:
    """Read a trace.

    Raises:
      TraceError: The file can't be read, is empty, or has a malformed line.
    """
    try:
        with open(path, encoding="utf-8") as file:
            lines = [line for line in file.read().splitlines() if line]
    except (OSError, UnicodeDecodeError) as exc:
        raise TraceError(f"{path}: can't be read: {exc}") from exc
    values = [_decode(path, n, line) for n, line in enumerate(lines, 1)]
    if not values:
        raise TraceError(f"{path}: empty, expected a header line")
    header = _convert(path, 1, Header, values[0])
    requests: list[Request] = []
    faults: list[Fault] = []
    for number, value in enumerate(values[1:], 2):
        if "fault" in value:
            faults.append(_convert(path, number, Fault, value))
        else:
            requests.append(_convert(path, number, Request, value))
    return Trace(header, requests, faults)


def _decode(path: str, number: int, line: str) -> dict[str, Any]:
    try:
        value = msgspec.json.decode(line)
    except msgspec.DecodeError as exc:
        raise TraceError(f"{path}:{number}: {exc}") from exc
    if not isinstance(value, dict):
        raise TraceError(f"{path}:{number}: isn't an object: {value!r}")
    return value


def _convert(path: str, number: int, kind: Any, value: dict[str, Any]) -> Any:
    try:
        fields = dict(value)
        if kind is Header:
            fields["expected"] = list(Expected(**fields["expected"]))
        ordered = kind(**fields)
        return msgspec.convert(list(ordered), kind, strict=False)
    except (TypeError, KeyError, msgspec.ValidationError) as exc:
        raise TraceError(f"{path}:{number}: {exc}") from exc


def write(path: str, trace: Trace) -> None:
    """Write a trace; default values of requests and faults are omitted."""
    header = trace.header._asdict()
    header["expected"] = trace.header.expected._asdict()
    lines = [header]
    rows: list[Request | Fault] = [*trace.requests, *trace.faults]
    for row in sorted(rows, key=lambda r: r.at):
        defaults = row._field_defaults
        lines.append(
            {
                k: v
                for k, v in row._asdict().items()
                if k not in defaults or v != defaults[k]
            }
        )
    with open(path, "w", encoding="utf-8") as file:
        for line in lines:
            file.write(msgspec.json.encode(line).decode() + "\n")


def make_prompt(request: Request) -> str:
    """Generate the prompt of a request, or the body of a plain call.

    Its length is counted in characters, as if each took one byte. Some take
    more, so hosts and engines count more tokens than `request.prompt_tokens`.
    """
    size = request.prompt_tokens * prompts.BYTES_PER_TOKEN
    prefix_size = request.prefix_tokens * prompts.BYTES_PER_TOKEN
    prefix = (f"{request.prefix} " * (prefix_size // 4 + 1))[:prefix_size]
    name = hashlib.sha256(request.id.encode()).hexdigest()[:12]
    mark = engine_model.PREFILL_CRASH_MARK if request.poison else ""
    if request.poison:
        name = "poison"
    rest = f"{name} {mark}" + "map é 🧭 " * (size // 9 + 1)
    return prefix + rest[: max(16, size - prefix_size)]


def to_scheduled_request(request: Request) -> load.ScheduledRequest:
    """Convert a request line to the request that a caller sends."""
    return load.ScheduledRequest(
        request.at,
        request.caller,
        request.service,
        request.id,
        make_prompt(request),
        request.max_tokens,
        request.cancel_after,
        request.repeat_after,
    )
