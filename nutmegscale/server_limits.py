"""Limits that backend servers state on the requests of all hosts; no I/O."""

from collections.abc import Collection
from typing import NamedTuple

# Time for which a limit is kept that no answer has confirmed, seconds.
RETENTION_S = 120.0


class StatedLimit(NamedTuple):
    """Limit that a server states; times are of the host's clock, seconds.

    Attributes:
      per_s: Requests a second that the server takes from all hosts together.
      since: When this host was first told of a limit of the server.
      asked_at: When the request was sent whose answer stated it.
    """

    per_s: float
    since: float
    asked_at: float


class ServerLimits:
    """Limits of the servers, as this host knows them.

    An answer may be overtaken by one to a later request. It counts only if its
    request was sent no earlier than that of the answer that counted last.
    """

    def __init__(self) -> None:
        self._limits: dict[str, StatedLimit] = {}
        self._ended: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def get(self, server: str) -> StatedLimit | None:
        """Return the limit in force at a server, by its key; None if none."""
        return self._limits.get(server)

    def per_s(self, server: str) -> float | None:
        """Return that limit in requests a second; None if there is none."""
        limit = self._limits.get(server)
        return limit.per_s if limit else None

    def record(
        self, now: float, server: str, asked_at: float, per_s: float | None
    ) -> bool:
        """Record what the answer of a server states.

        Args:
          now: Time of the answer.
          server: Key of the server.
          asked_at: When the request was sent.
          per_s: The limit, requests a second; None if the answer states none.

        Returns:
          Whether the limit has changed, begun or ended.
        """
        known = self._limits.get(server)
        if asked_at < self._last_asked_at(server):
            return False
        if per_s is None:
            if known is not None:
                del self._limits[server]
                self._ended[server] = asked_at
            return known is not None
        since = known.since if known else now
        self._limits[server] = StatedLimit(per_s, since, asked_at)
        self._ended.pop(server, None)
        return known is None or known.per_s != per_s

    def _last_asked_at(self, server: str) -> float:
        known = self._limits.get(server)
        if known is not None:
            return known.asked_at
        return self._ended.get(server, 0.0)

    def keep_only(self, now: float, servers: Collection[str]) -> None:
        """Forget limits that were long unconfirmed.

        Those of servers without an entry are kept: it may be missing for a
        moment. The end of a limit is forgotten after the same time.

        Args:
          now: Current time.
          servers: Keys of the registered servers.
        """
        self._limits = {
            key: limit
            for key, limit in self._limits.items()
            if now - limit.asked_at < RETENTION_S
        }
        self._ended = {
            key: at
            for key, at in self._ended.items()
            if key in servers or now - at < RETENTION_S
        }
