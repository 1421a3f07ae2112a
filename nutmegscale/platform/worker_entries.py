"""Decoder for the entries by which backend servers register in the store."""

from typing import Any

import msgspec

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import row_store

TABLE = "servers"
_STATES = {"ready": False, "draining": True}
_STAGES = ("prefill", "decode")
# Longest version of a server's software that is kept, characters.
_MAX_VERSION_LENGTH = 100


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0
    stage: str = ""
    version: Any = ""


_decoder = msgspec.json.Decoder(_Entry)


def decode(row: row_store.Row) -> backend.Backend:
    """Decode the entry of a backend server.

    Raises:
      errors.MalformedEntryError: The entry is malformed, for example because
        another program wrote it, and identifies no usable server.
    """
    try:
        entry = _decoder.decode(row.value)
    except msgspec.DecodeError as exc:
        raise errors.MalformedEntryError(f"{row.key}: {exc}") from exc
    ip, _, port = entry.address.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise errors.MalformedEntryError(
            f"{row.key}: address {entry.address!r} isn't IP:PORT"
        )
    if entry.state not in _STATES:
        raise errors.MalformedEntryError(
            f"{row.key}: unknown state {entry.state!r}"
        )
    if entry.stage and entry.stage not in _STAGES:
        raise errors.MalformedEntryError(
            f"{row.key}: unknown stage {entry.stage!r}"
        )
    return backend.Backend(
        id=row.key,
        incarnation=entry.born,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=max(1, entry.slots),
        is_draining=_STATES[entry.state],
        stage=entry.stage,
        version=_known_version(entry.version),
    )


def _known_version(value: Any) -> str:
    """Return a version; "" if it isn't text of a sensible length."""
    is_text = isinstance(value, str) and len(value) <= _MAX_VERSION_LENGTH
    return value if is_text else ""
