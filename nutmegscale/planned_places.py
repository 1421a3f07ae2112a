"""Places of streams at engines: decode slots that planners grant."""

import hashlib
import random

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import prefill_runner
from nutmegscale import request_context
from nutmegscale import routing_board
from nutmegscale import server_choice
from nutmegscale import slot_controller
from nutmegscale import stream_run

# A caller abandons a stream that has sent no event after two seconds or four
# times the route's objective, whichever is longer.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVE_FACTOR = 4.0
# Part of that time reserved for the first event to reach the caller, seconds.
PATIENCE_MARGIN_S = 0.2
# Length of a content digest, bytes: enough to distinguish the refused requests
# that a planner remembers for `refused_requests.RETENTION_S`.
DIGEST_BYTES = 8


class PlannedPlace:
    """A granted decode slot, and the prefill worker of the grant."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        slots: slot_controller.SlotController,
        prefills: prefill_runner.PrefillRunner,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        grant: messages.SlotReply,
    ) -> None:
        self._board = board
        self._slots = slots
        self._prefills = prefills
        self._context = context
        self._run = run
        self._grant = grant
        self._decode = board.backends.get(grant.decode)

    @property
    def server_id(self) -> str:
        """Id of the decode worker; see `stream_places.Place`."""
        return self._grant.decode

    @property
    def server(self) -> backend.Backend | None:
        """The decode worker; see `stream_places.Place`."""
        return self._decode

    @property
    def is_permitted(self) -> bool:
        """Whether the planner used a permit; see `stream_places.Place`."""
        return self._grant.decode in self._grant.permitted

    def reuse_source(self) -> caller_request.KvHandle | None:
        """Return the KV cache of an earlier grant if it can be used.

        It can't if it has expired or if the decode worker has another software
        version than the worker that wrote it.

        If it can, the planner is informed that the prefill worker of the grant
        isn't needed.
        """
        source = self._run.take_source(self._board.now())
        if source is None or self._decode is None:
            return None
        if source.server.version != self._decode.version:
            periodic.spawn(self._prefills.free(source))
            return None
        if self._grant.prefill:
            self._report("prefilled", worker=self._grant.prefill)
        return source

    async def prefill(self) -> caller_request.KvHandle | None:
        """Prefill at the worker of the grant; see `stream_places.Place`."""
        worker = self._board.backends.get(self._grant.prefill)
        if worker is None or not self._may_prefill(worker):
            return None
        return await self._prefills.prefill(
            self._context,
            self._run,
            worker,
            forecast_s=self._grant.prefill_s,
            is_permitted=worker.id in self._grant.permitted,
        )

    def _may_prefill(self, worker: backend.Backend) -> bool:
        if self._decode is None or worker.version != self._decode.version:
            return False
        if worker.is_draining:
            return False
        # Both a further prefill and the run after it count as arrivals.
        sends = self._context.sends
        return not sends.has_prefilled or sends.reserve(2)

    def keep_source(self, source: caller_request.KvHandle | None) -> None:
        """Keep or free a KV cache; see `stream_places.Place`."""
        is_kept = self._run.keep_source(source, self._board.now())
        if source is not None and not self._run.is_source_used and not is_kept:
            periodic.spawn(self._prefills.free(source))

    def has_other(self) -> bool:
        """False: a planner may queue it; see `stream_places.Place`."""
        return False

    def record_rejection(
        self, *, source: caller_request.KvHandle | None
    ) -> None:
        """Record a rejection of the worker; see `stream_places.Place`."""
        run = self._run
        is_full = run.record_rejection(
            self._board.now(), self.server_id, had_source=source is not None
        )
        # With a free slot it had no memory, or couldn't use the KV cache.
        is_suspect = source is not None and run.had_free_slot
        if is_full or is_suspect:
            self._report(
                "rejected" if is_full else "cache_rejected",
                worker=self.server_id,
                tokens=self._context.request.prompt_tokens,
                prefill=source.server.id if source and is_suspect else "",
            )

    def record_lost(self) -> None:
        """Inform the planner of a lost worker; see `stream_places.Place`."""
        self._report("lost", worker=self.server_id)

    def release(self) -> None:
        """Return the slot; see `stream_places.Place`."""
        run = self._run
        self._slots.report(
            self._context.service,
            run.exchange,
            "ended",
            worker=self.server_id,
            tokens=run.tokens_if_complete,
            events=run.events,
            took_s=run.took_s,
            prefill=run.cache_worker if run.is_complete else "",
        )

    def _report(
        self, kind: str, *, worker: str, tokens: int = 0, prefill: str = ""
    ) -> None:
        self._slots.report(
            self._context.service,
            self._run.exchange,
            kind,
            worker=worker,
            tokens=tokens,
            prefill=prefill,
        )


class PlannedPlaces:
    """Requests decode slots for the streams of services with engines."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        slots: slot_controller.SlotController,
        prefills: prefill_runner.PrefillRunner,
        *,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._slots = slots
        self._prefills = prefills
        self._rng = rng

    async def find(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> PlannedPlace | server_choice.NoServer:
        """Request a decode slot; see `stream_places.StreamPlaces`."""
        paused_s = self._board.paused_for_s(
            context.service,
            priority=context.rank,
            rng=self._rng,
            stage="decode",
        )
        if paused_s:
            return server_choice.NoServer("paused", paused_s)
        grant = await self._slots.acquire(self._demand(context, run))
        if grant.state != "granted":
            return server_choice.NoServer(grant.reason, grant.retry_after_s)
        return PlannedPlace(
            self._board, self._slots, self._prefills, context, run, grant
        )

    def _demand(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> slot_controller.SlotDemand:
        request, route = context.request, context.route
        arrived = context.incoming.arrived
        patience_s = max(
            MIN_PATIENCE_S, PATIENCE_OBJECTIVE_FACTOR * route.objective_s
        )
        run.slot_requests += 1
        run.exchange = f"{request.id}.{run.slot_requests}"
        return slot_controller.SlotDemand(
            service=context.service,
            exchange=run.exchange,
            prompt_tokens=request.prompt_tokens,
            expected_tokens=request.expected_tokens,
            priority=context.rank,
            waited_s=context.waited_s,
            in_time_by=arrived - context.waited_s + route.objective_s,
            give_up_at=min(
                arrived + patience_s - PATIENCE_MARGIN_S, context.deadline
            ),
            avoid=(*run.avoid, *self._paused_workers(context.service)),
            local_prefill=run.local_prefill,
            content=_content_digest(request),
            version=run.version,
            customer=context.customer.name if context.customer else "",
        )

    def _paused_workers(self, service: str) -> list[str]:
        """Return the ids of the workers that want no request of this host."""
        now, notices = self._board.now(), self._board.notices
        return [
            worker.id
            for worker in self._board.backends.usable(service)
            if notices.is_paused(now, worker.key)
        ]


def _content_digest(request: caller_request.CallerRequest) -> str:
    """Return a digest that is equal for all attempts of a caller.

    Returns:
      The digest in hex; "" if the caller states no parts of its prompt.
    """
    if not request.prompt_parts:
        return ""
    digest = hashlib.blake2b(
        b",".join(request.prompt_parts), digest_size=DIGEST_BYTES
    )
    digest.update(b"%d,%d" % (request.prompt_tokens, request.max_tokens))
    digest.update(request.head.target)
    return digest.hexdigest()
