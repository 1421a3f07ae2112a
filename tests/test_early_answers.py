"""Tests of answers that end before their request was sent, on real sockets.

A server answered a long upload at once without a length, and closed. What it
had sent was taken for the whole answer.
"""

import asyncio
from collections.abc import Callable
import contextlib
import socket
import struct
import threading
from typing import Any

import pytest
from twisted.internet import asyncioreactor
from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import upstream
from nutmegscale import upstream_call

UPLOAD_BYTES = 2 << 20
TIMEOUT_S = 5.0
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nfirst part"
FRAMED = (
    b"HTTP/1.1 413 Too Large\r\nRequest-Id: r1\r\n"
    b"Content-Length: 5\r\n\r\nlarge"
)

Script = Callable[[socket.socket], None]
# Set once the caller has its answer or failure.
_answered = threading.Event()


def _read_head(connection: socket.socket) -> int:
    """Read the head of a request; return the size of the rest of the body."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += connection.recv(1_024)
    return UPLOAD_BYTES - len(received.partition(b"\r\n\r\n")[2])


def _reset(connection: socket.socket) -> None:
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _end_then_reset(connection: socket.socket) -> None:
    _read_head(connection)
    connection.sendall(UNFRAMED)
    connection.shutdown(socket.SHUT_WR)
    _answered.wait(TIMEOUT_S)
    _reset(connection)


def _reset_at_once(connection: socket.socket) -> None:
    _read_head(connection)
    connection.sendall(UNFRAMED)
    _reset(connection)


def _close_unread(connection: socket.socket) -> None:
    _read_head(connection)
    connection.sendall(UNFRAMED)


def _read(connection: socket.socket, size: int) -> None:
    while size > 0:
        size -= len(connection.recv(64 << 10))


def _answer_read_request(connection: socket.socket) -> None:
    _read(connection, _read_head(connection))
    connection.sendall(UNFRAMED)


def _answer_early_and_read_on(connection: socket.socket) -> None:
    size = _read_head(connection)
    connection.sendall(UNFRAMED)
    _read(connection, size)


def _reject_early(connection: socket.socket) -> None:
    _read_head(connection)
    connection.sendall(FRAMED)
    _answered.wait(TIMEOUT_S)


def _serve(listener: socket.socket, script: Script) -> None:
    connection, _ = listener.accept()
    with connection, contextlib.suppress(ConnectionError):
        script(connection)


async def _call(address: str) -> tuple[int, bytes]:
    loop = asyncio.get_running_loop()
    reactor: Any = asyncioreactor.AsyncioSelectorReactor(loop)
    pool = upstream.UpstreamPool(reactor, reactor)
    head = http_message.RequestHead(
        b"POST", b"/", ((b"Host", b"x"), (b"Request-Id", b"r1"))
    )
    request = upstream_call.Request(head, bytes(UPLOAD_BYTES), b"r1")

    async def _read() -> tuple[int, bytes]:
        call = await pool.call(address, request)
        answer = await call.head(TIMEOUT_S)
        return answer.status, await call.body(TIMEOUT_S, 1 << 20)

    return await defer.ensureDeferred(_read()).asFuture(loop)


def _ask(script: Script) -> tuple[int, bytes]:
    """Send a long upload to a server; return its answer."""
    _answered.clear()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        thread = threading.Thread(target=_serve, args=(listener, script))
        thread.start()
        try:
            return asyncio.run(_call(f"127.0.0.1:{listener.getsockname()[1]}"))
        finally:
            _answered.set()
            thread.join(TIMEOUT_S)


@pytest.mark.parametrize(
    "script", [_end_then_reset, _reset_at_once, _close_unread]
)
def test_answer_that_ends_before_its_request_was_sent_is_incomplete(
    script: Script,
) -> None:
    with pytest.raises(errors.TransportError):
        _ask(script)


@pytest.mark.parametrize(
    ("script", "expected"),
    [
        (_answer_read_request, (200, b"first part")),
        (_answer_early_and_read_on, (200, b"first part")),
        (_reject_early, (413, b"large")),
    ],
)
def test_answer_whose_end_is_known_is_complete(
    script: Script, expected: tuple[int, bytes]
) -> None:
    assert _ask(script) == expected
