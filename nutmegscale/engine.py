"""What the hosts need of a model engine, whatever its wire form."""

from collections.abc import AsyncIterator
from typing import NamedTuple
from typing import Protocol

from nutmegscale import worker


class PrefillResult(NamedTuple):
    """Where the KV cache of a prompt is."""

    handle: str
    kv_bytes: int
    cached_tokens: int


class RunOrder(NamedTuple):
    """A decode run to start.

    Attributes:
      run_id: Unique name; a run that exists is never started again.
      host: Entry host that serves the run.
      prompt: The whole prompt.
      first_token: Number of tokens that the caller has already.
      max_tokens: Upper bound on the length of the answer.
      source: Base address of the engine that holds the KV cache.
      handle: Name of the KV cache there.
    """

    run_id: str
    host: str
    prompt: str
    first_token: int
    max_tokens: int
    source: str
    handle: str


class Token(NamedTuple):
    """One token of an answer; its bytes may end within a character."""

    number: int
    data: bytes


class Engine(Protocol):
    """Client of one model engine."""

    async def prefill(
        self,
        run_id: str,
        host: str,
        prompt: str,
        priority: int,
        timeout_s: float,
    ) -> PrefillResult:
        """Compute the KV cache of a prompt.

        Raises:
          errors.EngineLeavingError: Refused; nothing was started.
          errors.ConnectError: Not sent; nothing was started.
          errors.EngineLostError: It may have been started.
        """
        ...

    async def start(self, order: RunOrder, timeout_s: float) -> None:
        """Import a KV cache and start to decode.

        Raises:
          errors.EngineBusyError: No slot; nothing was started.
          errors.EngineLeavingError: Refused; nothing was started.
          errors.KvCacheGoneError: The prefill result is no longer there.
          errors.ConnectError: Not sent; nothing was started.
          errors.EngineLostError: It may have been started.
        """
        ...

    def tokens(
        self, run_id: str, first: int, progress_timeout_s: float
    ) -> AsyncIterator[Token]:
        """Stream tokens from a number on, until the answer is whole.

        Raises:
          errors.RunGoneError: The engine doesn't have the run.
          errors.EngineLostError: The stream broke or made no progress.
        """
        ...

    async def cancel(self, run_id: str) -> None:
        """Free everything that a run holds; idempotent.

        Raises:
          errors.EngineLostError: Not confirmed.
        """
        ...

    async def order(self, fence: int, leaving: bool) -> None:
        """Order the engine to leave, or to take work again; idempotent.

        Args:
          fence: Fencing number; an engine may refuse one lower than the
            highest that it has seen, or ignore it.
          leaving: The wanted state.

        Raises:
          errors.StaleFenceError: Refused; a later holder gave orders.
          errors.EngineLostError: Not confirmed.
        """
        ...

    async def report(self, cache_after: int) -> worker.Report:
        """Read the load report, with cache events after a number.

        Raises:
          errors.EngineLostError: No report.
        """
        ...
