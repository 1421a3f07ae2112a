"""Directory of the registered backend servers and which of them are usable."""

from typing import NamedTuple

# How long an entry that disappeared soon after an outage of the store is still
# used. By the deployment's specification, lapsed entries are back within about
# two seconds, and a leaving server must get no request later than two seconds
# after its entry was removed.
LAPSE_GRACE_S = 1.6


class Backend(NamedTuple):
    """One incarnation of a backend server.

    Attributes:
      id: Name under which the server registered.
      incarnation: Start time of the server by its own clock, milliseconds; 0
        if unknown. A server that restarts under its id has a different one.
      service: Service that the server belongs to.
      address: IP and port.
      failure_domain: Failure domain that the server is in.
      slots: Number of requests that the server handles concurrently.
      is_draining: Whether the server accepts no new work.
      stage: "prefill" or "decode" for a model engine, else "".
      version: Version of its software, "" if unknown. Versions have no order.
    """

    id: str
    incarnation: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    stage: str
    version: str = ""

    @property
    def key(self) -> str:
        """Unique name of this incarnation."""
        return f"{self.id}@{self.incarnation}"


class BackendDirectory:
    """Directory of registered backend servers; performs no I/O.

    Attributes:
      version: Number that increases with every change.
    """

    def __init__(self) -> None:
        self._entries: dict[str, Backend] = {}
        self._lapse_deadlines: dict[str, float] = {}
        self._removed_undrained: dict[str, tuple[str, float]] = {}
        self._by_service: dict[str, tuple[Backend, ...]] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, backend_id: str) -> Backend | None:
        """Return the entry of a backend server, even if it is draining."""
        return self._entries.get(backend_id)

    def all(self) -> list[Backend]:
        """Return all entries."""
        return list(self._entries.values())

    def usable(self, service: str) -> tuple[Backend, ...]:
        """Return the backend servers of a service that accept new work."""
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                entry
                for _, entry in sorted(self._entries.items())
                if entry.service == service and not entry.is_draining
            )
            self._by_service[service] = found
        return found

    def put(self, entry: Backend) -> bool:
        """Add or replace an entry and return whether it changed."""
        self._lapse_deadlines.pop(entry.id, None)
        self._removed_undrained.pop(entry.id, None)
        if self._entries.get(entry.id) == entry:
            return False
        self._entries[entry.id] = entry
        self._mark_changed()
        return True

    def mark_leaving(self, backend_id: str, incarnation: int) -> bool:
        """Mark a server as draining because another host reported it leaving.

        A report about a later incarnation also covers an earlier one, which
        must have stopped by then.

        Args:
          backend_id: The backend server.
          incarnation: Incarnation that was reported as leaving.

        Returns:
          Whether the entry changed.
        """
        entry = self._entries.get(backend_id)
        if entry is None or entry.is_draining:
            return False
        if entry.incarnation > incarnation:
            return False
        self._entries[backend_id] = entry._replace(is_draining=True)
        self._mark_changed()
        return True

    def count_removed_undrained(self, service: str, since: float) -> int:
        """Count the servers removed undrained that haven't reappeared.

        Args:
          service: Service of the servers.
          since: Monotonic time in seconds; only later removals count.
        """
        return sum(
            name == service and time > since
            for name, time in self._removed_undrained.values()
        )

    def remove(
        self, backend_id: str, *, now: float, lapse_until: float = 0.0
    ) -> bool:
        """Remove an entry at once, or later unless it reappears.

        Args:
          backend_id: The backend server.
          now: Monotonic time in seconds.
          lapse_until: Monotonic time in seconds until which the entry is still
            used; 0 to remove it at once. An earlier call's time stays in force.

        Returns:
          Whether the entry was removed at once.
        """
        known = self._entries.get(backend_id)
        if known is None:
            return False
        if lapse_until:
            self._lapse_deadlines.setdefault(backend_id, lapse_until)
            return False
        self._lapse_deadlines.pop(backend_id, None)
        del self._entries[backend_id]
        if not known.is_draining:
            self._removed_undrained[backend_id] = (known.service, now)
        self._mark_changed()
        return True

    def expire(self, now: float) -> list[Backend]:
        """Remove and return the lapsed entries past their deadline."""
        late = [
            self._entries[name]
            for name, until in self._lapse_deadlines.items()
            if until <= now
        ]
        for entry in late:
            self.remove(entry.id, now=now)
        return late

    def _mark_changed(self) -> None:
        self.version += 1
        self._by_service.clear()
