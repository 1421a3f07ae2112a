"""Tests of which hosts hold the shares of a server's limit."""

import pytest

from nutmegscale import allocator_view
from nutmegscale import membership

DOMAINS = ("a", "b", "c", "d", "e")


def _view(host: int, hosts: int) -> allocator_view.AllocatorView:
    """Return the view of one host that knows all others."""
    members = membership.Membership(f"h{host}", DOMAINS[host % 5], "x")
    for number in range(hosts):
        if number != host:
            members.add_host(0.0, f"h{number}", DOMAINS[number % 5], "x")
    return allocator_view.AllocatorView(members, DOMAINS[host % 5])


def test_all_hosts_agree_and_shares_lie_in_different_domains() -> None:
    chosen = {tuple(_view(n, 40).allocators("w@1")) for n in range(40)}
    assert len(chosen) == 1
    hosts = next(iter(chosen))
    assert len(hosts) == allocator_view.ALLOCATORS
    assert len({int(h[1:]) % 5 for h in hosts}) == len(hosts)


def test_shares_are_held_by_further_hosts_where_domains_are_few() -> None:
    members = membership.Membership("h0", "a", "x")
    members.add_host(0.0, "h1", "a", "x")
    view = allocator_view.AllocatorView(members, "a")
    assert set(view.allocators("w@1")) == {"h0", "h1"}


@pytest.mark.parametrize(("domains", "shares"), [(2, 4), (3, 3), (5, 5)])
def test_each_domain_may_hold_one_share(domains: int, shares: int) -> None:
    """Guards against a domain that can't serve when it is cut off."""
    members = membership.Membership("h0", "a", "x")
    for number in range(1, 40):
        members.add_host(0.0, f"h{number}", DOMAINS[number % domains], "x")
    view = allocator_view.AllocatorView(members, "a", has_equal_domains=True)
    held = view.allocators("w@1")
    assert len(held) == shares
    assert len({int(host[1:]) % domains for host in held}) == domains


def test_a_host_that_does_not_answer_keeps_its_share() -> None:
    view = _view(0, 8)
    hosts = view.allocators("w@1")
    assert view.preferred("w@1", {hosts[0]}) != hosts
    assert view.allocators("w@1") == hosts


def test_the_share_of_the_own_failure_domain_is_asked_first() -> None:
    for number in range(20):
        view = _view(number, 20)
        preferred = view.preferred("w@1", ())
        domains = [int(host[1:]) % 5 for host in preferred]
        if number % 5 in domains:
            assert domains[0] == number % 5
