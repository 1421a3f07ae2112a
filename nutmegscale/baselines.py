"""Common placement policies of routers, as baselines for comparison.

They choose prefill and decode workers independently, know loads from reports
only, reserve nothing, and refuse a request only if there is no worker for it.
"""

from result import Err
from result import Ok

from nutmegscale import config
from nutmegscale import placement
from nutmegscale import rendezvous
from nutmegscale import worker

RETRY_AFTER_S = 1.0
# Number of leading blocks of a prompt whose digest selects the prefill worker.
AFFINITY_BLOCKS = 4
UNREACHABLE_PAUSE_S = 3.0


class _Baseline:
    """Common base of the baseline policies."""

    def __init__(
        self, *, goodput_weight: float = 1.0, waste_weight: float = 0.2
    ) -> None:
        self._workers: dict[str, worker.Worker] = {}
        self._engines: dict[str, config.Engine] = {}
        self._load: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._unreachable_until: dict[str, float] = {}

    def last_cache_event(self, name: str) -> int:
        """Return 0: cache events aren't used."""
        return 0

    def set_workers(
        self, workers: list[worker.Worker], engines: dict[str, config.Engine]
    ) -> None:
        """Replace the workers; see `placement.Planner`."""
        self._workers = {w.name: w for w in workers}
        self._engines = {
            w.name: engines[w.pool] for w in workers if w.pool in engines
        }

    def plan(
        self, now: float, request: placement.Request
    ) -> placement.PlanResult:
        """Place a request; see `placement.Planner`."""
        prefills = self._usable(now, request, "prefill")
        decodes = self._usable(now, request, "decode")
        if not prefills or not decodes:
            return Err(placement.Refusal("no_worker", RETRY_AFTER_S))
        prefill = self._workers[self._pick_prefill(request, prefills)]
        decode = self._workers[self._pick_decode(request, decodes)]
        engine = self._engines[prefill.name]
        prefill_s = (
            engine["prefill_base_s"]
            + engine["prefill_token_s"] * request.prompt_tokens
        )
        kv_bytes = request.prompt_tokens * engine["kv_token_bytes"]
        transfer_s = kv_bytes / engine["link_bytes_s"]
        return Ok(
            placement.Grant(
                prefill.name,
                prefill.address,
                decode.name,
                decode.address,
                0.0,
                prefill_s,
                transfer_s,
                prefill_s + transfer_s,
            )
        )

    def _usable(
        self, now: float, request: placement.Request, role: str
    ) -> list[str]:
        return [
            name
            for name, w in self._workers.items()
            if w.role == role
            and name in self._engines
            and not w.leaving
            and name not in self._leaving
            and name not in request.avoid
            and self._unreachable_until.get(name, 0.0) <= now
        ]

    def _pick_prefill(
        self, request: placement.Request, names: list[str]
    ) -> str:
        raise NotImplementedError

    def _pick_decode(self, request: placement.Request, names: list[str]) -> str:
        raise NotImplementedError

    def record_late_prefill(self, now: float, exchange: str) -> None:
        """Do nothing: nothing is reserved."""

    def record_start(
        self, now: float, exchange: str, prefill_s: float, transfer_s: float
    ) -> None:
        """Do nothing: nothing is reserved."""

    def release(self, now: float, exchange: str, tokens: int) -> None:
        """Do nothing: nothing is reserved."""

    def clear_suspect(self, now: float, exchange: str) -> None:
        """Do nothing: suspects aren't run apart from each other."""

    def observe(self, now: float, name: str, report: worker.Report) -> None:
        """Record a load report; see `placement.Planner`."""
        self._unreachable_until.pop(name, None)
        self._load[name] = len(report.running) + report.queued
        if report.leaving:
            self._leaving.add(name)
        else:
            self._leaving.discard(name)

    def mark_unreachable(self, now: float, name: str) -> None:
        """Record that a worker is unreachable; see `placement.Planner`."""
        self._unreachable_until[name] = now + UNREACHABLE_PAUSE_S

    def _least_loaded(self, names: list[str]) -> str:
        return min(names, key=lambda name: (self._load.get(name, 0), name))


class RoundRobin(_Baseline):
    """Each worker in turn."""

    def __init__(
        self, *, goodput_weight: float = 1.0, waste_weight: float = 0.2
    ) -> None:
        super().__init__(
            goodput_weight=goodput_weight, waste_weight=waste_weight
        )
        self._turn = 0

    def _pick_prefill(
        self, request: placement.Request, names: list[str]
    ) -> str:
        self._turn += 1
        return names[self._turn % len(names)]

    def _pick_decode(self, request: placement.Request, names: list[str]) -> str:
        return names[self._turn % len(names)]


class LeastLoaded(_Baseline):
    """The worker with the least load in the latest report."""

    def _pick_prefill(
        self, request: placement.Request, names: list[str]
    ) -> str:
        return self._least_loaded(names)

    def _pick_decode(self, request: placement.Request, names: list[str]) -> str:
        return self._least_loaded(names)


class PrefixAffinity(_Baseline):
    """Prefill worker by hash of the leading blocks, decode by least load."""

    def _pick_prefill(
        self, request: placement.Request, names: list[str]
    ) -> str:
        if not request.blocks:
            return self._least_loaded(names)
        key = request.blocks[min(AFFINITY_BLOCKS, len(request.blocks)) - 1]
        return rendezvous.rank(key, names)[0]

    def _pick_decode(self, request: placement.Request, names: list[str]) -> str:
        return self._least_loaded(names)
