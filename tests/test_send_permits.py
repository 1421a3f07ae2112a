"""Tests of the permits that a host holds, and of whom it asks for more."""

from nutmegscale import send_permits

HOSTS = ("h1", "h2")


def test_permits_expire() -> None:
    permits = send_permits.SendPermits()
    permits.add(0.0, "a", 2)
    assert permits.take(0.5, "a")
    assert permits.count(send_permits.PERMIT_TTL_S, "a") == 0
    assert not permits.take(send_permits.PERMIT_TTL_S, "a")


def test_permits_of_an_age_are_counted() -> None:
    permits = send_permits.SendPermits()
    permits.add(0.0, "a", 1)
    permits.add(0.4, "a", 1)
    assert permits.count(0.4, "a", min_age_s=0.5) == 0
    assert permits.count(0.5, "a", min_age_s=0.5) == 1
    assert permits.count(0.9, "a", min_age_s=0.5) == 2


def test_a_permit_that_was_given_back_can_be_used() -> None:
    permits = send_permits.SendPermits()
    permits.add(0.0, "a", 1)
    assert permits.take(0.1, "a")
    permits.give_back(0.2, "a")
    assert permits.take(0.3, "a")


def test_one_host_is_asked_after_the_other() -> None:
    permits = send_permits.SendPermits()
    assert permits.next_allocator(0.0, "a", HOSTS) == "h1"
    assert permits.next_allocator(0.1, "a", HOSTS) is None
    permits.record_reply(0.1, "a", "h1", 1.0)
    assert permits.next_allocator(0.1, "a", HOSTS) == "h2"
    permits.record_reply(0.2, "a", "h2", 2.0)
    assert permits.next_allocator(1.0, "a", HOSTS) is None
    assert permits.next_allocator(1.1, "a", HOSTS) == "h1"


def test_a_host_that_does_not_reply_is_passed_over() -> None:
    permits = send_permits.SendPermits()
    assert permits.next_allocator(0.0, "a", HOSTS) == "h1"
    later = send_permits.REPLY_TIMEOUT_S
    assert permits.next_allocator(later, "a", HOSTS) == "h2"


def test_no_host_is_asked_for_more_than_can_be_used() -> None:
    permits = send_permits.SendPermits()
    for _ in range(8):
        permits.record_demand(0.0, "a")
    assert permits.wanted(0.1, "a") == 2
    permits.add(0.1, "a", 2)
    assert permits.next_allocator(0.1, "a", HOSTS) is None


def test_permits_are_asked_for_queued_requests() -> None:
    permits = send_permits.SendPermits()
    permits.record_queue(0.0, "a", 5)
    assert permits.wanted(0.1, "a") == 5
    assert permits.has_demand(0.1, "a")
    assert permits.wanted(send_permits.PREFETCH_S, "a") == 1
