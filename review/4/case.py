"""Settings change while machines are started again after a planned stop."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stand_ins  # noqa: E402

HOSTS = 3
# Machines that are restarted, and how often each.
RESTARTED = 2
RESTARTS = 3
# Time from the start of a process to the change of its settings.
CHANGED_AFTER_S = 0.15
RESTART_DELAY_S = 0.5
GRACE_S = 8.0
# A machine on which this many processes end by themselves counts.
MAX_ENDS = 3


async def _has_ended(host: stand_ins.Daemon, limit_s: float) -> bool:
    async def _is_over() -> bool:
        return host.process is not None and host.process.poll() is not None

    return await stand_ins.until(_is_over, limit_s)


async def _restart(
    host: stand_ins.Daemon, record: stand_ins.Record, has_trouble: bool
) -> int:
    """Restart a machine some times; return how often it ended by itself."""
    ends = 0
    for _ in range(RESTARTS):
        record.add(f"{host.name}: SIGTERM")
        host.signal(signal.SIGTERM)
        if not await _has_ended(host, GRACE_S):
            host.signal(signal.SIGKILL)
            await _has_ended(host, 1.0)
        await asyncio.sleep(RESTART_DELAY_S)
        record.add(f"{host.name}: start")
        host.start()
        await asyncio.sleep(CHANGED_AFTER_S)
        if has_trouble:
            record.add(f"{host.name}: the settings change, SIGHUP")
            host.signal(signal.SIGHUP)
        if await _has_ended(host, 1.0):
            assert host.process is not None
            ends += 1
            code = host.process.returncode
            record.add(f"{host.name}: the process ended by itself, code {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            record.add(f"{host.name}: start")
            host.start()
        is_ready = await stand_ins.until(host.is_ready, 15.0)
        record.add(f"{host.name}: ready: {is_ready}")
    return ends


async def _run(record: stand_ins.Record, has_trouble: bool) -> int:
    store = stand_ins.Store()
    await store.start("127.43.5.1")
    ips = [f"127.43.5.{10 + number}" for number in range(HOSTS)]
    ports = stand_ins.free_ports(ips)
    hosts = [
        stand_ins.Daemon(
            f"front-{number}", ip, "maadi", ports=ports, store=store.address
        )
        for number, ip in enumerate(ips)
    ]
    route = {"name": "confirm", "pathPrefix": "/confirm/", "kind": "unsafe"}
    store.put("op", "config", stand_ins.config(1, [route]))
    server = stand_ins.PlainServer(store, record, "app")
    await server.start("127.43.5.2", "entries-app", "maadi")
    try:
        for host in hosts:
            host.start()
        for host in hosts:
            if not await stand_ins.until(host.is_ready, 20.0):
                record.add(f"{host.name} didn't get ready")
                return 2
        ends = await asyncio.gather(
            *(_restart(host, record, has_trouble) for host in hosts[:RESTARTED])
        )
    finally:
        for host in hosts:
            host.stop()
    record.add(f"processes that ended by themselves, by machine: {ends}")
    return 1 if sum(count >= MAX_ENDS for count in ends) >= 2 else 0


if __name__ == "__main__":
    stand_ins.run_case(HERE, _run)
