"""Where resumable streams began, as one host remembers it; does no I/O."""

import hashlib
from typing import NamedTuple

# Time for which an origin is remembered, seconds: streams last some seconds,
# and their callers take them up again within their deadline.
RETENTION_S = 120.0
MAX_ORIGINS = 20_000
# Longest name of an attempt that is kept as it is, characters. Callers choose
# the names, which may be as long as a head.
MAX_NAME_LENGTH = 64


class Origin(NamedTuple):
    """Where a stream began.

    Attributes:
      stream: Name of the caller's attempt that began it.
      service: Service of the worker that began it.
      version: Version of that worker's software.
    """

    stream: str
    service: str
    version: str


def short_name(stream: str) -> str:
    """Return the name of an attempt, or a digest of it if it's long."""
    if len(stream) <= MAX_NAME_LENGTH:
        return stream
    digest = hashlib.blake2b(stream.encode(), digest_size=16)
    return f"digest:{digest.hexdigest()}"


def shortened(origin: Origin) -> Origin:
    """Return an origin whose stream has its short name."""
    return origin._replace(stream=short_name(origin.stream))


class StreamOrigins:
    """Origins of streams, by the digest of their requests.

    Answers callers that take up streams whose host has died, most of which
    name the attempt that began them.
    """

    def __init__(self) -> None:
        self._origins: dict[tuple[bytes, str], tuple[float, Origin]] = {}
        self._streams: dict[bytes, set[str]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, now: float, content: bytes, origin: Origin) -> None:
        """Remember the origin of a stream; the oldest ones are forgotten.

        Args:
          now: Current time, seconds.
          content: Digest of its request.
          origin: Where it began.
        """
        origin = shortened(origin)
        key = (content, origin.stream)
        self._origins.pop(key, None)
        self._origins[key] = (now, origin)
        self._streams.setdefault(content, set()).add(origin.stream)
        while self._origins:
            oldest = next(iter(self._origins))
            is_old = now - self._origins[oldest][0] > RETENTION_S
            if not is_old and len(self._origins) <= MAX_ORIGINS:
                break
            self._forget(oldest)

    def _forget(self, key: tuple[bytes, str]) -> None:
        del self._origins[key]
        content, stream = key
        self._streams[content].discard(stream)
        if not self._streams[content]:
            del self._streams[content]

    def recent(
        self, now: float, service: str, span_s: float
    ) -> list[tuple[bytes, Origin]]:
        """Return the digests and origins recorded lately, oldest first.

        Args:
          now: Current time, seconds.
          service: Service of the streams.
          span_s: Time before now to return, seconds.
        """
        return [
            (content, origin)
            for (content, _), (at, origin) in self._origins.items()
            if origin.service == service and now - at <= span_s
        ]

    def find(self, now: float, content: bytes, stream: str) -> list[Origin]:
        """Return the known origins of a stream.

        Args:
          now: Current time, seconds.
          content: Digest of its request.
          stream: Name of the attempt that began it; "" for all streams of that
            digest.
        """
        names = (
            [short_name(stream)]
            if stream
            else sorted(self._streams.get(content, ()))
        )
        known = [self._origins.get((content, name)) for name in names]
        return [
            origin
            for at, origin in filter(None, known)
            if now - at <= RETENTION_S
        ]


def agreed(origins: list[Origin]) -> Origin | None:
    """Return an origin whose service and version all of them have, or None."""
    places = {(origin.service, origin.version) for origin in origins}
    return origins[0] if len(places) == 1 else None


def distinct(origins: list[Origin]) -> list[Origin]:
    """Return one origin of each service and version, in their order."""
    by_place = {(origin.service, origin.version): origin for origin in origins}
    return list(by_place.values())
