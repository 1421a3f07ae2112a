"""A server breaks off some streams that have neither a length nor chunks."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import stand_ins  # noqa: E402

ROUNDS = 4
STREAMS = 20
# One of two servers breaks off one in 20 of its answers.
BROKEN_EVERY = 20
FIRST_BROKEN = 5
BROKEN_AFTER = 20
DEADLINE_MS = 14_000
ROUTE = {
    "name": "digest",
    "pathPrefix": "/digest/",
    "kind": "stream",
    "timeoutMs": DEADLINE_MS,
    "targetLatencyMs": 900,
    "targetGapMs": 300,
    "sessionAffinity": True,
    "service": "entries-app",
}


class UnframedServer(stand_ins.StreamServer):
    """A server whose streams end with their connections.

    Attributes:
      is_faulty: Whether it breaks off some of them.
      broken: Ids of the requests whose streams it broke off.
    """

    event_s = 0.01

    def __init__(
        self, store: stand_ins.Store, record: stand_ins.Record, name: str
    ) -> None:
        super().__init__(store, record, name)
        self.is_faulty = False
        self.broken: list[str] = []

    async def _answer(
        self,
        head: stand_ins.Head,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = head.headers["request-id"]
        headers = self._answer_headers(request_id)
        headers["Content-Type"] = "text/event-stream"
        lines = [f"{name}: {value}" for name, value in headers.items()]
        start = "\r\n".join(["HTTP/1.1 200 OK", *lines])
        writer.write(start.encode() + b"\r\n\r\n")
        is_due = len(self.ran) % BROKEN_EVERY == FIRST_BROKEN
        is_broken = self.is_faulty and is_due
        for number in range(1, self.events + 1):
            await asyncio.sleep(self.event_s)
            event = b"id: %d\ndata: %b\n\n" % (number, b"t" * 280)
            if is_broken and number > BROKEN_AFTER:
                writer.write(event[: len(event) // 2])
                self.broken.append(request_id)
                self._record.add(f"{self.id} breaks off {request_id}")
                break
            writer.write(event)
        await writer.drain()
        writer.close()


async def _call(
    host: stand_ins.Daemon, record: stand_ins.Record, request_id: str
) -> tuple[str, str, bytes]:
    """Return the id, the status, and the body if it looks complete."""
    reader, writer = await asyncio.open_connection(host.ip, host.front)
    headers = {
        "Host": stand_ins.HOST_NAME,
        "Request-Id": request_id,
        "Deadline-Ms": DEADLINE_MS,
    }
    start = "POST /digest/1 HTTP/1.1"
    writer.write(stand_ins.message(start, headers, request_id.encode()))
    try:
        head = await stand_ins.read_head(reader)
        body = await stand_ins.read_body(head, reader)
    except (OSError, EOFError) as exc:
        record.add(f"{request_id}: {type(exc).__name__}")
        return request_id, "cut off", b""
    finally:
        writer.close()
    return request_id, head.start[1], body


async def _run(record: stand_ins.Record, has_trouble: bool) -> int:
    ip = "127.43.7.10"
    store = stand_ins.Store()
    await store.start("127.43.7.1")
    ports = stand_ins.free_ports([ip])
    host = stand_ins.Daemon(
        "front-0", ip, "maadi", ports=ports, store=store.address
    )
    store.put("op", "config", stand_ins.config(1, [ROUTE]))
    servers = [UnframedServer(store, record, f"app{n}") for n in range(2)]
    for server in servers:
        await server.start("127.43.7.2", "entries-app", "maadi")
    servers[0].is_faulty = has_trouble
    answers = []
    try:
        host.start()
        if not await stand_ins.until(host.is_ready, 20.0):
            record.add("the daemon didn't get ready")
            return 2
        await asyncio.sleep(3.0)
        for number in range(ROUNDS):
            ids = [f"{number:02x}{n:02x}" for n in range(STREAMS)]
            answers += await asyncio.gather(
                *(_call(host, record, request_id) for request_id in ids)
            )
    finally:
        host.stop()
    wrong = 0
    for request_id, status, body in answers:
        if status != "200" or body.endswith(b"\n\n"):
            continue
        wrong += 1
        events = body.count(b"\n\n")
        record.add(
            f"{request_id}: 200, complete by its length of {len(body)}, after "
            f"{events} of {servers[0].events} events and a part of the next"
        )
    broken = sum(len(server.broken) for server in servers)
    whole = sum(
        status == "200" and body.count(b"\n\n") == servers[0].events
        for _, status, body in answers
    )
    record.add(
        f"{whole} of {len(answers)} streams whole, {broken} broken off by the "
        f"server, {wrong} of them passed on as complete"
    )
    return 1 if wrong else 0


if __name__ == "__main__":
    stand_ins.run_case(HERE, _run)
