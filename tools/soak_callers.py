"""Callers of the soak test, which check the answers of the hosts."""

import random
from typing import Any
from typing import NamedTuple

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol

from nutmegscale import http_message
from nutmegscale import periodic
from standins import platform_rows
from standins import platform_worker
from standins import raw_caller
from tools import retry_window
from tools import soak_world

PATIENCE_S = 14.0
# Kind of each route; "" is a plain route whose requests may run twice.
ROUTES = {
    "brief": "stream",
    "digest": "stream",
    "confirm": "unsafe",
    "slot": "",
}
POLL_S = 0.02
# Answers that guarantee that the request hasn't run.
REFUSALS = (401, 408, 421, 429, 503)


class Violation(NamedTuple):
    """A guarantee that wasn't kept.

    Attributes:
      at: When it was found, seconds of the reactor clock.
      promise: Name of the guarantee.
      request: Id of the request, or "".
      detail: What was observed.
    """

    at: float
    promise: str
    request: str
    detail: str


class RequestRecord(NamedTuple):
    """One request and its outcome.

    Attributes:
      request: Its id.
      route: Its route.
      host: Host that it was sent to.
      sent_at: When it was sent, seconds of the reactor clock.
      ended_at: When its answer was complete, its connection was closed or the
        caller stopped waiting, seconds of the reactor clock.
      status: Status of the answer; 0 if none came.
      defect: What is wrong with a complete, successful answer, or b"".
      is_complete: Whether the answer is complete.
      is_closed: Whether the host closed the connection.
      is_abandoned: Whether the caller stopped waiting for the answer.
    """

    request: str
    route: str
    host: str
    sent_at: float
    ended_at: float
    status: int
    defect: bytes
    is_complete: bool
    is_closed: bool
    is_abandoned: bool


def kind_of(route: str) -> str:
    """Return the kind of a route; see `ROUTES`."""
    return ROUTES.get(route, "")


class Callers:
    """Callers that keep connections open and check their answers.

    Attributes:
      further_lines: Header lines that all their requests have.
      is_stopping: Whether callers stop after their current requests.
      records: All requests that have ended.
      violations: Guarantees that weren't kept.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        rng: random.Random,
        count: int,
    ) -> None:
        self._deployment = deployment
        self._rng = rng
        self._request_count = 0
        self.is_stopping = False
        self.further_lines: list[str] = []
        self.records: list[RequestRecord] = []
        self.violations: list[Violation] = []
        self._loops = [
            periodic.spawn(self._run_caller(n)) for n in range(count)
        ]

    async def stop(self) -> None:
        """Stop all callers after their current requests."""
        self.is_stopping = True
        await defer.DeferredList(self._loops)

    def _now(self) -> float:
        return float(self._deployment.reactor.seconds())

    async def _run_caller(self, number: int) -> None:
        await periodic.sleep(
            self._deployment.reactor, self._rng.uniform(3.0, 5.0)
        )
        while not self.is_stopping:
            host = self._rng.choice(self._deployment.hosts)
            connection = await self.connect(host)
            if connection is None:
                await periodic.sleep(self._deployment.reactor, 0.2)
                continue
            await self._use_connection(connection, host)

    async def connect(self, host: soak_world.Host) -> raw_caller.Caller | None:
        """Connect to a host; return None if it accepts no connection."""
        factory: Any = protocol.Factory.forProtocol(raw_caller.Caller)
        factory.noisy = False
        endpoint = endpoints.TCP4ClientEndpoint(
            self._deployment.reactor, host.ip, soak_world.FRONT_PORT, timeout=1
        )
        try:
            connection = await endpoint.connect(factory)
        except Exception:  # noqa: BLE001
            # Hosts may be down at times; the caller then tries another one.
            return None
        assert isinstance(connection, raw_caller.Caller)
        return connection

    async def wait_for_answer(
        self, connection: raw_caller.Caller, limit_s: float
    ) -> None:
        """Wait until the first answer on a connection is complete.

        Args:
          connection: The connection; the wait ends, too, if it is closed.
          limit_s: Longest wait, seconds.
        """
        give_up_at = self._now() + limit_s
        while not connection.is_closed and self._now() < give_up_at:
            if connection.replies and connection.replies[0].is_complete:
                return
            await periodic.sleep(self._deployment.reactor, POLL_S)

    async def send_once(self, host: soak_world.Host, route: str) -> bool:
        """Send one request to a host on a new connection.

        Returns:
          Whether the host took the connection.
        """
        connection = await self.connect(host)
        if connection is None:
            return False
        record = await self._send_request(connection, host, route=route)
        self.records.append(record)
        self._check_answer(record)
        connection.transport.abortConnection()
        return True

    def next_request(self) -> str:
        """Return the id of a new request."""
        self._request_count += 1
        return f"s{self._request_count}"

    async def ask(
        self,
        host: soak_world.Host,
        route: str,
        request: str,
        lines: list[str],
    ) -> RequestRecord | None:
        """Send a request to a host on a new connection, for another one.

        Args:
          host: The host.
          route: Route of the request.
          request: Its id.
          lines: Header lines that it has in place of `further_lines`.

        Returns:
          Its outcome, which isn't recorded here; None if the host took no
          connection.
        """
        connection = await self.connect(host)
        if connection is None:
            return None
        record = await self._send_request(
            connection, host, route=route, request=request, lines=lines
        )
        self._check_answer(record)
        connection.transport.abortConnection()
        return record

    async def _use_connection(
        self, connection: raw_caller.Caller, host: soak_world.Host
    ) -> None:
        """Send requests on a connection until it is closed."""
        for _ in range(self._rng.randint(1, 20)):
            if self.is_stopping or connection.is_closed:
                break
            record = await self._send_request(connection, host)
            self.records.append(record)
            self._check_answer(record)
            if (
                record.is_closed
                or not record.is_complete
                or record.is_abandoned
            ):
                break
            pause_s = self._rng.expovariate(4.0)
            await periodic.sleep(self._deployment.reactor, pause_s)
        connection.transport.abortConnection()

    async def _send_request(
        self,
        connection: raw_caller.Caller,
        host: soak_world.Host,
        *,
        route: str = "",
        request: str = "",
        lines: list[str] | None = None,
    ) -> RequestRecord:
        request = request or self.next_request()
        route = route or self._rng.choice(list(ROUTES))
        body = f"{request} {self._rng.random()}".encode()
        head = [
            f"POST /{route}/x HTTP/1.1",
            "Host: clubs.example",
            f"Request-Id: {request}",
            f"Deadline-Ms: {int(PATIENCE_S * 1000)}",
            f"Content-Length: {len(body)}",
            *(self.further_lines if lines is None else lines),
        ]
        if kind_of(route) == "stream":
            head += ["Token-Count: 5000,4000", "Model: m"]
        earlier_replies = len(connection.replies)
        sent_at = self._now()
        connection.transport.write(
            "\r\n".join(head).encode() + b"\r\n\r\n" + body
        )
        leaves_at = sent_at + PATIENCE_S
        # For one request in twenty the caller disconnects early.
        if self._rng.random() < 0.05:
            leaves_at = sent_at + self._rng.uniform(0.05, 1.0)
        while not connection.is_closed and self._now() < leaves_at:
            replies = connection.replies[earlier_replies:]
            if replies and replies[0].is_complete:
                break
            await periodic.sleep(self._deployment.reactor, POLL_S)
        reply = raw_caller.Reply()
        if len(connection.replies) > earlier_replies:
            reply = connection.replies[earlier_replies]
        if len(connection.replies) > earlier_replies + 1:
            self.record_violation("answer nobody asked for", request, "")
        return RequestRecord(
            request,
            route,
            host.name,
            sent_at,
            self._now(),
            reply.status,
            _find_defect(route, reply, body),
            reply.is_complete,
            connection.is_closed,
            not connection.is_closed and not reply.is_complete,
        )

    def record_violation(self, promise: str, request: str, detail: str) -> None:
        """Record a guarantee that wasn't kept."""
        self.violations.append(Violation(self._now(), promise, request, detail))

    def _check_answer(self, record: RequestRecord) -> None:
        """Check a single answer on its own."""
        if record.defect:
            detail = record.defect.decode("latin-1")
            self.record_violation(
                "whole answer to its own caller", record.request, detail
            )
        self._check_runs(record)

    def _check_runs(self, record: RequestRecord) -> None:
        """Check how often a request has run so far."""
        runs = self._count_runs(record.request)
        if kind_of(record.route) == "unsafe" and runs > 1:
            self.record_violation(
                "runs at most once", record.request, f"{runs} runs"
            )
        if record.status in REFUSALS and record.is_complete and runs:
            self.record_violation(
                "a refusal is true", record.request, f"{runs} runs"
            )

    def _all_servers(self) -> list[platform_worker.PlatformWorker]:
        workers = [
            *self._deployment.workers.values(),
            *self._deployment.stopped_workers,
        ]
        return list({id(w): w.server for w in workers}.values())

    def all_runs(self) -> list[str]:
        """Return the id of the request of each run."""
        return [name for server in self._all_servers() for name in server.ran]

    def all_timed_runs(self) -> list[tuple[float, str]]:
        """Return when each run began, seconds, and its request, in order."""
        return sorted(
            run
            for server in self._all_servers()
            for run in zip(server.ran_at, server.ran, strict=True)
        )

    def all_heads(self) -> list[tuple[str, http_message.RequestHead]]:
        """Return the head of each request, and the server that got it."""
        return [
            (server.id, head)
            for server in self._all_servers()
            for head in server.request_heads
        ]

    def all_received(self) -> set[str]:
        """Return the ids of the requests that reached a server."""
        return {
            received.request
            for server in self._all_servers()
            for received in server.received
        }

    def all_stream_events(self) -> list[platform_worker.StreamEvent]:
        """Return the events of all streams that servers wrote."""
        return [
            e for server in self._all_servers() for e in server.stream_events
        ]

    def worst_retry_windows(
        self, plain_sent_at: list[float], model_sent_at: list[float]
    ) -> list[retry_window.WorstWindow]:
        """Return the worst window of retries of each service.

        Args:
          plain_sent_at: When others sent requests to the plain service,
            seconds of the reactor clock.
          model_sent_at: The same for the model service.
        """
        model, plain = platform_rows.MODEL_SERVICE, platform_rows.PLAIN_SERVICE
        arrivals = [
            retry_window.Arrival(
                received.at,
                model if server.stage else plain,
                received.request,
                received.is_accepted_prefill,
            )
            for server in self._all_servers()
            for received in server.received
        ]
        requests = [retry_window.Event(at, plain) for at in plain_sent_at]
        requests += [retry_window.Event(at, model) for at in model_sent_at]
        for record in self.records:
            is_stream = ROUTES[record.route] == "stream"
            service = model if is_stream else plain
            requests.append(retry_window.Event(record.sent_at, service))
        return retry_window.worst_windows(
            retry_window.retries_of(arrivals),
            requests,
            soak_world.RETRY_BUDGET,
        )

    def _count_runs(self, request: str) -> int:
        return self.all_runs().count(request)

    def check_records(self, records: list[RequestRecord]) -> None:
        """Check how often each request has run, once all have ended."""
        for record in records:
            self._check_runs(record)

    def check_final_state(self) -> None:
        """Check what must hold once all requests have ended."""
        self.check_records(self.records)
        for name, worker in self._deployment.workers.items():
            if worker.server.running:
                detail = f"{worker.server.running} slots of {name}"
                self.record_violation("memory is freed", "", detail)


def _find_defect(route: str, reply: raw_caller.Reply, body: bytes) -> bytes:
    """Return what is wrong with a complete, successful answer, or b""."""
    if reply.status != 200 or not reply.is_complete:
        return b""
    if kind_of(route) != "stream":
        return b"" if reply.body == body else reply.body or b"empty"
    lines = reply.body.split(b"\n")
    ids = [int(x[3:]) for x in lines if x.startswith(b"id:")]
    is_complete = ids == list(range(1, len(ids) + 1)) and bool(ids)
    return b"" if is_complete else b"ids %r" % ids
