"""Tests of the signals of the platform's daemon, with a real process."""

import os
import pathlib
import signal
import subprocess
import sys

from nutmegscale import platform_daemon

TIMEOUT_S = 20.0


def test_a_reload_signal_at_the_start_doesnt_end_the_process(
    tmp_path: pathlib.Path,
) -> None:
    """The process waits for its settings when the signal comes."""
    settings = tmp_path / "local.toml"
    os.mkfifo(settings)
    environment = {**os.environ, "NUTMEGSCALE_SETTINGS": str(settings)}
    with subprocess.Popen(
        [sys.executable, "-m", "nutmegscale.platform_daemon"],
        env=environment,
        stderr=subprocess.PIPE,
    ) as process:
        # Opens once the process has opened the other end to read.
        with settings.open("w", encoding="utf-8") as written:
            process.send_signal(signal.SIGHUP)
            written.write("[bounds")
        process.wait(TIMEOUT_S)
    assert process.returncode == platform_daemon.EXIT_USAGE


def test_a_reload_signal_at_the_start_is_handled_later() -> None:
    reload_signal = platform_daemon.ReloadSignal()
    reloads: list[int] = []
    reload_signal.on_signal(signal.SIGHUP, None)
    reload_signal.attach(lambda: reloads.append(1))
    assert len(reloads) == 1
    reload_signal.on_signal(signal.SIGHUP, None)
    assert len(reloads) == 2


def test_the_daemon_handles_signals_before_it_loads_large_modules() -> None:
    """Until then, a reload signal ends the process."""
    loaded = subprocess.run(
        [
            sys.executable,
            "-c",
            "import sys, nutmegscale.platform_daemon\n"
            "print(*sorted(sys.modules))",
        ],
        capture_output=True,
        check=True,
        text=True,
        timeout=TIMEOUT_S,
    ).stdout.split()
    assert not {"asyncio", "twisted", "msgspec", "pynng"} & set(loaded)
