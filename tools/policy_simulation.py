"""Simulates a placement policy over stand-in engines on virtual time."""

import random
from typing import Any
from typing import NamedTuple

from result import Ok

from nutmegscale import config
from nutmegscale import engine_http
from nutmegscale import folder
from nutmegscale import placement
from nutmegscale import planners
from nutmegscale import prompts
from nutmegscale import worker
from standins import answers
from standins import engine_model
from tools import event_clock

MESSAGE_DELAY_S = 0.0005
REPORT_PERIOD_S = 0.25
REPORT_LAG_S = 0.2
SLOW_REPORT_LAG_S = 2.0
MAX_ATTEMPTS = 4
RESERVE_RETRY_S = 0.02
UNREACHABLE_TIMEOUT_S = 0.6
# Time in which hosts plan independently after their planning host failed.
FAILOVER_S = 1.5
PREFILL_LATE_MARGIN_S = 0.02
SLOW_LINK_FACTOR = 3
# Number of hosts that plan independently in this time.
FAILOVER_PLANNERS = 3
FAULTS = (
    "none",
    "worker_dies",
    "link_slow",
    "reports_lag",
    "events_lost",
    "host_dies",
    "domain_cut",
)


class Deployment(NamedTuple):
    """A deployment and the requests that its callers send.

    Attributes:
      name: Name of its folder under examples/.
      service: Name of the model service.
      prefills: Number of prefill workers.
      decodes: Number of decode workers.
      prefix_tokens: Length of the prefix shared by all prompts, tokens.
      prompt_tokens: Median length of the rest of a prompt, tokens.
      spread: Sigma of the log-normal length of that rest.
      output_tokens: Smallest and largest `max_tokens` of a request.
    """

    name: str
    service: str
    prefills: int
    decodes: int
    prefix_tokens: int
    prompt_tokens: int
    spread: float
    output_tokens: tuple[int, int]


FEDERATION = Deployment(
    "federation", "notes-model", 2, 3, 0, 1_000, 0.7, (24, 160)
)
CONSORTIUM = Deployment(
    "consortium", "appraiser-llm", 2, 3, 2_048, 600, 0.6, (32, 200)
)


class Request(NamedTuple):
    """A simulated request.

    Attributes:
      number: Sequence number.
      arrival_s: Time of arrival, seconds.
      caller: Name of the caller.
      prompt: Text of the prompt.
      max_tokens: Limit on the length of the answer, tokens.
    """

    number: int
    arrival_s: float
    caller: str
    prompt: str
    max_tokens: int


class Result(NamedTuple):
    """Counts of a run.

    Attributes:
      offered: Requests that arrived.
      bound: Upper bound on the requests answered within both targets.
      good: Requests answered within both targets.
      answered: Requests answered at all.
      refused: Requests that the planner refused.
      prefill_tokens: Tokens prefilled.
      wasted_tokens: Prefilled tokens whose result was discarded.
    """

    offered: int
    bound: float
    good: int
    answered: int
    refused: int
    prefill_tokens: int
    wasted_tokens: int


class _Server(NamedTuple):
    """An engine and its description for the planner."""

    worker: worker.Worker
    engine: engine_model.Engine


class _Progress:
    """State of one request during the simulation.

    Attributes:
      request: The request.
      attempts: Number of attempts so far.
      avoided_workers: Workers that failed in earlier attempts.
      first_at: Time of the first token, seconds; None before it.
      sent_at: Time at which the prefill was sent, seconds.
      ready_at: Time at which the prefill was complete, seconds.
      planner: Planner of the latest attempt.
    """

    def __init__(self, request: Request) -> None:
        self.request = request
        self.attempts = 0
        self.avoided_workers: tuple[str, ...] = ()
        self.first_at: float | None = None
        self.sent_at = 0.0
        self.ready_at = 0.0
        self.planner: placement.Planner | None = None


class Simulation:
    """Simulates engines, a planner and requests of one run."""

    def __init__(
        self,
        deployment: Deployment,
        policy: str,
        fault: str,
        seed: int,
        objective: config.Objective | None = None,
    ) -> None:
        self.clock = event_clock.EventClock()
        self._deployment = deployment
        self._policy = policy
        self._fault = fault
        self._rng = random.Random(seed)
        document = folder.load(f"examples/{deployment.name}")
        self._objective = objective or document["objective"]
        self._service = document["services"][deployment.service]
        profile: Any = document.get("engines", {})["standard"]
        self.profile: config.Engine = profile
        self._costs = engine_model.Costs(**profile)
        self._servers: dict[str, _Server] = {}
        for number in range(deployment.prefills):
            self._add_server(f"prefill-{number}", "prefill")
        for number in range(deployment.decodes):
            self._add_server(f"decode-{number}", "decode")
        self._planner = self._make_planner()
        self._failover_planners: list[placement.Planner] = []
        self._cut_off: set[str] = set()
        self._crashed: set[str] = set()
        self._event_loss_probability = 0.5 if fault == "events_lost" else 0.0
        self._lag_s = (
            SLOW_REPORT_LAG_S if fault == "reports_lag" else REPORT_LAG_S
        )
        self.good = self.answered = self.refused = 0

    def _add_server(self, name: str, role: Any) -> None:
        entry = worker.Worker(
            name,
            f"http://{name}",
            "d",
            role,
            self._deployment.service,
            role,
            False,
        )
        engine = engine_model.Engine(self.clock, role, self._costs)
        self._servers[name] = _Server(entry, engine)

    def _make_planner(self) -> placement.Planner:
        planner = planners.make_planner(self._policy, self._objective)
        planner.set_workers(
            [s.worker for s in self._servers.values()],
            {"prefill": self.profile, "decode": self.profile},
        )
        return planner

    def run(self, requests: list[Request], seconds: float) -> None:
        """Run all requests.

        The clock runs for 15 s beyond the arrivals so that requests finish.
        """
        for request in requests:
            self.clock.callLater(
                request.arrival_s, self._plan, _Progress(request)
            )
        self._schedule_faults(seconds)
        self._report()
        self.clock.run(seconds + 15.0)

    def _schedule_faults(self, seconds: float) -> None:
        start_s, end_s = seconds / 3, seconds * 2 / 3
        schedule = self.clock.callLater
        if self._fault == "worker_dies":
            schedule(start_s, self._crash_worker, "decode-0")
            schedule(end_s, self._restart_worker, "decode-0")
        elif self._fault == "link_slow":
            schedule(
                start_s,
                self._set_link_rate,
                self.profile["link_bytes_s"] / SLOW_LINK_FACTOR,
            )
            schedule(end_s, self._set_link_rate, self.profile["link_bytes_s"])
        elif self._fault == "host_dies":
            schedule(seconds / 2, self._fail_owner)
        elif self._fault == "domain_cut":
            schedule(start_s, self._cut_off.update, ("prefill-0", "decode-0"))
            schedule(end_s, self._cut_off.clear)

    def _crash_worker(self, name: str) -> None:
        self._crashed.add(name)
        engine = self._servers[name].engine
        for run_id in list(engine.runs):
            engine.cancel(run_id)

    def _restart_worker(self, name: str) -> None:
        self._crashed.discard(name)

    def _set_link_rate(self, bytes_s: float) -> None:
        for server in self._servers.values():
            engine = server.engine
            engine.costs = engine.costs._replace(link_bytes_s=bytes_s)

    def _fail_owner(self) -> None:
        """Let hosts plan independently until a new owner starts empty.

        The owner is the host that plans for all others.
        """
        self._failover_planners = [
            self._make_planner() for _ in range(FAILOVER_PLANNERS)
        ]
        self.clock.callLater(FAILOVER_S, self._replace_owner)

    def _replace_owner(self) -> None:
        self._failover_planners = []
        self._planner = self._make_planner()

    def _is_reachable(self, name: str) -> bool:
        return name not in self._crashed and name not in self._cut_off

    def _report(self) -> None:
        for name, server in self._servers.items():
            last = self._planner.last_cache_event(name)
            report = server.engine.report(last)
            report["cache_events"] = [
                e
                for e in report["cache_events"]
                if self._rng.random() >= self._event_loss_probability
            ]
            lag_s = (
                self._lag_s
                if self._is_reachable(name)
                else UNREACHABLE_TIMEOUT_S
            )
            self.clock.callLater(lag_s, self._apply_report, name, report)
        self.clock.callLater(REPORT_PERIOD_S, self._report)

    def _apply_report(self, name: str, report: dict[str, Any]) -> None:
        now = self.clock.seconds()
        parsed = engine_http.parse_report(report)
        for planner in (self._planner, *self._failover_planners):
            if self._is_reachable(name):
                planner.observe(now, name, parsed)
            else:
                planner.mark_unreachable(now, name)

    def _plan(self, progress: _Progress) -> None:
        if progress.attempts >= MAX_ATTEMPTS:
            return
        progress.attempts += 1
        now = self.clock.seconds()
        request = progress.request
        planner = self._planner
        if self._failover_planners:
            planner = self._rng.choice(self._failover_planners)
        progress.planner = planner
        placement_request = placement.Request(
            str(request.number),
            request.caller,
            1.0,
            3,
            prompts.count_tokens(request.prompt),
            prompts.block_digests(request.prompt),
            request.max_tokens,
            self._service.get("first_token_s", 0.54),
            self._service.get("token_gap_s", 0.031),
            now - request.arrival_s,
            progress.attempts > 1,
            False,
            progress.avoided_workers,
        )
        result = planner.plan(now, placement_request)
        if not isinstance(result, Ok):
            self.refused += 1
            return
        grant = result.ok_value
        self.clock.callLater(
            MESSAGE_DELAY_S * 2 + grant.start_in_s,
            self._prefill,
            progress,
            grant,
        )

    def _retry(
        self, progress: _Progress, after_s: float, avoid: str = ""
    ) -> None:
        if avoid:
            progress.avoided_workers = (*progress.avoided_workers, avoid)
        self.clock.callLater(after_s, self._plan, progress)

    def _prefill(self, progress: _Progress, grant: placement.Grant) -> None:
        if not self._is_reachable(grant.prefill):
            self._retry(progress, UNREACHABLE_TIMEOUT_S, grant.prefill)
            return
        run_id = f"{progress.request.number}.{progress.attempts}"
        engine = self._servers[grant.prefill].engine
        progress.sent_at = self.clock.seconds()
        late_timer = self.clock.callLater(
            grant.prefill_s + PREFILL_LATE_MARGIN_S,
            self._record_late_prefill,
            progress,
        )
        prefilled = engine.prefill(run_id, "h", progress.request.prompt, 3)
        prefilled.addBoth(_cancel_timer, late_timer)
        prefilled.addCallback(
            lambda _: self._transfer(progress, grant, run_id, 0)
        )
        prefilled.addErrback(lambda _: self._retry(progress, 0.0))

    def _record_late_prefill(self, progress: _Progress) -> None:
        assert progress.planner is not None
        progress.planner.record_late_prefill(
            self.clock.seconds(), str(progress.request.number)
        )

    def _transfer(
        self,
        progress: _Progress,
        grant: placement.Grant,
        run_id: str,
        waits: int,
    ) -> None:
        if not self._is_reachable(grant.decode):
            self._retry(progress, UNREACHABLE_TIMEOUT_S, grant.decode)
            return
        if not waits:
            progress.ready_at = self.clock.seconds()
        source = self._servers[grant.prefill].engine
        target = self._servers[grant.decode].engine
        if run_id not in source.kv:
            self._retry(progress, 0.0)
            return
        try:
            target.reserve(run_id, "h")
        except engine_model.EngineRefusedError:
            self.clock.callLater(
                RESERVE_RETRY_S,
                self._transfer,
                progress,
                grant,
                run_id,
                waits + 1,
            )
            return
        exported = source.export(run_id)
        exported.addCallback(lambda _: self._start(progress, grant, run_id))

    def _start(
        self, progress: _Progress, grant: placement.Grant, run_id: str
    ) -> None:
        engine = self._servers[grant.decode].engine
        if run_id not in engine.runs:
            self._retry(progress, 0.0, grant.decode)
            return
        engine.start(
            run_id, progress.request.prompt, 0, progress.request.max_tokens
        )
        assert progress.planner is not None
        now = self.clock.seconds()
        progress.planner.record_start(
            now,
            str(progress.request.number),
            progress.ready_at - progress.sent_at,
            now - progress.ready_at,
        )
        self._await_token(progress, grant, run_id)

    def _await_token(
        self, progress: _Progress, grant: placement.Grant, run_id: str
    ) -> None:
        run = self._servers[grant.decode].engine.find(run_id)
        if run is None:
            self._retry(progress, UNREACHABLE_TIMEOUT_S, grant.decode)
            return
        now = self.clock.seconds()
        if run.generated_count and progress.first_at is None:
            progress.first_at = now
        if run.finished:
            self._end(progress, len(run.tokens), now)
            return
        from twisted.internet import defer  # noqa: PLC0415

        waiter: defer.Deferred[None] = defer.Deferred()
        run.waiters.append(waiter)
        waiter.addCallback(lambda _: self._await_token(progress, grant, run_id))

    def _end(self, progress: _Progress, tokens: int, now: float) -> None:
        assert progress.first_at is not None
        assert progress.planner is not None
        number = str(progress.request.number)
        progress.planner.release(now, number, tokens)
        self._planner.release(now, number, tokens)
        self.answered += 1
        gap_s = (now - progress.first_at) / max(1, tokens - 1)
        wait_s = (
            progress.first_at - progress.request.arrival_s + MESSAGE_DELAY_S
        )
        in_time = wait_s <= self._service.get("first_token_s", 0.54)
        self.good += in_time and gap_s <= self._service.get(
            "token_gap_s", 0.031
        )

    def result(self, requests: list[Request], bound: float) -> Result:
        """Return the counts of the run."""
        engines = [s.engine for s in self._servers.values()]
        return Result(
            len(requests),
            bound,
            self.good,
            self.answered,
            self.refused,
            sum(e.counts.get("prefill_tokens", 0) for e in engines),
            sum(e.counts.get("wasted_prefill_tokens", 0) for e in engines),
        )


def _cancel_timer(result: Any, timer: Any) -> Any:
    timer.cancel()
    return result


def answer_length(request: Request) -> int:
    """Return the actual length of a request's answer, tokens."""
    return len(answers.answer_tokens(request.prompt, request.max_tokens))
