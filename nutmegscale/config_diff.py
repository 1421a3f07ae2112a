"""Command-line command that checks and compares a configuration."""

import argparse
import json
import sys
from typing import Any
from typing import NamedTuple

from nutmegscale import config_check
from nutmegscale import config_forms
from nutmegscale import errors

EXIT_OK = 0
EXIT_ERRORS = 1
EXIT_WARNINGS = 3
PLAIN_WIDTH = 160


class InForce(NamedTuple):
    """What the hosts have in force.

    Attributes:
      document: The document, as the operators' port gives it.
      problems: One message for each host that didn't answer, or has another
        configuration than the first one.
    """

    document: Any
    problems: list[str]


def run(args: argparse.Namespace, in_force: InForce | None) -> int:
    """Check a configuration, and print what was found and what differs.

    Args:
      args: Arguments of the command.
      in_force: What the hosts have in force; None if they weren't asked.

    Returns:
      The exit status.
    """
    report = _make_report(args, in_force)
    if args.json:
        _print_json(report)
    else:
        _print_tables(report, is_compared=bool(args.against or in_force))
    if report.count("error"):
        return EXIT_ERRORS
    if args.strict and report.count("warning"):
        return EXIT_WARNINGS
    return EXIT_OK


def _make_report(
    args: argparse.Namespace, in_force: InForce | None
) -> config_check.Report:
    forms = (*args.forms, config_forms.FolderForm())
    found = []
    old = None
    try:
        if args.against:
            old = config_forms.read(args.against, forms)
        elif in_force is not None:
            old = config_forms.from_host(in_force.document)
    except errors.ConfigError as exc:
        found.append(config_check.from_error(exc, "in_force_invalid"))
    for problem in in_force.problems if in_force else ():
        place = config_check.Place()
        found.append(
            config_check.Finding("warning", "hosts_differ", place, problem)
        )
    stated = {
        name: getattr(args, name)
        for name in config_check.Assumptions._fields
        if getattr(args, name) is not None
    }
    assumed = config_check.Assumptions(**stated)
    try:
        new = config_forms.read(args.path, forms)
        report = config_check.check(new, old, assumed)
    except errors.ConfigError as exc:
        report = config_check.Report((config_check.from_error(exc),))
    return report._replace(findings=(*found, *report.findings))


def _print_json(report: config_check.Report) -> None:
    value = {
        "errors": report.count("error"),
        "warnings": report.count("warning"),
        "findings": [
            {
                "level": finding.level,
                "code": finding.code,
                **finding.place._asdict(),
                "message": finding.message,
            }
            for finding in report.findings
        ],
        "differences": [item._asdict() for item in report.differences],
    }
    sys.stdout.write(
        json.dumps(value, ensure_ascii=False, sort_keys=True) + "\n"
    )


def _print_tables(report: config_check.Report, *, is_compared: bool) -> None:
    from rich import console  # noqa: PLC0415
    from rich import table  # noqa: PLC0415
    from rich import text  # noqa: PLC0415

    out = console.Console(width=None if sys.stdout.isatty() else PLAIN_WIDTH)
    styles = {"error": "bold red", "warning": "yellow", "note": "cyan"}
    if report.findings:
        shown = table.Table(title="Findings", title_justify="left")
        for name in ("level", "code", "place", "message"):
            shown.add_column(name, overflow="fold")
        for finding in report.findings:
            # Text, so that brackets in names aren't read as markup.
            shown.add_row(
                text.Text(finding.level, styles[finding.level]),
                text.Text(finding.code),
                text.Text(_place_text(finding.place)),
                text.Text(finding.message),
            )
        out.print(shown)
    if report.differences:
        shown = table.Table(title="Differences", title_justify="left")
        for name in ("entry", "change", "field", "old", "new"):
            shown.add_column(name, overflow="fold")
        for item in report.differences:
            entry = ".".join(part for part in (item.section, item.name) if part)
            cells = (entry, item.change, item.field, *_values(item))
            shown.add_row(*(text.Text(cell) for cell in cells))
        out.print(shown)
    elif is_compared and not report.count("error"):
        sys.stdout.write("no differences\n")
    sys.stdout.write(
        f"{report.count('error')} errors, {report.count('warning')} warnings\n"
    )


def _values(item: config_check.Difference) -> tuple[str, str]:
    return _value_text(item.old), _value_text(item.new)


def _value_text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, str):
        return value
    if isinstance(value, dict):
        return "\n".join(f"{k}: {_value_text(v)}" for k, v in value.items())
    return json.dumps(value, ensure_ascii=False)


def _place_text(place: config_check.Place) -> str:
    at = f"{place.file}:{place.line}" if place.line else place.file
    return "\n".join(part for part in (at, place.key) if part)
