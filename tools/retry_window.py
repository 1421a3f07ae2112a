"""How close retries come to their budget, from what backend servers received.

The budget of a service limits, in any window, the arrivals beyond the first of
each request to a ratio of its requests plus a fixed number, over all hosts.
"""

import bisect
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from nutmegscale import retry_share


class Arrival(NamedTuple):
    """A request that reached a server.

    Attributes:
      at: When it arrived, seconds.
      service: Service of the server.
      request: Id of the request.
      is_accepted_prefill: Whether it is a prefill that the server accepted; the
        first one of each request counts as no arrival.
    """

    at: float
    service: str
    request: str
    is_accepted_prefill: bool = False


class Event(NamedTuple):
    """A request of a caller or a retry: its time in seconds, its service."""

    at: float
    service: str


class WorstWindow(NamedTuple):
    """The window of a service that comes closest to its budget, or beyond it.

    Attributes:
      service: The service.
      from_s: Start of the window, seconds.
      retries: Arrivals beyond the first of each request.
      requests: Requests that the budget is computed from.
      allowed: Retries that the budget allows.
    """

    service: str
    from_s: float
    retries: int
    requests: int
    allowed: float

    @property
    def is_exceeded(self) -> bool:
        """Whether there are more retries than allowed."""
        return self.retries > self.allowed

    def __str__(self) -> str:
        """Return the figures as one line."""
        return (
            f"{self.service}: {self.retries} retries from {self.from_s:.1f} s "
            f"for {self.requests} requests, allowed {self.allowed:.1f}"
        )


def retries_of(arrivals: Iterable[Arrival]) -> list[Event]:
    """Return the arrivals beyond the first of each request, in order of time.

    The first accepted prefill of each request is left out.
    """
    prefilled: set[str] = set()
    seen: set[str] = set()
    retries = []
    for arrival in sorted(arrivals):
        if arrival.is_accepted_prefill and arrival.request not in prefilled:
            prefilled.add(arrival.request)
        elif arrival.request in seen:
            retries.append(Event(arrival.at, arrival.service))
        else:
            seen.add(arrival.request)
    return retries


def worst_windows(
    retries: Iterable[Event],
    requests: Iterable[Event],
    budget: retry_share.Limits,
) -> list[WorstWindow]:
    """Find the worst window of each service with retries, sorted by service."""
    retry_times, request_times = _by_service(retries), _by_service(requests)
    found = []
    for service, times in sorted(retry_times.items()):
        sent = request_times.get(service, [])
        windows = [_window(service, at, times, sent, budget) for at in times]
        found.append(max(windows, key=lambda w: w.retries - w.allowed))
    return found


def _by_service(events: Iterable[Event]) -> dict[str, list[float]]:
    times: dict[str, list[float]] = defaultdict(list)
    for event in sorted(events):
        times[event.service].append(event.at)
    return times


def _window(
    service: str,
    start: float,
    retries: list[float],
    sent: list[float],
    budget: retry_share.Limits,
) -> WorstWindow:
    window_s = budget.window_s
    # Requests of the window, the one before it or the one half a window
    # before it, whichever has most.
    requests = max(
        _count(sent, start - earlier_s, window_s)
        for earlier_s in (0.0, window_s / 2, window_s)
    )
    return WorstWindow(
        service,
        start,
        _count(retries, start, window_s),
        requests,
        budget.ratio * requests + budget.extra,
    )


def _count(times: list[float], start: float, window_s: float) -> int:
    end = start + window_s
    return bisect.bisect_right(times, end) - bisect.bisect_left(times, start)
