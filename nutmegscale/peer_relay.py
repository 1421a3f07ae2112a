"""Lets another host serve the requests that this one can't bring to servers."""

from collections.abc import Callable
import random

from nutmegscale import caller_request
from nutmegscale import errors
from nutmegscale import http_ingress
from nutmegscale import http_message
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import request_context
from nutmegscale import routing_board
from nutmegscale import upstream
from nutmegscale import upstream_call

# Hosts that one request may be offered to.
MAX_OFFERS = 6
# Time for which a host isn't asked that reported that it reaches no server,
# seconds; and the period of these reports.
REPORT_PAUSE_S = 5.0
REPORT_PERIOD_S = 2.0
# Time for which a host isn't asked for a service that it couldn't serve,
# seconds. The servers of the service may all have been down for a moment.
REFUSAL_PAUSE_S = 0.5
# With less time left, no host is asked, seconds.
MIN_TIME_LEFT_S = 0.01
# Stands for all services, in what a host reports of itself.
ANY_SERVICE = ""
# Longest answer with a length, bytes.
MAX_BODY_BYTES = 4 << 20
# Reasons of a refusal for which another host is asked.
OWN_REASONS = frozenset(
    {
        b"unreached",
        b"no_config",
        b"config_outdated",
        b"no_route",
        b"unknown_customer",
        b"no_server",
        b"host_is_leaving",
        b"host_is_busy",
    }
)


# Statuses that say that a request hasn't run and won't.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class PeerRelay:
    """Passes requests on to other hosts, and their answers to the callers.

    Answers hosts that are cut off from all servers, while callers still reach
    them. The other host serves the request as its own, and never passes it on
    again. Only a request that the first host has refused is sent to another.
    Offers to hosts take nothing from the retry budget, which is for servers.

    Args:
      board: State of this host.
      pool: Connections to the other hosts.
      codec: Codec of the requests.
      link: Messages between hosts.
      address_of: Returns where a host takes requests of other hosts, given the
        address at which its peers reach it.
      rng: Source of random numbers.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        pool: upstream.UpstreamPool,
        codec: caller_request.ServerCodec,
        *,
        link: mesh.Mesh,
        address_of: Callable[[str], str],
        rng: random.Random,
    ) -> None:
        self._board = board
        self._pool = pool
        self._codec = codec
        self._mesh = link
        self._address_of = address_of
        self._rng = rng
        self._unreached_until: dict[tuple[str, str], float] = {}
        self._reported_at = 0.0
        link.on(messages.ReachReport, self._receive_report)

    def report(self, *, is_cut_off: bool) -> None:
        """Tell the other hosts whether this one reaches any server."""
        self._reported_at = self._board.now()
        for host in self._board.membership.alive():
            if host != self._board.host:
                self._mesh.send(host, messages.ReachReport(is_cut_off))

    def repeat_report(self) -> None:
        """Tell the others again in time that this host is cut off."""
        if self._board.now() - self._reported_at >= REPORT_PERIOD_S:
            self.report(is_cut_off=True)

    def _receive_report(
        self, sender: str, report: messages.ReachReport
    ) -> None:
        if report.is_cut_off:
            until = self._board.now() + REPORT_PAUSE_S
            self._unreached_until[sender, ANY_SERVICE] = until
        else:
            self._unreached_until.pop((sender, ANY_SERVICE), None)

    async def serve(
        self,
        context: request_context.RequestContext,
        *,
        max_offers: int = MAX_OFFERS,
    ) -> bool:
        """Let another host serve a request that nothing was sent of.

        Args:
          context: The request.
          max_offers: Hosts that may be asked in turn.

        Returns:
          Whether the request has ended; False if no host has taken it.
        """
        if context.is_relayed:
            return False
        for host in self._candidates(context.service)[:max_offers]:
            if context.left_s < MIN_TIME_LEFT_S:
                return False
            if await self._offer(context, host):
                return True
        return False

    def _candidates(self, service: str) -> list[str]:
        """Return the hosts to ask in turn: a close one, then distant ones.

        A failure domain may be cut off as a whole.

        Args:
          service: Service of the request.
        """
        board, now = self._board, self._board.now()
        self._unreached_until = {
            key: until
            for key, until in self._unreached_until.items()
            if until > now
        }
        unreached = {
            host
            for host, refused in self._unreached_until
            if refused in (service, ANY_SERVICE)
        }
        hosts = [
            host
            for host in board.membership.alive()
            if host != board.host
            and host not in self._mesh.silent
            and host not in unreached
        ]
        self._rng.shuffle(hosts)
        near = set(board.membership.alive([board.failure_domain]))
        close = [host for host in hosts if host in near]
        distant = [host for host in hosts if host not in near]
        return close[:1] + distant + close[1:]

    async def _offer(
        self, context: request_context.RequestContext, host: str
    ) -> bool:
        """Offer a request to a host; return whether the request has ended."""
        member = self._board.membership.get(host)
        if member is None:
            return False
        request = self._codec.relay(context.request, context.left_s)
        call: upstream_call.Call | None = None
        context.is_offered = True
        try:
            address = self._address_of(member.address)
            call = await self._pool.call(address, request)
            head = await call.head(context.left_s)
            reason = head.get(request_context.OUTCOME_HEADER)
            if reason in OWN_REASONS:
                self._record_refusal(context, host, reason.decode("latin-1"))
                return False
            self._record(context, host, head.status)
            if context.may_have_run and head.status in NOT_RUN_STATUSES:
                # That holds for the other host only.
                context.fail(
                    errors.Failure(
                        502,
                        "relay_refused",
                        "the other host refused",
                        "maybe_run",
                    )
                )
                return True
            await self._pass_back(context, call, head)
            if reason is not None and head.status in NOT_RUN_STATUSES:
                context.outcome = "not_run"
            return True
        except errors.ConnectError as exc:
            self._record_refusal(context, host, str(exc))
            return False
        except errors.TransportError as exc:
            self._end_broken(context, host, exc)
            return True
        finally:
            if call is not None:
                call.abort()

    def _record(
        self, context: request_context.RequestContext, host: str, status: int
    ) -> None:
        self._board.metrics.record_failure_event("passed_on")
        context.log("passed_on", to=host, status=status)

    def _record_refusal(
        self, context: request_context.RequestContext, host: str, why: str
    ) -> None:
        context.is_offered = False
        until = self._board.now() + REFUSAL_PAUSE_S
        self._unreached_until[host, context.service] = until
        context.log("not_passed_on", to=host, why=why)

    async def _pass_back(
        self,
        context: request_context.RequestContext,
        call: upstream_call.Call,
        head: http_message.ResponseHead,
    ) -> None:
        """Pass the answer of another host to the caller as it arrives."""
        if head.get(b"content-length") is not None:
            body = await call.body(context.left_s, MAX_BODY_BYTES)
            context.answer(head, body)
            return
        context.start(head)
        while data := await call.chunk(max(0.0, context.left_s)):
            context.incoming.write(data)
            await context.incoming.drained(max(0.0, context.left_s))
        context.incoming.finish()
        context.record_answer(head.status)

    def _end_broken(
        self,
        context: request_context.RequestContext,
        host: str,
        exc: errors.TransportError,
    ) -> None:
        """End a request whose answer broke off; it may have run."""
        context.record_failure_event(
            "relay_broke", to=host, error=type(exc).__name__, why=str(exc)
        )
        is_timeout = isinstance(exc, errors.ResponseTimeoutError)
        status, kind = (504, "timeout") if is_timeout else (502, "relay_broke")
        context.fail(
            errors.Failure(status, kind, "the other host broke", "maybe_run")
        )


class RelayedRequests:
    """`http_ingress.Handler` of the port for requests of other hosts.

    Args:
      handle: Serves a request without passing it on again.
    """

    def __init__(
        self, handle: Callable[[http_ingress.IncomingRequest], None]
    ) -> None:
        self._handle = handle

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Serve a request of another host; see `http_ingress.Handler`."""
        request.is_relayed = True
        self._handle(request)
