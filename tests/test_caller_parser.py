"""Property tests of callers' connections: any bytes, cut at any place.

They guard against an exception that leaves a connection, memory that stays
accounted for connections that are gone, answers that no parser reads, and
requests that are read in one way or another depending on how they arrive.
"""

from typing import Any
from typing import NamedTuple

import httptools
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from nutmegscale import http_ingress
from tests import test_http_ingress

_SETTINGS = settings(derandomize=True, max_examples=150, deadline=None)
_HEADERS = st.sampled_from(
    [
        b"Host: x\r\n",
        b"Host: y\r\n",
        b"Content-Length: 5\r\n",
        b"Content-Length: 19\r\n",
        b"Content-Length: 21\r\n",
        b"Content-Length: 99999999999999999999\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: gzip\r\n",
        b"Connection: close\r\n",
        b"Connection: Upgrade\r\nUpgrade: x\r\n",
        b"Expect: 100-continue\r\n",
        b"a:\r\n" * 9,
        b"a:::::\r\n",
        b": empty name\r\n",
        b" folded\r\n",
        b"Padded:" + b" " * 90 + b"v\r\n",
        b"n" * 120 + b": v\r\n",
        b"v: " + b"v" * 120 + b"\r\n",
        b"bare: \n",
        b"nul: \0\r\n",
    ]
)
_BODIES = st.sampled_from(
    [
        b"",
        b"hello",
        b"x" * 19,
        b"5\r\nhello\r\n0\r\n\r\n",
        b"1\r\nx\r\n" * 12 + b"0\r\n\r\n",
        b"1\r\nx\r\n" * 21 + b"0\r\n\r\n",
        b"2;e=" + b"e" * 40 + b"\r\nxx\r\n0\r\n\r\n",
        b"0\r\nTrailer: x\r\nOther: y\r\n\r\n",
        b"fffffffffffffffffff\r\n",
        b"-1\r\n",
        b"5\nhello\r\n",
        b"\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    ]
)
_START_LINES = st.sampled_from(
    [
        b"GET / HTTP/1.1\r\n",
        b"POST /a?b HTTP/1.1\r\n",
        b"HEAD * HTTP/1.0\r\n",
        b"CONNECT a:1 HTTP/1.1\r\n",
        b"\r\n\r\nGET /a HTTP/1.1\r\n",
        b"PRI * HTTP/2.0\r\n",
        b"GET  HTTP/1.1\r\n",
        b"GET /" + b"u" * 150 + b" HTTP/1.1\r\n",
    ]
)
_messages = st.builds(
    lambda start, headers, body: start + b"".join(headers) + b"\r\n" + body,
    _START_LINES,
    st.lists(_HEADERS, max_size=5),
    _BODIES,
)
# Most of the messages should get past their heads.
_sound_heads = st.builds(
    lambda header, body: (
        b"POST /a HTTP/1.1\r\nHost: x\r\n" + header + b"\r\n" + body
    ),
    _HEADERS,
    _BODIES,
)
_bytes = st.one_of(
    _messages, _sound_heads, st.binary(max_size=60).map(lambda b: b"GET /" + b)
)


class _Outcome(NamedTuple):
    """What became of some bytes.

    Attributes:
      requests: Heads and bodies that were handed on.
      sent: What the caller received.
      is_closing: Whether the connection closes after the next answer.
    """

    requests: list[tuple[Any, bytes]]
    sent: bytes
    is_closing: bool


def _open() -> test_http_ingress._Harness:
    harness = test_http_ingress._Harness()
    harness.connection.connectionLost()
    harness.transport = test_http_ingress._Transport()
    harness.connection = harness.factory.buildProtocol(None)
    connection: Any = harness.connection
    connection.makeConnection(harness.transport)
    return harness


def _check_gone(harness: test_http_ingress._Harness) -> None:
    """Lose the connection, and check that nothing of it is left."""
    harness.connection.connectionLost()
    assert harness.factory.budget.held_bytes == 0
    assert harness.factory.held.size == 0
    assert harness.factory.open_count == 0
    assert not harness.factory.connections
    harness.clock.advance(1.0)
    assert not harness.clock.getDelayedCalls()


def _receive(pieces: list[bytes]) -> _Outcome:
    harness = _open()
    for piece in pieces:
        harness.receive(piece)
    connection: Any = harness.connection
    outcome = _Outcome(
        [(r.head, r.body) for r in harness.handler.requests],
        harness.transport.value(),
        connection._is_closing,
    )
    _check_gone(harness)
    return outcome


class _AnswerReader:
    """Counts the complete answers in some bytes."""

    def __init__(self, data: bytes) -> None:
        self.begun = 0
        self.complete = 0
        httptools.HttpResponseParser(self).feed_data(data)

    def on_message_begin(self) -> None:
        """Count an answer; see httptools."""
        self.begun += 1

    def on_message_complete(self) -> None:
        """Count its end; see httptools."""
        self.complete += 1


def _check_well_formed(sent: bytes) -> None:
    final = sent.replace(http_ingress.CONTINUE_RESPONSE, b"")
    reader = _AnswerReader(final)
    assert reader.begun == reader.complete
    assert reader.begun or not final


def _is_same(whole: _Outcome, cut: _Outcome) -> bool:
    if whole == cut:
        return True
    # A second request in one piece with the first is refused with it; one that
    # comes later is never read.
    is_pipelined = whole.sent.endswith(
        b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
        b"Connection: close\r\n\r\n"
    )
    return is_pipelined and bool(cut.requests) and cut.is_closing


@_SETTINGS
@given(data=_bytes)
def test_bytes_cut_at_every_place_give_the_same_result(data: bytes) -> None:
    whole = _receive([data])
    _check_well_formed(whole.sent)
    for at in range(1, len(data)):
        assert _is_same(whole, _receive([data[:at], data[at:]])), at
    single = _receive([data[n : n + 1] for n in range(len(data))])
    assert _is_same(whole, single)


@_SETTINGS
@given(
    pieces=st.lists(_bytes, max_size=6),
    is_slow=st.booleans(),
    answer=st.sampled_from([0, 10, 200_000, 3_000_000]),
)
def test_any_pieces_leave_nothing_and_get_answers_that_parse(
    pieces: list[bytes], is_slow: bool, answer: int
) -> None:
    harness = _open()
    harness.transport.is_slow = is_slow
    answered = 0
    for piece in pieces:
        harness.receive(piece)
        for request in harness.handler.requests[answered:]:
            request.respond(200, [], b"a" * answer)
            answered += 1
        if harness.transport.producer is not None:
            harness.transport.producer.resumeProducing()
        harness.clock.advance(0.02)
    while harness.transport.producer is not None:
        harness.transport.producer.resumeProducing()
        harness.clock.advance(0.02)
    is_head = any(r.head.method == b"HEAD" for r in harness.handler.requests)
    if not is_head:
        _check_well_formed(harness.transport.value())
    _check_gone(harness)


@_SETTINGS
@given(
    pieces=st.lists(_bytes, min_size=3, max_size=12),
    limit=st.integers(1, 4_000),
)
def test_a_short_budget_is_never_exceeded_and_never_cuts_what_is_handled(
    pieces: list[bytes], limit: int
) -> None:
    harness = _open()
    budget = harness.factory.budget
    budget.limits = budget.limits._replace(held_bytes=limit)
    others = []
    for piece in pieces:
        transport = test_http_ingress._Transport()
        connection: Any = harness.factory.buildProtocol(None)
        connection.makeConnection(transport)
        connection.dataReceived(piece)
        others.append((connection, transport))
        handled = sum(r.size for r in harness.handler.requests)
        assert budget.held_bytes <= max(limit, handled)
        _check_well_formed(transport.value())
    for request in harness.handler.requests:
        assert not request.is_ended
    for connection, _ in others:
        connection.connectionLost()
    _check_gone(harness)
