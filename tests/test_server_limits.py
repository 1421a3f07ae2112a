"""Tests of what a host knows of the limits that servers state."""

from nutmegscale import server_limits


def test_a_limit_lasts_until_an_answer_without_it() -> None:
    limits = server_limits.ServerLimits()
    assert limits.record(1.1, "a", 1.0, 2.8)
    assert not limits.record(1.3, "a", 1.2, 2.8)
    assert limits.record(1.5, "a", 1.4, 3.0)
    assert limits.get("a") == server_limits.StatedLimit(3.0, 1.1, 1.4)
    assert limits.record(1.7, "a", 1.6, None)
    assert limits.per_s("a") is None


def test_an_answer_to_an_earlier_request_changes_nothing() -> None:
    limits = server_limits.ServerLimits()
    limits.record(2.0, "a", 1.9, 2.8)
    assert not limits.record(2.1, "a", 1.0, None)
    assert limits.per_s("a") == 2.8
    limits.record(3.0, "a", 2.9, None)
    assert not limits.record(3.1, "a", 2.5, 2.8)
    assert limits.per_s("a") is None


def test_servers_that_are_gone_are_forgotten() -> None:
    limits = server_limits.ServerLimits()
    limits.record(1.0, "a@1", 0.9, 2.8)
    limits.record(1.0, "b@1", 0.9, 2.8)
    # An entry may be gone for a moment.
    limits.keep_only(1.0, {"a@1"})
    assert (limits.per_s("a@1"), limits.per_s("b@1")) == (2.8, 2.8)
    limits.record(60.0, "a@1", 59.9, 2.8)
    limits.keep_only(0.8 + server_limits.RETENTION_S, {"a@1"})
    assert (limits.per_s("a@1"), limits.per_s("b@1")) == (2.8, 2.8)
    limits.keep_only(1.0 + server_limits.RETENTION_S, {"a@1"})
    assert (limits.per_s("a@1"), limits.per_s("b@1")) == (2.8, None)
    limits.keep_only(60.0 + server_limits.RETENTION_S, {"a@1"})
    assert not len(limits)
