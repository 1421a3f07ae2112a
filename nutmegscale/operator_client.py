"""Blocking client of the operators' API, for the command line."""

from typing import Any
from typing import NamedTuple
import urllib.error
import urllib.request

import msgspec

from nutmegscale import decoding
from nutmegscale import errors

TIMEOUT_S = 8.0

_decoder: decoding.Decoder[Any] = decoding.Decoder(Any)


class Host(NamedTuple):
    """The operators' API of a host.

    Attributes:
      url: Base URL of the operators' port.
      token: Bearer token of the operators.
    """

    url: str
    token: str


class OperatorError(errors.NutmegscaleError):
    """A host can't be reached, refused a request or answered unusably."""


def get(host: Host, path: str) -> Any:
    """Read a JSON value.

    Raises:
      OperatorError: The host can't be reached, the status isn't 200, or the
        answer isn't JSON.
    """
    status, value = _send(host, path, None)
    if status != 200:
        raise OperatorError(f"status {status}: {_message(value)}")
    return value


def post(host: Host, path: str, body: Any) -> dict[str, Any]:
    """Send a JSON value and return the answer, whatever its status.

    Raises:
      OperatorError: The host can't be reached, the token is wrong, or the
        answer isn't a JSON object.
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
        return _decoder.decode(data)
    except errors.MalformedDataError as exc:
        raise OperatorError("the host's answer isn't JSON") from exc


def _message(value: Any) -> str:
    if isinstance(value, dict) and isinstance(value.get("error"), dict):
        return str(value["error"].get("message"))
    return "answer without an error message"
