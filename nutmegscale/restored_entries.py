"""Decides which entries of a restored store are used; no I/O.

A store that comes back from an older copy shows servers as they were some
seconds before. What this host has learnt since goes first: a server that left
stays gone, one that drains stays drained, and an address belongs to the server
that started last there. Live servers write their entries again.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from nutmegscale import backend

# Time after which an entry that the store still has belongs to a live server,
# seconds: three missed heartbeats, sent every 1.2 s, remove any other, and the
# store may have counted them from its return on.
HOLD_S = 4.5
# How long a departure is remembered, seconds; copies are some seconds old.
DEPARTURE_RETENTION_S = 120.0


class _Departure(NamedTuple):
    """A server that left; time in seconds."""

    incarnation: int
    time: float


class _HeldEntry(NamedTuple):
    """An entry of the copy that isn't used until a time, seconds."""

    entry: backend.Backend
    until: float


class RestoredEntries:
    """Entries of the copy that contradict what this host knows."""

    def __init__(self) -> None:
        self._departures: dict[str, _Departure] = {}
        self._held: dict[str, _HeldEntry] = {}
        self._restored_at = -math.inf

    def record_departure(self, now: float, entry: backend.Backend) -> None:
        """Record that a server left, or that its entry was removed."""
        oldest = now - DEPARTURE_RETENTION_S
        self._departures = {
            name: departure
            for name, departure in self._departures.items()
            if departure.time > oldest
        }
        self._departures[entry.id] = _Departure(entry.incarnation, now)

    def begin(self, now: float) -> None:
        """Record that the store was restored."""
        self._restored_at = now
        self._held.clear()

    def holds_back(
        self,
        now: float,
        entry: backend.Backend,
        known: Iterable[backend.Backend],
    ) -> bool:
        """Whether an entry of a snapshot isn't used for now.

        Args:
          now: Current time, seconds.
          entry: The entry.
          known: Entries that this host uses or knows as draining.
        """
        if now - self._restored_at >= HOLD_S and entry.id not in self._held:
            return False
        until = self._hold_until(entry, known)
        if until <= now:
            self._held.pop(entry.id, None)
            return False
        self._held[entry.id] = _HeldEntry(entry, until)
        return True

    def _hold_until(
        self, entry: backend.Backend, known: Iterable[backend.Backend]
    ) -> float:
        """Return until when an entry is held back; 0 if it may be used."""
        settled_at = self._restored_at + HOLD_S
        own: backend.Backend | None = None
        for other in known:
            if other.id == entry.id:
                own = other
            elif (
                other.address == entry.address
                and other.incarnation > entry.incarnation
            ):
                return settled_at
        if own is not None:
            if own == entry or own.incarnation < entry.incarnation:
                return 0.0
            is_drained = own.is_draining and (
                own.incarnation == entry.incarnation
            )
            # A server that drains doesn't become ready again by itself.
            return math.inf if is_drained else settled_at
        departure = self._departures.get(entry.id)
        if departure is None or departure.incarnation < entry.incarnation:
            return 0.0
        return settled_at

    def discard(self, backend_id: str) -> None:
        """Drop a held entry: the store has a later one, or none."""
        self._held.pop(backend_id, None)

    def keep_only(self, backend_ids: Collection[str]) -> None:
        """Drop the held entries that a snapshot doesn't show any more."""
        for name in self._held.keys() - set(backend_ids):
            del self._held[name]

    def release(self, now: float) -> list[backend.Backend]:
        """Return the held entries that the store still has after the hold."""
        due = [h.entry for h in self._held.values() if h.until <= now]
        for entry in due:
            del self._held[entry.id]
        return due
