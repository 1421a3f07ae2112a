"""Servers and callers of a plain service."""

import asyncio

import world

ORDINARY_BYTES = 600
CHUNK_BYTES = 65_536
RETRY_PAUSE_S = 0.2


class PlainServer:
    """A sound server that reads requests as they come."""

    def __init__(self, name: str, *, run_s: float) -> None:
        self._run_s = run_s
        self.name = name
        self.address = ""
        self.received: set[str] = set()

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await world.read_message(reader)) is not None:
                request_id = message.headers.get("request-id", "")
                self.received.add(request_id)
                await asyncio.sleep(self._run_s)
                headers = {
                    "Request-Id": request_id,
                    "Response-Signature": f"s-{request_id}",
                    "Server-Load": "1,0,6",
                }
                writer.write(world.encode_answer(200, headers, b"confirmed"))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class Callers:
    """The callers, and what became of their requests."""

    def __init__(
        self,
        host: world.RouterProcess,
        record: world.Record,
        *,
        has_chunks: bool = True,
    ) -> None:
        self._has_chunks = has_chunks
        self._host = host
        self._record = record
        self._is_over = False
        self.answers: dict[int, int] = {}
        self.lost: list[str] = []

    def stop(self) -> None:
        """Let each caller end after its present request."""
        self._is_over = True

    async def run_caller(
        self,
        name: str,
        body_bytes: int = ORDINARY_BYTES,
        *,
        pause_s: float = 0.0,
    ) -> None:
        """Send requests on kept connections, one after the other.

        Args:
          name: Name of the caller.
          body_bytes: Length of the body of each request but the first ones of
            the connections, which are ordinary.
          pause_s: Time between two requests, seconds.
        """
        caller: world.Caller | None = None
        number = 0
        while not self._is_over:
            await asyncio.sleep(pause_s)
            number += 1
            if caller is None:
                caller = await self._connect(f"{name}-{number}-first")
            if caller is None:
                await asyncio.sleep(RETRY_PAUSE_S)
                continue
            request = f"{name}-{number}"
            answer = await self._send(caller, request, bytes(body_bytes))
            if answer is None:
                self.lost.append(request)
            if answer is None or answer.headers.get("connection") == "close":
                caller.close()
                caller = None
        if caller is not None:
            caller.close()

    async def _connect(self, request: str) -> world.Caller | None:
        """Open a connection and send an ordinary request on it."""
        try:
            caller = await world.connect(self._host.ip, world.FRONT_PORT)
        except (OSError, TimeoutError):
            return None
        answer = await self._send(caller, request, bytes(ORDINARY_BYTES))
        if answer is not None and answer.status == 200:
            return caller
        caller.close()
        return None

    async def _send(
        self, caller: world.Caller, request: str, body: bytes
    ) -> world.Message | None:
        is_chunked = self._has_chunks and len(body) > CHUNK_BYTES
        answer = await caller.ask(
            "POST",
            "/confirm/entry",
            {"Request-Id": request, "Deadline-Ms": "5000"},
            body,
            chunk_bytes=CHUNK_BYTES if is_chunked else 0,
        )
        status = answer.status if answer else 0
        self.answers[status] = self.answers.get(status, 0) + 1
        self._record.add(
            f"{request}: {len(body)} bytes sent, "
            f"{f'answered {status}' if status else 'connection ended'}"
        )
        return answer


def count_lost(callers: list[Callers], servers: list[PlainServer]) -> int:
    """Count the requests that a server received and that got no answer."""
    received = set().union(*(server.received for server in servers))
    return sum(name in received for c in callers for name in c.lost)
