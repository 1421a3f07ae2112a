"""Message types exchanged between entry hosts and their numbers on the wire.

Messages are encoded as arrays, so the order of the fields is part of the wire
format.
"""

from typing import Any
from typing import NamedTuple

from nutmegscale import adaptive
from nutmegscale import membership
from nutmegscale import placement
from nutmegscale import quarantine
from nutmegscale import request_costs


class ConfigRequest(NamedTuple):
    """Request for the configuration in force.

    Attributes:
      known_revision: Revision that the sender already has.
      takes_parts: Whether the sender fetches a long content in parts; see
        `RoutingRequest`.
    """

    known_revision: int
    takes_parts: bool = False


class ConfigReply(NamedTuple):
    """Configuration in force.

    Attributes:
      revision: Revision of the configuration.
      digest: Digest of its content.
      patches: Revision and content of each patch after the known revision,
        oldest first.
      content: Full content if the patches don't reach back to the known
        revision; empty if they do, or if the revision isn't newer.
      is_in_parts: Whether the content must be fetched in parts.
    """

    revision: int
    digest: str
    patches: tuple[tuple[int, bytes], ...]
    content: bytes
    is_in_parts: bool = False


class ClaimRequest(NamedTuple):
    """Claim of an exchange by a host, sent to a home host of the exchange.

    Attributes:
      exchange: Id of the exchange.
      host: Host that wants to serve it.
      attempt: Unique number of this attempt.
      replaces: Host that the claimant takes over from, or "".
      replaces_attempt: Attempt that the claimant takes over from, or 0.
      forward: Whether the receiver must also ask the second home host.
    """

    exchange: str
    host: str
    attempt: int
    replaces: str
    replaces_attempt: int
    forward: bool


class ClaimReply(NamedTuple):
    """Host that serves an exchange after a claim.

    Attributes:
      host: Serving host; the claimant itself if the claim was granted.
      attempt: Number of the attempt in force.
      finished: Whether the answer is complete.
    """

    host: str
    attempt: int
    finished: bool


class ClaimEnd(NamedTuple):
    """Notice that an exchange ended at a host.

    Attributes:
      exchange: Id of the exchange.
      host: Host that served it.
      attempt: Number of the attempt that ended.
      answered: Whether the host caches a complete answer for repeated
        requests.
    """

    exchange: str
    host: str
    attempt: int
    answered: bool


class HandoverRequest(NamedTuple):
    """Request by another host to continue an exchange for its caller.

    Attributes:
      exchange: Id of the exchange.
      attempt: Number of the attempt that the receiver serves.
    """

    exchange: str
    attempt: int


class HandoverReply(NamedTuple):
    """State of an exchange that is handed over.

    Attributes:
      state: "finished", "running", "wait" if the host has neither an answer nor
        a run yet, or "unknown" if it doesn't serve the exchange.
      text: Complete answer if finished.
      tokens: Number of tokens in the answer if finished.
      run_id: If running, the run to read, starting with its first token.
      decode: Decode worker of the run.
      decode_url: Base URL of that worker.
    """

    state: str
    text: str
    tokens: int
    run_id: str
    decode: str
    decode_url: str


class PlanRequest(NamedTuple):
    """Request for a placement, sent to the planner of a cell."""

    cell: str
    ask: placement.Request


class PlanReply(NamedTuple):
    """Grant of a placement, or a refusal with its reason.

    Attributes:
      grant: The placement, or None if it was refused.
      reason: Reason of the refusal.
      retry_after_s: Time after which a refused caller should retry, seconds.
    """

    grant: placement.Grant | None
    reason: str
    retry_after_s: float


class RunStarted(NamedTuple):
    """Notice that the decode run of an exchange started.

    See `placement.Planner`.

    Attributes:
      cell: Cell of the exchange.
      exchange: Id of the exchange.
      prefill_s: Time that the prefill took, seconds.
      transfer_s: Time that the KV cache transfer took, seconds.
    """

    cell: str
    exchange: str
    prefill_s: float
    transfer_s: float


class PrefillOverdue(NamedTuple):
    """Notice that a prefill isn't done at its predicted time."""

    cell: str
    exchange: str


class RunCleared(NamedTuple):
    """Notice that a run of suspected content passed the crash point."""

    cell: str
    exchange: str


class WorkerUnreachable(NamedTuple):
    """Notice that a worker didn't answer a request of the sender."""

    cell: str
    worker: str


class RunReleased(NamedTuple):
    """Notice that an exchange no longer needs its reservation.

    Attributes:
      cell: Cell of the exchange.
      exchange: Id of the exchange.
      tokens: Number of tokens in the answer.
    """

    cell: str
    exchange: str
    tokens: int


class ClaimLookup(NamedTuple):
    """Query for the host that serves an exchange, sent to a home host."""

    exchange: str


class LiveRunsRequest(NamedTuple):
    """Query for those of the given runs that the receiver still serves."""

    run_ids: tuple[str, ...]


class LiveRunsReply(NamedTuple):
    """Runs of a `LiveRunsRequest` that the replying host still serves."""

    run_ids: tuple[str, ...]


class AttemptRequest(NamedTuple):
    """Query for the state of a host's attempt at a non-idempotent call."""

    attempt: str


class AttemptReply(NamedTuple):
    """State of an attempt: "running", "abandoned" or "unknown"."""

    state: str


class Suspicion(NamedTuple):
    """Notice that a worker crashed while it ran this content.

    Attributes:
      fingerprint: Digest of the content.
      worker: Worker that crashed.
      crash: Unique id of the crash.
      run_age_s: Time since the run began, seconds; None if unknown.
      crash_age_s: Time since the worker crashed, seconds.
      rounds: Number of crashes that count against the content by the sender;
        0 if unknown.
      parts: Digests of the parts of its prompt that count, too.
      part_rounds: Number of crashes that count against each part.
    """

    fingerprint: bytes
    worker: str
    crash: str
    run_age_s: float | None = None
    crash_age_s: float = 0.0
    rounds: int = 0
    parts: tuple[bytes, ...] = ()
    part_rounds: tuple[int, ...] = ()


class SuspicionCleared(NamedTuple):
    """Notice that a run of suspected content passed the crash point.

    Attributes:
      fingerprints: Digests of the content, or of parts of its prompt.
    """

    fingerprints: tuple[bytes, ...]


class SuspectTried(NamedTuple):
    """Notice that a request tries content whose quarantine has ended.

    Attributes:
      fingerprints: Digests of the content, or of parts of its prompt.
    """

    fingerprints: tuple[bytes, ...]


class SuspectsRequest(NamedTuple):
    """Query for what the receiver knows of suspects, sent by a new host."""


class SuspectsReply(NamedTuple):
    """What the sender knows of suspects; also sent unasked.

    Attributes:
      known: Evidence about each content, the newest last.
    """

    known: tuple[quarantine.Evidence, ...]


class WorkerLeaving(NamedTuple):
    """Notice that a worker reported whether it is leaving."""

    worker: str
    leaving: bool


class SlotRequest(NamedTuple):
    """Request for a slot for a stream, sent to the planner of its service.

    All times are in seconds, relative to the time of sending.

    Attributes:
      service: Service of the stream.
      exchange: Id of the stream.
      prompt_tokens: Length of the prompt.
      expected_tokens: Expected length of the answer.
      priority: Priority of the stream.
      waited_s: Time that the stream has waited already.
      in_time_s: Time left until the first token is late.
      patience_s: Time left until the caller gives up.
      avoid: Workers that must not be used.
      reads_itself: Whether the decode worker prefills locally.
      content: Digest that identifies a refused caller when it retries.
      silent: Hosts that don't answer the sender and would plan instead of the
        receiver.
      version: Software version that the decode worker must have; "" for any.
      customer: Name of the stream's customer; "" if it has none, and from hosts
        of earlier builds.
    """

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
    customer: str = ""


class SlotReply(NamedTuple):
    """Decision of the planner on a stream, sent at once or after a wait.

    Attributes:
      exchange: Id of the stream.
      state: "granted", "refused", "queued", or "moved" if another host plans
        for the service.
      prefill: Prefill worker of a grant; "" if the decode worker prefills
        locally.
      decode: Decode worker of a grant.
      prefill_s: Expected time until the prefill is done, seconds.
      retry_after_s: Time after which a refused caller should retry, seconds.
      reason: Reason of a refusal.
      planner: Host that plans for the service now, if the state is "moved".
      permitted: Workers of a grant that state a limit and may be sent one
        request each.
    """

    exchange: str
    state: str
    prefill: str = ""
    decode: str = ""
    prefill_s: float = 0.0
    retry_after_s: float = 0.0
    reason: str = ""
    planner: str = ""
    permitted: tuple[str, ...] = ()


class SlotUpdate(NamedTuple):
    """Update on the state of a grant, sent to the planner.

    Attributes:
      service: Service of the stream.
      exchange: Id of the stream.
      kind: "prefilled" if the prefill is done, "ended" if the slot is free,
        "lost" if a worker of the grant is unreachable, "rejected" if the decode
        worker had no memory for the run, "cache_rejected" if it couldn't use
        the KV cache.
      worker: Worker that the update is about.
      tokens: Tokens that the caller of a completed run expected, or tokens of
        the prompt of a rejected one, else 0.
      events: Number of events in the answer.
      took_s: Time that the prefill or the run took, seconds.
      prefill: Prefill worker whose KV cache the complete run has used, or the
        rejected one couldn't use; "" if there was none.
    """

    service: str
    exchange: str
    kind: str
    worker: str
    tokens: int
    events: int
    took_s: float
    prefill: str = ""


class SlotList(NamedTuple):
    """List of the slots that a host holds, sent to the service's planner.

    Attributes:
      service: Service that the slots belong to.
      held: Exchange, decode worker, prompt tokens, expected tokens and age
        in seconds of each held slot.
      costs: What the host learned of the service; None unless it was asked
        for its list.
    """

    service: str
    held: tuple[tuple[str, str, int, int, float], ...]
    costs: request_costs.CostSummary | None = None


class SlotListRequest(NamedTuple):
    """Query for the slots held by a host, sent by a service's new planner."""

    service: str


# Offset of a request for a whole configuration, as earlier builds make it.
WHOLE = -1


class RoutingRequest(NamedTuple):
    """Request for the routing configuration if newer than a version.

    Attributes:
      known_version: Version in force at the sender.
      digest: Digest of the packed configuration that the sender has parts of;
        may be empty. See `config_transfer`.
      offset: Position of the part that it asks for; `WHOLE` for the whole
        configuration.
    """

    known_version: int
    digest: bytes = b""
    offset: int = WHOLE


class RoutingReply(NamedTuple):
    """Routing configuration in force, or a part of it.

    Attributes:
      version: Version of the configuration.
      content: A part of the packed configuration, or the whole one as it is if
        `size` is 0; empty if it isn't newer than the known version.
      digest: Digest of the packed configuration.
      size: Size of the packed configuration, bytes.
      offset: Position of the part.
    """

    version: int
    content: bytes
    digest: bytes = b""
    size: int = 0
    offset: int = 0


class BackendLeft(NamedTuple):
    """Notice that the store reported a backend server as leaving or removed.

    Attributes:
      backend: Id of the backend server.
      incarnation: Incarnation of the backend server.
    """

    backend: str
    incarnation: int


class StreamBegan(NamedTuple):
    """Notice of where a resumable stream began.

    Attributes:
      content: Digest of its request.
      stream: Name of the caller's attempt that began it.
      service: Service of the worker.
      version: Version of the worker's software.
    """

    content: bytes
    stream: str
    service: str
    version: str


class StreamQuery(NamedTuple):
    """Query for where a stream began, replied to by a `StreamReply`.

    Attributes:
      content: Digest of its request.
      stream: Name of the caller's attempt that began it; "" for all streams of
        that digest.
    """

    content: bytes
    stream: str


class StreamReply(NamedTuple):
    """Where streams began, as far as the sender knows.

    Attributes:
      origins: Name of the attempt, service and version of each.
    """

    origins: tuple[tuple[str, str, str], ...] = ()


class PermitRequest(NamedTuple):
    """Request for permits to send requests to a server that states a limit.

    Attributes:
      server: Key of the server.
      per_s: Its limit as the sender knows it, requests a second.
      wanted: Number of permits that the sender can use at once.
    """

    server: str
    per_s: float
    wanted: int


class PermitReply(NamedTuple):
    """Permits to send requests to a server, or when to ask for them.

    Attributes:
      server: Key of the server.
      permits: Number of requests that the receiver may send.
      wait_s: Time after which the receiver may ask again, seconds.
    """

    server: str
    permits: int
    wait_s: float


class LimitUpdate(NamedTuple):
    """Notice of the limit that an answer of a server stated.

    Attributes:
      server: Key of the server.
      per_s: Requests a second that it takes; None if it stated no limit.
    """

    server: str
    per_s: float | None


class ServerLeaving(NamedTuple):
    """Notice that an answer of a server said that it leaves.

    Attributes:
      server: Key of the server.
    """

    server: str


class ReachReport(NamedTuple):
    """Notice whether the sender reaches any server.

    Attributes:
      is_cut_off: Whether it reaches none.
    """

    is_cut_off: bool


class Ping(NamedTuple):
    """Query whether the receiver answers, replied to by a `Pong`.

    Attributes:
      is_silent: Whether the sender has waited in vain for a message of the
        receiver.
    """

    is_silent: bool


class Pong(NamedTuple):
    """Reply to a `Ping`."""


class UsageRequest(NamedTuple):
    """Request for the cost of a caller's request, within a usage limit.

    Replied to by a `UsageReply`.

    Attributes:
      number: Number of the request at its sender.
      customer: Name of the customer.
      cost: Cost of the caller's request, units; an integer, as it is shorter.
      per_s: The customer's limit as the sender knows it, units a second.
      burst: Its burst as the sender knows it, units.
      is_last: Whether the sender asks no other host.
    """

    number: int
    customer: str
    cost: int
    per_s: float
    burst: float
    is_last: bool


class UsageReply(NamedTuple):
    """Whether a caller's request is within a usage limit.

    Attributes:
      number: Number of the `UsageRequest`.
      customer: Name of the customer.
      cost: Cost that was asked for, units.
      state: "granted", "short" if the sender's share has too little, or
        "not_held" if it holds no share.
      wait_ms: When its share has room, milliseconds from now.
      crowd_ms: Time to add since other hosts were told the same, milliseconds.
    """

    number: int
    customer: str
    cost: int
    state: str
    wait_ms: int = 0
    crowd_ms: int = 0


class UsageRefund(NamedTuple):
    """Notice that a caller's request that was granted didn't run.

    Attributes:
      customer: Name of the customer.
      cost: Its cost, units.
    """

    customer: str
    cost: int


class ServerEstimates(NamedTuple):
    """What the sender knows of servers that report their pace.

    Attributes:
      servers: Estimate of each.
    """

    servers: tuple[adaptive.SharedEstimate, ...] = ()


# The position in this tuple, from 1, is the type number on the wire.
_MESSAGE_TYPES: tuple[Any, ...] = (
    membership.Probe,
    membership.Ack,
    ConfigRequest,
    ConfigReply,
    ClaimRequest,
    ClaimReply,
    ClaimEnd,
    HandoverRequest,
    HandoverReply,
    PlanRequest,
    PlanReply,
    PrefillOverdue,
    RunStarted,
    RunReleased,
    RunCleared,
    WorkerUnreachable,
    ClaimLookup,
    LiveRunsRequest,
    LiveRunsReply,
    AttemptRequest,
    AttemptReply,
    Suspicion,
    SuspicionCleared,
    WorkerLeaving,
    SlotRequest,
    SlotReply,
    SlotUpdate,
    SlotList,
    SlotListRequest,
    RoutingRequest,
    RoutingReply,
    BackendLeft,
    Ping,
    Pong,
    SuspectsRequest,
    SuspectsReply,
    SuspectTried,
    PermitRequest,
    PermitReply,
    LimitUpdate,
    StreamBegan,
    StreamQuery,
    StreamReply,
    ServerLeaving,
    ReachReport,
    UsageRequest,
    UsageReply,
    UsageRefund,
    ServerEstimates,
)
TYPE_BY_NUMBER: dict[int, Any] = dict(enumerate(_MESSAGE_TYPES, start=1))
NUMBER_BY_TYPE: dict[Any, int] = {
    kind: number for number, kind in TYPE_BY_NUMBER.items()
}
