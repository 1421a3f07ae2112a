"""The platform as a process: table, object store and delayed host list."""

import argparse
import base64
from collections import deque
import gzip
from typing import Any
from typing import NamedTuple

import msgspec
from twisted.internet import defer
from twisted.internet import reactor as _reactor
from twisted.internet import task

from nutmegscale import http_server
from standins import serving

reactor: Any = _reactor
WRITES_PER_S = 400
READS_PER_S = 2_000


class Row(NamedTuple):
    """A table row and its version, counted from 1."""

    version: int
    value: bytes


class RateLimit:
    """Limit on the operations within any second."""

    def __init__(self, per_second: int) -> None:
        self._per_second = per_second
        self._times: deque[float] = deque()

    def try_acquire(self, now: float) -> bool:
        """Count an operation; return False if the limit is reached."""
        while self._times and self._times[0] <= now - 1.0:
            self._times.popleft()
        if len(self._times) >= self._per_second:
            return False
        self._times.append(now)
        return True


class PlatformServer:
    """HTTP routes of the platform, including fault injection.

    Attributes:
      down: Whether requests get no answer.
      slow_s: Delay of each request, seconds.
      lose_answers: Number of coming writes to execute without an answer.
      counts: Number of reads and writes, rejected ones included.
      era: Number of times that the table was restored.
    """

    def __init__(self, list_lag_s: float) -> None:
        self._rows: dict[str, Row] = {}
        self._objects: dict[str, bytes] = {}
        self._hosts: dict[str, dict[str, Any]] = {}
        self._published_hosts: list[dict[str, Any]] = []
        self._list_version = 0
        self._list_lag_s = list_lag_s
        self._write_limit = RateLimit(WRITES_PER_S)
        self._read_limit = RateLimit(READS_PER_S)
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.counts = {"reads": 0, "writes": 0}
        self.era = 0
        self._log: list[tuple[float, str, Row]] = []

    async def handle(self, call: http_server.Call) -> http_server.Reply | None:
        """Handle one request."""
        if call.path[:1] == ["_admin"]:
            return self._admin(call)
        if self.down:
            await defer.Deferred()
        if self.slow_s:
            await task.deferLater(reactor, self.slow_s, lambda: None)
        return await self._route(call)

    async def _route(self, call: http_server.Call) -> http_server.Reply | None:
        is_read = call.method == "GET"
        limit = self._read_limit if is_read else self._write_limit
        self.counts["reads" if is_read else "writes"] += 1
        if not limit.try_acquire(reactor.seconds()):
            return http_server.json_reply(429, {"error": "rate"})
        reply = self._apply(call)
        if not is_read and self.lose_answers > 0:
            self.lose_answers -= 1
            await defer.Deferred()
        return reply

    def _apply(self, call: http_server.Call) -> http_server.Reply:
        match (call.method, call.path):
            case ("GET", ["table", *key]):
                reply = self._read_row(
                    "/".join(key), int(call.query("known", "0"))
                )
                return self._with_era(reply)
            case ("PUT", ["table", *key]):
                reply = self._write_row(
                    "/".join(key), int(call.query("expect", "0")), call.body
                )
                return self._with_era(reply)
            case ("GET", ["objects", name]):
                if name not in self._objects:
                    return http_server.json_reply(404, {"error": "no_object"})
                return http_server.Reply(
                    200, self._objects[name], "application/octet-stream"
                )
            case ("PUT", ["objects", name]):
                self._objects[name] = call.body
                return http_server.json_reply(200, {})
            case ("GET", ["hosts"]):
                return self._list_hosts(call)
        return http_server.json_reply(404, {"error": "not_found"})

    def _list_hosts(self, call: http_server.Call) -> http_server.Reply:
        tag = f'"{self._list_version}"'
        headers: tuple[tuple[str, str], ...] = (("etag", tag),)
        if call.header("if-none-match") == tag:
            return http_server.Reply(304, headers=headers)
        body = msgspec.json.encode(self._published_hosts)
        if "gzip" in (call.header("accept-encoding") or ""):
            body = gzip.compress(body)
            headers = (*headers, ("content-encoding", "gzip"))
        return http_server.Reply(200, body, http_server.JSON_TYPE, headers)

    def _read_row(self, key: str, known: int) -> http_server.Reply:
        row = self._rows.get(key)
        if row is None:
            return http_server.json_reply(404, {"error": "no_row"})
        if row.version == known:
            return http_server.json_reply(200, {"version": known})
        return http_server.json_reply(200, _row_json(row))

    def _write_row(
        self, key: str, expect: int, value: bytes
    ) -> http_server.Reply:
        row = self._rows.get(key)
        version = row.version if row else 0
        if version != expect:
            current = _row_json(row) if row else {"version": 0}
            return http_server.json_reply(412, current)
        self._rows[key] = Row(version + 1, value)
        self._log.append((reactor.seconds(), key, self._rows[key]))
        return http_server.json_reply(200, {"version": version + 1})

    def _with_era(self, reply: http_server.Reply) -> http_server.Reply:
        return reply._replace(
            headers=(*reply.headers, ("table-era", str(self.era)))
        )

    def _restore(self, age_s: float) -> None:
        """Replace the rows by a copy that is some seconds old."""
        latest = reactor.seconds() - age_s
        self._log = [entry for entry in self._log if entry[0] <= latest]
        self._rows = {key: row for _, key, row in self._log}
        self.era += 1

    def _admin(self, call: http_server.Call) -> http_server.Reply:
        body = msgspec.json.decode(call.body) if call.body else {}
        match call.path[1:]:
            case ["hosts"]:
                for row in body:
                    self._hosts[row["name"]] = row
                reactor.callLater(self._list_lag_s, self._publish)
            case ["faults"]:
                self.down = body.get("down", self.down)
                self.slow_s = body.get("slow_s", self.slow_s)
                self.lose_answers = body.get("lose_answers", self.lose_answers)
            case ["restore"]:
                self._restore(float(body["age_s"]))
            case ["counts"]:
                return http_server.json_reply(200, self.counts)
        return http_server.json_reply(200, {})

    def _publish(self) -> None:
        self._list_version += 1
        self._published_hosts = sorted(
            self._hosts.values(), key=lambda r: r["name"]
        )


def _row_json(row: Row) -> dict[str, Any]:
    return {
        "version": row.version,
        "value": base64.b64encode(row.value).decode(),
    }


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--list-lag", type=float, default=0.3, metavar="S")


def main() -> None:
    """Run the platform process."""
    arguments = serving.parse_arguments(__doc__, _add_arguments)
    serving.serve(
        reactor, arguments.port, PlatformServer(arguments.list_lag).handle
    )


if __name__ == "__main__":
    main()
