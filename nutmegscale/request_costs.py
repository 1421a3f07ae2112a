"""Request costs at a service's workers, estimated from past runs; no I/O."""

from collections.abc import Collection
from typing import NamedTuple

from nutmegscale import answer_lengths
from nutmegscale import stage_plan
from nutmegscale import worker_speeds

# Time of a local prefill relative to one on a prefill worker: a decode worker
# prefills at half the speed, between the tokens of its runs.
LOCAL_PREFILL_FACTOR = 2.2


# Number of complete runs from which a host trusts its own estimates.
TRUSTED_RUNS = 10


class CostSummary(NamedTuple):
    """Estimates of a host, for a planner that has none.

    Attributes:
      prompt_tokens: Typical length of a prompt, tokens.
      answer_tokens: Typical length of an answer, tokens.
      prefill_token_s: Mean time of a prompt token, seconds.
      decode_token_s: Mean time of an answer token of a run, seconds.
      runs: Complete runs that they were learned from.
    """

    prompt_tokens: float
    answer_tokens: float
    prefill_token_s: float
    decode_token_s: float
    runs: int


class RequestCosts:
    """Typical sizes of requests, and speeds of the workers."""

    def __init__(self) -> None:
        self._runs = 0
        self._lengths = answer_lengths.AnswerLengths()
        self._prefill_speeds = worker_speeds.WorkerSpeeds(
            worker_speeds.INITIAL_PREFILL_TOKEN_S
        )
        self._token_speeds = worker_speeds.WorkerSpeeds(
            worker_speeds.INITIAL_DECODE_TOKEN_S
        )
        self._prompts = worker_speeds.TypicalSize(
            worker_speeds.INITIAL_PROMPT_TOKENS
        )
        self._answers = worker_speeds.TypicalSize(
            worker_speeds.INITIAL_ANSWER_TOKENS
        )
        # Stage orders weigh sizes against speeds, of which the first
        # observation replaces the initial value; so do these sizes.
        self._stage_prompts = worker_speeds.TypicalSize(
            worker_speeds.INITIAL_PROMPT_TOKENS, prior_requests=0
        )
        self._stage_answers = worker_speeds.TypicalSize(
            worker_speeds.INITIAL_ANSWER_TOKENS, prior_requests=0
        )

    @property
    def typical_prompt_tokens(self) -> float:
        """Typical length of a prompt, tokens."""
        return self._prompts.mean

    @property
    def typical_answer_tokens(self) -> float:
        """Typical length of an answer, tokens."""
        return self._answers.mean

    @property
    def typical_memory_tokens(self) -> float:
        """Memory that a typical run holds on average, tokens."""
        return max(
            1.0, self.typical_prompt_tokens + self.typical_answer_tokens / 2
        )

    @property
    def length_deviation(self) -> float:
        """Standard deviation of the logarithm of lengths with the same hint."""
        return self._lengths.deviation

    def record_request(self, prompt_tokens: int, expected_tokens: int) -> None:
        """Record the sizes of a new request."""
        for prompts in (self._prompts, self._stage_prompts):
            prompts.record(prompt_tokens)
        for answers in (self._answers, self._stage_answers):
            answers.record(expected_tokens)

    def record_prefill(self, worker: str, tokens: int, took_s: float) -> None:
        """Record how long a prefill worker took for a number of tokens."""
        self._prefill_speeds.record(worker, tokens, took_s)

    def record_run(
        self, worker: str, hinted: int, events: int, took_s: float
    ) -> None:
        """Record how long a complete run took and how long its answer was.

        Args:
          worker: Decode worker.
          hinted: Length of the answer that the caller expected, tokens.
          events: Length of the answer, events.
          took_s: Duration of the run, seconds.
        """
        self._runs += 1
        self._lengths.record(hinted, events)
        tokens = self._lengths.tokens(events)
        self._token_speeds.record(worker, tokens, took_s)

    def summary(self) -> CostSummary:
        """Return the estimates for another host."""
        return CostSummary(
            self._prompts.mean,
            self._answers.mean,
            self._prefill_speeds.mean_token_s,
            self._token_speeds.mean_token_s,
            self._runs,
        )

    def adopt(self, summary: CostSummary) -> None:
        """Take over the estimates of a host that has seen more runs.

        Nothing is taken once this host has seen enough runs itself.
        """
        if self._runs >= TRUSTED_RUNS or summary.runs <= self._runs:
            return
        self._runs = min(summary.runs, TRUSTED_RUNS - 1)
        for prompts in (self._prompts, self._stage_prompts):
            prompts.restart(summary.prompt_tokens)
        for answers in (self._answers, self._stage_answers):
            answers.restart(summary.answer_tokens)
        self._prefill_speeds.restart(summary.prefill_token_s)
        self._token_speeds.restart(summary.decode_token_s)

    def keep_only(self, workers: Collection[str]) -> None:
        """Forget the speeds of workers that are gone for long."""
        self._prefill_speeds.keep_only(workers)
        self._token_speeds.keep_only(workers)

    def expected_answer_tokens(self, hinted: int) -> int:
        """Return the expected length of an answer, tokens; at least 1."""
        return max(1, int(self._lengths.expect(hinted)))

    def token_s(self, decode: str) -> float:
        """Return the time of one token at a decode worker, seconds."""
        return self._token_speeds.token_s(decode)

    def prefill_s(self, prefill: str, tokens: int) -> float:
        """Return the time of a prefill at a prefill worker, seconds."""
        return tokens * self._prefill_speeds.token_s(prefill)

    def local_prefill_s(self, tokens: int) -> float:
        """Return the time of a local prefill at a decode worker, seconds."""
        return LOCAL_PREFILL_FACTOR * tokens * self._prefill_speeds.mean_token_s

    def stage_costs(self, slots: int, kv_tokens: int) -> stage_plan.StageCosts:
        """Return the costs of a typical request at a worker of each stage.

        Args:
          slots: Number of slots of a decode worker.
          kv_tokens: Size of its KV memory in tokens, 0 if unknown.
        """
        prompt, answer = self._stage_prompts.mean, self._stage_answers.mean
        concurrent_runs = slots
        if kv_tokens:
            memory_tokens = max(1.0, prompt + answer / 2)
            concurrent_runs = min(slots, int(kv_tokens / memory_tokens))
        run_s = answer * self._token_speeds.mean_token_s
        return stage_plan.StageCosts(
            prompt * self._prefill_speeds.mean_token_s,
            run_s / max(1, concurrent_runs),
        )
