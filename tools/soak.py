"""Randomized soak: real daemons, faults from outside, promises checked.

    python -m tools.soak --seed N --minutes M [--hosts N] [--callers N]

Everything random comes from the seed. Writes faults and verdicts as JSON
lines to out/soak-SEED.jsonl; ends only the processes that it started.
"""

import argparse
import json
import os
import pathlib
import random
import signal
import sys
from typing import Any

from twisted.internet import reactor as _reactor

from nutmegscale import periodic
from tools import soak_callers
from tools import soak_world

reactor: Any = _reactor
WARM_UP_S = 5.0
# After the last fault callers go on for so long; then their answers must be
# good again (the users' `recoveryS`).
RECOVERY_S = 12.0
CALM_S = 4.0
SETTLE_S = 3.0
CONFIG_IN_FORCE_S = 2.0
DRAIN_S = 2.0
# A host counts as untouched if nothing was done to it for so long, seconds
# (the users' `stableWindowMs`).
TOUCH_S = 3.0
NETS = 200


class Soak:
    """One run."""

    def __init__(self, asked: argparse.Namespace, folder: pathlib.Path) -> None:
        self._rng = random.Random(asked.seed)
        self._seconds = asked.minutes * 60.0
        self.world = soak_world.SoakWorld(
            reactor,
            folder,
            asked.hosts,
            self._rng,
            net=1 + os.getpid() % NETS,
        )
        self.callers = soak_callers.Callers(
            self.world, random.Random(asked.seed + 1), asked.callers
        )
        self._log = open(folder / f"soak-{asked.seed}.jsonl", "w")  # noqa: SIM115
        self._touched: dict[str, float] = {}
        self._planned: list[tuple[str, float]] = []
        self._store_touched = 0.0
        self._workers_touched = 0.0
        self._began = reactor.seconds()
        self._faults = 0

    def note(self, kind: str, **detail: Any) -> None:
        """Write a line of the log."""
        at = round(reactor.seconds() - self._began, 3)
        self._log.write(json.dumps({"at": at, "kind": kind, **detail}) + "\n")
        self._log.flush()

    async def run(self) -> int:
        """Run; returns the number of promises that weren't kept."""
        self.world.start()
        await periodic.sleep(reactor, WARM_UP_S)
        end = self._began + WARM_UP_S + self._seconds
        while reactor.seconds() < end:
            # Faults come in series and overlap.
            for _ in range(self._rng.choice((1, 1, 2, 3))):
                self._strike()
            await periodic.sleep(reactor, self._rng.uniform(0.3, 3.0))
        self._heal()
        await periodic.sleep(reactor, RECOVERY_S)
        healed_at = reactor.seconds()
        await periodic.sleep(reactor, CALM_S)
        await self.callers.stop()
        await periodic.sleep(reactor, SETTLE_S)
        self._judge(healed_at)
        return len(self.callers.violations)

    def _strike(self) -> None:
        self._faults += 1
        faults = (
            self._kill,
            self._pause,
            self._terminate,
            self._hang_up,
            self._store_fault,
            self._store_fault,
            self._store_proxy_fault,
            self._worker_proxy_fault,
            self._worker_proxy_fault,
            self._drain_worker,
            self._crash_worker,
            self._change_config,
        )
        self._rng.choice(faults)()

    def _touch(self, host: soak_world.Host) -> None:
        self._touched[host.name] = reactor.seconds()

    def _later(self, low_s: float, high_s: float, act: Any, *a: Any) -> None:
        reactor.callLater(self._rng.uniform(low_s, high_s), act, *a)

    def _kill(self) -> None:
        host = self._rng.choice(self.world.hosts)
        self.note("kill", host=host.name)
        self._touch(host)
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGKILL)
        self._later(0.2, 2.0, self._restart, host)

    def _restart(self, host: soak_world.Host) -> None:
        if host.is_running:
            # Its own end takes a while after SIGTERM.
            reactor.callLater(0.3, self._restart, host)
            return
        self.note("start", host=host.name, returncode=_code(host))
        self._touch(host)
        host.start()

    def _pause(self) -> None:
        host = self._rng.choice(self.world.hosts)
        self.note("pause", host=host.name)
        self._touch(host)
        host.signal(signal.SIGSTOP)
        self._later(0.3, 4.0, self._resume, host)

    def _resume(self, host: soak_world.Host) -> None:
        self._touch(host)
        host.signal(signal.SIGCONT)

    def _terminate(self) -> None:
        host = self._rng.choice(self.world.hosts)
        self.note("terminate", host=host.name)
        self._planned.append((host.name, reactor.seconds()))
        host.signal(signal.SIGTERM)
        reactor.callLater(1.0, self._restart, host)

    def _hang_up(self) -> None:
        host = self._rng.choice(self.world.hosts)
        self.note("hang_up", host=host.name)
        host.signal(signal.SIGHUP)

    def _store_fault(self) -> None:
        kind = self._rng.choice(("down", "lost", "refused", "forgets"))
        self.note("store", fault=kind)
        self._store_touched = reactor.seconds()
        store = self.world.store
        if kind == "down":
            store.is_down = True
        elif kind == "lost":
            store.loses_answers = True
        elif kind == "refused":
            half = max(1, len(self.world.hosts) // 2)
            for host in self._rng.sample(self.world.hosts, half):
                store.refused.add(host.name)
        else:
            store.forget_history()
        self._later(0.5, 5.0, self._heal_store)

    def _heal_store(self) -> None:
        self._store_touched = reactor.seconds()
        self.world.store.is_down = False
        self.world.store.loses_answers = False
        self.world.store.refused.clear()

    def _store_proxy_fault(self) -> None:
        host = self._rng.choice(self.world.hosts)
        self._touch(host)
        self._harm(host.store_proxy, f"store of {host.name}")

    def _worker_proxy_fault(self) -> None:
        name = self._rng.choice(sorted(self.world.workers))
        self._workers_touched = reactor.seconds()
        self._harm(self.world.workers[name].proxy, name)

    def _harm(self, proxy: Any, name: str) -> None:
        kind = self._rng.choice(("delay", "reset", "silent", "in", "out"))
        self.note("connections", fault=kind, of=name)
        if kind == "delay":
            proxy.delay_s = self._rng.uniform(0.02, 0.3)
        elif kind == "reset":
            proxy.reset_all()
        proxy.is_silent_in = kind in ("silent", "in")
        proxy.is_silent_out = kind in ("silent", "out")
        self._later(0.5, 4.0, self._heal_proxy, proxy)

    def _heal_proxy(self, proxy: Any) -> None:
        self._workers_touched = reactor.seconds()
        proxy.heal()

    def _drain_worker(self) -> None:
        plain = [n for n in sorted(self.world.workers) if n.startswith("w")]
        decodes = [n for n in sorted(self.world.workers) if n.startswith("d")]
        name = self._rng.choice(plain if len(plain) > 1 else decodes)
        worker = self.world.workers[name]
        if worker.draining_since is not None or len(decodes) < 2:
            return
        self.note("drain", worker=name)
        worker.draining_since = reactor.seconds()
        self.world.write_entry(name, state="draining")
        seen = len(worker.worker.ran)
        reactor.callLater(DRAIN_S, self._check_left, worker, seen)

    def _check_left(self, worker: soak_world.Worker, before: int) -> None:
        """Look at a worker some time after it said that it is leaving."""
        seen = len(worker.worker.ran)
        self._later(1.0, 3.0, self._end_drain, worker, seen)

    def _end_drain(self, worker: soak_world.Worker, seen: int) -> None:
        is_calm = self._is_untouched()
        late = worker.worker.ran[seen:]
        if late and is_calm:
            self._blame("a leaving server is left alone", late[0], "late")
        name = worker.worker.id
        if self.world.workers.get(name) is worker:
            self.world.remove_worker(name)
            self._later(0.5, 3.0, self._bring_back, worker)

    def _bring_back(self, worker: soak_world.Worker) -> None:
        name = worker.worker.id
        if name not in self.world.workers:
            self.world.add_worker(name, "decode" if name[0] == "d" else "")

    def _crash_worker(self) -> None:
        name = self._rng.choice(sorted(self.world.workers))
        worker = self.world.workers[name]
        self.note("crash", worker=name)
        self._workers_touched = reactor.seconds()
        self.world.crash_worker(name)
        stage = {"p": "prefill", "d": "decode", "w": ""}[name[0]]
        self._later(0.5, 4.0, self._reborn, name, stage, worker)

    def _reborn(self, name: str, stage: str, before: soak_world.Worker) -> None:
        self._workers_touched = reactor.seconds()
        if self.world.workers.get(name) is before:
            self.world.add_worker(name, stage)

    def _change_config(self) -> None:
        self.world.configure(extra_routes=self._rng.randint(0, 5))
        version = self.world.version - 1
        self.note("config", version=version)

    def _is_untouched(self) -> bool:
        """Whether nothing was done to hosts or store for a while."""
        latest = max([self._store_touched, *self._touched.values()])
        return bool(reactor.seconds() - latest > TOUCH_S + DRAIN_S)

    def _heal(self) -> None:
        self.note("heal")
        self._heal_store()
        for host in self.world.hosts:
            host.store_proxy.heal()
            host.signal(signal.SIGCONT)
            if not host.is_running:
                host.start()
        for worker in self.world.workers.values():
            worker.proxy.heal()

    def _blame(self, promise: str, request: str, detail: str) -> None:
        self.callers.violations.append(
            soak_callers.Violation(reactor.seconds(), promise, request, detail)
        )

    def _judge(self, healed_at: float) -> None:
        self.callers.judge_end()
        for host in self.world.hosts:
            if not host.is_running:
                self._blame("no daemon ends by itself", "", host.name)
        recent = [s for s in self.callers.done if s.began >= healed_at]
        served = [s for s in recent if s.status == 200 and s.is_whole]
        if len(served) * 4 < len(recent):
            detail = f"{len(served)} of {len(recent)}"
            self._blame("service after recovery", "", detail)
        self._judge_planned()
        for violation in self.callers.violations:
            self.note("violation", **violation._asdict())
        statuses: dict[str, int] = {}
        for sent in self.callers.done:
            key = str(sent.status) + ("" if sent.is_whole else " cut")
            statuses[key] = statuses.get(key, 0) + 1
        self.note(
            "end",
            requests=len(self.callers.done),
            faults=self._faults,
            statuses=statuses,
            violations=len(self.callers.violations),
        )

    def _judge_planned(self) -> None:
        """A planned stop cuts nothing that its host was answering."""
        for name, at in self._planned:
            for sent in self.callers.done:
                is_there = sent.host == name and sent.began < at < sent.ended
                is_cut = sent.is_closed and not sent.is_whole
                if is_there and is_cut and not self._excused(name, at, sent):
                    self._blame(
                        "a planned stop cuts nothing", sent.request, name
                    )

    def _excused(self, name: str, at: float, sent: soak_callers.Sent) -> bool:
        """Whether something else was done that may have cut an answer."""
        with open(self._log.name, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file]
        low = sent.began - self._began - TOUCH_S
        high = sent.ended - self._began
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


def _code(host: soak_world.Host) -> int | None:
    return host.process.returncode if host.process else None


def main() -> int:
    """Run the soak of one seed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--minutes", type=float, default=1.0)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--out", default="out")
    asked = parser.parse_args()
    folder = pathlib.Path(asked.out) / f"soak-{asked.seed}"
    folder.mkdir(parents=True, exist_ok=True)
    soak = Soak(asked, folder)
    broken: list[int] = []

    async def _run() -> None:
        try:
            broken.append(await soak.run())
        finally:
            soak.world.stop()
            reactor.stop()

    reactor.callWhenRunning(lambda: periodic.spawn(_run()))
    reactor.run()
    count = broken[0] if broken else -1
    print(f"seed {asked.seed}: {len(soak.callers.done)} requests,", end=" ")
    print(f"{count} promises broken" if broken else "the soak itself failed")
    for violation in soak.callers.violations:
        print(f"  {violation.promise}: {violation.request} {violation.detail}")
    return 0 if count == 0 else 1


if __name__ == "__main__":
    sys.exit(main())
