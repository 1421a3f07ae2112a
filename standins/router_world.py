"""Simulated hosts, backend servers, store and callers, without sockets."""

import functools
import random
from typing import Any
from typing import NamedTuple

from twisted.internet import protocol
from twisted.internet import task

from nutmegscale import customers
from nutmegscale import http_ingress
from nutmegscale import retry_share
from nutmegscale import router
from nutmegscale import router_settings
from nutmegscale import upstream
from nutmegscale.platform import codecs
from nutmegscale.platform import routing_config
from nutmegscale.platform import worker_entries
from standins import fake_network
from standins import memory_net
from standins import platform_rows
from standins import platform_worker
from standins import raw_caller
from standins import row_table

STEP_S = 0.005
STARTUP_S = 2.0

QUOTA_RULE = customers.QuotaRule(8.0, 0.1, 120_000.0)
CODECS = codecs.make_codecs()


class SentRequest(NamedTuple):
    """A caller's request: when it was sent, seconds, and its route."""

    at: float
    route: str


class Host(NamedTuple):
    """A host, and the factory and address of its port for callers."""

    router: router.Router
    ingress: http_ingress.IngressFactory
    address: str


def _relay_address(peer_address: str) -> str:
    return peer_address.removeprefix("tcp://") + ":81"


class Simulation:
    """Small deployment on a virtual clock.

    Attributes:
      clock: Clock of all hosts, backend servers and callers.
      net: Connections to the hosts and backend servers, by address.
      peer_network: Network between the hosts, by name.
      store: The row store.
      workers: Backend servers by name.
      addresses: Addresses of the backend servers by name.
      suspended_s: Time that the hosts were suspended, which `clock` doesn't
        count, seconds.
      hosts: The hosts.
      sent: Requests of callers, in order.
    """

    def __init__(
        self,
        *,
        hosts: int = 1,
        seed: int = 1,
        retry_extra: float = 56.0,
        failure_domains: tuple[str, ...] = ("maadi",),
    ) -> None:
        """Create the hosts without starting them.

        Args:
          hosts: Number of hosts.
          seed: Seed of all random choices.
          retry_extra: Fixed part of the retry budget of all hosts, in retries.
          failure_domains: Failure domains, given to the hosts in turn.
        """
        self.clock = task.Clock()
        self.net = memory_net.MemoryNet(self.clock)
        self.peer_network = fake_network.Network(self.clock)
        self.store = row_table.RowTable(self.clock)
        self.workers: dict[str, platform_worker.PlatformWorker] = {}
        self.addresses: dict[str, str] = {}
        self._rng = random.Random(seed)
        self._request_count = 0
        self._retry_extra = retry_extra
        self.sent: list[SentRequest] = []
        self.suspended_s = 0.0
        self.hosts: list[Host] = []
        for number in range(hosts):
            domain = failure_domains[number % len(failure_domains)]
            self.add_host(f"host-{number}", domain)

    def add_host(self, name: str, failure_domain: str = "maadi") -> Host:
        """Create a host without starting it."""
        pool = upstream.UpstreamPool(
            None,
            self.clock,
            connect=functools.partial(self.net.connect, source=name),
        )
        host_router = router.Router(
            router_settings.RouterSettings(
                host=name,
                failure_domain=failure_domain,
                peer_address=f"tcp://{name}",
                link_mbps=1000.0,
                grace_s=8.0,
                retry_limits=retry_share.Limits(0.2, self._retry_extra, 10.0),
                relay_address_of=_relay_address,
                is_first_start=self.clock.seconds() == 0.0,
                quota_rule=QUOTA_RULE,
            ),
            self.clock,
            store=self.store.for_host(name),
            pool=pool,
            transport=fake_network.FakeTransport(self.peer_network, name),
            codecs=CODECS,
            rng=random.Random(self._rng.random()),
            boot_now=lambda: self.clock.seconds() + self.suspended_s,
        )
        self.peer_network.receivers[name] = host_router.mesh.receive
        ingress = http_ingress.IngressFactory(
            self.clock, host_router, lambda: host_router.board.limits
        )
        address = f"{name}:80"
        self.net.listen(address, ingress)
        relayed = http_ingress.IngressFactory(
            self.clock, host_router.relayed, lambda: host_router.board.limits
        )
        self.net.listen(_relay_address(f"tcp://{name}"), relayed)
        added = Host(host_router, ingress, address)
        self.hosts.append(added)
        return added

    def kill_host(self, index: int) -> None:
        """Kill a host; its ports refuse connections from then on."""
        before = self.hosts[index]
        before.router.stop()
        factory = self.net.close(before.address)
        relayed = self.net.close(
            _relay_address(f"tcp://{before.router.board.host}")
        )
        for connection in [*factory.connections, *relayed.connections]:
            connection.transport.abortConnection()
        self.peer_network.receivers.pop(before.router.board.host)

    def restart_host(self, index: int) -> None:
        """Kill a host and start it again without its memory."""
        before = self.hosts[index]
        self.kill_host(index)
        board = before.router.board
        self.hosts[index] = self.add_host(board.host, board.failure_domain)
        self.hosts.pop()
        self.hosts[index].router.start()

    def add_worker(
        self,
        name: str,
        *,
        stage: str = "",
        slots: int = 4,
        born: int = 1,
        version: str = "v1",
    ) -> platform_worker.PlatformWorker:
        """Start a backend server and write its entry to the store."""
        added = platform_worker.PlatformWorker(
            self.clock, name, stage=stage, slots=slots
        )
        added.version = version
        added.on_stage_change = lambda: self.write_entry(name, born=born)
        address = f"{name}:{len(self.addresses) + 1000}"
        self.addresses[name] = address
        self.workers[name] = added
        for worker in self.workers.values():
            worker.sources = {
                self.addresses[n]: w for n, w in self.workers.items()
            }
        self.net.listen(address, added.factory())
        self.write_entry(name, born=born)
        return added

    def crash_worker(self, name: str, seconds: float) -> None:
        """Stop a backend server and start it again after a time."""
        address = self.addresses[name]
        factory = self.net.close(address)
        for connection in list(factory.connections):
            connection.transport.abortConnection()
        self.clock.callLater(seconds, self.net.listen, address, factory)

    def write_entry(self, name: str, **changes: Any) -> None:
        """Write the entry of a backend server."""
        worker = self.workers[name]
        service = (
            platform_rows.MODEL_SERVICE
            if worker.stage
            else platform_rows.PLAIN_SERVICE
        )
        row = platform_rows.entry_row(
            service,
            self.addresses[name],
            stage=worker.stage,
            slots=worker.slots,
            **{"version": worker.version, **changes},
        )
        self.store.put(worker_entries.TABLE, name, row)

    def start_default_workers(self) -> None:
        """Write a configuration and start two backend servers of each stage."""
        self.configure()
        for name in ("p1", "p2"):
            self.add_worker(name, stage="prefill")
        for name in ("d1", "d2"):
            self.add_worker(name, stage="decode")
        for name in ("w1", "w2"):
            self.add_worker(name)

    def configure(self, version: int = 1, **changes: Any) -> None:
        """Write a configuration."""
        row = platform_rows.config_row(version, **changes)
        self.store.put(routing_config.TABLE, routing_config.KEY, row)

    def start(self, seconds: float = STARTUP_S) -> None:
        """Start all hosts and give them time to discover each other."""
        for host in self.hosts:
            host.router.start()
        self.run(seconds)

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of `STEP_S`."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)

    def open_connection(self, host: int = 0) -> raw_caller.Caller:
        """Open a caller's connection to a host."""
        factory = protocol.Factory.forProtocol(raw_caller.Caller)
        opened: list[raw_caller.Caller] = []
        connected = self.net.connect(self.hosts[host].address, factory)
        connected.addCallback(opened.append)
        self.run(0.01)
        return opened[0]

    def send(
        self,
        route: str,
        *,
        host: int = 0,
        on: raw_caller.Caller | None = None,
        method: str = "POST",
        body: bytes = b"hello",
        patience_ms: int = 14_000,
        resource: str = "x?q=1",
        **headers: str,
    ) -> raw_caller.Caller:
        """Send a request and return its connection without waiting."""
        caller = on or self.open_connection(host)
        self._request_count += 1
        self.sent.append(SentRequest(self.clock.seconds(), route))
        lines = [
            f"{method} /{route}/{resource} HTTP/1.1",
            "Host: clubs.example",
            f"Request-Id: r{self._request_count}",
            f"Deadline-Ms: {patience_ms}",
        ]
        if route in ("brief", "digest"):
            lines.append("Token-Count: 5000,4000")
            lines.append("Model: m")
        lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        caller.transport.write(head + body)
        return caller

    def ask(
        self, route: str, seconds: float = 2.0, **more: Any
    ) -> raw_caller.Reply:
        """Send a request, advance the clock and return the answer so far."""
        caller = self.send(route, **more)
        self.run(seconds)
        return caller.replies[-1] if caller.replies else raw_caller.Reply()
