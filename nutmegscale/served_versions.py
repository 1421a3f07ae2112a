"""Software versions at which streams may have begun lately; does no I/O."""

from collections.abc import Iterable

# Time for which a version counts after its last server was seen, seconds. No
# stream lasts as long, so none of an older version is taken up again.
RETENTION_S = 120.0
# Stands for versions that the store may have forgotten when it was restored
# from an older copy.
UNKNOWN = "?"


class ServedVersions:
    """Versions of the servers of each service, and when they were seen last.

    Answers callers that take up streams which no host remembers, since all have
    restarted: where one version alone has served for as long as a stream may
    last, the stream began at that version.
    """

    def __init__(self) -> None:
        self._seen_at: dict[str, dict[str, float]] = {}

    def record(self, now: float, service: str, versions: Iterable[str]) -> None:
        """Record versions that serve now, or did so lately.

        Args:
          now: Current time, seconds.
          service: The service.
          versions: Versions of its registered servers, or those that another
            host has recorded.
        """
        seen = self._seen_at.setdefault(service, {})
        seen.update(dict.fromkeys(versions, now))

    def lately(self, now: float, service: str) -> frozenset[str]:
        """Return the versions that serve a service, or did so lately."""
        return frozenset(
            version
            for version, at in self._seen_at.get(service, {}).items()
            if now - at < RETENTION_S
        )
