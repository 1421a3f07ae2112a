"""Selection and merging of the files of a configuration folder."""

import os
from typing import Any
from typing import NamedTuple
import unicodedata

from nutmegscale import config
from nutmegscale import errors
from nutmegscale import jsonc
from nutmegscale import merge_patch

SUFFIXES = (".json", ".jsonc", ".json5")
MAX_FILE_BYTES = 4 << 20

_Locations = dict[jsonc.Path, tuple[str, int]]


class Loaded(NamedTuple):
    """A checked configuration with where it stands.

    Attributes:
      document: The document.
      lines: File and line of each key by its path; the last file that has the
        key counts.
    """

    document: config.Document
    lines: dict[jsonc.Path, tuple[str, int]]


def file_names(path: str) -> list[str]:
    """List the configuration files, in the byte order of their NFC names.

    Files with other suffixes, hidden files and temporary files of editors
    ("x~", "#x#", ".x.swp") are ignored.

    Raises:
      errors.ConfigError: The folder can't be read, has no configuration file,
        or has two whose names are equal in NFC.
    """
    try:
        entries = os.listdir(path)
    except OSError as exc:
        raise errors.ConfigError(
            f"can't read the configuration folder {path}: {exc}"
        ) from exc
    name_by_key: dict[bytes, str] = {}
    for name in entries:
        if name.startswith((".", "#")) or not name.endswith(SUFFIXES):
            continue
        key = unicodedata.normalize("NFC", name).encode(
            "utf-8", "surrogateescape"
        )
        if key in name_by_key:
            raise errors.ConfigError(
                f"same name as file {name_by_key[key]!r} in Unicode form NFC",
                file=name,
            )
        name_by_key[key] = name
    if not name_by_key:
        raise errors.ConfigError(
            f"the folder {path} holds no file ending in {', '.join(SUFFIXES)}"
        )
    return [name_by_key[key] for key in sorted(name_by_key)]


def load(path: str) -> config.Document:
    """Read, merge and check a configuration folder.

    Returns:
      The checked document.

    Raises:
      errors.ConfigError: See `load_with_lines`.
    """
    return load_with_lines(path).document


def load_with_lines(path: str) -> Loaded:
    """Read, merge and check a configuration folder.

    Objects are merged key by key. Any other value in a later file replaces
    that in an earlier one, and null removes the key.

    Args:
      path: Path of the folder.

    Returns:
      The checked document, and where its keys stand.

    Raises:
      errors.ConfigError: The configuration is invalid; the error gives file,
        line and key where they are known.
    """
    return _load([(name, _read(path, name)) for name in file_names(path)])


def load_file(path: str) -> Loaded:
    """Read and check a configuration that stands in one file.

    Raises:
      errors.ConfigError: See `load_with_lines`.
    """
    directory, name = os.path.split(path)
    return _load([(path, _read(directory, name))])


def _load(files: list[tuple[str, str]]) -> Loaded:
    """Merge and check files, given by their names and texts."""
    merged: dict[str, Any] = {}
    locations: _Locations = {}
    for name, text in files:
        parsed = jsonc.parse(text, name)
        if not isinstance(parsed.value, dict):
            raise errors.ConfigError("isn't an object", file=name, line=1)
        for key_path, line in parsed.lines.items():
            locations[key_path] = (name, line)
        merged = merge_patch.apply(merged, parsed.value)
    try:
        return Loaded(config.check(merged), locations)
    except errors.ConfigError as exc:
        raise _with_location(exc, locations) from exc


def _read(path: str, name: str) -> str:
    try:
        with open(os.path.join(path, name), "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as exc:
        raise errors.ConfigError(f"can't be read: {exc}", file=name) from exc
    if len(data) > MAX_FILE_BYTES:
        raise errors.ConfigError(
            f"must not exceed {MAX_FILE_BYTES} bytes", file=name
        )
    try:
        return data.decode("utf-8-sig")
    except UnicodeDecodeError as exc:
        line = data.count(b"\n", 0, exc.start) + 1
        raise errors.ConfigError("isn't UTF-8", file=name, line=line) from exc


def _with_location(
    error: errors.ConfigError, locations: _Locations
) -> errors.ConfigError:
    path = config.error_path(error)
    file, line = "", 0
    for length in range(len(path), 0, -1):
        if path[:length] in locations:
            file, line = locations[path[:length]]
            break
    message = str(error)
    if error.key:
        message = message.removeprefix(f"{error.key}: ")
    return errors.ConfigError(message, file=file, line=line, key=error.key)
