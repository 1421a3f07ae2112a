"""Randomized soak test: checks guarantees of real daemons under faults.

    python -m tools.soak --seed N --minutes M [--hosts N] [--callers N]
        [--grey] [--limits] [--cuts] [--stops] [--split] [--roll REVISION]
        [--customers] [--configs] [--recovery SECONDS]

All random choices come from the seed. Writes faults and results as JSON lines
to out/soak-SEED/soak-SEED.jsonl; ends only the processes that it started.
"""

import argparse
import json
import math
import os
import pathlib
import random
import signal
import sys
from typing import Any

from twisted.internet import reactor as _reactor

from nutmegscale import periodic
from tools import soak_callers
from tools import soak_configs
from tools import soak_customers
from tools import soak_cuts
from tools import soak_grey
from tools import soak_limits
from tools import soak_odd_rows
from tools import soak_pauses
from tools import soak_poison
from tools import soak_resumes
from tools import soak_roll
from tools import soak_stops
from tools import soak_world

reactor: Any = _reactor
WARM_UP_S = 5.0
# Callers go on for this time after the last fault, and answers must be good
# again after it: `recoveryS` of the deployment's specification.
RECOVERY_S = 12.0
# Requests sent in this time after recovery are checked for answers.
CHECK_WINDOW_S = 4.0
# Time for workers to free the slots of ended requests.
SETTLE_S = 3.0
CONFIG_IN_FORCE_S = 2.0
# After this time hosts must send no new request to a draining worker.
DRAIN_S = 2.0
# A host counts as undisturbed if no fault was injected into it for this time:
# `stableWindowMs` of the deployment's specification.
UNDISTURBED_S = 3.0
# Longest time after a restore of the store until live servers have written
# their entries again.
REWRITE_S = 2.0
# Time until a server that a request crashed is back.
POISON_RESTART_S = 2.0
SUBNET_COUNT = 200
# Short cuts; a connection that hung for less than keep-alive takes would stay
# unresponsive after the cut, see `soak_links.HostLink.heal`.
CUT_KINDS = ("reset", "refuse")


class Soak:
    """One run of the soak test."""

    def __init__(
        self, arguments: argparse.Namespace, folder: pathlib.Path
    ) -> None:
        self._rng = random.Random(arguments.seed)
        self._duration_s = arguments.minutes * 60.0
        self._recovery_s = arguments.recovery
        self.deployment = soak_world.SoakDeployment(
            reactor,
            folder,
            arguments.hosts,
            self._rng,
            subnet=1 + os.getpid() % SUBNET_COUNT,
            bounds=soak_customers.BOUNDS if arguments.customers else "",
        )
        self.callers = soak_callers.Callers(
            self.deployment,
            random.Random(arguments.seed + 1),
            arguments.callers,
        )
        self._poison = soak_poison.PoisonCallers(
            self.deployment, self.callers, random.Random(arguments.seed + 2)
        )
        self._grey = soak_grey.GreyServers(
            self.deployment, random.Random(arguments.seed + 3)
        )
        self._has_grey_servers = arguments.grey
        self._resumes = soak_resumes.ResumingCallers(
            self.deployment, self.callers, random.Random(arguments.seed + 4)
        )
        self._split = soak_resumes.ResumingCallers(
            self.deployment,
            self.callers,
            random.Random(arguments.seed + 10),
            route="split",
        )
        self._has_split = arguments.split
        self._roll: soak_roll.RollingReplacement | None = None
        if arguments.roll:
            build = soak_roll.export_build(arguments.roll, folder / "build")
            self._roll = soak_roll.RollingReplacement(
                self.deployment, build, random.Random(arguments.seed + 11)
            )
        self._odd_rows = soak_odd_rows.OddRows(
            self.deployment,
            self.callers,
            folder,
            random.Random(arguments.seed + 5),
        )
        self._limits = soak_limits.LimitedServers(self.deployment, self.callers)
        self._has_limits = arguments.limits
        self._cuts = soak_cuts.HostCuts(
            self.deployment, self.callers, random.Random(arguments.seed + 6)
        )
        self._pauses = soak_pauses.PausingServers(
            self.deployment, self.callers, random.Random(arguments.seed + 7)
        )
        self._leavers = soak_pauses.LeavingServers(
            self.deployment, self.callers, random.Random(arguments.seed + 9)
        )
        self._has_cuts = arguments.cuts
        self._stops = soak_stops.PlannedStops(
            self.deployment, self.callers, random.Random(arguments.seed + 8)
        )
        self._has_stops = arguments.stops
        self._customers = soak_customers.CustomerCallers(
            self.deployment,
            self.callers,
            random.Random(arguments.seed + 12),
            steady_since=self._steady_since,
            log_event=self.log_event,
        )
        self._has_customers = arguments.customers
        self._configs = soak_configs.LargeConfigs(
            self.deployment,
            random.Random(arguments.seed + 13),
            log_event=self.log_event,
        )
        self._has_configs = arguments.configs
        self.figures: list[str] = []
        self.deployment.on_poison = self._crash_on_poison
        self._log_file = open(folder / f"soak-{arguments.seed}.jsonl", "w")  # noqa: SIM115
        self._disturbed_at: dict[str, float] = {}
        self._store_back_at: dict[str, float] = {}
        self._planned_stops: list[tuple[str, float]] = []
        self._store_disturbed_at = 0.0
        self._workers_disturbed_at = 0.0
        self._started_at = reactor.seconds()
        self._fault_count = 0

    def log_event(self, kind: str, **detail: Any) -> None:
        """Write an event to the log."""
        at = round(reactor.seconds() - self._started_at, 3)
        self._log_file.write(
            json.dumps({"at": at, "kind": kind, **detail}) + "\n"
        )
        self._log_file.flush()

    async def run(self) -> int:
        """Run the test and return the number of violations."""
        if self._has_split:
            self.deployment.add_split_route()
        if self._has_customers:
            self._customers.start()
        self.deployment.start()
        await periodic.sleep(reactor, WARM_UP_S)
        self._start_parts()
        end = self._started_at + WARM_UP_S + self._duration_s
        while reactor.seconds() < end:
            # Faults come in bursts and overlap.
            for _ in range(self._rng.choice((1, 1, 2, 3))):
                if self._is_planned:
                    self._inject_planned_change()
                elif not self._has_limits and not self._has_configs:
                    self._inject_fault()
            await periodic.sleep(reactor, self._rng.uniform(0.3, 3.0))
        await self._stop_parts()
        self._heal_all()
        await periodic.sleep(reactor, self._recovery_s)
        healed_at = reactor.seconds()
        await periodic.sleep(reactor, CHECK_WINDOW_S)
        await self.callers.stop()
        await self._customers.finish()
        await periodic.sleep(reactor, SETTLE_S)
        self._check_outcome(healed_at)
        return len(self.callers.violations)

    @property
    def _is_planned(self) -> bool:
        """Whether hosts stay in touch with all others and the store."""
        return self._has_cuts or self._has_stops or bool(self._roll)

    def _start_parts(self) -> None:
        """Start the callers and faults that were asked for."""
        if not self._is_planned and not self._has_customers:
            # Its callers have no keys.
            self._poison.start()
        if self._has_grey_servers:
            self._grey.start()
        self._resumes.start()
        self._odd_rows.start()
        if self._has_split:
            self._split.start()
        if self._roll:
            self._roll.start()
        if self._has_limits:
            self._limits.start()
        if self._has_cuts:
            self._cuts.start()
            self._pauses.start()
            self._leavers.start()
        if self._has_stops:
            self._stops.start()
        if self._has_configs:
            self._configs.start()

    async def _stop_parts(self) -> None:
        if self._roll:
            await self._roll.finish()
        self._poison.stop()
        self._grey.stop()
        self._resumes.stop()
        self._split.stop()
        self._odd_rows.stop()
        self._customers.stop()
        self._cuts.stop()
        self._pauses.stop()
        self._leavers.stop()
        await self._stops.stop()
        if self._has_configs:
            await self._configs.stop()

    def _inject_fault(self) -> None:
        self._fault_count += 1
        if self._has_customers:
            self._inject_host_fault()
            return
        faults = (
            self._kill_host,
            self._pause_host,
            self._terminate_host,
            self._reload_host,
            self._inject_store_fault,
            self._inject_store_fault,
            self._restore_store,
            self._inject_store_proxy_fault,
            self._inject_worker_proxy_fault,
            self._inject_worker_proxy_fault,
            self._drain_worker,
            self._crash_worker,
            self._change_config,
        )
        self._rng.choice(faults)()

    def _inject_host_fault(self) -> None:
        """Disturb a host, with servers and store left as they are."""
        faults = (
            self._kill_host,
            self._pause_host,
            self._terminate_host,
            self._reload_host,
            self._inject_store_proxy_fault,
            self._cut_host,
            self._change_config,
        )
        self._rng.choice(faults)()

    def _inject_planned_change(self) -> None:
        """Change what leaves hosts in touch with all others and the store."""
        self._fault_count += 1
        self._rng.choice((self._reload_host, self._change_config))()

    def _record_disturbance(self, host: soak_world.Host) -> None:
        self._disturbed_at[host.name] = reactor.seconds()

    def _record_signal(self, host: soak_world.Host) -> None:
        self._record_disturbance(host)
        host.disturbed_at = reactor.seconds()

    def _call_later(
        self, low_s: float, high_s: float, function: Any, *arguments: Any
    ) -> None:
        reactor.callLater(
            self._rng.uniform(low_s, high_s), function, *arguments
        )

    def _kill_host(self) -> None:
        host = self._rng.choice(self.deployment.hosts)
        self.log_event("kill", host=host.name)
        self._record_signal(host)
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGKILL)
        self._call_later(0.2, 2.0, self._restart_host, host)

    def _restart_host(self, host: soak_world.Host) -> None:
        if host.is_running:
            # The daemon takes a while to end after SIGTERM.
            reactor.callLater(0.3, self._restart_host, host)
            return
        self.log_event("start", host=host.name, returncode=_exit_code(host))
        self._record_signal(host)
        host.start()

    def _pause_host(self) -> None:
        host = self._rng.choice(self.deployment.hosts)
        self.log_event("pause", host=host.name)
        self._record_signal(host)
        host.signal(signal.SIGSTOP)
        self._call_later(0.3, 4.0, self._resume_host, host)

    def _resume_host(self, host: soak_world.Host) -> None:
        self._record_signal(host)
        host.signal(signal.SIGCONT)

    def _terminate_host(self) -> None:
        host = self._rng.choice(self.deployment.hosts)
        self.log_event("terminate", host=host.name)
        self._planned_stops.append((host.name, reactor.seconds()))
        host.disturbed_at = reactor.seconds()
        host.signal(signal.SIGTERM)
        reactor.callLater(1.0, self._restart_host, host)

    def _cut_host(self) -> None:
        """Cut a host off from all backend servers for a time."""
        host = self._rng.choice(self.deployment.hosts)
        if host.cut:
            return
        how = self._rng.choice(CUT_KINDS)
        self.log_event("cut", host=host.name, how=how)
        host.cut_off(how)
        self._call_later(1.0, 5.0, host.heal_links)

    def _steady_since(self, host: soak_world.Host) -> float:
        """Return since when a host has run and reached the store, seconds."""
        proxy = host.store_proxy
        drops = proxy.drops_to_target or proxy.drops_from_target
        if drops or proxy.delay_s or not host.is_running:
            return math.inf
        return max(
            host.disturbed_at,
            self._disturbed_at.get(host.name, 0.0),
            self._store_back_at.get(host.name, 0.0),
        )

    def _reload_host(self) -> None:
        host = self._rng.choice(self.deployment.hosts)
        self.log_event("hang_up", host=host.name)
        host.signal(signal.SIGHUP)

    def _inject_store_fault(self) -> None:
        kind = self._rng.choice(("down", "lost", "refused", "forgets"))
        self.log_event("store", fault=kind)
        self._store_disturbed_at = reactor.seconds()
        store = self.deployment.store
        if kind == "down":
            store.is_down = True
        elif kind == "lost":
            store.loses_answers = True
        elif kind == "refused":
            half = max(1, len(self.deployment.hosts) // 2)
            for host in self._rng.sample(self.deployment.hosts, half):
                store.refused_hosts.add(host.name)
        else:
            store.forget_history()
        self._call_later(0.5, 5.0, self._heal_store)

    def _restore_store(self) -> None:
        """Let the store come back from an older copy after a short outage.

        The operator and the backend servers write theirs again soon after it.
        """
        age_s = self._rng.uniform(0.5, 6.0)
        self.log_event("store", fault="restored", age_s=round(age_s, 2))
        self._store_disturbed_at = reactor.seconds()
        self.deployment.store.is_down = True
        back_s = self._rng.uniform(0.1, 1.0)
        reactor.callLater(back_s, self.deployment.store.restore, age_s)
        reactor.callLater(back_s, self._heal_store)
        reactor.callLater(
            back_s + self._rng.uniform(0.0, REWRITE_S),
            self.deployment.write_again,
        )

    def _heal_store(self) -> None:
        self._store_disturbed_at = reactor.seconds()
        self.deployment.store.is_down = False
        self.deployment.store.loses_answers = False
        self.deployment.store.refused_hosts.clear()

    def _inject_store_proxy_fault(self) -> None:
        host = self._rng.choice(self.deployment.hosts)
        self._record_disturbance(host)
        self._inject_connection_fault(host.store_proxy, f"store of {host.name}")

    def _inject_worker_proxy_fault(self) -> None:
        name = self._rng.choice(sorted(self.deployment.workers))
        self._workers_disturbed_at = reactor.seconds()
        self._inject_connection_fault(self.deployment.workers[name].proxy, name)

    def _inject_connection_fault(self, proxy: Any, name: str) -> None:
        kind = self._rng.choice(("delay", "reset", "silent", "in", "out"))
        self.log_event("connections", fault=kind, of=name)
        if kind == "delay":
            proxy.delay_s = self._rng.uniform(0.02, 0.3)
        elif kind == "reset":
            proxy.reset_all()
        proxy.drops_to_target = kind in ("silent", "in")
        proxy.drops_from_target = kind in ("silent", "out")
        self._call_later(0.5, 4.0, self._heal_proxy, proxy)

    def _heal_proxy(self, proxy: Any) -> None:
        self._workers_disturbed_at = reactor.seconds()
        proxy.heal()
        for host in self.deployment.hosts:
            if host.store_proxy is proxy:
                self._store_back_at[host.name] = reactor.seconds()

    def _drain_worker(self) -> None:
        plain = [
            n for n in sorted(self.deployment.workers) if n.startswith("w")
        ]
        decodes = [
            n for n in sorted(self.deployment.workers) if n.startswith("d")
        ]
        name = self._rng.choice(plain if len(plain) > 1 else decodes)
        worker = self.deployment.workers[name]
        if worker.draining_since is not None or len(decodes) < 2:
            return
        self.log_event("drain", worker=name)
        worker.draining_since = reactor.seconds()
        self.deployment.write_entry(name)
        run_count = len(worker.server.ran)
        reactor.callLater(DRAIN_S, self._start_drain_check, worker, run_count)

    def _start_drain_check(
        self, worker: soak_world.Worker, before: int
    ) -> None:
        """Watch a draining worker for new runs, once hosts must know of it."""
        run_count = len(worker.server.ran)
        self._call_later(1.0, 3.0, self._check_drained, worker, run_count)

    def _check_drained(self, worker: soak_world.Worker, run_count: int) -> None:
        is_undisturbed = self._is_undisturbed()
        late_runs = worker.server.ran[run_count:]
        if late_runs and is_undisturbed:
            self._record_violation(
                "a leaving server is left alone",
                late_runs[0],
                f"ran on draining {worker.server.id}",
            )
        name = worker.server.id
        if self.deployment.workers.get(name) is worker:
            self.deployment.remove_worker(name)
            self._call_later(0.5, 3.0, self._restore_worker, worker)

    def _restore_worker(self, worker: soak_world.Worker) -> None:
        name = worker.server.id
        if name not in self.deployment.workers:
            self.deployment.add_worker(name, "decode" if name[0] == "d" else "")

    def _crash_worker(self) -> None:
        name = self._rng.choice(sorted(self.deployment.workers))
        restart_s = self._rng.uniform(0.5, 4.0)
        self._crash(name, restart_s)

    def _crash_on_poison(self, name: str) -> None:
        if name in self.deployment.workers:
            self._crash(name, POISON_RESTART_S)

    def _crash(self, name: str, restart_s: float) -> None:
        worker = self.deployment.workers[name]
        self.log_event("crash", worker=name)
        self._workers_disturbed_at = reactor.seconds()
        self.deployment.crash_worker(name)
        stage = {"p": "prefill", "d": "decode", "w": ""}[name[0]]
        reactor.callLater(restart_s, self._restart_worker, name, stage, worker)

    def _restart_worker(
        self, name: str, stage: str, before: soak_world.Worker
    ) -> None:
        self._workers_disturbed_at = reactor.seconds()
        if self.deployment.workers.get(name) is before:
            self.deployment.add_worker(name, stage)

    def _change_config(self) -> None:
        self.deployment.configure(extra_routes=self._rng.randint(0, 5))
        version = self.deployment.next_version - 1
        self.log_event("config", version=version)

    def _is_undisturbed(self) -> bool:
        """Whether no recent fault was injected into hosts or store."""
        latest = max([self._store_disturbed_at, *self._disturbed_at.values()])
        return bool(reactor.seconds() - latest > UNDISTURBED_S + DRAIN_S)

    def _heal_all(self) -> None:
        self.log_event("heal")
        self._heal_store()
        for host in self.deployment.hosts:
            host.store_proxy.heal()
            if host.cut:
                host.heal_links()
            host.disturbed_at = reactor.seconds()
            host.signal(signal.SIGCONT)
            if not host.is_running:
                host.start()
        for worker in self.deployment.workers.values():
            worker.proxy.heal()

    def _record_violation(
        self, promise: str, request: str, detail: str
    ) -> None:
        self.callers.violations.append(
            soak_callers.Violation(reactor.seconds(), promise, request, detail)
        )

    def _check_outcome(self, healed_at: float) -> None:
        self.callers.check_final_state()
        self._poison.check()
        self._check_retries()
        self._check_limits()
        self._check_cuts()
        self._check_customers()
        self._check_configs()
        if self._has_stops:
            self.figures.append(self._stops.check())
        self._resumes.check()
        if self._roll:
            tried, resumed = self._resumes.resumed, self._resumes.went_on
            self.figures.append(
                f"{self._roll.replaced} hosts replaced, {resumed} of {tried} "
                "streams resumed"
            )
        self._odd_rows.check()
        for host in self.deployment.hosts:
            if not host.is_running:
                self._record_violation(
                    "no daemon ends by itself", "", host.name
                )
        recent = [r for r in self.callers.records if r.sent_at >= healed_at]
        served = [r for r in recent if r.status == 200 and r.is_complete]
        if len(served) * 4 < len(recent):
            detail = (
                f"{len(served)} of {len(recent)} requests answered, "
                "expected at least a quarter"
            )
            self._record_violation("service after recovery", "", detail)
        self._check_planned_stops()
        for violation in self.callers.violations:
            self.log_event("violation", **violation._asdict())
        statuses: dict[str, int] = {}
        for record in self.callers.records:
            key = str(record.status) + ("" if record.is_complete else " cut")
            statuses[key] = statuses.get(key, 0) + 1
        self.log_event(
            "end",
            requests=len(self.callers.records),
            faults=self._fault_count,
            crashing_contents=self._poison.contents,
            statuses=statuses,
            violations=len(self.callers.violations),
            odd_rows=self._odd_rows.count,
            resumed=self._resumes.resumed,
            went_on=self._resumes.went_on,
        )

    def _check_retries(self) -> None:
        """Check that the retries of all hosts stay within the budget."""
        windows = self.callers.worst_retry_windows(
            [*self._poison.sent_at, *self._customers.plain_sent_at],
            [
                *self._resumes.sent_at,
                *self._split.sent_at,
                *self._customers.model_sent_at,
            ],
        )
        for window in windows:
            self.log_event("retries", **window._asdict())
            if window.is_exceeded:
                self._record_violation(
                    "retries stay within the budget", "", str(window)
                )

    def _check_limits(self) -> None:
        """Check that all hosts keep to the limits of servers."""
        if self._has_limits:
            for name, window in self._limits.check():
                self.log_event("limit", server=name, worst=str(window))

    def _check_cuts(self) -> None:
        """Check that hosts without servers serve, and that pauses are kept."""
        if not self._has_cuts:
            return
        self.figures += [*self._cuts.check(), self._cuts.times()]
        pauses, late = self._pauses.check()
        self.figures.append(f"{pauses} pauses, {late} requests within one")
        left, late = self._leavers.check()
        self.figures.append(
            f"{left} servers left, {late} requests of hosts that were told"
        )
        self.log_event("cuts", figures=self.figures)

    def _check_customers(self) -> None:
        """Check keys and usage limits of customers."""
        if not self._has_customers:
            return
        logs = {h.name: h.log.read_bytes() for h in self.deployment.hosts}
        figures = self._customers.check(logs)
        self.figures += figures
        self.log_event("customers", figures=figures)

    def _check_configs(self) -> None:
        """Check that large configurations were in force in time."""
        if not self._has_configs:
            return
        figures, late = self._configs.check()
        self.figures.append(figures)
        for detail in late:
            self._record_violation(soak_configs.PROMISE, "", detail)

    def _check_planned_stops(self) -> None:
        """Check that planned stops cut off no answer in progress."""
        for name, stopped_at in self._planned_stops:
            for record in self.callers.records:
                is_affected = (
                    record.host == name
                    and record.sent_at < stopped_at < record.ended_at
                )
                is_cut = record.is_closed and not record.is_complete
                if (
                    is_affected
                    and is_cut
                    and not self._has_other_cause(name, stopped_at, record)
                ):
                    self._record_violation(
                        "a planned stop cuts nothing", record.request, name
                    )

    def _has_other_cause(
        self, name: str, at: float, record: soak_callers.RequestRecord
    ) -> bool:
        """Whether another fault may have cut off an answer."""
        with open(self._log_file.name, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file]
        low = record.sent_at - self._started_at - UNDISTURBED_S
        high = record.ended_at - self._started_at
        others = [
            line
            for line in lines
            if low <= line["at"] <= high
            and (
                line.get("host") == name
                and line["kind"] not in ("terminate", "hang_up")
                or line["kind"] in ("crash", "connections")
            )
        ]
        return bool(others)


def _exit_code(host: soak_world.Host) -> int | None:
    return host.process.returncode if host.process else None


def main() -> int:
    """Run the soak test with one seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument(
        "--grey",
        action="store_true",
        help="let backend servers fail while hosts restart and don't join",
    )
    parser.add_argument(
        "--limits",
        action="store_true",
        help="let servers state limits; without any fault but --stops",
    )
    parser.add_argument(
        "--cuts",
        action="store_true",
        help="cut hosts off from all servers, which pause and leave meanwhile",
    )
    parser.add_argument(
        "--stops",
        action="store_true",
        help="stop hosts as planned, with calls up to the end of their grace",
    )
    parser.add_argument(
        "--split",
        action="store_true",
        help="split streams among services with and without engines",
    )
    parser.add_argument(
        "--roll",
        default="",
        metavar="REVISION",
        help="start hosts as an earlier build, and replace one after the other",
    )
    parser.add_argument(
        "--customers",
        action="store_true",
        help="change keys and limits of customers while hosts are disturbed",
    )
    parser.add_argument(
        "--configs",
        action="store_true",
        help="write large configurations while the store refuses some hosts",
    )
    parser.add_argument(
        "--recovery",
        type=float,
        default=RECOVERY_S,
        metavar="SECONDS",
        help="time from the last fault until answers must be good again",
    )
    parser.add_argument("--out", default="out")
    arguments = parser.parse_args()
    folder = pathlib.Path(arguments.out) / f"soak-{arguments.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(arguments, folder)
    violation_counts: list[int] = []

    async def _run() -> None:
        try:
            violation_counts.append(await soak.run())
        finally:
            soak.deployment.stop()
            reactor.stop()

    reactor.callWhenRunning(lambda: periodic.spawn(_run()))
    reactor.run()
    count = violation_counts[0] if violation_counts else -1
    print(
        f"seed {arguments.seed}: {len(soak.callers.records)} requests,", end=" "
    )
    print(
        f"{count} violations"
        if violation_counts
        else "the soak test didn't complete"
    )
    for figures in soak.figures:
        print(figures)
    for violation in soak.callers.violations:
        print(f"  {violation.promise}: {violation.request} {violation.detail}")
    return 0 if count == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
