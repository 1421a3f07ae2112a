"""Controller of calls to plain services: routing, retries, claims.

Idempotent calls are retried; all others run at most once, under a claim.
"""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple
import uuid

from twisted.internet import defer

from nutmegscale import blackboard
from nutmegscale import claim
from nutmegscale import claim_memory
from nutmegscale import config
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import http_client
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import platform_service
from nutmegscale import quarantine
from nutmegscale import retry_budget
from nutmegscale import store_era
from nutmegscale import worker

DEFAULT_NON_IDEMPOTENT = ("POST", "PATCH")
MAX_TRIES = 3
# How long a worker that failed a call is chosen only if no other is left.
AVOID_AFTER_FAILURE_S = 1.0
ATTEMPT_QUERY_TIMEOUT_S = 0.3
RETRY_AFTER_S = 1.0


class PlainCall(NamedTuple):
    """A call of a plain service, as received.

    Attributes:
      caller: Authenticated caller.
      key: Idempotency key, or "".
      service: Name of the requested service.
      method: HTTP method.
      path: Path and query at the service, starting with "/".
      content_type: Content type of the body, or "".
      body: Complete body.
    """

    caller: str
    key: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes

    def content(self) -> quarantine.Content:
        """Return the content, the same for each attempt."""
        return quarantine.Content(
            claim.content_digest(
                self.service.encode(),
                self.method.encode(),
                self.path.encode(),
                self.body,
            )
        )


class _WatchedServer(NamedTuple):
    """Worker of a plain service as `crash_watch` knows it."""

    id: str
    key: str
    address: str


class CallController:
    """Serves the calls of plain services that callers send to this host."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        link: mesh.Mesh,
        platform: platform_service.Platform,
        clients: Callable[[str], http_client.HttpClient],
        *,
        era: store_era.StoreEra,
        crashes: crash_watch.CrashWatch,
    ) -> None:
        self._board = board
        self._mesh = link
        self._platform = platform
        self._clients = clients
        self._crashes = crashes
        self._attempts = claim.Attempts()
        self._claims = claim_memory.ClaimMemory(
            platform,
            era,
            now=board.now,
            sleep=lambda seconds: periodic.sleep(board.clock, seconds),
        )
        self._writing: defer.Deferred[Any] | None = None
        self._budget = retry_budget.RetryBudget()
        self._outstanding: dict[str, int] = {}
        self._avoid_until: dict[str, float] = {}
        self._live: set[defer.Deferred[claim.Answer | errors.Failure]] = set()
        link.on(messages.AttemptRequest, self._receive_attempt)

    @property
    def live_count(self) -> int:
        """Number of calls that run on this host."""
        return len(self._live)

    def write_claims_again(self) -> None:
        """Write the claims of this host again after a restore of the table."""
        self.stop()
        self._writing = periodic.spawn(self._claims.write_again())

    def stop(self) -> None:
        """Stop writing claims."""
        if self._writing is not None:
            self._writing.cancel()

    async def serve(self, call: PlainCall) -> claim.Answer | errors.Failure:
        """Serve a call.

        Returns:
          The service's answer, or a failure with its outcome.
        """
        refusal = self._check(call)
        if refusal is None:
            result = await self._serve_until_stopped(call)
        else:
            result = refusal
        if isinstance(result, errors.Failure):
            self._board.metrics.record_failure(call.service, result)
        else:
            self._board.metrics.record_call(call.service)
        return result

    async def _serve_until_stopped(
        self, call: PlainCall
    ) -> claim.Answer | errors.Failure:
        running = defer.ensureDeferred(self._serve(call))
        self._live.add(running)
        try:
            return await running
        except defer.CancelledError:
            return errors.Failure(
                504,
                "host_stopped",
                "this host stopped before the call ended",
                "maybe_run",
            )
        finally:
            self._live.discard(running)

    def cancel_all(self) -> None:
        """Fail every call in progress when a drain exceeds its limit."""
        for running in list(self._live):
            running.cancel()

    def _check(self, call: PlainCall) -> errors.Failure | None:
        current = self._board.config
        if (
            self._board.is_draining
            or current is None
            or not self._board.is_ready
        ):
            return errors.Failure(
                503,
                "not_ready",
                "this host takes no calls now",
                "not_run",
                RETRY_AFTER_S,
            )
        service = current.document["services"].get(call.service)
        if service is None or service["kind"] != "plain":
            return errors.Failure(
                404, "no_such_service", "no such plain service"
            )
        if current.route(call.caller, call.service) is None:
            return errors.Failure(403, "no_rule", "no rule allows this call")
        if not self._is_idempotent(call, service) and not call.key:
            return errors.Failure(
                400,
                "idempotency_key_required",
                f"{call.method} runs at most once and needs an Idempotency-Key",
            )
        return None

    def _is_idempotent(self, call: PlainCall, service: config.Service) -> bool:
        methods = service.get("non_idempotent", DEFAULT_NON_IDEMPOTENT)
        return call.method not in methods

    async def _serve(self, call: PlainCall) -> claim.Answer | errors.Failure:
        assert self._board.config is not None
        service = self._board.config.document["services"][call.service]
        timeout_s = service.get("timeout_s", config.DEFAULT_PLAIN_TIMEOUT_S)
        if self._is_idempotent(call, service):
            return await self._serve_idempotent(call, timeout_s)
        attempt = f"{self._board.host}.{uuid.uuid4().hex}"
        self._board.record_event("call.claiming", attempt, service=call.service)
        claimed = claim.ClaimedCall(
            self._platform,
            self,
            self._attempts,
            self._claims,
            now=self._board.now,
            sleep=lambda seconds: periodic.sleep(self._board.clock, seconds),
            key=claim.row_key(call.caller, f"{call.service}/{call.key}"),
            attempt=attempt,
            host=self._board.host,
            content=claim.content_digest(
                call.method.encode(), call.path.encode(), call.body
            ),
            timeout_s=timeout_s,
        )
        result = await claimed.run(lambda: self._send_once(call, timeout_s))
        outcome = (
            result.outcome if isinstance(result, errors.Failure) else "ran"
        )
        self._board.record_event("call.ended", attempt, outcome=outcome)
        return result

    async def _serve_idempotent(
        self, call: PlainCall, timeout_s: float
    ) -> claim.Answer | errors.Failure:
        self._budget.record_first_attempt()
        deadline = self._board.now() + timeout_s
        disconnects = 0
        was_sent = False
        for number in range(MAX_TRIES):
            if self._crashes.refused_for_s(call.content):
                outcome: errors.Outcome = "maybe_run" if was_sent else "not_run"
                return errors.quarantine_failure(outcome)
            if number and not self._budget.take():
                break
            chosen = self._choose(call)
            if chosen is None:
                break
            try:
                return await self._send(chosen, call, timeout_s)
            except errors.ConnectError:
                self._board.metrics.record_retry("ConnectError")
            except errors.TransportError as exc:
                was_sent = True
                self._board.metrics.record_retry(type(exc).__name__)
                if crash_watch.is_disconnect(exc):
                    disconnects += 1
                    await self._crashes.is_quarantined_after_checks(
                        call.content(),
                        disconnects=disconnects,
                        limit_s=deadline - self._board.now(),
                    )
        return errors.Failure(
            502,
            "service_unreachable",
            "no backend server answered",
            "maybe_run" if was_sent else "not_run",
            RETRY_AFTER_S,
        )

    async def _send_once(
        self, call: PlainCall, timeout_s: float
    ) -> claim.Answer:
        """Send a claimed call; retry only while it has not been sent.

        Raises:
          errors.ConnectError: The call was never sent.
          errors.QuarantinedError: The same, because its content crashes
            backend servers.
          errors.TransportError: The call may have run.
        """
        for _ in range(MAX_TRIES):
            if self._crashes.refused_for_s(call.content):
                raise errors.QuarantinedError(f"{call.method} {call.path}")
            chosen = self._choose(call)
            if chosen is None:
                break
            try:
                return await self._send(chosen, call, timeout_s)
            except errors.ConnectError:
                continue
        raise errors.ConnectError(
            f"no backend server of {call.service!r} could be reached"
        )

    async def _send(
        self, chosen: worker.Worker, call: PlainCall, timeout_s: float
    ) -> claim.Answer:
        name = chosen.name
        self._outstanding[name] = self._outstanding.get(name, 0) + 1
        headers = {"x-caller": call.caller}
        if call.content_type:
            headers["content-type"] = call.content_type
        if call.key:
            headers["x-run-key"] = call.key
        began_at = self._board.now()
        try:
            response = await self._clients(chosen.address).request(
                call.method,
                call.path,
                body=call.body,
                headers=headers,
                timeout_s=timeout_s,
            )
        except errors.TransportError as exc:
            self._record_failure(name)
            if crash_watch.is_disconnect(exc):
                self._crashes.record_disconnect(
                    call.content(),
                    _WatchedServer(name, name, chosen.address),
                    began_at,
                )
            raise
        finally:
            self._outstanding[name] -= 1
            if not self._outstanding[name]:
                del self._outstanding[name]
        self._crashes.record_success(call.content)
        content_type = response.headers.get("content-type", "")
        return claim.Answer(response.status, content_type, response.body)

    def _record_failure(self, name: str) -> None:
        """Avoid a worker for a while, and forget those whose time is over."""
        now = self._board.now()
        self._avoid_until = {
            other: until
            for other, until in self._avoid_until.items()
            if until > now
        }
        self._avoid_until[name] = now + AVOID_AFTER_FAILURE_S

    def _choose(self, call: PlainCall) -> worker.Worker | None:
        """Choose the worker with the fewest outstanding calls.

        Among equals, the failure domain of this host comes first. A worker
        that failed a call is avoided for AVOID_AFTER_FAILURE_S, unless no
        other is left. Content that is suspected of crashing workers runs apart
        from other suspects.
        """
        domain = self._board.settings["failure_domain"]
        now = self._board.now()
        usable = {
            w.name: w
            for w in self._board.workers.values()
            if w.service == call.service
            and not w.leaving
            and w.name not in self._board.leaving_workers
        }
        healthy = [n for n in usable if self._avoid_until.get(n, 0.0) <= now]
        apart = self._crashes.server_apart(call.content, healthy)
        if apart is not None:
            return usable[apart]
        return min(
            usable.values(),
            key=lambda w: (
                self._avoid_until.get(w.name, 0.0) > now,
                self._outstanding.get(w.name, 0),
                w.failure_domain != domain,
                w.name,
            ),
            default=None,
        )

    async def attempt_state(self, host: str, attempt: str) -> str:
        """Ask a host for the state of its attempt; see `claim.Peers`."""
        if host == self._board.host:
            return self._attempts.state(attempt)
        try:
            reply = await self._mesh.call(
                host,
                messages.AttemptRequest(attempt),
                messages.AttemptReply,
                timeout_s=ATTEMPT_QUERY_TIMEOUT_S,
            )
        except errors.PeerError:
            return "unknown"
        return reply.state

    def _receive_attempt(
        self, sender: str, request: messages.AttemptRequest
    ) -> messages.AttemptReply:
        return messages.AttemptReply(self._attempts.state(request.attempt))
