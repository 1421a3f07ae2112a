"""Blocking client of the operators' port, for the command line."""

from typing import Any
from typing import NamedTuple
import urllib.error
import urllib.request

import msgspec

from nutmegscale import errors

TIMEOUT_S = 8.0


class Host(NamedTuple):
    """An operators' port and its token."""

    url: str
    token: str


class OperatorError(errors.NutmegscaleError):
    """A host gave no usable answer."""


def get(host: Host, path: str) -> Any:
    """Read a JSON value.

    Raises:
      OperatorError: The host can't be reached or refused.
    """
    status, value = _send(host, path, None)
    if status != 200:
        raise OperatorError(f"status {status}: {_message(value)}")
    return value


def post(host: Host, path: str, body: Any) -> dict[str, Any]:
    """Send a JSON value and return the answer, whatever its status.

    Raises:
      OperatorError: The host can't be reached, or the token is wrong.
    """
    status, value = _send(host, path, msgspec.json.encode(body))
    if status == 401 or not isinstance(value, dict):
        raise OperatorError(f"status {status}: {_message(value)}")
    return value


def _send(host: Host, path: str, body: bytes | None) -> tuple[int, Any]:
    request = urllib.request.Request(
        host.url.rstrip("/") + path,
        data=body,
        headers={
            "authorization": f"Bearer {host.token}",
            "content-type": "application/json",
        },
    )
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    try:
        with opener.open(request, timeout=TIMEOUT_S) as response:
            return response.status, _decode(response.read())
    except urllib.error.HTTPError as exc:
        return exc.code, _decode(exc.read())
    except (OSError, ValueError) as exc:
        raise OperatorError(str(exc)) from exc


def _decode(data: bytes) -> Any:
    try:
        return msgspec.json.decode(data)
    except msgspec.DecodeError as exc:
        raise OperatorError("the answer isn't JSON") from exc


def _message(value: Any) -> str:
    if isinstance(value, dict) and isinstance(value.get("error"), dict):
        return str(value["error"].get("message"))
    return "unexpected answer"
