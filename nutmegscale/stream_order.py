"""Order in which the streams of a queue get decode slots; does no I/O.

Answers bursts in which not every stream can be in time, and customers that
send more than usual in them: what can still be in time goes first, the urgent
ones before; within a rank the streams of customers above their share of the
memory go last, and leave a part of the capacity to the others.
"""

from collections.abc import Collection
from collections.abc import Iterable
import math
from typing import NamedTuple

from nutmegscale import customers
from nutmegscale import decode_slots
from nutmegscale import first_event_forecast
from nutmegscale import held_slots
from nutmegscale import request_costs
from nutmegscale import slot_types

# Fraction of the capacity that late requests leave to those that can still be
# in time.
LATE_RESERVE_FRACTION = 1 / 12
# Fraction of the capacity that customers above their share leave to the others.
# With a twelfth, 1 to 2 in 100 answers in time are lost in a burst of all.
SHARE_RESERVE_FRACTION = 1 / 24
# Lateness that a forecast may have before the stream counts as late, seconds:
# slots become free earlier or later than forecast, since answers differ from
# their expected lengths.
FORECAST_SLACK_S = 0.1


class Order(NamedTuple):
    """Streams of a queue in the order in which they are served.

    Attributes:
      in_time: Streams that can be in time, by rank.
      late: Streams that can't, by their first attempts.
      above_share: Names of the streams for which their customers have no share
        of the memory left.
      reserve: Typical runs that these leave to others.
    """

    in_time: list[slot_types.SlotRequest]
    late: list[slot_types.SlotRequest]
    above_share: Collection[str]
    reserve: int

    def starts(
        self, times: list[float]
    ) -> list[tuple[slot_types.SlotRequest, float | None]]:
        """Return the expected starts of the streams that can be in time.

        Args:
          times: When capacity for each further run is free, ascending.

        Returns:
          Each stream with its start, None if there is none.
        """
        return [
            (request, _at(times, self.place(number, request)))
            for number, request in enumerate(self.in_time)
        ]

    def late_starts(
        self, times: list[float]
    ) -> list[tuple[slot_types.SlotRequest, float | None]]:
        """Return the expected starts of the late streams.

        Args:
          times: When capacity for each late stream is free, ascending.

        Returns:
          Each stream with its start, None if there is none.
        """
        return [
            (request, _at(times, number))
            for number, request in enumerate(self.late)
        ]

    def place(self, number: int, request: slot_types.SlotRequest) -> int:
        """Return the number of the next capacity that a stream in time gets.

        Args:
          number: Number of streams before it.
          request: The stream.
        """
        is_above = request.exchange in self.above_share
        return number + self.reserve if is_above else number


class StreamOrder:
    """Orders the streams that wait for the decode slots of a service."""

    def __init__(
        self,
        held: held_slots.HeldSlots,
        slots: decode_slots.DecodeSlots,
        costs: request_costs.RequestCosts,
    ) -> None:
        self._held = held
        self._slots = slots
        self._costs = costs
        self._shares = customers.FairShares()

    @property
    def late_reserve(self) -> int:
        """Typical runs that late streams leave to others."""
        return math.ceil(self._slots.capacity * LATE_RESERVE_FRACTION)

    @property
    def _share_reserve(self) -> int:
        """Typical runs that customers above their share leave to others."""
        return math.ceil(self._slots.capacity * SHARE_RESERVE_FRACTION)

    def set_customers(self, known: Iterable[customers.Customer]) -> None:
        """Set the customers, whose limits show their usual use."""
        self._shares.set_customers(known)

    def record_grant(self, now: float, request: slot_types.SlotRequest) -> None:
        """Record that a stream holds a slot now.

        What a customer gets above its share isn't usual.
        """
        is_known = self._shares.count > 1
        if is_known and self._allowances(now).claim(request.customer, 0):
            return
        self._shares.record_use(now, request.customer, request.tokens)

    def arrange(
        self,
        now: float,
        waiting: Iterable[slot_types.SlotRequest],
        forecast: first_event_forecast.FirstEventForecast,
    ) -> Order:
        """Arrange streams in the order in which they are served.

        Args:
          now: Monotonic time in seconds.
          waiting: The streams.
          forecast: Forecast for streams that are granted a slot now.
        """
        ordered = sorted(
            waiting,
            # Few workers can go on with a stream that has begun.
            key=lambda stream: (
                stream.priority,
                not stream.version,
                stream.requested_at,
            ),
        )
        excesses = self._excesses(now, ordered)
        if excesses:
            ordered.sort(
                key=lambda stream: (
                    stream.priority,
                    excesses.get(stream.exchange, 0.0),
                )
            )
        order = Order([], [], excesses, self._share_reserve if excesses else 0)
        self._split(now, ordered, forecast, order)
        order.late.sort(
            key=lambda stream: (
                excesses.get(stream.exchange, 0.0),
                stream.requested_at,
            )
        )
        return order

    def _split(
        self,
        now: float,
        ordered: Collection[slot_types.SlotRequest],
        forecast: first_event_forecast.FirstEventForecast,
        order: Order,
    ) -> None:
        """Split streams into those that can be in time and late ones."""
        # With free capacity for the whole queue no forecast is needed. Else
        # streams beyond the forecast aren't late, but the queue refuses them.
        needed = len(ordered) + order.reserve
        has_capacity = self._slots.has_capacity(now, needed)
        times = [] if has_capacity else self._slots.capacity_times(now)
        for request in ordered:
            start = _at(times, order.place(len(order.in_time), request))
            if start is None:
                start = now
            first_at = start + forecast.first_event_s(request)
            slack_s = FORECAST_SLACK_S if start > now else 0.0
            is_in_time = (
                bool(request.version)
                or first_at <= request.in_time_by + slack_s
            )
            (order.in_time if is_in_time else order.late).append(request)

    def _excesses(
        self, now: float, ordered: Iterable[slot_types.SlotRequest]
    ) -> dict[str, float]:
        """Return the streams for which their customers have no share left.

        Args:
          now: Monotonic time in seconds.
          ordered: Streams in the order in which they would be served without
            shares.

        Returns:
          The excess of each, by its name; see `customers.Allowances.claim`.
        """
        if self._shares.count < 2:
            return {}
        allowances = self._allowances(now)
        excesses: dict[str, float] = {}
        for stream in ordered:
            # Streams that have begun are claimed for, but always go on.
            excess = allowances.claim(stream.customer, stream.tokens)
            if excess and not stream.version:
                excesses[stream.exchange] = excess
        return excesses

    def _allowances(self, now: float) -> customers.Allowances:
        stream_tokens = (
            self._costs.typical_prompt_tokens
            + self._costs.typical_answer_tokens
        )
        return customers.Allowances(
            now,
            self._shares,
            self._held.customer_tokens(),
            capacity_tokens=self._slots.capacity * stream_tokens,
            stream_tokens=stream_tokens,
        )


def _at(times: list[float], number: int) -> float | None:
    return times[number] if number < len(times) else None
