"""Speeds of model workers, learnt from what they took; pure."""

# Start values of what is learnt, for the engines of the users' sheets:
# 55.6 prompt tokens a ms, and a step of 0.9 ms with all slots taken.
START_PREFILL_S = 1 / 50_000
START_TOKEN_S = 0.0009
# Usual request of the users' sheets: 5,200 tokens in, 70 events of 58 out.
START_PROMPT_TOKENS = 5_200.0
START_EXPECTED_TOKENS = 4_060.0
SMOOTHING = 0.2
# Weight of a new request in the usual sizes: prompts and answers differ by
# half, and orders that cost seconds follow from them.
SIZE_SMOOTHING = 0.02
# Requests that the start values stand for.
PRIOR_REQUESTS = 10


class TypicalSize:
    """Mean size of requests, in tokens."""

    def __init__(self, start: float) -> None:
        self._mean = start
        self._count = PRIOR_REQUESTS

    @property
    def mean(self) -> float:
        """Mean size, tokens."""
        return self._mean

    def record(self, tokens: float) -> None:
        """Take in the size of a request."""
        self._count += 1
        weight = max(SIZE_SMOOTHING, 1 / self._count)
        self._mean += weight * (tokens - self._mean)


class TokenTime:
    """Time that a worker takes for a token, from what it took of late.

    Tokens and times are averaged apart, since single answers are often much
    longer or shorter than expected.
    """

    def __init__(self, token_s: float) -> None:
        self._tokens = START_EXPECTED_TOKENS
        self._took_s = START_EXPECTED_TOKENS * token_s

    @property
    def token_s(self) -> float:
        """Time of one token, seconds."""
        return self._took_s / self._tokens

    def record(self, tokens: float, took_s: float) -> None:
        """Take in the time that some tokens took."""
        self._tokens += SMOOTHING * (tokens - self._tokens)
        self._took_s += SMOOTHING * (took_s - self._took_s)


class WorkerSpeeds:
    """Time of a token at each worker, with a start value for unknown ones."""

    def __init__(self, start_s: float) -> None:
        self._start_s = start_s
        self._token_times: dict[str, TokenTime] = {}

    def token_s(self, worker: str) -> float:
        """Return the time of one token at a worker, seconds."""
        known = self._token_times.get(worker)
        return known.token_s if known else self._start_s

    def record(self, worker: str, tokens: float, took_s: float) -> None:
        """Take in the time that some tokens took a worker."""
        speed = self._token_times.setdefault(worker, TokenTime(self._start_s))
        speed.record(tokens, took_s)

    @property
    def mean_s(self) -> float:
        """Mean time of one token over the known workers, seconds."""
        if not self._token_times:
            return self._start_s
        times = [speed.token_s for speed in self._token_times.values()]
        return sum(times) / len(times)
