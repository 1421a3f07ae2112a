"""Model engine as a process: HTTP and JSON interface of `engine_model`."""

import argparse
import base64
import os
import random
from typing import Any

import msgspec
from twisted.internet import defer
from twisted.internet import reactor as _reactor

from nutmegscale import errors
from nutmegscale import http_client
from nutmegscale import http_server
from standins import engine_model
from standins import serving

reactor: Any = _reactor
# HTTP status of each refusal.
_STATUS_BY_REASON = {
    "leaving": 503,
    "exists": 409,
    "full": 429,
    "kv_gone": 410,
    "cancelled": 404,
    "stale_fence": 412,
    "unknown_run": 404,
}
REPORT_LAG_S = 0.2


class EngineServer:
    """HTTP routes of the engine, including fault injection.

    Attributes:
      silent_until: Until this time, seconds of the reactor clock, a stream
        that has something to write goes silent for good.
      report_lag_s: Age of the reports that are served, seconds.
      cache_loss: Fraction of the cache events that reports leave out.
      lose_cancels: Number of coming cancels to ignore without an answer.
    """

    def __init__(self, engine: engine_model.Engine, seed: int) -> None:
        self._engine = engine
        self._random = random.Random(seed)
        self._source_clients: dict[str, http_client.HttpClient] = {}
        self._recent_reports: list[tuple[float, dict[str, Any]]] = []
        self.silent_until = 0.0
        self.report_lag_s = REPORT_LAG_S
        self.cache_loss = 0.0
        self.lose_cancels = 0

    async def handle(self, call: http_server.Call) -> http_server.Reply | None:
        """Handle one request."""
        try:
            return await self._route(call)
        except engine_model.EngineRefusedError as exc:
            status = _STATUS_BY_REASON.get(exc.reason, 500)
            return http_server.json_reply(status, {"error": exc.reason})

    async def _route(self, call: http_server.Call) -> http_server.Reply | None:
        match (call.method, call.path):
            case ("POST", ["v1", "prefills"]):
                return await self._prefill(msgspec.json.decode(call.body))
            case ("POST", ["v1", "exports", handle]):
                kv_bytes = await self._engine.export(handle)
                return http_server.json_reply(200, {"kv_bytes": kv_bytes})
            case ("POST", ["v1", "runs"]):
                return await self._start(msgspec.json.decode(call.body))
            case ("GET", ["v1", "runs", run_id, "tokens"]):
                return await self._stream_tokens(call, run_id)
            case ("DELETE", ["v1", "runs", run_id]):
                if self.lose_cancels > 0:
                    self.lose_cancels -= 1
                    await defer.Deferred()
                freed = self._engine.cancel(run_id)
                return http_server.json_reply(200, {"freed": freed})
            case ("GET", ["v1", "report"]):
                return self._report(int(call.query("cache_after", "0")))
            case ("GET", ["v1", "running"]):
                return http_server.json_reply(200, self._engine.running())
            case ("GET", ["v1", "counts"]):
                return http_server.json_reply(
                    200,
                    {
                        "counts": self._engine.counts,
                        "runs": list(self._engine.operation_log),
                    },
                )
            case ("POST", ["v1", "orders"]):
                return self._apply_order(msgspec.json.decode(call.body))
            case ("POST", ["v1", "faults"]):
                return self._set_fault(msgspec.json.decode(call.body))
        return http_server.json_reply(404, {"error": "not_found"})

    def _crash_if_marked(self, prompt: str, mark: str) -> None:
        if mark in prompt:
            os._exit(13)

    async def _prefill(self, body: dict[str, Any]) -> http_server.Reply:
        self._crash_if_marked(body["prompt"], engine_model.PREFILL_CRASH_MARK)
        result = await self._engine.prefill(
            body["run_id"], body["host"], body["prompt"], body["priority"]
        )
        return http_server.json_reply(200, result._asdict())

    async def _start(self, body: dict[str, Any]) -> http_server.Reply:
        run_id = body["run_id"]
        self._engine.reserve(run_id, body["host"])
        try:
            source = self._source_client(body["source"])
            response = await source.request(
                "POST", f"/v1/exports/{body['handle']}", timeout_s=30.0
            )
        except errors.TransportError as exc:
            self._engine.cancel(run_id)
            raise engine_model.EngineRefusedError("kv_gone") from exc
        if response.status != 200:
            self._engine.cancel(run_id)
            raise engine_model.EngineRefusedError("kv_gone")
        self._crash_if_marked(body["prompt"], engine_model.DECODE_CRASH_MARK)
        self._engine.start(
            run_id, body["prompt"], body["first_token"], body["max_tokens"]
        )
        return http_server.json_reply(200, {})

    def _source_client(self, base_url: str) -> http_client.HttpClient:
        if base_url not in self._source_clients:
            self._source_clients[base_url] = http_client.HttpClient(
                reactor, base_url
            )
        return self._source_clients[base_url]

    async def _stream_tokens(
        self, call: http_server.Call, run_id: str
    ) -> http_server.Reply | None:
        run = self._engine.find(run_id)
        if run is None:
            raise engine_model.EngineRefusedError("unknown_run")
        sent = int(call.query("from", "0"))
        request = call.request
        request.setHeader("content-type", "application/x-ndjson")
        while not call.disconnected.called:
            now = reactor.seconds()
            while sent < run.generated_count:
                token = base64.b64encode(run.tokens[sent]).decode()
                self._write_line(call, {"i": sent, "t": token}, now)
                sent += 1
            if run.finished:
                self._write_line(call, {"done": len(run.tokens)}, now)
                break
            if self._engine.find(run_id) is None:
                self._write_line(call, {"error": "cancelled"}, now)
                break
            waiter: defer.Deferred[None] = defer.Deferred()
            run.waiters.append(waiter)
            await waiter
        if (
            not call.disconnected.called
            and reactor.seconds() >= self.silent_until
        ):
            request.finish()
        return None

    def _write_line(
        self, call: http_server.Call, line: dict[str, Any], now: float
    ) -> None:
        if call.disconnected.called or getattr(call.request, "silenced", False):
            return
        if now < self.silent_until:
            call.request.silenced = True  # type: ignore[attr-defined]
            return
        call.request.write(msgspec.json.encode(line) + b"\n")

    def _report(self, cache_after: int) -> http_server.Reply:
        now = reactor.seconds()
        report = self._engine.report(cache_after)
        report["cache_events"] = [
            event
            for event in report["cache_events"]
            if self._random.random() >= self.cache_loss
        ]
        self._recent_reports.append((now, report))
        delayed = report
        while (
            self._recent_reports
            and self._recent_reports[0][0] <= now - self.report_lag_s
        ):
            delayed = self._recent_reports.pop(0)[1]
        if delayed is report and len(self._recent_reports) > 1:
            delayed = self._recent_reports[0][1]
        return http_server.json_reply(200, delayed)

    def _apply_order(self, body: dict[str, Any]) -> http_server.Reply:
        self._engine.order(body.get("fence", 0), body["leaving"])
        return http_server.json_reply(200, {"fence": self._engine.fence})

    def _set_fault(self, body: dict[str, Any]) -> http_server.Reply:
        match body.get("kind"):
            case "die":
                reactor.callLater(0.01, os._exit, 13)
            case "silent":
                # A stream that has something to write before this time never
                # writes again; streams that write only later are unaffected.
                self.silent_until = reactor.seconds() + body.get("for_s", 0.1)
            case "report_lag":
                self.report_lag_s = body["for_s"]
            case "cache_loss":
                self.cache_loss = body["fraction"]
            case "lose_cancels":
                self.lose_cancels = body["count"]
            case "link_rate":
                self._engine.costs = self._engine.costs._replace(
                    link_bytes_s=body["bytes_s"]
                )
            case "ignore_fence":
                self._engine.checks_fence = False
            case other:
                return http_server.json_reply(
                    400, {"error": f"no fault {other}"}
                )
        return http_server.json_reply(200, {})


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--role", choices=["prefill", "decode"], required=True)
    parser.add_argument("--costs", default="{}", help="Costs as JSON")
    parser.add_argument("--seed", type=int, default=1)


def main() -> None:
    """Run the engine process."""
    arguments = serving.parse_arguments(__doc__, _add_arguments)
    costs = engine_model.Costs(**msgspec.json.decode(arguments.costs))
    engine = engine_model.Engine(reactor, arguments.role, costs)
    engine_server = EngineServer(engine, arguments.seed)
    serving.serve(reactor, arguments.port, engine_server.handle)


if __name__ == "__main__":
    main()
