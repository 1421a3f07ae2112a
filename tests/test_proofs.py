"""Checks that docs/PROOFS.md and KNOWN-RED.txt name existing tests."""

import pathlib
import re

PAGE = pathlib.Path("docs/PROOFS.md")
TEST_REFERENCE = re.compile(r"`(test_\w+\.py)::(test_\w+)`")


def test_each_row_names_a_test_that_exists() -> None:
    rows = [
        line
        for line in PAGE.read_text(encoding="utf-8").splitlines()
        if line.startswith("| ")
        and not line.startswith(("| promise", "| report", "| ---"))
    ]
    assert len(rows) > 30
    for row in rows:
        match = TEST_REFERENCE.search(row)
        assert match, row
        text = pathlib.Path("tests", match[1]).read_text(encoding="utf-8")
        assert f"def {match[2]}(" in text, row


def test_every_promise_has_a_row() -> None:
    text = PAGE.read_text(encoding="utf-8")
    for number in range(1, 9):
        assert re.search(rf"^\| {number} \w", text, re.MULTILINE), number


def test_each_known_red_entry_is_whole() -> None:
    lines = pathlib.Path("KNOWN-RED.txt").read_text(encoding="utf-8")
    for line in lines.splitlines():
        if line.startswith("#") or not line:
            continue
        test, command, seen, issue = (part.strip() for part in line.split("|"))
        path, _, name = test.partition("::")
        text = pathlib.Path(path).read_text(encoding="utf-8")
        assert f"def {name.partition('[')[0]}(" in text
        assert command and seen and issue
