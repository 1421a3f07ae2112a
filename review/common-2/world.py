"""Stand-ins of a small deployment, with the standard library alone.

The platform's store, plain servers, callers, and the processes of the router,
which are started with the command of the deploy file.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import gc
import json
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any
from typing import NamedTuple
from urllib import parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST_NAME = "clubs.example"
FRONT_PORT = 8_144
READY_PORT = 8_140
# Ports of each host, with those between hosts and that of the metrics, and the
# last parts of the hosts' addresses.
HOST_PORTS = (FRONT_PORT, READY_PORT, 7_660, 7_661, 9_464)
HOST_NUMBERS = range(11, 23)
PREFIX_TRIES = 20
# Longest run of a case; its processes are ended after that.
MAX_RUN_S = 112.0
STORE_DELAY_S = 0.004
BEAT_S = 1.2
RESTART_DELAY_S = 1.0
WATCH_PERIOD_S = 0.005
CONFIG_LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4 << 20,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "cairo"
internalPorts = [7660, 7675]
seeds = []
bootstrap = {bootstrap}
failureCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "split",
             "stream", "engine", "platform"]
[zones]
maadi = "cairo"
nasr = "cairo"
[listen]
front = "{ip}:8144"
ready = "{ip}:8140"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = {memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
stableWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxStretchMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 56
recoveryS = 12
transitMs = 120
reuseWindowS = 3
requireFencing = false
leaseMs = 3000
thawSlackMs = 300
[platform]
address = "{store}"
form = "table"
writesPerS = 400
readsPerS = 2000
"""

Headers = dict[str, str]


class Message(NamedTuple):
    """A request or an answer.

    Attributes:
      first: Its first line.
      headers: Its headers, names in lower case.
      body: Its body.
    """

    first: str
    headers: Headers
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, Headers] | None:
    """Read a head; None if the connection ends before it."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader: asyncio.StreamReader, headers: Headers) -> bytes:
    """Read the body that follows a head."""
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return b""
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a request or an answer; None if none comes."""
    head = await read_head(reader)
    if head is None:
        return None
    return Message(*head, await read_body(reader, head[1]))


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Record:
    """The record of a run, one line for each event."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._began_at = time.monotonic()
        path.write_text("", encoding="utf-8")

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        passed_s = time.monotonic() - self._began_at
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{passed_s:8.3f} s  {text}\n")


class Store:
    """The platform's store: rows-get, rows-feed and rows-tx."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], dict[str, Any]] = {}
        self.address = ""
        self._log: list[dict[str, Any]] = []
        self._version = 0
        self._changed = asyncio.Event()

    async def start(self, ip: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, ip, 0)
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row."""
        self._version += 1
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": self._version,
        }
        self.rows[table, key] = row
        self._notify(row)

    def drop(self, table: str, key: str) -> None:
        """Remove a row, if it is there."""
        row = self.rows.pop((table, key), None)
        if row is not None:
            self._version += 1
            gone = {**row, "value": "", "ver": self._version, "deleted": True}
            self._notify(gone)

    def _notify(self, row: dict[str, Any]) -> None:
        self._log.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                await asyncio.sleep(STORE_DELAY_S)
                status, answer = await self._answer(message)
                answer["nowMs"] = int(time.monotonic() * 1000)
                headers = {"Content-Type": "application/json"}
                data = json.dumps(answer).encode()
                writer.write(encode_answer(status, headers, data))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, dict[str, Any]]:
        path, _, text = message.first.split(" ")[1].partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        match path.rpartition("/")[2]:
            case "rows-get":
                return 200, self._get(query)
            case "rows-feed":
                return 200, await self._feed(query)
            case "rows-tx":
                return self._transact(json.loads(message.body))
        return 404, {}

    def _get(self, query: dict[str, str]) -> dict[str, Any]:
        found = sorted(
            (row["key"], row)
            for (table, key), row in self.rows.items()
            if table == query["table"] and key >= query.get("from", "")
        )
        rows = [row for _, row in found[:500]]
        return {"ver": self._version, "rows": rows, "hasMore": len(found) > 500}

    async def _feed(self, query: dict[str, str]) -> dict[str, Any]:
        ends_at = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            rows = [
                row
                for row in self._log
                if row["table"] == query["table"]
                and row["ver"] > int(query["after"])
            ]
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return {"ver": self._version, "rows": rows}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        current = []
        is_expected = True
        for expected in call.get("expected", []):
            row = self.rows.get((expected["table"], expected["key"]))
            is_expected &= (row["ver"] if row else 0) == expected["ver"]
            current += [row] if row else []
        if not is_expected:
            return 412, {"ver": self._version, "rows": current}
        for put in call.get("puts", []):
            value = base64.b64decode(put["value"])
            self.put(put["table"], put["key"], value)
        for drop in call.get("drops", []):
            self.drop(drop["table"], drop["key"])
        return 200, {"ver": self._version, "rows": []}


def config(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> bytes:
    """Return a desired state."""
    document = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": CONFIG_LIMITS,
    }
    return json.dumps(document).encode()


def route(
    name: str, prefix: str, kind: str, service: str, **more: Any
) -> dict[str, Any]:
    """Return a route of a desired state."""
    return {
        "name": name,
        "hostname": HOST_NAME,
        "pathPrefix": prefix,
        "kind": kind,
        "service": service,
        "timeoutMs": 5_000,
        "targetLatencyMs": 1_000,
        "maxAttempts": 1,
        "priority": 1,
        **more,
    }


def entry(service: str, address: str, **more: Any) -> bytes:
    """Return what a server writes of itself."""
    document = {
        "service": service,
        "address": address,
        "zone": "maadi",
        "version": "v1",
        "slots": 6,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
        **more,
    }
    return json.dumps(document).encode()


class RouterProcess:
    """A process of the router, with what the platform does for it.

    Attributes:
      ip: Its address.
      peak_kb: Most anonymous memory that was seen.
      ends: Times at which it ended by itself or for its memory.
    """

    def __init__(
        self,
        store: Store,
        folder: pathlib.Path,
        name: str,
        ip: str,
        *,
        memory_mb: int = 150,
        zone: str = "maadi",
    ) -> None:
        self._store = store
        self._folder = folder
        self._name = name
        self._zone = zone
        self._memory_mb = memory_mb
        self._process: asyncio.subprocess.Process | None = None
        self.ip = ip
        self.peak_kb = 0
        self.ends: list[float] = []

    async def start(self, *, is_first: bool) -> None:
        """Start the process with the command of the deploy file."""
        settings = self._folder / f"{self._name}.toml"
        text = SETTINGS.format(
            name=self._name,
            ip=self.ip,
            zone=self._zone,
            bootstrap=str(is_first).lower(),
            memory_mb=self._memory_mb,
            store=self._store.address,
        )
        settings.write_text(text, encoding="utf-8")
        deploy = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        words = tomllib.loads(deploy)["roles"]["router"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["NUTMEGSCALE_SETTINGS"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._folder / f"{self._name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def anonymous_kb(self) -> int:
        """Return the memory of the process without mapped files."""
        if self._process is None:
            return 0
        status = pathlib.Path(f"/proc/{self._process.pid}/status")
        try:
            lines = status.read_text(encoding="utf-8").splitlines()
        except OSError:
            return 0
        found = [int(s.split()[1]) for s in lines if s.startswith("RssAnon:")]
        self.peak_kb = max(self.peak_kb, *found, 0)
        return found[0] if found else 0

    async def watch_memory(self, record: Record) -> None:
        """Kill the process beyond its memory, and restart it, for good."""
        while True:
            await asyncio.sleep(WATCH_PERIOD_S)
            used_kb = self.anonymous_kb()
            if used_kb > self._memory_mb << 10:
                record.add(
                    f"{self._name} has {used_kb >> 10} MB of "
                    f"{self._memory_mb} MB: the platform kills it"
                )
                await self.kill()
            if not self.is_running:
                self.ends.append(time.monotonic())
                await asyncio.sleep(RESTART_DELAY_S)
                await self.start(is_first=False)

    async def wait_ready(self, limit_s: float = 20.0) -> bool:
        """Wait until the process says that it is ready."""
        ends_at = time.monotonic() + limit_s
        path = "/nutmegscale/ready"
        while time.monotonic() < ends_at:
            with contextlib.suppress(OSError, asyncio.TimeoutError):
                caller = await connect(self.ip, READY_PORT)
                answer = await asyncio.wait_for(caller.ask("GET", path), 1.0)
                caller.close()
                if answer is not None and answer.status == 200:
                    return True
            await asyncio.sleep(0.05)
        return False


class Caller:
    """A kept connection of a caller."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def ask(
        self,
        method: str,
        path: str,
        headers: Headers | None = None,
        body: bytes = b"",
        *,
        chunk_bytes: int = 0,
    ) -> Message | None:
        """Send a request and read its answer.

        Args:
          method: Its method.
          path: Its path.
          headers: Further headers.
          body: Its body.
          chunk_bytes: Length of its chunks; 0 to state its length instead.

        Returns:
          The answer; None if the connection ends before a complete one.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if chunk_bytes:
            lines.append("Transfer-Encoding: chunked")
        elif method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        try:
            self._writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            if chunk_bytes:
                await self._write_chunks(body, chunk_bytes)
            else:
                self._writer.write(body)
            await self._writer.drain()
            return await read_message(self._reader)
        except (OSError, asyncio.IncompleteReadError):
            return None

    async def _write_chunks(self, body: bytes, chunk_bytes: int) -> None:
        for start in range(0, len(body), chunk_bytes):
            part = body[start : start + chunk_bytes]
            self._writer.write(b"%x\r\n%b\r\n" % (len(part), part))
            await self._writer.drain()
        self._writer.write(b"0\r\n\r\n")


async def connect(ip: str, port: int) -> Caller:
    """Open a connection of a caller."""
    opening = asyncio.open_connection(ip, port)
    return Caller(*await asyncio.wait_for(opening, 1.0))


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def loopback_prefix() -> str:
    """Return the first three parts of loopback addresses whose ports are free.

    Raises:
      RuntimeError: None were found.
    """
    chosen = random.SystemRandom()
    for _ in range(PREFIX_TRIES):
        prefix = f"127.{chosen.randint(2, 250)}.{chosen.randint(2, 250)}."
        ips = [f"{prefix}{number}" for number in HOST_NUMBERS]
        if all(_is_free(ip, port) for ip in ips for port in HOST_PORTS):
            return prefix
    raise RuntimeError("no loopback addresses with free ports")


async def _end_tasks() -> None:
    """End the connections that the stand-ins still serve."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    gc.collect()
    await asyncio.sleep(0.05)


def run(
    case: Callable[[pathlib.Path, Record, bool], Awaitable[bool]],
    folder: pathlib.Path,
) -> int:
    """Run a case.

    Args:
      case: Returns whether the rule held; raises `RuntimeError` if it couldn't
        run. It is given a temporary folder, the record, and whether the
        disruption is made.
      folder: Folder of the case.

    Returns:
      Status with which its script exits.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as scratch:

        async def _run() -> bool:
            try:
                async with asyncio.timeout(MAX_RUN_S):
                    return await case(
                        pathlib.Path(scratch), record, has_trouble
                    )
            finally:
                await _end_tasks()

        try:
            is_held = asyncio.run(_run())
        except Exception as exc:  # A fault of the case isn't one of the rule.
            record.add(f"couldn't run: {type(exc).__name__}: {exc}")
            return 2
    record.add("the rule held" if is_held else "the rule was broken")
    return 0 if is_held else 1
