"""Messages between entry hosts, and their numbers on the wire."""

from typing import Any
from typing import NamedTuple

from nutmegscale import membership
from nutmegscale import placement


class ConfigRequest(NamedTuple):
    """Question for the configuration in force."""

    known_revision: int


class ConfigReply(NamedTuple):
    """Configuration in force.

    Attributes:
      revision: Its revision.
      digest: Digest of its content.
      patches: Patches from the known revision on, oldest first.
      content: Whole content when patches don't reach back; empty when they
        do, or when the revision isn't newer.
    """

    revision: int
    digest: str
    patches: tuple[tuple[int, bytes], ...]
    content: bytes


class ClaimRequest(NamedTuple):
    """Claim of an exchange by a host, sent to a home of its id.

    Attributes:
      exchange: Name of the exchange.
      host: Host that wants to serve it.
      attempt: Unique number of this try.
      replaces: Host and attempt that it takes over from, or "" and 0.
      replaces_attempt: See `replaces`.
      forward: Whether the receiver must ask the second home.
    """

    exchange: str
    host: str
    attempt: int
    replaces: str
    replaces_attempt: int
    forward: bool


class ClaimReply(NamedTuple):
    """Who serves an exchange after a claim.

    Attributes:
      host: The claimant itself when the claim was granted.
      attempt: Number of the try that stands.
      finished: Whether the answer is whole.
    """

    host: str
    attempt: int
    finished: bool


class ClaimEnd(NamedTuple):
    """An exchange ended at a host.

    Attributes:
      answered: Whether a whole answer is kept there for repeats.
    """

    exchange: str
    host: str
    attempt: int
    answered: bool


class HandoverRequest(NamedTuple):
    """Wish of another host to go on with an exchange, for its caller."""

    exchange: str
    attempt: int


class HandoverReply(NamedTuple):
    """State of an exchange that is handed over.

    Attributes:
      state: "finished", "running", "wait" or "unknown".
      text: Whole answer when finished.
      tokens: Number of tokens of the answer when finished.
      run_id: Run to read from the first token on, when running.
      decode: Worker of the run.
      decode_url: Its base address.
    """

    state: str
    text: str
    tokens: int
    run_id: str
    decode: str
    decode_url: str


class PlanRequest(NamedTuple):
    """Request for a placement, to the planner of a cell."""

    cell: str
    ask: placement.Ask


class PlanReply(NamedTuple):
    """A grant, or a refusal with its reason."""

    grant: placement.Grant | None
    reason: str
    retry_after_s: float


class RunStarted(NamedTuple):
    """The decode run of an exchange started; see `placement.Planner`."""

    cell: str
    exchange: str
    prefill_s: float
    transfer_s: float


class PrefillOverdue(NamedTuple):
    """A prefill isn't done at its predicted time."""

    cell: str
    exchange: str


class RunCleared(NamedTuple):
    """A run of suspected content went past the point of its crash."""

    cell: str
    exchange: str


class WorkerUnreachable(NamedTuple):
    """A worker gave no answer to a request of the sender."""

    cell: str
    worker: str


class RunReleased(NamedTuple):
    """An exchange needs its reservation no longer."""

    cell: str
    exchange: str
    tokens: int


class ClaimLookup(NamedTuple):
    """Question who serves an exchange, to one of its homes."""

    exchange: str


class LiveRunsRequest(NamedTuple):
    """Question which of these runs their host still serves."""

    run_ids: tuple[str, ...]


class LiveRunsReply(NamedTuple):
    """The runs of a question that are served."""

    run_ids: tuple[str, ...]


class AttemptRequest(NamedTuple):
    """Question what became of a host's attempt at a non-idempotent call."""

    attempt: str


class AttemptReply(NamedTuple):
    """State of an attempt: "running", "abandoned" or "unknown"."""

    state: str


class Suspicion(NamedTuple):
    """A worker crashed while it ran this content.

    Attributes:
      fingerprint: Digest of the prompt.
      worker: Worker that crashed.
      crash: Unique name of the crash.
    """

    fingerprint: bytes
    worker: str
    crash: str


class SuspicionCleared(NamedTuple):
    """A suspected content ran past the point of its crash."""

    fingerprint: bytes


class WorkerLeaving(NamedTuple):
    """A worker said that it's leaving, or that it no longer is."""

    worker: str
    leaving: bool


class SlotRequest(NamedTuple):
    """A stream that wants a slot, sent to the planner of its service.

    Times are spans from now, seconds. `content` is a digest by which a caller
    that was refused is known when it comes back.
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


class SlotReply(NamedTuple):
    """What the planner decided of a stream, now or after a wait.

    Attributes:
      exchange: The stream.
      state: "granted", "refused", "queued", or "moved" if another host plans
        for the service.
      planner: The other host, where it moved.
      prefill: Prefill worker of a grant; "" where decode reads the prompt.
      decode: Decode worker of a grant.
      prefill_s: Time until the prompt is expected to be read.
      retry_after_s: When a refused caller shall come back.
      reason: Why it is refused.
    """

    exchange: str
    state: str
    prefill: str = ""
    decode: str = ""
    prefill_s: float = 0.0
    retry_after_s: float = 0.0
    reason: str = ""
    planner: str = ""


class SlotUpdate(NamedTuple):
    """What became of a grant.

    Attributes:
      service: Service of the stream.
      exchange: The stream.
      kind: "prefilled" when the prompt was read, "ended" when the slot is
        free, "lost" when a worker of the grant can't be reached.
      worker: The worker that it is about.
      tokens: Tokens that the caller of a whole run expected, else 0.
      events: Events of the answer.
      took_s: Time that the prefill or the run took, seconds.
    """

    service: str
    exchange: str
    kind: str
    worker: str
    tokens: int
    events: int
    took_s: float


class SlotList(NamedTuple):
    """Slots that a host holds, sent to the planner of their service.

    Attributes:
      service: The service.
      held: Exchange, decode worker, prompt tokens, expected tokens and age
        in seconds of each one.
    """

    service: str
    held: tuple[tuple[str, str, int, int, float], ...]


class SlotListRequest(NamedTuple):
    """A host that begins to plan for a service asks what the others hold."""

    service: str


class RoutingRequest(NamedTuple):
    """Question for the routing configuration, if later than a version."""

    known_version: int


class RoutingReply(NamedTuple):
    """Routing configuration in force as it was read; may be empty."""

    version: int
    content: bytes


class BackendLeft(NamedTuple):
    """A backend server that is leaving or gone, as the store told a host."""

    backend: str
    incarnation: int


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
)
TYPE_BY_NUMBER: dict[int, Any] = dict(enumerate(_MESSAGE_TYPES, start=1))
NUMBER_BY_TYPE: dict[Any, int] = {
    kind: number for number, kind in TYPE_BY_NUMBER.items()
}
