"""Wire format of the model engines: HTTP with JSON and JSON Lines."""

from collections.abc import AsyncIterator
from typing import Any
from typing import Literal
from urllib import parse

import msgspec

from nutmegscale import decoding
from nutmegscale import engine
from nutmegscale import errors
from nutmegscale import http_client
from nutmegscale import worker

CANCEL_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.5
ORDER_TIMEOUT_S = 0.5
STREAM_OPEN_TIMEOUT_S = 0.5


class _Prefill(msgspec.Struct):
    handle: str
    kv_bytes: decoding.Natural
    cached_tokens: decoding.Natural


class _Run(msgspec.Struct):
    run_id: str
    host: str
    phase: Literal["prefill", "kv", "decode"]
    age_s: float


class _Report(msgspec.Struct):
    leaving: bool
    slots: decoding.Natural
    running: list[_Run]
    queued: decoding.Natural
    cache_last: decoding.Natural
    cache_events: tuple[worker.CacheEvent, ...]


class _Line(msgspec.Struct):
    """Line of a stream: a token, its end or an error."""

    i: decoding.Natural | None = None
    t: bytes = b""
    done: decoding.Natural | None = None
    error: str | None = None


class _Error(msgspec.Struct):
    error: str


_line_decoder: decoding.Decoder[_Line] = decoding.Decoder(_Line)


class HttpEngine:
    """Client of one engine over HTTP; implements `engine.Engine`."""

    def __init__(self, client: http_client.HttpClient) -> None:
        self._client = client

    async def prefill(
        self,
        run_id: str,
        host: str,
        prompt: str,
        priority: int,
        timeout_s: float,
    ) -> engine.PrefillResult:
        """Compute the KV cache of a prompt; see `engine.Engine`."""
        body = {
            "run_id": run_id,
            "host": host,
            "prompt": prompt,
            "priority": priority,
        }
        response = await self._send("POST", "/v1/prefills", body, timeout_s)
        try:
            result = decoding.convert(response, _Prefill)
        except errors.MalformedDataError as exc:
            raise errors.EngineLostError(f"malformed prefill: {exc}") from exc
        return engine.PrefillResult(
            result.handle, result.kv_bytes, result.cached_tokens
        )

    async def start(self, order: engine.RunOrder, timeout_s: float) -> None:
        """Import a KV cache and start to decode; see `engine.Engine`."""
        await self._send("POST", "/v1/runs", order._asdict(), timeout_s)

    async def tokens(
        self, run_id: str, first: int, progress_timeout_s: float
    ) -> AsyncIterator[engine.Token]:
        """Stream tokens; see `engine.Engine`."""
        path = f"/v1/runs/{parse.quote(run_id)}/tokens?from={first}"
        try:
            status, lines = await self._client.stream(
                "GET", path, timeout_s=STREAM_OPEN_TIMEOUT_S
            )
        except errors.ResponseTimeoutError as exc:
            raise errors.EngineStalledError(str(exc)) from exc
        except errors.TransportError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        if status != 200:
            lines.close()
            raise errors.RunGoneError(
                f"engine has no run {run_id} (status {status})"
            )
        try:
            async for token in _read_tokens(lines, first, progress_timeout_s):
                yield token
        finally:
            lines.close()

    async def cancel(self, run_id: str) -> None:
        """Free all resources of a run; see `engine.Engine`."""
        path = f"/v1/runs/{parse.quote(run_id)}"
        try:
            await self._send("DELETE", path, None, CANCEL_TIMEOUT_S)
        except errors.RunGoneError:
            return
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc

    async def order(self, fence: int, leaving: bool) -> None:
        """Order the engine to leave or to stay; see `engine.Engine`."""
        body = {"fence": fence, "leaving": leaving}
        try:
            await self._send("POST", "/v1/orders", body, ORDER_TIMEOUT_S)
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc

    async def report(self, cache_after: int) -> worker.Report:
        """Read the load report; see `engine.Engine`."""
        path = f"/v1/report?cache_after={cache_after}"
        try:
            value = await self._send("GET", path, None, REPORT_TIMEOUT_S)
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        return parse_report(value)

    async def _send(
        self, method: str, path: str, json: Any, timeout_s: float
    ) -> Any:
        try:
            response = await self._client.request(
                method, path, json=json, timeout_s=timeout_s
            )
        except errors.ConnectError:
            raise
        except errors.ResponseTimeoutError as exc:
            raise errors.EngineStalledError(str(exc)) from exc
        except errors.TransportError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        if response.status != 200:
            raise _error_of_response(response)
        try:
            return response.json()
        except errors.TransportError as exc:
            raise errors.EngineLostError(str(exc)) from exc


def parse_report(value: Any) -> worker.Report:
    """Decode and validate a received report.

    Raises:
      errors.EngineLostError: The value isn't a valid report.
    """
    try:
        report = decoding.convert(value, _Report)
    except errors.MalformedDataError as exc:
        raise errors.EngineLostError(f"malformed report: {exc}") from exc
    return worker.Report(
        report.leaving,
        report.slots,
        tuple(
            worker.Running(run.run_id, run.host, run.phase, run.age_s)
            for run in report.running
        ),
        report.queued,
        report.cache_last,
        report.cache_events,
    )


async def _read_tokens(
    lines: http_client.LineStream, first: int, timeout_s: float
) -> AsyncIterator[engine.Token]:
    expected = first
    while True:
        try:
            line = await lines.next_line(timeout_s)
        except errors.ResponseTimeoutError as exc:
            raise errors.EngineStalledError(str(exc)) from exc
        if line is None:
            raise errors.EngineLostError(
                f"stream ended before token {expected} or the end of the answer"
            )
        try:
            value = _line_decoder.decode(line)
        except errors.MalformedDataError as exc:
            raise errors.EngineLostError(f"malformed line: {exc}") from exc
        if value.done is not None:
            if value.done > expected:
                raise errors.EngineLostError(
                    f"stream ended before token {expected}; the answer has "
                    f"{value.done} tokens"
                )
            return
        if value.error is not None:
            raise errors.RunGoneError(value.error)
        if value.i is None or value.i > expected:
            raise errors.EngineLostError(
                f"got token {value.i}, expected token {expected}"
            )
        if value.i < expected:
            continue
        expected += 1
        yield engine.Token(value.i, value.t)


def _error_of_response(response: http_client.Response) -> errors.EngineError:
    try:
        reason = decoding.convert(response.json(), _Error).error
    except (errors.TransportError, errors.MalformedDataError):
        reason = ""
    if reason not in KNOWN_REASONS:
        reason = f"status {response.status} {reason}"
    return error_of_reason(reason)


KNOWN_REASONS = frozenset(
    {"full", "leaving", "kv_gone", "cancelled", "unknown_run", "stale_fence"}
)


def error_of_reason(reason: str) -> errors.EngineError:
    """Return the typed error for the reason that an engine gave."""
    match reason:
        case "full":
            return errors.EngineBusyError("the engine has no free slot")
        case "leaving":
            return errors.EngineLeavingError("the engine is leaving")
        case "kv_gone":
            return errors.KvCacheGoneError("the prefill result has expired")
        case "stale_fence":
            return errors.StaleFenceError(
                "the engine has seen a higher fencing number"
            )
        case "cancelled" | "unknown_run":
            return errors.RunGoneError(reason)
    return errors.EngineLostError(reason)
