"""Parses log lines of key=value pairs and merges those of several hosts."""

from collections.abc import Iterable
import re
from typing import NamedTuple

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_FIRST_KEYS = ("timestamp", "level", "event", "host", "request")


class LogLine(NamedTuple):
    """One parsed log line.

    Attributes:
      timestamp: Wall clock time of the host, as written.
      host: Host that wrote the line.
      level: Log level.
      event: Name of the event.
      request: Id of the request, or "".
      fields: All other pairs, in their order.
    """

    timestamp: str
    host: str
    level: str
    event: str
    request: str
    fields: dict[str, str]

    def get(self, key: str) -> str:
        """Return the value of a field, "" if the line doesn't have it."""
        return self.fields.get(key, "")


def parse(text: str) -> LogLine | None:
    """Parse a line, ignoring any text before its first pair.

    Returns:
      The line; None if it has no event, so that the daemon didn't write it.
    """
    pairs = {key: _unquote(value) for key, value in _PAIR.findall(text)}
    if "event" not in pairs:
        return None
    rest = {k: v for k, v in pairs.items() if k not in _FIRST_KEYS}
    return LogLine(
        timestamp=pairs.get("timestamp", ""),
        host=pairs.get("host", ""),
        level=pairs.get("level", ""),
        event=pairs["event"],
        request=pairs.get("request", ""),
        fields=rest,
    )


def _unquote(value: str) -> str:
    if len(value) >= 2 and value.startswith('"'):
        return re.sub(r"\\(.)", r"\1", value[1:-1])
    return value


def of_request(lines: Iterable[str], request: str) -> list[LogLine]:
    """Return the lines about a request and its runs, in order of time.

    Args:
      lines: Log lines of all hosts, in any order.
      request: Id of the request; its runs are named ID.NUMBER.
    """
    found = []
    for text in lines:
        if request not in text:
            continue
        line = parse(text)
        if line is not None and line.request.partition(".")[0] == request:
            found.append(line)
    return sorted(found, key=lambda line: line.timestamp)


def of_event(lines: Iterable[str], event: str) -> list[LogLine]:
    """Return the lines of an event, in order of time.

    Args:
      lines: Log lines of all hosts, in any order.
      event: Name of the event.
    """
    parsed = (parse(text) for text in lines if event in text)
    found = [
        line for line in parsed if line is not None and line.event == event
    ]
    return sorted(found, key=lambda line: line.timestamp)
