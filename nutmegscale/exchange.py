"""Exchange: one model request and the answer to it."""

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
      request_id: Identifier chosen by the caller, or "".
      service: Name of the requested service.
      prompt: The prompt.
      max_tokens: Upper bound on the length of the answer, in tokens.
    """

    caller: str
    request_id: str
    service: str
    prompt: str
    max_tokens: int


class Sink(Protocol):
    """Receiver of an answer: one connection of a caller."""

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has closed the connection."""
        ...

    def write(self, text: str) -> None:
        """Deliver the next part of the text."""
        ...

    def end(self, tokens: int) -> None:
        """Deliver the end of a complete answer of `tokens` tokens."""
        ...

    def fail(self, failure: errors.Failure) -> None:
        """Deliver a failure, possibly after part of the text."""
        ...


class RunRef(NamedTuple):
    """Reference to a decode run on an engine.

    Attributes:
      run_id: Unique id of the run.
      worker: Name of the worker that runs it.
      url: Base address of the worker.
    """

    run_id: str
    worker: str
    url: str


class Exchange:
    """State of one request at the host that serves it.

    Attributes:
      id: Id of the exchange; with a request id it is the same for all repeats
        of the request at all hosts.
      attempt: Number of this host's attempt to serve it, unique on the host.
      request: The request.
      route: Route that the rules of the configuration give the request.
      arrived: Monotonic time of arrival, seconds.
      fingerprint: Digest of the prompt.
      tokens: Tokens received so far.
      run: Decode run that produces the tokens, once there is one.
      was_sent: Whether an engine may have received the request.
      was_accepted: Whether a placement was granted here, or may have been at
        the host that served the exchange before.
      first_token_at: Monotonic time of the first token, seconds.
      last_token_at: Monotonic time of the latest token, seconds.
      longest_gap_s: Longest time between consecutive tokens, seconds.
      is_done: Whether the exchange ended, with an answer or a failure.
      is_complete: Whether the answer is complete.
      failure: Failure that ended the exchange, if any.
      is_handed_over: Whether another host continues the run.
      has_started: Whether a decode run was started, here or at the host that
        served the exchange before.
      last_active_at: Monotonic time of the arrival, the start of the run, the
        latest token or the latest confirmation of the claim, seconds.
    """

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
        self.longest_gap_s = 0.0
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
        """Outcome that a failure would report now."""
        return "maybe_run" if self.was_sent else "not_run"

    @property
    def text(self) -> str:
        """Text of the tokens so far, without an incomplete last character."""
        decoder = codecs.getincrementaldecoder("utf-8")("replace")
        return decoder.decode(b"".join(self.tokens))

    def add_token(self, now: float, data: bytes) -> None:
        """Record the next token and deliver its text."""
        if self.first_token_at is None:
            self.first_token_at = now
        elif self.last_token_at is not None:
            gap_s = now - self.last_token_at
            self.longest_gap_s = max(self.longest_gap_s, gap_s)
        self.last_token_at = now
        self.last_active_at = now
        self.tokens.append(data)
        text = self._decoder.decode(data)
        if text and self._sink is not None:
            self._sink.write(text)

    def mean_gap_s(self) -> float:
        """Return the mean token gap in seconds, 0 for fewer than two tokens."""
        if self.first_token_at is None or self.last_token_at is None:
            return 0.0
        return (self.last_token_at - self.first_token_at) / max(
            1, len(self.tokens) - 1
        )

    def replace_sink(self, sink: Sink | None) -> None:
        """Deliver the answer to a newer connection, from its first token.

        The older connection gets a failure, so that only one complete answer
        is delivered. With None, the answer is delivered to no connection.
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
        """Whether no caller is waiting for the answer."""
        return self._sink is None or self._sink.is_disconnected

    def has_sink(self, sink: Sink) -> bool:
        """Return whether the answer is delivered to this sink."""
        return self._sink is sink

    def finish(self) -> None:
        """Mark the answer as complete and deliver its end."""
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
    """Return the exchange id of a caller's request id."""
    digest = claim.content_digest(caller.encode(), request_id.encode())
    return digest.hex()[:EXCHANGE_ID_HEX_DIGITS]
