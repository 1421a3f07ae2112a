"""Requests for a leaving worker, after a heartbeat that was performed late.

A worker's heartbeat gets no answer and is performed seconds later. Meanwhile
the worker has reported that it drains. The row then says `ready` again, with a
lower `sequence`, until the next heartbeat.
"""

import asyncio
import pathlib

import harness

# Pause between two requests of the clients, seconds.
REQUEST_PAUSE_S = 0.05
# Each sixteenth request is a stream.
STREAM_EVERY = 16
WARM_UP_S = 4.0
# Times since the heartbeat that gets no answer, seconds. A write without an
# answer is performed 1 to 6 s later; a store without impairment for 3 s is
# stable.
DRAIN_S = 3.3
PERFORMED_S = 5.9
EXIT_S = 7.2
# Bounds of the rule, seconds.
DRAIN_BOUND_S = 2.0


async def send_requests(world: harness.World, stop: asyncio.Event) -> None:
    """Send requests to the daemons in turn until a stop."""
    running = []
    number = 0
    while not stop.is_set():
        number += 1
        daemon = world.daemons[number % len(world.daemons)]
        if number % STREAM_EVERY == 0:
            headers = {
                "Model": "m",
                "Token-Count": "1000,40",
                "Prompt-Prefix": f"ab:200,{number:x}:800",
            }
            call = world.client.call(
                daemon,
                "digest",
                method="POST",
                body=b"brief %d" % number,
                deadline_s=14.0,
                headers=headers,
            )
        elif number % 3:
            call = world.client.call(
                daemon, "confirm", method="POST", body=b"entry %d" % number
            )
        else:
            call = world.client.call(daemon, "slot")
        running.append(asyncio.ensure_future(call))
        await asyncio.sleep(REQUEST_PAUSE_S)
    await asyncio.gather(*running)


async def leave(world: harness.World, worker: harness.Worker) -> float:
    """Let a worker drain and exit; return when the store acknowledged it."""
    if world.has_trouble:
        late = worker.entry()
        world.record.write("heartbeat_without_answer", worker=worker.id)

        def _perform() -> None:
            world.store.put("servers", worker.id, late)
            world.record.write("heartbeat_performed_late", worker=worker.id)

        asyncio.get_running_loop().call_later(PERFORMED_S, _perform)
    await asyncio.sleep(DRAIN_S)
    while worker.running:
        # Without a request at hand, no answer says that it leaves.
        await asyncio.sleep(0.001)
    worker.drain()
    await asyncio.sleep(0)
    acknowledged = world.record.write("draining_acknowledged", worker=worker.id)
    await asyncio.sleep(EXIT_S - DRAIN_S)
    return acknowledged


async def run(world: harness.World) -> bool:
    """Play the case; return whether no request came later than allowed."""
    await world.start_store()
    for number in (1, 2):
        world.add_daemon(f"front-{number}")
    for number in (1, 2, 3):
        await world.add_worker(f"a{number}", service="entries-app").start()
    for number, stage in enumerate(("prefill", "decode", "decode"), 1):
        worker = world.add_worker(
            f"m{number}", service="notes-model", stage=stage, slots=12
        )
        await worker.start()
    await world.start_daemons()
    stop = asyncio.Event()
    requests = asyncio.ensure_future(send_requests(world, stop))
    await asyncio.sleep(WARM_UP_S)
    leaving = world.workers["a1"]
    acknowledged = await leave(world, leaving)
    leaving.crash()
    world.store.put("servers", leaving.id, None)
    stop.set()
    await requests
    late = [
        (request, round(at - acknowledged, 3))
        for at, request, what in leaving.arrivals
        if what == "run" and at > acknowledged + DRAIN_BOUND_S
    ]
    world.record.write("summary", late_requests=late)
    return not late


if __name__ == "__main__":
    harness.main(pathlib.Path(__file__).parent, run)
