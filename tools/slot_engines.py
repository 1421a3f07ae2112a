"""Simulates the workers of a model service on virtual time."""

from collections import deque
from collections.abc import Callable

from tools import event_clock
from tools import slot_days

# Time from the start of a run on a decode worker to its first event, without
# the prefill.
FIRST_STEP_S = 0.01
# Time of a prefill in addition to that of its tokens, as in the site files.
PREFILL_BASE_S = 0.0076
# By the deployment's specification, decode workers prefill at half the speed of
# prefill workers.
LOCAL_PREFILL_FACTOR = 2.0


class Run:
    """A stream on a decode worker.

    Attributes:
      call: The stream.
      is_prefilled: Whether the KV cache of the tokens so far exists.
      on_first_event: Called when the first event is sent.
      on_end: Called at the end, with whether the answer is complete.
      generated_tokens: Tokens generated so far.
      is_started: Whether the first event has been scheduled.
    """

    def __init__(
        self,
        call: slot_days.Call,
        *,
        is_prefilled: bool,
        on_first_event: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.call = call
        self.is_prefilled = is_prefilled
        self.on_first_event = on_first_event
        self.on_end = on_end
        self.generated_tokens = 0.0
        self.is_started = False

    @property
    def memory_tokens(self) -> float:
        """Tokens that the run occupies in memory."""
        return self.call.prompt_tokens + self.generated_tokens

    @property
    def remaining_tokens(self) -> float:
        """Tokens that are still to be generated."""
        return self.call.output_tokens - self.generated_tokens


class PrefillWorker:
    """Prefills prompts one after the other."""

    def __init__(
        self,
        clock: event_clock.EventClock,
        engine: slot_days.Engine,
        slowness: float,
    ) -> None:
        self._clock = clock
        self._token_s = engine.prefill_token_s * slowness
        self._free_at_s = 0.0
        self.is_up = True

    def prefill(self, tokens: int, on_done: Callable[[], None]) -> None:
        """Prefill a prompt after those already queued."""
        now = self._clock.seconds()
        start_s = max(now, self._free_at_s)
        self._free_at_s = start_s + tokens * self._token_s + PREFILL_BASE_S
        self._clock.callLater(self._free_at_s - now, on_done)


class DecodeWorker:
    """Generates tokens of several runs at once.

    It prefills locally the runs that no prefill worker has prefilled.

    Attributes:
      is_up: Whether the worker accepts runs.
      recomputed_tokens: Tokens of runs evicted from memory, whose prefill must
        be repeated.
      local_prefill_tokens: Tokens prefilled on this worker.
    """

    def __init__(
        self,
        clock: event_clock.EventClock,
        engine: slot_days.Engine,
        slowness: float,
    ) -> None:
        self._clock = clock
        self._engine = engine
        self._slowness = slowness
        self._runs: list[Run] = []
        self._waiting: deque[Run] = deque()
        self._timer = clock.callLater(0.0, lambda: None)
        self._updated_at_s = 0.0
        self._prefilling_until_s = 0.0
        self.is_up = True
        self.recomputed_tokens = 0.0
        self.local_prefill_tokens = 0.0

    def offer(self, run: Run) -> bool:
        """Accept a run; return False if the worker is full or down."""
        if not self.is_up or len(self._waiting) >= self._engine.queue:
            return False
        self._advance()
        self._waiting.append(run)
        self._update_runs()
        return True

    def crash(self) -> None:
        """Crash, which ends all runs as incomplete."""
        self.is_up = False
        lost = [*self._runs, *self._waiting]
        self._runs.clear()
        self._waiting.clear()
        for run in lost:
            run.on_end(False)

    def _step_s(self) -> float:
        engine = self._engine
        memory = sum(run.memory_tokens for run in self._runs)
        step_s = engine.step_s + engine.step_slot_s * len(self._runs)
        return (step_s + engine.step_token_s * memory) * self._slowness

    def _advance(self) -> None:
        """Generate the tokens for the time since the last update."""
        now = self._clock.seconds()
        start_s = min(now, max(self._updated_at_s, self._prefilling_until_s))
        self._updated_at_s = now
        if self._runs and now > start_s:
            tokens = (now - start_s) / self._step_s()
            for run in self._runs:
                run.generated_tokens += tokens

    def _update_runs(self) -> None:
        """End, evict and start runs, and schedule the next update."""
        ended = [run for run in self._runs if run.remaining_tokens <= 1e-6]
        self._runs = [run for run in self._runs if run.remaining_tokens > 1e-6]
        while (
            self._used_tokens() > self._engine.memory_tokens
            and len(self._runs) > 1
        ):
            # Evict the newest run; its prefill is repeated later.
            run = self._runs.pop()
            run.is_prefilled = False
            self.recomputed_tokens += run.memory_tokens
            self._waiting.appendleft(run)
        self._admit()
        self._timer.cancel()
        if self._runs:
            self._timer = self._clock.callLater(self._next_wake_s(), self._wake)
        for run in ended:
            run.on_end(True)

    def _admit(self) -> None:
        while self._waiting and len(self._runs) < self._engine.slots:
            run = self._waiting[0]
            free_tokens = self._engine.memory_tokens - self._used_tokens()
            if (
                self._runs
                and run.memory_tokens + self._engine.event_tokens > free_tokens
            ):
                return
            self._waiting.popleft()
            self._runs.append(run)
            wait_s = FIRST_STEP_S
            if not run.is_prefilled:
                wait_s += self._prefill_locally(run)
            if not run.is_started:
                run.is_started = True
                self._clock.callLater(wait_s, run.on_first_event)

    def _prefill_locally(self, run: Run) -> float:
        """Prefill between two steps, which delays all runs.

        Returns:
          Time until the prefill is complete, seconds.
        """
        now = self._clock.seconds()
        token_s = (
            self._engine.prefill_token_s * LOCAL_PREFILL_FACTOR * self._slowness
        )
        start_s = max(now, self._prefilling_until_s)
        self._prefilling_until_s = start_s + run.memory_tokens * token_s
        self.local_prefill_tokens += run.memory_tokens
        run.is_prefilled = True
        return self._prefilling_until_s - now

    def _used_tokens(self) -> float:
        return sum(run.memory_tokens for run in self._runs)

    def _next_wake_s(self) -> float:
        """Return the time until a run ends or the memory overflows, seconds."""
        now = self._clock.seconds()
        step_s = self._step_s()
        fewest_remaining = min(run.remaining_tokens for run in self._runs)
        free_tokens = self._engine.memory_tokens - self._used_tokens()
        # One step beyond the free memory, so that it is exceeded on waking.
        steps = min(
            fewest_remaining, max(0.0, free_tokens) / len(self._runs) + 1
        )
        return max(0.0, self._prefilling_until_s - now) + steps * step_s

    def _wake(self) -> None:
        self._advance()
        self._update_runs()
