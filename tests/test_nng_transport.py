"""Test of the port for messages between hosts, with a real socket."""

import asyncio
import socket
import struct

import pytest

from nutmegscale import envelope
from nutmegscale import nng_transport

# Greeting of a push socket, by nng's mapping to TCP.
PUSH_GREETING = b"\0SP\0\0\x50\0\0"
TIMEOUT_S = 10.0


async def _send(stated_bytes: int, data: bytes) -> list[bytes]:
    """Send a message of a stated length; return what the host received."""
    received: list[bytes] = []
    arrived = asyncio.Event()

    def _receive(message: bytes) -> None:
        received.append(message)
        arrived.set()

    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    loop = asyncio.get_running_loop()
    transport = nng_transport.NngTransport(loop, f"tcp://127.0.0.1:{port}")
    transport.start(_receive)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(PUSH_GREETING + struct.pack(">Q", stated_bytes) + data)
        await reader.readexactly(len(PUSH_GREETING))
        closed = asyncio.ensure_future(reader.read())
        ended = asyncio.ensure_future(arrived.wait())
        await asyncio.wait(
            [closed, ended],
            timeout=TIMEOUT_S,
            return_when=asyncio.FIRST_COMPLETED,
        )
        assert closed.done() or received, "neither received nor closed"
        closed.cancel()
        ended.cancel()
    finally:
        writer.close()
        transport.stop()
    return received


@pytest.mark.parametrize("excess", [0, 1])
def test_a_message_over_the_limit_is_never_received(excess: int) -> None:
    """A host took messages of any stated length, up to all its memory."""
    size = envelope.MAX_MESSAGE_BYTES + excess
    try:
        received = asyncio.run(_send(size, bytes(size)))
    except ConnectionError:
        received = []
    assert [len(message) for message in received] == [size] * (1 - excess)
