"""Load generation: callers that send requests, check answers and retry."""

import random
from typing import Any
from typing import NamedTuple
from typing import Protocol

import msgspec
from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import http_client
from nutmegscale import periodic
from standins import answers

MAX_SENDS = 12
# Longest wait for a response, and between two events of a stream.
EVENT_TIMEOUT_S = 4.0
# Pause before a request is sent again after a broken connection.
CONNECTION_RETRY_S = 0.1


class ScheduledRequest(NamedTuple):
    """A request and the time at which a caller sends it.

    Attributes:
      at_s: Time of the first send, seconds from the start.
      caller: Name of the caller; its API key is the name and "-key".
      service: Name of the requested service.
      name: Request id, or idempotency key of a plain call.
      prompt: Prompt, or body of a plain call.
      max_tokens: Maximum length of the answer, tokens; 0 for a plain call.
      cancel_after_s: Seconds until the caller closes the connection, or None.
      repeat_after_s: Seconds after which a second copy is sent, once, while
        the first one may still run; or None.
    """

    at_s: float
    caller: str
    service: str
    name: str
    prompt: str
    max_tokens: int
    cancel_after_s: float | None = None
    repeat_after_s: float | None = None


class Outcome(NamedTuple):
    """How a request ended for its caller.

    Attributes:
      request: The request.
      result: "answered", "wrong" for an answer with an unexpected text,
        "cancelled", "connection_lost", or the type of the failure.
      outcome: "ran" if there was an answer, "maybe_run" if cancelled,
        otherwise the outcome that the failure reports ("not_run",
        "maybe_run").
      first_token_s: Time to the first token, or to the answer of a plain
        call, seconds from the first send; 0 without an answer.
      gap_s: Mean time between tokens, seconds.
      sends: How many times the caller sent it; 1 if cancelled.
      retried_failures: Types of the failures after which it was sent again;
        "" or "connection_lost" for a broken connection.
    """

    request: ScheduledRequest
    result: str
    outcome: str
    first_token_s: float
    gap_s: float
    sends: int
    retried_failures: tuple[str, ...]


class _SendFailedError(Exception):
    """A send failed; `kind` is the failure's type, "" for a lost connection."""

    def __init__(
        self, kind: str, outcome: str, retry_after_s: float | None
    ) -> None:
        self.kind = kind
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        super().__init__(kind)


class Callers:
    """Sends requests to random entry hosts, as the platform's balancer does.

    Attributes:
      down: Names of the hosts that get no requests.
    """

    def __init__(
        self, reactor: Any, urls: dict[str, str], rng: random.Random
    ) -> None:
        self._reactor = reactor
        self._clients = {
            name: http_client.HttpClient(reactor, url)
            for name, url in urls.items()
        }
        self._rng = rng
        self.down: set[str] = set()

    def _pick_host(self, last_host: str) -> str:
        names = [
            n for n in self._clients if n not in self.down and n != last_host
        ]
        return self._rng.choice(names or list(self._clients))

    async def send(self, request: ScheduledRequest) -> Outcome:
        """Send a request until its outcome is final, at most MAX_SENDS times.

        A failure is final if it has no retry time; after a broken connection
        the request is sent again.
        """
        began = self._reactor.seconds()
        failure_types: list[str] = []
        last_host = ""
        failure = _SendFailedError("not_sent", "not_run", None)
        for sends in range(1, MAX_SENDS + 1):
            last_host = self._pick_host(last_host)
            try:
                first_s, gap_s, text = await self._send_once(
                    last_host, request, began
                )
            except _SendFailedError as exc:
                failure = exc
                failure_types.append(exc.kind)
                if exc.kind and exc.retry_after_s is None:
                    break
                await periodic.sleep(
                    self._reactor, exc.retry_after_s or CONNECTION_RETRY_S
                )
                continue
            result = "answered" if text == expected_text(request) else "wrong"
            return Outcome(
                request,
                result,
                "ran",
                first_s,
                gap_s,
                sends,
                tuple(failure_types),
            )
        return Outcome(
            request,
            failure.kind or "connection_lost",
            failure.outcome,
            0.0,
            0.0,
            len(failure_types),
            tuple(failure_types[:-1]),
        )

    async def _send_once(
        self, host: str, request: ScheduledRequest, began: float
    ) -> tuple[float, float, str]:
        """Return first-token time and mean token gap, seconds, and the text."""
        if request.max_tokens:
            return await self._complete(host, request, began)
        return await self._call(host, request, began)

    async def _call(
        self, host: str, request: ScheduledRequest, began: float
    ) -> tuple[float, float, str]:
        headers = {
            "authorization": f"Bearer {request.caller}-key",
            "idempotency-key": request.name,
        }
        try:
            response = await self._clients[host].request(
                "POST",
                f"/services/{request.service}/entries",
                body=request.prompt.encode(),
                headers=headers,
                timeout_s=EVENT_TIMEOUT_S,
            )
        except errors.TransportError as exc:
            raise _SendFailedError("", "maybe_run", None) from exc
        value = response.json()
        if response.status != 200:
            raise _parse_failure(value)
        return self._reactor.seconds() - began, 0.0, str(value["echo"])

    async def _complete(
        self, host: str, request: ScheduledRequest, began: float
    ) -> tuple[float, float, str]:
        headers = {
            "authorization": f"Bearer {request.caller}-key",
            "x-request-id": request.name,
        }
        body = {
            "model": request.service,
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
            "stream": True,
        }
        try:
            status, lines = await self._clients[host].stream(
                "POST",
                "/v1/completions",
                json=body,
                headers=headers,
                timeout_s=EVENT_TIMEOUT_S,
            )
        except errors.TransportError as exc:
            raise _SendFailedError("", "maybe_run", None) from exc
        try:
            return await self._read_events(lines, status, request, began)
        finally:
            lines.close()

    async def _read_events(
        self,
        lines: http_client.LineStream,
        status: int,
        request: ScheduledRequest,
        began: float,
    ) -> tuple[float, float, str]:
        texts: list[str] = []
        first_at = last_at = 0.0
        while True:
            try:
                line = await lines.next_line(EVENT_TIMEOUT_S)
            except errors.ResponseTimeoutError as exc:
                raise _SendFailedError("", "maybe_run", None) from exc
            if line is None:
                tail = lines.rest()
                if status != 200 and tail:
                    raise _parse_failure(msgspec.json.decode(tail))
                raise _SendFailedError("", "maybe_run", None)
            if line == b"data: [DONE]":
                break
            if not line.startswith(b"data: "):
                continue
            value = msgspec.json.decode(line[6:])
            if "error" in value:
                raise _parse_failure(value)
            now = self._reactor.seconds()
            first_at = first_at or now
            last_at = now
            texts.append(value["choices"][0]["text"])
        tokens = len(answers.answer_tokens(request.prompt, request.max_tokens))
        gap_s = (last_at - first_at) / max(1, tokens - 1)
        return first_at - began, gap_s, "".join(texts)


def _parse_failure(value: dict[str, Any]) -> _SendFailedError:
    error = value["error"]
    return _SendFailedError(
        error["type"], error["outcome"], error.get("retry_after_s")
    )


def expected_tokens(request: ScheduledRequest) -> list[bytes]:
    """Return the expected tokens of the answer to a model request."""
    return answers.answer_tokens(request.prompt, request.max_tokens)


def expected_text(request: ScheduledRequest) -> str:
    """Return the expected text of the answer to a request."""
    if request.max_tokens:
        return answers.answer_text(request.prompt, request.max_tokens)
    return request.prompt


class Sender(Protocol):
    """Interface of the callers of a real or simulated deployment."""

    async def send(self, request: ScheduledRequest) -> Outcome:
        """Send a request until its outcome is final."""
        ...


async def send_all(
    clock: Any, callers: Sender, requests: list[ScheduledRequest]
) -> list[Outcome]:
    """Send each request at its time and wait for every outcome.

    If a request is sent twice, the copy that got an answer counts: the second
    one if both did, the first one if neither did. The deployment must not
    answer both copies while the first one still runs; this isn't checked here.
    """

    async def _send_at(
        request: ScheduledRequest, delay_s: float
    ) -> Outcome | None:
        await periodic.sleep(clock, delay_s)
        sending = defer.ensureDeferred(callers.send(request))
        if request.cancel_after_s is not None:
            sending.addTimeout(request.cancel_after_s, clock)
        try:
            return await sending
        except (defer.TimeoutError, TimeoutError, defer.CancelledError):
            return Outcome(request, "cancelled", "maybe_run", 0.0, 0.0, 1, ())

    running = []
    for request in requests:
        running.append(periodic.spawn(_send_at(request, request.at_s)))
        if request.repeat_after_s is not None:
            at_s = request.at_s + request.repeat_after_s
            running.append(periodic.spawn(_send_at(request, at_s)))
    results = await defer.gatherResults(running)
    return _merge_copies([o for o in results if o is not None])


def _merge_copies(outcomes: list[Outcome]) -> list[Outcome]:
    best: dict[tuple[str, str], Outcome] = {}
    for outcome in outcomes:
        key = (outcome.request.caller, outcome.request.name)
        known = best.get(key)
        if known is None or outcome.result in ("answered", "wrong"):
            best[key] = outcome
    return list(best.values())


def make_federation_requests(
    rng: random.Random, seconds: float
) -> list[ScheduledRequest]:
    """Generate the Federation's mix of briefs and entry confirmations.

    Half of the requests are confirmations, which are plain calls. Callers
    cancel 5% of the briefs.

    Args:
      rng: Source of randomness.
      seconds: Length of the load, seconds; 14 requests per second on average.

    Returns:
      The requests, ordered by time.
    """
    requests = []
    at_s = 0.0
    number = 0
    while at_s < seconds:
        at_s += rng.expovariate(14.0)
        number += 1
        if rng.random() < 0.5:
            caller = rng.choice(["entry-pages", "cairo-club"])
            body = f"entry {number} بطاقة 🧭 {rng.randrange(10**9)}"
            requests.append(
                ScheduledRequest(
                    at_s, caller, "entries-app", f"e{number}", body, 0
                )
            )
            continue
        length = int(rng.lognormvariate(7.2, 0.8))
        topic = f"brief {number} {rng.randrange(10**9)} "
        prompt = (topic + "control flag é 🧭 " * length)[
            : 4 * min(length, 12_000)
        ]
        caller = rng.choice(["cairo-club", "alex-club"])
        cancel = rng.uniform(0.05, 1.0) if rng.random() < 0.05 else None
        requests.append(
            ScheduledRequest(
                at_s,
                caller,
                "notes-model",
                f"b{number}",
                topic + prompt,
                rng.randrange(16, 160),
                cancel,
            )
        )
    return requests
