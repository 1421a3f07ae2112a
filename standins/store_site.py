"""HTTP interface of the row store, for hosts that run as processes.

`http_ingress.Handler` over a `row_table.RowTable`; one site for each host, so
that a single host can be refused or slowed.
"""

import base64
import json
from typing import Any
from urllib import parse

from nutmegscale import errors
from nutmegscale import http_ingress
from nutmegscale import http_message
from nutmegscale import periodic
from nutmegscale import row_store
from standins import row_table


class StoreSite:
    """Access of one host to the store."""

    def __init__(self, store: row_table.RowTable, host: str) -> None:
        self._store = store
        self._client = store.for_host(host)

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Handle a call."""
        running = periodic.spawn(self._answer(request))
        if not running.called:
            request.watch_disconnect(running.cancel)

    async def _answer(self, request: http_ingress.IncomingRequest) -> None:
        path, _, text = request.head.target.decode().partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        name = path.rpartition("/")[2]
        try:
            status, changes = await self._call(name, query, request.body)
        except errors.HistoryGoneError:
            request.respond(410, [self._era()], b"{}")
        except errors.StoreRefusedError:
            request.respond(503, [self._era()], b"{}")
        except errors.StoreError:
            request.abort()
        else:
            body = {
                "rows": [_row(row, query) for row in changes.rows],
                "ver": changes.version,
                "hasMore": False,
                "nowMs": 0,
            }
            headers = [
                (b"Content-Type", b"application/json"),
                (b"Store-Era", b"%d" % changes.era),
            ]
            request.respond(status, headers, json.dumps(body).encode())

    def _era(self) -> http_message.Header:
        return b"Store-Era", b"%d" % self._store.era

    async def _call(
        self, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, row_store.StoreResult]:
        if name == "rows-get":
            return 200, await self._client.read_table(query["table"])
        if name == "rows-feed":
            wait_s = int(query["waitMs"]) / 1000
            after = int(query["after"])
            return 200, await self._client.follow(query["table"], after, wait_s)
        call = json.loads(body)
        put = call["puts"][0]
        expected = call["expected"][0]["ver"] if call["expected"] else None
        changes = await self._client.write(
            put["table"],
            put["key"],
            base64.b64decode(put["value"]),
            expected=expected,
        )
        return (412 if changes.is_conflict else 200), changes


def _row(row: row_store.Row, query: dict[str, str]) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "table": query.get("table", ""),
        "part": "",
        "key": row.key,
        "value": base64.b64encode(row.value).decode(),
        "ver": row.version,
    }
    return {**fields, "deleted": True} if row.is_removed else fields
