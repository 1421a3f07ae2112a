"""HTTP API for callers: completions and calls of services."""

import json
import time
from typing import Any
from urllib import parse
import uuid

from twisted.internet import defer

from nutmegscale import blackboard
from nutmegscale import call_controller
from nutmegscale import claim
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import exchange
from nutmegscale import exchange_controller
from nutmegscale import http_server
from nutmegscale import logs

DEFAULT_MAX_TOKENS = 256
MAX_KEY_BYTES = 256
BEARER_PREFIX = "Bearer "

_decoder: decoding.Decoder[Any] = decoding.Decoder(Any)


def failure_reply(failure: errors.Failure) -> http_server.Reply:
    """Create the reply that reports a failure to the caller."""
    headers: tuple[tuple[str, str], ...] = ()
    if failure.retry_after_s is not None:
        headers = (("retry-after", _retry_after(failure.retry_after_s)),)
    if failure.status == 401:
        headers = (*headers, ("www-authenticate", "Bearer"))
    return http_server.json_reply(failure.status, _error_body(failure), headers)


def _retry_after(seconds: float) -> str:
    # The header only allows full seconds; the body has the exact time.
    return str(max(1, round(seconds + 0.49)))


def _error_body(failure: errors.Failure) -> dict[str, Any]:
    error: dict[str, Any] = {
        "type": failure.type,
        "message": failure.message,
        "outcome": failure.outcome,
    }
    if failure.retry_after_s is not None:
        error["retry_after_s"] = round(failure.retry_after_s, 3)
    return {"error": error}


class _HttpSink:
    """Sends an answer to a caller, complete or as server-sent events."""

    def __init__(
        self,
        call: http_server.Call,
        service: str,
        completion_id: str,
        *,
        stream: bool,
    ) -> None:
        self._call = call
        self._service = service
        self._completion_id = completion_id
        self._stream = stream
        self._texts: list[str] = []
        self._started = False
        self._ended = False
        self.done: defer.Deferred[None] = defer.Deferred()

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._call.disconnected.called

    def write(self, text: str) -> None:
        """Send the next piece of text; see `exchange.Sink`."""
        if not self._stream:
            self._texts.append(text)
        elif not self.is_disconnected and not self._ended:
            self._start_event_stream()
            self._write_event(self._chunk(text, None))

    def end(self, tokens: int) -> None:
        """Send the end of the answer; see `exchange.Sink`."""
        if not self._close():
            return
        if not self._stream:
            body = self._chunk("".join(self._texts), "stop")
            body["usage"] = {"completion_tokens": tokens}
            http_server.write_reply(
                self._call.request, http_server.json_reply(200, body)
            )
            return
        self._start_event_stream()
        body = self._chunk("", "stop")
        body["usage"] = {"completion_tokens": tokens}
        self._write_event(body)
        self._call.request.write(b"data: [DONE]\n\n")
        self._call.request.finish()

    def fail(self, failure: errors.Failure) -> None:
        """Send a failure; see `exchange.Sink`."""
        if not self._close():
            return
        if not self._started:
            http_server.write_reply(self._call.request, failure_reply(failure))
            return
        self._write_event(_error_body(failure))
        self._call.request.finish()

    def _close(self) -> bool:
        if self._ended:
            return False
        self._ended = True
        self.done.callback(None)
        return not self.is_disconnected

    def _chunk(self, text: str, finish: str | None) -> dict[str, Any]:
        return {
            "id": self._completion_id,
            "object": "text_completion",
            "created": int(time.time()),
            "model": self._service,
            "choices": [{"index": 0, "text": text, "finish_reason": finish}],
        }

    def _start_event_stream(self) -> None:
        if self._started:
            return
        self._started = True
        self._call.request.setHeader("content-type", "text/event-stream")
        self._call.request.setHeader("cache-control", "no-store")

    def _write_event(self, value: dict[str, Any]) -> None:
        data = json.dumps(value, ensure_ascii=False).encode()
        self._call.request.write(b"data: " + data + b"\n\n")


class CallerApi:
    """Request handler of the callers' port."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        exchanges: exchange_controller.ExchangeController,
        calls: call_controller.CallController,
    ) -> None:
        self._board = board
        self._exchanges = exchanges
        self._calls = calls

    async def handle(self, call: http_server.Call) -> http_server.Reply | None:
        """Authenticate and route one request of a caller."""
        caller = self._authenticate(call)
        if isinstance(caller, errors.Failure):
            return failure_reply(caller)
        if call.is_too_large:
            return failure_reply(
                errors.Failure(413, "too_large", "the body is too large")
            )
        if call.path == ["v1", "completions"]:
            if call.method != "POST":
                return failure_reply(
                    errors.Failure(405, "method_not_allowed", "use POST")
                )
            return await self._serve_completion(call, caller)
        if len(call.path) >= 2 and call.path[0] == "services":
            return await self._call_service(call, caller)
        return failure_reply(errors.Failure(404, "not_found", "no such path"))

    def _authenticate(self, call: http_server.Call) -> str | errors.Failure:
        if self._board.config is None:
            return errors.Failure(
                503,
                "not_ready",
                "this host has no configuration",
                "not_run",
                exchange_controller.NOT_READY_RETRY_AFTER_S,
            )
        value = call.header("authorization") or ""
        caller = None
        if value.startswith(BEARER_PREFIX):
            caller = self._board.config.caller_of(
                value[len(BEARER_PREFIX) :].strip()
            )
        if caller is None:
            return errors.Failure(401, "unknown_key", "unknown or missing key")
        return caller

    async def _serve_completion(
        self, call: http_server.Call, caller: str
    ) -> http_server.Reply | None:
        parsed = _parse_completion(call.body)
        if isinstance(parsed, errors.Failure):
            return failure_reply(parsed)
        request_id = (
            call.header("x-request-id") or call.header("idempotency-key") or ""
        )
        if len(request_id.encode()) > MAX_KEY_BYTES:
            return failure_reply(_bad_request("X-Request-Id is too long"))
        request = exchange.ModelRequest(
            caller,
            request_id,
            parsed["model"],
            parsed["prompt"],
            parsed["max_tokens"],
        )
        name = request_id or uuid.uuid4().hex
        sink = _HttpSink(call, request.service, name, stream=parsed["stream"])
        call.disconnected.addCallback(
            lambda _: self._exchanges.handle_disconnect(request, sink)
        )
        await self._exchanges.serve(request, sink)
        return None

    async def _call_service(
        self, call: http_server.Call, caller: str
    ) -> http_server.Reply:
        key = (
            call.header("idempotency-key") or call.header("x-request-id") or ""
        )
        if len(key.encode()) > MAX_KEY_BYTES:
            return failure_reply(_bad_request("Idempotency-Key is too long"))
        path = "/" + "/".join(parse.quote(part) for part in call.path[2:])
        _, separator, query = call.request.uri.partition(b"?")
        if separator:
            path += "?" + query.decode("latin-1")
        plain = call_controller.PlainCall(
            caller,
            key,
            call.path[1],
            call.method,
            path,
            call.header("content-type") or "",
            call.body,
        )
        result = await self._calls.serve(plain)
        if isinstance(result, errors.Failure):
            return failure_reply(result)
        return _answer_reply(result)


def _answer_reply(answer: claim.Answer) -> http_server.Reply:
    return http_server.Reply(answer.status, answer.body, answer.content_type)


def _bad_request(message: str) -> errors.Failure:
    return errors.Failure(400, "bad_request", message)


def _parse_completion(body: bytes) -> dict[str, Any] | errors.Failure:
    try:
        value = _decoder.decode(body)
    except errors.MalformedDataError:
        return _bad_request("the body isn't JSON")
    if not isinstance(value, dict):
        return _bad_request("the body isn't an object")
    value.setdefault("max_tokens", DEFAULT_MAX_TOKENS)
    value.setdefault("stream", False)
    kinds: dict[str, type] = {
        "model": str,
        "prompt": str,
        "max_tokens": int,
        "stream": bool,
    }
    for name, kind in kinds.items():
        if type(value.get(name)) is not kind:
            return _bad_request(f"{name} must be of type {kind.__name__}")
    if not value["prompt"]:
        return _bad_request("prompt is empty")
    return value


def on_error(exc: Exception) -> http_server.Reply:
    """Log an unexpected exception and create its reply."""
    logs.get().error(
        "request_failed", error=type(exc).__name__, message=str(exc)
    )
    return failure_reply(
        errors.Failure(500, "internal", "unexpected failure", "maybe_run")
    )
