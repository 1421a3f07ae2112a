"""Simulates a day of streams on modelled workers under a slot policy."""

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

# By the deployment's specification, a caller disconnects if no event arrives
# within two seconds or four times the target for the first event, whichever is
# longer.
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVE_FACTOR = 4.0
# Deducted from the caller's patience for network delay, as in `stream_runner`.
PATIENCE_MARGIN_S = 0.2
# Time that a KV cache is kept for its run, as in the site files.
HANDLE_TTL_S = 0.5
DISPATCH_PERIOD_S = 0.05
HOST = "host"
# Independent hosts of the naive policy, as in the deployment's specification.
NAIVE_HOSTS = 8
NAIVE_RUNS_PER_WORKER = 3
NAIVE_RETRY_AFTER_S = 1.0


class Outcome(NamedTuple):
    """Outcome of a stream.

    Attributes:
      call: The stream.
      state: "in_time", "late", "refused", "failed", or "cut" if the caller's
        failure domain was cut off.
      first_event_s: Time from the first attempt to the first event, seconds.
    """

    call: slot_days.Call
    state: str
    first_event_s: float = 0.0


class Result(NamedTuple):
    """Result of a policy on a day.

    Attributes:
      outcomes: Outcome of each stream, in the order of the calls.
      wasted_tokens: Prompt tokens whose prefill was repeated or never used.
    """

    outcomes: tuple[Outcome, ...]
    wasted_tokens: float


class Policy(Protocol):
    """Decides when and on which workers streams run."""

    def submit(self, simulation: "Simulation", attempt: "Attempt") -> None:
        """Submit an attempt."""

    def record_end(
        self, simulation: "Simulation", attempt: "Attempt", run_s: float
    ) -> None:
        """Record that an attempt has released its slot.

        Args:
          simulation: The simulation.
          attempt: The attempt.
          run_s: Duration of the run, seconds; 0 if it is incomplete.
        """

    def record_prefill(
        self, simulation: "Simulation", attempt: "Attempt", duration_s: float
    ) -> None:
        """Record the duration of a prefill."""

    def update_workers(self, simulation: "Simulation") -> None:
        """Update the usable workers."""


class Attempt:
    """One attempt of a caller.

    Attributes:
      call: The stream.
      number: Number of the attempt, from 1.
      start_s: Time of the attempt, seconds.
      decode: Number of the decode worker; -1 before it is chosen.
      decode_start_s: Start of the run on the decode worker, seconds.
      first_event_s: Time from the first attempt to the first event, seconds;
        infinite before it.
    """

    def __init__(
        self, call: slot_days.Call, number: int, start_s: float
    ) -> None:
        self.call = call
        self.number = number
        self.start_s = start_s
        self.decode = -1
        self.decode_start_s = 0.0
        self.first_event_s = math.inf

    @property
    def name(self) -> str:
        """Unique name."""
        return f"{self.call.name}.{self.number}"


class Simulation:
    """Simulates callers, workers and worker losses on virtual time.

    Attributes:
      day: The simulated day.
      clock: Clock of the simulation.
      prefills: Prefill workers.
      decodes: Decode workers.
      usable: Whether each worker accepts new work, by number, prefill workers
        first.
    """

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
        self.usable = [True] * workers
        self._policy = policy
        self._outcomes: dict[str, Outcome] = {}
        self._wasted_tokens = 0.0

    def run(self) -> Result:
        """Run the day and return its result."""
        for call in self.day.calls:
            self.clock.callLater(call.arrival_s, self._arrive, call)
        for loss in self.day.losses:
            self.clock.callLater(loss.start_s, self._remove_worker, loss)
            if math.isfinite(loss.end_s):
                self.clock.callLater(loss.end_s, self._restore_worker, loss)
        self.clock.run(
            min(self.day.abort_at_s, self.day.length_s + slot_days.OVERRUN_S)
        )
        outcomes = tuple(
            self._outcomes.get(c.name, Outcome(c, "failed"))
            for c in self.day.calls
        )
        wasted = self._wasted_tokens + sum(
            w.recomputed_tokens for w in self.decodes
        )
        return Result(outcomes, wasted)

    def start(self, attempt: Attempt, prefill: int, decode: int) -> None:
        """Run an attempt: prefill its prompt, then decode.

        Args:
          attempt: The attempt.
          prefill: Number of the prefill worker, or -1 for a local prefill.
          decode: Number of the decode worker, counted from the first one.
        """
        attempt.decode = decode
        prefill_start_s = self.clock.seconds()

        def start_decode() -> None:
            now = self.clock.seconds()
            if prefill >= 0:
                self._policy.record_prefill(
                    self, attempt, now - prefill_start_s
                )
            run = slot_engines.Run(
                attempt.call,
                is_prefilled=prefill >= 0 and self.prefills[prefill].is_up,
                on_first_event=lambda: self._record_first_event(attempt),
                on_end=lambda is_complete: self._record_end(
                    attempt, is_complete
                ),
            )
            attempt.decode_start_s = now
            if not self.decodes[decode].offer(run):
                self._wasted_tokens += attempt.call.prompt_tokens
                self._policy.record_end(self, attempt, 0.0)
                self.refuse(attempt, 1.0)

        if prefill >= 0 and self.prefills[prefill].is_up:
            self.prefills[prefill].prefill(
                attempt.call.prompt_tokens, start_decode
            )
        else:
            start_decode()

    def refuse(self, attempt: Attempt, retry_after_s: float) -> None:
        """Refuse an attempt; its caller retries once, within its deadline."""
        call = attempt.call
        retry_at_s = self.clock.seconds() + retry_after_s
        if (
            attempt.number > 1
            or retry_at_s > call.arrival_s + self.day.deadline_s
        ):
            self._outcomes[call.name] = Outcome(call, "refused")
            return
        self.clock.callLater(
            retry_after_s,
            self._submit,
            Attempt(call, attempt.number + 1, retry_at_s),
        )

    def patience_s(self) -> float:
        """Return how long a caller waits for the first event, seconds."""
        return max(
            MIN_PATIENCE_S, PATIENCE_OBJECTIVE_FACTOR * self.day.in_time_s
        )

    def _arrive(self, call: slot_days.Call) -> None:
        for domain, start, end in self.day.cuts:
            if call.domain == domain and start <= call.arrival_s < end:
                self._outcomes[call.name] = Outcome(call, "cut")
                return
        self._submit(Attempt(call, 1, call.arrival_s))

    def _submit(self, attempt: Attempt) -> None:
        self._policy.submit(self, attempt)

    def _record_first_event(self, attempt: Attempt) -> None:
        now = self.clock.seconds()
        if now - attempt.start_s <= self.patience_s():
            attempt.first_event_s = now - attempt.call.arrival_s

    def _record_end(self, attempt: Attempt, is_complete: bool) -> None:
        state = "failed"
        if is_complete and math.isfinite(attempt.first_event_s):
            is_in_time = attempt.first_event_s <= self.day.in_time_s
            state = "in_time" if is_in_time else "late"
        self._outcomes[attempt.call.name] = Outcome(
            attempt.call, state, attempt.first_event_s
        )
        run_s = (
            self.clock.seconds() - attempt.decode_start_s
            if is_complete
            else 0.0
        )
        self._policy.record_end(self, attempt, run_s)

    def _remove_worker(self, loss: slot_days.WorkerLoss) -> None:
        self.usable[loss.worker] = False
        prefills = len(self.prefills)
        if loss.is_crash and loss.worker >= prefills:
            self.decodes[loss.worker - prefills].crash()
        elif loss.is_crash:
            self.prefills[loss.worker].is_up = False
        self._policy.update_workers(self)

    def _restore_worker(self, loss: slot_days.WorkerLoss) -> None:
        self.usable[loss.worker] = True
        prefills = len(self.prefills)
        if loss.worker >= prefills:
            self.decodes[loss.worker - prefills].is_up = True
        else:
            self.prefills[loss.worker].is_up = True
        self._policy.update_workers(self)


class QueuePolicy:
    """Policy that uses the `SlotQueue` of the router."""

    def __init__(self, make_queue: Callable[[], slot_queue.SlotQueue]) -> None:
        self._queue = make_queue()
        self._attempts: dict[str, Attempt] = {}
        self._running: dict[str, slot_types.HeldSlot] = {}
        self._is_dispatching = False

    def submit(self, simulation: Simulation, attempt: Attempt) -> None:
        """Submit an attempt."""
        if not self._is_dispatching:
            self._is_dispatching = True
            self.update_workers(simulation)
            self._dispatch_periodically(simulation)
        call, day = attempt.call, simulation.day
        self._attempts[attempt.name] = attempt
        decisions = self._queue.submit(
            attempt.start_s,
            slot_types.SlotRequest(
                exchange=attempt.name,
                host=HOST,
                prompt_tokens=call.prompt_tokens,
                expected_tokens=call.hinted_tokens,
                priority=0,
                requested_at=call.arrival_s,
                in_time_by=call.arrival_s + day.in_time_s,
                give_up_at=min(
                    attempt.start_s
                    + simulation.patience_s()
                    - PATIENCE_MARGIN_S,
                    call.arrival_s + day.deadline_s,
                ),
                customer=call.customer,
            ),
        )
        self._apply(simulation, decisions)

    def record_end(
        self, simulation: Simulation, attempt: Attempt, run_s: float
    ) -> None:
        """Record that an attempt has released its slot."""
        now = simulation.clock.seconds()
        if run_s > 0.0:
            call = attempt.call
            events = math.ceil(
                call.output_tokens / simulation.day.engine.event_tokens
            )
            name = f"d{attempt.decode}"
            self._queue.record_run(name, call.hinted_tokens, events, run_s)
        self._running.pop(attempt.name, None)
        self._queue.release(attempt.name)
        self._apply(simulation, self._queue.dispatch(now))

    def record_prefill(
        self, simulation: Simulation, attempt: Attempt, duration_s: float
    ) -> None:
        """Record the duration of a prefill."""
        self._queue.record_prefill(
            simulation.clock.seconds(), attempt.name, duration_s
        )

    def update_workers(self, simulation: Simulation) -> None:
        """Update the usable workers."""
        engine = simulation.day.engine
        workers = [
            _worker(f"p{i}", "prefill", engine.slots)
            for i in range(engine.prefills)
            if simulation.usable[i]
        ]
        workers += [
            _worker(f"d{i}", "decode", engine.slots)
            for i in range(engine.decodes)
            if simulation.usable[engine.prefills + i]
        ]
        self._queue.set_workers(
            simulation.clock.seconds(),
            tuple(workers),
            kv_tokens=engine.memory_tokens,
        )

    def _dispatch_periodically(self, simulation: Simulation) -> None:
        now = simulation.clock.seconds()
        self._queue.confirm(now, HOST, list(self._running.values()))
        self._apply(simulation, self._queue.dispatch(now))
        simulation.clock.callLater(
            DISPATCH_PERIOD_S, self._dispatch_periodically, simulation
        )

    def _apply(
        self, simulation: Simulation, decisions: list[slot_types.Decision]
    ) -> None:
        for decision in decisions:
            attempt = self._attempts[decision.exchange]
            if isinstance(decision, slot_types.Grant):
                prefill = int(decision.prefill[1:]) if decision.prefill else -1
                self._running[attempt.name] = slot_types.HeldSlot(
                    attempt.name,
                    HOST,
                    decision.decode,
                    "",
                    attempt.call.prompt_tokens,
                    attempt.call.hinted_tokens,
                    simulation.clock.seconds(),
                    simulation.clock.seconds(),
                )
                simulation.start(attempt, prefill, int(decision.decode[1:]))
            else:
                simulation.refuse(attempt, decision.retry_after_s)


class NaivePolicy:
    """Policy of independent hosts, each of which sees only its own runs.

    They refuse an attempt only if every worker holds the limit of their runs.
    """

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(seed)
        self._running: dict[tuple[int, int], int] = {}
        self._hosts: dict[str, int] = {}

    def submit(self, simulation: Simulation, attempt: Attempt) -> None:
        """Submit an attempt."""
        host = self._rng.randrange(NAIVE_HOSTS)
        engine = simulation.day.engine
        decodes = [
            i
            for i in range(engine.decodes)
            if simulation.usable[engine.prefills + i]
            and self._running.get((host, i), 0) < NAIVE_RUNS_PER_WORKER
        ]
        prefills = [i for i in range(engine.prefills) if simulation.usable[i]]
        if not decodes:
            simulation.refuse(attempt, NAIVE_RETRY_AFTER_S)
            return
        decode = min(decodes, key=lambda i: self._running.get((host, i), 0))
        self._hosts[attempt.name] = host
        key = (host, decode)
        self._running[key] = self._running.get(key, 0) + 1
        prefill = self._rng.choice(prefills) if prefills else -1
        simulation.start(attempt, prefill, decode)

    def record_end(
        self, simulation: Simulation, attempt: Attempt, run_s: float
    ) -> None:
        """Record that an attempt has released its slot."""
        self._running[(self._hosts[attempt.name], attempt.decode)] -= 1

    def record_prefill(
        self, simulation: Simulation, attempt: Attempt, duration_s: float
    ) -> None:
        """Do nothing: the hosts don't estimate durations."""

    def update_workers(self, simulation: Simulation) -> None:
        """Do nothing: each attempt looks up the usable workers."""


def _worker(name: str, stage: str, slots: int) -> backend.Backend:
    return backend.Backend(
        name, 0, "model", f"{name}:1", "", slots, False, stage
    )
