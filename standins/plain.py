"""Plain service as a process: counts the runs of each call."""

import argparse
import os
from typing import Any

import msgspec
from twisted.internet import reactor as _reactor
from twisted.internet import task

from nutmegscale import http_server
from standins import serving

reactor: Any = _reactor


class PlainServer:
    """Service that counts the runs of each call and echoes its body."""

    def __init__(self, latency_s: float) -> None:
        self._latency_s = latency_s
        self._run_counts: dict[str, int] = {}
        self._fault_after_run: str | None = None
        self.leaving = False

    async def handle(self, call: http_server.Call) -> http_server.Reply | None:
        """Handle one request."""
        match (call.method, call.path):
            case ("GET", ["v1", "report"]):
                return http_server.json_reply(
                    200,
                    {
                        "role": "plain",
                        "leaving": self.leaving,
                        "slots": 1_000,
                        "running": [],
                        "queued": 0,
                        "cache_last": 0,
                        "cache_events": [],
                    },
                )
            case ("GET", ["_counts"]):
                return http_server.json_reply(200, self._run_counts)
            case ("POST", ["_faults"]):
                faults = msgspec.json.decode(call.body)
                self._fault_after_run = faults.get(
                    "after_run", self._fault_after_run
                )
                self.leaving = faults.get("leaving", self.leaving)
                self._latency_s = faults.get("latency_s", self._latency_s)
                return http_server.json_reply(200, {})
        key = call.header("x-run-key") or "?"
        self._run_counts[key] = self._run_counts.get(key, 0) + 1
        run = self._run_counts[key]
        await task.deferLater(reactor, self._latency_s, lambda: None)
        if self._fault_after_run == "die":
            os._exit(13)
        if self._fault_after_run == "lose":
            self._fault_after_run = None
            transport: Any = call.request.transport
            transport.abortConnection()
            return None
        body = {
            "service": "plain",
            "path": "/".join(call.path),
            "run": run,
            "echo": call.body.decode("utf-8", "replace"),
        }
        return http_server.json_reply(200, body)


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--latency", type=float, default=0.005, metavar="S")


def main() -> None:
    """Run the plain service process."""
    arguments = serving.parse_arguments(__doc__, _add_arguments)
    serving.serve(
        reactor, arguments.port, PlainServer(arguments.latency).handle
    )


if __name__ == "__main__":
    main()
