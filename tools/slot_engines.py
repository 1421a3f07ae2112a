"""Model of the workers of a model service on virtual time."""

from collections import deque
from collections.abc import Callable

from tools import event_clock
from tools import slot_days

# Time from a decode worker's start of a run to its first event, seconds:
# measured on the users' bench, beside the prefill.
FIRST_STEP_S = 0.01
# What a prefill takes beside its tokens, seconds (users' site files).
FIRST_READ_S = 0.0076
# A decode worker reads at half the speed (users' pages).
OWN_READ_FACTOR = 2.0


class Run:
    """A stream on a decode worker."""

    def __init__(
        self,
        call: slot_days.Call,
        *,
        is_read: bool,
        on_first: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.call = call
        self.is_read = is_read
        self.on_first = on_first
        self.on_end = on_end
        self.made = 0.0
        self.is_started = False

    @property
    def memory(self) -> float:
        """Tokens in memory."""
        return self.call.prompt_tokens + self.made

    @property
    def left(self) -> float:
        """Tokens that are still to make."""
        return self.call.output_tokens - self.made


class PrefillWorker:
    """Reads prompts one after the other."""

    def __init__(
        self,
        clock: event_clock.EventClock,
        engine: slot_days.Engine,
        slowness: float,
    ) -> None:
        self._clock = clock
        self._token_s = engine.read_token_s * slowness
        self._free_at = 0.0
        self.is_up = True

    def read(self, tokens: int, on_read: Callable[[], None]) -> None:
        """Read a prompt behind those that wait."""
        now = self._clock.seconds()
        begin = max(now, self._free_at)
        self._free_at = begin + tokens * self._token_s + FIRST_READ_S
        self._clock.callLater(self._free_at - now, on_read)


class DecodeWorker:
    """Makes tokens of several runs at once, and reads what nobody read."""

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
        self._updated = 0.0
        self._reads_until = 0.0
        self.is_up = True
        self.reread_tokens = 0.0
        self.read_tokens = 0.0

    def offer(self, run: Run) -> bool:
        """Take a run in; False if the worker is full or gone."""
        if not self.is_up or len(self._waiting) >= self._engine.queue:
            return False
        self._advance()
        self._waiting.append(run)
        self._settle()
        return True

    def crash(self) -> None:
        """Lose all runs."""
        self.is_up = False
        lost = [*self._runs, *self._waiting]
        self._runs.clear()
        self._waiting.clear()
        for run in lost:
            run.on_end(False)

    def _step_s(self) -> float:
        engine = self._engine
        memory = sum(run.memory for run in self._runs)
        step_s = engine.step_s + engine.step_slot_s * len(self._runs)
        return (step_s + engine.step_token_s * memory) * self._slowness

    def _advance(self) -> None:
        """Make the tokens of the time since the last look."""
        now = self._clock.seconds()
        begin = min(now, max(self._updated, self._reads_until))
        self._updated = now
        if self._runs and now > begin:
            made = (now - begin) / self._step_s()
            for run in self._runs:
                run.made += made

    def _settle(self) -> None:
        """End, put back and start runs, and wait for what comes next."""
        ended = [run for run in self._runs if run.left <= 1e-6]
        self._runs = [run for run in self._runs if run.left > 1e-6]
        while self._used() > self._engine.memory_tokens and len(self._runs) > 1:
            # The newest is put back and read anew.
            run = self._runs.pop()
            run.is_read = False
            self.reread_tokens += run.memory
            self._waiting.appendleft(run)
        self._admit()
        self._timer.cancel()
        if self._runs:
            self._timer = self._clock.callLater(self._next_s(), self._wake)
        for run in ended:
            run.on_end(True)

    def _admit(self) -> None:
        while self._waiting and len(self._runs) < self._engine.slots:
            run = self._waiting[0]
            room = self._engine.memory_tokens - self._used()
            if self._runs and run.memory + self._engine.event_tokens > room:
                return
            self._waiting.popleft()
            self._runs.append(run)
            wait_s = FIRST_STEP_S
            if not run.is_read:
                wait_s += self._read(run)
            if not run.is_started:
                run.is_started = True
                self._clock.callLater(wait_s, run.on_first)

    def _read(self, run: Run) -> float:
        """Read a prompt between the steps, which holds up all runs."""
        now = self._clock.seconds()
        token_s = self._engine.read_token_s * OWN_READ_FACTOR * self._slowness
        begin = max(now, self._reads_until)
        self._reads_until = begin + run.memory * token_s
        self.read_tokens += run.memory
        run.is_read = True
        return self._reads_until - now

    def _used(self) -> float:
        return sum(run.memory for run in self._runs)

    def _next_s(self) -> float:
        """Return when a run ends or the memory is full, seconds."""
        now = self._clock.seconds()
        step_s = self._step_s()
        least = min(run.left for run in self._runs)
        room = self._engine.memory_tokens - self._used()
        # One step beyond the room, so that it is exceeded on waking.
        steps = min(least, max(0.0, room) / len(self._runs) + 1)
        return max(0.0, self._reads_until - now) + steps * step_s

    def _wake(self) -> None:
        self._advance()
        self._settle()
