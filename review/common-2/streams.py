"""Servers of a model service, and callers of its streams."""

import asyncio

import world

STEP_S = 0.01
EVENTS = 2


class StreamServer:
    """A sound decode worker with short answers."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.address = ""

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
                writer.write(
                    b"HTTP/1.1 200 OK\r\n"
                    b"Request-Id: " + request_id.encode() + b"\r\n"
                    b"Response-Signature: s-"
                    + request_id[:16].encode()
                    + b"\r\n"
                    b"Content-Type: text/event-stream\r\n"
                    b"Weight-Versions: 1\r\n"
                    b"Server-Load: 1,0,12\r\n"
                    b"Transfer-Encoding: chunked\r\n\r\n"
                )
                for number in range(1, EVENTS + 1):
                    await asyncio.sleep(STEP_S)
                    event = b"id: %d\ndata: word\n\n" % number
                    writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()


class StreamCallers:
    """Callers of streams whose request ids have a certain length.

    Attributes:
      answers: Number of answers by status, 0 for none.
    """

    def __init__(self, ip: str, id_bytes: int) -> None:
        self._ip = ip
        self._id_bytes = id_bytes
        self._is_over = False
        self._count = 0
        self.answers: dict[int, int] = {}

    def stop(self) -> None:
        """Let each caller end after its present request."""
        self._is_over = True

    async def run_caller(self) -> None:
        """Send requests on kept connections, one after the other."""
        caller: world.Caller | None = None
        while not self._is_over:
            if caller is None:
                try:
                    caller = await world.connect(self._ip, world.FRONT_PORT)
                except (OSError, TimeoutError):
                    await asyncio.sleep(0.2)
                    continue
            answer = await self._send(caller)
            if answer is None or answer.headers.get("connection") == "close":
                caller.close()
                caller = None
        if caller is not None:
            caller.close()

    async def _send(self, caller: world.Caller) -> world.Message | None:
        self._count += 1
        name = f"{self._count:08x}"
        headers = {
            "Request-Id": name.ljust(self._id_bytes, "0"),
            "Model": "m",
            "Token-Count": f"50,{EVENTS}",
            "Prompt-Prefix": f"5c1e07a2:30,{name}:20",
            "Deadline-Ms": "14000",
        }
        answer = await caller.ask("POST", "/waiver/digest", headers, b"waiver")
        status = answer.status if answer else 0
        self.answers[status] = self.answers.get(status, 0) + 1
        return answer
