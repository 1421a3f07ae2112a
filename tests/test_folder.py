"""Tests of the configuration folder: file selection, merging, errors."""

import json
import pathlib
import unicodedata

import pytest

from nutmegscale import cli
from nutmegscale import config
from nutmegscale import errors
from nutmegscale import folder

BASE = """// base
{
  "objective": {"goodput_weight": 1.0, "waste_weight": 0.0},
  "services": {"s": {"kind": "plain"}},
  "pools": {"p": {"service": "s", "role": "plain"}},
  "callers": {},
  "rules": {}
}
"""


def _write(path: pathlib.Path, files: dict[str, str]) -> str:
    for name, text in files.items():
        (path / name).write_text(text, encoding="utf-8")
    return str(path)


def test_later_files_win_key_by_key_and_null_removes(
    tmp_path: pathlib.Path,
) -> None:
    path = _write(
        tmp_path,
        {
            "10-base.json": BASE,
            "9-late.json": '{"services": {"s": {"timeout_s": 2.5}}}',
            "20-more.json": '{"services": {"t": {"kind": "plain"}}}',
            "30-less.json": '{"services": {"t": null}}',
        },
    )
    document = folder.load(path)
    assert document["services"] == {"s": {"kind": "plain", "timeout_s": 2.5}}
    assert folder.file_names(path)[-1] == "9-late.json"


def test_hidden_and_editor_files_dont_count(tmp_path: pathlib.Path) -> None:
    path = _write(
        tmp_path,
        {
            "10-base.json": BASE,
            ".20.json": "{",
            "#30.json": "{",
            "40.json~": "{",
            ".50.json.swp": "{",
            "notes.txt": "{",
        },
    )
    assert folder.file_names(path) == ["10-base.json"]


def test_unicode_form_changes_nothing(tmp_path: pathlib.Path) -> None:
    contents = []
    for form in ("NFC", "NFD"):
        place = tmp_path / form
        place.mkdir()
        text = BASE.replace('"s"', '"sé"')
        name = unicodedata.normalize(form, "é.json")
        _write(place, {name: unicodedata.normalize(form, text)})
        contents.append(config.canonical(folder.load(str(place))))
    assert contents[0] == contents[1]


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('{\n  "rulez": {}\n}', "20.json:2: rulez: unknown key"),
        (
            '{\n "services": {\n  "s": {"kind": "plan"}}}',
            "20.json:3: services.s.kind: Invalid enum value 'plan'",
        ),
        (
            '{"services": {"s": {\n"timeout_s": "x"}}}',
            "20.json:2: services.s.timeout_s: Expected `float`, got `str`",
        ),
        (
            '{"services": {"s": {\n"timeout_s": 0}}}',
            "20.json:2: services.s.timeout_s: must be above 0",
        ),
        (
            '{"rules": {"r":\n{"caller": "*", "service": "t"}}}',
            "20.json:2: rules.r.service: no such service",
        ),
        ('{"rules": {},\n\n "rules": {}}', "20.json:3: rules: duplicate key"),
        ('{"rules": {', "20.json:1: malformed JSON"),
        ('{"pools": {"p": {"role": "decode"}}}', "role doesn't fit"),
        ("[1]", "20.json:1: isn't an object"),
    ],
)
def test_errors_name_file_line_and_key(
    tmp_path: pathlib.Path, text: str, place: str
) -> None:
    path = _write(tmp_path, {"10.json": BASE, "20.json": text})
    with pytest.raises(errors.ConfigError) as caught:
        folder.load(path)
    assert place in str(caught.value)


def test_an_empty_folder_is_refused(tmp_path: pathlib.Path) -> None:
    with pytest.raises(errors.ConfigError, match="holds no file"):
        folder.load(str(tmp_path))


def test_a_file_that_isnt_utf8_is_refused(tmp_path: pathlib.Path) -> None:
    (tmp_path / "10.json").write_bytes(b'{\n"a": "\xff"}')
    with pytest.raises(errors.ConfigError, match=r"10.json:2: isn't UTF-8"):
        folder.load(str(tmp_path))


@pytest.mark.parametrize("name", ["federation", "consortium"])
def test_show_prints_the_same_bytes_as_the_hosts_keep(
    name: str, capfdbinary: pytest.CaptureFixture[bytes]
) -> None:
    path = f"examples/{name}"
    assert cli.main(["config", "show", path]) == cli.EXIT_OK
    shown = capfdbinary.readouterr().out
    again = config.decode(shown, 1)
    assert config.canonical(again.document) + b"\n" == shown
    assert json.loads(shown)["services"]


def test_check_of_a_bad_folder_exits_1_with_one_line(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = _write(tmp_path, {"10.json": '{"a": 1}'})
    assert cli.main(["config", "check", path]) == cli.EXIT_FAILED
    error = capsys.readouterr().err
    assert error == "nutmegscale: 10.json:1: a: unknown key\n"


def test_wrong_usage_exits_2(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit) as caught:
        cli.main(["config", "chek", "x"])
    assert caught.value.code == cli.EXIT_USAGE
    assert capsys.readouterr().err.count("\n") == 1
