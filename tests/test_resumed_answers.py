"""Tests of what may follow in an answer in progress.

A resumable stream breaks off after its first event, and the next worker answers
with something other than the rest of the stream. The caller must get the events
of the stream and nothing else, and the end only after the last one.
"""

import json

import pytest

from standins import platform_rows
from standins import raw_caller
from standins import router_world

IDS = [b"id: 1", b"id: 2", b"id: 3"]


def _head(status: int, *headers: str) -> bytes:
    lines = [
        f"HTTP/1.1 {status} Status",
        "Request-Id: {id}",
        "Response-Signature: proof",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


STREAM = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
EVENT_1 = b"id: 1\ndata: token\n\n"
EVENT_2 = b"id: 2\ndata: token\n\n"
OTHER_ANSWERS = {
    "500 with a body": _head(500, "Content-Length: 4") + b"oops",
    "500 without a length": _head(500) + b"oops",
    "404": _head(404, "Content-Length: 0"),
    "302": _head(302, "Location: /x", "Content-Length: 0"),
    "204": _head(204),
    "206": _head(206, STREAM, "Content-Length: 19") + EVENT_2,
    "page": _head(200, "Content-Type: text/html", "Content-Length: 7")
    + b"hello\n\n",
    "no content type": _head(200, "Content-Length: 7") + b"hello\n\n",
    "text in a stream": _head(200, STREAM, "Content-Length: 7") + b"hello\n\n",
    "empty": _head(200, STREAM, "Content-Length: 0"),
    "empty in chunks": _head(200, STREAM, CHUNKED) + b"0\r\n\r\n",
    "empty until the close": _head(200, STREAM),
    "first event again": _head(200, STREAM, "Content-Length: 19") + EVENT_1,
    "event without an id": _head(200, STREAM, "Content-Length: 13")
    + b"data: token\n\n",
    "event that breaks off": _head(200, STREAM) + EVENT_2[:9],
    "head that breaks off": _head(200, STREAM)[:60],
    "no signature": b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" + b"\r\n",
    "no answer": b"nonsense\r\n\r\n",
}


def _interrupted(answer: bytes) -> router_world.Simulation:
    """Return a host whose first worker breaks streams off.

    Args:
      answer: What the next worker, which registers later, answers to a resumed
        run.
    """
    simulation = router_world.Simulation()
    simulation.configure()
    first = simulation.add_worker("d1", stage="decode")
    first.break_after_events = 1
    simulation.start()

    def _add() -> None:
        simulation.add_worker("d2", stage="decode").continuation = answer

    # A stream that is sent now starts at the first worker.
    simulation.clock.callLater(0.02, _add)
    return simulation


def _resume(simulation: router_world.Simulation) -> raw_caller.Caller:
    """Send a stream that starts at the first worker."""
    caller = simulation.send("digest")
    simulation.run(8.0)
    assert simulation.workers["d1"].ran
    return caller


def _event_ids(reply: raw_caller.Reply) -> list[bytes]:
    return [line for line in reply.body.split(b"\n") if line[:3] == b"id:"]


@pytest.mark.parametrize(
    "answer", OTHER_ANSWERS.values(), ids=OTHER_ANSWERS.keys()
)
def test_another_answer_is_no_part_of_a_stream_in_progress(
    answer: bytes,
) -> None:
    """A second head was written into the body, or the end came too early."""
    caller = _resume(_interrupted(answer))
    assert caller.received.count(b"HTTP/1.1") == 1
    (reply,) = caller.replies
    assert reply.status == 200
    assert reply.body == EVENT_1
    assert reply.is_closed and not reply.is_complete


@pytest.mark.parametrize("name", ["500 with a body", "404", "empty", "page"])
def test_a_stream_is_resumed_at_a_worker_that_has_the_rest(name: str) -> None:
    simulation = _interrupted(OTHER_ANSWERS[name])
    state = json.loads(platform_rows.config_row())
    for route in state["routes"]:
        route["maxAttempts"] = 3
    simulation.configure(2, routes=state["routes"])
    caller = simulation.send("digest")
    simulation.run(0.3)
    # The worker that has the rest registers once the other answer has come.
    simulation.add_worker("d3", stage="decode")
    simulation.run(8.0)
    (reply,) = caller.replies
    assert simulation.workers["d2"].ran
    assert _event_ids(reply) == IDS
    assert reply.is_complete


def test_a_stream_whose_events_have_no_ids_is_not_resumed() -> None:
    simulation = _interrupted(EVENT_2)
    nameless = b"data: token\n\n"
    body = b"%x\r\n%b\r\n" % (len(nameless), nameless)
    simulation.workers["d1"].beginning = _head(200, STREAM, CHUNKED) + body
    caller = _resume(simulation)
    (reply,) = caller.replies
    assert reply.body == nameless
    assert reply.is_closed and not reply.is_complete
    assert not simulation.workers["d2"].ran


@pytest.mark.parametrize("method", ["GET", "HEAD"])
@pytest.mark.parametrize("route", ["slot", "digest"])
def test_the_answer_to_head_has_no_body(route: str, method: str) -> None:
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    caller = simulation.send(route, method=method, body=b"")
    simulation.run(2.0)
    _, _, body = caller.received.partition(b"\r\n\r\n")
    assert caller.received.startswith(b"HTTP/1.1 200")
    assert bool(body) == (method == "GET")
    caller.forget_answer()
    again = simulation.ask("slot", on=caller)
    assert (again.status, again.body) == (200, b"hello")


@pytest.mark.parametrize("status", [100, 102, 103])
def test_interim_answers_before_the_answer_are_left_out(status: int) -> None:
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    interim = b"HTTP/1.1 %d Wait\r\nX-Interim: 1\r\n\r\n" % status
    answer = (
        b"HTTP/1.1 200 OK\r\nResponse-Signature: p\r\n"
        b"Content-Length: 4\r\n\r\npage"
    )
    for worker in simulation.workers.values():
        worker.raw_response = interim + answer
    caller = simulation.send("slot")
    simulation.run(1.0)
    (reply,) = caller.replies
    assert (reply.status, reply.body, reply.is_complete) == (200, b"page", True)
    assert b"x-interim" not in reply.headers


def test_a_switch_of_protocols_is_no_answer() -> None:
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    for worker in simulation.workers.values():
        worker.raw_response = (
            b"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
            b"Upgrade: websocket\r\n\r\n"
        )
    caller = simulation.send("slot")
    simulation.run(1.0)
    (reply,) = caller.replies
    assert reply.status == 502
