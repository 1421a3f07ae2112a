"""Tests of the commands that read the logs of several hosts."""

import pathlib

import pytest

from nutmegscale import cli
from nutmegscale import explanation
from nutmegscale import log_lines

HOST_A = """\
timestamp=2026-01-01T00:00:02Z level=info event=slot_refused request=r1.1 \
asker=b reason=no_slot_in_time host=a
timestamp=2026-01-01T00:00:01Z level=info event=started host=a
noise without pairs
"""
HOST_B = """\
 12.5 b timestamp=2026-01-01T00:00:03Z level=info event=request_failed \
request=r1 status=503 reason=no_slot_in_time why="a \\"b\\" c" host=b
timestamp=2026-01-01T00:00:04Z level=info event=request_answered request=r11 \
status=200 age_ms=41.0 host=b
"""


@pytest.fixture(name="files")
def _files(tmp_path: pathlib.Path) -> list[str]:
    for name, text in (("a.log", HOST_A), ("b.log", HOST_B)):
        (tmp_path / name).write_text(text, encoding="utf-8")
    return [str(tmp_path / "a.log"), str(tmp_path / "b.log")]


def test_line_is_read_back_whatever_stands_before() -> None:
    line = log_lines.parse(HOST_B.splitlines()[0])
    assert line is not None
    assert (line.host, line.event, line.request) == (
        "b",
        "request_failed",
        "r1",
    )
    assert line.get("why") == 'a "b" c'
    assert log_lines.parse("nothing here") is None


def test_explain_merges_hosts_and_gives_a_verdict(
    files: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["explain", "r1", *files]) == 0
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith("2026-01-01T00:00:02Z a slot_refused r1.1")
    assert lines[1].startswith("2026-01-01T00:00:03Z b request_failed r1")
    assert lines[2] == (
        "verdict: 503: refused: every decode slot was held, and none was"
        " expected free before the caller would leave (before: slot_refused)"
    )
    assert len(lines) == 3


def test_explain_of_an_unknown_request_fails(
    files: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["explain", "nobody", *files]) == 1
    assert "no line about it" in capsys.readouterr().out
    assert cli.main(["explain", "r1", "missing.log"]) == 1
    assert "can't read the log" in capsys.readouterr().err


def test_timeline_reads_the_same_events(
    files: list[str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert cli.main(["timeline", "--log", *files]) == 0
    events = [x.split()[2] for x in capsys.readouterr().out.splitlines()]
    assert events == [
        "started",
        "slot_refused",
        "request_failed",
        "request_answered",
    ]


def test_verdict_breaks_down_the_latency_of_a_stream() -> None:
    line = log_lines.parse(
        "event=request_answered request=r status=200 first_ms=950.0"
        " slot_ms=700.0 prefill_ms=200.0 waited_ms=0.0 longest_gap_ms=60.0"
    )
    assert line is not None
    verdict = explanation.explain([line]).verdict
    assert "first event after 950.0 ms, of which 700.0 ms for a slot" in verdict


def _line(text: str) -> log_lines.LogLine:
    line = log_lines.parse(text)
    assert line is not None
    return line


@pytest.mark.parametrize(
    ("changes", "said"),
    [
        (
            ["a 3 02", "a 4 05"],
            "; version 3 was in force on a since 02, and 4 came at 05",
        ),
        (
            ["a 3 01", "b 4 02", "b 5 04"],
            "; version 3 was in force on a since 01; b already had 4, since 02",
        ),
        (["b 4 02", "a x 01"], "; version 0 was in force on a since 01"),
        ([], ""),
    ],
)
@pytest.mark.parametrize("reason", ["unknown_key", "unknown_customer"])
def test_verdict_on_a_customer_tells_the_versions_of_hosts(
    reason: str, changes: list[str], said: str
) -> None:
    """Guards against a key that is too new being taken for a wrong one."""
    refusal = _line(
        f"timestamp=03 event=request_failed request=r status=401"
        f" reason={reason} host=a"
    )
    lines = [
        f"timestamp={at} event=config_in_force version={number} host={host}"
        for host, number, at in (change.split() for change in changes)
    ]
    found = log_lines.of_event(lines, explanation.CONFIG_EVENT)
    verdict = explanation.explain([refusal], found).verdict
    assert verdict.startswith("401: ")
    assert verdict.endswith(said) if said else "version" not in verdict
