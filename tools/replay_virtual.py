"""Replays a trace on a simulated deployment, in virtual time."""

import functools
import random
from typing import Any

from twisted.internet import defer

from nutmegscale import call_controller
from nutmegscale import claim
from nutmegscale import errors
from nutmegscale import periodic
from standins import deployment
from tools import load
from tools import promises
from tools import trace

# All times are on the virtual clock.
POLL_S = 0.01
EVENT_TIMEOUT_S = 4.0
CONNECTION_RETRY_S = 0.1
RUN_TIMEOUT_S = 120.0
# After the last request and fault: longest time until a failed host is detected
# and the engines hold no memory. The wait is the sum of both.
SETTLE_TIMEOUT_S = 10.0
FAILURE_DETECTION_S = 2.0


class VirtualCallers:
    """Callers of a simulated deployment; counterpart of `load.Callers`."""

    def __init__(self, system: deployment.Deployment, seed: int) -> None:
        self._system = system
        self._rng = random.Random(seed)

    def _pick_host(self, last_host: str) -> str:
        hosts = self._system.hosts
        ready = [n for n, a in hosts.items() if a.board.is_ready]
        others = [n for n in ready if n != last_host]
        return self._rng.choice(others or ready or list(hosts))

    async def send(self, request: load.ScheduledRequest) -> load.Outcome:
        """Send a request until its outcome is final; see `load.Callers`."""
        began = self._system.clock.seconds()
        failure_types: list[str] = []
        last_host = ""
        failure = errors.Failure(0, "not_sent", "")
        for sends in range(1, load.MAX_SENDS + 1):
            last_host = self._pick_host(last_host)
            if request.max_tokens:
                reply = await self._complete(last_host, request, began)
            else:
                reply = await self._call(last_host, request, began)
            if not isinstance(reply, errors.Failure):
                first_s, gap_s, text = reply
                result = (
                    "answered"
                    if text == load.expected_text(request)
                    else "wrong"
                )
                return load.Outcome(
                    request,
                    result,
                    "ran",
                    first_s,
                    gap_s,
                    sends,
                    tuple(failure_types),
                )
            failure = reply
            failure_types.append(failure.type)
            is_connection_lost = failure.type == "connection_lost"
            if not is_connection_lost and failure.retry_after_s is None:
                break
            await self._sleep(failure.retry_after_s or CONNECTION_RETRY_S)
        return load.Outcome(
            request,
            failure.type,
            failure.outcome,
            0.0,
            0.0,
            len(failure_types),
            tuple(failure_types[:-1]),
        )

    async def _sleep(self, seconds: float) -> None:
        await periodic.sleep(self._system.clock, seconds)

    async def _complete(
        self, host: str, request: load.ScheduledRequest, began: float
    ) -> tuple[float, float, str] | errors.Failure:
        system = self._system
        sink = system.send(
            host,
            request.prompt,
            request.max_tokens,
            request.name,
            request.caller,
            request.service,
        )
        last_event_at = system.clock.seconds()
        try:
            while not sink.is_finished:
                await self._sleep(POLL_S)
                last_event_at = max(last_event_at, sink.last_text_at)
                if system.clock.seconds() - last_event_at > EVENT_TIMEOUT_S:
                    break
        finally:
            if not sink.is_finished and host in system.hosts:
                system.disconnect(host, sink)
        if sink.end_count and sink.first_text_at is not None:
            gap_count = max(1, len(load.expected_tokens(request)) - 1)
            gap_s = (sink.last_text_at - sink.first_text_at) / gap_count
            return sink.first_text_at - began, gap_s, sink.text
        if sink.failure is not None:
            return sink.failure
        return errors.Failure(0, "connection_lost", "", "maybe_run")

    async def _call(
        self, host: str, request: load.ScheduledRequest, began: float
    ) -> tuple[float, float, str] | errors.Failure:
        system = self._system
        call = call_controller.PlainCall(
            request.caller,
            request.name,
            request.service,
            "POST",
            "/x",
            "text/plain",
            request.prompt.encode(),
        )
        app = system.hosts[host]
        results: list[Any] = []
        running = periodic.spawn(app.calls.serve(call))
        running.addCallback(results.append)
        while not results:
            await self._sleep(POLL_S)
            if system.hosts.get(host) is not app:
                return errors.Failure(0, "connection_lost", "", "maybe_run")
        (result,) = results
        if isinstance(result, claim.Answer):
            return system.clock.seconds() - began, 0.0, result.body.decode()
        if isinstance(result, errors.Failure):
            return result
        return errors.Failure(0, "connection_lost", "", "maybe_run")


class _FaultInjector:
    """Injects the faults of a trace into a simulated deployment.

    Attributes:
      killed: Names of the workers that the trace killed.
    """

    def __init__(self, system: deployment.Deployment) -> None:
        self._system = system
        self.killed: set[str] = set()

    def inject(self, fault: trace.Fault) -> None:
        """Inject a fault now."""
        if fault.fault.endswith("_host"):
            self._inject_host_fault(fault)
        elif fault.fault.endswith("_worker"):
            self._inject_worker_fault(fault)
        else:
            self._inject_other_fault(fault)

    def _inject_host_fault(self, fault: trace.Fault) -> None:
        system, target = self._system, fault.target
        match fault.fault:
            case "kill_host":
                system.kill(target)
            case "start_host":
                system.restart_host(target)
            case "freeze_host":
                # Simulated as a host that is cut off from all others.
                system.network.cut_off([target], system.names())
            case "thaw_host":
                system.network.heal(target)
            case "drain_host":
                periodic.spawn(self._drain(target))

    def _inject_worker_fault(self, fault: trace.Fault) -> None:
        server = self._system.servers[fault.target]
        match fault.fault:
            case "kill_worker":
                self.killed.add(fault.target)
                server.crash()
            case "start_worker":
                self._system.restart_server(fault.target)
            case "leave_worker":
                server.model.leaving = True
            case "silence_worker":
                server.streams_to_stall = fault.times

    def _inject_other_fault(self, fault: trace.Fault) -> None:
        system, target = self._system, fault.target
        match fault.fault:
            case "lose_cancels":
                for server in system.servers.values():
                    server.lose_cancels = fault.times
            case "lose_call_answers":
                system.servers[target].lose_plain_answers = fault.times
            case "platform_down" | "platform_up":
                system.platform.is_down = fault.fault == "platform_down"
            case "lose_table_answers":
                system.platform.lose_answers = fault.times
            case "cut_domain":
                inside = system.names_in(target)
                outside = [n for n in system.names() if n not in inside]
                system.network.cut_off(inside, outside)
            case "heal":
                system.network.cut.clear()

    async def _drain(self, host: str) -> None:
        await self._system.hosts[host].drain()
        self._system.kill(host)


def replay(recorded: trace.Trace, seed: int = 1) -> promises.Summary:
    """Replay a trace and check its outcome.

    Args:
      recorded: The trace.
      seed: Seed of the deployment and of the callers' choice of hosts.

    Returns:
      The figures, with a line for each violated guarantee or missed
      expectation.
    """
    make_deployment = {
        "federation": deployment.federation,
        "consortium": deployment.consortium,
    }[recorded.header.deployment]
    system = make_deployment(seed=seed)
    callers = VirtualCallers(system, seed)
    injector = _FaultInjector(system)
    requests = [
        trace.to_scheduled_request(request) for request in recorded.requests
    ]
    sending = load.send_all(system.clock, callers, requests)
    running = defer.ensureDeferred(sending)
    outcomes: list[load.Outcome] = []
    running.addCallback(outcomes.extend)
    began = system.clock.seconds()
    for fault in recorded.faults:
        system.clock.callLater(fault.at, injector.inject, fault)
    system.run_until(lambda: running.called, RUN_TIMEOUT_S)
    last_fault_s = max([f.at for f in recorded.faults], default=0.0)
    system.run(max(0.0, began + last_fault_s - system.clock.seconds()))
    system.run_until(
        functools.partial(_is_settled, system),
        SETTLE_TIMEOUT_S + FAILURE_DETECTION_S,
    )
    records = _read_records(system)
    lost = [
        s.name
        for s in system.servers.values()
        if s.is_crashed and s.name not in injector.killed
    ]
    return promises.evaluate(
        outcomes, records, recorded.header.expected, len(lost)
    )


def _is_settled(system: deployment.Deployment) -> bool:
    return not system.held_run_ids()


def _read_records(system: deployment.Deployment) -> promises.Records:
    engines: list[dict[str, Any]] = []
    plain = []
    for server in system.all_servers:
        if server.role == "plain":
            plain.append(server.plain_run_counts)
        else:
            engines.append(
                {
                    "counts": server.model.counts,
                    "runs": list(server.model.operation_log),
                }
            )
    return promises.collect(engines, plain, [system.held_run_ids()])
