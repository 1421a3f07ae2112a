"""Codec for calls to the platform's backend servers and their answers."""

import re

import msgspec

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import http_message
from nutmegscale import upstream_call
from nutmegscale.platform import ingress

_SIGNATURE_HEADER = b"response-signature"
_LIMIT_HEADER = b"server-limit"
_LEAVING_HEADER = b"server-leaving"
_LOAD_HEADER = b"server-load"
# Figures of a load that are read.
_LOAD_FIGURES = 4
# Slowest pace that is believed, percent of the usual time of work.
_MAX_PACE_PERCENT = 100_000
_PAUSE_HEADER = b"retry-after"
_PAUSING_STATUS = 503
_DEADLINE_HEADER = b"Deadline-Ms"
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?")
# Longest part of a malformed value that an error names, bytes.
_MAX_NAMED_BYTES = 40


class _PrefillAnswer(msgspec.Struct):
    handle: str


_prefill_decoder = decoding.Decoder[_PrefillAnswer](_PrefillAnswer)


class ServerCodec:
    """The platform's implementation of `caller_request.ServerCodec`."""

    def plain(
        self,
        request: caller_request.CallerRequest,
        server: backend.Backend,
        left_s: float,
    ) -> upstream_call.Request:
        """Encode a plain call; see `caller_request.ServerCodec`."""
        return _encode(request, server, left_s, [])

    def relay(
        self, request: caller_request.CallerRequest, left_s: float
    ) -> upstream_call.Request:
        """Encode for another host; see `caller_request.ServerCodec`."""
        headers = http_message.end_to_end_headers(
            request.head.headers, frozenset({_DEADLINE_HEADER.lower()})
        )
        headers.append((_DEADLINE_HEADER, _milliseconds(left_s)))
        head = request.head._replace(headers=tuple(headers))
        return upstream_call.Request(head, request.body, b"", is_trusted=True)

    def prefill(
        self,
        request: caller_request.CallerRequest,
        server: backend.Backend,
        left_s: float,
    ) -> upstream_call.Request:
        """Encode a prefill; see `caller_request.ServerCodec`."""
        return _encode(request, server, left_s, [(b"Stage", b"prefill")])

    def decode(
        self,
        request: caller_request.CallerRequest,
        server: backend.Backend,
        left_s: float,
        *,
        source: caller_request.KvHandle | None,
        last_event: bytes,
    ) -> upstream_call.Request:
        """Encode a run; see `caller_request.ServerCodec`."""
        headers = []
        if source is not None:
            location = f"{source.address}/{source.handle}".encode()
            headers.append((b"Kv-Source", location))
        if last_event:
            headers.append((b"Last-Event-Id", last_event))
        return _encode(request, server, left_s, headers)

    def free(self, handle: caller_request.KvHandle) -> upstream_call.Request:
        """Encode a request to free KV; see `caller_request.ServerCodec`."""
        target = f"/nutmegscale/kv-handle/{handle.handle}".encode()
        headers = ((b"Host", handle.address.encode()),)
        head = http_message.RequestHead(b"DELETE", target, headers)
        return upstream_call.Request(head, b"", b"")

    def set_stage(
        self, server: backend.Backend, stage: str, *, holder: str, fence: int
    ) -> upstream_call.Request:
        """Encode an order to change stage; see `caller_request.ServerCodec`."""
        order = {
            "op": "stage",
            "stage": stage,
            "holder": holder,
            "fencingToken": fence,
        }
        headers = (
            (b"Host", server.address.encode()),
            (b"Content-Type", b"application/json"),
            (b"Target-Instance", server.id.encode()),
        )
        head = http_message.RequestHead(b"POST", b"/nutmegscale/order", headers)
        return upstream_call.Request(head, msgspec.json.encode(order), b"")

    def read_handle(self, body: bytes) -> str:
        """Decode a prefill's answer; see `caller_request.ServerCodec`."""
        try:
            # The handle is sent in the heads of requests.
            return decoding.token(_prefill_decoder.decode(body).handle)
        except errors.MalformedDataError as exc:
            raise errors.MalformedAnswerError(f"prefill: {exc}") from exc

    def read_head(
        self, head: http_message.ResponseHead
    ) -> caller_request.ResponseInfo:
        """Decode the head of an answer; see `caller_request.ServerCodec`."""
        is_misdirected = head.status == 421
        is_rejected = head.get(b"not-executed") is not None
        encoding = head.get(b"content-encoding") or b"identity"
        is_plain = encoding.lower() == b"identity"
        load, load_error = _parse_load(head.get(_LOAD_HEADER))
        return caller_request.ResponseInfo(
            has_run=not (is_misdirected or is_rejected),
            is_misdirected=is_misdirected,
            is_genuine=head.get(_SIGNATURE_HEADER) is not None and is_plain,
            load=load,
            load_error=load_error,
        )

    def is_leaving(self, head: http_message.ResponseHead) -> bool:
        """Whether a server leaves; see `caller_request.ServerCodec`."""
        return head.get(_LEAVING_HEADER) == b"1"

    def read_pause(self, head: http_message.ResponseHead) -> float:
        """Decode a server's pause; see `caller_request.ServerCodec`."""
        if head.status != _PAUSING_STATUS:
            return 0.0
        try:
            return _read_decimal(head, _PAUSE_HEADER) or 0.0
        except ValueError as exc:
            raise errors.MalformedPauseError(f"pause {exc}") from exc

    def read_limit(self, head: http_message.ResponseHead) -> float | None:
        """Decode a server's limit; see `caller_request.ServerCodec`."""
        try:
            return _read_decimal(head, _LIMIT_HEADER)
        except ValueError as exc:
            raise errors.MalformedLimitError(f"limit {exc}") from exc


def _read_decimal(head: http_message.ResponseHead, name: bytes) -> float | None:
    """Return the number in a header, None if the header is absent.

    Raises:
      ValueError: It isn't one decimal number.
    """
    values = [value for sent, value in head.headers if sent.lower() == name]
    if not values:
        return None
    if len(values) > 1 or not _DECIMAL.fullmatch(values[0]):
        raise ValueError(
            f"{values[0][:_MAX_NAMED_BYTES]!r}, stated {len(values)} times, "
            "expected one decimal number"
        )
    return float(values[0])


def _milliseconds(seconds: float) -> bytes:
    return b"%d" % max(1, int(seconds * 1000))


def _encode(
    request: caller_request.CallerRequest,
    server: backend.Backend,
    left_s: float,
    extra_headers: list[http_message.Header],
) -> upstream_call.Request:
    headers = http_message.end_to_end_headers(
        request.head.headers, ingress.NOT_FORWARDED_HEADERS
    )
    headers.append((_DEADLINE_HEADER, _milliseconds(left_s)))
    headers.append((b"Target-Instance", server.id.encode()))
    headers += extra_headers
    head = request.head._replace(headers=tuple(headers))
    return upstream_call.Request(
        head, request.body, request.id.encode("latin-1")
    )


def _parse_load(
    value: bytes | None,
) -> tuple[caller_request.ServerLoad | None, errors.MalformedLoadError | None]:
    """Decode a stated load: running, waiting, slots and, if stated, pace.

    Further figures are ignored, so that servers may state more later.

    Returns:
      The load, None if it is absent or can't be read, and what is malformed.
    """
    if value is None:
        return None, None
    parts = [part.strip() for part in value.split(b",", _LOAD_FIGURES)]
    try:
        running, waiting, slots = map(decoding.natural, parts[:3])
    except (errors.MalformedDataError, ValueError):
        return None, _malformed_load(value, "expected three natural numbers")
    load = caller_request.ServerLoad(running, waiting, slots)
    if len(parts) < _LOAD_FIGURES:
        return load, None
    pace = _parse_pace(parts[3])
    if pace is None:
        return load, _malformed_load(
            value, f"the pace isn't above 0 and up to {_MAX_PACE_PERCENT}"
        )
    return load._replace(pace=pace, states_pace=True), None


def _parse_pace(text: bytes) -> float | None:
    """Decode a pace in percent; None if it is malformed or out of range."""
    percent = float(text) if _DECIMAL.fullmatch(text) else 0.0
    return percent / 100 if 0.0 < percent <= _MAX_PACE_PERCENT else None


def _malformed_load(value: bytes, why: str) -> errors.MalformedLoadError:
    return errors.MalformedLoadError(
        f"load {value[:_MAX_NAMED_BYTES]!r}: {why}"
    )
