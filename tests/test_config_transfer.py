"""Tests of configurations that hosts transfer in parts."""

import random
from typing import Any
import zlib

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from twisted.internet import task

from nutmegscale import config_fetcher
from nutmegscale import config_sources
from nutmegscale import config_transfer
from nutmegscale import envelope
from nutmegscale import errors
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import timeline
from standins import fake_network

# Doesn't get smaller when it is compressed.
CONTENT = random.Random(1).randbytes(100_000)
PACKED = config_transfer.pack(7, CONTENT)


def _next_part(
    collector: config_transfer.Collector,
    packed: config_transfer.PackedConfig = PACKED,
) -> config_transfer.Part:
    return config_transfer.part_of(
        packed, digest=collector.digest, offset=collector.offset
    )


def test_parts_of_two_hosts_are_put_together() -> None:
    collector = config_transfer.Collector()
    same = config_transfer.pack(7, CONTENT)
    parts = 0
    content = None
    while content is None:
        content = collector.add(
            _next_part(collector, (PACKED, same)[parts % 2])
        )
        parts += 1
    assert content == CONTENT
    assert parts == -(-len(PACKED.data) // config_transfer.PART_BYTES)
    assert collector.offset == 0


def test_later_version_replaces_the_parts_so_far() -> None:
    collector = config_transfer.Collector()
    collector.add(_next_part(collector))
    later = config_transfer.pack(8, b"later")
    assert collector.add(_next_part(collector, later)) == b"later"


@pytest.mark.parametrize(
    "change",
    [
        {"offset": 1},
        {"data": b""},
        {"size": 10},
        {"size": config_transfer.MAX_CONTENT_BYTES + 1},
        {"digest": b"x", "size": config_transfer.PART_BYTES},
    ],
)
def test_malformed_part_drops_all_parts(change: dict[str, Any]) -> None:
    collector = config_transfer.Collector()
    part = _next_part(collector)._replace(**change)
    with pytest.raises(errors.MalformedDataError):
        collector.add(part)
    assert collector.offset == 0
    assert collector.digest == b""


def test_configuration_that_decompresses_without_end_is_rejected() -> None:
    size = config_transfer.MAX_CONTENT_BYTES + 1
    packed = config_transfer.pack(1, bytes(size))
    collector = config_transfer.Collector()
    with pytest.raises(errors.MalformedDataError):
        collector.add(_next_part(collector, packed))


@given(data=st.binary(max_size=200), is_cut=st.booleans())
@settings(max_examples=100, deadline=None, derandomize=True)
def test_odd_bytes_are_unpacked_or_end_in_a_typed_error(
    data: bytes, is_cut: bool
) -> None:
    if is_cut:
        data = zlib.compress(data)[:-1]
    packed = config_transfer.pack(1, b"")._replace(data=data)
    part = config_transfer.part_of(packed, digest=b"", offset=0)
    collector = config_transfer.Collector()
    with pytest.raises(errors.MalformedDataError):
        collector.add(part)


class _Hosts:
    """A host that fetches, and two that answer."""

    def __init__(self) -> None:
        self.clock = task.Clock()
        self.network = fake_network.Network(self.clock)
        self.version = 1
        self.contents: list[bytes] = []
        self.requests: list[tuple[str, float]] = []
        self.links: dict[str, mesh.Mesh] = {}
        for number, name in enumerate("abc"):
            self.links[name] = mesh.Mesh(
                self.clock,
                fake_network.FakeTransport(self.network, name),
                envelope.Sealer(name, b"k" * 32, number),
                timeline.Timeline(name),
                lambda host: f"tcp://{host}",
                host=name,
            )
            self.network.receivers[name] = self.links[name].receive
        self.fetcher = config_fetcher.ConfigFetcher(
            self.clock,
            self.links["a"],
            version=lambda: self.version,
            on_content=self._use,
            rng=random.Random(1),
        )

    def _use(self, version: int, content: bytes, source: str) -> None:
        self.contents.append(content)
        self.version = 7

    def answer(self, host: str, reply: messages.RoutingReply) -> None:
        """Set the answer of a host to all requests."""

        def _receive(
            sender: str, request: messages.RoutingRequest
        ) -> messages.RoutingReply:
            self.requests.append((host, self.clock.seconds()))
            return reply

        self.links[host].on(messages.RoutingRequest, _receive)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)


def test_host_of_an_earlier_build_answers_with_the_whole_configuration() -> (
    None
):
    hosts = _Hosts()
    hosts.answer("b", messages.RoutingReply(7, CONTENT))
    hosts.fetcher.ask("b")
    hosts.run(0.1)
    assert hosts.contents == [CONTENT]


def test_host_without_a_later_version_is_asked_once() -> None:
    hosts = _Hosts()
    hosts.answer("b", messages.RoutingReply(1, b""))
    hosts.fetcher.ask("b")
    hosts.run(3.0)
    assert len(hosts.requests) == 1


def test_configuration_that_cant_be_used_is_not_fetched_in_a_loop() -> None:
    hosts = _Hosts()
    hosts.answer("b", messages.RoutingReply(9, b"not usable"))
    for _ in range(100):
        hosts.fetcher.ask("b")
        hosts.run(0.1)
    assert len(hosts.requests) < 20


def test_unreachable_hosts_are_asked_at_growing_intervals() -> None:
    hosts = _Hosts()
    hosts.network.cut_off(["b", "c"], ["a"])
    sent = hosts.links["a"].counts.sent
    for _ in range(100):
        hosts.fetcher.ask("b")
        hosts.fetcher.ask("c")
        hosts.run(0.1)
    assert hosts.links["a"].counts.sent - sent < 10
    hosts.network.heal("b")
    hosts.answer("b", messages.RoutingReply(7, CONTENT))
    hosts.fetcher.ask("b")
    hosts.run(config_sources.MAX_ANSWER_S + 2 * config_sources.MAX_PAUSE_S)
    assert hosts.contents == [CONTENT]


def test_pauses_and_times_to_answer_grow_up_to_their_bounds() -> None:
    sources = config_sources.ConfigSources(random.Random(1))
    assert sources.next_host() is None
    pauses = []
    for _ in range(2_000):
        sources.add("b")
        host = sources.next_host()
        assert host == "b"
        pauses.append(sources.record_failure(host))
    assert pauses[0] < pauses[3] < pauses[-1] * 2
    longest_s = config_sources.MAX_PAUSE_S * (
        1 + config_sources.JITTER_FRACTION
    )
    assert max(pauses) <= longest_s
    assert sources.answer_s == config_sources.MAX_ANSWER_S
    sources.record_success()
    assert sources.answer_s == config_sources.FIRST_ANSWER_S


def test_the_same_host_is_asked_as_long_as_it_answers() -> None:
    sources = config_sources.ConfigSources(random.Random(1))
    for host in "abcdef":
        sources.add(host)
    first = sources.next_host()
    assert first is not None
    assert {sources.next_host() for _ in range(20)} == {first}
    sources.record_failure(first)
    assert sources.next_host() not in (first, None)
