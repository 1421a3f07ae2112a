"""Rows that another program wrote and that aren't what they should be."""

from typing import Any

import msgspec

from standins import platform_rows

DEEP_JSON = b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
DEEP_MSGPACK = b"\x93" + b"\x91" * 5000


def _entry(address: str = "w9:1000", **changes: Any) -> bytes:
    return platform_rows.entry_row(
        platform_rows.PLAIN_SERVICE, address, **changes
    )


def _slots_of_digits(count: int) -> bytes:
    """Return an entry with a number that Python can't write as text."""
    return _entry().replace(b'"slots": 4', b'"slots": ' + b"9" * count)


def entries() -> dict[str, bytes]:
    """Return entries of servers by what is wrong with them."""
    return {
        "nested": _entry()[:-1] + b"," + DEEP_JSON[1:],
        "port of another script": _entry("w9:²"),
        "port of many digits": _entry("w9:" + "9" * 5000),
        "port out of range": _entry("w9:65536"),
        "no port": _entry("w9"),
        "blank in the address": _entry("w 9:1000"),
        "NUL in the address": _entry("w9\x00:1000"),
        "line break in the address": _entry("w9\r\nX: 1:1000"),
        "large start time": _entry(born=10**30),
        "large number of slots": _entry(slots=10**30),
        "number of thousands of digits": _slots_of_digits(5000),
        "infinite number": _entry().replace(b'"slots": 4', b'"slots": 1e999'),
        "wrong type": _entry(zone=["x"]),
        "not UTF-8": b'{"service":"\xff\xfe"}',
        "lone surrogate": b'{"service":"\\ud800"}',
        "truncated": _entry()[:40],
        "empty": b"",
        "too long": _entry() + b" " * (1 << 17),
    }


def configs(version: int) -> dict[str, bytes]:
    """Return configurations by what is wrong with them."""
    whole = platform_rows.config_row(version)
    half_ms = platform_rows.config_row(version, limits={"idleTimeoutMs": 0.5})
    return {
        "nested": whole[:-1] + b"," + DEEP_JSON[1:],
        "negative time": half_ms.replace(b"0.5", b"-5.0"),
        "infinite time": half_ms.replace(b"0.5", b"1e999"),
        "large version": platform_rows.config_row(10**30),
        "truncated": whole[:-20],
        "not an object": b"[]",
    }


def hosts() -> dict[str, bytes]:
    """Return rows of hosts by what is wrong with them."""
    return {
        "nested": DEEP_MSGPACK,
        "truncated": b"\x93\xa1",
        "address that can't be dialed": msgspec.msgpack.encode(
            ("tcp://\x00", "maadi", True)
        ),
        "number as address": msgspec.msgpack.encode((7, "maadi", True)),
    }
