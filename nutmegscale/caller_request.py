"""Requests of callers and the calls to backend servers that they lead to.

The wire forms of both sides are behind the protocols at the end.
"""

from typing import NamedTuple
from typing import Protocol

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import upstream_call


class CallerRequest(NamedTuple):
    """A request as its caller stated it.

    Attributes:
      id: Name of this attempt of the caller.
      host: Host name that it was sent to.
      path: Path, without query.
      patience_s: How long the caller waits for the answer; None if unstated.
      prompt_tokens: Length of the prompt; 0 for a plain call.
      max_tokens: Upper bound on the length of the answer.
      expected_tokens: The caller's guess at that length.
      prompt_parts: Names and lengths of the prompt's parts as the caller
        states them, b"" if it doesn't; the last part is its own.
      last_event: Event after which a stream shall go on, or b"".
      head: The request as it was sent.
      body: Its whole body.
    """

    id: str
    host: str
    path: str
    patience_s: float | None
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int
    prompt_parts: bytes
    last_event: bytes
    head: http_message.RequestHead
    body: bytes


class ServerLoad(NamedTuple):
    """Load that a backend server states with an answer."""

    running: int
    waiting: int
    slots: int


class ResponseInfo(NamedTuple):
    """What the head of an answer says.

    Attributes:
      has_run: False only if the server states that it hasn't run it.
      is_misdirected: Whether another server has the address now.
      is_genuine: Whether the server vouches for the answer's content.
      load: Load that it states.
    """

    has_run: bool
    is_misdirected: bool
    is_genuine: bool
    load: ServerLoad | None


class KvHandle(NamedTuple):
    """The KV cache of a finished prefill.

    Attributes:
      address: Server that keeps it.
      handle: Its name there.
    """

    address: str
    handle: str


class CallerCodec(Protocol):
    """Wire form between callers and hosts."""

    def decode(
        self, head: http_message.RequestHead, body: bytes
    ) -> CallerRequest:
        """Decode a request.

        Raises:
          errors.RequestError: A header can't be read.
        """
        ...

    def answer_headers(
        self, head: http_message.ResponseHead
    ) -> list[http_message.Header]:
        """Return the headers of a server's answer to pass on."""
        ...

    def failure_headers(
        self, failure: errors.Failure
    ) -> list[http_message.Header]:
        """Return the headers of an answer of our own."""
        ...


class ServerCodec(Protocol):
    """Wire form between hosts and backend servers."""

    def plain(
        self, request: CallerRequest, server: backend.Backend, left_s: float
    ) -> upstream_call.Request:
        """Encode a call of a plain service."""
        ...

    def prefill(
        self, request: CallerRequest, server: backend.Backend, left_s: float
    ) -> upstream_call.Request:
        """Encode a call that only has the prompt read."""
        ...

    def decode(
        self,
        request: CallerRequest,
        server: backend.Backend,
        left_s: float,
        *,
        source: KvHandle | None,
        last_event: bytes,
    ) -> upstream_call.Request:
        """Encode a run, from a KV cache or with the prompt read on the way."""
        ...

    def free(self, handle: KvHandle) -> upstream_call.Request:
        """Encode a call that frees a KV cache."""
        ...

    def set_stage(
        self, server: backend.Backend, stage: str, *, holder: str, fence: int
    ) -> upstream_call.Request:
        """Encode an order to take another stage.

        Args:
          server: Who gets the order.
          stage: The wanted stage.
          holder: Host that holds the control lease.
          fence: Fencing number of the lease.
        """
        ...

    def read_handle(self, body: bytes) -> str:
        """Decode the answer of a prefill.

        Raises:
          errors.MalformedAnswerError: It names no handle.
        """
        ...

    def read_head(self, head: http_message.ResponseHead) -> ResponseInfo:
        """Decode what the head of an answer says."""
        ...
