"""Tests of servers that stop in the middle of an answer's head.

The connection is closed or reset after each byte of the answer, on new and kept
connections, after interim answers, in prefills, and behind another host. No
caller may get a success with a body that isn't the server's whole one.
"""

import functools
from typing import Any

import pytest
from twisted.internet import protocol

from standins import raw_caller
from standins import router_world

BODY = b"page"
FRAMINGS = {
    "length": (b"Content-Length: 4\r\n", BODY),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n",
        b"4\r\npage\r\n0\r\n\r\n",
    ),
    "close": (b"", BODY),
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def _answer(framing: str) -> tuple[bytes, bytes]:
    """Return the head and the body of an answer."""
    header, body = FRAMINGS[framing]
    head = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: proof\r\n"
    )
    return head + header + b"\r\n", body


def _simulation(hosts: int = 1) -> router_world.Simulation:
    simulation = router_world.Simulation(hosts=hosts, retry_extra=1e6)
    simulation.start_default_workers()
    simulation.start(5.0 if hosts > 1 else 2.0)
    return simulation


def _check_no_short_success(reply: raw_caller.Reply) -> None:
    is_success = reply.status == 200 and reply.is_complete
    assert not is_success or reply.body == BODY


@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("interim", [b"", INTERIM])
@pytest.mark.parametrize("is_kept", [False, True])
def test_a_head_that_breaks_off_anywhere_is_no_answer(
    framing: str, interim: bytes, is_reset: bool, is_kept: bool
) -> None:
    simulation = _simulation()
    workers = [simulation.workers[name] for name in ("w1", "w2")]
    head, body = _answer(framing)
    # An answer without a length that ends in order after its head is whole,
    # whatever its body is.
    last = len(interim + head) + (0 if framing == "close" else len(body))
    # On kept connections each third byte is tried, which takes two requests.
    for end in range(1, last, 3 if is_kept else 1):
        if is_kept:
            for worker in workers:
                worker.raw_response = b""
            assert simulation.ask("slot", 0.1).status == 200
        for worker in workers:
            worker.raw_response = (interim + head + body)[:end]
            worker.resets_raw = is_reset
        reply = simulation.ask("slot", 0.2)
        assert reply.status in (502, 503), end
        _check_no_short_success(reply)
        for host in simulation.hosts:
            for server in host.router.board.backends.all():
                host.router.board.loads.record_success(server)


@pytest.mark.parametrize("is_reset", [False, True])
def test_a_prefill_that_breaks_off_anywhere_loses_no_stream(
    is_reset: bool,
) -> None:
    simulation = _simulation()
    body = b'{"handle":"h1","tokens":1,"version":1}'
    whole = (
        b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
        b"Content-Length: %d\r\n\r\n" % len(body) + body
    )
    for end in range(1, len(whole), 5):
        for name in ("p1", "p2"):
            simulation.workers[name].raw_prefill = whole[:end]
            simulation.workers[name].resets_raw = is_reset
        reply = simulation.ask("digest", 4.0)
        events = reply.body.count(b"data: token")
        assert reply.status in (200, 502, 503), end
        assert not (reply.status == 200 and reply.is_complete) or events == 3


class _CutHost(protocol.Protocol):
    """Host that answers a request with some bytes and closes."""

    transport: Any

    def __init__(self, answer: bytes) -> None:
        self._answer = answer

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer at once."""
        self.transport.write(self._answer)
        self.transport.loseConnection()


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_a_host_that_stops_in_a_head_passes_back_no_short_success(
    framing: str,
) -> None:
    head, body = _answer(framing)
    whole = (head + body).replace(b"{id}", b"r1")
    for end in range(1, len(whole), 4):
        simulation = _simulation(hosts=2)
        factory = protocol.Factory.forProtocol(
            functools.partial(_CutHost, whole[:end])
        )
        simulation.net.listen("host-1:81", factory)
        addresses = list(simulation.addresses.values())
        simulation.net.cut("host-0", addresses, "reset")
        simulation.run(1.0)
        reply = simulation.ask("slot", 1.0)
        assert reply.status in (200, 502, 503), end
        _check_no_short_success(reply)


@pytest.mark.parametrize("route", ["slot", "confirm"])
@pytest.mark.parametrize("status", [b"000", b"099", b"999"])
def test_callers_of_servers_with_a_broken_status_are_answered_at_once(
    status: bytes, route: str
) -> None:
    simulation = _simulation()
    head, body = _answer("length")
    for name in ("w1", "w2"):
        worker = simulation.workers[name]
        worker.raw_response = head.replace(b"200", status) + body
    assert simulation.ask(route, 0.2).status in (502, 503)
