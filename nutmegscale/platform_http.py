"""HTTP client of the platform, with rows in JSON."""

from typing import Any
from typing import TypeVar
from urllib import parse

import msgspec

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import http_client
from nutmegscale import platform_service

TIMEOUT_S = 1.0
ERA_HEADER = "table-era"

_T = TypeVar("_T")


class _Row(msgspec.Struct):
    version: decoding.Natural
    value: bytes = b""


class HttpPlatform:
    """Implementation of `platform_service.Platform` over HTTP."""

    def __init__(
        self, client: http_client.HttpClient, *, timeout_s: float = TIMEOUT_S
    ) -> None:
        self._client = client
        self._timeout_s = timeout_s
        self._hosts_etag = ""

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row:
        """Read a row; see `platform_service.Platform`."""
        path = f"/table/{parse.quote(key)}?known={known_version}"
        response = await self._send("GET", path)
        if response.status == 404:
            return platform_service.Row(0, b"", _era(response))
        return _row(response)

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row conditionally; see `platform_service.Platform`."""
        path = f"/table/{parse.quote(key)}?expect={expect_version}"
        response = await self._send("PUT", path, value)
        if response.status == 412:
            return platform_service.Conflict(_row(response))
        return platform_service.Written(
            _decode(response, _Row).version, _era(response)
        )

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; see `platform_service.Platform`."""
        await self._send("PUT", f"/objects/{parse.quote(name)}", content)

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; see `platform_service.Platform`."""
        response = await self._send("GET", f"/objects/{parse.quote(name)}")
        return None if response.status == 404 else response.body

    async def hosts(self) -> list[dict[str, Any]] | None:
        """Read the host list; see `platform_service.Platform`."""
        headers = {"accept-encoding": "gzip"}
        if self._hosts_etag:
            headers["if-none-match"] = self._hosts_etag
        response = await self._send("GET", "/hosts", headers=headers)
        if response.status == 304:
            return None
        rows = _decode(response, list[Any])
        self._hosts_etag = response.headers.get("etag", "")
        return [row for row in rows if isinstance(row, dict)]

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> http_client.Response:
        try:
            response = await self._client.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout_s=self._timeout_s,
            )
        except errors.TransportError as exc:
            raise errors.PlatformUnavailableError(str(exc)) from exc
        if response.status not in (200, 304, 404, 412):
            raise errors.PlatformUnavailableError(
                f"unexpected status {response.status} for {method} {path}"
            )
        return response


def _row(response: http_client.Response) -> platform_service.Row:
    row = _decode(response, _Row)
    return platform_service.Row(row.version, row.value, _era(response))


def _decode(response: http_client.Response, kind: type[_T]) -> _T:
    """Decode the body of an answer.

    Raises:
      errors.PlatformUnavailableError: It is malformed.
    """
    try:
        return decoding.convert(response.json(), kind)
    except (errors.TransportError, errors.MalformedDataError) as exc:
        raise errors.PlatformUnavailableError(
            f"malformed answer: {exc}"
        ) from exc


def _era(response: http_client.Response) -> int:
    """Return the era that an answer states, 0 if it states none."""
    text = response.headers.get(ERA_HEADER, "0")
    try:
        return decoding.natural(text)
    except errors.MalformedDataError as exc:
        raise errors.PlatformUnavailableError(
            f"era of the table: {exc}"
        ) from exc
