"""Stand-ins of the platform, its workers and clients, on loopback addresses.

The project's daemons run as separate processes with the command of the deploy
file; everything else runs in the process of the script. The stand-ins speak
what the platform's pages say and record each request and answer.
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
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
LAPSE_S = 3 * HEARTBEAT_S
# Time that the store takes for a call, seconds.
STORE_ANSWER_S = 0.004
# Ports of a run are drawn below those that the system gives out itself.
PORT_RANGE = range(12_000, 30_000)
PORTS_OF_RUN = 100
GRACE_S = 8.0
START_TIMEOUT_S = 20.0
COULD_NOT_RUN = 2


def _is_free(port: int) -> bool:
    """Whether nothing uses a port on this machine."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


def _free_ports() -> int:
    """Return the first of `PORTS_OF_RUN` free ports in a row."""
    while True:
        first = random.randrange(
            PORT_RANGE.start, PORT_RANGE.stop - PORTS_OF_RUN
        )
        if all(_is_free(first + offset) for offset in range(PORTS_OF_RUN)):
            return first


FRONT_PORT = _free_ports()
READY_PORT = FRONT_PORT + 1
STORE_PORT = FRONT_PORT + 2
# Port of a program that isn't part of the deployment.
OTHER_PORT = FRONT_PORT + 3
PEER_PORT = FRONT_PORT + 10
# First port of the workers.
WORKER_PORT = FRONT_PORT + 50


class Record:
    """Writes what was sent, answered and run, with times since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start, seconds."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields: Any) -> float:
        """Write one line and return its time."""
        now = self.now()
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{now:8.3f} {event} {text}\n")
        self._file.flush()
        return now


class Message:
    """A parsed HTTP request or response.

    Attributes:
      first: Words of its first line.
      headers: Headers by name in lower case.
      body: The body.
    """

    def __init__(self, first: list[str], headers: dict[str, str]) -> None:
        self.first = first
        self.headers = headers
        self.body = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a head; None if the peer closed the connection before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with a length; None at the end of the connection."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        length = int(message.headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Encode the head of a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Encode a complete response."""
    return (
        encode_head(status, {**headers, "Content-Length": str(len(body))})
        + body
    )


class Listener:
    """A TCP server whose connections can be reset."""

    def __init__(
        self,
        serve: Callable[
            [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self._serve = serve
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._accept, ip, port, limit=1 << 22
        )

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._run(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self._serve(reader, writer)
        except ConnectionError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def stop(self) -> None:
        """Stop listening and reset all connections, as if killed."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()


class _Row:
    def __init__(self, version: int, value: bytes | None) -> None:
        self.version = version
        self.value = value


class Store:
    """The platform's store: tables of rows, conditional writes and a feed."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self._rows: dict[tuple[str, str], _Row] = {}
        self._changes: list[tuple[int, str, str]] = []
        self._changed = asyncio.Event()
        self.version = 0
        self.is_away = False
        self._listener = Listener(self._serve)
        self._ip = ""

    @property
    def address(self) -> str:
        """Where it takes calls."""
        return f"{self._ip}:{STORE_PORT}"

    async def start(self, ip: str) -> None:
        """Listen."""
        self._ip = ip
        await self._listener.start(ip, STORE_PORT)

    def go_away(self) -> None:
        """Reset all connections and refuse new ones."""
        self.is_away = True
        self._listener.stop()
        self.record.write("store_away")

    async def come_back(self) -> None:
        """Take calls again; nothing that was acknowledged is lost."""
        self.is_away = False
        await self._listener.start(self._ip, STORE_PORT)
        self.record.write("store_back")

    def put(self, table: str, key: str, value: bytes | None) -> int:
        """Write a row, or remove it."""
        self.version += 1
        self._rows[table, key] = _Row(self.version, value)
        self._changes.append((self.version, table, key))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.version

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row."""
        row = self._rows.get((table, key))
        return row.value if row else None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            await asyncio.sleep(STORE_ANSWER_S)
            status, answer = await self._call(request)
            answer["nowMs"] = int(self.record.now() * 1000)
            headers = {"Content-Type": "application/json", "Store-Era": "1"}
            body = json.dumps(answer).encode()
            writer.write(encode_response(status, headers, body))
            await writer.drain()

    async def _call(self, request: Message) -> tuple[int, dict[str, Any]]:
        path, _, text = request.first[1].partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        match path.rpartition("/")[2]:
            case "rows-get":
                return 200, self._read(query["table"])
            case "rows-feed":
                return 200, await self._follow(query)
            case "rows-tx":
                return self._write(json.loads(request.body))
        return 404, {}

    def _encode(self, table: str, key: str) -> dict[str, Any]:
        row = self._rows[table, key]
        fields: dict[str, Any] = {
            "table": table,
            "part": "",
            "key": key,
            "ver": row.version,
        }
        if row.value is None:
            return {**fields, "deleted": True}
        return {**fields, "value": base64.b64encode(row.value).decode()}

    def _read(self, table: str) -> dict[str, Any]:
        rows = [
            self._encode(name, key)
            for (name, key), row in sorted(self._rows.items())
            if name == table and row.value is not None
        ]
        return {"rows": rows, "ver": self.version, "hasMore": False}

    async def _follow(self, query: dict[str, str]) -> dict[str, Any]:
        table, after = query["table"], int(query["after"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            keys = {
                key: version
                for version, name, key in self._changes
                if name == table and version > after
            }
            left_s = deadline - time.monotonic()
            if keys or left_s <= 0.0:
                ordered = sorted(keys, key=lambda key: keys[key])
                rows = [self._encode(table, key) for key in ordered]
                return {"rows": rows, "ver": self.version}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        current = []
        is_refused = False
        for expected in call.get("expected", []):
            row = self._rows.get((expected["table"], expected["key"]))
            version = row.version if row and row.value is not None else 0
            is_refused = is_refused or version != expected["ver"]
            if version:
                current.append(self._encode(expected["table"], expected["key"]))
        if is_refused:
            return 412, {"rows": current, "ver": self.version}
        for put in call.get("puts", []):
            value = base64.b64decode(put["value"])
            self.put(put["table"], put["key"], value)
        for drop in call.get("drops", []):
            self.put(drop["table"], drop["key"], None)
        return 200, {"rows": [], "ver": self.version}


class Worker:
    """A worker of the platform: one boot after the other under one id."""

    def __init__(
        self,
        store: Store,
        record: Record,
        worker_id: str,
        *,
        service: str,
        ip: str,
        port: int,
        zone: str = "maadi",
        stage: str = "",
        version: str = "1.0.0",
        slots: int = 6,
        work_s: float = 0.045,
        events: int = 40,
        event_gap_s: float = 0.05,
    ) -> None:
        self.store = store
        self.record = record
        self.id = worker_id
        self.service = service
        self.ip, self.port = ip, port
        self.zone = zone
        self.stage = stage
        self.version = version
        self.slots = slots
        self.work_s = work_s
        self.events = events
        self.event_gap_s = event_gap_s
        self.is_draining = False
        self.running = 0
        self.sequence = 0
        self.born = 0
        self.handles: dict[str, float] = {}
        # (time, request id, what was done), in order.
        self.arrivals: list[tuple[float, str, str]] = []
        self._listener = Listener(self._serve)
        self._beats: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Where it takes requests."""
        return f"{self.ip}:{self.port}"

    def entry(self, **changes: Any) -> bytes:
        """Return its entry as it is now."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": "draining" if self.is_draining else "ready",
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        if self.stage:
            fields["stage"] = self.stage
            fields["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return json.dumps({**fields, **changes}).encode()

    async def start(self, *, registers: bool = True) -> None:
        """Begin a new boot."""
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.is_draining = False
        self.handles.clear()
        await self._listener.start(self.ip, self.port)
        self.record.write(
            "worker_started", worker=self.id, version=self.version
        )
        if registers:
            self._beats = asyncio.ensure_future(self._send_heartbeats())

    def crash(self) -> None:
        """End at once: connections are reset, and nothing is written."""
        self.record.write("worker_crashed", worker=self.id)
        self.stop_heartbeats()
        self._listener.stop()

    def stop_heartbeats(self) -> None:
        """Write no more heartbeats."""
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None

    def drain(self) -> None:
        """Report at once that it drains, and write heartbeats on."""
        self.is_draining = True
        self.stop_heartbeats()
        self._beats = asyncio.ensure_future(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def beat(self) -> None:
        """Write the entry; the store may be away."""
        entry = self.entry()
        if not self.store.is_away:
            self.store.put("servers", self.id, entry)

    def _headers(self, request: Message) -> dict[str, str]:
        headers = {"Instance-Id": self.id}
        if "request-id" in request.headers:
            headers["Request-Id"] = request.headers["request-id"]
        headers["Server-Load"] = f"{self.running},0,{self.slots}"
        if self.is_draining:
            headers["Server-Leaving"] = "1"
        return headers

    def note(self, request: Message, what: str) -> None:
        """Record an arrival."""
        request_id = request.headers.get("request-id", "-")
        at = self.record.write(
            "at_worker", worker=self.id, request=request_id, what=what
        )
        self.arrivals.append((at, request_id, what))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (request := await read_request(reader)) is not None:
            await self._handle(request, reader, writer)
            await writer.drain()

    async def _handle(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        headers = self._headers(request)
        if request.first[0] == "DELETE":
            self.handles.pop(request.first[1].rpartition("/")[2], None)
            writer.write(encode_response(200, headers))
        elif request.headers.get("target-instance") != self.id:
            self.note(request, "misdirected")
            writer.write(encode_response(421, headers))
        elif request.first[1] == "/nutmegscale/order":
            writer.write(encode_response(400, headers))
        elif self.running >= self.slots:
            self.note(request, "full")
            writer.write(encode_response(503, {**headers, "Not-Executed": "1"}))
        elif not self.stage:
            await self._run_plain(request, writer)
        elif request.headers.get("stage") == "prefill":
            await self._prefill(request, writer)
        elif self.stage == "prefill":
            self.note(request, "wrong_stage")
            writer.write(encode_response(421, headers))
        else:
            await self._decode(request, reader, writer)

    async def _run_plain(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        self.note(request, "run")
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        headers = self._headers(request)
        headers["Response-Signature"] = f"{self.id}.{random.randrange(1 << 30)}"
        writer.write(encode_response(200, headers, b"x" * 800))

    async def _prefill(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        self.note(request, "prefill")
        await asyncio.sleep(0.05)
        name = f"{random.randrange(1 << 48):012x}"
        self.handles[name] = time.monotonic() + 0.5
        body = json.dumps({"handle": name, "tokens": 1000, "version": 1})
        headers = {
            **self._headers(request),
            "Content-Type": "application/json",
        }
        writer.write(encode_response(200, headers, body.encode()))

    async def _decode(
        self,
        request: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        last = int(request.headers.get("last-event-id", "0"))
        self.note(request, f"decode_after_{last}_version_{self.version}")
        self.running += 1
        headers = {
            **self._headers(request),
            "Content-Type": "text/event-stream",
            "Response-Signature": f"{self.id}.{random.randrange(1 << 30)}",
            "Transfer-Encoding": "chunked",
        }
        try:
            await asyncio.sleep(0.05)
            writer.write(encode_head(200, headers))
            for number in range(last + 1, self.events + 1):
                data = f"id: {number}\ndata: {self.version}/{number}\n\n"
                chunk = data.encode()
                writer.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
                await writer.drain()
                if reader.at_eof():
                    return
                await asyncio.sleep(self.event_gap_s)
            writer.write(b"0\r\n\r\n")
        finally:
            self.running -= 1


class Daemon:
    """One daemon of the project, as a process."""

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        store_address: str,
        folder: pathlib.Path,
        *,
        memory_mb: int,
    ) -> None:
        self._memory_mb = memory_mb
        self.name = name
        self.ip = ip
        self.zone = zone
        self._store = store_address
        self._path = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"
        self._is_closed = False
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Where clients connect."""
        return self.ip, FRONT_PORT

    async def start(self, *, is_first: bool) -> None:
        """Start the process with the command of the deploy file."""
        self._path.write_text(self._settings(is_first=is_first))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["NUTMEGSCALE_SETTINGS"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        if self._is_closed:
            return
        # Without a point at which a cancelled task loses the process.
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def _settings(self, *, is_first: bool) -> str:
        return f"""
nodeName = "{self.name}"
role = "router"
machineClass = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "cairo"
internalPorts = [{PEER_PORT}, {PEER_PORT + 15}]
seeds = []
bootstrap = {str(is_first).lower()}
failureCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
{self.zone} = "cairo"
[listen]
front = "{self.ip}:{FRONT_PORT}"
ready = "{self.ip}:{READY_PORT}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {self._memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = {GRACE_S}
lossSlackMs = 200
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
[platform]
address = "{self._store}"
form = "table"
"""

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
        except OSError:
            return False
        writer.write(b"GET /nutmegscale/ready HTTP/1.1\r\nHost: ready\r\n\r\n")
        head = await read_head(reader)
        writer.close()
        return head is not None and head.first[1] == "200"

    async def kill(self) -> None:
        """End the process at once and wait for its end."""
        self.signal(signal.SIGKILL)
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """End the process, and start none any more."""
        self._is_closed = True
        await self.kill()


def route(
    name: str, kind: str, service: str, *, attempts: int, **changes: Any
) -> dict[str, Any]:
    """Return a route of the desired state; its path is its name."""
    is_stream = kind == "stream"
    return {
        "name": name,
        "hostname": "clubs.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 14_000 if is_stream else 800,
        "targetLatencyMs": 900 if is_stream else 150,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "sessionAffinity": is_stream,
        "resumable": False,
        **changes,
    }


def desired_state(version: int) -> bytes:
    """Return a desired state with the kinds of route of the Entries Desk."""
    routes = [
        route("brief", "stream", "notes-model", attempts=1),
        route("digest", "stream", "notes-model", attempts=2, resumable=True),
        route("confirm", "unsafe", "entries-app", attempts=1),
        route("slot", "safe", "entries-app", attempts=2),
    ]
    services = [
        {
            "name": "notes-model",
            "healthPath": "/health",
            "maxConnections": 160,
            "engine": {
                "slots": 12,
                "kvCapacity": 100_125,
                "kvTokenBytes": 18_432,
                "handleTtlS": 0.5,
                "switchS": 6.0,
            },
        },
        {
            "name": "entries-app",
            "healthPath": "/health",
            "maxConnections": 110,
        },
    ]
    limits = {
        "maxHeaderBytes": 16_384,
        "maxBodyBytes": 4_194_304,
        "headerTimeoutMs": 3_000,
        "idleTimeoutMs": 15_000,
    }
    state = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }
    return json.dumps(state).encode()


class Answer:
    """What a client got.

    Attributes:
      status: Status code, 0 without a head.
      headers: Headers by name in lower case.
      body: The body as far as it came.
      is_complete: Whether the body came to its end.
      began_at: When the request was sent, seconds since the start.
      ended_at: When the answer or the connection ended.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.is_complete = False
        self.began_at = 0.0
        self.ended_at = 0.0


class Client:
    """Sends requests to daemons, each on a new connection."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._count = 0

    def new_id(self) -> str:
        """Return a new request id."""
        self._count += 1
        return f"{self._count:04x}{random.randrange(1 << 48):012x}"

    async def call(
        self,
        daemon: Daemon,
        name: str,
        *,
        method: str = "GET",
        body: bytes = b"",
        deadline_s: float = 1.5,
        headers: dict[str, str] | None = None,
        request_id: str = "",
        path: str = "1",
    ) -> Answer:
        """Send a request to a route and read its answer."""
        request_id = request_id or self.new_id()
        answer = Answer()
        answer.began_at = self._record.write(
            "sent", request=request_id, route=name, to=daemon.name
        )
        lines = [f"{method} /{name}/{path} HTTP/1.1", "Host: clubs.example"]
        sent = {
            "Request-Id": request_id,
            "Deadline-Ms": str(int(deadline_s * 1000)),
            **(headers or {}),
        }
        if body or method == "POST":
            sent["Content-Length"] = str(len(body))
        lines += [f"{key}: {value}" for key, value in sent.items()]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        with contextlib.suppress(TimeoutError, OSError, ValueError):
            await asyncio.wait_for(
                self._exchange(daemon, data, answer), deadline_s
            )
        answer.ended_at = self._record.write(
            "answered",
            request=request_id,
            status=answer.status,
            complete=answer.is_complete,
            bytes=len(answer.body),
        )
        return answer

    async def _exchange(
        self, daemon: Daemon, data: bytes, answer: Answer
    ) -> None:
        reader, writer = await asyncio.open_connection(*daemon.front)
        try:
            writer.write(data)
            head = await read_head(reader)
            if head is None:
                return
            answer.status = int(head.first[1])
            answer.headers = head.headers
            if head.headers.get("transfer-encoding") == "chunked":
                await self._read_chunks(reader, answer)
            else:
                length = int(head.headers.get("content-length", "0"))
                answer.body = await reader.readexactly(length)
                answer.is_complete = True
        except asyncio.IncompleteReadError:
            return
        finally:
            writer.transport.abort()

    async def _read_chunks(
        self, reader: asyncio.StreamReader, answer: Answer
    ) -> None:
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                answer.is_complete = True
                return
            answer.body += chunk[:-2]


class World:
    """A small deployment: the store, daemons and workers.

    Attributes:
      record: Record of the run.
      subnet: First three bytes of the loopback addresses of the run.
      has_trouble: Whether the disruption is to be caused.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.record = Record(folder / "record.txt")
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.subnet = f"127.{random.randrange(16, 250)}.{os.getpid() % 250}"
        self.store = Store(self.record)
        self.client = Client(self.record)
        self.daemons: list[Daemon] = []
        self.workers: dict[str, Worker] = {}
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    def add_daemon(
        self, name: str, *, zone: str = "maadi", memory_mb: int = 150
    ) -> Daemon:
        """Add a daemon; it isn't started."""
        daemon = Daemon(
            name,
            f"{self.subnet}.{len(self.daemons) + 11}",
            zone,
            self.store.address,
            self._folder,
            memory_mb=memory_mb,
        )
        self.daemons.append(daemon)
        return daemon

    def add_worker(self, worker_id: str, **options: Any) -> Worker:
        """Add a worker; it isn't started."""
        port = WORKER_PORT + len(self.workers)
        worker = Worker(
            self.store,
            self.record,
            worker_id,
            ip=f"{self.subnet}.2",
            port=port,
            **options,
        )
        self.workers[worker_id] = worker
        return worker

    async def start_store(self) -> None:
        """Start the store with a first desired state."""
        await self.store.start(f"{self.subnet}.1")
        self.store.put("op", "config", desired_state(1))

    async def start_daemons(self) -> None:
        """Start all daemons and wait until they are ready."""
        for daemon in self.daemons:
            await daemon.start(is_first=True)
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons: list[Daemon]) -> None:
        """Wait until some daemons are ready.

        Raises:
          TimeoutError: They aren't in time.
        """
        until = time.monotonic() + START_TIMEOUT_S
        for daemon in daemons:
            while not await daemon.is_ready():
                if time.monotonic() > until:
                    raise TimeoutError(f"{daemon.name} isn't ready")
                await asyncio.sleep(0.1)
        self.record.write("ready", daemons=len(daemons))

    async def stop(self) -> None:
        """End all processes that were started."""
        for daemon in self.daemons:
            await daemon.close()
            log = self._folder / f"{daemon.name}.log"
            if os.environ.get("KEEP_LOGS") and log.exists():
                shutil.copy(log, os.environ["KEEP_LOGS"])
        for worker in self.workers.values():
            worker.stop_heartbeats()
        shutil.rmtree(self._folder, ignore_errors=True)


def main(
    folder: pathlib.Path,
    run: Callable[[World], Awaitable[bool]],
    *,
    limit_s: float = 110.0,
) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held.

    Args:
      folder: Folder of the case, where the record is written.
      run: Plays the case; returns whether the rule held.
      limit_s: Time after which it counts as one that couldn't run, seconds.
    """

    async def _run() -> int:
        world = World(folder)
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            held = await asyncio.wait_for(run(world), limit_s)
        except (Exception, asyncio.CancelledError) as exc:
            world.record.write("could_not_run", error=repr(exc))
            return COULD_NOT_RUN
        finally:
            await world.stop()
        world.record.write("result", held=held, trouble=world.has_trouble)
        return 0 if held else 1

    sys.exit(asyncio.run(_run()))
