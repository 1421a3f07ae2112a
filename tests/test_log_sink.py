"""Tests of log output: it never blocks, is bounded, and keeps all failures."""

import os
from typing import Any

import pytest
import structlog

from nutmegscale import log_sink


class _Pipe:
    """Pipe whose reader accepts 50 bytes per write, and none while stalled."""

    def __init__(self) -> None:
        self.is_reading = True
        self.taken = b""

    def write(self, descriptor: int, data: bytes) -> int:
        if not self.is_reading:
            raise BlockingIOError
        self.taken += data[:50]
        return len(data[:50])


def test_reader_that_stops_costs_lines_and_not_the_process() -> None:
    pipe = _Pipe()
    sink = log_sink.LogSink(1, write=pipe.write, max_buffered_bytes=100)
    sink.write("a=1\n")
    pipe.is_reading = False
    for n in range(50):
        sink.write(f"b={n:04}\n")
    assert sink.dropped > 0
    pipe.is_reading = True
    sink.flush()
    lines = pipe.taken.decode().splitlines()
    assert lines[:2] == ["a=1", "b=0000"]
    assert "event=log_lines_left_out" in lines[-1]
    assert sink.dropped == 0


def test_a_full_pipe_never_blocks() -> None:
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    sink = log_sink.LogSink(writer, max_buffered_bytes=10_000)
    for _ in range(20_000):
        sink.write("event=x\n")
    assert sink.dropped > 0
    os.close(reader)
    sink.write("event=y\n")
    os.close(writer)


class _Clock:
    now = 0.0

    def __call__(self) -> float:
        return self.now


def _passes(limit: log_sink.LineLimit, event: str, level: str = "info") -> bool:
    found: Any = {"event": event, "level": level}
    try:
        limit(None, level, found)
    except structlog.DropEvent:
        return False
    return True


def test_volume_is_bounded_at_ten_times_the_typical_load() -> None:
    clock = _Clock()
    dropped_counts: list[int] = []
    limit = log_sink.LineLimit(clock, on_dropped=dropped_counts.append)
    typical = 15
    passed = 0
    for second in range(10):
        clock.now = float(second + 1)
        passed += sum(
            _passes(limit, "request_answered") for _ in range(10 * typical)
        )
    assert passed == 10 * log_sink.MAX_LINES_PER_S
    assert dropped_counts == [10 * typical - log_sink.MAX_LINES_PER_S] * 9


@pytest.mark.parametrize(
    ("event", "level"),
    [("request_failed", "info"), ("store_lost", "warning")],
)
def test_lines_of_failures_are_never_left_out(event: str, level: str) -> None:
    limit = log_sink.LineLimit(_Clock(), max_lines_per_s=3)
    assert all(_passes(limit, event, level) for _ in range(500))
