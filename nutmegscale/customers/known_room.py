"""What this host knows of the room in customers' usage limits; no I/O."""

from collections.abc import Sequence
import math
from typing import NamedTuple

# Time after a refusal in which fewer shares are asked, seconds, and how many:
# all shares are used up at about the same time.
CROWDED_S = 2.0
CROWDED_SHARES = 2
# Entries above which those that have ended are forgotten.
MAX_ENTRIES = 4096


class _Room(NamedTuple):
    """When there is room for a request of a cost.

    Attributes:
      known_at: When that was told, seconds.
      at: When there is room, seconds.
      cost: For what cost, units.
    """

    known_at: float
    at: float
    cost: float

    def room_at(self, cost: float, per_s: float) -> float:
        """Return when there is room for a request of another cost.

        Args:
          cost: Its cost, units.
          per_s: Units a second by which the share fills.
        """
        return max(self.known_at, self.at + (cost - self.cost) / per_s)


class KnownRoom:
    """When the shares of customers' limits have room again, as they told.

    Answers customers that send several times what they may for seconds: calls
    that would be refused anyway cost no messages.
    """

    def __init__(self) -> None:
        self._rooms: dict[tuple[str, str], _Room] = {}
        self._refusals: dict[str, _Room] = {}

    def record_short(
        self,
        now: float,
        customer: str,
        host: str,
        *,
        cost: float,
        wait_s: float,
    ) -> None:
        """Record that a share has room for a cost only after a time."""
        self._rooms[customer, host] = _Room(now, now + wait_s, cost)
        if len(self._rooms) > MAX_ENTRIES:
            self._forget_ended(now)

    def record_room(self, customer: str, host: str) -> None:
        """Record that a share had room."""
        self._rooms.pop((customer, host), None)

    def refuse(
        self, now: float, customer: str, *, cost: float, wait_s: float
    ) -> None:
        """Record that a request was refused, for a time, seconds."""
        self._refusals[customer] = _Room(now, now + wait_s, cost)

    def wait_s(
        self, now: float, customer: str, *, cost: float, per_s: float
    ) -> float:
        """Return when a request may be asked for, seconds; 0 if now."""
        refusal = self._refusals.get(customer)
        if refusal is None:
            return 0.0
        return max(0.0, refusal.room_at(cost, per_s) - now)

    def next_room_s(
        self,
        now: float,
        customer: str,
        hosts: Sequence[str],
        *,
        cost: float,
        per_s: float,
    ) -> float:
        """Return when the first share that has no room now will have some.

        Args:
          now: Current time, seconds.
          customer: Name of the customer.
          hosts: Hosts that hold a share.
          cost: Cost of the request, units.
          per_s: Units a second by which a share fills.

        Returns:
          The time in seconds from now; infinite if all have room.
        """
        waits = [
            room.room_at(cost, per_s) - now
            for host in hosts
            if (room := self._rooms.get((customer, host))) is not None
        ]
        return min((w for w in waits if w > 0.0), default=math.inf)

    def to_ask(
        self,
        now: float,
        customer: str,
        hosts: Sequence[str],
        *,
        cost: float,
        per_s: float,
    ) -> list[str]:
        """Return the hosts to ask for a request, in order.

        Args:
          now: Current time, seconds.
          customer: Name of the customer.
          hosts: Hosts that hold a share, in the preferred order.
          cost: Cost of the request, units.
          per_s: Units a second by which a share fills.
        """
        rooms = {
            host: room.room_at(cost, per_s)
            for host in hosts
            if (room := self._rooms.get((customer, host))) is not None
        }
        chosen = [host for host in hosts if rooms.get(host, 0.0) <= now]
        refusal = self._refusals.get(customer)
        if refusal is None or now - refusal.known_at > CROWDED_S:
            return chosen
        # Shares that told when they have room first.
        chosen.sort(key=lambda host: rooms.get(host, math.inf))
        return chosen[:CROWDED_SHARES]

    def _forget_ended(self, now: float) -> None:
        self._rooms = {k: r for k, r in self._rooms.items() if r.at > now}
        self._refusals = {k: r for k, r in self._refusals.items() if r.at > now}
