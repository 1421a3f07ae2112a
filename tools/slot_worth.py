"""What a day is worth by the users' scale, from what its callers got."""

from collections.abc import Iterable
from typing import NamedTuple

from tools import slot_days
from tools import slot_world

# Part that plain calls earn of their worth, if their own service is well:
# quiet days of both sites (request errors of the servers are the rest).
PLAIN_EARNED = 0.965
# Connections, calls of the store, memory and bytes between failure domains:
# their prices on the quiet day of the first site.
OTHER_PRICES = 0.007
WINDOW_S = 2.0
WORST_WINDOWS = 2
# The largest tenth of a kind of request, and the fifth below it, count as
# kinds of their own (users' pages).
LARGEST = 0.1
LARGE = 0.3


class _Share(NamedTuple):
    """What was earned of what was owed."""

    earned: float
    owed: float

    @property
    def part(self) -> float:
        """Part that was earned, 1 where nothing was owed."""
        return self.earned / self.owed if self.owed else 1.0


def earned(day: slot_days.Day, outcomes: Iterable[slot_world.Outcome]) -> float:
    """Return the part of the worth of all streams that was earned."""
    return _sum(_streams(day, outcomes)).part


def worth(day: slot_days.Day, result: slot_world.Result) -> float:
    """Return the worth of a day, less prices."""
    scale = day.scale
    streams = _streams(day, result.outcomes)
    plain = [_Share(PLAIN_EARNED * p.worth, p.worth) for p in day.plain]
    whole = _sum([*streams, *plain])
    times = [o.call.at for o in result.outcomes] + [p.at for p in day.plain]
    domains = [o.call.domain for o in result.outcomes]
    domains += [p.domain for p in day.plain]
    shares = [*streams, *plain]
    windows = _parts([str(int(at / WINDOW_S)) for at in times], shares)
    worst = sorted(windows)[:WORST_WINDOWS]
    kinds = _kind_parts(result.outcomes, streams)
    prices = (
        scale.machines_price
        + scale.wasted_price * result.wasted_tokens
        + scale.moved_price * _moved_tokens(result.outcomes)
    ) / whole.owed
    return (
        scale.whole * whole.part
        + scale.windows * sum(worst) / len(worst)
        + scale.kinds * min([*kinds, PLAIN_EARNED])
        + scale.domains * min(_parts(domains, shares))
        - prices
        - OTHER_PRICES
    )


def _streams(
    day: slot_days.Day, outcomes: Iterable[slot_world.Outcome]
) -> list[_Share]:
    factors = {"in_time": 1.0, "late": day.late_fraction}
    return [
        _Share(o.call.worth * factors.get(o.state, 0.0), o.call.worth)
        for o in outcomes
    ]


def _moved_tokens(outcomes: Iterable[slot_world.Outcome]) -> int:
    served = ("in_time", "late")
    return sum(o.call.prompt_tokens for o in outcomes if o.state in served)


def _kind_parts(
    outcomes: tuple[slot_world.Outcome, ...], streams: list[_Share]
) -> list[float]:
    """Return what each kind of stream earned, large ones apart."""
    found: list[float] = []
    for kind in {o.call.kind for o in outcomes}:
        ordered = sorted(
            (
                s
                for o, s in zip(outcomes, streams, strict=True)
                if o.call.kind == kind
            ),
            key=lambda share: -share.owed,
        )
        top, large = (int(len(ordered) * part) for part in (LARGEST, LARGE))
        found += [
            _sum(shares).part
            for shares in (ordered, ordered[:top], ordered[top:large])
            if shares
        ]
    return found


def _parts(keys: list[str], shares: list[_Share]) -> list[float]:
    groups: dict[str, list[_Share]] = {}
    for key, share in zip(keys, shares, strict=True):
        groups.setdefault(key, []).append(share)
    return [_sum(group).part for group in groups.values()]


def _sum(shares: list[_Share]) -> _Share:
    return _Share(sum(s.earned for s in shares), sum(s.owed for s in shares))
