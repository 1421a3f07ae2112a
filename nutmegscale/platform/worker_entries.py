"""Entries that backend servers write of themselves in the store."""

import msgspec

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import row_store

TABLE = "servers"
_STATES = {"ready": False, "draining": True}
_STAGES = ("prefill", "decode")


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    born: int = 0
    stage: str = ""


_decoder = msgspec.json.Decoder(_Entry)


def decode(row: row_store.Row) -> backend.Backend:
    """Decode an entry.

    Raises:
      errors.EntryError: Another writer's entry, which names no server to use.
    """
    try:
        entry = _decoder.decode(row.value)
    except msgspec.DecodeError as exc:
        raise errors.MalformedEntryError(f"{row.key}: {exc}") from exc
    ip, _, port = entry.address.rpartition(":")
    if not ip or not port.isdigit() or not 0 < int(port) < 65_536:
        raise errors.MalformedEntryError(
            f"{row.key}: address {entry.address!r}"
        )
    if entry.state not in _STATES:
        raise errors.MalformedEntryError(f"{row.key}: state {entry.state!r}")
    if entry.stage and entry.stage not in _STAGES:
        raise errors.MalformedEntryError(f"{row.key}: stage {entry.stage!r}")
    return backend.Backend(
        id=row.key,
        incarnation=entry.born,
        service=entry.service,
        address=entry.address,
        failure_domain=entry.zone,
        slots=max(1, entry.slots),
        is_draining=_STATES[entry.state],
        stage=entry.stage,
    )
