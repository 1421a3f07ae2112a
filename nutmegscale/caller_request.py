"""Callers' requests, and the codecs for callers and for backend servers."""

import hashlib
from typing import NamedTuple
from typing import Protocol

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import quarantine
from nutmegscale import upstream_call

CONTENT_DIGEST_BYTES = 16


class CallerRequest(NamedTuple):
    """A caller's request, decoded.

    Attributes:
      id: Name of this attempt of the caller.
      host: Host name that it was sent to.
      path: Path, without query.
      patience_s: How long the caller waits for the answer, seconds; None if
        unstated.
      prompt_tokens: Length of the prompt, tokens; 0 for a plain call.
      max_tokens: Upper bound on the length of the answer, tokens.
      expected_tokens: The caller's estimate of that length, tokens;
        `max_tokens` if unstated, and at least 1.
      prompt_parts: Names of the prompt's parts in order, empty if the caller
        states none. Requests share parts, but for the last one.
      last_event: Id of the event after which to resume a stream, or b"".
      resumes: Name of the attempt that brought the first event of the stream
        to resume, or "".
      head: Request line and headers as received.
      body: The complete body.
      customer: Name of the customer that sent it; "" if it is unknown or keys
        aren't used.
    """

    id: str
    host: str
    path: str
    patience_s: float | None
    prompt_tokens: int
    max_tokens: int
    expected_tokens: int
    prompt_parts: tuple[bytes, ...]
    last_event: bytes
    resumes: str
    head: http_message.RequestHead
    body: bytes
    customer: str = ""

    @property
    def stated_tokens(self) -> int | None:
        """Tokens of prompt and longest answer; None if they aren't stated."""
        return self.prompt_tokens + self.max_tokens or None

    def content(self) -> quarantine.Content:
        """Return what may crash the servers that run the request."""
        return quarantine.Content(self.content_digest(), self.part_digests())

    def content_digest(self) -> bytes:
        """Return the digest of the content, the same for each attempt.

        It covers the method, host, path, query, parts of the prompt and body.
        """
        digest = hashlib.blake2b(digest_size=CONTENT_DIGEST_BYTES)
        parts = (
            self.head.method,
            self.host.encode("latin-1"),
            self.head.target,
            b",".join(self.prompt_parts),
        )
        for part in parts:
            digest.update(b"%d:" % len(part) + part)
        digest.update(self.body)
        return digest.digest()

    def part_digests(self) -> tuple[bytes, ...]:
        """Return the digests of the parts that other requests may share."""
        return tuple(
            hashlib.blake2b(
                part, digest_size=CONTENT_DIGEST_BYTES, person=b"prompt part"
            ).digest()
            for part in self.prompt_parts[:-1]
        )


class ServerLoad(NamedTuple):
    """Load that a backend server states with an answer.

    Attributes:
      running: Requests that it is running.
      waiting: Requests in its queue.
      slots: Requests that it can run at once.
      pace: How long work takes there now, 1 as usual.
      states_pace: Whether the server stated the pace.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
    states_pace: bool = False


class ResponseInfo(NamedTuple):
    """What the head of a backend server's answer states.

    Attributes:
      has_run: False only if the server states that it hasn't run the request.
      is_misdirected: Whether another server has the address now.
      is_genuine: Whether the answer carries a signature of its content.
      load: Load of the server, if stated.
      load_error: What is malformed in the stated load; None if nothing is.
    """

    has_run: bool
    is_misdirected: bool
    is_genuine: bool
    load: ServerLoad | None
    load_error: errors.MalformedLoadError | None = None


class KvHandle(NamedTuple):
    """The KV cache of a finished prefill.

    Attributes:
      server: The server that keeps it.
      handle: Name of the KV cache on that server.
    """

    server: backend.Backend
    handle: str

    @property
    def address(self) -> str:
        """Address of the server that keeps it."""
        return self.server.address


class CallerCodec(Protocol):
    """Codec for callers' requests and their answers."""

    def decode(
        self, head: http_message.RequestHead, body: bytes
    ) -> CallerRequest:
        """Decode a request.

        Raises:
          errors.MalformedRequestError: A header is malformed or repeated.
        """
        ...

    def read_key(self, head: http_message.RequestHead) -> bytes:
        """Return the API key of a request, b"" if it has no readable one."""
        ...

    def read_customer(self, head: http_message.RequestHead) -> str:
        """Return the customer that a request states, "" if it states none.

        Only what another host states is true.
        """
        ...

    def set_customer(self, request: CallerRequest, name: str) -> CallerRequest:
        """Return a request as servers and other hosts may see it.

        Args:
          request: The request as its caller sent it.
          name: Name of its customer; "" if it has none.

        Returns:
          The request without its key, and with this customer.
        """
        ...

    def answer_headers(
        self, head: http_message.ResponseHead
    ) -> list[http_message.Header]:
        """Return the headers of a server's answer to forward to the caller."""
        ...

    def failure_headers(
        self, failure: errors.Failure
    ) -> list[http_message.Header]:
        """Return the headers of an answer that this host generates."""
        ...


class ServerCodec(Protocol):
    """Codec for calls to backend servers and their answers."""

    def plain(
        self, request: CallerRequest, server: backend.Backend, left_s: float
    ) -> upstream_call.Request:
        """Encode a call of a plain service."""
        ...

    def relay(
        self, request: CallerRequest, left_s: float
    ) -> upstream_call.Request:
        """Encode a request that another host is to serve."""
        ...

    def prefill(
        self, request: CallerRequest, server: backend.Backend, left_s: float
    ) -> upstream_call.Request:
        """Encode a call that only prefills the prompt."""
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
        """Encode a run of a stream.

        Args:
          request: The caller's request.
          server: Decode worker of the run.
          left_s: Time left until the deadline, seconds.
          source: KV cache to run from; None for a local prefill.
          last_event: Id of the event after which to resume, or b"".
        """
        ...

    def free(self, handle: KvHandle) -> upstream_call.Request:
        """Encode a call that frees a KV cache."""
        ...

    def set_stage(
        self, server: backend.Backend, stage: str, *, holder: str, fence: int
    ) -> upstream_call.Request:
        """Encode an order to change to another stage.

        Args:
          server: Worker that receives the order.
          stage: The target stage.
          holder: Host that holds the control lease.
          fence: Fencing number of the lease.
        """
        ...

    def read_handle(self, body: bytes) -> str:
        """Decode the answer of a prefill.

        Raises:
          errors.MalformedAnswerError: The body contains no handle.
        """
        ...

    def read_head(self, head: http_message.ResponseHead) -> ResponseInfo:
        """Decode what the head of an answer states."""
        ...

    def is_leaving(self, head: http_message.ResponseHead) -> bool:
        """Whether an answer says that its server leaves."""
        ...

    def read_pause(self, head: http_message.ResponseHead) -> float:
        """Decode for how long a server wants no request of this host.

        Returns:
          The time in seconds; 0 if the answer states none.

        Raises:
          errors.MalformedPauseError: The stated time can't be read.
        """
        ...

    def read_limit(self, head: http_message.ResponseHead) -> float | None:
        """Decode the requests a second that a server takes from all hosts.

        Returns:
          The limit; None if the answer states none.

        Raises:
          errors.MalformedLimitError: The stated limit can't be read.
        """
        ...
