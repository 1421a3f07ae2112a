"""Callers of the soak test that take up streams which broke off."""

import random
from typing import NamedTuple

from twisted.internet import defer

from nutmegscale import periodic
from tools import soak_callers
from tools import soak_world

PROMISE = "a stream stays at one software version"
ORDER_PROMISE = "a stream holds each event once, in order"
ANSWER_TIMEOUT_S = 6.0
MAX_ATTEMPTS = 3
# Part of the attempts whose callers break off by themselves.
LEAVING_SHARE = 0.8


class _Answer(NamedTuple):
    """Answer to an attempt: its events, and whether it is whole."""

    events: int
    is_whole: bool


class ResumingCallers:
    """Sends streams that may be resumed, and resumes them at other hosts.

    Many callers close their connection midway. A stream that they take up is
    sent to a random host, with the name of the attempt that began it.

    Attributes:
      resumed: Number of attempts to take up a stream.
      went_on: Number of those that brought events.
      sent_at: When each attempt was sent, seconds of the reactor clock.
    """

    def __init__(
        self,
        deployment: soak_world.SoakDeployment,
        callers: soak_callers.Callers,
        rng: random.Random,
        *,
        route: str = "digest",
    ) -> None:
        self._route = route
        self._deployment = deployment
        self._callers = callers
        self._rng = rng
        self._count = 0
        self.resumed = 0
        self.went_on = 0
        self.sent_at: list[float] = []
        self._running: defer.Deferred[None] | None = None

    def start(self) -> None:
        """Start sending."""
        self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop sending."""
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        while True:
            await self._send_stream()

    async def _send_stream(self) -> None:
        """Send a stream, and take it up until it is whole."""
        self._count += 1
        first = f"{self._route}-{self._count}"
        if self._route == "digest":
            first = f"resumable-{self._count}"
        answer = await self._send(first, "", 0)
        events = answer.events
        for attempt in range(1, MAX_ATTEMPTS):
            if not events or answer.is_whole:
                return
            self.resumed += 1
            headers = f"Resumes: {first}\r\nLast-Event-Id: {events}\r\n"
            answer = await self._send(f"{first}-{attempt}", headers, events)
            self.went_on += answer.events > 0
            events += answer.events

    async def _send(self, request: str, headers: str, after: int) -> _Answer:
        """Send one attempt to a random host.

        Args:
          request: Its name.
          headers: Its further headers.
          after: Number of the event after which to resume.
        """
        host = self._rng.choice(self._deployment.hosts)
        leaves_s = ANSWER_TIMEOUT_S
        if self._rng.random() < LEAVING_SHARE:
            leaves_s = self._rng.uniform(0.3, 0.8)
        connection = await self._callers.connect(host)
        if connection is None:
            await periodic.sleep(self._deployment.reactor, soak_callers.POLL_S)
            return _Answer(0, False)
        self.sent_at.append(self._deployment.reactor.seconds())
        body = request.split("-")[1].encode()
        for line in self._callers.further_lines:
            headers += f"{line}\r\n"
        connection.transport.write(
            (
                f"POST /{self._route}/x HTTP/1.1\r\nHost: clubs.example\r\n"
                f"Request-Id: {request}\r\nDeadline-Ms: 8000\r\n"
                f"Token-Count: 5000,4000\r\nModel: m\r\n{headers}"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        await self._callers.wait_for_answer(connection, leaves_s)
        connection.transport.abortConnection()
        reply = connection.replies[0] if connection.replies else None
        if reply is None or reply.status != 200:
            return _Answer(0, False)
        self._check_order(request, reply.body, after)
        return _Answer(reply.body.count(b"\n\n"), reply.is_complete)

    def _check_order(self, request: str, body: bytes, after: int) -> None:
        """Check that the events follow those that the caller has."""
        numbers = [
            int(event.partition(b"\n")[0].removeprefix(b"id: "))
            for event in body.split(b"\n\n")[:-1]
        ]
        expected = list(range(after + 1, after + 1 + len(numbers)))
        if numbers != expected:
            self._callers.record_violation(
                ORDER_PROMISE, request, f"{numbers[:3]} after {after}"
            )

    def check(self) -> None:
        """Check that no stream holds events of two versions."""
        versions: dict[str, set[str]] = {}
        for event in self._callers.all_stream_events():
            versions.setdefault(event.stream, set()).add(event.version)
        for name, seen in versions.items():
            if len(seen) > 1:
                self._callers.record_violation(
                    PROMISE, name, ",".join(sorted(seen))
                )
