"""Context of one request that all runners share: deadline, answer and log."""

from typing import Any

from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import customers
from nutmegscale import errors
from nutmegscale import http_ingress
from nutmegscale import http_message
from nutmegscale import logs
from nutmegscale import quarantine
from nutmegscale import request_sends
from nutmegscale import retry_share
from nutmegscale import routes
from nutmegscale import routing_board

# Part of a caller's patience reserved for transmitting the answer, seconds.
ANSWER_MARGIN_S = 0.05
# Header of a refusal for the host that has passed the request on: the reason.
OUTCOME_HEADER = b"relay-outcome"
# Parts of a prompt that a log line names.
MAX_LOGGED_PARTS = 16


class RequestContext:
    """A caller's request while this host serves it.

    Attributes:
      incoming: The request as it came in, to be answered.
      request: The decoded request.
      route: Route that it matched.
      service: Service that was chosen for it.
      deadline: Time by which it must be answered, by the host's clock,
        seconds.
      waited_s: How long its caller had waited before this attempt, seconds.
      customer: Customer that sent it; None if it is unknown or keys aren't
        used.
      rank: Rank among requests that wait for the same; 0 goes first.
      tries: Ids of the backend servers that it was sent to, without prefill
        workers.
      may_have_run: Whether a server that it was sent to hasn't answered.
      is_offered: Whether another host has been asked to serve it and hasn't
        refused.
      sends: What it sent to servers.
      outcome: "ran" once a server's answer was forwarded, the outcome of the
        failure that was answered instead, "" before.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        incoming: http_ingress.IncomingRequest,
        request: caller_request.CallerRequest,
        route: routes.Route,
        *,
        codec: caller_request.CallerCodec,
        service: str,
        retries: retry_share.RetryShare,
        waited_s: float = 0.0,
        customer: customers.Customer | None = None,
    ) -> None:
        self._board = board
        self._codec = codec
        self.incoming = incoming
        self.request = request
        self.route = route
        self.service = service
        sent_at = incoming.arrived - socket_wait_s(
            board.loop_lag_s, incoming.since_open_s
        )
        self.deadline = sent_at + limit_s(route, request)
        self.waited_s = waited_s
        self.customer = customer
        self.rank = (
            customer.rank(route.priority) if customer else route.priority
        )
        self.tries: list[str] = []
        self.may_have_run = False
        self.is_offered = False
        self.outcome = ""
        self._retries = retries
        self.sends = request_sends.RequestSends(
            retries, now=board.now, on_retry=self._record_retry
        )
        self._content: quarantine.Content | None = None

    def move_to(self, service: str, retries: retry_share.RetryShare) -> None:
        """Serve the request by another service; nothing may have been sent.

        Args:
          service: The service, a target of the route.
          retries: Share of the retry budget of that service.
        """
        self.service = service
        self._retries = retries
        self.sends = request_sends.RequestSends(
            retries, now=self._board.now, on_retry=self._record_retry
        )

    @property
    def is_relayed(self) -> bool:
        """Whether another host has passed the request on."""
        return self.incoming.is_relayed

    @property
    def has_been_sent(self) -> bool:
        """Whether it may have run: it was sent to a server or offered."""
        return bool(self.tries) or self.is_offered

    @property
    def has_not_run(self) -> bool:
        """Whether it has ended without having run at a server.

        Its caller may have left while it waited.
        """
        if self.outcome:
            return self.outcome == "not_run"
        return not (self.sends.has_arrived or self.is_offered)

    def content(self) -> quarantine.Content:
        """Return the content of the request; see `CallerRequest`."""
        if self._content is None:
            self._content = self.request.content()
        return self._content

    def record_begun(self, crashes: crash_watch.CrashWatch) -> None:
        """Record that the answer got past its beginning."""
        crashes.record_begun(
            self.content, part_count=len(self.request.prompt_parts)
        )

    @property
    def part_names(self) -> str:
        """The first digits of the digests of its prompt's parts, for logs."""
        digests = self.request.part_digests()[:MAX_LOGGED_PARTS]
        return ",".join(digest.hex()[:8] for digest in digests)

    @property
    def left_s(self) -> float:
        """Time left until the deadline, seconds; negative after it."""
        return self.deadline - self._board.now()

    def refuse(self, reason: str, retry_after_s: float) -> None:
        """Answer that the request hasn't run and won't be run."""
        failure = errors.Failure(
            503, reason, "not run", "not_run", retry_after_s
        )
        self.fail(failure)

    def refuse_usage(self, refusal: customers.Refused) -> None:
        """Answer that the request isn't within its customer's usage limit."""
        status = 429 if refusal.reason == "usage_limit" else 503
        failure = errors.Failure(
            status, refusal.reason, "not run", "not_run", refusal.retry_after_s
        )
        limit = self.customer.limit if self.customer else None
        if limit is None:
            self.fail(failure)
            return
        self.fail(
            failure,
            cost=limit.cost(self.request.stated_tokens),
            limit_per_s=limit.per_s,
            limit_burst=limit.burst,
        )

    def fail(self, failure: errors.Failure, **fields: Any) -> None:
        """Answer with a failure, or cut off an answer that has begun."""
        self.outcome = failure.outcome
        headers = failure_headers(
            self._codec, failure, is_relayed=self.is_relayed
        )
        body = b'{"error":"%s","outcome":"%s"}' % (
            failure.type.encode(),
            failure.outcome.encode(),
        )
        if self.incoming.is_started:
            self.incoming.abort()
        else:
            self.incoming.respond(failure.status, headers, body)
        self._board.metrics.record_end(self.route.kind, failure.type)
        self.log(
            "request_failed",
            status=failure.status,
            reason=failure.type,
            outcome=failure.outcome,
            retry_after_s=failure.retry_after_s,
            **fields,
        )

    def start(self, head: http_message.ResponseHead) -> None:
        """Forward the head of a server's answer; its body follows."""
        headers = self._codec.answer_headers(head)
        self.incoming.start(head.status, headers)

    def answer(self, head: http_message.ResponseHead, body: bytes) -> None:
        """Forward a server's complete answer."""
        headers = self._codec.answer_headers(head)
        length = head.get(b"content-length")
        if self.request.head.method == b"HEAD" and length is not None:
            headers.append((b"Content-Length", length))
        self.incoming.respond(head.status, headers, body)
        self.record_answer(head.status)
        took_s = self._board.now() - self.incoming.arrived
        self._board.metrics.record_answer(self.route.kind, took_s)

    def record_answer(self, status: int, **fields: Any) -> None:
        """Record that a complete answer of a server was forwarded."""
        self.outcome = "ran"
        result = "answered" if status < 400 else "server_failed"
        self._board.metrics.record_end(self.route.kind, result)
        self.log("request_answered", status=status, **fields)

    def record_failure_event(self, event: str, **fields: Any) -> None:
        """Record a failure event; the request may still succeed."""
        self._board.metrics.record_failure_event(event)
        head = self.request.head
        self.log(
            event,
            method=head.method.decode("latin-1"),
            path=self.request.path,
            body_bytes=len(self.request.body),
            **fields,
        )

    def _record_retry(self, is_allowed: bool) -> None:
        event = "retry_allowed" if is_allowed else "retry_denied"
        self._board.metrics.record_failure_event(event)
        left = self._retries.remaining(self._board.now())
        self.log(event, hosts=self._retries.hosts, left=round(left, 1))

    def log(self, event: str, **fields: Any) -> None:
        """Log an event of this request."""
        now = self._board.now()
        config = self._board.config
        if self.request.resumes:
            fields["resumes"] = self.request.resumes
        if self.request.customer:
            fields["customer"] = self.request.customer
        logs.get().info(
            event,
            request=self.request.id,
            route=self.route.name,
            service=self.service,
            config=config.version if config else 0,
            age_ms=round((now - self.incoming.arrived) * 1000, 1),
            tries=",".join(self.tries),
            **fields,
        )


def limit_s(
    route: routes.Route, request: caller_request.CallerRequest
) -> float:
    """Return the time within which a request must be answered, seconds."""
    if request.patience_s is None:
        return route.timeout_s
    return min(route.timeout_s, request.patience_s - ANSWER_MARGIN_S)


def socket_wait_s(loop_lag_s: float, since_open_s: float) -> float:
    """Return how long a request may have waited until it was read, seconds.

    It waits once for the event loop in its socket, and before that once for the
    acceptance of its connection, if it is the first one there.

    Args:
      loop_lag_s: How far the event loop is behind, seconds.
      since_open_s: Time since the acceptance, seconds; 0 if it isn't the first.
    """
    return loop_lag_s + min(loop_lag_s, since_open_s)


def failure_headers(
    codec: caller_request.CallerCodec,
    failure: errors.Failure,
    *,
    is_relayed: bool,
) -> list[http_message.Header]:
    """Return the headers of an answer that this host generates.

    Args:
      codec: Codec of the answers.
      failure: The failure that it tells.
      is_relayed: Whether it goes to another host, which is told the reason.
    """
    headers = codec.failure_headers(failure)
    if is_relayed:
        headers.append((OUTCOME_HEADER, failure.type.encode()))
    return headers
