"""An exchange: one request of a caller, from its arrival to its answer."""

import codecs
from typing import NamedTuple
from typing import Protocol

from nutmegscale import claim
from nutmegscale import config
from nutmegscale import errors
from nutmegscale import prompts

EXCHANGE_ID_HEX_DIGITS = 24


class ModelRequest(NamedTuple):
    """A request to a model service, as received.

    Attributes:
      caller: Authenticated caller.
      request_id: Name that the caller gave, or "".
      service: Service that it asked for.
      prompt: The prompt.
      max_tokens: Upper bound on the length of the answer.
    """

    caller: str
    request_id: str
    service: str
    prompt: str
    max_tokens: int


class Sink(Protocol):
    """Where an answer goes; one connection of a caller."""

    @property
    def is_gone(self) -> bool:
        """Whether the caller has closed the connection."""
        ...

    def write(self, text: str) -> None:
        """Deliver the next piece of text."""
        ...

    def end(self, tokens: int) -> None:
        """Deliver the end of a whole answer."""
        ...

    def fail(self, failure: errors.Failure) -> None:
        """Deliver a failure, before or after some text."""
        ...


class RunRef(NamedTuple):
    """A decode run on an engine."""

    run_id: str
    worker: str
    url: str


class Exchange:
    """State of one request at the host that serves it."""

    def __init__(
        self,
        exchange_id: str,
        attempt: int,
        request: ModelRequest,
        route: config.Route,
        arrived: float,
        sink: Sink,
    ) -> None:
        self.id = exchange_id
        self.attempt = attempt
        self.request = request
        self.route = route
        self.arrived = arrived
        self.fingerprint = prompts.fingerprint(request.prompt)
        self.tokens: list[bytes] = []
        self.run: RunRef | None = None
        self.was_sent = False
        self.was_accepted = False
        self.first_token_at: float | None = None
        self.last_token_at: float | None = None
        self.largest_gap_s = 0.0
        self.is_done = False
        self.is_complete = False
        self.failure: errors.Failure | None = None
        self.is_handed_over = False
        self.has_started = False
        self.last_active_at = arrived
        self._sink: Sink | None = sink
        self._decoder = codecs.getincrementaldecoder("utf-8")("replace")

    @property
    def outcome(self) -> errors.Outcome:
        """What a failure says of the run now."""
        return "maybe_run" if self.was_sent else "not_run"

    @property
    def text(self) -> str:
        """Text of the tokens so far; a split character at the end is left."""
        decoder = codecs.getincrementaldecoder("utf-8")("replace")
        return decoder.decode(b"".join(self.tokens))

    def add_token(self, now: float, data: bytes) -> None:
        """Take in the next token and pass its text on."""
        if self.first_token_at is None:
            self.first_token_at = now
        elif self.last_token_at is not None:
            gap_s = now - self.last_token_at
            self.largest_gap_s = max(self.largest_gap_s, gap_s)
        self.last_token_at = now
        self.last_active_at = now
        self.tokens.append(data)
        text = self._decoder.decode(data)
        if text and self._sink is not None:
            self._sink.write(text)

    def mean_gap_s(self) -> float:
        """Return the mean time between tokens, 0 for a single token."""
        if self.first_token_at is None or self.last_token_at is None:
            return 0.0
        return (self.last_token_at - self.first_token_at) / max(
            1, len(self.tokens) - 1
        )

    def replace_sink(self, sink: Sink | None) -> None:
        """Move the answer to a newer connection, from its first token.

        The older connection gets a failure, so that one answer is delivered.
        """
        older, self._sink = self._sink, sink
        if older is not None:
            older.fail(
                errors.Failure(
                    409,
                    "superseded",
                    "a later copy of the request took its place",
                    "maybe_run",
                )
            )
        if sink is not None:
            self._decoder = codecs.getincrementaldecoder("utf-8")("replace")
            text = self._decoder.decode(b"".join(self.tokens))
            if text:
                sink.write(text)

    @property
    def is_abandoned(self) -> bool:
        """Whether nobody waits for the answer."""
        return self._sink is None or self._sink.is_gone

    def has_sink(self, sink: Sink) -> bool:
        """Whether the answer goes to this connection."""
        return self._sink is sink

    def finish(self) -> None:
        """Deliver the end of the whole answer."""
        self.is_done = True
        self.is_complete = True
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.end(len(self.tokens))

    def fail(self, failure: errors.Failure) -> None:
        """Deliver a failure and end the exchange."""
        self.is_done = True
        self.failure = failure
        sink, self._sink = self._sink, None
        if sink is not None:
            sink.fail(failure)


def exchange_id(caller: str, request_id: str) -> str:
    """Return the name of the exchange of a caller's request id."""
    digest = claim.content_digest(caller.encode(), request_id.encode())
    return digest.hex()[:EXCHANGE_ID_HEX_DIGITS]
