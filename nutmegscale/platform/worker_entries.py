"""Decoder for the entries by which backend servers register in the store."""

from typing import Annotated
from typing import Any

import msgspec

from nutmegscale import backend
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import row_store

TABLE = "servers"
_STATES = {"ready": False, "draining": True}
_STAGES = ("prefill", "decode")
# Longest version of a server's software that is kept, characters.
_MAX_VERSION_LENGTH = 100
_MAX_SLOTS = 100_000
_MAX_BYTES = 1 << 16

_Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
_Name = Annotated[str, msgspec.Meta(max_length=decoding.MAX_NAME_LENGTH)]


class _Entry(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    state: str
    slots: _Slots = 1
    born: decoding.Natural = 0
    stage: str = ""
    version: Any = ""


_decoder = decoding.Decoder[_Entry](_Entry, max_bytes=_MAX_BYTES)


def decode(row: row_store.Row) -> backend.Backend:
    """Decode the entry of a backend server.

    Raises:
      errors.MalformedEntryError: The entry is malformed, for example because
        another program wrote it, and identifies no usable server.
    """
    try:
        entry = _decoder.decode(row.value)
        # The name is sent in the heads of requests.
        decoding.token(row.key)
        decoding.address(entry.address)
    except errors.MalformedDataError as exc:
        raise errors.MalformedEntryError(
            f"{decoding.quoted(row.key)}: {exc}"
        ) from exc
    if entry.state not in _STATES:
        raise errors.MalformedEntryError(
            f"{row.key}: unknown state {decoding.quoted(entry.state)}"
        )
    if entry.stage and entry.stage not in _STAGES:
        raise errors.MalformedEntryError(
            f"{row.key}: unknown stage {decoding.quoted(entry.stage)}"
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
