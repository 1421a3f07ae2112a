"""Parts in which hosts transfer a configuration to each other.

On a slow link a large configuration takes longer than a call may. Each part
takes a small share of that time, and a part that came too late is all that is
transferred again. It has no I/O.
"""

import hashlib
from typing import NamedTuple
import zlib

from nutmegscale import errors

# Largest part. A link of 5 Mbit/s transfers it in 26 ms.
PART_BYTES = 16 << 10
# Largest configuration before it is compressed.
MAX_CONTENT_BYTES = 8 << 20
DIGEST_BYTES = 16


class PackedConfig(NamedTuple):
    """A configuration in the form in which hosts keep and transfer it.

    Attributes:
      version: Version of the configuration.
      digest: Digest of `data`.
      data: The compressed configuration.
    """

    version: int
    digest: bytes
    data: bytes

    @property
    def content(self) -> bytes:
        """The configuration itself."""
        return zlib.decompress(self.data)


class Part(NamedTuple):
    """A part of a packed configuration.

    Attributes:
      version: Version of the configuration.
      digest: Digest of all its packed bytes.
      size: Number of all its packed bytes.
      offset: Position of the part.
      data: The bytes from there on, at most `PART_BYTES`.
    """

    version: int
    digest: bytes
    size: int
    offset: int
    data: bytes


def pack(version: int, content: bytes) -> PackedConfig:
    """Compress a configuration."""
    data = zlib.compress(content)
    return PackedConfig(version, _digest(data), data)


def part_of(packed: PackedConfig, *, digest: bytes, offset: int) -> Part:
    """Return the part that a host asks for.

    Args:
      packed: The configuration in force.
      digest: Digest of the packed configuration that the host has parts of.
      offset: Position of the next part of that one. If it is another
        configuration, the first part is returned.
    """
    if digest != packed.digest or not 0 <= offset < len(packed.data):
        offset = 0
    data = packed.data[offset : offset + PART_BYTES]
    return Part(packed.version, packed.digest, len(packed.data), offset, data)


class Collector:
    """Puts the parts of a configuration together, whichever host sent them."""

    def __init__(self) -> None:
        self._data = bytearray()
        self._digest = b""

    @property
    def digest(self) -> bytes:
        """Digest of the configuration that is collected; empty if none is."""
        return self._digest

    @property
    def offset(self) -> int:
        """Position of the next part."""
        return len(self._data)

    def clear(self) -> None:
        """Drop all parts."""
        self._data = bytearray()
        self._digest = b""

    def add(self, part: Part) -> bytes | None:
        """Add a part.

        Parts of another configuration than before replace those so far.

        Returns:
          The configuration after its last part; None before.

        Raises:
          errors.MalformedDataError: The part doesn't follow those so far, or
            the configuration is malformed. All parts are dropped.
        """
        if part.digest != self._digest:
            self.clear()
            self._digest = part.digest
        try:
            self._check(part)
            self._data += part.data
            if len(self._data) < part.size:
                return None
            content = _unpack(bytes(self._data), part.digest)
        except errors.MalformedDataError:
            self.clear()
            raise
        self.clear()
        return content

    def _check(self, part: Part) -> None:
        end = part.offset + len(part.data)
        if part.offset != len(self._data) or not part.data:
            raise errors.MalformedDataError(
                f"{len(part.data)} bytes at {part.offset}, expected a part at "
                f"{len(self._data)}"
            )
        if end > part.size or part.size > MAX_CONTENT_BYTES:
            raise errors.MalformedDataError(
                f"part ends at {end} of {part.size} bytes, expected at most "
                f"{MAX_CONTENT_BYTES}"
            )


def _unpack(data: bytes, digest: bytes) -> bytes:
    """Decompress a configuration.

    Raises:
      errors.MalformedDataError: Its digest differs, it is malformed or longer
        than `MAX_CONTENT_BYTES`.
    """
    if _digest(data) != digest:
        raise errors.MalformedDataError("digest of the configuration differs")
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(data, MAX_CONTENT_BYTES)
    except zlib.error as exc:
        raise errors.MalformedDataError(str(exc)) from exc
    if not unpacker.eof:
        raise errors.MalformedDataError(
            f"configuration of {len(content)} bytes or more, expected at most "
            f"{MAX_CONTENT_BYTES}"
        )
    return content


def _digest(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()
