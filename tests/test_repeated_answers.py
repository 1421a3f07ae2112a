"""Tests against answers that a faulty server writes once more.

A server repeats an earlier answer on a connection that is in use again. Taken
for the answer to the next request, a repeated refusal says that a request
hasn't run which is running, and a repeated success completes a request with the
answer to another one.
"""

from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet import task
from twisted.internet import testing

from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import upstream
from nutmegscale import upstream_call

ADDRESS = "10.0.0.1:80"
REFUSAL = b"503 Service Unavailable\r\nNot-Executed: 1"
MISDIRECTED = b"421 Misdirected Request"
SUCCESS = b"200 OK"
OWN = b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 3\r\n\r\nown"
OWN_WITHOUT_ID = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown"


def _request(request_id: bytes) -> upstream_call.Request:
    head = http_message.RequestHead(b"POST", b"/", ())
    return upstream_call.Request(head, b"", request_id)


def _answer(status: bytes, request_id: bytes) -> bytes:
    """Return an answer; one to a request without an id has none, either."""
    named = b"\r\nRequest-Id: " + request_id if request_id else b""
    head = b"HTTP/1.1 " + status + named
    return head + b"\r\nContent-Length: 5\r\n\r\nfirst"


class _Server:
    """Pool with a server that answers as told."""

    def __init__(self) -> None:
        self.connections: list[Any] = []
        self.pool = upstream.UpstreamPool(
            None, task.Clock(), connect=self._open
        )

    def _open(self, address: str, factory: Any) -> Any:
        connection = factory.buildProtocol(None)
        transport = testing.StringTransportWithDisconnection()
        transport.protocol = connection
        connection.makeConnection(transport)
        self.connections.append(connection)
        return defer.succeed(connection)

    def call(self, request_id: bytes) -> upstream_call.Call:
        """Send a request."""
        calls: list[upstream_call.Call] = []
        defer.ensureDeferred(
            self.pool.call(ADDRESS, _request(request_id))
        ).addCallback(calls.append)
        return calls[0]

    def write(self, number: int, data: bytes) -> None:
        """Write bytes on a connection, unless it is closed."""
        connection = self.connections[number]
        if connection.transport.connected:
            connection.dataReceived(data)


class _Outcome:
    """Outcome of a call as it becomes known."""

    def __init__(self, call: upstream_call.Call) -> None:
        self.body = b""
        self.failures: list[Any] = []
        defer.ensureDeferred(self._read(call)).addErrback(self.failures.append)

    async def _read(self, call: upstream_call.Call) -> None:
        await call.head(5.0)
        self.body = await call.body(5.0, 100)


def _check_second_call(
    server: _Server, outcome: _Outcome, request_id: bytes
) -> None:
    """Check that only its own answer completes a call, or that it failed."""
    assert outcome.body == b""
    if outcome.failures:
        assert outcome.failures[0].check(errors.TransportError)
        return
    own = OWN % request_id if request_id else OWN_WITHOUT_ID
    server.write(len(server.connections) - 1, own)
    assert outcome.body == b"own"


@pytest.mark.parametrize("status", [REFUSAL, MISDIRECTED, SUCCESS])
@pytest.mark.parametrize(
    ("first", "second"),
    [
        (b"one", b"two"),
        (b"one", b"one"),
        (b"", b"two"),
        (b"one", b""),
        (b"", b""),
    ],
)
@pytest.mark.parametrize("split", [0, 10, 45, 1_000])
def test_a_repeated_answer_is_not_taken_for_the_next_one(
    status: bytes, first: bytes, second: bytes, split: int
) -> None:
    """The first bytes come before the next request, the others after it."""
    server = _Server()
    answer = _answer(status, first)
    first_call = _Outcome(server.call(first))
    server.write(0, answer)
    assert first_call.body == b"first"
    if split:
        server.write(0, answer[:split])
    outcome = _Outcome(server.call(second))
    server.write(0, answer[split:])
    _check_second_call(server, outcome, second)


@pytest.mark.parametrize("status", [REFUSAL, SUCCESS])
@pytest.mark.parametrize("split", [0, 10, 45, 1_000])
def test_an_answer_repeated_in_the_same_segment_counts_once(
    status: bytes, split: int
) -> None:
    server = _Server()
    answer = _answer(status, b"one")
    first_call = _Outcome(server.call(b"one"))
    server.write(0, answer + answer[:split])
    assert first_call.body == b"first"
    outcome = _Outcome(server.call(b"one"))
    server.write(0, answer[split:])
    _check_second_call(server, outcome, b"one")


def test_an_answer_without_an_id_says_nothing_about_a_later_request() -> None:
    server = _Server()
    _Outcome(server.call(b"one"))
    server.write(0, OWN % b"one")
    outcome = _Outcome(server.call(b"two"))
    server.write(len(server.connections) - 1, _answer(REFUSAL, b""))
    _check_second_call(server, outcome, b"two")


@pytest.mark.parametrize("second", [b"one", b"two", b""])
def test_an_answer_after_an_aborted_call_reaches_no_other(
    second: bytes,
) -> None:
    server = _Server()
    server.call(b"one").abort()
    outcome = _Outcome(server.call(second))
    server.write(0, _answer(REFUSAL, b"one"))
    _check_second_call(server, outcome, second)


def test_a_repeated_interim_answer_completes_nothing() -> None:
    server = _Server()
    interim = b"HTTP/1.1 102 Processing\r\nRequest-Id: one\r\n\r\n"
    first_call = _Outcome(server.call(b"one"))
    server.write(0, interim + OWN % b"one")
    assert first_call.body == b"own"
    outcome = _Outcome(server.call(b"two"))
    server.write(len(server.connections) - 1, interim)
    _check_second_call(server, outcome, b"two")


def test_a_reserved_connection_has_not_carried_the_request_before() -> None:
    server = _Server()
    _Outcome(server.call(b"one"))
    server.write(0, _answer(REFUSAL, b"one"))
    reserved: list[upstream.ReservedConnection] = []
    defer.ensureDeferred(
        server.pool.reserve(ADDRESS, request_id=b"one")
    ).addCallback(reserved.append)
    calls: list[upstream_call.Call] = []
    defer.ensureDeferred(
        server.pool.call(ADDRESS, _request(b"one"), reserved=reserved[0])
    ).addCallback(calls.append)
    outcome = _Outcome(calls[0])
    server.write(0, _answer(REFUSAL, b"one"))
    _check_second_call(server, outcome, b"one")


def test_requests_with_other_ids_share_a_connection() -> None:
    server = _Server()
    for number in range(100):
        name = b"%d" % number
        outcome = _Outcome(server.call(name))
        server.write(0, OWN % name)
        assert outcome.body == b"own"
    assert server.pool.opened == 1
