"""Tests of one host's share of the retry budget."""

import random

from nutmegscale import retry_share

LIMITS = retry_share.Limits(ratio=0.2, extra=56.0, window_s=10.0)


def _share(*, hosts: int = 8, now: float = 0.0) -> retry_share.RetryShare:
    return retry_share.RetryShare(LIMITS, now=now, hosts=hosts)


def _take_all(share: retry_share.RetryShare, now: float) -> int:
    """Take and use every retry that is left; return their number."""
    taken = 0
    while share.take(now):
        share.use()
        taken += 1
    return taken


def test_all_hosts_together_stay_within_the_budget() -> None:
    shares = [_share() for _ in range(8)]
    spent = 0
    for share in shares:
        for n in range(50):
            share.record_request(n / 10)
        spent += _take_all(share, 5.0)
    assert spent > 0
    assert spent <= 0.2 * 8 * 50 + 56


def test_any_window_stays_within_the_budget_through_restarts() -> None:
    rng = random.Random(1)
    for _ in range(20):
        shares = [_share() for _ in range(8)]
        requests: list[float] = []
        taken: list[float] = []
        now = 0.0
        while now < 40.0:
            now += rng.expovariate(20.0)
            index = rng.randrange(8)
            if rng.random() < 0.05:
                shares[index] = _share(now=now)
            requests.append(now)
            shares[index].record_request(now)
            if rng.random() < 0.7:
                taken += [now] * _take_all(shares[index], now)
        for start in taken:
            in_window = [t for t in taken if start <= t <= start + 10.0]
            asked = [t for t in requests if start <= t <= start + 10.0]
            assert len(in_window) <= 0.2 * len(asked) + 56.0


def test_retries_are_available_again_after_a_time() -> None:
    share = _share()
    assert not share.take(0.0)
    assert _take_all(share, 100.0) == 3
    assert not share.take(100.5)
    assert _take_all(share, 110.0) == 3


def test_retries_in_flight_limit_what_the_share_holds() -> None:
    share = _share()
    for _ in range(3):
        assert share.take(100.0)
    assert not share.take(200.0)
    share.use()
    assert share.take(300.0)


def test_a_retry_that_was_not_sent_is_available_again() -> None:
    share = _share()
    _take_all(share, 3.0)
    assert share.take(6.0)
    assert not share.take(6.0)
    share.give_back()
    assert share.take(6.0)


def test_number_of_hosts_that_share_never_falls() -> None:
    share = _share(hosts=4)
    assert share.remaining(100.0) == 7.0
    share.add_hosts(100.0, 8)
    assert share.remaining(100.0) == 3.5
    share.add_hosts(100.0, 2)
    assert share.remaining(200.0) == 3.5


def test_host_that_knows_no_others_has_no_fixed_share() -> None:
    share = _share(hosts=0)
    assert not share.take(100.0)
    for _ in range(20):
        share.record_request(100.0)
    assert _take_all(share, 100.0) == 1


def test_limits_change() -> None:
    share = _share()
    share.set_limits(100.0, retry_share.Limits(0.0, 0.0, 10.0))
    _take_all(share, 100.0)
    share.record_request(100.0)
    assert not share.take(200.0)
