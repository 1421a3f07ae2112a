"""Fakes at the interfaces: network, platform and engines on one clock."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from nutmegscale import application
from nutmegscale import config
from nutmegscale import engine
from nutmegscale import engine_http
from nutmegscale import errors
from nutmegscale import exchange
from nutmegscale import folder
from nutmegscale import http_client
from nutmegscale import periodic
from nutmegscale import platform_service
from nutmegscale import worker
from standins import engine_model

DELAY_S = 0.001
STEP_S = 0.002


class Network:
    """Carries messages between hosts; pairs can be cut, one way or both."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.receivers: dict[str, Callable[[bytes], None]] = {}
        self.cut: set[tuple[str, str]] = set()
        self.frozen: dict[str, list[Callable[[], None]]] = {}

    def cut_off(self, group: list[str], others: list[str]) -> None:
        """Cut two groups of names off from each other."""
        self.cut |= {(a, b) for a in group for b in others}
        self.cut |= {(b, a) for a in group for b in others}

    def is_cut(self, source: str, target: str) -> bool:
        """Whether nothing gets from one name to another."""
        return (source, target) in self.cut

    def deliver(self, source: str, target: str, data: bytes) -> None:
        """Carry a message, or lose it."""

        def _arrive() -> None:
            if target in self.receivers and not self.is_cut(source, target):
                self.receivers[target](data)

        if not self.is_cut(source, target):
            self.clock.callLater(DELAY_S, _arrive)


class FakeTransport:
    """A `mesh.Transport` of one host."""

    def __init__(self, network: Network, host: str) -> None:
        self._network = network
        self._host = host

    def send(self, host: str, address: str, data: bytes) -> None:
        """Send to a host; see `mesh.Transport`."""
        self._network.deliver(self._host, host, data)

    def reset(self, host: str) -> None:
        """Do nothing: fake connections don't go silent."""


class FakePlatform:
    """A `platform_service.Platform` that all hosts share."""

    def __init__(self, clock: task.Clock) -> None:
        self.clock = clock
        self.rows: dict[str, platform_service.Row] = {}
        self.objects: dict[str, bytes] = {}
        self.listed: list[dict[str, Any]] = []
        self.is_down = False
        self.lose_answers = 0
        self.writes = 0

    async def _reach(self, host: str, network: Network) -> None:
        await periodic.sleep(self.clock, DELAY_S)
        if self.is_down or network.is_cut(host, "platform"):
            await periodic.sleep(self.clock, 1.0)
            raise errors.PlatformUnavailableError("down")

    async def _answer(self) -> None:
        await periodic.sleep(self.clock, DELAY_S)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await periodic.sleep(self.clock, 1.0)
            raise errors.PlatformUnavailableError("answer lost")


class HostPlatform:
    """The platform as one host reaches it."""

    def __init__(
        self, shared: FakePlatform, network: Network, host: str
    ) -> None:
        self._shared = shared
        self._network = network
        self._host = host

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row | None:
        """Read a row; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        row = self._shared.rows.get(key)
        if row is not None and row.version == known_version:
            return platform_service.Row(row.version, b"")
        return row

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        row = self._shared.rows.get(key) or platform_service.Row(0, b"")
        if row.version != expect_version:
            await self._shared._answer()
            return platform_service.Conflict(row)
        version = row.version + 1
        self._shared.rows[key] = platform_service.Row(version, value)
        self._shared.writes += 1
        await self._shared._answer()
        return platform_service.Written(version)

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        self._shared.objects[name] = content
        await self._shared._answer()

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        return self._shared.objects.get(name)

    async def hosts(self) -> list[dict[str, Any]]:
        """Read the host list; see `platform_service.Platform`."""
        await self._shared._reach(self._host, self._network)
        return list(self._shared.listed)


class FakeServer:
    """A backend server in this process: an engine or a plain service."""

    def __init__(
        self, clock: task.Clock, name: str, role: str, costs: dict[str, Any]
    ) -> None:
        self.name = name
        self.role = role
        self.address = f"http://{name}"
        self.model = engine_model.Engine(
            clock, role, engine_model.Costs(**costs)
        )
        self.is_dead = False
        self.silent_streams = 0
        self.lose_cancels = 0
        self.started: list[str] = []
        self.plain_runs: dict[str, int] = {}
        self.lose_plain_answers = 0

    def die(self) -> None:
        """End the process: everything in memory is gone."""
        self.is_dead = True
        for run_id in list(self.model.runs):
            self.model.cancel(run_id)


class FakeEngine:
    """An `engine.Engine` of one host over a fake server."""

    def __init__(self, farm: "Farm", host: str, server: FakeServer) -> None:
        self._farm = farm
        self._host = host
        self._server = server

    async def _reach(self) -> None:
        await periodic.sleep(self._farm.clock, DELAY_S)
        name = self._server.name
        if self._farm.network.is_cut(self._host, name):
            await periodic.sleep(self._farm.clock, 0.5)
            raise errors.ConnectError("cut off")
        if self._server.is_dead:
            raise errors.ConnectError("refused")

    async def _guard(self, work: defer.Deferred[Any], timeout_s: float) -> Any:
        clock = self._farm.clock
        work.addTimeout(timeout_s, clock)
        try:
            result = await work
        except engine_model.EngineRefusedError as exc:
            if self._server.is_dead:
                raise errors.EngineLostError("died") from exc
            raise engine_http.error_of(exc.reason) from exc
        except TimeoutError as exc:
            raise errors.EngineStalledError("no answer") from exc
        if self._server.is_dead:
            raise errors.EngineLostError("died")
        return result

    def _check_crash(self, prompt: str) -> None:
        if engine_model.CRASH_MARK in prompt:
            self._server.die()
            raise errors.EngineLostError("crashed")

    async def prefill(
        self,
        run_id: str,
        host: str,
        prompt: str,
        priority: int,
        timeout_s: float,
    ) -> engine.PrefillResult:
        """Prefill; see `engine.Engine`."""
        await self._reach()
        self._server.started.append(prompt)
        self._check_crash(prompt)
        try:
            work = self._server.model.prefill(run_id, host, prompt, priority)
        except engine_model.EngineRefusedError as exc:
            raise engine_http.error_of(exc.reason) from exc
        result = await self._guard(work, timeout_s)
        return engine.PrefillResult(*result)

    async def start(self, order: engine.RunOrder, timeout_s: float) -> None:
        """Import and decode; see `engine.Engine`."""
        await self._reach()
        model = self._server.model
        source = self._farm.servers[order.source.removeprefix("http://")]
        try:
            model.reserve(order.run_id, order.host)
        except engine_model.EngineRefusedError as exc:
            raise engine_http.error_of(exc.reason) from exc
        try:
            if source.is_dead:
                raise engine_model.EngineRefusedError("kv_gone")
            await self._guard(source.model.export(order.handle), timeout_s)
            model.start(
                order.run_id, order.prompt, order.first_token, order.max_tokens
            )
        except engine_model.EngineRefusedError as exc:
            model.cancel(order.run_id)
            raise engine_http.error_of(exc.reason) from exc

    async def tokens(
        self, run_id: str, first: int, progress_timeout_s: float
    ) -> AsyncIterator[engine.Token]:
        """Stream tokens; see `engine.Engine`."""
        try:
            await self._reach()
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        run = self._server.model.find(run_id)
        if run is None:
            raise errors.RunGoneError(run_id)
        sent = first
        while True:
            while sent < run.made:
                if self._server.silent_streams > 0:
                    self._server.silent_streams -= 1
                    await periodic.sleep(self._farm.clock, progress_timeout_s)
                    raise errors.EngineStalledError("silent")
                yield engine.Token(sent, run.tokens[sent])
                sent += 1
            if self._server.is_dead:
                raise errors.EngineLostError("died")
            if self._farm.network.is_cut(self._host, self._server.name):
                await periodic.sleep(self._farm.clock, progress_timeout_s)
                raise errors.EngineStalledError("cut off")
            if run.finished:
                return
            if self._server.model.find(run_id) is None:
                raise errors.RunGoneError("cancelled")
            waiter: defer.Deferred[None] = defer.Deferred()
            run.waiters.append(waiter)
            await waiter

    async def cancel(self, run_id: str) -> None:
        """Cancel; see `engine.Engine`."""
        try:
            await self._reach()
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        if self._server.lose_cancels > 0:
            self._server.lose_cancels -= 1
            await periodic.sleep(self._farm.clock, 0.5)
            raise errors.EngineStalledError("cancel lost")
        self._server.model.cancel(run_id)

    async def report(self, cache_after: int) -> worker.Report:
        """Report; see `engine.Engine`."""
        try:
            await self._reach()
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        return engine_http.parse_report(self._server.model.report(cache_after))


class FakeClient:
    """The part of `http_client.HttpClient` that plain calls need."""

    def __init__(self, farm: "Farm", host: str, server: FakeServer) -> None:
        self._farm = farm
        self._host = host
        self._server = server

    async def request(
        self, method: str, path: str, **options: Any
    ) -> http_client.Response:
        """Run a call once, and perhaps lose its answer."""
        await periodic.sleep(self._farm.clock, DELAY_S)
        if self._server.is_dead or self._farm.network.is_cut(
            self._host, self._server.name
        ):
            raise errors.ConnectError("refused")
        key = options["headers"].get("x-run-key", "")
        runs = self._server.plain_runs
        runs[key] = runs.get(key, 0) + 1
        await periodic.sleep(self._farm.clock, 0.005)
        if self._server.lose_plain_answers > 0:
            self._server.lose_plain_answers -= 1
            raise errors.TransportError("answer lost")
        headers = {"content-type": "text/plain"}
        return http_client.Response(200, headers, options["body"])


class Sink:
    """An `exchange.Sink` that keeps what it gets."""

    def __init__(self) -> None:
        self.text = ""
        self.failure: errors.Failure | None = None
        self.ended = 0
        self.is_gone = False
        self.first_at: float | None = None

    def write(self, text: str) -> None:
        """Keep text."""
        assert not self.ended, "text after the end"
        self.text += text

    def end(self, tokens: int) -> None:
        """Keep the end."""
        self.ended += 1

    def fail(self, failure: errors.Failure) -> None:
        """Keep the failure."""
        self.failure = failure


class Farm:
    """Entry hosts, backend servers, network and platform on one clock."""

    def __init__(
        self,
        hosts: dict[str, str],
        servers: dict[str, tuple[str, str, str]],
        *,
        folder_path: str = "examples/federation",
        seed: int = 1,
        ready: bool = True,
    ) -> None:
        self.clock: Any = task.Clock()
        self.clock.advance(100.0)
        self.rng = random.Random(seed)
        self.network = Network(self.clock)
        self.platform = FakePlatform(self.clock)
        self.document = folder.load(folder_path)
        self.servers: dict[str, FakeServer] = {}
        self.domains = dict(hosts)
        for name, (domain, pool, role) in servers.items():
            self.add_server(name, domain, pool, role)
        self.hosts: dict[str, application.Application] = {}
        for name in hosts:
            self.start_host(name)
        if ready:
            self.run(0.5)
            self.apply(next(iter(hosts)))
            self.run_until(
                lambda: all(a.board.is_ready for a in self.hosts.values()), 8.0
            )

    def add_server(
        self, name: str, domain: str, pool: str, role: str
    ) -> FakeServer:
        """Start a backend server and list it."""
        profile: Any = self.document.get("engines", {})["standard"]
        self.servers[name] = FakeServer(self.clock, name, role, dict(profile))
        self.platform.listed.append(
            {
                "name": name,
                "kind": "backend",
                "address": f"http://{name}",
                "failure_domain": domain,
                "pool": pool,
                "state": "live",
            }
        )
        return self.servers[name]

    def start_host(self, name: str) -> application.Application:
        """Start an entry host, again if it was killed."""
        domain = self.domains[name]
        settings: Any = {
            "host": name,
            "failure_domain": domain,
            "caller_port": 1,
            "operator_port": 1,
            "mesh_address": f"tcp://{name}",
            "mesh_key": "00" * 16,
            "operator_token": "t",
            "platform_url": "http://platform",
        }
        app = application.Application(
            settings,
            self.clock,
            transport=FakeTransport(self.network, name),
            platform=HostPlatform(self.platform, self.network, name),
            engines=lambda url: self._engine(name, url),
            clients=lambda url: self._client(name, url),
            rng=random.Random(self.rng.getrandbits(32)),
        )
        self.network.receivers[name] = app.mesh.receive
        self.hosts[name] = app
        row = {
            "name": name,
            "kind": "entry",
            "address": f"tcp://{name}",
            "failure_domain": domain,
            "state": "live",
        }
        self.platform.listed = [
            r for r in self.platform.listed if r["name"] != name
        ] + [row]
        app.start()
        return app

    def _engine(self, host: str, url: str) -> FakeEngine:
        return FakeEngine(self, host, self.servers[url.removeprefix("http://")])

    def _client(self, host: str, url: str) -> Any:
        return FakeClient(self, host, self.servers[url.removeprefix("http://")])

    def kill(self, host: str) -> None:
        """Kill an entry host: its timers and connections are gone."""
        app = self.hosts.pop(host)
        app.stop()
        self.network.receivers.pop(host, None)
        everyone = [*self.domains, *self.servers, "platform"]
        self.network.cut |= {(host, other) for other in everyone}
        app.exchanges.cancel_all()

    def revive(self, host: str) -> None:
        """Start a killed host anew, with empty memory."""
        self.network.cut = {p for p in self.network.cut if host not in p}
        self.start_host(host)

    def apply(self, host: str, attempt: str = "first") -> Any:
        """Apply the configuration at a host."""
        return self.wait(
            self.hosts[host].configs.apply(self.document, None, attempt)
        )

    def send(
        self,
        host: str,
        prompt: str,
        max_tokens: int = 32,
        request_id: str = "",
        caller: str = "cairo-club",
        service: str = "notes-model",
    ) -> Sink:
        """Send a model request to a host."""
        sink = Sink()
        request = exchange.ModelRequest(
            caller, request_id, service, prompt, max_tokens
        )
        sink_request = self.hosts[host].exchanges.serve(request, sink)
        periodic.spawn(sink_request)
        self._last = (host, request, sink)
        return sink

    def leave(self, host: str, sink: Sink) -> None:
        """Close the caller's connection."""
        sink.is_gone = True
        request: Any = None
        self.hosts[host].exchanges.caller_gone(request, sink)

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def run_until(self, check: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until a check holds; fail at the limit.

        Returns:
          The time that passed, in seconds.
        """
        began: float = self.clock.seconds()
        while not check():
            assert self.clock.seconds() - began < limit_s, "not in time"
            self.clock.advance(STEP_S)
        return float(self.clock.seconds() - began)

    def wait(self, work: Any, limit_s: float = 30.0) -> Any:
        """Run a coroutine to its end and return its result."""
        results: list[Any] = []
        running = defer.ensureDeferred(work)
        running.addBoth(results.append)
        self.run_until(lambda: bool(results), limit_s)
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def held(self) -> list[str]:
        """List what holds memory of any engine, by its own account."""
        return [
            run["run_id"]
            for server in self.servers.values()
            if not server.is_dead
            for run in server.model.running()
        ]

    def prefills(self, prompt: str) -> int:
        """Count how often engines were told to prefill a prompt."""
        return sum(s.started.count(prompt) for s in self.servers.values())

    def document_with(self, **changes: Any) -> config.Document:
        """Return the document with top-level changes."""
        changed: Any = {**self.document, **changes}
        return config.check(changed)


FEDERATION_HOSTS = {
    f"{domain}-{number}": domain
    for domain in ("maadi", "nasr", "giza", "shorouk")
    for number in (1, 2)
}
FEDERATION_SERVERS = {
    "prefill-maadi": ("maadi", "notes-prefill", "prefill"),
    "prefill-giza": ("giza", "notes-prefill", "prefill"),
    "decode-maadi": ("maadi", "notes-decode", "decode"),
    "decode-nasr": ("nasr", "notes-decode", "decode"),
    "decode-shorouk": ("shorouk", "notes-decode", "decode"),
    "entries-maadi": ("maadi", "entries", "plain"),
    "entries-nasr": ("nasr", "entries", "plain"),
}


def federation(**options: Any) -> Farm:
    """Make the Federation's deployment."""
    return Farm(FEDERATION_HOSTS, FEDERATION_SERVERS, **options)
