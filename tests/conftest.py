"""Marks the tests listed in KNOWN-RED.txt as expected failures."""

import pathlib
from typing import Any

import pytest

KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def _read_entries() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by the ID of their test."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected to fail."""
    entries = _read_entries()
    for item in items:
        line = entries.get(item.nodeid)
        if line is not None:
            item.add_marker(pytest.mark.xfail(reason=line, strict=False))


def pytest_terminal_summary(terminalreporter: Any) -> None:
    """Print the entries of KNOWN-RED.txt."""
    for line in _read_entries().values():
        terminalreporter.write_line(f"KNOWN-RED {line}")
    for report in terminalreporter.stats.get("xpassed", []):
        terminalreporter.write_line(f"KNOWN-RED passed now: {report.nodeid}")
