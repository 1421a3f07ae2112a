"""Passes the answer of a run on: the events of a stream, up to its end."""

import hashlib

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import event_stream
from nutmegscale import http_message
from nutmegscale import request_context
from nutmegscale import routing_board
from nutmegscale import stream_origins
from nutmegscale import stream_registry
from nutmegscale import stream_run
from nutmegscale import upstream_call

EVENTS_TYPE = b"text/event-stream"
# Longest body of a run's answer with a status from 300, bytes.
MAX_ERROR_BYTES = 65_536
# Longest answer without events, bytes.
MAX_WHOLE_BYTES = 4 << 20
# Events of a run after which its answer is past its beginning, where a part of
# the prompt may crash the worker.
BEGUN_EVENTS = 4
# Length of the digest by which hosts know the request of a stream again, bytes:
# enough to distinguish those remembered for `stream_origins.RETENTION_S`.
DIGEST_BYTES = 8


class StreamRelay:
    """Passes answers of runs on, and records where their streams began."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        crashes: crash_watch.CrashWatch,
        registry: stream_registry.StreamRegistry,
    ) -> None:
        self._board = board
        self._crashes = crashes
        self._registry = registry

    async def relay(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        call: upstream_call.Call,
        head: http_message.ResponseHead,
        info: caller_request.ResponseInfo,
    ) -> None:
        """Pass the answer of a run on, or the rest of a stream in progress.

        Raises:
          errors.ResumptionError: It isn't the rest of the stream.
          errors.TransportError: The run broke off.
        """
        is_resumed = context.incoming.is_started
        if is_resumed:
            _check_resumption(run, head)
        elif head.status >= 300:
            context.answer(*await self.read_failure(context, call, head))
            return
        if not info.is_genuine:
            raise errors.MalformedAnswerError(
                f"answer with status {head.status} has no valid signature"
            )
        if not is_resumed and not _has_events(head):
            await self._relay_whole(context, call, head)
            return
        if not is_resumed:
            run.content_type = _content_type(head)
            context.start(head)
        await self._relay_events(
            context, run, worker, call, is_resumed=is_resumed
        )
        self._end_complete(context, run, head)

    async def read_failure(
        self,
        context: request_context.RequestContext,
        call: upstream_call.Call,
        head: http_message.ResponseHead,
    ) -> tuple[http_message.ResponseHead, bytes]:
        """Return a complete answer with a status from 300.

        Raises:
          errors.TransportError: It broke off or is too long.
        """
        return head, await call.body(context.left_s, MAX_ERROR_BYTES)

    async def _relay_whole(
        self,
        context: request_context.RequestContext,
        call: upstream_call.Call,
        head: http_message.ResponseHead,
    ) -> None:
        """Pass on an answer without events once it is complete."""
        body = await call.body(context.left_s, MAX_WHOLE_BYTES)
        context.record_begun(self._crashes)
        self._crashes.record_success(context.content)
        context.answer(head, body)

    async def _relay_events(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
        call: upstream_call.Call,
        *,
        is_resumed: bool,
    ) -> None:
        """Forward the events of a run as they arrive, up to its end.

        Raises:
          errors.ResumptionError: They aren't the rest of a stream that was
            resumed.
          errors.TransportError: The run broke off.
        """
        incoming = context.incoming
        splitter = event_stream.EventSplitter()
        while data := await call.chunk(max(0.0, context.left_s)):
            complete = splitter.feed(data)
            if not complete:
                continue
            if is_resumed and run.events:
                splitter.check_continues(complete, run.last_event)
            had_begun = run.run_events >= BEGUN_EVENTS
            if not run.run_events:
                self._record_begin(context, run, worker)
            run.record_events(self._board.now(), splitter.count(complete))
            run.last_event = splitter.last_id or run.last_event
            if run.run_events >= BEGUN_EVENTS and not had_begun:
                context.record_begun(self._crashes)
            self._board.loads.record_heard(self._board.now(), worker)
            incoming.write(complete)
            await incoming.drained(max(0.0, context.left_s))
        if splitter.rest:
            raise errors.TransportError("the stream ended within an event")
        if is_resumed and not run.run_events:
            # Nothing shows that the event forwarded last was the last one.
            raise errors.ResumptionError("the answer has no event")

    def _end_complete(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        head: http_message.ResponseHead,
    ) -> None:
        """End an answer whose last event was forwarded."""
        incoming = context.incoming
        run.ended_at = self._board.now()
        run.is_complete = True
        if run.run_events < BEGUN_EVENTS:
            context.record_begun(self._crashes)
        self._crashes.record_success(context.content)
        incoming.finish()
        self._board.metrics.record_stream(
            run.granted_at - incoming.arrived,
            run.first_event_at - incoming.arrived,
        )
        context.record_answer(
            head.status,
            events=run.events,
            prompt_tokens=context.request.prompt_tokens,
            waited_ms=_ms(context.waited_s),
            slot_ms=_ms(run.granted_at - incoming.arrived),
            prefill=run.prefill_worker,
            prefill_ms=_ms(run.prefill_s),
            first_ms=_ms(run.first_event_at - incoming.arrived),
            longest_gap_ms=_ms(run.longest_gap_s),
        )

    def _record_begin(
        self,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        worker: backend.Backend,
    ) -> None:
        """Record that the first events of a run are about to be forwarded."""
        request = context.request
        is_first = not run.events and not request.last_event
        if is_first and worker.version:
            run.version = worker.version
        if is_first and worker.version and context.route.is_resumable:
            origin = stream_origins.Origin(
                request.id, context.service, worker.version
            )
            self._registry.record(origin_digest(request), origin)
        last_event = run.last_event or context.request.last_event
        context.log(
            "stream_begun",
            decode=worker.id,
            software=worker.version,
            after=last_event.decode("latin-1"),
        )


def origin_digest(request: caller_request.CallerRequest) -> bytes:
    """Return a digest by which hosts know the request of a stream again.

    It differs between customers, so that none resumes a stream of another.
    """
    digest = request.content_digest()
    if request.customer:
        owned = digest + request.customer.encode()
        digest = hashlib.blake2b(owned, digest_size=DIGEST_BYTES).digest()
    return digest[:DIGEST_BYTES]


def _check_resumption(
    run: stream_run.StreamRun, head: http_message.ResponseHead
) -> None:
    """Check that the rest of a stream may follow a head.

    Raises:
      errors.ResumptionError: It may not.
    """
    if head.status != 200:
        raise errors.ResumptionError(
            f"status {head.status} for a stream in progress, expected 200"
        )
    content_type = _content_type(head)
    if content_type != run.content_type:
        raise errors.ResumptionError(
            f"content type {content_type!r} after {run.content_type!r}"
        )


def _has_events(head: http_message.ResponseHead) -> bool:
    """Whether the body of an answer is a series of events.

    A body without a stated type is one, unless its length is known beforehand.
    """
    content_type = _content_type(head)
    if content_type:
        return content_type == EVENTS_TYPE
    return head.get(b"content-length") is None


def _content_type(head: http_message.ResponseHead) -> bytes:
    """Return the content type of an answer without its parameters."""
    stated = head.get(b"content-type") or b""
    return stated.partition(b";")[0].strip().lower()


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
