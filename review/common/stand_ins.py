"""Stand-ins of the store, plain servers and clients, and daemons to test.

Only the standard library is used. Every address is a loopback address.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "clubs.example"
HEARTBEAT_S = 1.2
SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "cairo"
internalPorts = [{internal}, {internal_end}]
bootstrap = {bootstrap}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
memoryMb = 150
maxFds = 4100
linkMbps = {link_mbps}
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
leaseMs = 3000
[platform]
address = "{store}"
form = "table"
"""


class Head:
    """Start line and headers of a message; names are in lower case."""

    def __init__(self, raw: bytes) -> None:
        lines = raw.decode("latin-1").split("\r\n")
        self.start = lines[0].split(" ", 2)
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            if name:
                self.headers[name.strip().lower()] = value.strip()


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a message."""
    return Head((await reader.readuntil(b"\r\n\r\n"))[:-4])


async def read_body(head: Head, reader: asyncio.StreamReader) -> bytes:
    """Read the body of a message, by its length or in chunks."""
    if "chunked" in head.headers.get("transfer-encoding", ""):
        parts = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    length = int(head.headers.get("content-length", "0"))
    return await reader.readexactly(length)


def message(start: str, headers: dict[str, Any], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """Writes what was sent, answered and run to the record of a case."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start."""
        at = time.monotonic() - self._began_at
        self._file.write(f"{at:8.3f} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: rows with versions, a feed and transactions."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.address = ""
        self.era = 1

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"

    def put(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row; None removes it."""
        self._version += 1
        text = None if value is None else base64.b64encode(value).decode()
        self._rows.pop((table, key), None)
        self._rows[table, key] = (self._version, text)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = await read_head(reader)
                body = await read_body(head, reader)
                status, answer = await self._answer(head, body)
                answer = {"ver": self._version, "nowMs": 0, **answer}
                writer.write(
                    message(
                        f"HTTP/1.1 {status} X",
                        {
                            "Content-Type": "application/json",
                            "Store-Era": self.era,
                        },
                        json.dumps(answer).encode(),
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(
        self, head: Head, body: bytes
    ) -> tuple[int, dict[str, Any]]:
        path, _, text = head.start[1].partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if path.endswith("rows-get"):
            rows = self._of(query["table"])
            rows = [row for row in rows if "deleted" not in row]
            rows.sort(key=lambda row: row["key"])
            return 200, {"rows": rows, "hasMore": False}
        if path.endswith("rows-feed"):
            return 200, {"rows": await self._feed(query)}
        return self._apply(json.loads(body))

    def _of(self, table: str, after: int = 0) -> list[dict[str, Any]]:
        found = []
        for (name, key), (version, value) in self._rows.items():
            if name != table or version <= after:
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            found.append(
                {**row, "value": "", "deleted": True}
                if value is None
                else {**row, "value": value}
            )
        return found

    async def _feed(self, query: dict[str, str]) -> list[dict[str, Any]]:
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = self._of(query["table"], int(query["after"]))
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return rows
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _apply(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for expected in call["expected"]:
            known = self._rows.get((expected["table"], expected["key"]))
            version = known[0] if known and known[1] is not None else 0
            if version != expected["ver"]:
                rows = self._of(expected["table"])
                same = [r for r in rows if r["key"] == expected["key"]]
                return 412, {"rows": same}
        for put in call["puts"]:
            value = base64.b64decode(put["value"])
            self.put(put["table"], put["key"], value)
        return 200, {"rows": []}


class PlainServer:
    """A server of a plain service that runs a request and answers it.

    Attributes:
      id: Name under which it registers.
      ran: Ids of the requests that it ran, in order.
      delay_s: Time that a request takes, seconds.
      answer_bytes: Length of its answers.
      version: Version of its software.
    """

    version = "v1"
    _entry: dict[str, Any] = {"slots": 6}

    def __init__(self, store: Store, record: Record, name: str) -> None:
        self._store = store
        self._record = record
        self.id = f"i-{name}-{random.getrandbits(32):08x}"
        self.ran: list[str] = []
        self.delay_s = 0.045
        self.answer_bytes = 800
        self._address = ""
        self._server: asyncio.Server | None = None
        self._registration: asyncio.Future[None] | None = None
        self._fillers: list[socket.socket] = []

    async def start(self, ip: str, service: str, zone: str) -> None:
        """Listen on a free port, and register until the end."""
        server = await asyncio.start_server(self._serve, ip, 0, limit=1 << 23)
        self._server = server
        self._address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        self._registration = asyncio.ensure_future(
            self._register(service, zone)
        )

    async def go_dark(self) -> None:
        """Answer no new connection, and write no heartbeat, from now on.

        The queue of the listening socket is filled, so that the kernel drops
        the opening packets of further connections.
        """
        assert self._server is not None and self._registration is not None
        self._registration.cancel()
        self._server.close()
        await self._server.wait_closed()
        ip, _, port = self._address.partition(":")
        for _ in range(5):
            self._fillers.append(socket.socket())
            self._fillers[-1].setblocking(False)
        listener = self._fillers[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((ip, int(port)))
        listener.listen(0)
        for filler in self._fillers[1:]:
            filler.connect_ex((ip, int(port)))
        self._record.add(f"{self.id} goes dark")
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self._lapse)

    def _lapse(self) -> None:
        self._store.put("servers", self.id, None)

    async def _register(self, service: str, zone: str) -> None:
        sequence = 0
        while True:
            sequence += 1
            entry = {
                "service": service,
                "address": self._address,
                "zone": zone,
                "version": self.version,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": sequence,
                **self._entry,
            }
            self._store.put("servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, EOFError):
            while True:
                head = await read_head(reader)
                body = await read_body(head, reader)
                request_id = head.headers.get("request-id", "")
                if head.headers.get("target-instance", self.id) != self.id:
                    headers = {"Instance-Id": self.id, "Request-Id": request_id}
                    start = "HTTP/1.1 421 Misdirected Request"
                    writer.write(message(start, headers))
                else:
                    self.ran.append(request_id)
                    await self._answer(head, body, writer)
                await writer.drain()
        writer.close()

    async def _answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.headers["request-id"]
        self._record.add(f"{self.id} runs {request_id}, {len(body)} bytes")
        await asyncio.sleep(self.delay_s)
        self._record.add(f"{self.id} answers {request_id} with 200")
        headers = self._answer_headers(request_id)
        start = "HTTP/1.1 200 OK"
        writer.write(message(start, headers, b"x" * self.answer_bytes))

    def _answer_headers(self, request_id: str) -> dict[str, Any]:
        return {
            "Request-Id": request_id,
            "Response-Signature": f"1.{self.id}.{request_id}",
            "Server-Load": f"1,0,{self._entry['slots']}",
        }


class StreamServer(PlainServer):
    """A server that answers with a stream, and resumes one as asked.

    Attributes:
      events: Events of each stream.
      event_s: Time between two events, seconds.
    """

    _entry = {"slots": 40}
    events = 60
    event_s = 0.05

    async def _answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.headers["request-id"]
        after = head.headers.get("last-event-id")
        self._record.add(
            f"{self.id} runs {request_id}, Last-Event-Id {after or 'none'}"
        )
        headers = self._answer_headers(request_id)
        headers["Content-Type"] = "text/event-stream"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines = ["HTTP/1.1 200 OK", *lines, "Transfer-Encoding: chunked"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        for number in range(int(after or 0) + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            text = self.version.encode() + b" " + b"t" * 280
            event = b"id: %d\ndata: %b\n\n" % (number, text)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class DecodeServer(StreamServer):
    """The same as an engine in the decode stage, which prefills itself."""

    _entry = {"slots": 40, "stage": "decode", "models": [{"name": "m"}]}


class PrefillServer(PlainServer):
    """An engine in the prefill stage; its handles can always be used."""

    _entry = {"slots": 40, "stage": "prefill", "models": [{"name": "m"}]}

    async def _answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        request_id = head.headers.get("request-id", "")
        if head.start[0] == "DELETE":
            writer.write(message("HTTP/1.1 200 OK", {"Request-Id": request_id}))
            return
        await asyncio.sleep(self.delay_s)
        handle = f"{random.getrandbits(48):012x}"
        answer = {"handle": handle, "tokens": 100, "version": 1}
        headers = {"Request-Id": request_id, "Content-Type": "application/json"}
        data = json.dumps(answer).encode()
        writer.write(message("HTTP/1.1 200 OK", headers, data))


class Daemon:
    """A daemon of the project, started as the deploy file says."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        *,
        ports: list[int],
        store: str,
        link_mbps: float = 1_000.0,
    ) -> None:
        self.name = name
        self.ip = ip
        self.front, self._ready = ports[:2]
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        folder = pathlib.Path(self._folder.name)
        self._settings = folder / "local.toml"
        self.log = folder / "log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                zone=zone,
                front=self.front,
                ready=self._ready,
                internal=ports[2],
                internal_end=ports[2] + 15,
                bootstrap="true",
                link_mbps=link_mbps,
                store=store,
            ),
            encoding="utf-8",
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["NUTMEGSCALE_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as out:
            self.process = subprocess.Popen(
                ["python3", "-m", "nutmegscale.platform_daemon"],
                cwd=ROOT,
                env=environment,
                stdout=out,
                stderr=out,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Whether it answers the load balancer's question with 200."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self._ready)
            writer.write(
                message("GET /nutmegscale/ready HTTP/1.1", {"Host": "x"})
            )
            head = await asyncio.wait_for(read_head(reader), 1.0)
            writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return head.start[1] == "200"

    def stop(self) -> None:
        """Kill the process if it still runs, and remove its files."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self._folder.cleanup()


def free_ports(ips: list[str]) -> list[int]:
    """Return ports that are free on some addresses: front, ready, internal.

    Sixteen ports from the last one on are free.
    """
    while True:
        base = random.randrange(20_000, 32_000)
        with contextlib.ExitStack() as stack:
            try:
                for ip in ips:
                    for port in range(base, base + 18):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((ip, port))
            except OSError:
                continue
            return [base, base + 1, base + 2]


def _engine_service(name: str) -> dict[str, Any]:
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 160,
        "engine": {
            "slots": 40,
            "kvCapacity": 400_000,
            "kvTokenBytes": 18_432,
            "handleTtlS": 0.5,
        },
    }


def config(version: int, routes: list[dict[str, Any]], **limits: int) -> bytes:
    """Return a desired state with a plain service and two engine services."""
    defaults = {
        "hostname": HOST_NAME,
        "service": "entries-app",
        "priority": 2,
        "timeoutMs": 800,
        "targetLatencyMs": 150,
        "maxAttempts": 1,
    }
    state = {
        "version": version,
        "routes": [{**defaults, **route} for route in routes],
        "services": [
            {
                "name": "entries-app",
                "healthPath": "/health",
                "maxConnections": 110,
            },
            _engine_service("notes-model"),
            _engine_service("notes-model-2"),
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
            **limits,
        },
    }
    return json.dumps(state).encode()


async def until(
    condition: Callable[[], Awaitable[bool]], limit_s: float
) -> bool:
    """Wait until a condition holds; return whether it did in time."""
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(
    folder: pathlib.Path,
    run: Callable[[Record, bool], Awaitable[int]],
) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held.

    The exit code is 2 if the case couldn't run.

    Args:
      folder: Folder of the case; the record is written there.
      run: Runs it, with its disruption or without it; returns the exit code.
    """
    has_trouble = os.environ.get("TROUBLE") != "0"
    record = Record(folder / "record.txt")
    record.add("with the disruption" if has_trouble else "undisturbed")
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        code = loop.run_until_complete(run(record, has_trouble))
    except Exception as exc:
        record.add(f"the case couldn't run: {exc!r}")
        code = 2
    sys.stdout.flush()
    # Connections and servers of stand-ins that are still open end with this
    # process; daemons were ended by the case.
    os._exit(code)
