"""Decides which callers' connections are closed when memory is short.

Does no I/O. Answers callers that ignore limits: many that send a little less
than a limit and never end, and many that don't read their answers. Each of them
is within the limits of a request; all of them together exceed the machine.
"""

from collections.abc import Iterator
import enum
from typing import NamedTuple

MEGABYTE = 1 << 20
# Resources of the smallest machine, by the deployment's specification.
DEFAULT_MEMORY_MB = 128
DEFAULT_MAX_FDS = 4_100
# Least memory for what callers send and don't read: two of the largest bodies.
MIN_HELD_BYTES = 8 * MEGABYTE
# Memory of a connection that holds nothing else: protocol, transport, parser
# and timer. Measured: 6.0 KB idle, 6.9 KB after a request.
CONNECTION_BYTES = 8 << 10
# Least number of descriptors that callers never take: for servers, hosts, the
# store, and connections that are being closed.
MIN_RESERVED_FDS = 128
# After a shortage, memory is freed down to this part of the limit, so that
# connections aren't compared again for each part that is received.
FREED_FRACTION = 0.9
# Time after which what a connection has moved counts half, seconds.
HALF_LIFE_S = 1.0
# Bytes that count as moved on each connection. A connection that has moved less
# is as good as stalled.
MIN_MOVED_BYTES = 1_024
# Time without progress after which a caller that reads a stream may be closed,
# seconds. Sound callers read on within a round trip.
STREAM_STALL_S = 1.0


class MemoryLimits(NamedTuple):
    """Limits on what all callers and servers together may hold.

    Attributes:
      held_bytes: What all callers' connections hold, at its size in memory.
      body_bytes: Stated lengths of all bodies that are received or processed;
        beyond it, only small bodies are taken.
      collected_bytes: Bodies of answers that are being collected.
      buffered_bytes: Parts of streams that wait for slow callers.
      caller_connections: Open connections of callers.
      relay_connections: Open connections of hosts that pass requests on.
      max_header_lines: Lines in the head of a request.
    """

    held_bytes: int = 40 * MEGABYTE
    body_bytes: int = 32 * MEGABYTE
    collected_bytes: int = 16 * MEGABYTE
    buffered_bytes: int = 8 * MEGABYTE
    caller_connections: int = 1_638
    relay_connections: int = 409
    max_header_lines: int = 4_200


class Phase(enum.Enum):
    """What happens on a connection."""

    RECEIVING = enum.auto()
    HANDLED = enum.auto()
    STREAMING = enum.auto()
    SENDING = enum.auto()


def derive_limits(
    memory_mb: float = DEFAULT_MEMORY_MB,
    max_fds: int = DEFAULT_MAX_FDS,
) -> MemoryLimits:
    """Return the limits of a machine.

    Half of its memory is for what callers and servers send; the daemon itself
    needs about 50 MB.

    Args:
      memory_mb: Memory that the daemon may use, megabytes.
      max_fds: File descriptors that it may use.
    """
    memory = int(memory_mb * MEGABYTE)
    for_connections = memory // 8 // CONNECTION_BYTES
    by_fds = max_fds - max(MIN_RESERVED_FDS, max_fds // 4)
    connections = max(5, min(for_connections, by_fds))
    return MemoryLimits(
        held_bytes=max(MIN_HELD_BYTES, memory * 5 // 16),
        body_bytes=max(MIN_HELD_BYTES, memory // 4),
        collected_bytes=max(MIN_HELD_BYTES, memory // 8),
        buffered_bytes=memory // 16,
        caller_connections=connections * 4 // 5,
        relay_connections=connections // 5,
    )


class Account:
    """What one connection holds and moves.

    Attributes:
      phase: What happens on the connection.
      opened_at: When it was opened, seconds.
      used_at: When it last received or sent something, seconds.
    """

    def __init__(self, budget: "MemoryBudget", now: float) -> None:
        self._budget = budget
        self._held_bytes = 0
        self._moved = 0.0
        self._moved_at = now
        self._is_closed = False
        self.phase = Phase.RECEIVING
        self.opened_at = now
        self.used_at = now

    @property
    def held_bytes(self) -> int:
        """Memory that the connection holds, beside itself, bytes."""
        return self._held_bytes

    def hold(self, size: int) -> None:
        """Set how much memory the connection holds.

        Args:
          size: Its size in memory, bytes.
        """
        if not self._is_closed:
            self._budget.record(size - self._held_bytes)
            self._held_bytes = size

    def close(self) -> None:
        """Hold nothing from now on."""
        self.hold(0)
        self._is_closed = True

    def move(self, now: float, size: int) -> None:
        """Record progress.

        Args:
          now: Current time, seconds.
          size: Bytes of a body that were received, or of an answer that were
            sent. Framing doesn't count.
        """
        self._moved = self.moved(now) + size
        self._moved_at = now
        self.used_at = now

    def retire(self) -> None:
        """Mark a connection that only waits for its caller to close it."""
        self.phase = Phase.RECEIVING
        self.opened_at = self.used_at = 0.0

    def moved(self, now: float) -> float:
        """Return the bytes moved, less the longer ago it was."""
        return float(
            self._moved * 0.5 ** ((now - self._moved_at) / HALF_LIFE_S)
        )

    def may_be_closed(self, now: float) -> bool:
        """Whether the connection may be closed to free memory.

        The request of one that may is incomplete, or its answer is ready and
        isn't read.
        """
        if self.phase is Phase.HANDLED:
            return False
        if self.phase is Phase.STREAMING:
            return now - self.used_at >= STREAM_STALL_S
        return True

    def weight(self, now: float) -> float:
        """Return how much the connection holds for what it moves."""
        return self._held_bytes / (self.moved(now) + MIN_MOVED_BYTES)


class MemoryBudget:
    """Memory that all connections of callers may hold together.

    When it is short, the connection that holds most for what it moves is closed
    first. One whose request may have been forwarded is never closed, unless
    its answer isn't read.

    Attributes:
      held_bytes: Memory that all connections hold, beside themselves, bytes.
      peak_bytes: Highest value of `held_bytes` since it was reset.
      limits: Limits in force.
    """

    def __init__(self, limits: MemoryLimits | None = None) -> None:
        self._accounts: set[Account] = set()
        self.held_bytes = 0
        self.peak_bytes = 0
        self.limits = limits or MemoryLimits()

    def open(self, now: float) -> Account:
        """Return the account of a new connection."""
        account = Account(self, now)
        self._accounts.add(account)
        return account

    def record(self, change: int) -> None:
        """Record that a connection holds more or less than before, bytes."""
        self.held_bytes += change
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def close(self, account: Account) -> None:
        """Remove the account of a connection that was lost."""
        account.close()
        self._accounts.discard(account)

    def victims(self, now: float, asking: Account) -> list[Account]:
        """Return the connections to close, in order; empty if none.

        Args:
          now: Current time, seconds.
          asking: Connection whose memory has just grown. Of several that hold
            the same for what they move, it goes first.
        """
        if self.held_bytes <= self.limits.held_bytes:
            return []
        closable = sorted(
            (
                a
                for a in self._accounts
                if a.held_bytes and a.may_be_closed(now)
            ),
            key=lambda a: (a.weight(now), a is asking, -a.opened_at),
            reverse=True,
        )
        excess = self.held_bytes - self.limits.held_bytes * FREED_FRACTION
        return list(self._until(excess, iter(closable)))

    @staticmethod
    def _until(excess: float, ordered: Iterator[Account]) -> Iterator[Account]:
        """Yield accounts until they hold an excess together."""
        for account in ordered:
            if excess <= 0.0:
                return
            excess -= account.held_bytes
            yield account


def least_useful(
    accounts: list[Account], now: float, asking: Account
) -> Account:
    """Return the connection to close when there are too many.

    That is the one that was unused for longest of those that may be closed.
    One that has received a request before counts as used for longer, so that
    callers that only open connections don't displace those that use them.

    Args:
      accounts: All connections.
      now: Current time, seconds.
      asking: The connection opened last; returned if no other may be closed.
    """
    closable = [a for a in accounts if a.may_be_closed(now)]
    return min(
        closable,
        key=lambda a: (a.used_at != a.opened_at, a.used_at),
        default=asking,
    )
