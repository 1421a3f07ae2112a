"""A day of streams on modelled workers, under a policy for their slots."""

from collections.abc import Callable
import math
import random
from typing import NamedTuple
from typing import Protocol

from nutmegscale import backend
from nutmegscale import slot_queue
from nutmegscale import slot_types
from tools import event_clock
from tools import slot_days
from tools import slot_engines

# A caller leaves without an event after the longest of two seconds and four
# objectives (users' pages).
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4.0
# What a host takes off for the way, seconds (`stream_runner`).
PATIENCE_MARGIN_S = 0.2
# How long a KV cache waits for its run, seconds (users' site files).
HANDLE_LIFE_S = 0.5
PUMP_PERIOD_S = 0.05
HOST = "host"
# Hosts that decide alone under the naive policy (users' sheets).
NAIVE_HOSTS = 8
NAIVE_RUNS = 3
NAIVE_RETRY_AFTER_S = 1.0


class Outcome(NamedTuple):
    """What a caller got.

    Attributes:
      call: The stream.
      state: "in_time", "late", "refused", "failed" or "cut".
      first_s: Time from its first attempt to the first event, seconds.
    """

    call: slot_days.Call
    state: str
    first_s: float = 0.0


class Result(NamedTuple):
    """What a policy earned on a day.

    Attributes:
      outcomes: Of each stream.
      wasted_tokens: Prompt tokens that were read again, or for nobody.
    """

    outcomes: tuple[Outcome, ...]
    wasted_tokens: float


class Policy(Protocol):
    """Decides when and where streams run."""

    def ask(self, world: "World", attempt: "Attempt") -> None:
        """Take in an attempt."""

    def ended(self, world: "World", attempt: "Attempt", run_s: float) -> None:
        """Take in that an attempt's slot is free."""

    def read(self, world: "World", attempt: "Attempt", took_s: float) -> None:
        """Take in that a prompt has been read."""

    def changed(self, world: "World") -> None:
        """Take in that workers went or came back."""


class Attempt:
    """One attempt of a caller."""

    def __init__(self, call: slot_days.Call, number: int, at: float) -> None:
        self.call = call
        self.number = number
        self.at = at
        self.decode = -1
        self.began = 0.0
        self.first_s = math.inf

    @property
    def name(self) -> str:
        """Unique name."""
        return f"{self.call.name}.{self.number}"


class World:
    """Callers, workers and their losses on virtual time."""

    def __init__(self, day: slot_days.Day, policy: Policy) -> None:
        self.day = day
        self.clock = event_clock.EventClock()
        engine = day.engine
        workers = engine.prefills + engine.decodes
        factors = [
            engine.slowness[i % len(engine.slowness)] for i in range(workers)
        ]
        self.prefills = [
            slot_engines.PrefillWorker(self.clock, engine, factor)
            for factor in factors[: engine.prefills]
        ]
        self.decodes = [
            slot_engines.DecodeWorker(self.clock, engine, factor)
            for factor in factors[engine.prefills :]
        ]
        # Workers that take new work, by number, prefill workers first.
        self.usable = [True] * workers
        self._policy = policy
        self._outcomes: dict[str, Outcome] = {}
        self._wasted = 0.0

    def run(self) -> Result:
        """Play the day."""
        for call in self.day.calls:
            self.clock.callLater(call.at, self._begin, call)
        for loss in self.day.losses:
            self.clock.callLater(loss.at, self._lose, loss)
            if math.isfinite(loss.until):
                self.clock.callLater(loss.until, self._restore, loss)
        self.clock.run(
            min(self.day.cut_at_s, self.day.length_s + slot_days.AFTER_S)
        )
        outcomes = tuple(
            self._outcomes.get(c.name, Outcome(c, "failed"))
            for c in self.day.calls
        )
        wasted = self._wasted + sum(w.reread_tokens for w in self.decodes)
        return Result(outcomes, wasted)

    def start(self, attempt: Attempt, prefill: int, decode: int) -> None:
        """Run an attempt: have its prompt read, then its tokens made.

        Args:
          attempt: The attempt.
          prefill: Number of the prefill worker, or -1.
          decode: Number of the decode worker among these.
        """
        attempt.decode = decode
        began = self.clock.seconds()

        def decode_it() -> None:
            now = self.clock.seconds()
            if prefill >= 0:
                self._policy.read(self, attempt, now - began)
            run = slot_engines.Run(
                attempt.call,
                is_read=prefill >= 0 and self.prefills[prefill].is_up,
                on_first=lambda: self._first(attempt),
                on_end=lambda whole: self._end(attempt, whole),
            )
            attempt.began = now
            if not self.decodes[decode].offer(run):
                self._wasted += attempt.call.prompt_tokens
                self._policy.ended(self, attempt, 0.0)
                self.refuse(attempt, 1.0)

        if prefill >= 0 and self.prefills[prefill].is_up:
            self.prefills[prefill].read(attempt.call.prompt_tokens, decode_it)
        else:
            decode_it()

    def refuse(self, attempt: Attempt, retry_after_s: float) -> None:
        """Refuse an attempt; its caller comes back once."""
        call = attempt.call
        at = self.clock.seconds() + retry_after_s
        if attempt.number > 1 or at > call.at + self.day.deadline_s:
            self._outcomes[call.name] = Outcome(call, "refused")
            return
        self.clock.callLater(
            retry_after_s, self._ask, Attempt(call, attempt.number + 1, at)
        )

    def patience_s(self) -> float:
        """How long a caller waits for the first event of an attempt."""
        return max(MIN_PATIENCE_S, PATIENCE_OBJECTIVES * self.day.in_time_s)

    def _begin(self, call: slot_days.Call) -> None:
        for domain, start, end in self.day.cuts:
            if call.domain == domain and start <= call.at < end:
                self._outcomes[call.name] = Outcome(call, "cut")
                return
        self._ask(Attempt(call, 1, call.at))

    def _ask(self, attempt: Attempt) -> None:
        self._policy.ask(self, attempt)

    def _first(self, attempt: Attempt) -> None:
        now = self.clock.seconds()
        if now - attempt.at <= self.patience_s():
            attempt.first_s = now - attempt.call.at

    def _end(self, attempt: Attempt, whole: bool) -> None:
        state = "failed"
        if whole and math.isfinite(attempt.first_s):
            is_in_time = attempt.first_s <= self.day.in_time_s
            state = "in_time" if is_in_time else "late"
        self._outcomes[attempt.call.name] = Outcome(
            attempt.call, state, attempt.first_s
        )
        run_s = self.clock.seconds() - attempt.began if whole else 0.0
        self._policy.ended(self, attempt, run_s)

    def _lose(self, loss: slot_days.Loss) -> None:
        self.usable[loss.worker] = False
        prefills = len(self.prefills)
        if loss.is_crash and loss.worker >= prefills:
            self.decodes[loss.worker - prefills].crash()
        elif loss.is_crash:
            self.prefills[loss.worker].is_up = False
        self._policy.changed(self)

    def _restore(self, loss: slot_days.Loss) -> None:
        self.usable[loss.worker] = True
        prefills = len(self.prefills)
        if loss.worker >= prefills:
            self.decodes[loss.worker - prefills].is_up = True
        else:
            self.prefills[loss.worker].is_up = True
        self._policy.changed(self)


class QueuePolicy:
    """The product's own queue."""

    def __init__(self, make: Callable[[], slot_queue.SlotQueue]) -> None:
        self._queue = make()
        self._asks: dict[str, Attempt] = {}
        self._running: dict[str, slot_types.HeldSlot] = {}
        self._is_pumping = False

    def ask(self, world: World, attempt: Attempt) -> None:
        """Take in an attempt."""
        if not self._is_pumping:
            self._is_pumping = True
            self.changed(world)
            self._pump(world)
        call, day = attempt.call, world.day
        self._asks[attempt.name] = attempt
        decisions = self._queue.submit(
            attempt.at,
            slot_types.SlotRequest(
                exchange=attempt.name,
                host=HOST,
                prompt_tokens=call.prompt_tokens,
                expected_tokens=call.hinted_tokens,
                priority=0,
                requested_at=call.at,
                in_time_by=call.at + day.in_time_s,
                give_up_at=min(
                    attempt.at + world.patience_s() - PATIENCE_MARGIN_S,
                    call.at + day.deadline_s,
                ),
            ),
        )
        self._act(world, decisions)

    def ended(self, world: World, attempt: Attempt, run_s: float) -> None:
        """Take in that an attempt's slot is free."""
        now = world.clock.seconds()
        if run_s > 0.0:
            call = attempt.call
            events = math.ceil(
                call.output_tokens / world.day.engine.event_tokens
            )
            name = f"d{attempt.decode}"
            self._queue.record_run(name, call.hinted_tokens, events, run_s)
        self._running.pop(attempt.name, None)
        self._queue.release(attempt.name)
        self._act(world, self._queue.dispatch(now))

    def read(self, world: World, attempt: Attempt, took_s: float) -> None:
        """Take in that a prompt has been read."""
        self._queue.record_prefill(world.clock.seconds(), attempt.name, took_s)

    def changed(self, world: World) -> None:
        """Take in that workers went or came back."""
        engine = world.day.engine
        workers = [
            _worker(f"p{i}", "prefill", engine.slots)
            for i in range(engine.prefills)
            if world.usable[i]
        ]
        workers += [
            _worker(f"d{i}", "decode", engine.slots)
            for i in range(engine.decodes)
            if world.usable[engine.prefills + i]
        ]
        self._queue.set_workers(tuple(workers), kv_tokens=engine.memory_tokens)

    def _pump(self, world: World) -> None:
        now = world.clock.seconds()
        self._queue.confirm(now, HOST, list(self._running.values()))
        self._act(world, self._queue.dispatch(now))
        world.clock.callLater(PUMP_PERIOD_S, self._pump, world)

    def _act(self, world: World, decisions: list[slot_types.Decision]) -> None:
        for decision in decisions:
            attempt = self._asks[decision.exchange]
            if isinstance(decision, slot_types.Grant):
                prefill = int(decision.prefill[1:]) if decision.prefill else -1
                self._running[attempt.name] = slot_types.HeldSlot(
                    attempt.name,
                    HOST,
                    decision.decode,
                    "",
                    attempt.call.prompt_tokens,
                    attempt.call.hinted_tokens,
                    world.clock.seconds(),
                    world.clock.seconds(),
                )
                world.start(attempt, prefill, int(decision.decode[1:]))
            else:
                world.refuse(attempt, decision.retry_after_s)


class NaivePolicy:
    """Hosts that decide alone by their own sends, and refuse nothing."""

    def __init__(self, seed: int) -> None:
        self._chance = random.Random(seed)
        self._sends: dict[tuple[int, int], int] = {}
        self._hosts: dict[str, int] = {}

    def ask(self, world: World, attempt: Attempt) -> None:
        """Take in an attempt."""
        host = self._chance.randrange(NAIVE_HOSTS)
        engine = world.day.engine
        decodes = [
            i
            for i in range(engine.decodes)
            if world.usable[engine.prefills + i]
            and self._sends.get((host, i), 0) < NAIVE_RUNS
        ]
        prefills = [i for i in range(engine.prefills) if world.usable[i]]
        if not decodes:
            world.refuse(attempt, NAIVE_RETRY_AFTER_S)
            return
        decode = min(decodes, key=lambda i: self._sends.get((host, i), 0))
        self._hosts[attempt.name] = host
        key = (host, decode)
        self._sends[key] = self._sends.get(key, 0) + 1
        prefill = self._chance.choice(prefills) if prefills else -1
        world.start(attempt, prefill, decode)

    def ended(self, world: World, attempt: Attempt, run_s: float) -> None:
        """Take in that an attempt's slot is free."""
        self._sends[(self._hosts[attempt.name], attempt.decode)] -= 1

    def read(self, world: World, attempt: Attempt, took_s: float) -> None:
        """Take in that a prompt has been read."""

    def changed(self, world: World) -> None:
        """Take in that workers went or came back."""


def _worker(name: str, stage: str, slots: int) -> backend.Backend:
    return backend.Backend(
        name, 0, "model", f"{name}:1", "", slots, False, stage
    )
