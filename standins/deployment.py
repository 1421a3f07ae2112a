"""Complete deployment in one process, on a virtual clock."""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer
from twisted.internet import task

from nutmegscale import application
from nutmegscale import config
from nutmegscale import errors
from nutmegscale import exchange
from nutmegscale import folder
from nutmegscale import periodic
from standins import fake_network
from standins import fake_platform
from standins import fake_servers

STEP_S = 0.002


class Sink:
    """An `exchange.Sink` that records what it receives.

    Attributes:
      text: Text received so far.
      failure: Failure received, or None.
      end_count: How often the end of the answer was received.
      is_disconnected: Whether the caller closed the connection.
      is_connection_lost: Whether the connection broke as its host was killed.
      first_text_at: Time of the first text, seconds of the clock, or None.
      last_text_at: Time of the latest text, seconds of the clock.
    """

    def __init__(self, now: Callable[[], float] = lambda: 0.0) -> None:
        self._now = now
        self.text = ""
        self.failure: errors.Failure | None = None
        self.end_count = 0
        self.is_disconnected = False
        self.is_connection_lost = False
        self.first_text_at: float | None = None
        self.last_text_at = 0.0

    @property
    def is_finished(self) -> bool:
        """Whether the answer ended, failed or lost its connection."""
        return bool(self.end_count or self.failure or self.is_connection_lost)

    def write(self, text: str) -> None:
        """Append text and record its time."""
        if self.is_connection_lost:
            return
        assert not self.end_count, "text after the end"
        if self.first_text_at is None:
            self.first_text_at = self._now()
        self.last_text_at = self._now()
        self.text += text

    def end(self, tokens: int) -> None:
        """Count the end of the answer."""
        if not self.is_connection_lost:
            self.end_count += 1

    def fail(self, failure: errors.Failure) -> None:
        """Record the failure."""
        if not (self.is_connection_lost or self.is_disconnected):
            self.failure = failure


class Deployment:
    """Entry hosts, backend servers, network and platform on one clock.

    Attributes:
      document: The configuration.
      servers: Current backend servers by name.
      all_servers: All backend servers, including those that were replaced.
      domains: Failure domain of each entry host, by name, also while it is
        killed.
      hosts: Running entry hosts by name.
    """

    def __init__(
        self,
        hosts: dict[str, str],
        servers: dict[str, tuple[str, str, str]],
        *,
        folder_path: str = "examples/federation",
        seed: int = 1,
        ready: bool = True,
    ) -> None:
        """Start all servers and hosts.

        Args:
          hosts: Failure domain of each entry host, by name.
          servers: Failure domain, pool and role of each backend server, by
            name.
          folder_path: Folder of the configuration.
          seed: Seed of all random choices.
          ready: Whether to apply the configuration and wait until all hosts
            are ready.
        """
        self.clock: Any = task.Clock()
        self.clock.advance(100.0)
        self.rng = random.Random(seed)
        self.network = fake_network.Network(self.clock)
        self.platform = fake_platform.FakePlatform(self.clock)
        self.document = folder.load(folder_path)
        self.servers: dict[str, fake_servers.FakeServer] = {}
        self.all_servers: list[fake_servers.FakeServer] = []
        self.domains = dict(hosts)
        for name, (domain, pool, role) in servers.items():
            self.add_server(name, domain, pool, role)
        self.hosts: dict[str, application.Application] = {}
        self._sinks: list[tuple[str, Sink]] = []
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
    ) -> fake_servers.FakeServer:
        """Start a backend server and add it to the host list."""
        profile: Any = self.document.get("engines", {})["standard"]
        self.servers[name] = fake_servers.FakeServer(
            self.clock, name, role, dict(profile)
        )
        self.all_servers.append(self.servers[name])
        self.platform.host_list.append(
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
        """Start an entry host, also after `kill`."""
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
            transport=fake_network.FakeTransport(self.network, name),
            platform=fake_platform.FakePlatformClient(
                self.platform, self.network, name
            ),
            engines=lambda url: self._make_engine(name, url),
            clients=lambda url: self._make_client(name, url),
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
        self.platform.host_list = [
            r for r in self.platform.host_list if r["name"] != name
        ] + [row]
        app.start()
        return app

    def _make_engine(self, host: str, url: str) -> fake_servers.FakeEngine:
        return fake_servers.FakeEngine(
            self, host, self.servers[url.removeprefix("http://")]
        )

    def _make_client(self, host: str, url: str) -> Any:
        return fake_servers.FakeClient(
            self, host, self.servers[url.removeprefix("http://")]
        )

    def kill(self, host: str) -> None:
        """Kill an entry host: stop its timers and break its connections."""
        app = self.hosts.pop(host)
        app.stop()
        self.network.receivers.pop(host, None)
        self.network.cut |= {(host, other) for other in self.names()}
        for sink_host, sink in self._sinks:
            if sink_host == host and not sink.is_finished:
                sink.is_connection_lost = True
        app.exchanges.cancel_all()

    def restart_host(self, host: str) -> None:
        """Restart a killed host with empty memory."""
        self.network.heal(host)
        self.start_host(host)

    def apply(self, host: str, attempt: str = "first") -> Any:
        """Apply the configuration through a host."""
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
        """Send a model request to a host and return the sink of its answer."""
        sink = Sink(self.clock.seconds)
        self._sinks.append((host, sink))
        request = exchange.ModelRequest(
            caller, request_id, service, prompt, max_tokens
        )
        periodic.spawn(self.hosts[host].exchanges.serve(request, sink))
        return sink

    def disconnect(self, host: str, sink: Sink) -> None:
        """Close the caller's connection."""
        sink.is_disconnected = True
        request: Any = None
        self.hosts[host].exchanges.handle_disconnect(request, sink)

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of `STEP_S`."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def run_until(self, check: Callable[[], bool], limit_s: float) -> float:
        """Advance the clock until a condition holds; fail at the limit.

        Returns:
          The time that passed on the clock, in seconds.
        """
        started_at: float = self.clock.seconds()
        while not check():
            assert self.clock.seconds() - started_at < limit_s, (
                f"condition not met within {limit_s} s"
            )
            self.clock.advance(STEP_S)
        return float(self.clock.seconds() - started_at)

    def wait(self, coroutine: Any, limit_s: float = 30.0) -> Any:
        """Run a coroutine to completion and return its result."""
        results: list[Any] = []
        running = defer.ensureDeferred(coroutine)
        running.addBoth(results.append)
        self.run_until(lambda: bool(results), limit_s)
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def names(self) -> list[str]:
        """Return the names of all hosts, servers and the platform."""
        return [*self.domains, *self.servers, "platform"]

    def names_in(self, failure_domain: str) -> list[str]:
        """Return the names of the hosts and servers of a failure domain."""
        hosts = [h for h, d in self.domains.items() if d == failure_domain]
        rows = self.platform.host_list
        servers = [
            r["name"]
            for r in rows
            if r["kind"] == "backend" and r["failure_domain"] == failure_domain
        ]
        return [*hosts, *servers]

    def restart_server(self, name: str) -> None:
        """Replace a backend server by a new one under its name and address."""
        old = self.servers[name]
        self.servers[name] = fake_servers.FakeServer(
            self.clock, name, old.role, old.model.costs._asdict()
        )
        self.all_servers.append(self.servers[name])

    def held_run_ids(self) -> list[str]:
        """Return ids of the runs that engines report as held.

        These runs hold memory or are queued or running in prefill.
        """
        return [
            run["run_id"]
            for server in self.servers.values()
            if not server.is_crashed
            for run in server.model.running()
        ]

    def count_prefills(self, prompt: str) -> int:
        """Count the requests to any engine to prefill a prompt."""
        return sum(
            s.prefill_prompts.count(prompt) for s in self.servers.values()
        )

    def document_with(self, **changes: Any) -> config.Document:
        """Return the checked configuration with changed top-level fields."""
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
CONSORTIUM_HOSTS = {
    "north-1": "brisbane-north",
    "north-2": "brisbane-north",
    "north-3": "brisbane-north",
    "ipswich-1": "ipswich",
    "ipswich-2": "ipswich",
    "ipswich-3": "ipswich",
    "coast-1": "gold-coast",
    "coast-2": "gold-coast",
}
CONSORTIUM_SERVERS = {
    "prefill-north": ("brisbane-north", "appraise-prefill", "prefill"),
    "prefill-ipswich": ("ipswich", "appraise-prefill", "prefill"),
    "decode-north": ("brisbane-north", "appraise-decode", "decode"),
    "decode-ipswich": ("ipswich", "appraise-decode", "decode"),
    "decode-coast": ("gold-coast", "appraise-decode", "decode"),
    "storefront-north": ("brisbane-north", "storefront", "plain"),
    "storefront-ipswich": ("ipswich", "storefront", "plain"),
    "storefront-coast": ("gold-coast", "storefront", "plain"),
}


def federation(**options: Any) -> Deployment:
    """Create the deployment of the federation example."""
    return Deployment(FEDERATION_HOSTS, FEDERATION_SERVERS, **options)


def consortium(**options: Any) -> Deployment:
    """Create the deployment of the consortium example."""
    return Deployment(
        CONSORTIUM_HOSTS,
        CONSORTIUM_SERVERS,
        folder_path="examples/consortium",
        **options,
    )
