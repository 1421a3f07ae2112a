"""Tests of the platform adapter: decoding, malformed input and imports."""

import ast
import json
import pathlib
from typing import Any

import pytest

from nutmegscale import customers
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import row_store
from nutmegscale.platform import ingress
from nutmegscale.platform import routing_config
from nutmegscale.platform import settings
from nutmegscale.platform import worker_calls
from nutmegscale.platform import worker_entries
from standins import platform_rows

PACKAGE = pathlib.Path("nutmegscale")
ALLOWED_IMPORTERS = {PACKAGE / "platform_daemon.py"}
WIRE_NAMES = (
    "Not-Executed",
    "not-executed",
    "Target-Instance",
    "target-instance",
    "Kv-Source",
    "kv-source",
    "kv-handle",
    "Deadline-Ms",
    "deadline-ms",
    "Token-Count",
    "token-count",
    "Length-Hint",
    "length-hint",
    "Response-Signature",
    "response-signature",
    "Server-Load",
    "server-load",
    "rows-tx",
    "rows-get",
    "rows-feed",
    "trafficSplit",
    "targetLatencyMs",
    "pathPrefix",
    "internalPorts",
    "Store-Era",
    "store-era",
    "bootstrap",
)
SETTINGS = """
nodeName = "front-1"
ip = "10.1.0.35"
zone = "maadi"
internalPorts = [7660, 7675]
unknown = 3
[listen]
front = "10.1.0.35:8144"
ready = "10.1.0.35:8140"
[bounds]
graceS = 6
[platform]
address = "10.200.1.7:8142"
"""


def _modules_outside() -> list[pathlib.Path]:
    adapter = PACKAGE / "platform"
    return [p for p in PACKAGE.rglob("*.py") if adapter not in p.parents]


def test_only_the_assembling_program_imports_the_adapter() -> None:
    """Guards against a dependency on it, also from other packages."""
    for path in _modules_outside():
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            names = []
            if isinstance(node, ast.ImportFrom):
                names = [f"{node.module}.{a.name}" for a in node.names]
            elif isinstance(node, ast.Import):
                names = [a.name for a in node.names]
            for name in names:
                is_adapter = f"{name}.".startswith("nutmegscale.platform.")
                assert not is_adapter or path in ALLOWED_IMPORTERS, (path, name)


def test_wire_names_stand_only_in_the_adapter() -> None:
    for path in _modules_outside():
        text = path.read_text(encoding="utf-8")
        assert [w for w in WIRE_NAMES if w in text] == [], path


def _load(tmp_path: pathlib.Path, text: str) -> settings.HostSettings:
    path = tmp_path / "local.toml"
    path.write_text(text, encoding="utf-8")
    return settings.load(str(path))


def test_settings_are_read_and_unknown_fields_passed_over(
    tmp_path: pathlib.Path,
) -> None:
    found = _load(tmp_path, SETTINGS)
    assert (found.host, found.failure_domain) == ("front-1", "maadi")
    assert (found.caller_ip, found.caller_port) == ("10.1.0.35", 8144)
    assert (found.ready_port, found.peer_port) == (8140, 7660)
    assert (found.grace_s, found.drain_s) == (6.0, 2.0)
    assert not found.is_first_start
    assert _load(tmp_path, f"bootstrap = true{SETTINGS}").is_first_start
    rule = "quotaWindowS = 6\nquotaOvershoot = 0.2\nquotaSlack = 900"
    text = SETTINGS.replace("graceS = 6", rule)
    assert _load(tmp_path, text).quota_rule == customers.QuotaRule(
        6.0, 0.2, 900.0
    )
    assert found.is_adaptive
    off = _load(tmp_path, f"adaptiveServers = false{SETTINGS}")
    assert not off.is_adaptive


@pytest.mark.parametrize(
    ("before", "after"),
    [
        ('nodeName = "front-1"', ""),
        ('front = "10.1.0.35:8144"', 'front = "10.1.0.35"'),
        ('front = "10.1.0.35:8144"', 'front = "10.1.0.35:99999"'),
        ('address = "10.200.1.7:8142"', "address = 5"),
        ("[bounds]", "[bounds"),
        ("graceS = 6", "quotaWindowS = 0"),
        ("graceS = 6", "quotaSlack = -1"),
    ],
)
def test_bad_settings_are_a_typed_error(
    tmp_path: pathlib.Path, before: str, after: str
) -> None:
    with pytest.raises(errors.SettingsError, match="local.toml"):
        _load(tmp_path, SETTINGS.replace(before, after))


def test_configuration_is_decoded() -> None:
    config = routing_config.decode(platform_rows.config_row(7))
    assert config.version == 7
    assert [r.kind for r in config.routes] == [
        "stream",
        "stream",
        "unsafe",
        "safe",
    ]
    assert [r.is_resumable for r in config.routes] == [
        False,
        True,
        False,
        False,
    ]
    engine = config.services[platform_rows.MODEL_SERVICE].engine
    assert engine is not None
    assert engine.kv_tokens == 40_000
    assert config.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"[]",
        b"\xff\xfe",
        b'{"version": "7", "routes": [], "services": []}',
        platform_rows.config_row(1, services=[]),
    ],
)
def test_bad_configuration_is_a_typed_error(content: bytes) -> None:
    with pytest.raises(errors.ConfigError):
        routing_config.decode(content)


def _entry(**changes: Any) -> row_store.Row:
    value = platform_rows.entry_row("m", "10.1.2.3:80", stage="decode")
    body = {**json.loads(value), **changes}
    kept = {k: v for k, v in body.items() if v is not None}
    return row_store.Row("i-1", json.dumps(kept).encode(), 1)


@pytest.mark.parametrize(
    ("stated", "version"),
    [
        ("v1", "v1"),
        ("v1.1", "v1.1"),
        (None, ""),
        (3, ""),
        (["v1"], ""),
        ("v" * 500, ""),
    ],
)
def test_version_of_another_type_is_unknown(
    stated: object, version: str
) -> None:
    assert worker_entries.decode(_entry(version=stated)).version == version


def test_entry_is_decoded() -> None:
    entry = worker_entries.decode(_entry(born=17, state="draining"))
    assert (entry.id, entry.incarnation, entry.stage) == ("i-1", 17, "decode")
    assert entry.is_draining


@pytest.mark.parametrize(
    "changes",
    [
        {"service": None},
        {"address": None},
        {"address": "10.1.2.3"},
        {"address": 5},
        {"state": "sleeping"},
        {"stage": "both"},
        {"slots": "many"},
        {"born": "today"},
    ],
)
def test_entry_of_another_writer_names_no_server(
    changes: dict[str, Any],
) -> None:
    with pytest.raises(errors.MalformedEntryError):
        worker_entries.decode(_entry(**changes))
    with pytest.raises(errors.MalformedEntryError):
        worker_entries.decode(row_store.Row("i-1", b"\x00\xff", 1))


def _head(*headers: tuple[bytes, bytes]) -> http_message.RequestHead:
    return http_message.RequestHead(b"POST", b"/a/b?c", headers)


def test_request_is_decoded() -> None:
    request = ingress.CallerCodec().decode(
        _head(
            (b"Host", b"Clubs.example:80"),
            (b"Request-Id", b"r1"),
            (b"Deadline-Ms", b"13997"),
            (b"Token-Count", b"5021,7540"),
            (b"Length-Hint", b"5286"),
        ),
        b"body",
    )
    assert (request.id, request.path) == ("r1", "/a/b")
    assert request.patience_s == 13.997
    assert (request.prompt_tokens, request.max_tokens) == (5021, 7540)
    assert request.expected_tokens == 5286


@pytest.mark.parametrize(
    "headers",
    [
        [(b"Deadline-Ms", b"soon")],
        [(b"Deadline-Ms", b"1"), (b"deadline-ms", b"2")],
        [(b"Token-Count", b"1")],
        [(b"Request-Id", b"a"), (b"Request-Id", b"b")],
    ],
)
def test_unreadable_headers_are_a_typed_error(
    headers: list[http_message.Header],
) -> None:
    with pytest.raises(errors.MalformedRequestError):
        ingress.CallerCodec().decode(_head(*headers), b"")


def test_hop_by_hop_headers_are_removed() -> None:
    kept = http_message.end_to_end_headers(
        (
            (b"Connection", b"close, X-Hop"),
            (b"X-Hop", b"1"),
            (b"Transfer-Encoding", b"chunked"),
            (b"Model", b"m"),
        )
    )
    assert kept == [(b"Model", b"m")]


def test_response_info_of_an_answer() -> None:
    codec = worker_calls.ServerCodec()
    rejected = http_message.ResponseHead(
        503, ((b"Not-Executed", b"1"), (b"Server-Load", b"3,1,8"))
    )
    info = codec.read_head(rejected)
    assert (info.has_run, info.is_genuine) == (False, False)
    assert info.load == (3, 1, 8, 1.0, False)
    encoded = http_message.ResponseHead(
        200, ((b"Response-Signature", b"s"), (b"Content-Encoding", b"gzip"))
    )
    assert not codec.read_head(encoded).is_genuine
    assert codec.read_head(http_message.ResponseHead(500, ())).has_run
    misdirected = codec.read_head(http_message.ResponseHead(421, ()))
    assert (misdirected.has_run, misdirected.is_misdirected) == (False, True)


@pytest.mark.parametrize(
    ("value", "load", "is_malformed"),
    [
        (b"3,1,8", (3, 1, 8, 1.0, False), False),
        (b"3,1,8,250", (3, 1, 8, 2.5, True), False),
        (b"3, 1, 8, 87.5", (3, 1, 8, 0.875, True), False),
        (b"3,1,8,250,4,x", (3, 1, 8, 2.5, True), False),
        (b"3,1,8,", (3, 1, 8, 1.0, False), True),
        (b"3,1,8,0", (3, 1, 8, 1.0, False), True),
        (b"3,1,8,-5,7", (3, 1, 8, 1.0, False), True),
        (b"3,1,8,999999999", (3, 1, 8, 1.0, False), True),
        (b"3,1,8,nan", (3, 1, 8, 1.0, False), True),
        (b"3,1", None, True),
        (b"3,,8,100", None, True),
    ],
)
def test_load_of_three_or_more_figures(
    value: bytes, load: tuple[float, ...] | None, is_malformed: bool
) -> None:
    """Guards against loads that were dropped because of a fourth figure."""
    info = worker_calls.ServerCodec().read_head(
        http_message.ResponseHead(200, ((b"Server-Load", value),))
    )
    assert info.load == load
    assert (
        isinstance(info.load_error, errors.MalformedLoadError) == is_malformed
    )


def _head_with_limits(*values: bytes) -> http_message.ResponseHead:
    headers = tuple((b"Server-Limit", value) for value in values)
    return http_message.ResponseHead(200, headers)


@pytest.mark.parametrize(
    ("value", "per_s"), [(b"2.8", 2.8), (b"0", 0.0), (b"1000000000", 1e9)]
)
def test_limit_of_a_server(value: bytes, per_s: float) -> None:
    codec = worker_calls.ServerCodec()
    assert codec.read_limit(_head_with_limits(value)) == per_s
    assert codec.read_limit(_head_with_limits()) is None


@pytest.mark.parametrize(
    "values",
    [
        (b"",),
        (b"-1",),
        (b"2.",),
        (b".5",),
        (b"nan",),
        (b"inf",),
        (b"1e9",),
        (b"9" * 400,),
        (b"2,8",),
        (b"2.8", b"2.8"),
    ],
)
def test_limit_that_is_not_one_decimal_number_is_a_typed_error(
    values: tuple[bytes, ...],
) -> None:
    with pytest.raises(errors.MalformedLimitError) as raised:
        worker_calls.ServerCodec().read_limit(_head_with_limits(*values))
    assert len(str(raised.value)) < 200


@pytest.mark.parametrize("body", [b"", b"{}", b'{"handle": 3}', b"\xff"])
def test_prefill_without_a_handle_is_a_typed_error(body: bytes) -> None:
    with pytest.raises(errors.MalformedAnswerError):
        worker_calls.ServerCodec().read_handle(body)
