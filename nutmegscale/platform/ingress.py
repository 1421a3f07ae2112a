"""Codec for the headers of callers' requests and of their answers."""

from nutmegscale import caller_request
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import request_context

# Request headers that only hosts may set, and those that hosts set anew on the
# hop to a backend server. They are dropped from callers' requests.
NOT_FORWARDED_HEADERS = frozenset(
    {
        b"stage",
        b"kv-source",
        b"kv-hold",
        b"kv-fetch",
        b"kv-backup",
        b"pin-ms",
        b"wait-ms",
        b"request-priority",
        b"expected-version",
        b"target-instance",
        b"deadline-ms",
        b"last-event-id",
    }
)
# Headers of a backend server's answer that are meant for hosts only and aren't
# forwarded to callers.
_INTERNAL_ANSWER_HEADERS = frozenset(
    {
        b"not-executed",
        b"server-load",
        b"instance-id",
        request_context.OUTCOME_HEADER,
    }
)
_KEY_HEADER = b"authorization"
_KEY_SCHEME = b"token"
_CUSTOMER_HEADER = b"tenant"
_NON_REPEATABLE_HEADERS = (
    b"request-id",
    b"deadline-ms",
    b"token-count",
    b"length-hint",
    b"last-event-id",
    b"resumes",
)


class CallerCodec:
    """The platform's implementation of `caller_request.CallerCodec`."""

    def decode(
        self, head: http_message.RequestHead, body: bytes
    ) -> caller_request.CallerRequest:
        """Decode a request; see `caller_request.CallerCodec`."""
        for name in _NON_REPEATABLE_HEADERS:
            if head.count(name) > 1:
                raise errors.MalformedRequestError(
                    f"{name.decode()} sent twice"
                )
        deadline_ms = _parse_number(head, b"deadline-ms")
        prompt_tokens, max_tokens = _parse_token_count(head)
        hint = _parse_number(head, b"length-hint")
        expected = max_tokens if hint is None else int(hint)
        return caller_request.CallerRequest(
            id=(head.get(b"request-id") or b"").decode("latin-1"),
            host=(head.get(b"host") or b"").decode("latin-1"),
            path=head.path.decode("latin-1"),
            patience_s=None if deadline_ms is None else deadline_ms / 1000,
            prompt_tokens=prompt_tokens,
            max_tokens=max_tokens,
            expected_tokens=max(1, min(expected, max_tokens or expected)),
            prompt_parts=_parse_parts(head.get(b"prompt-prefix") or b""),
            last_event=head.get(b"last-event-id") or b"",
            resumes=(head.get(b"resumes") or b"").decode("latin-1"),
            head=head,
            body=body,
        )

    def read_key(self, head: http_message.RequestHead) -> bytes:
        """Return the API key; see `caller_request.CallerCodec`."""
        if head.count(_KEY_HEADER) != 1:
            return b""
        scheme, _, key = (head.get(_KEY_HEADER) or b"").partition(b" ")
        return key.strip() if scheme.lower() == _KEY_SCHEME else b""

    def read_customer(self, head: http_message.RequestHead) -> str:
        """Return the stated customer; see `caller_request.CallerCodec`."""
        if head.count(_CUSTOMER_HEADER) != 1:
            return ""
        return (head.get(_CUSTOMER_HEADER) or b"").decode("latin-1")

    def set_customer(
        self, request: caller_request.CallerRequest, name: str
    ) -> caller_request.CallerRequest:
        """Remove the key; see `caller_request.CallerCodec`."""
        # Without the hop-by-hop headers, so that a caller can't have the
        # customer's header removed by naming it in Connection.
        headers = http_message.end_to_end_headers(
            request.head.headers, frozenset({_KEY_HEADER, _CUSTOMER_HEADER})
        )
        if name:
            headers.append((b"Tenant", name.encode("latin-1")))
        head = request.head._replace(headers=tuple(headers))
        return request._replace(head=head, customer=name)

    def answer_headers(
        self, head: http_message.ResponseHead
    ) -> list[http_message.Header]:
        """Return the headers to forward; see `caller_request.CallerCodec`."""
        return http_message.end_to_end_headers(
            head.headers, _INTERNAL_ANSWER_HEADERS
        )

    def failure_headers(
        self, failure: errors.Failure
    ) -> list[http_message.Header]:
        """Return the headers of a failure; see `caller_request.CallerCodec`."""
        headers = [(b"Content-Type", b"application/json")]
        if failure.status == 401:
            headers.append((b"WWW-Authenticate", b"Token"))
        if failure.retry_after_s is not None:
            headers.append((b"Retry-After", b"%.3f" % failure.retry_after_s))
        return headers


def _parse_parts(value: bytes) -> tuple[bytes, ...]:
    """Return the names of the entries NAME:TOKENS in a list."""
    entries = (entry.strip() for entry in value.split(b","))
    return tuple(entry.partition(b":")[0] for entry in entries if entry)


def _parse_number(head: http_message.RequestHead, name: bytes) -> float | None:
    value = head.get(name)
    if value is None:
        return None
    try:
        return float(decoding.natural(value))
    except errors.MalformedDataError as exc:
        raise errors.MalformedRequestError(f"{name.decode()}: {exc}") from exc


def _parse_token_count(head: http_message.RequestHead) -> tuple[int, int]:
    value = head.get(b"token-count")
    if value is None:
        return 0, 0
    prompt, _, answer = value.partition(b",")
    try:
        return decoding.natural(prompt.strip()), decoding.natural(
            answer.strip()
        )
    except errors.MalformedDataError as exc:
        raise errors.MalformedRequestError(f"token-count: {exc}") from exc
