"""Tests of the customers' shares of engine memory."""

from typing import NamedTuple

import pytest

from nutmegscale import customers
from nutmegscale.customers import fair_shares

CAPACITY_TOKENS = 1_000_000.0
STREAM_TOKENS = 10_000.0


def _shares(**streams_per_s: float) -> customers.FairShares:
    """Return shares after two minutes at constant rates."""
    shares = customers.FairShares()
    for second in range(120):
        for name, rate in streams_per_s.items():
            shares.record_use(second, name, rate * STREAM_TOKENS)
    return shares


def _allowances(
    shares: customers.FairShares, **held: int
) -> customers.Allowances:
    return customers.Allowances(
        120.0,
        shares,
        held,
        capacity_tokens=CAPACITY_TOKENS,
        stream_tokens=STREAM_TOKENS,
    )


def test_shares_follow_the_usual_use() -> None:
    shares = _shares(large=8.0, small=2.0)
    assert shares.share(120.0, "large") == pytest.approx(0.8, abs=0.01)
    assert shares.share(120.0, "small") == pytest.approx(0.2, abs=0.01)


def test_shares_are_equal_before_anything_is_known() -> None:
    """Guards against a new planner that serves whoever comes first only."""
    shares = customers.FairShares()
    shares.record_use(0.0, "a", 1_000.0)
    shares.record_use(0.0, "b", 2_000.0)
    assert 0.4 < shares.share(0.0, "a") < shares.share(0.0, "b") < 0.6


def test_limits_show_the_use_before_anything_is_known() -> None:
    """Guards against a new planner that cuts the largest customer down."""
    shares = customers.FairShares()
    shares.set_customers(
        customers.Customer(name, 0, customers.UsageLimit("tokens", per_s, 0.0))
        for name, per_s in (("large", 80_000.0), ("small", 20_000.0))
    )
    for name in ("large", "small", "unlimited"):
        shares.record_use(0.0, name, 1.0)
    assert shares.share(0.0, "large") == pytest.approx(0.8 / 1.5, abs=0.01)
    assert shares.share(0.0, "small") == pytest.approx(0.2 / 1.5, abs=0.01)
    assert shares.share(0.0, "unlimited") == pytest.approx(1 / 3, abs=0.01)


def test_a_few_seconds_at_seven_times_the_rate_raise_a_share_little() -> None:
    shares = _shares(hot=1.0, other=9.0)
    before = shares.share(120.0, "hot")
    for second in range(120, 126):
        shares.record_use(second, "hot", 7 * STREAM_TOKENS)
        shares.record_use(second, "other", 9 * STREAM_TOKENS)
    assert shares.share(126.0, "hot") < 1.8 * before


def test_shares_sum_up_to_the_memory_after_any_time() -> None:
    """Guards against use that outgrows all numbers while nobody sends."""
    for now in (120.0, 300.0, 1_000_000.0):
        shares = _shares(a=1.0, b=3.0)
        shares.share(now, "a")
        for name in ("a", "b"):
            shares.record_use(now, name, STREAM_TOKENS)
        total = shares.share(now, "a") + shares.share(now, "b")
        assert total == pytest.approx(1.0, abs=0.01)


def test_customers_that_are_gone_are_forgotten() -> None:
    """Guards against memory that grows with every customer ever seen."""
    shares = _shares(gone=1.0, present=1.0)
    for now in (1_000.0, 2_000.0):
        shares.record_use(now, "present", STREAM_TOKENS)
    assert shares.count == 1


class _Claim(NamedTuple):
    held: int
    is_within: bool


@pytest.mark.parametrize(
    "claim",
    [
        _Claim(0, is_within=True),
        _Claim(90_000, is_within=True),
        # A tenth of the memory, a tenth more and two streams are allowed.
        _Claim(150_000, is_within=False),
    ],
)
def test_a_customer_may_hold_its_part_of_the_memory(claim: _Claim) -> None:
    allowances = _allowances(_shares(a=1.0, b=9.0), a=claim.held)
    assert (allowances.claim("a", 10_000) == 0.0) == claim.is_within


def test_claims_add_up() -> None:
    allowances = _allowances(_shares(a=1.0, b=9.0), a=50_000)
    excesses = [allowances.claim("a", 10_000) for _ in range(20)]
    within = excesses.count(0.0)
    assert 5 <= within <= 9
    # The further above its share, the later it is served.
    assert excesses == sorted(excesses)
    assert allowances.claim("b", 10_000) == 0.0


def test_an_unknown_customer_may_hold_some_streams() -> None:
    allowances = _allowances(_shares(a=1.0, b=9.0))
    assert allowances.claim("new", 10_000) == 0.0
    assert fair_shares.SPARE_STREAMS >= 1
