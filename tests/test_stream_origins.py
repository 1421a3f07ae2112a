"""Tests of what a host remembers of where streams began."""

from nutmegscale import stream_origins

A1 = stream_origins.Origin("a", "s", "v1")
B1 = stream_origins.Origin("b", "s", "v1")
C2 = stream_origins.Origin("c", "s", "v2")


def test_origins_are_kept_for_a_time() -> None:
    origins = stream_origins.StreamOrigins()
    origins.record(0.0, b"x", A1)
    later = stream_origins.RETENTION_S + 1.0
    assert origins.find(later - 2.0, b"x", "a") == [A1]
    assert origins.find(later, b"x", "a") == []
    origins.record(later, b"y", C2)
    assert len(origins) == 1
    assert origins.find(later, b"x", "") == []


def test_a_named_stream_is_told_from_others_of_its_request() -> None:
    origins = stream_origins.StreamOrigins()
    for origin in (A1, B1, C2):
        origins.record(0.0, b"x", origin)
    assert origins.find(0.0, b"x", "c") == [C2]
    assert origins.find(0.0, b"x", "d") == []
    assert origins.find(0.0, b"y", "a") == []


def test_unnamed_streams_of_two_versions_are_ambiguous() -> None:
    origins = stream_origins.StreamOrigins()
    for origin in (A1, B1):
        origins.record(0.0, b"x", origin)
    assert stream_origins.agreed(origins.find(0.0, b"x", "")) == A1
    origins.record(0.0, b"x", C2)
    assert stream_origins.agreed(origins.find(0.0, b"x", "")) is None
    assert stream_origins.agreed([]) is None


def test_the_number_of_origins_is_bounded() -> None:
    origins = stream_origins.StreamOrigins()
    for number in range(stream_origins.MAX_ORIGINS + 10):
        origins.record(0.0, b"%d" % number, A1)
    assert len(origins) == stream_origins.MAX_ORIGINS
    assert origins.find(0.0, b"0", "a") == []


def test_long_names_of_attempts_are_kept_as_digests() -> None:
    origins = stream_origins.StreamOrigins()
    long = [name * 15_900 for name in "ab"]
    for name in long:
        origins.record(0.0, b"x", A1._replace(stream=name))
    found = [origins.find(0.0, b"x", name) for name in long]
    assert [len(origin) for origin in found] == [1, 1]
    assert found[0] != found[1]
    assert all(len(o.stream) < 100 for o in origins.find(0.0, b"x", ""))
