"""Scores a day by the weights of its site and the outcomes of its calls."""

from collections.abc import Iterable
from typing import NamedTuple

from tools import slot_days
from tools import slot_simulation

# Fraction of their worth that plain calls earn while their own service works,
# as on quiet days of both sites. Request errors of the servers are the rest.
PLAIN_EARNED_FRACTION = 0.965
# Cost of connections, store calls, memory and traffic between failure domains
# on the quiet day of the first site, as a fraction of the worth of all calls.
OTHER_COSTS = 0.007
WINDOW_S = 2.0
WORST_WINDOWS = 2
# The deployment's specification counts the largest tenth of a kind of request,
# and the fifth below it, as separate kinds.
LARGEST_FRACTION = 0.1
LARGE_FRACTION = 0.3


class _Share(NamedTuple):
    """Earned and possible worth of some calls.

    Attributes:
      earned: Worth that was earned.
      possible: Worth if all calls had been answered in time.
    """

    earned: float
    possible: float

    @property
    def fraction(self) -> float:
        """Fraction that was earned, 1 if no worth was possible."""
        return self.earned / self.possible if self.possible else 1.0


def earned_fraction(
    day: slot_days.Day, outcomes: Iterable[slot_simulation.Outcome]
) -> float:
    """Return the fraction earned of the worth of all streams."""
    return _total(_stream_shares(day, outcomes)).fraction


def net_worth(day: slot_days.Day, result: slot_simulation.Result) -> float:
    """Return the weighted score of a day, less its costs."""
    weights = day.weights
    streams = _stream_shares(day, result.outcomes)
    plain = [
        _Share(PLAIN_EARNED_FRACTION * p.worth, p.worth)
        for p in day.plain_calls
    ]
    overall = _total([*streams, *plain])
    times = [o.call.arrival_s for o in result.outcomes] + [
        p.arrival_s for p in day.plain_calls
    ]
    domains = [o.call.domain for o in result.outcomes]
    domains += [p.domain for p in day.plain_calls]
    shares = [*streams, *plain]
    windows = _group_fractions(
        [str(int(at / WINDOW_S)) for at in times], shares
    )
    worst = sorted(windows)[:WORST_WINDOWS]
    kinds = _kind_fractions(result.outcomes, streams)
    costs = (
        weights.machines_cost
        + weights.wasted_token_price * result.wasted_tokens
        + weights.moved_token_price * _moved_tokens(result.outcomes)
    ) / overall.possible
    return (
        weights.overall * overall.fraction
        + weights.worst_windows * sum(worst) / len(worst)
        + weights.worst_kind * min([*kinds, PLAIN_EARNED_FRACTION])
        + weights.worst_domain * min(_group_fractions(domains, shares))
        - costs
        - OTHER_COSTS
    )


def _stream_shares(
    day: slot_days.Day, outcomes: Iterable[slot_simulation.Outcome]
) -> list[_Share]:
    factors = {"in_time": 1.0, "late": day.late_fraction}
    return [
        _Share(o.call.worth * factors.get(o.state, 0.0), o.call.worth)
        for o in outcomes
    ]


def _moved_tokens(outcomes: Iterable[slot_simulation.Outcome]) -> int:
    served = ("in_time", "late")
    return sum(o.call.prompt_tokens for o in outcomes if o.state in served)


def _kind_fractions(
    outcomes: tuple[slot_simulation.Outcome, ...], streams: list[_Share]
) -> list[float]:
    """Return the fractions earned by each kind and by its large streams."""
    fractions: list[float] = []
    for kind in {o.call.kind for o in outcomes}:
        ordered = sorted(
            (
                s
                for o, s in zip(outcomes, streams, strict=True)
                if o.call.kind == kind
            ),
            key=lambda share: -share.possible,
        )
        largest, large = (
            int(len(ordered) * fraction)
            for fraction in (LARGEST_FRACTION, LARGE_FRACTION)
        )
        fractions += [
            _total(shares).fraction
            for shares in (ordered, ordered[:largest], ordered[largest:large])
            if shares
        ]
    return fractions


def _group_fractions(keys: list[str], shares: list[_Share]) -> list[float]:
    groups: dict[str, list[_Share]] = {}
    for key, share in zip(keys, shares, strict=True):
        groups.setdefault(key, []).append(share)
    return [_total(group).fraction for group in groups.values()]


def _total(shares: list[_Share]) -> _Share:
    return _Share(
        sum(s.earned for s in shares), sum(s.possible for s in shares)
    )
