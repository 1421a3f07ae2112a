"""Decoding of what other programs wrote, into checked values or a typed error.

Other programs write rows of the store, messages, answers and requests. What
they write may be malformed in any way: truncated, nested very deeply, or with
numbers out of any range. Each such value is decoded here, so that one kind of
exception stands for all of that.
"""

from typing import Annotated
from typing import Any
from typing import Generic
from typing import Literal
from typing import TypeVar

import msgspec

from nutmegscale import errors

_T = TypeVar("_T")

# Longest text that is decoded, unless a decoder states another bound.
MAX_BYTES = 8 << 20
# Deepest nesting of a value without a schema.
MAX_DEPTH = 64
# Largest whole number, and the digits that it may have in text.
MAX_INTEGER = 2**63 - 1
MAX_DIGITS = 18
MAX_PORT = 65_535
# Longest host name or IP address of an address, and longest name of a server,
# service or failure domain, characters.
MAX_HOST_LENGTH = 253
MAX_NAME_LENGTH = 200
# Longest part of a malformed value that an error names, characters.
MAX_QUOTED_LENGTH = 60

Natural = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_INTEGER))]

_ADDRESS_CHARACTERS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_:[]"
)


class Decoder(Generic[_T]):
    """Decoder of one type.

    Args:
      kind: Type of the value; `Any` for one without a schema.
      encoding: How it is encoded.
      max_bytes: Longest text that is decoded.
    """

    def __init__(
        self,
        kind: type[_T] | Any,
        encoding: Literal["json", "msgpack"] = "json",
        *,
        max_bytes: int = MAX_BYTES,
    ) -> None:
        self._has_schema = kind is not Any
        self._decoder: Any = (
            msgspec.json.Decoder(kind)
            if encoding == "json"
            else msgspec.msgpack.Decoder(kind)
        )
        self._max_bytes = max_bytes

    def decode(self, data: bytes | msgspec.Raw) -> _T:
        """Decode a value.

        Raises:
          errors.MalformedDataError: It is malformed, out of range, too long or
            nested too deeply.
        """
        size = len(memoryview(data))
        if size > self._max_bytes:
            raise errors.MalformedDataError(
                f"{size} bytes, expected at most {self._max_bytes}"
            )
        try:
            value: _T = self._decoder.decode(data)
        except RecursionError as exc:
            raise errors.MalformedDataError("nested too deeply") from exc
        except (ValueError, OverflowError) as exc:
            raise errors.MalformedDataError(str(exc)) from exc
        if not self._has_schema:
            check_depth(value)
        return value


def convert(value: Any, kind: type[_T]) -> _T:
    """Check a decoded value without a schema against a type.

    Raises:
      errors.MalformedDataError: It doesn't fit.
    """
    try:
        return msgspec.convert(value, kind)
    except (ValueError, OverflowError, RecursionError) as exc:
        raise errors.MalformedDataError(str(exc)) from exc


def check_depth(value: Any) -> None:
    """Check that a value without a schema can be processed recursively.

    Raises:
      errors.MalformedDataError: It is nested deeper than `MAX_DEPTH`.
    """
    level = [value]
    for _ in range(MAX_DEPTH):
        level = [
            item
            for parent in level
            if isinstance(parent, list | dict)
            for item in (
                parent.values() if isinstance(parent, dict) else parent
            )
        ]
        if not level:
            return
    raise errors.MalformedDataError(
        f"nested too deeply, expected at most {MAX_DEPTH} levels"
    )


def natural(text: str | bytes) -> int:
    """Decode a whole number from 0 on in decimal digits.

    Raises:
      errors.MalformedDataError: It isn't one, or has more than `MAX_DIGITS`
        digits.
    """
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_DIGITS:
        raise errors.MalformedDataError(
            f"{quoted(text)} isn't a whole number of 1 to {MAX_DIGITS} digits"
        )
    return int(text)


def address(text: str) -> tuple[str, int]:
    """Decode an address HOST:PORT.

    Returns:
      The host, a name or an IP address, and the port.

    Raises:
      errors.MalformedDataError: It isn't one.
    """
    host, _, port = text.rpartition(":")
    is_host = 0 < len(host) <= MAX_HOST_LENGTH
    if not is_host or not _ADDRESS_CHARACTERS.issuperset(host):
        raise errors.MalformedDataError(f"{quoted(text)} isn't HOST:PORT")
    number = natural(port)
    if not 0 < number <= MAX_PORT:
        raise errors.MalformedDataError(
            f"port {number} isn't between 1 and {MAX_PORT}"
        )
    return host, number


def token(text: str) -> str:
    """Check a name that is sent in the head of a message.

    Raises:
      errors.MalformedDataError: It is empty, too long, or has a character other
        than the printable ones of ASCII without the blank.
    """
    is_printable = text.isascii() and text.isprintable() and " " not in text
    if not 0 < len(text) <= MAX_NAME_LENGTH or not is_printable:
        raise errors.MalformedDataError(
            f"{quoted(text)} isn't a name of 1 to {MAX_NAME_LENGTH} printable "
            "characters"
        )
    return text


def quoted(text: str | bytes) -> str:
    """Return the beginning of a malformed value, for an error."""
    return repr(text[:MAX_QUOTED_LENGTH])
