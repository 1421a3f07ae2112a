"""Reads the operator's routing configuration for a check before it is sent."""

import os
import re
from typing import Any

from nutmegscale import config_check
from nutmegscale import customers
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import jsonc
from nutmegscale.platform import routing_config

# Words of the document for those of the checks.
_WORDS = {
    "path_prefix": "pathPrefix",
    "host": "hostname",
    "targets": "trafficSplit",
    "timeout_s": "timeoutMs",
    "max_attempts": "maxAttempts",
    "is_public": "public",
    "max_header_bytes": "maxHeaderBytes",
    "max_body_bytes": "maxBodyBytes",
    "header_timeout_s": "headerTimeoutMs",
    "idle_timeout_s": "idleTimeoutMs",
    "customers": "tenants",
    "keys": "apiKeys",
    "per_s": "ratePerS",
    "plain_tokens": "plainTokens",
}
_KEYS = "apiKeys"
_TENANTS = "tenants"
_TOKEN_UNIT = "token_stream"
# Fields of a tenant whose values may be shown; others might hold keys.
_SHOWN = frozenset(
    ("name", "priority", "unit", "plainTokens", "ratePerS", "burst")
)
_decoder: decoding.Decoder[Any] = decoding.Decoder(Any)
_error_path = re.compile(r" - at `\$\.?(.*)`$")
_error_byte = re.compile(r"\(byte (\d+)\)$")


class RowForm:
    """The operator's row as one JSON document; see `config_forms.Form`."""

    def accepts(self, path: str) -> bool:
        """Whether a file looks like this form, and not like a document."""
        if not os.path.isfile(path):
            return False
        try:
            value = _decoder.decode(_read(path))
        except errors.NutmegscaleError:
            return True
        return not isinstance(value, dict) or "objective" not in value

    def read(self, path: str) -> config_check.Version:
        """Read a version.

        Raises:
          errors.ConfigError: Hosts wouldn't take it, or it can't be read.
        """
        return decode(_read(path), path)


def decode(data: bytes, file: str) -> config_check.Version:
    """Decode a row and find where its keys stand.

    Args:
      data: Content of the row.
      file: Name of the file, for the places of findings.

    Raises:
      errors.ConfigError: Hosts wouldn't take it; the error never has a key.
    """
    try:
        config = routing_config.decode(data)
        raw = _decoder.decode(data)
    except errors.ConfigError as exc:
        raise _with_place(exc, data, file) from exc
    except errors.MalformedDataError as exc:
        raise errors.ConfigError(str(exc), file=file) from exc
    places, found = _find_places(data, raw, file)
    view = config_check.RoutingView(
        config,
        tuple(service["name"] for service in raw["services"]),
        _customers(raw.get(_TENANTS)),
    )
    found += _ignored_fields(raw, places)
    return config_check.Version(view, places, _tree(raw), tuple(found))


def _read(path: str) -> bytes:
    try:
        with open(path, "rb") as file:
            return file.read(decoding.MAX_BYTES + 1)
    except OSError as exc:
        raise errors.ConfigError(f"can't be read: {exc}", file=path) from exc


def _find_places(
    data: bytes, raw: dict[str, Any], file: str
) -> tuple[config_check.Places, list[config_check.Finding]]:
    """Find where the keys stand, and keys that stand twice in an object."""
    lines: dict[config_check.Path, tuple[str, int]] = {}
    found = []
    try:
        parsed = jsonc.parse(data.decode(), file)
        lines = {path: (file, line) for path, line in parsed.lines.items()}
    except errors.ConfigError as exc:
        if exc.key:
            key = exc.key
            if key.startswith(f"{_TENANTS}."):
                # What is inside a field of a tenant might be a key.
                key = ".".join(key.split(".")[:3])
            found.append(
                config_check.Finding(
                    "error",
                    "field_twice",
                    config_check.Place(file, exc.line, key),
                    "the field stands there twice; hosts use the last one",
                )
            )
    names: dict[config_check.Path, str] = {
        (section, str(index)): item["name"]
        for section in ("routes", "services", _TENANTS)
        for index, item in enumerate(raw.get(section) or ())
    }
    return config_check.Places(lines, words=_WORDS, names=names), found


def _customers(
    tenants: list[dict[str, Any]] | None,
) -> tuple[config_check.CustomerEntry, ...] | None:
    if tenants is None:
        return None
    return tuple(_customer(tenant) for tenant in tenants)


def _customer(tenant: dict[str, Any]) -> config_check.CustomerEntry:
    keys = tenant.get(_KEYS, [])
    rate = tenant.get("ratePerS", 0.0)
    limit = customers.UsageLimit(
        "tokens" if tenant.get("unit") == _TOKEN_UNIT else "requests",
        rate,
        tenant.get("burst", 0.0),
        tenant.get("plainTokens", 0),
    )
    return config_check.CustomerEntry(
        customers.Customer(
            tenant["name"], tenant.get("priority", 0), limit if rate else None
        ),
        tuple(config_check.hide("key", key) for key in keys),
        max((len(key.encode()) for key in keys), default=0),
        limit,
    )


def _ignored_fields(
    raw: dict[str, Any], places: config_check.Places
) -> list[config_check.Finding]:
    """Find fields that hosts pass over, though they look as if they counted."""
    found = []
    for index, route in enumerate(raw["routes"]):
        if route.get("service") and route.get("trafficSplit"):
            found.append(("routes", str(index), "service"))
        if route.get("resumable") and route["kind"] != "stream":
            found.append(("routes", str(index), "resumable"))
    for index, tenant in enumerate(raw.get(_TENANTS) or ()):
        if tenant.get("unit", "") not in ("", _TOKEN_UNIT):
            found.append((_TENANTS, str(index), "unit"))
    messages = {
        "service": "has no effect beside trafficSplit",
        "resumable": "has no effect on a route that isn't of kind stream",
        "unit": f"isn't {_TOKEN_UNIT}, so that requests are counted",
    }
    return [
        config_check.Finding(
            "warning",
            "unit_unknown" if field == "unit" else "field_without_effect",
            places.find(section, index, field),
            messages[field],
        )
        for section, index, field in found
    ]


def _tree(raw: dict[str, Any]) -> Any:
    # Each change has another version.
    shown = {name: raw[name] for name in raw if name != "version"}
    if raw.get(_TENANTS):
        # Before the comparison names inner fields, which might be keys too.
        shown[_TENANTS] = [_hide_keys(tenant) for tenant in raw[_TENANTS]]
    return config_check.make_tree(shown)


def _hide_keys(tenant: dict[str, Any]) -> dict[str, Any]:
    return {
        name: value
        if name in _SHOWN
        else config_check.hide("key" if name == _KEYS else "value", value)
        for name, value in tenant.items()
    }


def _with_place(
    error: errors.ConfigError, data: bytes, file: str
) -> errors.ConfigError:
    """Return an error of the decoder with the line and the key in the file."""
    message = config_check.from_error(error).message
    path = _path_of(error, message, data)
    at_byte = _error_byte.search(message)
    line = 0
    if at_byte:
        line = data.count(b"\n", 0, int(at_byte[1])) + 1
    elif path:
        line = _line_of(path, data, file)
    return errors.ConfigError(
        _error_path.sub("", message),
        file=file,
        line=line,
        key=error.key or ".".join(path),
    )


def _path_of(
    error: errors.ConfigError, message: str, data: bytes
) -> config_check.Path:
    """Return the path of what an error is about, with the indices of lists."""
    at = _error_path.search(message)
    if at:
        return tuple(part for part in re.split(r"[.\[\]]+", at[1]) if part)
    section, _, rest = error.key.partition(".")
    raw = _decoder.decode(data) if section else {}
    # The last entry of a name is the one that is one too many.
    for index, item in reversed(list(enumerate(raw.get(section) or ()))):
        name = item["name"]
        if rest == name or rest.startswith(f"{name}."):
            field = rest.removeprefix(name).removeprefix(".")
            return (section, str(index), *([field] if field else []))
    return (section,) if section else ()


def _line_of(path: config_check.Path, data: bytes, file: str) -> int:
    try:
        lines = jsonc.parse(data.decode("utf-8", "replace"), file).lines
    except (errors.ConfigError, RecursionError):
        return 0
    places = config_check.Places({key: (file, lines[key]) for key in lines})
    return places.find(*path).line
