"""Check of a configuration before it is sent: findings, differences, exits."""

import contextlib
import json
import pathlib
from typing import Any

from hypothesis import HealthCheck
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from nutmegscale import cli
from nutmegscale import config
from nutmegscale import config_check
from nutmegscale import config_forms
from nutmegscale import errors
from nutmegscale import operator_client
from nutmegscale.platform import check_config
from standins import platform_rows

KEY = "k3y-of-club-a"
NEW_KEY = "n3w-key-of-club-a"
TENANT = {
    "name": "club-a",
    "apiKeys": [KEY],
    "unit": "token_stream",
    "plainTokens": 200,
    "ratePerS": 230_530,
    "burst": 230_530,
}
FOLDER: dict[str, Any] = {
    "objective": {"goodput_weight": 1.0, "waste_weight": 0.0},
    "services": {"s": {"kind": "plain"}},
    "pools": {"p": {"service": "s", "role": "plain"}},
    "callers": {"c": {"key_sha256": "a" * 64}},
    "rules": {"10": {"caller": "c", "service": "s"}},
}
FORMS = (check_config.RowForm(),)


def _row(number: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a routing configuration without findings, with changes."""
    row: dict[str, Any] = json.loads(
        platform_rows.config_row(number, tenants=[TENANT])
    )
    return {**row, **changes}


def _with_route(index: int, **fields: Any) -> dict[str, Any]:
    row = _row()
    row["routes"][index].update(fields)
    return row


def _with_tenant(**fields: Any) -> dict[str, Any]:
    return _row(tenants=[{**TENANT, **fields}])


def _with_limits(**fields: Any) -> dict[str, Any]:
    return _row(limits={**_row()["limits"], **fields})


def _with_services(*services: dict[str, Any]) -> dict[str, Any]:
    return _row(services=[*_row()["services"], *services])


def _version(row: dict[str, Any]) -> config_check.Version:
    return check_config.decode(json.dumps(row, indent=1).encode(), "row.json")


def _found(
    row: dict[str, Any], before: dict[str, Any] | None = None, **assumed: int
) -> set[tuple[str, str, str]]:
    report = config_check.check(
        _version(row),
        _version(before) if before else None,
        config_check.Assumptions(**assumed),
    )
    return {(f.level, f.code, f.place.key) for f in report.findings}


def _split(**weights: float) -> list[dict[str, Any]]:
    return [{"service": s, "weight": w} for s, w in weights.items()]


ENTRIES = platform_rows.PLAIN_SERVICE
SMALL = {"name": "club-b", "apiKeys": ["b"]}


@pytest.mark.parametrize(
    ("row", "level", "code", "key"),
    [
        (
            _with_route(3, pathPrefix="/confirm/"),
            "error",
            "route_shadowed",
            "routes.confirm",
        ),
        (
            _with_route(0, pathPrefix="/brief"),
            "error",
            "prefix_unmatched",
            "routes.brief.pathPrefix",
        ),
        (
            _with_route(0, hostname="clubs.example:80"),
            "error",
            "host_unmatched",
            "routes.brief.hostname",
        ),
        (
            _with_route(0, name="digest"),
            "warning",
            "route_name_twice",
            "routes.digest",
        ),
        (
            _with_route(
                2,
                service="",
                trafficSplit=_split(**{ENTRIES: 1.0, "notes-model": 0.0}),
            ),
            "warning",
            "split_weight_zero",
            "routes.confirm.trafficSplit.1",
        ),
        (
            _with_route(2, service="", trafficSplit=_split(**{ENTRIES: 0.0})),
            "error",
            "split_without_weight",
            "routes.confirm.trafficSplit",
        ),
        (
            _with_route(2, trafficSplit=_split(**{ENTRIES: 1.0})),
            "warning",
            "field_without_effect",
            "routes.confirm.service",
        ),
        (
            _with_route(2, timeoutMs=100),
            "error",
            "timeout_below_target",
            "routes.confirm.timeoutMs",
        ),
        (
            _with_route(2, maxAttempts=2),
            "warning",
            "attempts_without_effect",
            "routes.confirm.maxAttempts",
        ),
        (
            _with_route(2, priority=1000),
            "warning",
            "priority_cut",
            "routes.confirm.priority",
        ),
        (
            _with_services({"name": "idle"}),
            "warning",
            "service_unused",
            "services.idle",
        ),
        (
            _with_services({"name": ENTRIES}),
            "error",
            "service_twice",
            f"services.{ENTRIES}",
        ),
        (_row(tenants=[]), "warning", "no_customers", "tenants"),
        (
            _with_tenant(apiKeys=[]),
            "warning",
            "customer_without_keys",
            "tenants.club-a",
        ),
        (
            _with_tenant(apiKeys=[KEY, KEY]),
            "warning",
            "key_twice",
            "tenants.club-a.apiKeys",
        ),
        (
            _with_tenant(ratePerS=10, burst=100),
            "error",
            "limit_below_request",
            "tenants.club-a.ratePerS",
        ),
        (
            _with_tenant(ratePerS=100, burst=9_000),
            "warning",
            "limit_below_stream",
            "tenants.club-a.ratePerS",
        ),
        (
            _with_tenant(burst=0),
            "warning",
            "burst_zero",
            "tenants.club-a.burst",
        ),
        (
            _with_tenant(burst=230_529),
            "warning",
            "burst_below_second",
            "tenants.club-a.burst",
        ),
        (
            _with_tenant(ratePerS=0),
            "warning",
            "burst_without_rate",
            "tenants.club-a.burst",
        ),
        (
            _with_tenant(unit="tokens"),
            "warning",
            "unit_unknown",
            "tenants.club-a.unit",
        ),
        (
            _with_limits(maxHeaderBytes=60),
            "error",
            "header_limit_below_key",
            "limits.maxHeaderBytes",
        ),
        (
            _with_limits(idleTimeoutMs=2_999),
            "warning",
            "idle_below_header_timeout",
            "limits.idleTimeoutMs",
        ),
    ],
)
def test_mistakes_in_a_row_are_found(
    row: dict[str, Any], level: str, code: str, key: str
) -> None:
    """Guards against sending entries without effect and limits at odds."""
    assert _found(row) == {(level, code, key)}


def test_a_sound_row_has_no_findings() -> None:
    """Guards against findings that operators learn to pass over."""
    assert _found(_row(), max_fds=270) == set()
    assert _found(_row(), max_fds=269) == {
        ("error", "connections_over_descriptors", "services")
    }
    assert _found(_row(), stream_tokens=40_001) == {
        ("warning", "engine_below_stream", "services.notes-model")
    }


@pytest.mark.parametrize(
    ("row", "line_has", "key"),
    [
        (_with_route(2, timeoutMs="1"), '"timeoutMs": "1"', "routes.2"),
        (_with_route(2, service="gone"), '"confirm"', "routes.confirm"),
        (_with_tenant(apiKeys=[KEY, 3]), "3", "tenants.0.apiKeys.1"),
        (
            _row(tenants=[TENANT, {**TENANT, "name": "club-b"}]),
            '"apiKeys"',
            "tenants.club-b.apiKeys",
        ),
    ],
)
def test_an_invalid_row_has_file_line_and_key(
    row: dict[str, Any], line_has: str, key: str
) -> None:
    """Guards against an error without a place, or with a key in it."""
    text = json.dumps(row, indent=1)
    with pytest.raises(errors.ConfigError) as raised:
        check_config.decode(text.encode(), "row.json")
    found = config_check.from_error(raised.value)
    assert found.place.file == "row.json"
    lines = text.splitlines()[found.place.line - 2 : found.place.line + 1]
    assert any(line_has in line for line in lines)
    assert found.place.key.startswith(key)
    assert KEY not in str(raised.value)


def test_a_field_that_stands_twice_is_found() -> None:
    """Guards against the earlier of two equal fields being lost unseen."""
    text = json.dumps(_row()).replace(
        '"version": 1', '"version": 1,"version":1'
    )
    version = check_config.decode(text.encode(), "row.json")
    assert [(f.code, f.place.key) for f in version.found] == [
        ("field_twice", "version")
    ]


_SPLIT_ROUTE = platform_rows.split_route(
    "digest", {"notes-model": 1}, resumable=True
)


@pytest.mark.parametrize(
    ("row", "code", "text"),
    [
        (_row(2, routes=_row()["routes"][1:]), "route_removed", "404"),
        (
            _row(2, routes=[*_row()["routes"][:1], *_row()["routes"][2:]]),
            "route_removed",
            "resumptions get 404",
        ),
        (
            _row(
                2,
                routes=[
                    {**r, "service": ENTRIES} if r["name"] == "digest" else r
                    for r in _row()["routes"]
                ],
            ),
            "service_moved",
            "only at a service that the route still names",
        ),
        (_with_tenant(apiKeys=[NEW_KEY]), "key_removed", "can't be resumed"),
        (_row(tenants=[SMALL]), "customer_removed", "401"),
        (_with_tenant(ratePerS=230_000), "limit_lowered", "run to their end"),
        (_row(tenants=None), "key_not_needed", "no key"),
        (_with_limits(maxBodyBytes=1), "request_limit_lowered", "received"),
    ],
)
def test_effects_on_streams_in_progress(
    row: dict[str, Any], code: str, text: str
) -> None:
    """Guards against a change whose effect on callers nobody was told."""
    report = config_check.check(
        _version({**row, "version": 2}), _version(_row())
    )
    notes = [f for f in report.findings if f.level == "note"]
    assert code in {f.code for f in notes}
    assert any(text in f.message for f in notes if f.code == code)


def test_a_changed_version_must_be_later() -> None:
    """Guards against a row that hosts ignore without a word."""
    changed = _with_tenant(priority=3)
    assert ("error", "version_not_later", "version") in _found(changed, _row())
    assert _found({**changed, "version": 2}, _row()) == {
        ("note", "priority_changed", "tenants.club-a")
    }


def test_keys_are_counted_and_never_shown(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against an API key in the output, in any field of a customer."""
    old = _row(tenants=[{**TENANT, "was": {"0ld-key": 1}}, SMALL])
    new = _row(
        2,
        tenants=[
            {
                **TENANT,
                "apiKeys": [NEW_KEY, KEY + "2"],
                "was": {"0ld-key": 2},
            }
        ],
    )
    for name, row in (("old.json", old), ("new.json", new)):
        (tmp_path / name).write_text(json.dumps(row), encoding="utf-8")
    paths = [
        str(tmp_path / "new.json"),
        "--against",
        str(tmp_path / "old.json"),
    ]
    assert cli.main(["config", "diff", *paths], forms=FORMS) == 0
    table = capsys.readouterr().out
    assert cli.main(["config", "diff", *paths, "--json"], forms=FORMS) == 0
    text = capsys.readouterr().out
    for key in (KEY, NEW_KEY, "0ld-key"):
        assert key not in table + text
    changes = json.loads(text)["differences"]
    assert {
        "section": "tenants",
        "name": "club-a",
        "change": "changed",
        "field": "apiKeys",
        "old": "1 key removed",
        "new": "2 keys added",
    } in changes


def _diff(path: pathlib.Path, document: dict[str, Any], *options: str) -> int:
    (path / "10.json").write_text(json.dumps(document, indent=1))
    return cli.main(["config", "diff", str(path), "--json", *options])


def test_rules_that_never_apply_and_exit_statuses(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against dead rules, and against CI that passes over findings."""
    assert _diff(tmp_path, FOLDER, "--strict") == 0
    rules = {**FOLDER["rules"], "20": {"caller": "*", "service": "s"}}
    assert _diff(tmp_path, {**FOLDER, "rules": rules}) == 0
    assert _diff(tmp_path, {**FOLDER, "rules": rules}, "--strict") == 3
    capsys.readouterr()
    assert _diff(tmp_path, {**FOLDER, "pools": {"p": 3}}) == 1
    found = json.loads(capsys.readouterr().out)["findings"]
    assert (found[0]["file"], found[0]["key"]) == ("10.json", "pools.p")
    assert found[0]["line"] > 0
    both = ["--against", str(tmp_path), "--in-force"]
    assert _diff(tmp_path, FOLDER, *both) == 2


def test_a_folder_is_compared_with_what_hosts_have_in_force(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a comparison that hides a host out of step."""
    in_force = {
        **FOLDER,
        "callers": {
            "c": {"key_sha256": "b" * 64},
            "d": {"key_sha256": "d" * 64},
        },
    }
    answers = {"http://a": in_force, "http://b": FOLDER}
    monkeypatch.setattr(
        operator_client, "get", lambda host, path: answers[host.url]
    )
    monkeypatch.setenv(cli.TOKEN_VARIABLE, "t")
    hosts = ["--in-force", "--host", "http://a", "--host", "http://b"]
    assert _diff(tmp_path, FOLDER, *hosts) == 0
    report = json.loads(capsys.readouterr().out)
    assert {f["code"] for f in report["findings"]} == {
        "hosts_differ",
        "key_replaced",
        "caller_removed",
    }
    assert [(d["name"], d["change"]) for d in report["differences"]] == [
        ("c", "changed"),
        ("d", "removed"),
    ]


_SETTINGS = settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
_values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.sampled_from([-1, 0, 1, 10**30, 0.5, 1e308]),
        st.sampled_from(["", " ", "\x00", "s", "c", "clubs.example", "é"]),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(["name", "a", ""]), inner, max_size=3),
    ),
    max_leaves=6,
)


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    items: Any = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        items = enumerate(value)
    return [path] + [p for k, v in items for p in _paths(v, (*path, k))]


def _replaced(value: Any, path: tuple[Any, ...], odd: Any) -> Any:
    if not path:
        return odd
    copy = value.copy()
    copy[path[0]] = _replaced(value[path[0]], path[1:], odd)
    return copy


@_SETTINGS
@given(data=st.data())
@pytest.mark.parametrize("valid", [_row(), FOLDER], ids=["row", "folder"])
def test_any_document_gives_findings_or_a_typed_error(
    valid: dict[str, Any], data: st.DataObject
) -> None:
    """Guards against a crash of the check, and differences from itself."""
    document: Any = valid
    for _ in range(data.draw(st.integers(0, 3))):
        path = data.draw(st.sampled_from(_paths(document)))
        document = _replaced(document, path, data.draw(_values))
    text = json.dumps(document).encode()
    with contextlib.suppress(errors.ConfigError):
        if valid is FOLDER:
            content = config.check(config.decode_document(text))
            versions = [config_forms.from_document(content) for _ in "ab"]
        else:
            versions = [check_config.decode(text, "f") for _ in "ab"]
        report = config_check.check(versions[0], versions[1])
        assert report.differences == ()
        assert all(isinstance(f, config_check.Finding) for f in report.findings)
        assert report.count("note") == 0
