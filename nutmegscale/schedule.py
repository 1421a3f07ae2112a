"""Schedule of the time intervals booked on a prefill worker or a link."""

from collections.abc import Iterator
from typing import NamedTuple


class Booking(NamedTuple):
    """An interval booked for an exchange; times in seconds."""

    start: float
    end: float
    exchange: str


class Schedule:
    """Booked intervals of one resource, sorted by their start."""

    def __init__(self) -> None:
        self._bookings: list[Booking] = []
        self._total_shift_s = 0.0

    @property
    def total_shift_s(self) -> float:
        """Sum of all shifts, in seconds."""
        return self._total_shift_s

    @property
    def last_end(self) -> float:
        """End of the last booking, or 0 without bookings."""
        return self._bookings[-1].end if self._bookings else 0.0

    @property
    def first(self) -> Booking | None:
        """The earliest booking, or None."""
        return self._bookings[0] if self._bookings else None

    def shift(self, seconds: float) -> None:
        """Move every booking; a negative shift moves them earlier."""
        self._total_shift_s += seconds
        self._bookings = [
            Booking(b.start + seconds, b.end + seconds, b.exchange)
            for b in self._bookings
        ]

    def __iter__(self) -> Iterator[Booking]:
        return iter(self._bookings)

    def __len__(self) -> int:
        return len(self._bookings)

    def earliest_start(self, after: float, seconds: float) -> float:
        """Return the earliest start of a free interval.

        Args:
          after: Lower bound on the start.
          seconds: Length of the interval.
        """
        start = after
        for booking in self._bookings:
            if booking.start - start >= seconds:
                return start
            start = max(start, booking.end)
        return start

    def book(self, start: float, seconds: float, exchange: str) -> None:
        """Book an interval; whether it is free isn't checked."""
        self._bookings.append(Booking(start, start + seconds, exchange))
        self._bookings.sort()

    def release(self, exchange: str) -> None:
        """Release the intervals of an exchange."""
        self._bookings = [b for b in self._bookings if b.exchange != exchange]

    def postpone_overdue(self, now: float) -> None:
        """Postpone every booking so that the first one ends no sooner than now.

        For a resource whose jobs are released when they are done: a job that
        should have ended but wasn't released is still running.
        """
        if self._bookings and self._bookings[0].end < now:
            self.shift(now - self._bookings[0].end)
