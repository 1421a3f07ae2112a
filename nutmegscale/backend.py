"""Backend servers that registered themselves, and which may be used."""

from typing import NamedTuple

# How long an entry that vanished around an outage of the store is still used,
# seconds: lapsed entries are back within about two (the users' letter), and a
# leaving server must get nothing later than two after its entry went.
LAPSE_GRACE_S = 1.6


class Backend(NamedTuple):
    """One incarnation of a backend server.

    Attributes:
      id: Name under which it registered.
      incarnation: Time of its start in ms of its own clock; 0 if unknown. A
        server that starts again under its id has another one.
      service: Service that it belongs to.
      address: IP and port.
      failure_domain: Where it stands.
      slots: Requests that it works on at once.
      is_draining: Whether it takes no new work.
      stage: "prefill" or "decode" for a model engine, else "".
    """

    id: str
    incarnation: int
    service: str
    address: str
    failure_domain: str
    slots: int
    is_draining: bool
    stage: str

    @property
    def key(self) -> str:
        """Name of this incarnation."""
        return f"{self.id}@{self.incarnation}"


class BackendDirectory:
    """Registered backend servers; pure."""

    def __init__(self) -> None:
        self._entries: dict[str, Backend] = {}
        self._lapse_deadlines: dict[str, float] = {}
        self._removed_undrained: dict[str, tuple[str, float]] = {}
        self._by_service: dict[str, tuple[Backend, ...]] = {}
        self.version = 0

    def __len__(self) -> int:
        return len(self._entries)

    def get(self, backend_id: str) -> Backend | None:
        """Return the entry of a backend server, draining or not."""
        return self._entries.get(backend_id)

    def all(self) -> list[Backend]:
        """Return every entry."""
        return list(self._entries.values())

    def usable(self, service: str) -> tuple[Backend, ...]:
        """Return the backend servers of a service that take new work."""
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
        """Add or replace an entry; True if that changes anything."""
        self._lapse_deadlines.pop(entry.id, None)
        self._removed_undrained.pop(entry.id, None)
        if self._entries.get(entry.id) == entry:
            return False
        self._entries[entry.id] = entry
        self._mark_changed()
        return True

    def mark_leaving(self, backend_id: str, incarnation: int) -> bool:
        """Use a server no more, as another host was told; True if news.

        A later incarnation that leaves means that an earlier one is gone.
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
        """Count the servers whose entries went without leave after a time."""
        return sum(
            name == service and time > since
            for name, time in self._removed_undrained.values()
        )

    def remove(
        self, backend_id: str, *, now: float, lapse_until: float = 0.0
    ) -> bool:
        """Drop an entry, at once or unless it is back by a time.

        Args:
          backend_id: The backend server.
          now: Monotonic time in seconds.
          lapse_until: Monotonic time until which the entry is still used;
            0 to drop it now.

        Returns:
          Whether it was dropped now.
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

    def expire(self, now: float) -> list[str]:
        """Drop the entries that weren't back in time and return their ids."""
        late = [
            name
            for name, until in self._lapse_deadlines.items()
            if until <= now
        ]
        for name in late:
            self.remove(name, now=now)
        return late

    def _mark_changed(self) -> None:
        self.version += 1
        self._by_service.clear()
