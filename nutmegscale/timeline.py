"""Time line: typed events in a bounded ring, in causal order over hosts."""

from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

CAPACITY_EVENTS = 4_096


class Event(NamedTuple):
    """One event of a host.

    Attributes:
      lamport: Logical time; a cause has a lower one than its effect.
      host: Host that saw the event.
      sequence: Number of the event on its host since it started.
      wall_s: Wall clock of that host, for people only.
      kind: Type of the event, as in "exchange.planned".
      request: Exchange that the event belongs to, or "".
      detail: Further words, as key=value pairs.
    """

    lamport: int
    host: str
    sequence: int
    wall_s: float
    kind: str
    request: str
    detail: str


class Timeline:
    """Ring of a host's latest events, and its logical clock."""

    def __init__(self, host: str, *, capacity: int = CAPACITY_EVENTS) -> None:
        self._host = host
        self._events: deque[Event] = deque(maxlen=capacity)
        self._lamport = 0
        self._sequence = 0

    @property
    def lamport(self) -> int:
        """Logical time of this host."""
        return self._lamport

    def send_stamp(self) -> int:
        """Advance the logical clock for a message that is sent."""
        self._lamport += 1
        return self._lamport

    def receive_stamp(self, lamport: int) -> None:
        """Advance the logical clock past that of a received message."""
        self._lamport = max(self._lamport, lamport) + 1

    def add(
        self, wall_s: float, kind: str, request: str = "", **detail: object
    ) -> None:
        """Record an event."""
        self._lamport += 1
        self._sequence += 1
        words = " ".join(f"{key}={value}" for key, value in detail.items())
        self._events.append(
            Event(
                self._lamport,
                self._host,
                self._sequence,
                wall_s,
                kind,
                request,
                words,
            )
        )

    def events(
        self, request: str = "", limit: int = CAPACITY_EVENTS
    ) -> list[Event]:
        """Return the latest events, of one exchange if it is named."""
        found = [e for e in self._events if not request or e.request == request]
        return found[-limit:]


def merge(parts: Iterable[Iterable[Event]]) -> list[Event]:
    """Merge the events of several hosts so that causes come first."""
    events = [event for part in parts for event in part]
    return sorted(events, key=lambda e: (e.lamport, e.host, e.sequence))
