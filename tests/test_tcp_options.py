"""Tests of the socket options against silences that are sound.

The kernel gives a connection up by `TCP_USER_TIMEOUT` whatever the count of
keep-alive probes says. A server that is silent for 1.5 s goes on.
"""

import contextlib
import socket
import threading
import time
from typing import Any

from nutmegscale import tcp_options

SOUND_SILENCE_S = 1.5
# Bound on the time until a dead connection is given up, seconds.
MAX_DETECTION_S = 4.0


class _Transport:
    """The part of a Twisted transport that the options need."""

    def __init__(self, handle: socket.socket) -> None:
        self._handle = handle

    def getHandle(self) -> socket.socket:  # noqa: N802
        return self._handle

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        self._handle.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, int(enabled)
        )

    def setTcpKeepAlive(self, enabled: bool) -> None:  # noqa: N802
        self._handle.setsockopt(
            socket.SOL_SOCKET, socket.SO_KEEPALIVE, int(enabled)
        )


def _option(handle: socket.socket, option: int) -> int:
    return handle.getsockopt(socket.IPPROTO_TCP, option)


def _connect(stack: contextlib.ExitStack) -> tuple[Any, Any]:
    listener = stack.enter_context(socket.create_server(("127.0.0.1", 0)))
    client = stack.enter_context(
        socket.create_connection(listener.getsockname())
    )
    server = stack.enter_context(listener.accept()[0])
    tcp_options.apply(_Transport(client))
    return client, server


def test_the_kernel_bears_a_sound_silence_and_finds_a_dead_connection() -> None:
    with contextlib.ExitStack() as stack:
        client, _ = _connect(stack)
        give_up_s = _option(client, socket.TCP_USER_TIMEOUT) / 1000
        first_probe_s = _option(client, socket.TCP_KEEPIDLE)
        period_s = _option(client, socket.TCP_KEEPINTVL)
        assert client.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
    # The first probe at or after the timeout gives an idle connection up.
    assert give_up_s > SOUND_SILENCE_S
    assert max(give_up_s, first_probe_s) + period_s <= MAX_DETECTION_S


def test_a_server_that_is_silent_on_a_real_connection_is_read_on() -> None:
    with contextlib.ExitStack() as stack:
        client, server = _connect(stack)
        server.sendall(b"first")

        def _send_later() -> None:
            time.sleep(SOUND_SILENCE_S)
            server.sendall(b"second")

        thread = threading.Thread(target=_send_later)
        thread.start()
        stack.callback(thread.join)
        client.settimeout(5.0)
        received = b""
        while len(received) < len(b"firstsecond"):
            received += client.recv(100)
    assert received == b"firstsecond"
