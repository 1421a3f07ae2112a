"""Command-line commands that analyse the logs of hosts."""

import argparse
from collections.abc import Iterable
import json
import sys

from nutmegscale import errors
from nutmegscale import explanation
from nutmegscale import log_lines

EXIT_OK = 0
EXIT_FAILED = 1


def explain(args: argparse.Namespace) -> int:
    """Print a request's log lines in order of time, and its outcome.

    Returns:
      The exit status; a failure if the logs have no line about the request.
    """
    lines = _read(args.logs)
    found = explanation.explain(
        log_lines.of_request(lines, args.request),
        log_lines.of_event(lines, explanation.CONFIG_EVENT),
    )
    if args.json:
        verdict = {
            "verdict": found.verdict,
            "lines": [line._asdict() for line in found.lines],
        }
        _write(json.dumps(verdict, ensure_ascii=False, sort_keys=True))
    else:
        _print_lines(found.lines)
        _write(f"verdict: {found.verdict}")
    return EXIT_OK if found.lines else EXIT_FAILED


def show_timeline(args: argparse.Namespace) -> int:
    """Print the events of several logs in order of time.

    Returns:
      The exit status.
    """
    if args.request:
        lines = log_lines.of_request(_read(args.log), args.request)
    else:
        parsed = (log_lines.parse(text) for text in _read(args.log))
        lines = [line for line in parsed if line is not None]
        lines.sort(key=lambda line: line.timestamp)
    lines = lines[-args.limit :]
    if args.json:
        for line in lines:
            _write(json.dumps(line._asdict(), ensure_ascii=False))
    else:
        _print_lines(lines)
    return EXIT_OK


def _read(names: Iterable[str]) -> list[str]:
    lines: list[str] = []
    for name in names:
        try:
            with open(name, encoding="utf-8", errors="replace") as file:
                lines += file.readlines()
        except OSError as exc:
            raise errors.LogError(f"can't read the log: {exc}") from exc
    return lines


def _print_lines(lines: Iterable[log_lines.LogLine]) -> None:
    for line in lines:
        fields = " ".join(f"{k}={v}" for k, v in line.fields.items() if v)
        request = f" {line.request}" if line.request else ""
        _write(f"{line.timestamp} {line.host} {line.event}{request} {fields}")


def _write(text: str) -> None:
    sys.stdout.write(text + "\n")
