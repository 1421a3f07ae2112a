"""Authenticated envelope of the messages between entry hosts.

Each message carries a keyed digest over its bytes, which include its receiver,
and a sequence number within the sender's session. Unauthenticated, misdirected
and replayed messages are rejected.
"""

from collections import OrderedDict
import hashlib
import hmac
from typing import Any
from typing import NamedTuple

import msgspec

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import messages

DIGEST_BYTES = 16
# Sessions of a sender whose last sequence number is kept, to reject replayed
# messages. Each process of the sender has one session; the latest are kept.
MAX_SESSIONS_PER_SENDER = 4
MAX_MESSAGE_BYTES = 8 << 20


class EnvelopeError(errors.PeerError):
    """A message is malformed, not authentic, misdirected or replayed."""


class Header(NamedTuple):
    """Header of a message.

    Attributes:
      sender: Host that sent the message.
      receiver: Host that the message is addressed to.
      session: Random number of the sender's process.
      sequence: Number of the message in the session, from 1.
      lamport: Logical time of the sender.
      kind: Number of the message type; see `messages.TYPE_BY_NUMBER`.
      call: Number of the call that the message belongs to; 0 if one-way.
      is_reply: Whether the message is the reply to the call.
    """

    sender: str
    receiver: str
    session: int
    sequence: int
    lamport: int
    kind: int
    call: int
    is_reply: bool


class OpenedMessage(NamedTuple):
    """A verified and decoded message."""

    header: Header
    message: Any


_encoder = msgspec.msgpack.Encoder()
_header_decoder: decoding.Decoder[tuple[Header, msgspec.Raw]] = (
    decoding.Decoder(tuple[Header, msgspec.Raw], "msgpack")
)
_any_decoder: decoding.Decoder[Any] = decoding.Decoder(Any, "msgpack")
_decoders: dict[int, decoding.Decoder[Any]] = {
    number: decoding.Decoder(kind, "msgpack")
    for number, kind in messages.TYPE_BY_NUMBER.items()
}


class Sealer:
    """Seals the messages of a host and opens those of its peers.

    Args:
      host: Name of this host.
      key: Shared key; only its first 64 bytes are used, the most that
        BLAKE2b takes.
      session: Random number of this process.
    """

    def __init__(self, host: str, key: bytes, session: int) -> None:
        self._host = host
        self._key = key[:64]
        self._session = session
        self._sequence = 0
        self._last_sequences: dict[str, OrderedDict[int, int]] = {}

    def set_key(self, key: bytes) -> None:
        """Replace the key when the key shared by all hosts is known."""
        self._key = key[:64]

    def seal(
        self,
        receiver: str,
        message: Any,
        *,
        lamport: int,
        call: int = 0,
        is_reply: bool = False,
    ) -> bytes:
        """Encode a message and append its digest.

        Args:
          receiver: Host that the message is addressed to.
          message: Message of a type in `messages`.
          lamport: Logical time of this host.
          call: Number of the call that the message belongs to; 0 if one-way.
          is_reply: Whether the message is the reply to the call.

        Returns:
          The bytes to send.
        """
        self._sequence += 1
        header = Header(
            self._host,
            receiver,
            self._session,
            self._sequence,
            lamport,
            messages.NUMBER_BY_TYPE[type(message)],
            call,
            is_reply,
        )
        body = _encoder.encode((header, _without_trailing_defaults(message)))
        return body + self._digest(body)

    def open(self, data: bytes) -> OpenedMessage:
        """Verify and decode a message.

        Raises:
          EnvelopeError: The message is malformed, not authentic, addressed to
            another host, or was received before.
        """
        if not DIGEST_BYTES < len(data) <= MAX_MESSAGE_BYTES:
            raise EnvelopeError(
                f"message of {len(data)} bytes; expected more than "
                f"{DIGEST_BYTES} and at most {MAX_MESSAGE_BYTES}"
            )
        body, digest = data[:-DIGEST_BYTES], data[-DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(body)):
            raise EnvelopeError("wrong digest; the message isn't authentic")
        try:
            header, raw = _header_decoder.decode(body)
            message = _decode(header.kind, raw)
        except (errors.MalformedDataError, KeyError) as exc:
            raise EnvelopeError(f"malformed: {exc}") from exc
        if header.receiver != self._host:
            raise EnvelopeError(
                f"message for {header.receiver}, received by {self._host}"
            )
        self._check_sequence(header)
        return OpenedMessage(header, message)

    def _digest(self, body: bytes) -> bytes:
        return hashlib.blake2b(
            body, key=self._key, digest_size=DIGEST_BYTES
        ).digest()

    def _check_sequence(self, header: Header) -> None:
        sessions = self._last_sequences.setdefault(header.sender, OrderedDict())
        last = sessions.get(header.session, 0)
        if header.sequence <= last:
            raise EnvelopeError(
                f"message {header.sequence} of {header.sender}, or a later "
                "one of its session, was received before"
            )
        sessions[header.session] = header.sequence
        sessions.move_to_end(header.session)
        while len(sessions) > MAX_SESSIONS_PER_SENDER:
            sessions.popitem(last=False)


def _without_trailing_defaults(message: Any) -> tuple[Any, ...]:
    """Return the fields of a message up to the last that isn't a default.

    A host of an earlier build reads no message with more fields than it knows.
    """
    count = len(message)
    defaults = message._field_defaults
    for name in reversed(message._fields):
        if name not in defaults or message[count - 1] != defaults[name]:
            break
        count -= 1
    return tuple(message[:count])


def _decode(kind: int, raw: msgspec.Raw) -> Any:
    """Decode a message; fields that a later build appended are ignored.

    Raises:
      errors.MalformedDataError: It is malformed.
      KeyError: There is no message of this kind.
    """
    decoder = _decoders[kind]
    try:
        return decoder.decode(raw)
    except errors.MalformedDataError:
        message_type = messages.TYPE_BY_NUMBER[kind]
        values = _any_decoder.decode(raw)
        known = len(message_type._fields)
        if not isinstance(values, list) or len(values) <= known:
            raise
        return decoding.convert(values[:known], message_type)
