"""Interface of the hosts to a model engine, independent of its wire format."""

from collections.abc import AsyncIterator
from typing import NamedTuple
from typing import Protocol

from nutmegscale import worker


class PrefillResult(NamedTuple):
    """Location of the KV cache of a prompt.

    Attributes:
      handle: Name of the KV cache at the engine that computed it.
      kv_bytes: Size of the KV cache in bytes.
      cached_tokens: Prompt tokens that the engine had cached already.
    """

    handle: str
    kv_bytes: int
    cached_tokens: int


class RunOrder(NamedTuple):
    """Order to start a decode run.

    Attributes:
      run_id: Unique id; a run that exists is never started again.
      host: Entry host that serves the run.
      prompt: The complete prompt.
      first_token: Number of tokens that the caller already has.
      max_tokens: Upper bound on the length of the answer.
      source: Base URL of the engine that holds the KV cache.
      handle: Name of the KV cache at that engine.
    """

    run_id: str
    host: str
    prompt: str
    first_token: int
    max_tokens: int
    source: str
    handle: str


class Token(NamedTuple):
    """One token of an answer.

    Attributes:
      number: Position of the token in the answer, from 0.
      data: UTF-8 bytes of the token; they may end within a character.
    """

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
          errors.EngineLeavingError: The engine refused; nothing was started.
          errors.ConnectError: Nothing was sent or started.
          errors.EngineLostError: The prefill may have been started.
        """
        ...

    async def start(self, order: RunOrder, timeout_s: float) -> None:
        """Import a KV cache and start to decode.

        Raises:
          errors.EngineBusyError: No slot is free; nothing was started.
          errors.EngineLeavingError: The engine refused; nothing was started.
          errors.KvCacheGoneError: The prefill result has expired.
          errors.ConnectError: Nothing was sent or started.
          errors.EngineLostError: The run may have been started.
        """
        ...

    def tokens(
        self, run_id: str, first: int, progress_timeout_s: float
    ) -> AsyncIterator[Token]:
        """Stream tokens until the answer is complete.

        Args:
          run_id: Run to read.
          first: Number of the first token to yield.
          progress_timeout_s: Longest wait for the next token, seconds.

        Raises:
          errors.RunGoneError: The engine doesn't have the run.
          errors.EngineLostError: The stream broke or made no progress.
        """
        ...

    async def cancel(self, run_id: str) -> None:
        """Free all resources of a run; idempotent.

        Raises:
          errors.EngineLostError: The engine didn't confirm.
        """
        ...

    async def order(self, fence: int, leaving: bool) -> None:
        """Order the engine to leave, or to accept work again; idempotent.

        Args:
          fence: Fencing number. An engine may refuse a number lower than the
            highest that it has seen, or may ignore the number.
          leaving: Whether the engine is to leave.

        Raises:
          errors.StaleFenceError: The engine refused, since a later lease
            holder gave orders.
          errors.EngineLostError: The engine didn't confirm.
        """
        ...

    async def report(self, cache_after: int) -> worker.Report:
        """Read the load report.

        Args:
          cache_after: Number of the last cache event that is known; the report
            includes the later ones.

        Raises:
          errors.EngineLostError: The engine gave no valid report.
        """
        ...
