"""Transport of sealed messages over nng push and pull sockets."""

import asyncio
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import pynng

from nutmegscale import envelope

SEND_BUFFER_MESSAGES = 128
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1_000
MIN_RESET_PERIOD_S = 0.4


class _Link(NamedTuple):
    """Connection to a peer.

    Attributes:
      address: Address that was dialed.
      socket: Push socket of the connection.
      opened: Event loop time when the socket was created, seconds.
    """

    address: str
    socket: pynng.Push0
    opened: float


class NngTransport:
    """Transport with one pull socket to receive and a push socket per peer."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str) -> None:
        self._loop = loop
        self._address = address
        self._links: dict[str, _Link] = {}
        self._socket: pynng.Pull0 | None = None
        self._receive_task: asyncio.Task[None] | None = None

    def start(self, receive: Callable[[bytes], None]) -> None:
        """Listen and pass every received message to `receive`."""
        # Before it listens: nng takes messages of any stated length otherwise.
        self._socket = pynng.Pull0()
        self._socket.recv_max_size = envelope.MAX_MESSAGE_BYTES
        self._socket.listen(self._address)
        self._receive_task = self._loop.create_task(self._receive(receive))

    async def _receive(self, receive: Callable[[bytes], None]) -> None:
        assert self._socket is not None
        while True:
            try:
                data = await self._socket.arecv()
            except pynng.Closed:
                return
            receive(data)

    def send(self, host: str, address: str, data: bytes) -> None:
        """Send data to a host, or drop it if the send buffer is full."""
        link = self._links.get(host)
        if link is not None and link.address != address:
            link.socket.close()
            link = None
        try:
            if link is None:
                link = self._open(host, address)
            link.socket.send(data, block=False)
        except (pynng.NNGException, ValueError):
            # The buffer is full, or the address that another host stated can't
            # be dialed.
            return

    def _open(self, host: str, address: str) -> _Link:
        socket: Any = pynng.Push0(send_buffer_size=SEND_BUFFER_MESSAGES)
        socket.reconnect_time_min = RECONNECT_MIN_MS
        socket.reconnect_time_max = RECONNECT_MAX_MS
        try:
            socket.dial(address, block=False)
        except (pynng.NNGException, ValueError):
            socket.close()
            raise
        link = _Link(address, socket, self._loop.time())
        self._links[host] = link
        return link

    def reset(self, host: str) -> None:
        """Close the connection to a host; the next message opens a new one.

        Does nothing if the connection is younger than MIN_RESET_PERIOD_S.
        """
        link = self._links.get(host)
        if link is None:
            return
        if self._loop.time() - link.opened < MIN_RESET_PERIOD_S:
            return
        link.socket.close()
        del self._links[host]

    def stop(self) -> None:
        """Close every socket."""
        if self._receive_task is not None:
            self._receive_task.cancel()
        if self._socket is not None:
            self._socket.close()
        for link in self._links.values():
            link.socket.close()
        self._links.clear()
