"""Callers of the soak, and what they hold against the hosts."""

import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from nutmegscale import periodic
from standins import raw_caller
from tools import soak_world

PATIENCE_S = 14.0
ROUTES = {
    "brief": "stream",
    "digest": "stream",
    "confirm": "unsafe",
    "slot": "",
}
POLL_S = 0.02


class Violation(NamedTuple):
    """A promise that wasn't kept."""

    at: float
    promise: str
    request: str
    detail: str


class Sent(NamedTuple):
    """One request and what became of it.

    Attributes:
      request: Its id.
      route: Its route.
      host: Host that it was sent to.
      began: When it was sent.
      ended: When its answer was whole, or nobody waited any more.
      status: Status of the answer; 0 if none came.
      fault: What is wrong with a whole success; b"" if nothing is.
      is_whole: Whether the answer is whole.
      is_closed: Whether the host closed the connection.
      left_early: Whether the caller left before the answer was whole.
    """

    request: str
    route: str
    host: str
    began: float
    ended: float
    status: int
    fault: bytes
    is_whole: bool
    is_closed: bool
    left_early: bool


class Callers:
    """Callers that keep their connections and check their answers."""

    def __init__(
        self, world: soak_world.SoakWorld, rng: random.Random, count: int
    ) -> None:
        self._world = world
        self._rng = rng
        self._number = 0
        self.is_stopping = False
        self.done: list[Sent] = []
        self.violations: list[Violation] = []
        self._running = [periodic.spawn(self._live(n)) for n in range(count)]

    async def stop(self) -> None:
        """Let every caller end its request."""
        self.is_stopping = True
        await defer.DeferredList(self._running)

    def _now(self) -> float:
        return float(self._world.reactor.seconds())

    async def _live(self, number: int) -> None:
        await periodic.sleep(self._world.reactor, self._rng.uniform(3.0, 5.0))
        while not self.is_stopping:
            host = self._rng.choice(self._world.hosts)
            connection = await self._connect(host)
            if connection is None:
                await periodic.sleep(self._world.reactor, 0.2)
                continue
            await self._use(connection, host)

    async def _connect(self, host: soak_world.Host) -> raw_caller.Caller | None:
        factory: Any = protocol.Factory.forProtocol(raw_caller.Caller)
        factory.noisy = False
        endpoint = endpoints.TCP4ClientEndpoint(
            self._world.reactor, host.ip, soak_world.FRONT_PORT, timeout=1
        )
        try:
            made = await endpoint.connect(factory)
        except Exception:  # noqa: BLE001
            # Hosts are down at times: the caller goes to another one.
            return None
        assert isinstance(made, raw_caller.Caller)
        return made

    async def _use(
        self, connection: raw_caller.Caller, host: soak_world.Host
    ) -> None:
        """Send requests on a connection until it is closed."""
        for _ in range(self._rng.randint(1, 20)):
            if self.is_stopping or connection.is_closed:
                break
            sent = await self._ask(connection, host)
            self.done.append(sent)
            self._judge(sent)
            if sent.is_closed or not sent.is_whole or sent.left_early:
                break
            pause_s = self._rng.expovariate(4.0)
            await periodic.sleep(self._world.reactor, pause_s)
        connection.transport.abortConnection()

    async def _ask(
        self, connection: raw_caller.Caller, host: soak_world.Host
    ) -> Sent:
        self._number += 1
        request = f"s{self._number}"
        route = self._rng.choice(list(ROUTES))
        body = f"{request} {self._rng.random()}".encode()
        lines = [
            f"POST /{route}/x HTTP/1.1",
            "Host: clubs.example",
            f"Request-Id: {request}",
            f"Deadline-Ms: {int(PATIENCE_S * 1000)}",
            f"Content-Length: {len(body)}",
        ]
        if ROUTES[route] == "stream":
            lines += ["Token-Count: 5000,4000", "Model: m"]
        before = len(connection.replies)
        began = self._now()
        connection.transport.write(
            "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        )
        leaves_at = began + PATIENCE_S
        if self._rng.random() < 0.05:
            leaves_at = began + self._rng.uniform(0.05, 1.0)
        while not connection.is_closed and self._now() < leaves_at:
            replies = connection.replies[before:]
            if replies and replies[0].is_whole:
                break
            await periodic.sleep(self._world.reactor, POLL_S)
        reply = raw_caller.Reply()
        if len(connection.replies) > before:
            reply = connection.replies[before]
        if len(connection.replies) > before + 1:
            self._blame("answer nobody asked for", request, "")
        return Sent(
            request,
            route,
            host.name,
            began,
            self._now(),
            reply.status,
            _fault_of(route, reply, body),
            reply.is_whole,
            connection.is_closed,
            not connection.is_closed and not reply.is_whole,
        )

    def _blame(self, promise: str, request: str, detail: str) -> None:
        self.violations.append(Violation(self._now(), promise, request, detail))

    def _judge(self, sent: Sent) -> None:
        """Check what can be seen of one answer alone."""
        if sent.fault:
            detail = sent.fault.decode("latin-1")
            self._blame("whole answer to its own caller", sent.request, detail)
        runs = self._runs(sent.request)
        if ROUTES[sent.route] == "unsafe" and runs > 1:
            self._blame("runs at most once", sent.request, f"{runs} runs")
        if sent.status == 503 and sent.is_whole and runs:
            self._blame("a refusal is true", sent.request, f"{runs} runs")

    def _runs(self, request: str) -> int:
        workers = [*self._world.workers.values(), *self._world.gone]
        unique = {id(w): w.worker for w in workers}
        return sum(w.ran.count(request) for w in unique.values())

    def judge_end(self) -> None:
        """Check what must hold once all is quiet."""
        for sent in self.done:
            runs = self._runs(sent.request)
            if ROUTES[sent.route] == "unsafe" and runs > 1:
                self._blame("runs at most once", sent.request, f"{runs} runs")
            if sent.status == 503 and sent.is_whole and runs:
                self._blame("a refusal is true", sent.request, f"{runs} runs")
        for name, worker in self._world.workers.items():
            if worker.worker.running:
                detail = f"{worker.worker.running} slots of {name}"
                self._blame("memory is freed", "", detail)


def _fault_of(route: str, reply: raw_caller.Reply, body: bytes) -> bytes:
    """Return b"" if an answer is right, else what is wrong with it."""
    if reply.status != 200 or not reply.is_whole:
        return b""
    if ROUTES[route] != "stream":
        return b"" if reply.body == body else reply.body or b"empty"
    lines = reply.body.split(b"\n")
    ids = [int(x[3:]) for x in lines if x.startswith(b"id:")]
    is_whole = ids == list(range(1, len(ids) + 1)) and bool(ids)
    return b"" if is_whole else b"ids %r" % ids
