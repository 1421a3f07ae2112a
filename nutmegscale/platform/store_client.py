"""HTTP client of the platform's row store."""

import base64
import binascii
import json
from urllib import parse

import msgspec

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import row_store
from nutmegscale import upstream
from nutmegscale import upstream_call

# Longest wait for an answer beyond the requested wait of a long poll, and for
# each further part of it, seconds. A slow store takes up to 62 times its
# typical 4 ms, several calls in a row.
ANSWER_TIMEOUT_S = 1.5
# Shortest of the longest waits for a whole answer, seconds.
MIN_READ_TIMEOUT_S = 5.0
# The longest wait for a whole answer, in times that the longest answer takes on
# an idle link.
LINK_SHARE_FACTOR = 2.0
DEFAULT_LINK_MBPS = 10.0
MAX_ANSWER_BYTES = 8 << 20
PAGE_ROWS = 500
# Longest table that is read, in all its pages: keys and values, bytes. The
# entries of 1,500 servers take 0.5 MB.
MAX_TABLE_BYTES = 16 << 20
ERA_HEADER = b"store-era"


class _Row(msgspec.Struct):
    key: str
    ver: decoding.Natural
    value: str = ""
    deleted: bool = False


class _Answer(msgspec.Struct):
    ver: decoding.Natural
    rows: list[_Row] = []
    more: bool = msgspec.field(name="hasMore", default=False)


_decoder = decoding.Decoder[_Answer](_Answer, max_bytes=MAX_ANSWER_BYTES)


class StoreClient:
    """The platform's `row_store.RowStore`; `part` of every row key is empty."""

    def __init__(
        self,
        pool: upstream.UpstreamPool,
        address: str,
        *,
        answer_timeout_s: float = ANSWER_TIMEOUT_S,
        link_mbps: float = DEFAULT_LINK_MBPS,
    ) -> None:
        self._pool = pool
        self._address = address
        self._answer_timeout_s = answer_timeout_s
        self._read_timeout_s = read_timeout_s(link_mbps)

    async def read_table(self, table: str) -> row_store.StoreResult:
        """Read all rows of a table; see `row_store.RowStore`."""
        rows: list[row_store.Row] = []
        first_key = ""
        first_page: tuple[int, int] | None = None
        size = 0
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if first_key:
                query["from"] = first_key
            answer, era = await self._get("rows-get", query)
            # Later pages may show later changes, but not all of them: the
            # caller must follow from the first page on.
            first_page = first_page or (answer.ver, era)
            if era != first_page[1]:
                raise errors.HistoryGoneError(
                    f"table {table}: the store was restored during the read, "
                    f"era {first_page[1]} became {era}"
                )
            page = _rows(answer)
            size += sum(len(row.key) + len(row.value) for row in page)
            is_repeated = bool(page) and page[0].key < first_key
            if is_repeated or size > MAX_TABLE_BYTES:
                raise errors.StoreError(
                    f"table {table}: pages without end, {size} bytes so far"
                )
            rows += page
            if not answer.more or not answer.rows:
                return row_store.StoreResult(
                    tuple(rows), first_page[0], era=era
                )
            first_key = answer.rows[-1].key + "\0"

    async def follow(
        self, table: str, after: int, wait_s: float
    ) -> row_store.StoreResult:
        """Wait for changes of a table; see `row_store.RowStore`."""
        query = {
            "table": table,
            "after": str(after),
            "waitMs": str(int(wait_s * 1000)),
        }
        answer, era = await self._get("rows-feed", query, wait_s=wait_s)
        return row_store.StoreResult(tuple(_rows(answer)), answer.ver, era=era)

    async def write(
        self, table: str, key: str, value: bytes, *, expected: int | None = None
    ) -> row_store.StoreResult:
        """Write a row; see `row_store.RowStore`."""
        row_id = {"table": table, "part": "", "key": key}
        put = {**row_id, "value": base64.b64encode(value).decode()}
        condition = [] if expected is None else [{**row_id, "ver": expected}]
        body = {"expected": condition, "puts": [put], "drops": []}
        head = http_message.RequestHead(
            b"POST",
            b"/nutmegscale/rows-tx",
            (*self._headers(), (b"Content-Type", b"application/json")),
        )
        answered, data = await self._call(head, json.dumps(body).encode(), 0.0)
        if answered.status not in (200, 412):
            raise errors.StoreRefusedError(
                f"write of {table}/{key} refused with status {answered.status}"
            )
        answer = _decode(data)
        return row_store.StoreResult(
            tuple(_rows(answer)),
            answer.ver,
            is_conflict=answered.status == 412,
            era=read_era(answered),
        )

    async def _get(
        self, operation: str, query: dict[str, str], *, wait_s: float = 0.0
    ) -> tuple[_Answer, int]:
        """Call a read operation.

        Returns:
          The answer and the era of the store.
        """
        target = f"/nutmegscale/{operation}?{parse.urlencode(query)}"
        head = http_message.RequestHead(
            b"GET", target.encode(), self._headers()
        )
        answered, data = await self._call(head, b"", wait_s)
        if answered.status == 410:
            raise errors.HistoryGoneError(
                f"{operation}: the store doesn't have the requested history"
            )
        if answered.status != 200:
            raise errors.StoreRefusedError(
                f"{operation} refused with status {answered.status}"
            )
        return _decode(data), read_era(answered)

    def _headers(self) -> tuple[http_message.Header, ...]:
        return ((b"Host", self._address.encode()),)

    async def _call(
        self, head: http_message.RequestHead, body: bytes, wait_s: float
    ) -> tuple[http_message.ResponseHead, bytes]:
        request = upstream_call.Request(head, body, b"", is_trusted=True)
        timeout_s = wait_s + self._answer_timeout_s
        try:
            call = await self._pool.call(self._address, request)
        except errors.ConnectError as exc:
            raise errors.StoreRefusedError(str(exc)) from exc
        try:
            answer = await call.head(timeout_s)
            data = await call.body(
                self._read_timeout_s,
                MAX_ANSWER_BYTES,
                idle_timeout_s=self._answer_timeout_s,
            )
        except errors.TransportError as exc:
            raise errors.StoreError(str(exc)) from exc
        finally:
            call.abort()
        return answer, data


def read_timeout_s(link_mbps: float) -> float:
    """Return the longest wait for a whole answer over a link, seconds."""
    longest_s = MAX_ANSWER_BYTES * 8 / (link_mbps * 1e6)
    return max(MIN_READ_TIMEOUT_S, LINK_SHARE_FACTOR * longest_s)


def read_era(head: http_message.ResponseHead) -> int:
    """Return the era that an answer states, 0 if it states none.

    Raises:
      errors.StoreError: It isn't a whole number.
    """
    text = head.get(ERA_HEADER)
    if text is None:
        return 0
    try:
        return decoding.natural(text)
    except errors.MalformedDataError as exc:
        raise errors.StoreError(f"era of the store: {exc}") from exc


def _decode(data: bytes) -> _Answer:
    try:
        return _decoder.decode(data)
    except errors.MalformedDataError as exc:
        raise errors.StoreError(
            f"malformed answer of the store: {exc}"
        ) from exc


def _rows(answer: _Answer) -> list[row_store.Row]:
    rows = []
    for row in answer.rows:
        try:
            value = base64.b64decode(row.value, validate=True)
        except (binascii.Error, ValueError):
            # Not raised here: the decoder of the row reports it as malformed.
            value = row.value.encode()
        rows.append(row_store.Row(row.key, value, row.ver, row.deleted))
    return rows
