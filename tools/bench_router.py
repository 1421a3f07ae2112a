"""Measures the processor time that a host adds to a request.

Callers, host and servers run in one process without sockets. The cost of the
host is the difference between a request through it and one sent directly to
the server; it includes writing the log lines.
"""

import time
from typing import Any

from twisted.internet import protocol

from nutmegscale import backend
from nutmegscale import slot_queue
from nutmegscale import slot_types
from standins import raw_caller
from standins import router_world

PLAIN_CALL_COUNT = 400
# Concurrent streams: as many as the simulated decode workers have slots.
STREAM_COUNT = 8
DECISION_COUNT = 300
EVENT_COUNT = 200


def _measure_direct(
    simulation: router_world.Simulation, worker: str, head: str
) -> float:
    """Return the processor seconds of plain calls sent to their server.

    Args:
      simulation: The simulation.
      worker: Server that gets the calls.
      head: Template of a call's head, with fields `number` and `worker`.

    Returns:
      Processor seconds of PLAIN_CALL_COUNT calls, simulation included.
    """
    factory = protocol.Factory.forProtocol(raw_caller.Caller)
    connections: list[Any] = []
    simulation.net.connect(simulation.addresses[worker], factory).addCallback(
        connections.append
    )
    simulation.run(0.01)
    began = time.process_time()
    for number in range(PLAIN_CALL_COUNT):
        text = head.format(number=number, worker=worker)
        connections[0].transport.write(text.encode() + b"\r\n\r\nhello")
        simulation.run(0.05)
    return time.process_time() - began


def _measure_idle(simulation: router_world.Simulation, seconds: float) -> float:
    """Return the processor seconds of simulated seconds without requests."""
    began = time.process_time()
    simulation.run(seconds)
    return time.process_time() - began


def measure_requests() -> tuple[float, float, float]:
    """Measure the cost of plain calls and of streamed events.

    Returns:
      Processor milliseconds that a host adds to a plain call, those of the
      direct call, and those of one streamed event, server and caller
      included.
    """
    simulation = router_world.Simulation()
    simulation.start_default_workers()
    simulation.start()
    idle_s = _measure_idle(simulation, PLAIN_CALL_COUNT * 0.05)
    head = (
        "POST /confirm/x HTTP/1.1\r\nHost: c\r\nRequest-Id: d{number}\r\n"
        "Target-Instance: {worker}\r\nContent-Length: 5"
    )
    direct_s = _measure_direct(simulation, "w1", head) - idle_s
    connection = simulation.open_connection()
    began = time.process_time()
    for _ in range(PLAIN_CALL_COUNT):
        simulation.send("confirm", on=connection)
        simulation.run(0.05)
    routed_s = time.process_time() - began - idle_s
    event_s = _measure_event(simulation)
    return (
        (routed_s - direct_s) / PLAIN_CALL_COUNT * 1e3,
        direct_s / PLAIN_CALL_COUNT * 1e3,
        event_s * 1e3,
    )


def _measure_event(simulation: router_world.Simulation) -> float:
    """Return the processor seconds of each further event of a stream."""
    times = []
    for events in (2, 2 + EVENT_COUNT):
        for worker in simulation.workers.values():
            worker.event_count = events
        seconds = 1.0 + events * 0.06
        idle_s = _measure_idle(simulation, seconds)
        callers = [simulation.open_connection() for _ in range(STREAM_COUNT)]
        began = time.process_time()
        for caller in callers:
            simulation.send("brief", on=caller)
        simulation.run(seconds)
        times.append(time.process_time() - began - idle_s)
        assert all(c.replies[-1].is_complete for c in callers)
    return (times[1] - times[0]) / (STREAM_COUNT * EVENT_COUNT)


def measure_decision(workers: int) -> float:
    """Measure a slot request and its release among busy workers.

    Args:
      workers: Number of model workers, a fifth of them for prefill; three
        quarters of the decode slots are held.

    Returns:
      Processor seconds of one request and one release.
    """
    queue = slot_queue.SlotQueue()
    backends = tuple(
        backend.Backend(
            f"w{n}",
            1,
            "m",
            "",
            "z",
            12,
            is_draining=False,
            stage="decode" if n % 5 else "prefill",
        )
        for n in range(workers)
    )
    queue.set_workers(0.0, backends, kv_tokens=100_125)
    busy = sum(w.stage == "decode" for w in backends) * 9
    began = 0.0
    for number in range(busy + DECISION_COUNT):
        if number == busy:
            began = time.process_time()
        now = number / 100
        name = str(number)
        request = slot_types.SlotRequest(
            name, "h", 5_000, 4_000, 1, now, now + 0.9, now + 3.4
        )
        queue.submit(now, request)
        queue.record_prefill(now, name, 0.1)
        if number >= busy:
            queue.release(str(number - busy))
            queue.dispatch(now)
    return (time.process_time() - began) / DECISION_COUNT


def main() -> None:
    """Measure and print the figures."""
    for workers in (5, 15, 47, 94):
        cost_us = measure_decision(workers) * 1e6
        print(f"ask and release of a slot, {workers} workers: {cost_us:.0f} us")
    added_ms, direct_ms, event_ms = measure_requests()
    print(f"plain call: {added_ms:.3f} ms by a host, beside {direct_ms:.3f} ms")
    print(f"streamed event: {event_ms:.4f} ms, server and caller included")


if __name__ == "__main__":
    main()
