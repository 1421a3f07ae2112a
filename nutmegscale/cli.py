"""The command line tool `nutmegscale` for operators."""

import argparse
from collections.abc import Callable
from collections.abc import Sequence
import json
import os
import sys
import time
from typing import TYPE_CHECKING
from typing import Any
from typing import NamedTuple
from typing import NoReturn
import uuid

from nutmegscale import __version__
from nutmegscale import config
from nutmegscale import errors
from nutmegscale import folder
from nutmegscale import log_commands
from nutmegscale import operator_client
from nutmegscale import timeline

if TYPE_CHECKING:
    from nutmegscale import config_forms

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
APPLY_TRIES = 5
HOSTS_VARIABLE = "NUTMEGSCALE_HOSTS"
TOKEN_VARIABLE = "NUTMEGSCALE_TOKEN"


class CommandError(errors.NutmegscaleError):
    """A command failed; the message tells the operator what to do."""


class UsageError(CommandError):
    """Arguments of a command contradict each other."""


class Table(NamedTuple):
    """A table for output to a terminal."""

    title: str
    columns: tuple[str, ...]
    rows: Sequence[tuple[str, ...]]


def _print_tables(tables: list[Table]) -> None:
    from rich import console  # noqa: PLC0415
    from rich import table  # noqa: PLC0415

    out = console.Console(width=None if sys.stdout.isatty() else 160)
    for item in tables:
        rich_table = table.Table(title=item.title, title_justify="left")
        for column in item.columns:
            rich_table.add_column(column)
        for row in item.rows:
            rich_table.add_row(*row)
        out.print(rich_table)


def _write(text: str) -> None:
    sys.stdout.write(text + "\n")


def _write_json(value: Any) -> None:
    _write(json.dumps(value, ensure_ascii=False, sort_keys=True))


def _hosts(args: argparse.Namespace) -> list[operator_client.Host]:
    urls = args.host or os.environ.get(HOSTS_VARIABLE, "").split()
    token = os.environ.get(TOKEN_VARIABLE, "")
    if args.token_file:
        try:
            with open(args.token_file, encoding="utf-8") as file:
                token = file.read().strip()
        except OSError as exc:
            raise CommandError(f"can't read the token file: {exc}") from exc
    if not urls:
        raise CommandError(
            f"name a host with --host URL, or set {HOSTS_VARIABLE}"
        )
    if not token:
        raise CommandError(
            f"give the token with --token-file FILE, or set {TOKEN_VARIABLE}"
        )
    return [operator_client.Host(url, token) for url in urls]


def _query_hosts(
    args: argparse.Namespace, path: str
) -> tuple[list[tuple[str, Any]], list[str]]:
    """Send a GET request to every host.

    Returns:
      The URLs and answers of the hosts that answered, and a message for each
      host that didn't.

    Raises:
      CommandError: No host answered.
    """
    answers, unresponsive = [], []
    for host in _hosts(args):
        try:
            answers.append((host.url, operator_client.get(host, path)))
        except operator_client.OperatorError as exc:
            unresponsive.append(f"{host.url}: {exc}")
    if not answers:
        raise CommandError(f"no host answered; {'; '.join(unresponsive)}")
    return answers, unresponsive


def config_check(args: argparse.Namespace) -> int:
    """Check a configuration folder."""
    document = folder.load(args.folder)
    digest = config.digest_of(config.canonical(document))
    if args.json:
        _write_json({"valid": True, "digest": digest})
    else:
        _write(f"valid, digest {digest}")
    return EXIT_OK


def config_show(args: argparse.Namespace) -> int:
    """Print the merged configuration as canonical JSON."""
    content = config.canonical(folder.load(args.folder))
    sys.stdout.buffer.write(content + b"\n")
    sys.stdout.buffer.flush()
    return EXIT_OK


def config_apply(args: argparse.Namespace) -> int:
    """Apply a configuration folder to the deployment."""
    document = folder.load(args.folder)
    hosts = _hosts(args)
    request: dict[str, Any] = {
        "document": document,
        "attempt": args.attempt or uuid.uuid4().hex,
        "base_revision": args.base_revision,
    }
    result = _apply_on_any_host(hosts, request)
    if result["state"] == "conflict":
        raise CommandError(
            f"conflict: revision {result['revision']} won; look at it, then"
            f" apply with --base-revision {result['revision']}"
        )
    if result["state"] != "accepted":
        raise CommandError(
            "the platform can't be reached; apply again with"
            f" --attempt {request['attempt']}"
        )
    if args.json:
        _write_json(result)
    else:
        _write(f"accepted as revision {result['revision']}")
    return EXIT_OK


def _apply_on_any_host(
    hosts: list[operator_client.Host], request: dict[str, Any]
) -> dict[str, Any]:
    """Send an attempt to the hosts in turn until one decides it.

    Sending it again is safe, since an attempt takes effect at most once.
    """
    problem = "no host answered"
    for number in range(APPLY_TRIES):
        host = hosts[number % len(hosts)]
        try:
            result = operator_client.post(host, "/v1/config", request)
        except operator_client.OperatorError as exc:
            problem = f"{host.url}: {exc}"
            continue
        if "state" in result:
            return result
        problem = str(result.get("error", {}).get("message", result))
        if result.get("error", {}).get("type") == "invalid_config":
            break
    raise CommandError(
        f"not known to be accepted: {problem}; apply again with"
        f" --attempt {request['attempt']}"
    )


def config_status(args: argparse.Namespace) -> int:
    """Show the revision in force on each host."""
    answers, unresponsive = _query_hosts(args, "/v1/status")
    revisions = [
        {
            "host": host_status["host"],
            "revision": host_status["revision"],
            "digest": host_status["digest"],
        }
        for _, host_status in answers
    ]
    same = (
        len({(entry["revision"], entry["digest"]) for entry in revisions}) == 1
    )
    if args.json:
        _write_json({"hosts": revisions, "silent": unresponsive, "same": same})
    else:
        rows = [
            (entry["host"], str(entry["revision"]), entry["digest"])
            for entry in revisions
        ] + [(problem, "-", "-") for problem in unresponsive]
        _print_tables(
            [
                Table(
                    "Configuration in force",
                    ("host", "revision", "digest"),
                    rows,
                )
            ]
        )
    return EXIT_OK if same and not unresponsive else EXIT_FAILED


def diff_config(args: argparse.Namespace) -> int:
    """Check a configuration and compare it with the version in force."""
    # Imported here because only this command needs the routes' code.
    from nutmegscale import config_diff  # noqa: PLC0415

    if args.in_force and args.against:
        raise UsageError("give --against or --in-force, not both")
    in_force = None
    if args.in_force:
        answers, problems = _query_hosts(args, "/v1/config")
        _, document = answers[0]
        problems += [
            f"{url}: has another configuration in force"
            for url, other in answers
            if other != document
        ]
        in_force = config_diff.InForce(document, problems)
    return config_diff.run(args, in_force)


def status(args: argparse.Namespace) -> int:
    """Show hosts, workers, slots, exchanges and quarantine."""
    answers, unresponsive = _query_hosts(args, "/v1/status")
    if args.json:
        _write_json(
            {
                "hosts": [host_status for _, host_status in answers],
                "silent": unresponsive,
            }
        )
        return EXIT_OK if not unresponsive else EXIT_FAILED
    hosts = [
        (
            host_status["host"],
            host_status["failure_domain"],
            _state_name(host_status),
            str(host_status["revision"]),
            str(host_status["exchanges"]),
            str(host_status["quarantined"]),
            ", ".join(
                f"{cell}: {counts['slots_held']}"
                for cell, counts in host_status["cells"].items()
            ),
        )
        for _, host_status in answers
    ]
    hosts += [
        (problem, "-", "silent", "-", "-", "-", "-") for problem in unresponsive
    ]
    columns = (
        "host",
        "failure domain",
        "state",
        "revision",
        "exchanges",
        "quarantined",
        "slots held by cell",
    )
    workers = [
        (
            worker["worker"],
            worker["service"],
            worker["role"],
            worker["failure_domain"],
            "leaving" if worker["leaving"] else "live",
        )
        for worker in answers[0][1]["workers"]
    ]
    worker_columns = ("worker", "service", "role", "failure domain", "state")
    _print_tables(
        [
            Table("Hosts", columns, hosts),
            Table("Workers", worker_columns, workers),
        ]
    )
    return EXIT_OK if not unresponsive else EXIT_FAILED


def _state_name(host_status: dict[str, Any]) -> str:
    if host_status["draining"]:
        return "draining"
    return "ready" if host_status["ready"] else "not ready"


def show_timeline(args: argparse.Namespace) -> int:
    """Show the merged timeline of the hosts, causes before their effects."""
    if args.log:
        return log_commands.show_timeline(args)
    path = "/v1/timeline"
    if args.request:
        path += f"?request={args.request}"
    answers, unresponsive = _query_hosts(args, path)
    parts = [
        [timeline.Event(*event) for event in events] for _, events in answers
    ]
    since_s = time.time() - args.last if args.last else 0.0
    events = [e for e in timeline.merge(parts) if e.wall_s >= since_s]
    events = events[-args.limit :]
    if args.json:
        _write_json(
            {"events": [e._asdict() for e in events], "silent": unresponsive}
        )
    else:
        rows = [
            (str(e.lamport), e.host, e.kind, e.request, e.detail)
            for e in events
        ]
        _print_tables(
            [
                Table(
                    "Timeline",
                    ("order", "host", "event", "request", "detail"),
                    rows,
                )
            ]
        )
    return EXIT_OK if not unresponsive else EXIT_FAILED


def drain(args: argparse.Namespace) -> int:
    """Start a graceful shutdown of the given hosts."""
    for host in _hosts(args):
        try:
            operator_client.post(host, "/v1/drain", {})
        except operator_client.OperatorError as exc:
            raise CommandError(f"{host.url}: {exc}; try again") from exc
        _write(f"{host.url} is draining")
    return EXIT_OK


class _Parser(argparse.ArgumentParser):
    """Argument parser that reports errors in one line and refers to --help."""

    def error(self, message: str) -> NoReturn:
        sys.stderr.write(f"{self.prog}: {message}; see {self.prog} --help\n")
        sys.exit(EXIT_USAGE)


def _add_command(
    commands: Any,
    name: str,
    run: Callable[[argparse.Namespace], int],
    *,
    with_hosts: bool = True,
) -> argparse.ArgumentParser:
    summary = (run.__doc__ or "").splitlines()[0]
    parser: argparse.ArgumentParser = commands.add_parser(
        name, help=summary, description=summary
    )
    parser.set_defaults(run=run)
    parser.add_argument("--json", action="store_true", help="print JSON")
    if with_hosts:
        parser.add_argument(
            "--host",
            action="append",
            metavar="URL",
            help="URL of a host's operators' port",
        )
        parser.add_argument("--token-file", metavar="FILE")
    return parser


def _add_diff_arguments(command: argparse.ArgumentParser) -> None:
    command.add_argument(
        "path", metavar="PATH", help="the configuration to check"
    )
    command.add_argument(
        "--against",
        metavar="PATH",
        help="the version that it would replace, in the same form",
    )
    command.add_argument(
        "--in-force",
        action="store_true",
        help="compare with the version in force on the hosts",
    )
    command.add_argument(
        "--strict",
        action="store_true",
        help="exit with 3 if there are warnings and no errors",
    )
    command.add_argument(
        "--stream-tokens",
        type=int,
        metavar="N",
        help="tokens of a typical stream (default: 10000)",
    )
    command.add_argument(
        "--max-fds",
        type=int,
        metavar="N",
        help="file descriptors of a host, to compare connections with",
    )


def _add_config_commands(
    commands: Any, forms: "tuple[config_forms.Form, ...]"
) -> None:
    group = commands.add_parser("config", help="Configuration folder.")
    configs = group.add_subparsers(required=True, metavar="COMMAND")
    for name, run in (("check", config_check), ("show", config_show)):
        command = _add_command(configs, name, run, with_hosts=False)
        command.add_argument("folder", metavar="DIR")
    command = _add_command(configs, "apply", config_apply)
    command.add_argument("folder", metavar="DIR")
    command.add_argument("--base-revision", type=int, metavar="N")
    command.add_argument(
        "--attempt", metavar="NAME", help="name of the attempt, to repeat one"
    )
    _add_command(configs, "status", config_status)
    command = _add_command(configs, "diff", diff_config)
    command.set_defaults(forms=forms)
    _add_diff_arguments(command)


def make_parser(
    forms: "tuple[config_forms.Form, ...]" = (),
) -> argparse.ArgumentParser:
    """Make the parser of the command line.

    Args:
      forms: Forms of a configuration beside the project's own.
    """
    parser = _Parser(prog="nutmegscale", description="Operate nutmegscale.")
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_config_commands(commands, forms)
    _add_command(commands, "status", status)
    command = _add_command(commands, "timeline", show_timeline)
    command.add_argument("--request", metavar="EXCHANGE", default="")
    command.add_argument("--last", type=float, default=0.0, metavar="SECONDS")
    command.add_argument("--limit", type=int, default=200, metavar="N")
    command.add_argument(
        "--log",
        nargs="+",
        metavar="FILE",
        help="read the events from the hosts' logs instead",
    )
    command = _add_command(
        commands, "explain", log_commands.explain, with_hosts=False
    )
    command.add_argument("request", metavar="REQUEST-ID")
    command.add_argument("logs", nargs="+", metavar="LOGFILE")
    _add_command(commands, "drain", drain)
    return parser


def main(
    arguments: Sequence[str] | None = None,
    *,
    forms: "tuple[config_forms.Form, ...]" = (),
) -> int:
    """Run the tool.

    Args:
      arguments: Arguments of the command; None for those of the process.
      forms: Forms of a configuration beside the project's own.

    Returns:
      Exit status: 0 on success, 1 if the command failed or was refused, 3 if
      `config diff --strict` found warnings only. Wrong usage exits with 2.
    """
    args = make_parser(forms).parse_args(arguments)
    try:
        return int(args.run(args))
    except UsageError as exc:
        sys.stderr.write(f"nutmegscale: {exc}\n")
        return EXIT_USAGE
    except errors.NutmegscaleError as exc:
        message = " ".join(str(exc).split())
        sys.stderr.write(f"nutmegscale: {message}\n")
        return EXIT_FAILED
