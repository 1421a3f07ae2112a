"""Backend server of the platform: plain calls, prefill and decode.

Speaks the HTTP interface of the platform's backend servers over any Twisted
transport. Faults are set as attributes and stay in force until they are reset.
"""

from collections.abc import Callable
import json
import math
from typing import Any
from typing import NamedTuple

from twisted.internet import protocol

from nutmegscale import http_ingress
from nutmegscale import http_message
from tools import limit_window

HANDLE_TTL_S = 0.5
PREFILL_S = 0.1
EVENT_INTERVAL_S = 0.05
STAGE_CHANGE_S = 1.0
ENDLESS_INTERVAL_S = 0.005
DRIP_INTERVAL_S = 0.8


class Received(NamedTuple):
    """A request of a caller that reached a backend server.

    Attributes:
      at: When it arrived, seconds of the server's clock.
      request: Its id.
      is_accepted_prefill: Whether the server accepted it for prefill.
    """

    at: float
    request: str
    is_accepted_prefill: bool = False


class StreamEvent(NamedTuple):
    """An event of a stream that a backend server wrote.

    Attributes:
      stream: Name of the attempt that began the stream.
      version: Version of the server's software.
      number: Id of the event.
    """

    stream: str
    version: str
    number: int


class PlatformWorker:
    """One incarnation of a backend server.

    Attributes:
      id: Name under which it registered.
      stage: "prefill", "decode", or "" for a plain service.
      slots: Number of requests that it runs at once.
      version: Version of its software.
      stream_events: All events of streams that it wrote, in order.
      handle_versions: Versions of the workers whose prefills it ran from.
      event_count: Number of events of each stream.
      stream_prefix: Start of the paths that it answers with streams in a
        plain service, or b"".
      has_framing: Whether its streams come in chunks; otherwise they end with
        their connections.
      service_time_s: Time that a plain call takes, seconds.
      further_load: What follows the three figures of the load that it states,
        such as ",250", possibly malformed.
      is_full: Whether it rejects every request.
      rejects_every: It rejects each request whose number, from 1, is a multiple
        of this; none if 0.
      is_unresponsive: Whether it runs requests but never answers.
      status: Status of its plain answers.
      limit: Requests a second that its answers state as its limit, as text
        and possibly malformed; "" for none.
      limit_statements: Changes of that limit.
      limit_contacts: Answers that stated it.
      is_leaving: Whether its answers say that it leaves.
      leaving_contacts: Answers that said so.
      pause: Pause that its rejections ask for, as text and possibly malformed;
        "" for none.
      pause_contacts: Rejections that asked for it.
      arrivals: All requests that reached it, with the hosts that sent them.
      raw_response: Bytes to send instead of a plain answer, or b"".
      trailing_bytes: Bytes to send after a plain answer.
      break_after_events: Number of events after which a stream breaks off,
        or None.
      break_prefix: Start of the paths of the streams that do so.
      handles_expire_at_once: Whether prefill handles expire at once.
      raw_prefill: Bytes that it answers to a prefill before it closes the
        connection, or b"".
      resets_raw: Whether it resets the connection after raw bytes instead.
      continuation: Bytes that it answers to a resumed run, with `{id}` in place
        of the request's id, or b""; it then closes the connection.
      beginning: The same for a run that isn't resumed.
      poison: Body that crashes it when it runs, or b"".
      poison_prefix: Start of the paths that crash it when they run, or b"".
      poison_parts: Parts of prompts that crash it when it begins the answer.
      endless: Bytes that it repeats without end, after the first event of a
        stream and as the body of other answers than plain ones, or b"".
      endless_answers: Number of connections on which it does so.
      event_interval_s: Time between two events of a stream, seconds.
      drip: Byte that it sends now and then after the first event of a stream,
        without end, or b"".
      crashes_in_prefill: Whether it crashes when it prefills one of them.
      on_crash: Called when it crashes on one of them.
      ran: Ids of the requests that it ran, in order.
      ran_at: When each of them began, seconds of the clock.
      request_heads: Heads of all requests that reached it.
      received: Requests of callers that reached it, rejected ones included.
      orders: Bodies of the orders that it accepted.
      on_stage_change: Called after its stage changed.
      source_of: Returns the host that opened a connection, by its port, where
        the connection doesn't say it.
      handles: Expiry of each prefill handle, seconds of the clock.
      freed: Handles that it was requested to free, in order.
      sources: All backend servers by address, to fetch prefill results from.
      cancelled: Ids of the requests whose connection closed while they ran.
    """

    drip: bytes = b""
    further_load = ""
    service_time_s = 0.03
    break_prefix = b""
    stream_prefix = b""
    has_framing = True

    def __init__(
        self, clock: Any, worker_id: str, *, stage: str = "", slots: int = 4
    ) -> None:
        self._clock = clock
        self.id = worker_id
        self.stage = stage
        self.slots = slots
        self.version = "v1"
        self.stream_events: list[StreamEvent] = []
        self.handle_versions: list[str] = []
        self.event_count = 3
        self.is_full = False
        self.rejects_every = 0
        self.is_unresponsive = False
        self.status = 200
        self._limit = ""
        self.limit_statements: list[limit_window.Statement] = []
        self.limit_contacts: list[limit_window.Contact] = []
        self.is_leaving = False
        self.leaving_contacts: list[limit_window.Contact] = []
        self.pause = ""
        self.pause_contacts: list[limit_window.Contact] = []
        self.arrivals: list[limit_window.Contact] = []
        self.raw_response = b""
        self.trailing_bytes = b""
        self.break_after_events: int | None = None
        self.handles_expire_at_once = False
        self.raw_prefill = b""
        self.resets_raw = False
        self.continuation = b""
        self.beginning = b""
        self.poison = b""
        self.poison_prefix = b""
        self.endless = b""
        self.endless_answers = 0
        self.event_interval_s = EVENT_INTERVAL_S
        self._silent_until = 0.0
        self.poison_parts: frozenset[bytes] = frozenset()
        self.crashes_in_prefill = False
        self.on_crash: Callable[[], None] = lambda: None
        self.ran: list[str] = []
        self.ran_at: list[float] = []
        self.request_heads: list[http_message.RequestHead] = []
        self.received: list[Received] = []
        self.cancelled: list[str] = []
        self.handles: dict[str, float] = {}
        self.freed: list[str] = []
        self.orders: list[dict[str, Any]] = []
        self.on_stage_change: Callable[[], None] = lambda: None
        self.source_of: Callable[[int], str] = lambda _: ""
        self._running = 0
        self._prefills = 0
        self.sources: dict[str, PlatformWorker] = {}

    @property
    def limit(self) -> str:
        """Limit that its answers state, or ""."""
        return self._limit

    @limit.setter
    def limit(self, value: str) -> None:
        self._limit = value
        try:
            per_s = float(value) if value else None
        except ValueError:
            return
        self.limit_statements.append(
            limit_window.Statement(self._clock.seconds(), per_s)
        )

    def worst_limit_window(self) -> limit_window.WorstWindow | None:
        """Return the window that comes closest to its limit."""
        return limit_window.worst_window(
            self.limit_statements, self.arrivals, self.limit_contacts
        )

    @property
    def prefills(self) -> int:
        """Number of prefills that it began."""
        return self._prefills

    @property
    def running(self) -> int:
        """Number of occupied slots."""
        return self._running

    def pause_streams(self, seconds: float) -> None:
        """Send no event of a stream for a time."""
        self._silent_until = self._clock.seconds() + seconds

    def factory(self) -> protocol.Factory:
        """Create the factory for its connections."""
        return http_ingress.IngressFactory(
            self._clock, self, http_ingress.Limits
        )

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Handle a request."""
        head = request.head
        self.request_heads.append(head)
        self.arrivals.append(self._contact(request))
        if head.method == b"DELETE":
            name = head.target.rpartition(b"/")[2].decode()
            self.freed.append(name)
            self.handles.pop(name, None)
            self._end_call(request, 200)
            return
        if head.target == b"/nutmegscale/order":
            self._apply_order(request)
            return
        self.received.append(
            Received(self._clock.seconds(), _request_id(request))
        )
        if head.get(b"target-instance") != self.id.encode():
            self._misdirect(request)
        elif self._must_reject():
            self._reject(request)
        elif self.stage == "" and not self._has_stream(head):
            self._run_plain(request)
        elif head.get(b"stage") == b"prefill":
            self._prefill(request)
        elif self.stage == "prefill":
            self._misdirect(request)
        else:
            self._decode(request)

    def _has_stream(self, head: http_message.RequestHead) -> bool:
        prefix = self.stream_prefix
        return bool(prefix) and head.target.startswith(prefix)

    def _contact(
        self, request: http_ingress.IncomingRequest
    ) -> limit_window.Contact:
        transport = request._connection.transport
        if hasattr(transport, "source"):
            source = transport.source
        else:
            source = self.source_of(transport.getPeer().port)
        return limit_window.Contact(self._clock.seconds(), source)

    def _common_headers(
        self, request: http_ingress.IncomingRequest
    ) -> list[http_message.Header]:
        """Return the headers of each answer that is sent now."""
        headers = []
        request_id = _request_id(request)
        if request_id:
            headers.append((b"Request-Id", request_id.encode()))
        if self._limit:
            self.limit_contacts.append(self._contact(request))
            headers.append((b"Server-Limit", self._limit.encode()))
        if self.is_leaving:
            self.leaving_contacts.append(self._contact(request))
            headers.append((b"Server-Leaving", b"1"))
        return headers

    def arrivals_after(
        self, contacts: list[limit_window.Contact]
    ) -> list[tuple[str, float]]:
        """Return the requests of hosts that an answer had told something.

        Args:
          contacts: Answers that told it, such as `leaving_contacts`.

        Returns:
          Host of each request, and the seconds since it was first told.
        """
        told: dict[str, float] = {}
        for contact in contacts:
            told.setdefault(contact.host, contact.at)
        return [
            (arrival.host, arrival.at - told[arrival.host])
            for arrival in self.arrivals
            if arrival.at > told.get(arrival.host, math.inf)
        ]

    def _misdirect(self, request: http_ingress.IncomingRequest) -> None:
        headers = self._common_headers(request)
        instance = (b"Instance-Id", self.id.encode())
        request.respond(421, [instance, *headers], b"")

    def _apply_order(self, request: http_ingress.IncomingRequest) -> None:
        order = json.loads(request.body)
        self.orders.append(order)

        def _switch() -> None:
            self.stage = order["stage"]
            self.on_stage_change()

        self._clock.callLater(STAGE_CHANGE_S, _switch)
        self._end_call(request, 202)

    def _end_call(
        self, request: http_ingress.IncomingRequest, status: int
    ) -> None:
        """Answer a call of a host with an empty body, or one without end."""
        if self.endless:
            request.start(status, self._common_headers(request))
            self._send_without_end(request)
        else:
            request.respond(status, self._common_headers(request), b"")

    def _send_without_end(self, request: http_ingress.IncomingRequest) -> None:
        self.endless_answers += 1

        def _end() -> None:
            self.endless_answers -= 1

        request.watch_disconnect(_end)
        self._repeat(request)

    def _repeat(self, request: http_ingress.IncomingRequest) -> None:
        if not request.is_ended:
            request.write(self.endless)
            self._clock.callLater(ENDLESS_INTERVAL_S, self._repeat, request)

    def _drip(self, request: http_ingress.IncomingRequest) -> None:
        if not request.is_ended:
            request.write(self.drip)
            self._clock.callLater(DRIP_INTERVAL_S, self._drip, request)

    def _must_reject(self) -> bool:
        is_next = bool(
            self.rejects_every and len(self.received) % self.rejects_every == 0
        )
        return self.is_full or is_next or self._running >= self.slots

    def _reject(self, request: http_ingress.IncomingRequest) -> None:
        headers = [
            (b"Not-Executed", b"1"),
            self._load_header(),
            *self._common_headers(request),
        ]
        for value in self.pause.split("|") if self.pause else ():
            self.pause_contacts.append(self._contact(request))
            headers.append((b"Retry-After", value.encode()))
        request.respond(503, headers, b"")

    def _load_header(self) -> http_message.Header:
        value = f"{self._running},0,{self.slots}{self.further_load}"
        return (b"Server-Load", value.encode())

    def _occupy_slot(
        self, request: http_ingress.IncomingRequest
    ) -> Callable[[], None]:
        """Occupy a slot; return the function that frees it."""
        name = _request_id(request)
        self.ran.append(name)
        self.ran_at.append(self._clock.seconds())
        self._running += 1
        if self._is_poison(request):
            self._clock.callLater(0, self.on_crash)
        is_over = False

        def _end() -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self._running -= 1

        def _on_disconnect() -> None:
            self.cancelled.append(name)
            _end()

        request.watch_disconnect(_on_disconnect)
        return _end

    def _is_poison(self, request: http_ingress.IncomingRequest) -> bool:
        target = request.head.target
        if self.poison_prefix and target.startswith(self.poison_prefix):
            return True
        return self.poison != b"" and request.body == self.poison

    def _has_poison_part(self, request: http_ingress.IncomingRequest) -> bool:
        parts = request.head.get(b"prompt-prefix") or b""
        names = [part.partition(b":")[0] for part in parts.split(b",")]
        return not self.poison_parts.isdisjoint(names)

    def _answer_headers(self, request: http_ingress.IncomingRequest) -> Any:
        return [
            (b"Response-Signature", b"proof-" + self.id.encode()),
            self._load_header(),
            *self._common_headers(request),
        ]

    def _run_plain(self, request: http_ingress.IncomingRequest) -> None:
        release_slot = self._occupy_slot(request)

        def _answer() -> None:
            release_slot()
            if request.is_ended or self.is_unresponsive:
                return
            if self.raw_response:
                self._send_raw(request, self.raw_response)
                return
            headers = self._answer_headers(request)
            connection = request._connection
            request.respond(self.status, headers, request.body or b"page")
            connection.send(self.trailing_bytes)

        self._clock.callLater(self.service_time_s, _answer)

    def _send_raw(
        self, request: http_ingress.IncomingRequest, raw: bytes
    ) -> None:
        """Send bytes, with `{id}` replaced, and end the connection."""
        named = raw.replace(b"{id}", _request_id(request).encode())
        transport = request._connection.transport
        transport.write(named)
        if self.resets_raw:
            transport.abortConnection()
        else:
            transport.loseConnection()

    def _prefill(self, request: http_ingress.IncomingRequest) -> None:
        self._prefills += 1
        accepted = self.received[-1]._replace(is_accepted_prefill=True)
        self.received[-1] = accepted
        if self.crashes_in_prefill and (
            self._is_poison(request) or self._has_poison_part(request)
        ):
            self._clock.callLater(0, self.on_crash)
        name = f"h{self._prefills}"

        def _answer() -> None:
            if request.is_ended:
                return
            ttl_s = 0.0 if self.handles_expire_at_once else HANDLE_TTL_S
            self.handles[name] = self._clock.seconds() + ttl_s
            if self.raw_prefill:
                self._send_raw(request, self.raw_prefill)
                return
            body = {"handle": name, "tokens": 1, "version": 1}
            headers = self._common_headers(request)
            request.respond(200, headers, json.dumps(body).encode())

        self._clock.callLater(PREFILL_S, _answer)

    def _decode(self, request: http_ingress.IncomingRequest) -> None:
        source = request.head.get(b"kv-source")
        # A local prefill takes twice as long as on a prefill worker.
        wait_s = 2 * PREFILL_S
        if source is not None:
            address, _, name = source.decode().rpartition("/")
            expires_at = (
                self.sources[address].handles.pop(name, 0.0)
                if address in self.sources
                else 0.0
            )
            if expires_at <= self._clock.seconds():
                self._reject(request)
                return
            self.handle_versions.append(self.sources[address].version)
            wait_s = 0.001
        release_slot = self._occupy_slot(request)
        first = int(request.head.get(b"last-event-id") or b"0") + 1
        raw = self.continuation if first > 1 else self.beginning
        if raw:
            self._send_raw(request, raw)
            release_slot()
            return
        self._clock.callLater(
            wait_s, self._stream, request, first, release_slot, True
        )

    def _stream(
        self,
        request: http_ingress.IncomingRequest,
        number: int,
        release_slot: Callable[[], None],
        is_first: bool,
    ) -> None:
        if request.is_ended or self.is_unresponsive:
            return
        if is_first:
            headers = [(b"Content-Type", b"text/event-stream")]
            self._start(request, headers + self._answer_headers(request))
            if self._has_poison_part(request):
                self._clock.callLater(0, self.on_crash)
                return
        if (
            self.break_after_events is not None
            and number > self.break_after_events
            and request.head.target.startswith(self.break_prefix)
        ):
            self._write(request, b"id: %d\ndat" % number)
            self._clock.callLater(0, self._break_off, request)
            release_slot()
            return
        first = request.head.get(b"resumes") or _request_id(request).encode()
        self.stream_events.append(
            StreamEvent(first.decode(), self.version, number)
        )
        self._write(request, b"id: %d\ndata: token\n\n" % number)
        if self.endless:
            release_slot()
            self._send_without_end(request)
            return
        if self.drip:
            self._drip(request)
            return
        if number < self.event_count:
            silent_s = self._silent_until - self._clock.seconds()
            self._clock.callLater(
                max(self.event_interval_s, silent_s),
                self._stream,
                request,
                number + 1,
                release_slot,
                False,
            )
        else:
            release_slot()
            self._finish(request)

    def _start(
        self,
        request: http_ingress.IncomingRequest,
        headers: list[http_message.Header],
    ) -> None:
        if self.has_framing:
            request.start(200, headers)
            return
        lines = [b"HTTP/1.1 200 OK", *(b"%b: %b" % pair for pair in headers)]
        self._write(request, b"\r\n".join(lines) + b"\r\n\r\n")

    def _write(
        self, request: http_ingress.IncomingRequest, data: bytes
    ) -> None:
        if self.has_framing:
            request.write(data)
        else:
            request._connection.transport.write(data)

    def _break_off(self, request: http_ingress.IncomingRequest) -> None:
        if self.has_framing:
            request.abort()
        else:
            request._connection.transport.loseConnection()

    def _finish(self, request: http_ingress.IncomingRequest) -> None:
        if self.has_framing:
            request.finish()
        else:
            request._connection.transport.loseConnection()


def _request_id(request: http_ingress.IncomingRequest) -> str:
    return (request.head.get(b"request-id") or b"").decode()
