"""Timeline: typed events in a ring buffer, causally ordered across hosts."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

CAPACITY_EVENTS = 4_096


class Event(NamedTuple):
    """One event of a host.

    Attributes:
      lamport: Lamport time; a cause has a lower one than its effect.
      host: Host that recorded the event.
      sequence: Number of the event since its host started, from 1.
      wall_s: Wall clock time of the host, seconds; for display only.
      kind: Type of the event, such as "exchange.planned".
      request: Exchange that the event belongs to, or "".
      detail: Further details as key=value pairs, separated by spaces.
    """

    lamport: int
    host: str
    sequence: int
    wall_s: float
    kind: str
    request: str
    detail: str


class Timeline:
    """Ring buffer of a host's latest events and the host's Lamport clock."""

    def __init__(self, host: str, *, capacity: int = CAPACITY_EVENTS) -> None:
        self._host = host
        self._events: deque[Event] = deque(maxlen=capacity)
        self._lamport = 0
        self._sequence = 0

    @property
    def lamport(self) -> int:
        """Lamport time of this host."""
        return self._lamport

    def send_stamp(self) -> int:
        """Advance the clock for a message to send and return its time."""
        self._lamport += 1
        return self._lamport

    def receive_stamp(self, lamport: int) -> None:
        """Advance the clock past the time of a received message."""
        self._lamport = max(self._lamport, lamport) + 1

    def add(
        self, wall_s: float, kind: str, request: str = "", **detail: object
    ) -> None:
        """Record an event."""
        self._lamport += 1
        self._sequence += 1
        details = " ".join(f"{key}={value}" for key, value in detail.items())
        self._events.append(
            Event(
                self._lamport,
                self._host,
                self._sequence,
                wall_s,
                kind,
                request,
                details,
            )
        )

    def events(
        self, request: str = "", limit: int = CAPACITY_EVENTS
    ) -> list[Event]:
        """Return the latest events, oldest first.

        Args:
          request: Exchange to filter by, or "" for all events.
          limit: Largest number of events to return.
        """
        found = [e for e in self._events if not request or e.request == request]
        return found[-limit:]


def merge(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several hosts, each cause before its effects."""
    events = [event for part in parts for event in part]
    return sorted(events, key=lambda e: (e.lamport, e.host, e.sequence))
