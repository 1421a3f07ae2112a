"""HTTP API for operators; every request needs the operators' token."""

from collections.abc import Callable
import hmac
from typing import Any

from nutmegscale import blackboard
from nutmegscale import caller_api
from nutmegscale import config
from nutmegscale import config_controller
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import exchange_controller
from nutmegscale import http_server
from nutmegscale import membership
from nutmegscale import mesh

BEARER_PREFIX = "Bearer "
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_decoder: decoding.Decoder[Any] = decoding.Decoder(Any)


class OperatorApi:
    """Request handler of the operators' port."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        configs: config_controller.ConfigController,
        exchanges: exchange_controller.ExchangeController,
        peer_mesh: mesh.Mesh,
        *,
        scrape: Callable[[], bytes],
        drain: Callable[[], None],
        http_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self._board = board
        self._configs = configs
        self._exchanges = exchanges
        self._mesh = peer_mesh
        self._scrape = scrape
        self._drain = drain
        self._http_bytes = http_bytes

    async def handle(self, call: http_server.Call) -> http_server.Reply | None:
        """Answer a request of an operator."""
        if not self._is_authorized(call):
            return caller_api.failure_reply(
                errors.Failure(401, "unknown_token", "wrong or missing token")
            )
        if call.is_too_large:
            return caller_api.failure_reply(
                errors.Failure(413, "too_large", "the body is too large")
            )
        match (call.method, call.path):
            case ("GET", ["healthz"]):
                return http_server.json_reply(200, {"status": "ok"})
            case ("GET", ["readyz"]):
                status = 200 if self._board.is_ready else 503
                return http_server.json_reply(status, {"ready": status == 200})
            case ("GET", ["metrics"]):
                return http_server.Reply(200, self._scrape(), METRICS_TYPE)
            case ("GET", ["v1", "status"]):
                return http_server.json_reply(200, self._status())
            case ("GET", ["v1", "timeline"]):
                events = self._board.timeline.events(call.query("request"))
                return http_server.json_reply(200, events)
            case ("GET", ["v1", "config"]):
                return self._read_config()
            case ("POST", ["v1", "config"]):
                return await self._apply_config(call)
            case ("POST", ["v1", "drain"]):
                self._drain()
                return http_server.json_reply(202, {"draining": True})
        return caller_api.failure_reply(
            errors.Failure(404, "not_found", "no such path")
        )

    def _is_authorized(self, call: http_server.Call) -> bool:
        token = BEARER_PREFIX + self._board.settings["operator_token"]
        given = call.header("authorization") or ""
        return hmac.compare_digest(given.encode(), token.encode())

    def _status(self) -> dict[str, Any]:
        board = self._board
        return {
            "host": board.host,
            "failure_domain": board.settings["failure_domain"],
            "ready": board.is_ready,
            "draining": board.is_draining,
            "revision": self._configs.revision,
            "digest": board.config.digest if board.config else "",
            "exchanges": self._exchanges.live_count,
            "claims": len(board.home),
            "quarantined": board.quarantine.count_quarantined(board.now()),
            "hosts": [
                {
                    "host": member.host,
                    "failure_domain": member.failure_domain,
                    "state": membership.State(member.state).name.lower(),
                }
                for member in board.membership.members()
            ],
            "workers": [
                {
                    "worker": worker.name,
                    "service": worker.service,
                    "role": worker.role,
                    "failure_domain": worker.failure_domain,
                    "leaving": worker.leaving
                    or worker.name in board.leaving_workers,
                }
                for worker in board.workers.values()
            ],
            "cells": self._cells(),
            "mesh": self._mesh.counts._asdict(),
            "http_bytes": self._http_bytes(),
        }

    def add_gauges(self) -> None:
        """Register the gauges of this host with its metrics."""
        gauge = self._board.metrics.add_gauge
        gauge("nutmegscale_exchanges", lambda: self._exchanges.live_count)
        gauge("nutmegscale_ready", lambda: int(self._board.is_ready))
        gauge("nutmegscale_slots_held", self._slots_held)
        gauge("nutmegscale_control_bytes", self._control_bytes)

    def _slots_held(self) -> int:
        return sum(cell["slots_held"] for cell in self._cells().values())

    def _control_bytes(self) -> int:
        counts = self._mesh.counts
        return counts.sent_bytes + counts.received_bytes + self._http_bytes()

    def _cells(self) -> dict[str, dict[str, int]]:
        """Return the number of held slots of each cell that this host plans."""
        cells = {}
        for name, planner in self._exchanges.planning.active_cells().items():
            slots = getattr(planner, "ledger", None)
            cells[name] = {"slots_held": 0 if slots is None else len(slots)}
        return cells

    def _read_config(self) -> http_server.Reply:
        current = self._board.config
        if current is None:
            return caller_api.failure_reply(
                errors.Failure(404, "no_config", "no configuration is in force")
            )
        headers = (("x-revision", str(current.revision)),)
        content = config.canonical(current.document)
        return http_server.Reply(200, content, http_server.JSON_TYPE, headers)

    async def _apply_config(self, call: http_server.Call) -> http_server.Reply:
        try:
            request = _decoder.decode(call.body)
            document = config.check(request["document"])
            attempt = str(request["attempt"])
            base = request.get("base_revision")
        except (errors.MalformedDataError, KeyError, TypeError) as exc:
            return caller_api.failure_reply(
                errors.Failure(
                    400, "bad_request", f"malformed request: {exc!r}"
                )
            )
        except errors.ConfigError as exc:
            return caller_api.failure_reply(
                errors.Failure(400, "invalid_config", str(exc))
            )
        applied = await self._configs.apply(document, base, attempt)
        status = {"accepted": 200, "conflict": 409, "unavailable": 503}
        return http_server.json_reply(status[applied.state], applied._asdict())
