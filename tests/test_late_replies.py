"""Tests of what is reported of replies whose call has timed out."""

import pytest
from twisted.internet import defer
from twisted.internet import task

from nutmegscale import envelope
from nutmegscale import errors
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import timeline
from standins import fake_network


class _Traffic:
    """Records the messages by kind and direction."""

    def __init__(self) -> None:
        self.seen: list[tuple[str, str]] = []

    def record_peer_message(
        self, kind: str, size: int, *, direction: str
    ) -> None:
        """Record a message."""
        self.seen.append((kind, direction))


def test_reply_after_its_call_timed_out_is_reported_once() -> None:
    clock = task.Clock()
    network = fake_network.Network(clock)
    traffic = _Traffic()
    links = {}
    for number, name in enumerate("ab"):
        links[name] = mesh.Mesh(
            clock,
            fake_network.FakeTransport(network, name),
            envelope.Sealer(name, b"k" * 32, number),
            timeline.Timeline(name),
            lambda host: f"tcp://{host}",
            host=name,
            traffic=traffic if name == "a" else None,
        )
        network.receivers[name] = links[name].receive

    async def _answer_late() -> messages.RoutingReply:
        await periodic.sleep(clock, mesh.CALL_TIMEOUT_S + 0.1)
        return messages.RoutingReply(1, b"x" * 1_000)

    links["b"].on(
        messages.RoutingRequest, lambda sender, request: _answer_late()
    )
    call = defer.ensureDeferred(
        links["a"].call("b", messages.RoutingRequest(0), messages.RoutingReply)
    )
    failed: list[object] = []
    call.addErrback(lambda found: failed.append(found.value))
    for _ in range(100):
        clock.advance(0.01)
    assert isinstance(failed[0], errors.PeerError)
    counts = links["a"].counts
    assert counts.late == 1
    assert counts.late_bytes == pytest.approx(1_000, abs=100)
    assert traffic.seen == [
        ("RoutingRequest", "sent"),
        ("RoutingReply", "received"),
        ("RoutingReply", "late"),
    ]
