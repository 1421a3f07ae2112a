"""Where resumable streams began, as one host remembers it; does no I/O."""

from typing import NamedTuple

# Time for which an origin is remembered, seconds: streams last some seconds,
# and their callers take them up again within their deadline.
RETENTION_S = 120.0
MAX_ORIGINS = 20_000


class Origin(NamedTuple):
    """Where a stream began.

    Attributes:
      service: Service of the worker that began it.
      version: Version of that worker's software; "" if it is ambiguous.
      content: Digest of the request.
    """

    service: str
    version: str
    content: bytes


class StreamOrigins:
    """Origins of streams, by the name of the attempt that began them."""

    def __init__(self) -> None:
        self._origins: dict[str, tuple[float, Origin]] = {}

    def __len__(self) -> int:
        return len(self._origins)

    def record(self, now: float, name: str, origin: Origin) -> None:
        """Remember the origin of a stream; the oldest ones are forgotten.

        Streams of one name that began at different versions are ambiguous:
        that happens if they are named by the content of their requests.
        """
        known = self.find(now, name)
        if known is not None and known.version != origin.version:
            origin = origin._replace(version="")
        self._origins.pop(name, None)
        self._origins[name] = (now, origin)
        while self._origins:
            oldest = next(iter(self._origins))
            is_old = now - self._origins[oldest][0] > RETENTION_S
            if not is_old and len(self._origins) <= MAX_ORIGINS:
                break
            del self._origins[oldest]

    def find(self, now: float, name: str) -> Origin | None:
        """Return the origin of a stream; None if it isn't known."""
        known = self._origins.get(name)
        if known is None or now - known[0] > RETENTION_S:
            return None
        return known[1]
