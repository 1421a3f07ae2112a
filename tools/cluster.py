"""Starts a deployment on this machine: platform, backend servers, hosts."""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from typing import Any
from typing import NamedTuple
import urllib.error
import urllib.request

from nutmegscale import folder

MESH_KEY = "5d1f6f7a1c3e4b2a9d8c7b6a5f4e3d2c"
OPERATOR_TOKEN = "operators-demo-token"
READY_TIMEOUT_S = 120.0
POLL_S = 0.05
PORT_RANGE = (12_000, 32_000)  # TCP ports; the end is excluded


class WorkerPlan(NamedTuple):
    """A backend server to start.

    Attributes:
      name: Name of the backend server.
      failure_domain: Failure domain in which it is listed.
      pool: Pool of the configuration; gives an engine its costs.
      role: "prefill", "decode" or "plain".
    """

    name: str
    failure_domain: str
    pool: str
    role: str


class HostPlan(NamedTuple):
    """An entry host to start."""

    name: str
    failure_domain: str


class Plan(NamedTuple):
    """A deployment to start.

    Attributes:
      hosts: Entry hosts.
      workers: Backend servers.
      config_folder: Folder of the configuration to apply.
    """

    hosts: tuple[HostPlan, ...]
    workers: tuple[WorkerPlan, ...]
    config_folder: str


class Host(NamedTuple):
    """A started entry host."""

    plan: HostPlan
    process: subprocess.Popen[bytes]
    caller_url: str
    operator_url: str


class Worker(NamedTuple):
    """A started backend server."""

    plan: WorkerPlan
    process: subprocess.Popen[bytes]
    url: str


_allocated_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Return free TCP ports of the loopback address.

    The ports lie below the ephemeral range, so that no outgoing connection
    takes a port before its server listens on it. No port is returned twice.
    """
    rng = random.SystemRandom()
    ports: list[int] = []
    while len(ports) < count:
        port = rng.randrange(*PORT_RANGE)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _allocated_ports:
            _allocated_ports.add(port)
            ports.append(port)
    return ports


def call(
    method: str,
    url: str,
    body: Any = None,
    *,
    token: str = "",
    timeout_s: float = 5.0,
) -> Any:
    """Send a request with a JSON body and return the decoded response."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    if token:
        request.add_header("authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=timeout_s) as response:
        return json.loads(response.read())


class Cluster:
    """A running deployment; use as a context manager.

    Args:
      plan: Deployment to start.
      logs: Existing folder for the log files and the hosts' settings, which
        is kept; None for a temporary one.

    Attributes:
      folder: Folder of the log files and the hosts' settings.
      workers: Started backend servers by name.
      hosts: Started entry hosts by name.
      platform_url: Base URL of the platform stand-in.
    """

    def __init__(self, plan: Plan, *, logs: str | None = None) -> None:
        self._plan = plan
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = logs or self._temporary.name
        self._children: list[subprocess.Popen[bytes]] = []
        self.workers: dict[str, Worker] = {}
        self.hosts: dict[str, Host] = {}
        self.platform_url = ""
        self._host_ports: dict[str, tuple[int, int, int]] = {}
        self._host_list: dict[str, dict[str, Any]] = {}

    def __enter__(self) -> "Cluster":
        try:
            self._start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.stop()

    def _start(self) -> None:
        self._start_platform()
        for item in self._plan.workers:
            self.start_worker(item)
        self._publish_host_list()
        for host in self._plan.hosts:
            self.start_host(host)
        self._publish_host_list()
        self.wait_reachable()
        self.apply(self._plan.config_folder)
        self.wait_ready(list(self.hosts))

    def _spawn(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        path = os.path.join(self.folder, f"{name}.log")
        with open(path, "ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=log, stderr=log
            )
        self._children.append(child)
        return child

    def _start_platform(self) -> None:
        (port,) = free_ports(1)
        self._spawn("platform", "standins.platform", "--port", str(port))
        self.platform_url = f"http://127.0.0.1:{port}"
        self.wait(lambda: call("GET", f"{self.platform_url}/_admin/counts"))

    def start_worker(self, plan: WorkerPlan) -> None:
        """Start a backend server on a new port."""
        (port,) = free_ports(1)
        url = f"http://127.0.0.1:{port}"
        if plan.role == "plain":
            child = self._spawn(
                plan.name, "standins.plain", "--port", str(port)
            )
        else:
            child = self._spawn(
                plan.name,
                "standins.engine",
                "--port",
                str(port),
                "--role",
                plan.role,
                "--costs",
                json.dumps(self._costs(plan.pool)),
            )
        self.workers[plan.name] = Worker(plan, child, url)
        self._host_list[plan.name] = {
            "name": plan.name,
            "kind": "backend",
            "address": url,
            "failure_domain": plan.failure_domain,
            "pool": plan.pool,
            "state": "live",
        }

    def _costs(self, pool: str) -> Any:
        document = folder.load(self._plan.config_folder)
        return document["engines"][document["pools"][pool]["engine"]]

    def start_host(self, plan: HostPlan) -> None:
        """Start an entry host; a restarted host keeps its ports."""
        if plan.name not in self._host_ports:
            ports = free_ports(3)
            self._host_ports[plan.name] = (ports[0], ports[1], ports[2])
        caller, operator, mesh = self._host_ports[plan.name]
        settings = {
            "host": plan.name,
            "failure_domain": plan.failure_domain,
            "caller_port": caller,
            "operator_port": operator,
            "mesh_address": f"tcp://127.0.0.1:{mesh}",
            "mesh_key": MESH_KEY,
            "operator_token": OPERATOR_TOKEN,
            "platform_url": self.platform_url,
        }
        path = os.path.join(self.folder, f"{plan.name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        child = self._spawn(plan.name, "nutmegscale", "--settings", path)
        self.hosts[plan.name] = Host(
            plan,
            child,
            f"http://127.0.0.1:{caller}",
            f"http://127.0.0.1:{operator}",
        )
        self._host_list[plan.name] = {
            "name": plan.name,
            "kind": "entry",
            "state": "live",
            "address": settings["mesh_address"],
            "failure_domain": plan.failure_domain,
        }

    def _publish_host_list(self) -> None:
        rows = list(self._host_list.values())
        call("POST", f"{self.platform_url}/_admin/hosts", rows)

    def platform_faults(self, **faults: Any) -> None:
        """Set faults of the platform stand-in."""
        call("POST", f"{self.platform_url}/_admin/faults", faults)

    def status(self, name: str) -> Any:
        """Read the status of a host from its operator API."""
        return call(
            "GET",
            f"{self.hosts[name].operator_url}/v1/status",
            token=OPERATOR_TOKEN,
        )

    def wait(self, check: Any, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until a check returns a true value.

        Args:
          check: Function to call; connection and decoding errors count as
            false.
          timeout_s: Longest wait, seconds.

        Raises:
          TimeoutError: The check didn't succeed in time.
        """
        deadline = time.monotonic() + timeout_s
        last_error: object = None
        while time.monotonic() < deadline:
            try:
                if check():
                    return
            except (OSError, urllib.error.URLError, ValueError) as exc:
                last_error = exc
            time.sleep(POLL_S)
        raise TimeoutError(
            f"check not passed within {timeout_s} s, last error: {last_error}"
        )

    def wait_reachable(self) -> None:
        """Wait until every backend server and host answers."""
        for worker in self.workers.values():
            url = f"{worker.url}/v1/report"
            self.wait(lambda url=url: call("GET", url))
        for name in self.hosts:
            self.wait(lambda name=name: self.status(name))

    def wait_ready(self, names: list[str]) -> None:
        """Wait until hosts are ready and see as many hosts alive as started."""
        count = len(self.hosts)
        for name in names:
            self.wait(lambda name=name: self._is_ready(name, count))

    def _is_ready(self, name: str, count: int) -> bool:
        status = self.status(name)
        alive = [h for h in status["hosts"] if h["state"] == "alive"]
        return bool(status["ready"]) and len(alive) >= count

    def apply(self, path: str) -> None:
        """Apply a configuration folder with the command-line tool."""
        from nutmegscale import cli  # noqa: PLC0415

        os.environ[cli.TOKEN_VARIABLE] = OPERATOR_TOKEN
        urls = [host.operator_url for host in self.hosts.values()]
        arguments = ["config", "apply", path, "--json"]
        for url in urls:
            arguments += ["--host", url]
        if cli.main(arguments) != cli.EXIT_OK:
            raise RuntimeError(f"configuration {path!r} was rejected")

    def kill(self, process: subprocess.Popen[bytes]) -> None:
        """Kill a process of this deployment and wait for its exit."""
        process.send_signal(signal.SIGKILL)
        process.wait()

    def stop(self) -> None:
        """Kill every process and remove the temporary folder."""
        for child in self._children:
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
        for child in self._children:
            child.wait()
        self._temporary.cleanup()


def federation_plan() -> Plan:
    """Return the Federation's layout: 8 hosts, 5 engines, 4 plain workers."""
    domains = ("maadi", "nasr", "giza", "shorouk")
    hosts = tuple(HostPlan(f"{d}-{n}", d) for d in domains for n in (1, 2))
    engines = (
        WorkerPlan("prefill-maadi", "maadi", "notes-prefill", "prefill"),
        WorkerPlan("prefill-giza", "giza", "notes-prefill", "prefill"),
        WorkerPlan("decode-maadi", "maadi", "notes-decode", "decode"),
        WorkerPlan("decode-nasr", "nasr", "notes-decode", "decode"),
        WorkerPlan("decode-shorouk", "shorouk", "notes-decode", "decode"),
    )
    plain = tuple(
        WorkerPlan(f"entries-{d}", d, "entries", "plain") for d in domains
    )
    return Plan(hosts, (*engines, *plain), "examples/federation")


def consortium_plan() -> Plan:
    """Return the Consortium's layout: 8 hosts, 5 engines, 3 plain workers."""
    domains = ("brisbane-north", "ipswich", "gold-coast")
    numbers = {"brisbane-north": 3, "ipswich": 3, "gold-coast": 2}
    hosts = tuple(
        HostPlan(f"{d}-{n}", d)
        for d in domains
        for n in range(1, numbers[d] + 1)
    )
    engines = (
        WorkerPlan(
            "prefill-north", "brisbane-north", "appraise-prefill", "prefill"
        ),
        WorkerPlan("prefill-ipswich", "ipswich", "appraise-prefill", "prefill"),
        WorkerPlan(
            "decode-north", "brisbane-north", "appraise-decode", "decode"
        ),
        WorkerPlan("decode-ipswich", "ipswich", "appraise-decode", "decode"),
        WorkerPlan("decode-coast", "gold-coast", "appraise-decode", "decode"),
    )
    plain = tuple(
        WorkerPlan(f"storefront-{d}", d, "storefront", "plain") for d in domains
    )
    return Plan(hosts, (*engines, *plain), "examples/consortium")
