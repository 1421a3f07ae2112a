"""Speeds of model workers, estimated from past prefills and runs; no I/O."""

from collections.abc import Collection

# Initial values of the time per token, seconds, for the engines of the
# deployment's specification: 55.6 prompt tokens per ms, and 0.9 ms per decode
# step with all slots taken.
INITIAL_PREFILL_TOKEN_S = 1 / 50_000
INITIAL_DECODE_TOKEN_S = 0.0009
# Typical request of the deployment's specification: a prompt of 5,200 tokens
# and an answer of 70 events with 58 tokens each.
INITIAL_PROMPT_TOKENS = 5_200.0
INITIAL_ANSWER_TOKENS = 4_060.0
# Weight of a new observation in the time per token.
SMOOTHING = 0.2
# Weight of a new request in the typical sizes. It is small because sizes vary
# by half, and stage orders that cost seconds depend on the mean.
SIZE_SMOOTHING = 0.02
# Number of absent workers whose speeds are kept in any case.
MAX_ABSENT_WORKERS = 16
# Number of requests that the initial value of a size counts for.
PRIOR_REQUESTS = 10


class TypicalSize:
    """Smoothed mean size of requests, in tokens.

    Args:
      initial_tokens: Initial mean.
      prior_requests: Number of requests that the initial mean counts for.
    """

    def __init__(
        self, initial_tokens: float, *, prior_requests: int = PRIOR_REQUESTS
    ) -> None:
        self._mean = initial_tokens
        self._count = prior_requests

    @property
    def mean(self) -> float:
        """Mean size, tokens."""
        return self._mean

    def restart(self, tokens: float) -> None:
        """Begin anew with another initial size."""
        self._mean = tokens
        self._count = PRIOR_REQUESTS

    def record(self, tokens: float) -> None:
        """Record the size of a request."""
        self._count += 1
        weight = max(SIZE_SMOOTHING, 1 / self._count)
        self._mean += weight * (tokens - self._mean)


class TokenTime:
    """Smoothed time that a worker takes per token.

    Tokens and times are averaged separately, since single answers are often
    much longer or shorter than expected. The first observations replace the
    initial value: engines differ by a factor of five.
    """

    def __init__(self, token_s: float) -> None:
        self._tokens = 1.0
        self._took_s = token_s
        self._count = 0

    @property
    def token_s(self) -> float:
        """Time per token, seconds."""
        return self._took_s / self._tokens

    def record(self, tokens: float, took_s: float) -> None:
        """Record the time that a number of tokens took."""
        self._count += 1
        weight = max(SMOOTHING, 1 / self._count)
        self._tokens += weight * (tokens - self._tokens)
        self._took_s += weight * (took_s - self._took_s)


class WorkerSpeeds:
    """Time per token at each worker.

    An unknown worker takes the mean of the known ones, or an initial value.
    """

    def __init__(self, initial_token_s: float) -> None:
        self._initial_token_s = initial_token_s
        self._token_times: dict[str, TokenTime] = {}

    def token_s(self, worker: str) -> float:
        """Return the time per token at a worker, seconds."""
        known = self._token_times.get(worker)
        return known.token_s if known else self.mean_token_s

    def record(self, worker: str, tokens: float, took_s: float) -> None:
        """Record the time that a worker took for a number of tokens."""
        if tokens <= 0 or took_s <= 0.0:
            return
        token_time = self._token_times.setdefault(
            worker, TokenTime(self._initial_token_s)
        )
        token_time.record(tokens, took_s)

    def restart(self, initial_token_s: float) -> None:
        """Begin anew with another initial value."""
        self._initial_token_s = initial_token_s
        self._token_times.clear()

    def keep_only(self, workers: Collection[str]) -> None:
        """Forget the speeds of all other workers, if they are the majority.

        A few may be back soon.
        """
        if len(self._token_times) > 2 * len(workers) + MAX_ABSENT_WORKERS:
            self._token_times = {
                name: known
                for name, known in self._token_times.items()
                if name in workers
            }

    @property
    def mean_token_s(self) -> float:
        """Mean time per token over the known workers, seconds."""
        if not self._token_times:
            return self._initial_token_s
        times = [known.token_s for known in self._token_times.values()]
        return sum(times) / len(times)
