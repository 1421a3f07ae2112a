"""Tests of one host's share of the retry budget."""

from nutmegscale import retry_share


def _share(hosts: int = 8) -> retry_share.RetryShare:
    return retry_share.RetryShare(
        ratio=0.2, extra=56.0, window_s=10.0, hosts=hosts
    )


def test_all_hosts_together_stay_within_the_budget() -> None:
    shares = [_share() for _ in range(8)]
    spent = 0
    for share in shares:
        for n in range(50):
            share.record_request(n / 10)
        while share.take(5.0):
            spent += 1
    assert spent > 0
    assert spent <= 0.2 * 8 * 50 + 56


def test_retries_are_available_again_as_the_window_slides() -> None:
    share = _share()
    while share.take(0.0):
        pass
    assert not share.take(9.9)
    assert share.take(10.1)


def test_fewer_hosts_have_larger_shares_and_limits_change() -> None:
    assert _share(hosts=4).remaining(0.0) == 2 * _share(hosts=8).remaining(0.0)
    share = _share()
    share.set_limits(ratio=0.0, extra=0.0, window_s=10.0)
    share.record_request(0.0)
    assert not share.take(0.0)
