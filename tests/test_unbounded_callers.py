"""Tests of a real daemon against callers that ignore limits.

They guard against a daemon that exceeds the memory or the file descriptors of
its machine, and is killed, because of what a few callers send or don't read.
Each test starts a daemon on loopback with lowered limits and checks only that
it lives, stays within its bounds, and answers an ordinary request afterwards.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import os
import pathlib
import selectors
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import pytest

from standins import loopback_site

# The daemon needs about 50 MB; the smallest machine has 128 MB.
MEMORY_MB = 100
MAX_FDS = 500
CALLER_PORT = 18_144
RELAY_PORT = 17_661
READY_PORT = 18_140
SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "maadi"
internalPorts = [17660, 17675]
bootstrap = true
[listen]
front = "{ip}:18144"
ready = "{ip}:18140"
[limits]
memoryMb = {memory_mb}
maxFds = {max_fds}
[platform]
address = "{store}"
"""
HEAD = b"POST /slot/x HTTP/1.1\r\nHost: clubs.example\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# A crowd whose sockets take no more data for this time has sent what it can.
STALL_S = 2.0
START_TIMEOUT_S = 30.0
PIECE_BYTES = 64 << 10


class Kind(NamedTuple):
    """Callers of one kind.

    Attributes:
      callers: Number of connections, opened at once.
      send: Returns what one of them sends, in pieces.
      is_slow: Whether the pieces are sent one at a time, in turn.
      pieces: Most pieces that one of them sends.
    """

    callers: int
    send: Callable[[], Iterator[bytes]]
    is_slow: bool = False
    pieces: int = 1 << 20


def _repeat(head: bytes, unit: bytes, size: int) -> Iterator[bytes]:
    """Yield a head and a unit repeated to a size, in pieces."""
    yield head
    whole = unit * max(1, PIECE_BYTES // len(unit))
    for _ in range(size // len(whole)):
        yield whole
    yield unit * (size % len(whole) // len(unit))


def _in_chunks(chunk_bytes: int, size: int) -> Callable[[], Iterator[bytes]]:
    """Return a body in chunks without its end; `size` counts the body."""
    unit = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    wire = size // chunk_bytes * len(unit)
    return lambda: _repeat(CHUNKED, unit, wire)


def _once(data: bytes) -> Callable[[], Iterator[bytes]]:
    return lambda: iter([data])


SHORT_LINES = HEAD + b"a:\r\n" * 4_060
LAST_CHUNK = b"1\r\nx\r\n0\r\n"
LONG_REQUEST = (
    HEAD.replace(b"/slot/x", loopback_site.LONG_PREFIX)
    + b"Content-Length: 0\r\n\r\n"
)
KINDS = {
    "short_lines_unfinished": Kind(400, _once(SHORT_LINES)),
    "short_lines_and_no_body": Kind(
        400, _once(SHORT_LINES[:-100] + b"Content-Length: 5\r\n\r\nx")
    ),
    "long_name": Kind(400, _once(HEAD + b"n" * 16_000)),
    "empty_values": Kind(400, _once(HEAD + b"name:\r\n" * 2_300)),
    "many_colons": Kind(400, _once(HEAD + b"a:::::\r\n" * 2_000)),
    "chunks_of_1": Kind(8, _in_chunks(1, 1_000_000)),
    "chunks_of_2": Kind(4, _in_chunks(2, 4_000_000)),
    "chunks_of_2_many_callers": Kind(400, _in_chunks(2, 30_000)),
    "chunks_of_64k": Kind(24, _in_chunks(1 << 16, 4_000_000)),
    "chunk_extensions": Kind(
        4, lambda: _repeat(CHUNKED, b"2;" + b"e" * 100 + b"\r\nxx\r\n", 8 << 20)
    ),
    "endless_chunk_extension": Kind(
        8, lambda: _repeat(CHUNKED + b"2;", b"e" * 1_000, 16 << 20)
    ),
    "trailers": Kind(
        8, lambda: _repeat(CHUNKED + LAST_CHUNK, b"a: b\r\n", 4 << 20)
    ),
    "endless_trailer": Kind(
        8, lambda: _repeat(CHUNKED + LAST_CHUNK + b"a: ", b"v" * 1_000, 8 << 20)
    ),
    "bodies_under_64k": Kind(
        440,
        lambda: _repeat(HEAD + b"Content-Length: 65500\r\n\r\n", b"x", 65_499),
    ),
    "bodies_over_64k": Kind(
        440,
        lambda: _repeat(HEAD + b"Content-Length: 65600\r\n\r\n", b"x", 65_599),
    ),
    "idle": Kind(900, lambda: iter([])),
    "pipelined_heads": Kind(
        40, lambda: _repeat(b"", HEAD + b"Content-Length: 0\r\n\r\n", 1 << 20)
    ),
    "unread_answers": Kind(60, _once(LONG_REQUEST)),
    "unread_answers_in_turn": Kind(
        6,
        # The next request waits for the answer, which isn't read.
        lambda: itertools.cycle([LONG_REQUEST, *[b""] * 30]),
        is_slow=True,
        pieces=8 * 31,
    ),
    "a_byte_at_a_time": Kind(
        100, lambda: (HEAD[n : n + 1] for n in range(len(HEAD))), is_slow=True
    ),
}


class _Caller:
    """One connection; what it can't send at once waits."""

    def __init__(self, address: tuple[str, int], kind: Kind) -> None:
        self._pieces = itertools.islice(kind.send(), kind.pieces)
        self._rest = memoryview(b"")
        self.is_slow = kind.is_slow
        self.is_done = False
        self.socket = socket.socket()
        # A small window, so that unread answers stay at the daemon.
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self) -> None:
        """Send the next piece, or what is left of it."""
        if not self._rest:
            piece = next(self._pieces, None)
            if piece is None:
                self.is_done = True
                return
            self._rest = memoryview(piece)
        try:
            self._rest = self._rest[self.socket.send(self._rest) :]
        except BlockingIOError:
            return
        except OSError:
            # The daemon has closed the connection, or the port is full.
            self.is_done = True


class _Daemon:
    """A daemon with a store and a plain server, on loopback."""

    def __init__(self, folder: pathlib.Path) -> None:
        pid = os.getpid()
        self.ip = f"127.{100 + pid % 100}.{pid // 100 % 250}.11"
        self._most_fds = 0
        self._log = folder / "daemon.log"
        self._site = subprocess.Popen(
            [sys.executable, "-m", "standins.loopback_site"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert self._site.stdout is not None
        store = self._site.stdout.readline().decode().strip()
        settings = folder / "host.toml"
        text = SETTINGS.format(
            name=loopback_site.HOST_NAME,
            ip=self.ip,
            store=store,
            memory_mb=MEMORY_MB,
            max_fds=MAX_FDS,
        )
        settings.write_text(text, encoding="utf-8")
        environment = {**os.environ, "NUTMEGSCALE_SETTINGS": str(settings)}
        with open(self._log, "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "nutmegscale.platform_daemon"],
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.wait_for_answer(CALLER_PORT)

    def stop(self) -> None:
        """Kill the daemon and end its store."""
        self.process.kill()
        self.process.wait()
        assert self._site.stdin is not None
        self._site.stdin.close()
        self._site.wait()

    def wait_for_answer(self, port: int) -> None:
        """Send an ordinary request until one is answered with 200."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        answer = b""
        while not answer.startswith(b"HTTP/1.1 200"):
            assert self.process.poll() is None, self._log.read_text()
            assert time.monotonic() < give_up_at, answer
            answer = self._ask(port)
            time.sleep(0.05)

    def _ask(self, port: int) -> bytes:
        try:
            with socket.create_connection((self.ip, port), 5.0) as opened:
                opened.sendall(HEAD + b"Content-Length: 2\r\n\r\nhi")
                return opened.recv(4_096)
        except OSError as exc:
            return str(exc).encode()

    def check_bounds(self) -> None:
        """Check that the daemon lives within its machine."""
        assert self.process.poll() is None, self._log.read_text()
        folder = pathlib.Path(f"/proc/{self.process.pid}")
        self._most_fds = max(self._most_fds, len(os.listdir(folder / "fd")))
        status = (folder / "status").read_text(encoding="utf-8")
        lines = (line.split() for line in status.splitlines())
        peak_mb = next(int(w[1]) for w in lines if w[0] == "VmHWM:") >> 10
        figures = f"{peak_mb} MB at most, {self._most_fds} descriptors"
        assert peak_mb <= MEMORY_MB, figures
        assert self._most_fds <= MAX_FDS, figures


@pytest.fixture
def daemon(tmp_path: pathlib.Path) -> Iterator[_Daemon]:
    """Start a daemon for one test."""
    started = _Daemon(tmp_path)
    try:
        yield started
    finally:
        started.stop()


def _send_all(daemon: _Daemon, callers: list[_Caller]) -> None:
    """Send what the callers have to send, as far as the daemon takes it."""
    with selectors.DefaultSelector() as selector:
        for caller in callers:
            selector.register(caller.socket, selectors.EVENT_WRITE, caller)
        while selector.get_map():
            ready = selector.select(STALL_S)
            if not ready:
                break
            for key, _ in ready:
                key.data.send()
                if key.data.is_done:
                    selector.unregister(key.fileobj)
            if any(key.data.is_slow for key, _ in ready):
                time.sleep(0.02)
            daemon.check_bounds()


def _run_crowd(daemon: _Daemon, port: int, kinds: list[Kind]) -> None:
    with contextlib.ExitStack() as stack:
        callers = [
            _Caller((daemon.ip, port), kind)
            for kind in kinds
            for _ in range(kind.callers)
        ]
        for caller in callers:
            stack.callback(caller.socket.close)
        _send_all(daemon, callers)
        # The daemon has handled what was sent once it handles what follows.
        for _ in range(20):
            time.sleep(0.05)
            daemon.check_bounds()
    daemon.wait_for_answer(port)
    daemon.check_bounds()


PORTS = {"callers": CALLER_PORT, "relay": RELAY_PORT}


@pytest.mark.parametrize("port", PORTS)
@pytest.mark.parametrize("name", KINDS)
def test_callers_of_a_kind_dont_take_the_daemon_beyond_its_machine(
    daemon: _Daemon, name: str, port: str
) -> None:
    _run_crowd(daemon, PORTS[port], [KINDS[name]])


@pytest.mark.parametrize("port", PORTS)
def test_callers_of_all_kinds_dont_take_the_daemon_beyond_its_machine(
    daemon: _Daemon, port: str
) -> None:
    mixed = [
        kind._replace(callers=max(1, kind.callers // 10))
        for kind in KINDS.values()
    ]
    _run_crowd(daemon, PORTS[port], mixed)
