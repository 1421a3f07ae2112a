"""Tests that unauthenticated, misdirected and replayed messages are rejected.

A message counts as valid only with the shared key's digest, for its receiver,
and once; a single changed byte must be detected.
"""

import collections
from typing import Any
from typing import NamedTuple

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

from nutmegscale import envelope
from nutmegscale import messages

MESSAGE = messages.ConfigRequest(7)


def _sealers() -> tuple[envelope.Sealer, envelope.Sealer]:
    key = b"k" * 16
    return envelope.Sealer("a", key, 1), envelope.Sealer("b", key, 2)


def test_a_sealed_message_is_opened_once() -> None:
    a, b = _sealers()
    data = a.seal("b", MESSAGE, lamport=3, call=4)
    opened = b.open(data)
    assert opened.message == MESSAGE
    assert opened.header.sender == "a"
    assert (opened.header.lamport, opened.header.call) == (3, 4)
    with pytest.raises(envelope.EnvelopeError, match="received before"):
        b.open(data)


def test_a_message_for_another_host_is_refused() -> None:
    a, b = _sealers()
    with pytest.raises(envelope.EnvelopeError, match="for c"):
        b.open(a.seal("c", MESSAGE, lamport=1))


def test_a_message_of_another_key_is_refused() -> None:
    _, b = _sealers()
    stranger = envelope.Sealer("a", b"x" * 16, 1)
    with pytest.raises(envelope.EnvelopeError, match="wrong digest"):
        b.open(stranger.seal("b", MESSAGE, lamport=1))


@given(st.integers(0, 10_000), st.integers(1, 255))
@settings(derandomize=True, max_examples=200)
def test_a_changed_byte_is_refused(position: int, change: int) -> None:
    a, b = _sealers()
    data = bytearray(a.seal("b", MESSAGE, lamport=1))
    data[position % len(data)] ^= change
    with pytest.raises(envelope.EnvelopeError):
        b.open(bytes(data))


@given(st.binary(max_size=200))
@settings(derandomize=True, max_examples=200)
def test_noise_is_refused(data: bytes) -> None:
    _, b = _sealers()
    with pytest.raises(envelope.EnvelopeError):
        b.open(data)


class _EarlierRequest(NamedTuple):
    """`messages.SlotRequest` of the build before customers were added."""

    service: str
    exchange: str
    prompt_tokens: int
    expected_tokens: int
    priority: int
    waited_s: float
    in_time_s: float
    patience_s: float
    avoid: tuple[str, ...]
    reads_itself: bool
    content: str = ""
    silent: tuple[str, ...] = ()
    version: str = ""


def _slot_request(customer: str = "") -> messages.SlotRequest:
    return messages.SlotRequest(
        "s", "e", 1, 1, 0, 0.0, 1.0, 2.0, ("w",), False, customer=customer
    )


def test_an_earlier_build_reads_messages_without_new_values() -> None:
    """Guards against hosts of two builds that reject each other's messages.

    A build before reads no message with more fields than it knows.
    """
    sealer, opener = _sealers()
    data = sealer.seal("b", _slot_request(), lamport=1)
    body = data[: -envelope.DIGEST_BYTES]
    _, earlier = msgspec.msgpack.decode(
        body, type=tuple[envelope.Header, _EarlierRequest]
    )
    assert earlier.avoid == ("w",)
    assert opener.open(data).message == _slot_request()


def test_messages_of_a_later_build_are_read_without_their_new_fields(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fields = (*messages.SlotRequest._fields, "more")
    make_type: Any = collections.namedtuple
    later = make_type("later", fields)
    monkeypatch.setitem(
        messages.NUMBER_BY_TYPE,
        later,
        messages.NUMBER_BY_TYPE[messages.SlotRequest],
    )
    sealer, opener = _sealers()
    request = _slot_request("club-a")
    data = sealer.seal("b", later(*request, 7), lamport=1)
    assert opener.open(data).message == request
