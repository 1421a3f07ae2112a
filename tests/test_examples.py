"""Tests that the examples print the documented output."""

import pytest

from examples import embed


def test_embedded_parts_work_without_the_daemon(
    capsys: pytest.CaptureFixture[str],
) -> None:
    embed.main()
    assert capsys.readouterr().out == (
        "alive: a, b\nfences: 1 None\nslots held: 1\n"
    )
