"""What a host asks of a planner, and what it is told."""

from typing import Literal
from typing import NamedTuple
from typing import Protocol

from result import Result

from nutmegscale import config
from nutmegscale import worker


class Request(NamedTuple):
    """A request to be placed.

    Attributes:
      exchange: Name of the exchange.
      caller: Caller of the request.
      weight: Share weight of the caller.
      priority: 0 is the most urgent, 9 the least.
      prompt_tokens: Length of the prompt.
      blocks: Digests of its leading blocks.
      max_tokens: Upper bound on the length of the answer.
      first_token_s: Target for the first token, from arrival.
      token_gap_s: Target for the time between tokens.
      waited_s: Time since arrival.
      accepted: Whether an earlier plan of it was granted.
      suspect: Whether it ran on a worker that crashed.
      avoid: Workers that failed it.
    """

    exchange: str
    caller: str
    weight: float
    priority: int
    prompt_tokens: int
    blocks: tuple[bytes, ...]
    max_tokens: int
    first_token_s: float
    token_gap_s: float
    waited_s: float = 0.0
    accepted: bool = False
    suspect: bool = False
    avoid: tuple[str, ...] = ()


class Grant(NamedTuple):
    """Where and when a request runs.

    Attributes:
      prefill: Name of the prefill worker.
      prefill_url: Its base address.
      decode: Name of the decode worker; its slot is reserved.
      decode_url: Its base address.
      start_in_s: Time until the prefill should start.
      prefill_s: Predicted time of the prefill.
      transfer_s: Predicted time of the transfer.
      first_token_in_s: Predicted time until the first token.
    """

    prefill: str
    prefill_url: str
    decode: str
    decode_url: str
    start_in_s: float
    prefill_s: float
    transfer_s: float
    first_token_in_s: float


Reason = Literal[
    "first_token_too_late",
    "over_share",
    "no_decode_worker",
    "no_prefill_worker",
    "no_worker",
]


class Refusal(NamedTuple):
    """Why a request can't be placed, and when to come back."""

    reason: Reason
    retry_after_s: float


PlanResult = Result[Grant, Refusal]


class Planner(Protocol):
    """Placement policy over the workers of one cell; pure."""

    def set_workers(
        self, workers: list[worker.Worker], engines: dict[str, config.Engine]
    ) -> None:
        """Replace the workers; `engines` are cost profiles by pool."""
        ...

    def plan(self, now: float, request: Request) -> PlanResult:
        """Place a request and reserve what it needs."""
        ...

    def record_late_prefill(self, now: float, exchange: str) -> None:
        """Note that a prefill isn't done at its predicted time."""
        ...

    def record_start(
        self, now: float, exchange: str, prefill_s: float, transfer_s: float
    ) -> None:
        """Note that a decode run started, and how long its parts took.

        Args:
          now: Monotonic time in seconds.
          exchange: Exchange of the run.
          prefill_s: Time from the order of the prefill to its result.
          transfer_s: Time from the result to the start of the run.
        """
        ...

    def release(self, now: float, exchange: str, tokens: int) -> None:
        """Free what an exchange holds; `tokens` is what it generated."""
        ...

    def clear_suspect(self, now: float, exchange: str) -> None:
        """Note that a run is a suspect no longer."""
        ...

    def observe(self, now: float, name: str, report: worker.Report) -> None:
        """Take in a load report."""
        ...

    def mark_unreachable(self, now: float, name: str) -> None:
        """Note that a worker gives no answer."""
        ...

    def last_cache_event(self, name: str) -> int:
        """Return the number of the latest cache event of a worker."""
        ...
