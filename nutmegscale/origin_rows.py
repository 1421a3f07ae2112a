"""Rows of the store on the versions of services and on origins of streams."""

from typing import NamedTuple

import msgspec

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import row_store
from nutmegscale import stream_origins

VERSION_TABLE = "nutmegscale-versions"
ORIGIN_TABLE = "nutmegscale-origins"
# Origins of one row, and rows of one service, which are written in turn.
MAX_ORIGINS_PER_ROW = 64
MAX_ROWS = 64


class VersionRow(NamedTuple):
    """Row of a service.

    Attributes:
      versions: Versions that serve it, or did so lately.
      era: Era of the store when the row was written.
    """

    versions: tuple[str, ...]
    era: int


class StoredVersions(NamedTuple):
    """Row of a service as the store has it.

    Attributes:
      content: Its content.
      row_version: Version of the row in the store.
      is_current: Whether the store wasn't restored since it was written.
    """

    content: VersionRow
    row_version: int
    is_current: bool


class OriginRow(NamedTuple):
    """Some streams of a service that began one after the other.

    Attributes:
      sequence: Number of the row among those of its service.
      origins: Digest, name and version of each stream.
    """

    sequence: int
    origins: tuple[tuple[bytes, str, str], ...]


_version_decoder: decoding.Decoder[VersionRow] = decoding.Decoder(
    VersionRow, "msgpack"
)
_origin_decoder: decoding.Decoder[OriginRow] = decoding.Decoder(
    OriginRow, "msgpack"
)


class _Segment:
    """Row that a service's origins are being added to."""

    def __init__(self, sequence: int) -> None:
        self.sequence = sequence
        self.origins: list[tuple[bytes, str, str]] = []


class OriginRows:
    """Reads and writes origins of streams in the store, several in a row.

    Two hosts may write at the same time; each row is written on condition of
    its version, and who finds it changed goes on with a later one.

    Args:
      store: The store.
    """

    def __init__(self, store: row_store.RowStore) -> None:
        self._store = store
        self._segments: dict[str, _Segment] = {}
        self._row_versions: dict[str, int] = {}

    async def read(self) -> list[tuple[bytes, stream_origins.Origin]]:
        """Return the digests and origins of all streams in the store.

        Raises:
          errors.StoreError: The store gave no usable answer.
        """
        result = await self._store.read_table(ORIGIN_TABLE)
        found = []
        last: dict[str, int] = {}
        for row in result.rows:
            service = row.key.rpartition("/")[0]
            self._row_versions[row.key] = row.version
            content = _decode_origins(row)
            if content is None:
                continue
            last[service] = max(last.get(service, -1), content.sequence)
            found += [
                (digest, stream_origins.Origin(stream, service, version))
                for digest, stream, version in content.origins
            ]
        for service, sequence in last.items():
            segment = self._segments.get(service)
            if segment is None or segment.sequence <= sequence:
                self._segments[service] = _Segment(sequence + 1)
        return found

    async def append(
        self, service: str, origins: list[tuple[bytes, str, str]]
    ) -> bool:
        """Write origins of streams of a service.

        Returns:
          Whether they were written; False if another host has written, and
          they are to be written again.

        Raises:
          errors.StoreError: The store gave no usable answer.
        """
        segment = self._segments.setdefault(service, _Segment(0))
        key = f"{service}/{segment.sequence % MAX_ROWS:02}"
        content = OriginRow(segment.sequence, (*segment.origins, *origins))
        result = await self._store.write(
            ORIGIN_TABLE,
            key,
            msgspec.msgpack.encode(content),
            expected=self._row_versions.get(key, 0),
        )
        if result.is_conflict:
            await self.read()
            return False
        self._row_versions[key] = result.version
        segment.origins += origins
        if len(segment.origins) >= MAX_ORIGINS_PER_ROW:
            self._segments[service] = _Segment(segment.sequence + 1)
        return True

    async def read_versions(self) -> dict[str, StoredVersions]:
        """Return the rows on versions, by service.

        Malformed rows are left out.

        Raises:
          errors.StoreError: The store gave no usable answer.
        """
        result = await self._store.read_table(VERSION_TABLE)
        found = {}
        for row in result.rows:
            content = _decode_versions(row)
            if content is not None:
                is_current = content.era == result.era
                found[row.key] = StoredVersions(
                    content, row.version, is_current
                )
        return found

    async def write_versions(
        self, service: str, versions: frozenset[str], *, era: int, expected: int
    ) -> int | None:
        """Write the row of a service.

        Returns:
          The version of the write; None if the row wasn't as expected.

        Raises:
          errors.StoreError: The store gave no usable answer.
        """
        row = VersionRow(tuple(sorted(versions)), era)
        result = await self._store.write(
            VERSION_TABLE,
            service,
            msgspec.msgpack.encode(row),
            expected=expected,
        )
        return None if result.is_conflict else result.version


def _decode_origins(row: row_store.Row) -> OriginRow | None:
    try:
        return _origin_decoder.decode(row.value)
    except errors.MalformedDataError as exc:
        logs.get().warning("origins_skipped", key=row.key, why=str(exc))
        return None


def _decode_versions(row: row_store.Row) -> VersionRow | None:
    try:
        return _version_decoder.decode(row.value)
    except errors.MalformedDataError as exc:
        logs.get().warning("versions_skipped", key=row.key, why=str(exc))
        return None
