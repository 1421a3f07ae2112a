"""Backend server of the users' platform: plain calls, prefill and decode.

Speaks the published wire over any Twisted transport. Faults are set as
attributes and hold until they are taken back.
"""

from collections.abc import Callable
import json
from typing import Any

from twisted.internet import protocol

from nutmegscale import http_ingress
from nutmegscale import http_message

HANDLE_LIFE_S = 0.5
PREFILL_S = 0.1
EVENT_S = 0.05
SWITCH_S = 1.0


class PlatformWorker:
    """One incarnation of a backend server.

    Attributes:
      id: Name under which it registered.
      stage: "prefill", "decode", or "" for a plain service.
      slots: Requests at once.
      events: Number of events of each stream.
      work_s: Time that a plain call takes.
      is_full: Whether it rejects whatever comes.
      is_mute: Whether it runs requests and never answers.
      status: Status of its plain answers.
      raw_answer: Bytes to send in place of a plain answer.
      extra: Bytes to send behind a plain answer.
      breaks_after: Events after which a stream breaks off, or None.
      loses_handles: Whether handles lapse at once.
      poison: Body that crashes it when it runs, or b"".
      on_crash: Called when that happens.
      ran: Request ids that it ran, in order.
      seen: Heads of all requests that reached it.
      orders: Bodies of the orders that it took.
      on_stage: Called after its stage changed.
      cancelled: Request ids whose connection closed while they ran.
    """

    def __init__(
        self, clock: Any, worker_id: str, *, stage: str = "", slots: int = 4
    ) -> None:
        self._clock = clock
        self.id = worker_id
        self.stage = stage
        self.slots = slots
        self.events = 3
        self.work_s = 0.03
        self.is_full = False
        self.is_mute = False
        self.status = 200
        self.raw_answer = b""
        self.extra = b""
        self.breaks_after: int | None = None
        self.loses_handles = False
        self.poison = b""
        self.on_crash: Callable[[], None] = lambda: None
        self.ran: list[str] = []
        self.seen: list[http_message.RequestHead] = []
        self.cancelled: list[str] = []
        self.handles: dict[str, float] = {}
        self.freed: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.on_stage: Callable[[], None] = lambda: None
        self._running = 0
        self._prefills = 0
        self.sources: dict[str, PlatformWorker] = {}

    @property
    def running(self) -> int:
        """Number of slots that are taken."""
        return self._running

    def factory(self) -> protocol.Factory:
        """Make the factory of its connections."""
        return http_ingress.IngressFactory(
            self._clock, self, http_ingress.Limits
        )

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Answer a request."""
        head = request.head
        self.seen.append(head)
        if head.method == b"DELETE":
            name = head.target.rpartition(b"/")[2].decode()
            self.freed.append(name)
            self.handles.pop(name, None)
            request.respond(200, [], b"")
            return
        if head.get(b"target-instance") != self.id.encode():
            request.respond(421, [(b"Instance-Id", self.id.encode())], b"")
        elif head.target == b"/nutmegscale/order":
            self._take_order(request)
        elif self.is_full or self._running >= self.slots:
            self._reject(request)
        elif self.stage == "":
            self._run_plain(request)
        elif head.get(b"stage") == b"prefill":
            self._prefill(request)
        elif self.stage == "prefill":
            request.respond(421, [(b"Instance-Id", self.id.encode())], b"")
        else:
            self._decode(request)

    def _take_order(self, request: http_ingress.IncomingRequest) -> None:
        order = json.loads(request.body)
        self.orders.append(order)

        def _switch() -> None:
            self.stage = order["stage"]
            self.on_stage()

        self._clock.callLater(SWITCH_S, _switch)
        request.respond(202, [], b"")

    def _reject(self, request: http_ingress.IncomingRequest) -> None:
        request.respond(503, [(b"Not-Executed", b"1"), self._load()], b"")

    def _load(self) -> http_message.Header:
        return (b"Server-Load", b"%d,0,%d" % (self._running, self.slots))

    def _begin(
        self, request: http_ingress.IncomingRequest
    ) -> Callable[[], None]:
        """Take a slot; the function that is returned frees it."""
        name = _id(request)
        self.ran.append(name)
        self._running += 1
        if self.poison and request.body == self.poison:
            self._clock.callLater(0, self.on_crash)
        is_over = False

        def _end() -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self._running -= 1

        def _gone() -> None:
            self.cancelled.append(name)
            _end()

        request.watch_disconnect(_gone)
        return _end

    def _headers(self, request: http_ingress.IncomingRequest) -> Any:
        return [
            (b"Request-Id", _id(request).encode()),
            (b"Response-Signature", b"proof-" + self.id.encode()),
            self._load(),
        ]

    def _run_plain(self, request: http_ingress.IncomingRequest) -> None:
        end = self._begin(request)

        def _answer() -> None:
            end()
            if request.is_ended or self.is_mute:
                return
            if self.raw_answer:
                connection = request._connection
                connection.send(self.raw_answer)
                connection.transport.loseConnection()
                return
            headers = self._headers(request)
            connection = request._connection
            request.respond(self.status, headers, request.body or b"page")
            connection.send(self.extra)

        self._clock.callLater(self.work_s, _answer)

    def _prefill(self, request: http_ingress.IncomingRequest) -> None:
        self._prefills += 1
        name = f"h{self._prefills}"

        def _answer() -> None:
            if request.is_ended:
                return
            life_s = 0.0 if self.loses_handles else HANDLE_LIFE_S
            self.handles[name] = self._clock.seconds() + life_s
            body = {"handle": name, "tokens": 1, "version": 1}
            request.respond(200, [], json.dumps(body).encode())

        self._clock.callLater(PREFILL_S, _answer)

    def _decode(self, request: http_ingress.IncomingRequest) -> None:
        source = request.head.get(b"kv-source")
        wait_s = 2 * PREFILL_S
        if source is not None:
            address, _, name = source.decode().rpartition("/")
            until = (
                self.sources[address].handles.pop(name, 0.0)
                if address in self.sources
                else 0.0
            )
            if until <= self._clock.seconds():
                self._reject(request)
                return
            wait_s = 0.001
        end = self._begin(request)
        first = int(request.head.get(b"last-event-id") or b"0") + 1
        self._clock.callLater(wait_s, self._stream, request, first, end, True)

    def _stream(
        self,
        request: http_ingress.IncomingRequest,
        number: int,
        end: Callable[[], None],
        is_first: bool,
    ) -> None:
        if request.is_ended or self.is_mute:
            return
        if is_first:
            headers = [(b"Content-Type", b"text/event-stream")]
            request.start(200, headers + self._headers(request))
        if self.breaks_after is not None and number > self.breaks_after:
            request.write(b"id: %d\ndat" % number)
            self._clock.callLater(0, request.abort)
            end()
            return
        request.write(b"id: %d\ndata: token\n\n" % number)
        if number < self.events:
            self._clock.callLater(
                EVENT_S, self._stream, request, number + 1, end, False
            )
        else:
            end()
            request.finish()


def _id(request: http_ingress.IncomingRequest) -> str:
    return (request.head.get(b"request-id") or b"").decode()
