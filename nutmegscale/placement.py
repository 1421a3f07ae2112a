"""Interface of placement policies: requests, grants and refusals."""

from typing import Literal
from typing import NamedTuple
from typing import Protocol

from result import Result

from nutmegscale import config
from nutmegscale import worker


class Request(NamedTuple):
    """A request for a placement of one exchange.

    Attributes:
      exchange: Name of the exchange.
      caller: Caller of the request.
      weight: Share weight of the caller.
      priority: 0 is the most urgent, 9 the least.
      prompt_tokens: Length of the prompt and the answer so far, in tokens.
      blocks: Digests of the leading blocks of the prompt.
      max_tokens: Upper bound on the rest of the answer, in tokens.
      first_token_s: Target for the time from arrival to the first token,
        seconds.
      token_gap_s: Target for the time between tokens, seconds.
      waited_s: Time since arrival, seconds.
      accepted: Whether the exchange was admitted before, here or at another
        host.
      suspect: Whether its content was running on a worker that crashed.
      avoid: Names of workers on which this exchange has failed.
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
    """Where and when a request runs; times in seconds.

    Attributes:
      prefill: Name of the prefill worker.
      prefill_url: Its base address.
      decode: Name of the decode worker; the joint policy has reserved its
        slot.
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
    """Why a request can't be placed, and when to retry."""

    reason: Reason
    retry_after_s: float


PlanResult = Result[Grant, Refusal]


class Planner(Protocol):
    """Placement policy over the workers of one cell.

    It does no I/O and reads no clock: time is passed in with each call.
    """

    def set_workers(
        self, workers: list[worker.Worker], engines: dict[str, config.Engine]
    ) -> None:
        """Replace the workers.

        Args:
          workers: All workers of the cell.
          engines: Cost profiles by pool.
        """
        ...

    def plan(self, now: float, request: Request) -> PlanResult:
        """Place a request; the joint policy also reserves its resources."""
        ...

    def record_late_prefill(self, now: float, exchange: str) -> None:
        """Record that a prefill wasn't done at its predicted time."""
        ...

    def record_start(
        self, now: float, exchange: str, prefill_s: float, transfer_s: float
    ) -> None:
        """Record the start of a decode run and the times of its stages.

        Args:
          now: Monotonic time in seconds.
          exchange: Exchange of the run.
          prefill_s: Time from the prefill request to its result, seconds.
          transfer_s: Time from the result to the start of the run, seconds.
        """
        ...

    def release(self, now: float, exchange: str, tokens: int) -> None:
        """Release the reservations of an exchange.

        Args:
          now: Monotonic time in seconds.
          exchange: Name of the exchange.
          tokens: Number of tokens that it generated.
        """
        ...

    def clear_suspect(self, now: float, exchange: str) -> None:
        """Stop keeping the run of an exchange apart as a suspect."""
        ...

    def observe(self, now: float, name: str, report: worker.Report) -> None:
        """Apply a load report of a worker."""
        ...

    def mark_unreachable(self, now: float, name: str) -> None:
        """Exclude an unreachable worker for some time, or until it reports."""
        ...

    def last_cache_event(self, name: str) -> int:
        """Return the number of a worker's latest cache event, 0 if unknown."""
        ...
