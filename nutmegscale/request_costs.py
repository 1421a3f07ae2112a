"""What requests cost the workers of a service, learnt as they run; pure."""

from nutmegscale import answer_lengths
from nutmegscale import stage_plan
from nutmegscale import worker_speeds

# A decode worker reads at half the speed of a prefill worker (users' pages),
# between the tokens of its runs.
READS_ITSELF_FACTOR = 2.2


class RequestCosts:
    """Usual sizes of requests, and speeds of the workers."""

    def __init__(self) -> None:
        self._lengths = answer_lengths.AnswerLengths()
        self._prefill_speeds = worker_speeds.WorkerSpeeds(
            worker_speeds.START_PREFILL_S
        )
        self._token_speeds = worker_speeds.WorkerSpeeds(
            worker_speeds.START_TOKEN_S
        )
        self._prompts = worker_speeds.UsualSize(
            worker_speeds.START_PROMPT_TOKENS
        )
        self._answers = worker_speeds.UsualSize(
            worker_speeds.START_EXPECTED_TOKENS
        )

    @property
    def usual_prompt(self) -> float:
        """Usual length of a prompt, tokens."""
        return self._prompts.mean

    @property
    def usual_answer(self) -> float:
        """Usual length of an answer, tokens."""
        return self._answers.mean

    @property
    def usual_memory(self) -> float:
        """Memory that a usual run holds on the average, tokens."""
        return max(1.0, self.usual_prompt + self.usual_answer / 2)

    @property
    def length_deviation(self) -> float:
        """Deviation of the logarithm of lengths that are expected alike."""
        return self._lengths.deviation

    def note_ask(self, prompt_tokens: int, expected_tokens: int) -> None:
        """Take in the sizes of a new request."""
        self._prompts.learn(prompt_tokens)
        self._answers.learn(expected_tokens)

    def note_prefill(self, worker: str, tokens: int, took_s: float) -> None:
        """Take in how long a prefill worker took for some tokens."""
        self._prefill_speeds.learn(worker, tokens, took_s)

    def note_run(
        self, worker: str, hinted: int, events: int, took_s: float
    ) -> None:
        """Take in how long a whole run took, and how long its answer was."""
        self._lengths.learn(hinted, events)
        tokens = self._lengths.tokens(events)
        self._token_speeds.learn(worker, tokens, took_s)

    def expect(self, hinted: int) -> int:
        """Return the expected length of an answer, tokens."""
        return max(1, int(self._lengths.expect(hinted)))

    def token_s(self, decode: str) -> float:
        """Return the time of one token at a decode worker, seconds."""
        return self._token_speeds.token_s(decode)

    def read_s(self, prefill: str, tokens: int) -> float:
        """Return how long a prefill worker takes for a prompt, seconds."""
        return tokens * self._prefill_speeds.token_s(prefill)

    def reads_itself_s(self, tokens: int) -> float:
        """Return how long a decode worker takes for a prompt, seconds."""
        return READS_ITSELF_FACTOR * tokens * self._prefill_speeds.mean_s

    def of_stages(self, slots: int, kv_tokens: int) -> stage_plan.StageCosts:
        """Return what a usual request costs a worker of each stage.

        Args:
          slots: Slots of a decode worker.
          kv_tokens: Tokens that its memory holds; 0 if that isn't known.
        """
        room = slots
        if kv_tokens:
            room = min(slots, int(kv_tokens / self.usual_memory))
        run_s = self.usual_answer * self._token_speeds.mean_s
        return stage_plan.StageCosts(
            self.usual_prompt * self._prefill_speeds.mean_s,
            run_s / max(1, room),
        )
