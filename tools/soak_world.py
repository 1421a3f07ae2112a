"""Deployment of the soak test: daemon processes, stand-ins behind proxies."""

from collections.abc import Callable
import os
import pathlib
import random
import signal
import subprocess
import sys
from typing import Any

import msgspec

from nutmegscale import http_ingress
from nutmegscale import retry_share
from nutmegscale.platform import routing_config
from nutmegscale.platform import worker_entries
from standins import fault_proxy
from standins import platform_rows
from standins import platform_worker
from standins import row_table
from standins import store_site
from tools import soak_links

# Each host has a loopback address of its own, 127.SUBNET.0.x; ports are the
# same on all. A soak derives its subnet from its process id, so that several
# can run at once.
FRONT_PORT = 18_144
READY_PORT = 18_140
PEER_PORT = 17_660
GRACE_S = 8
# Time without heartbeats after which the store removes an entry.
LAPSE_S = 3.6
# Start of the paths that crash each backend server that runs them.
POISON_PREFIX = "/slot/poison-"
RETRY_BUDGET = retry_share.Limits(ratio=0.2, extra=56.0, window_s=10.0)
SETTINGS = """
nodeName = "{name}"
ip = "{ip}"
zone = "{zone}"
internalPorts = [{peer}, {peer_end}]
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[bounds]
graceS = {grace}
drainMs = 2000
{bounds}
retryBudgetRatio = {budget.ratio}
budgetExtra = {budget.extra}
budgetWindowS = {budget.window_s}
[platform]
address = "{store}"
"""


SPLIT_PREFIX = b"/split/"
# Plain route whose requests need no key.
OPEN_ROUTE = "open"


class Host:
    """One daemon, and the proxy between it and the store.

    Attributes:
      name: Name of the host.
      ip: Loopback address of its own.
      zone: Failure domain.
      settings: Path of the settings file.
      log: Path of the log file.
      process: The latest daemon process, or None.
      may_start: Whether the daemon may still be started.
      disturbed_at: When it was last started or signalled, seconds of the
        reactor clock.
      store_proxy: Proxy of its connections to the store.
      links: Its ways to the backend servers, by name.
      cut: How it is cut off from all backend servers; "" if it isn't.
      build: Folder of the build that it starts; None for this one.
    """

    def __init__(
        self, number: int, zone: str, folder: pathlib.Path, subnet: int
    ) -> None:
        self.name = f"host-{number}"
        self.ip = f"127.{subnet}.0.{number + 10}"
        self.links: dict[str, soak_links.HostLink] = {}
        self.cut = ""
        self.build: pathlib.Path | None = None
        self.zone = zone
        self.settings = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.may_start = True
        self.disturbed_at = 0.0
        self._log_start = 0
        self.store_proxy: Any = None

    def start(self) -> None:
        """Start the daemon, unless the soak test has ended."""
        if not self.may_start:
            return
        environment = {
            **os.environ,
            "NUTMEGSCALE_SETTINGS": str(self.settings.resolve()),
        }
        with open(self.log, "ab") as out:
            self._log_start = out.tell()
            self.process = subprocess.Popen(
                [sys.executable, "-m", "nutmegscale.platform_daemon"],
                # Modules of the working directory go before installed ones.
                cwd=self.build,
                env=environment,
                stdout=out,
                stderr=out,
            )

    def add_link(self, name: str, link: soak_links.HostLink) -> None:
        """Reach a new incarnation of a backend server through a link."""
        before = self.links.get(name)
        if before is not None:
            before.close()
        self.links[name] = link
        if self.cut:
            link.cut(self.cut)

    def cut_off(self, how: str) -> None:
        """Cut the host off from all servers; see `soak_links.CUT_KINDS`."""
        self.cut = how
        for link in self.links.values():
            link.cut(how)

    def heal_links(self) -> None:
        """End a cut."""
        self.cut = ""
        for link in self.links.values():
            link.heal()

    def signal(self, number: int) -> None:
        """Send a signal to the daemon if it runs."""
        if self.is_running:
            assert self.process is not None
            self.process.send_signal(number)

    def restart(self) -> None:
        """Kill the daemon if it runs, and start it again."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.start()

    @property
    def has_joined(self) -> bool:
        """Whether the running daemon has found the other hosts."""
        with open(self.log, "rb") as log:
            log.seek(self._log_start)
            return b"event=joined" in log.read()

    @property
    def is_running(self) -> bool:
        """Whether the daemon runs."""
        return self.process is not None and self.process.poll() is None


class Worker:
    """One incarnation of a backend server behind its proxy.

    Attributes:
      server: The backend server.
      proxy: Proxy of the connections to it.
      address: Address of the proxy.
      born: Number of the incarnation, unique within the soak test.
      listening_ports: Ports of the server and the proxy; empty once stopped.
      draining_since: When it was set to draining, seconds of the reactor
        clock, or None.
    """

    def __init__(
        self, server: platform_worker.PlatformWorker, proxy: Any
    ) -> None:
        self.server = server
        self.proxy = proxy
        self.address = ""
        self.born = 0
        self.listening_ports: list[Any] = []
        self.draining_since: float | None = None


class SoakDeployment:
    """Hosts, backend servers and store of one soak test.

    Attributes:
      on_poison: Called with the name of a server that runs a request that
        crashes it; stops it by default.
      tenants: Customers of the next configuration, as the operator writes
        them; None if it has none. With customers there is a public route.
    """

    def __init__(
        self,
        reactor: Any,
        folder: pathlib.Path,
        hosts: int,
        rng: random.Random,
        *,
        subnet: int = 1,
        bounds: str = "",
    ) -> None:
        """Create the deployment without starting it.

        Args:
          reactor: Twisted reactor.
          folder: Folder of the hosts' settings and logs.
          hosts: Number of hosts.
          rng: Source of random numbers.
          subnet: Second number of the hosts' addresses.
          bounds: Further lines of the section `bounds` of their settings.
        """
        self.reactor = reactor
        self.rng = rng
        self.store = row_table.RowTable(reactor)
        # Host of each connection to a server, by the port that it comes from.
        self._sources: dict[int, str] = {}
        self.next_version = 1
        self._config = b""
        self._has_split_route = False
        self.tenants: list[dict[str, Any]] | None = None
        self.on_poison: Callable[[str], None] = self.crash_worker
        self.workers: dict[str, Worker] = {}
        self.stopped_workers: list[Worker] = []
        self.hosts = [
            Host(n, ("maadi", "giza")[n % 2], folder, subnet)
            for n in range(hosts)
        ]
        self._last_incarnation = 1
        for host in self.hosts:
            self._start_store_proxy(host)
            host.settings.write_text(
                SETTINGS.format(
                    name=host.name,
                    ip=host.ip,
                    zone=host.zone,
                    peer=PEER_PORT,
                    peer_end=PEER_PORT + 15,
                    front=FRONT_PORT,
                    ready=READY_PORT,
                    grace=GRACE_S,
                    budget=RETRY_BUDGET,
                    bounds=bounds,
                    store=host.store_proxy.address,
                ),
                encoding="utf-8",
            )
        self.configure()
        for name, stage in (
            ("p1", "prefill"),
            ("p2", "prefill"),
            ("d1", "decode"),
            ("d2", "decode"),
            ("d3", "decode"),
            ("w1", ""),
            ("w2", ""),
            ("w3", ""),
        ):
            self.add_worker(name, stage)

    def start(self) -> None:
        """Start all daemons."""
        for host in self.hosts:
            host.start()

    def stop(self) -> None:
        """Kill the daemons that this soak test started."""
        for host in self.hosts:
            # Pending restart timers must not start the daemon again.
            host.may_start = False
            host.signal(signal.SIGCONT)
            host.signal(signal.SIGKILL)
            if host.process is not None:
                host.process.wait()

    def _listen(self, factory: Any) -> Any:
        return self.reactor.listenTCP(0, factory, interface="127.0.0.1")

    def _start_proxy(self, factory: Any) -> tuple[Any, list[Any]]:
        port = self._listen(factory)
        proxy: Any = fault_proxy.FaultProxy(
            self.reactor,
            "127.0.0.1",
            port.getHost().port,
            sources=self._sources,
        )
        proxy_port = self._listen(proxy)
        proxy.address = f"127.0.0.1:{proxy_port.getHost().port}"
        return proxy, [port, proxy_port]

    def _start_store_proxy(self, host: Host) -> None:
        view: Any = soak_links.HostView(self.store, host.links)
        site = store_site.StoreSite(view, host.name)
        factory = http_ingress.IngressFactory(
            self.reactor, site, http_ingress.Limits
        )
        host.store_proxy, _ = self._start_proxy(factory)

    def add_split_route(self) -> None:
        """Split streams among services with and without engines."""
        self._has_split_route = True
        self.configure()
        for worker in self.workers.values():
            worker.server.stream_prefix = SPLIT_PREFIX

    def configure(self, extra_routes: int = 0) -> None:
        """Write the next configuration, with additional routes."""
        state = msgspec.json.decode(platform_rows.config_row(self.next_version))
        template = state["routes"][3]
        for number in range(extra_routes):
            name = f"extra-{number}"
            state["routes"].append(
                {**template, "name": name, "pathPrefix": f"/{name}/"}
            )
        if self.tenants is not None:
            state["tenants"] = self.tenants
            public = {"name": OPEN_ROUTE, "pathPrefix": f"/{OPEN_ROUTE}/"}
            state["routes"].append({**template, **public, "public": True})
        if self._has_split_route:
            weights = {
                platform_rows.MODEL_SERVICE: 50,
                platform_rows.PLAIN_SERVICE: 50,
            }
            state["routes"].append(
                platform_rows.split_route("split", weights, resumable=True)
            )
        self._config = msgspec.json.encode(state)
        self.store.put(routing_config.TABLE, routing_config.KEY, self._config)
        self.next_version += 1

    def add_worker(self, name: str, stage: str) -> None:
        """Start a backend server, or a new incarnation of it."""
        self._last_incarnation += 1
        server = platform_worker.PlatformWorker(
            self.reactor, name, stage=stage, slots=6
        )
        server.version = f"v{1 + self._last_incarnation % 2}"
        if self._has_split_route:
            server.stream_prefix = SPLIT_PREFIX
        server.poison_prefix = POISON_PREFIX.encode()
        server.on_crash = lambda: self.on_poison(name)
        server.event_count = self.rng.choice((8, 20, 40))
        proxy, ports = self._start_proxy(server.factory())
        worker = Worker(server, proxy)
        worker.address, worker.listening_ports = proxy.address, ports
        worker.born = self._last_incarnation
        self.workers[name] = worker
        server.on_stage_change = lambda: self.write_entry(name)
        server.source_of = lambda port: self._sources.get(port, "")
        self._add_links(name, worker.address)
        self._update_sources()
        self.write_entry(name)

    def _add_links(self, name: str, address: str) -> None:
        """Let each host reach a server through a link of its own."""
        for host in self.hosts:
            proxy = soak_links.make_proxy(
                self.reactor, address, host=host.name, sources=self._sources
            )
            link = soak_links.HostLink(self.reactor, host.ip, proxy)
            host.add_link(name, link)

    def _update_sources(self) -> None:
        """Tell all servers where prefill results can be fetched."""
        sources = {w.address: w.server for w in self.workers.values()}
        for host in self.hosts:
            for name, link in host.links.items():
                if name in self.workers:
                    sources[link.address] = self.workers[name].server
        for worker in self.workers.values():
            worker.server.sources = sources

    def write_again(self) -> None:
        """Write the configuration and all entries after a restore.

        Entries of servers that are gone lapse some time later.
        """
        self.store.put(routing_config.TABLE, routing_config.KEY, self._config)
        for name in self.workers:
            self.write_entry(name)
        self.reactor.callLater(LAPSE_S, self._remove_lapsed)

    def _remove_lapsed(self) -> None:
        for row in self.store.rows(worker_entries.TABLE):
            if row.key not in self.workers:
                self.store.remove(worker_entries.TABLE, row.key)

    def write_entry(self, name: str) -> None:
        """Write the entry of a backend server."""
        worker = self.workers[name]
        state = "ready" if worker.draining_since is None else "draining"
        stage = worker.server.stage
        row = platform_rows.entry_row(
            platform_rows.MODEL_SERVICE
            if stage
            else platform_rows.PLAIN_SERVICE,
            worker.address,
            stage=stage,
            slots=worker.server.slots,
            state=state,
            born=worker.born,
            version=worker.server.version,
        )
        self.store.put(worker_entries.TABLE, name, row)

    def crash_worker(self, name: str) -> None:
        """Stop a backend server without draining it."""
        worker = self.workers[name]
        ports, worker.listening_ports = worker.listening_ports, []
        for port in ports:
            port.stopListening()
        worker.proxy.reset_all()
        for host in self.hosts:
            host.links[name].close()
        if ports:
            self.stopped_workers.append(worker)

    def remove_worker(self, name: str) -> None:
        """Stop a drained backend server and remove its entry."""
        self.crash_worker(name)
        del self.workers[name]
        self.store.remove(worker_entries.TABLE, name)
