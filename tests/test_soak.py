"""Runs the soak test briefly, with real daemons and a fixed seed."""

import pathlib
import subprocess
import sys

SEED = 1


def test_soak_keeps_every_promise(tmp_path: pathlib.Path) -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "tools.soak",
            "--seed",
            str(SEED),
            "--minutes",
            "0.1",
            "--hosts",
            "3",
            "--callers",
            "6",
            "--out",
            str(tmp_path),
        ],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stdout[-2_000:] + done.stderr[-2_000:]
