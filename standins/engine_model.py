"""Simulated model engine: batching, memory, prefix cache and link."""

from collections import OrderedDict
from collections import deque
import hashlib
import heapq
from typing import Any
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import prompts
from standins import answers

# An engine crashes when it prefills or decodes a prompt with the mark.
PREFILL_CRASH_MARK = "\u2620crash\u2620"
DECODE_CRASH_MARK = "\u2620decode\u2620"


class Costs(NamedTuple):
    """Capacity of an engine and its linear costs.

    Attributes:
      prefill_base_s: Fixed time of a prefill, seconds.
      prefill_token_s: Time of a prefill for each token not in the cache,
        seconds.
      step_base_s: Fixed time of a decode step, seconds.
      step_run_s: Time of a decode step for each run in the batch, seconds.
      kv_token_bytes: Size of the KV cache of a token, bytes.
      link_bytes_s: Rate at which the link exports KV caches, bytes a second.
      kv_ttl_s: Time that a prefill result is kept, seconds.
      slots: Number of runs that decode memory holds.
      cache_blocks: Number of blocks that the prefix cache holds.
    """

    prefill_base_s: float = 0.01
    prefill_token_s: float = 0.00005
    step_base_s: float = 0.008
    step_run_s: float = 0.0006
    kv_token_bytes: int = 65_536
    link_bytes_s: float = 2.5e9
    kv_ttl_s: float = 0.8
    slots: int = 20
    cache_blocks: int = 256


class PrefillResult(NamedTuple):
    """Result of a prefill.

    Attributes:
      handle: Handle by which a decode engine fetches the KV cache.
      kv_bytes: Size of the KV cache, bytes.
      cached_tokens: Number of prompt tokens found in the prefix cache.
    """

    handle: str
    kv_bytes: int
    cached_tokens: int


class EngineRefusedError(Exception):
    """The engine refuses an operation; `reason` is the error code."""

    def __init__(self, reason: str) -> None:
        self.reason = reason
        super().__init__(reason)


class Run:
    """A decode run in engine memory.

    Attributes:
      run_id: Unique id of the run.
      host: Host that started it.
      tokens: All tokens of the answer; empty until decoding starts.
      generated_count: Number of tokens generated so far.
      started_at: When its slot was reserved, seconds of the clock.
      waiters: Readers to notify of the next token or the end of the run.
    """

    def __init__(
        self,
        run_id: str,
        host: str,
        tokens: list[bytes],
        generated_count: int,
        now: float,
    ) -> None:
        self.run_id = run_id
        self.host = host
        self.tokens = tokens
        self.generated_count = generated_count
        self.started_at = now
        self.waiters: list[defer.Deferred[None]] = []

    @property
    def finished(self) -> bool:
        """Whether every token has been generated."""
        return self.generated_count >= len(self.tokens)

    def notify_readers(self) -> None:
        """Notify the readers of a new token or of the end of the run."""
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter.callback(None)


class Engine:
    """Prefill and decode of one stand-in engine on an injected clock.

    Attributes:
      leaving: Whether new work is refused.
      fence: Highest fencing number of the orders so far.
      checks_fence: Whether orders with an outdated fencing number are refused.
      orders: Fencing number and `leaving` of the applied orders.
      runs: Runs that hold a slot, by run id.
      ended_runs: Recently ended runs, by run id.
      kv: Size of the KV cache in bytes, number of prefilled tokens and host of
        each prefill result, by handle.
      cache: Block digests in the prefix cache, least recently used first.
      cache_events: Number, kind and digest of the latest cache changes.
      counts: Counters by name.
      operation_log: Kind, run id and prompt digest of the latest operations.
    """

    def __init__(self, clock: Any, role: str, costs: Costs) -> None:
        self._clock = clock
        self.role = role
        self.costs = costs
        self.leaving = False
        self.fence = 0
        self.checks_fence = True
        self.orders: list[tuple[int, bool]] = []
        self.runs: dict[str, Run] = {}
        self.ended_runs: OrderedDict[str, Run] = OrderedDict()
        self.kv: dict[str, tuple[int, int, str]] = {}
        self.cache: OrderedDict[bytes, None] = OrderedDict()
        self.cache_events: deque[tuple[int, str, str]] = deque(maxlen=512)
        self.counts: dict[str, int] = {}
        self._prefill_queue: list[tuple[int, int, Any]] = []
        self._last_queue_number = 0
        self._prefill_hosts: dict[str, str] = {}
        self._is_prefilling = False
        self._link_free_at = 0.0
        self._is_decoding = False
        self._last_cache_event = 0
        self.operation_log: deque[tuple[str, str, str]] = deque(maxlen=50_000)

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount

    def prefill(
        self, run_id: str, host: str, prompt: str, priority: int
    ) -> defer.Deferred[PrefillResult]:
        """Queue a prefill; lower priority numbers are served first."""
        if self.leaving:
            raise EngineRefusedError("leaving")
        done: defer.Deferred[PrefillResult] = defer.Deferred()
        self.operation_log.append(("prefill", run_id, prompt_digest(prompt)))
        self._last_queue_number += 1
        self._prefill_hosts[run_id] = host
        job = (run_id, prompt, done)
        heapq.heappush(
            self._prefill_queue, (priority, self._last_queue_number, job)
        )
        self._start_next_prefill()
        return done

    def _start_next_prefill(self) -> None:
        if self._is_prefilling or not self._prefill_queue:
            return
        _, _, (run_id, prompt, done) = heapq.heappop(self._prefill_queue)
        if run_id not in self._prefill_hosts:
            done.errback(EngineRefusedError("cancelled"))
            self._start_next_prefill()
            return
        self._is_prefilling = True
        total = answers.prompt_tokens(prompt)
        cached = min(total, self._update_cache(prompt) * prompts.BLOCK_TOKENS)
        self.count("prefill_tokens", total - cached)
        seconds = self.costs.prefill_base_s + self.costs.prefill_token_s * (
            total - cached
        )
        self._clock.callLater(
            seconds, self._end_prefill, run_id, done, total, cached
        )

    def _end_prefill(
        self,
        run_id: str,
        done: defer.Deferred[PrefillResult],
        total: int,
        cached: int,
    ) -> None:
        self._is_prefilling = False
        self._start_next_prefill()
        host = self._prefill_hosts.pop(run_id, None)
        if host is None:
            self.count("wasted_prefill_tokens", total - cached)
            done.errback(EngineRefusedError("cancelled"))
            return
        kv_bytes = total * self.costs.kv_token_bytes
        self.kv[run_id] = (kv_bytes, total - cached, host)
        self._clock.callLater(self.costs.kv_ttl_s, self._discard_result, run_id)
        done.callback(PrefillResult(run_id, kv_bytes, cached))

    def _discard_result(self, handle: str) -> None:
        entry = self.kv.pop(handle, None)
        if entry is not None:
            self.count("wasted_prefill_tokens", entry[1])

    def _update_cache(self, prompt: str) -> int:
        hits = 0
        is_past_prefix = False
        for digest in prompts.block_digests(prompt):
            is_past_prefix = is_past_prefix or digest not in self.cache
            hits += not is_past_prefix
            if digest not in self.cache:
                self._add_cache_event("add", digest)
            self.cache[digest] = None
            self.cache.move_to_end(digest)
        while len(self.cache) > self.costs.cache_blocks:
            digest, _ = self.cache.popitem(last=False)
            self._add_cache_event("drop", digest)
        return hits

    def _add_cache_event(self, kind: str, digest: bytes) -> None:
        self._last_cache_event += 1
        self.cache_events.append((self._last_cache_event, kind, digest.hex()))

    def export(self, handle: str) -> defer.Deferred[int]:
        """Send a prefill result over the link and free its memory here."""
        if handle not in self.kv:
            raise EngineRefusedError("kv_gone")
        kv_bytes, _, _ = self.kv.pop(handle)
        now = self._clock.seconds()
        start = max(now, self._link_free_at)
        self._link_free_at = start + kv_bytes / self.costs.link_bytes_s
        done: defer.Deferred[int] = defer.Deferred()
        self._clock.callLater(self._link_free_at - now, done.callback, kv_bytes)
        return done

    def reserve(self, run_id: str, host: str) -> None:
        """Reserve a slot for a run that is about to be imported."""
        if self.leaving:
            raise EngineRefusedError("leaving")
        if run_id in self.runs or run_id in self.ended_runs:
            raise EngineRefusedError("exists")
        if len(self.runs) >= self.costs.slots:
            raise EngineRefusedError("full")
        self.runs[run_id] = Run(run_id, host, [], 0, self._clock.seconds())

    def start(
        self, run_id: str, prompt: str, first_token: int, max_tokens: int
    ) -> None:
        """Start to decode an imported run."""
        run = self.runs.get(run_id)
        if run is None:
            raise EngineRefusedError("cancelled")
        run.tokens = answers.answer_tokens(prompt, max_tokens)
        run.generated_count = min(first_token, len(run.tokens))
        self.count("decode_runs")
        self.operation_log.append(("decode", run_id, prompt_digest(prompt)))
        if not self._is_decoding:
            self._is_decoding = True
            self._schedule_step()

    def _schedule_step(self) -> None:
        active = sum(1 for run in self.runs.values() if run.tokens)
        seconds = self.costs.step_base_s + self.costs.step_run_s * active
        self._clock.callLater(seconds, self._step)

    def _step(self) -> None:
        for run in list(self.runs.values()):
            if not run.tokens:
                continue
            if not run.finished:
                run.generated_count += 1
                self.count("decode_tokens")
            if run.finished:
                self._end(run)
            run.notify_readers()
        if any(run.tokens for run in self.runs.values()):
            self._schedule_step()
        else:
            self._is_decoding = False

    def _end(self, run: Run) -> None:
        self.runs.pop(run.run_id, None)
        self.ended_runs[run.run_id] = run
        while len(self.ended_runs) > 256:
            self.ended_runs.popitem(last=False)

    def find(self, run_id: str) -> Run | None:
        """Return a running or recently ended run."""
        return self.runs.get(run_id) or self.ended_runs.get(run_id)

    def cancel(self, run_id: str) -> bool:
        """Cancel a run and free everything held for it.

        Returns:
          Whether anything was held.
        """
        held = self._prefill_hosts.pop(run_id, None) is not None
        if run_id in self.kv:
            held = True
            self._discard_result(run_id)
        run = self.runs.pop(run_id, None)
        self.ended_runs.pop(run_id, None)
        if run is not None:
            held = True
            self.count("cancelled_runs")
            run.notify_readers()
        return held

    def order(self, fence: int, leaving: bool) -> None:
        """Apply an order, or refuse one with an outdated fencing number."""
        if self.checks_fence and fence < self.fence:
            raise EngineRefusedError("stale_fence")
        self.fence = max(fence, self.fence)
        self.leaving = leaving
        self.orders.append((fence, leaving))

    def running(self) -> list[dict[str, Any]]:
        """List runs that hold memory or are queued or running in prefill."""
        now = self._clock.seconds()
        listed = [
            {
                "run_id": r.run_id,
                "host": r.host,
                "phase": "decode",
                "age_s": round(now - r.started_at, 3),
            }
            for r in self.runs.values()
        ]
        listed += [
            {"run_id": run_id, "host": host, "phase": "prefill", "age_s": 0.0}
            for run_id, host in self._prefill_hosts.items()
        ]
        listed += [
            {"run_id": run_id, "host": entry[2], "phase": "kv", "age_s": 0.0}
            for run_id, entry in self.kv.items()
        ]
        return listed

    def report(self, cache_after: int) -> dict[str, Any]:
        """Return the load report.

        Args:
          cache_after: Number of the last cache event that the caller knows;
            the latest 64 of the later ones are included.
        """
        events = [e for e in self.cache_events if e[0] > cache_after]
        return {
            "role": self.role,
            "leaving": self.leaving,
            "slots": self.costs.slots,
            "running": self.running(),
            "queued": len(self._prefill_queue) + self._is_prefilling,
            "cache_last": self._last_cache_event,
            "cache_events": events[-64:],
        }


def prompt_digest(prompt: str) -> str:
    """Return the digest that identifies a prompt in the operation log."""
    return hashlib.blake2b(prompt.encode(), digest_size=8).hexdigest()
