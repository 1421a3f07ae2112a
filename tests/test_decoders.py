"""Property tests: every decoder of what others wrote ends in a typed error.

The inputs are arbitrary bytes, truncations, and valid values in which some
parts were replaced by odd ones: other types, numbers out of range, and deep
nesting. The draws are derived from the test, so that each run is the same.
"""

from collections.abc import Callable
import contextlib
import json
import math
from typing import Any

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from nutmegscale import caller_api
from nutmegscale import claim
from nutmegscale import config
from nutmegscale import decoding
from nutmegscale import engine_http
from nutmegscale import envelope
from nutmegscale import errors
from nutmegscale import event_stream
from nutmegscale import host_rows
from nutmegscale import http_client
from nutmegscale import http_message
from nutmegscale import lease
from nutmegscale import messages
from nutmegscale import origin_rows
from nutmegscale import platform_service
from nutmegscale import row_store
from nutmegscale import upstream
from nutmegscale.platform import ingress
from nutmegscale.platform import routing_config
from nutmegscale.platform import store_client
from nutmegscale.platform import worker_calls
from nutmegscale.platform import worker_entries
from standins import platform_rows

_ODD_TEXTS = ("", " ", "\x00", "²", "٣", "9" * 30, "a\r\nb: c", "é" * 300)
_ODD_NUMBERS = (-1, 0, 2**53 + 1, 2**64, 10**30, 0.5, -0.0, 1e308)
_SETTINGS = settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)

_leaves = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(_ODD_TEXTS),
    st.sampled_from(_ODD_NUMBERS),
    st.text(max_size=8),
)
_values = st.recursive(
    _leaves,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=4), inner, max_size=3),
    ),
    max_leaves=8,
)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all parts of a value."""
    found = [path]
    items: Any = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list | tuple):
        items = enumerate(value)
    for key, item in items:
        found += _paths(item, (*path, key))
    return found


def _replaced(value: Any, path: tuple[Any, ...], odd: Any) -> Any:
    """Return a value with one part replaced."""
    if not path:
        return odd
    if isinstance(value, dict):
        return {**value, path[0]: _replaced(value[path[0]], path[1:], odd)}
    items = list(value)
    items[path[0]] = _replaced(items[path[0]], path[1:], odd)
    return items


def _inputs(
    valid: Any, encode: Callable[[Any], bytes]
) -> st.SearchStrategy[bytes]:
    """Return odd encodings around a valid value."""
    data = encode(valid)
    deep = (
        b"[" * 5000 + b"]" * 5000 if encode is _json else b"\x91" * 5000 + b"\1"
    )
    mutated = st.builds(
        lambda path, odd: encode(_replaced(valid, path, odd)),
        st.sampled_from(_paths(valid)),
        _values,
    )
    truncated = st.integers(0, len(data)).map(lambda end: data[:end])
    flipped = st.builds(
        lambda at, byte: data[:at] + bytes([byte]) + data[at + 1 :],
        st.integers(0, len(data) - 1),
        st.integers(0, 255),
    )
    return st.one_of(
        st.binary(max_size=64), mutated, truncated, flipped, st.just(deep)
    )


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _msgpack(value: Any) -> bytes:
    try:
        return msgspec.msgpack.encode(value)
    except (OverflowError, ValueError):
        # A number that the encoding can't hold.
        return b"\xcf\xff"


def _row(value: bytes) -> row_store.Row:
    return row_store.Row("w1", value, 1)


def _table_row(value: bytes) -> platform_service.Row:
    return platform_service.Row(1, value)


def _json_body(data: bytes) -> Any:
    return http_client.Response(200, {}, data).json()


_ENTRY = json.loads(
    platform_rows.entry_row("entries", "10.0.0.1:80", stage="decode")
)
_CONFIG = json.loads(platform_rows.config_row())
_REPORT = {
    "leaving": False,
    "slots": 4,
    "running": [{"run_id": "r", "host": "h", "phase": "kv", "age_s": 0.5}],
    "queued": 0,
    "cache_last": 1,
    "cache_events": [[1, "add", "ab"]],
}
_ANSWER = {"ver": 7, "rows": [{"key": "a", "ver": 3, "value": "aGk="}]}
_COMPLETION = {"model": "m", "prompt": "p", "max_tokens": 3, "stream": True}
_CLAIM = ("done", "a", "h", b"c", (200, "text/plain", b"x"))
_ORIGIN = (3, ((b"digest", "r1", "v1"),))

JSON_DECODERS: dict[str, tuple[Any, Callable[[bytes], Any]]] = {
    "entry": (_ENTRY, lambda data: worker_entries.decode(_row(data))),
    "routing": (_CONFIG, routing_config.decode),
    "store": (
        _ANSWER,
        lambda data: store_client._rows(store_client._decode(data)),
    ),
    "prefill": (
        {"handle": "3f", "tokens": 3, "version": 1},
        worker_calls.ServerCodec().read_handle,
    ),
    "completion": (_COMPLETION, caller_api._parse_completion),
    "document": ({"callers": {}}, config.decode_document),
    "configuration": (
        {"callers": {}, "services": {}, "objective": {}},
        lambda data: config.decode(data, 1),
    ),
    "report": (
        _REPORT,
        lambda data: engine_http.parse_report(_json_body(data)),
    ),
    "body": ({"error": "full"}, _json_body),
}
MSGPACK_DECODERS: dict[str, tuple[Any, Callable[[bytes], Any]]] = {
    "claim": (_CLAIM, claim.decode_row),
    "lease": (("h", 3, 4, 1), lambda data: lease._decode(_table_row(data))),
    "origins": (_ORIGIN, lambda data: origin_rows._decode_origins(_row(data))),
    "versions": (
        (("v1",), 1),
        lambda data: origin_rows._decode_versions(_row(data)),
    ),
    "host": (
        ("tcp://10.0.0.1:7", "maadi", True),
        lambda data: host_rows._decoder.decode(data),
    ),
}


@_SETTINGS
@pytest.mark.parametrize("name", JSON_DECODERS)
@given(data=st.data())
def test_json_of_any_shape_is_decoded_or_ends_in_a_typed_error(
    name: str, data: st.DataObject
) -> None:
    valid, decode = JSON_DECODERS[name]
    decode(_json(valid)) if name != "configuration" else None
    with contextlib.suppress(errors.NutmegscaleError):
        decode(data.draw(_inputs(valid, _json)))


@_SETTINGS
@pytest.mark.parametrize("name", MSGPACK_DECODERS)
@given(data=st.data())
def test_msgpack_of_any_shape_is_decoded_or_ends_in_a_typed_error(
    name: str, data: st.DataObject
) -> None:
    valid, decode = MSGPACK_DECODERS[name]
    decode(_msgpack(valid))
    with contextlib.suppress(errors.NutmegscaleError):
        decode(data.draw(_inputs(valid, _msgpack)))


@_SETTINGS
@pytest.mark.parametrize("number", sorted(messages.TYPE_BY_NUMBER))
@given(data=st.data())
def test_messages_of_any_shape_are_decoded_or_end_in_a_typed_error(
    number: int, data: st.DataObject
) -> None:
    """The header is valid and the digest is right."""
    sealer = envelope.Sealer("a", b"k" * 32, 1)
    receiver = envelope.Sealer("b", b"k" * 32, 2)
    body = data.draw(
        st.one_of(
            _values.map(_msgpack),
            st.binary(max_size=32),
            st.just(b"\x91" * 5000),
        )
    )
    header = envelope.Header("a", "b", 1, 1, 1, number, 0, False)
    sealed = b"\x92" + _msgpack(header) + body
    with_digest = sealed + sealer._digest(sealed)
    with contextlib.suppress(errors.NutmegscaleError):
        receiver.open(with_digest)


_header_values = st.one_of(
    st.binary(max_size=24).map(
        lambda value: value.translate(None, b"\r\n\x00")
    ),
    st.sampled_from(
        [
            b"9" * 400,
            b"9" * 5000,
            b"1e999",
            b"-1",
            b"1.5",
            b"nan",
            b"3,0,8",
            b"3,0," + b"8" * 5000,
            b"1460,80",
            b"timeout=" + b"9" * 5000,
            b"\xb2",
            b"12\xc2\xb2",
        ]
    ),
)


@_SETTINGS
@pytest.mark.parametrize(
    "name",
    ["deadline-ms", "token-count", "length-hint", "prompt-prefix", "resumes"],
)
@given(value=_header_values)
def test_headers_of_callers_are_decoded_or_end_in_a_typed_error(
    name: str, value: bytes
) -> None:
    headers = ((b"Host", b"a"), (name.encode(), value))
    head = http_message.RequestHead(b"GET", b"/a", headers)
    try:
        request = ingress.CallerCodec().decode(head, b"")
    except errors.NutmegscaleError:
        return
    assert math.isfinite(request.patience_s or 0.0)
    assert request.expected_tokens >= 1


@_SETTINGS
@given(value=_header_values)
def test_headers_of_servers_are_decoded_or_end_in_a_typed_error(
    value: bytes,
) -> None:
    names = (b"Server-Load", b"Server-Limit", b"Retry-After", b"Keep-Alive")
    headers = [(name, value) for name in names]
    head = http_message.ResponseHead(503, tuple(headers))
    codec = worker_calls.ServerCodec()
    codec.read_head(head)
    assert math.isfinite(upstream._idle_timeout_s(headers))
    for read in (codec.read_pause, codec.read_limit, store_client.read_era):
        try:
            read(head)
        except errors.NutmegscaleError:
            continue


@_SETTINGS
@given(text=st.one_of(st.text(max_size=40), st.sampled_from(_ODD_TEXTS)))
def test_names_and_addresses_that_are_accepted_fit_into_a_head(
    text: str,
) -> None:
    for check in (decoding.token, lambda t: decoding.address(f"{t}:80")[0]):
        try:
            accepted = check(text)
        except errors.MalformedDataError:
            continue
        assert accepted.isascii() and accepted.isprintable()
        assert " " not in accepted


@_SETTINGS
@given(parts=st.lists(st.binary(max_size=12), max_size=6))
def test_events_of_any_shape_are_split_without_loss(parts: list[bytes]) -> None:
    splitter = event_stream.EventSplitter()
    whole = b"".join(splitter.feed(part) for part in parts) + splitter.rest
    assert whole == b"".join(parts)
