"""Cache of complete answers, for retries of their requests."""

from collections import OrderedDict
from typing import NamedTuple

MAX_BYTES = 2 << 20
TTL_S = 90.0


class CachedAnswer(NamedTuple):
    """A complete answer.

    Attributes:
      text: Text of the answer.
      tokens: Its length, in tokens.
      expires: Time at which it expires, seconds (monotonic clock).
    """

    text: str
    tokens: int
    expires: float


class AnswerCache:
    """Complete answers by exchange, limited in total UTF-8 size and in time."""

    def __init__(self) -> None:
        self._answers: OrderedDict[str, CachedAnswer] = OrderedDict()
        self._bytes = 0

    def put(self, now: float, exchange: str, text: str, tokens: int) -> None:
        """Cache an answer and drop the oldest ones over the limits."""
        self._drop(exchange)
        self._answers[exchange] = CachedAnswer(text, tokens, now + TTL_S)
        self._bytes += len(text.encode())
        while self._bytes > MAX_BYTES or (
            self._answers and next(iter(self._answers.values())).expires <= now
        ):
            self._drop(next(iter(self._answers)))

    def get(self, now: float, exchange: str) -> CachedAnswer | None:
        """Return the cached answer, or None if there is none or it expired."""
        answer = self._answers.get(exchange)
        return answer if answer is not None and answer.expires > now else None

    def _drop(self, exchange: str) -> None:
        answer = self._answers.pop(exchange, None)
        if answer is not None:
            self._bytes -= len(answer.text.encode())
