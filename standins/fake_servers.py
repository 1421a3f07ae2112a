"""Backend servers on a virtual clock, and the clients that hosts use."""

from collections.abc import AsyncIterator
from typing import Any
from typing import Protocol

from twisted.internet import defer
from twisted.internet import task

from nutmegscale import engine
from nutmegscale import engine_http
from nutmegscale import errors
from nutmegscale import http_client
from nutmegscale import periodic
from nutmegscale import worker
from standins import engine_model
from standins import fake_network

DELAY_S = fake_network.DELAY_S
# Path of a plain call that crashes each server that runs it.
CRASH_PATH = "/crash"


class Simulation(Protocol):
    """Clock, network and servers that the clients use."""

    clock: Any
    network: fake_network.Network
    servers: "dict[str, FakeServer]"


class FakeServer:
    """A backend server in this process: an engine or a plain service.

    Attributes:
      name: Name in the host list.
      role: "prefill", "decode" or "plain".
      address: Base URL.
      model: The simulated engine.
      is_crashed: Whether it crashed.
      streams_to_stall: Number of streams to stall at their next token.
      lose_cancels: Number of coming cancels to ignore without an answer.
      prefill_prompts: Prompts of all prefill requests, in order.
      plain_run_counts: Number of runs of each plain call, by its key.
      lose_plain_answers: Number of coming plain calls to execute without an
        answer.
    """

    def __init__(
        self, clock: task.Clock, name: str, role: str, costs: dict[str, Any]
    ) -> None:
        self.name = name
        self.role = role
        self.address = f"http://{name}"
        self.model = engine_model.Engine(
            clock, role, engine_model.Costs(**costs)
        )
        self.is_crashed = False
        self.streams_to_stall = 0
        self.lose_cancels = 0
        self.prefill_prompts: list[str] = []
        self.plain_run_counts: dict[str, int] = {}
        self.lose_plain_answers = 0

    def crash(self) -> None:
        """Simulate a crash: all runs in memory are lost."""
        self.is_crashed = True
        for run_id in list(self.model.runs):
            self.model.cancel(run_id)


class FakeEngine:
    """`engine.Engine` of one host, backed by a fake server."""

    def __init__(
        self, simulation: Simulation, host: str, server: FakeServer
    ) -> None:
        self._simulation = simulation
        self._host = host
        self._server = server

    async def _connect(self) -> None:
        await periodic.sleep(self._simulation.clock, DELAY_S)
        name = self._server.name
        if self._simulation.network.is_cut(self._host, name):
            await periodic.sleep(self._simulation.clock, 0.5)
            raise errors.ConnectError(f"{self._host} is cut off from {name}")
        if self._server.is_crashed:
            raise errors.ConnectError(f"{name} refused the connection")

    async def _await_result(
        self, pending: defer.Deferred[Any], timeout_s: float
    ) -> Any:
        clock = self._simulation.clock
        pending.addTimeout(timeout_s, clock)
        try:
            result = await pending
        except engine_model.EngineRefusedError as exc:
            if self._server.is_crashed:
                raise errors.EngineLostError(
                    f"{self._server.name} crashed"
                ) from exc
            raise engine_http.error_of_reason(exc.reason) from exc
        except TimeoutError as exc:
            raise errors.EngineStalledError(
                f"no answer from {self._server.name} within {timeout_s} s"
            ) from exc
        if self._server.is_crashed:
            raise errors.EngineLostError(f"{self._server.name} crashed")
        return result

    def _crash_if_marked(self, prompt: str, mark: str) -> None:
        if mark in prompt:
            self._server.crash()
            raise errors.EngineLostError(
                f"{self._server.name} crashed on a marked prompt"
            )

    async def prefill(
        self,
        run_id: str,
        host: str,
        prompt: str,
        priority: int,
        timeout_s: float,
    ) -> engine.PrefillResult:
        """Prefill; see `engine.Engine`."""
        await self._connect()
        self._server.prefill_prompts.append(prompt)
        self._crash_if_marked(prompt, engine_model.PREFILL_CRASH_MARK)
        try:
            pending = self._server.model.prefill(run_id, host, prompt, priority)
        except engine_model.EngineRefusedError as exc:
            raise engine_http.error_of_reason(exc.reason) from exc
        result = await self._await_result(pending, timeout_s)
        return engine.PrefillResult(*result)

    async def start(self, order: engine.RunOrder, timeout_s: float) -> None:
        """Import and decode; see `engine.Engine`."""
        await self._connect()
        model = self._server.model
        source = self._simulation.servers[order.source.removeprefix("http://")]
        try:
            model.reserve(order.run_id, order.host)
        except engine_model.EngineRefusedError as exc:
            raise engine_http.error_of_reason(exc.reason) from exc
        try:
            if source.is_crashed:
                raise engine_model.EngineRefusedError("kv_gone")
            await self._await_result(
                source.model.export(order.handle), timeout_s
            )
            self._crash_if_marked(order.prompt, engine_model.DECODE_CRASH_MARK)
            model.start(
                order.run_id, order.prompt, order.first_token, order.max_tokens
            )
        except engine_model.EngineRefusedError as exc:
            model.cancel(order.run_id)
            raise engine_http.error_of_reason(exc.reason) from exc

    async def tokens(
        self, run_id: str, first: int, progress_timeout_s: float
    ) -> AsyncIterator[engine.Token]:
        """Stream tokens; see `engine.Engine`."""
        try:
            await self._connect()
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        run = self._server.model.find(run_id)
        if run is None:
            raise errors.RunGoneError(run_id)
        sent = first
        while True:
            while sent < run.generated_count:
                if self._server.streams_to_stall > 0:
                    self._server.streams_to_stall -= 1
                    await periodic.sleep(
                        self._simulation.clock, progress_timeout_s
                    )
                    raise errors.EngineStalledError(
                        f"no token of {run_id} within {progress_timeout_s} s"
                    )
                yield engine.Token(sent, run.tokens[sent])
                sent += 1
            if self._server.is_crashed:
                raise errors.EngineLostError(f"{self._server.name} crashed")
            if self._simulation.network.is_cut(self._host, self._server.name):
                await periodic.sleep(self._simulation.clock, progress_timeout_s)
                raise errors.EngineStalledError(
                    f"{self._host} is cut off from {self._server.name}"
                )
            if run.finished:
                return
            if self._server.model.find(run_id) is None:
                raise errors.RunGoneError(f"{run_id} was cancelled")
            waiter: defer.Deferred[None] = defer.Deferred()
            run.waiters.append(waiter)
            await waiter

    async def cancel(self, run_id: str) -> None:
        """Cancel; see `engine.Engine`."""
        try:
            await self._connect()
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        if self._server.lose_cancels > 0:
            self._server.lose_cancels -= 1
            await periodic.sleep(self._simulation.clock, 0.5)
            raise errors.EngineStalledError(f"cancel of {run_id} was lost")
        self._server.model.cancel(run_id)

    async def order(self, fence: int, leaving: bool) -> None:
        """Order; see `engine.Engine`."""
        try:
            await self._connect()
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        try:
            self._server.model.order(fence, leaving)
        except engine_model.EngineRefusedError as exc:
            raise engine_http.error_of_reason(exc.reason) from exc

    async def report(self, cache_after: int) -> worker.Report:
        """Report; see `engine.Engine`."""
        try:
            await self._connect()
        except errors.ConnectError as exc:
            raise errors.EngineLostError(str(exc)) from exc
        return engine_http.parse_report(self._server.model.report(cache_after))


class FakeClient:
    """The part of `http_client.HttpClient` that plain calls need."""

    def __init__(
        self, simulation: Simulation, host: str, server: FakeServer
    ) -> None:
        self._simulation = simulation
        self._host = host
        self._server = server

    async def check_connection(self) -> None:
        """Check that the server accepts a new connection."""
        await periodic.sleep(self._simulation.clock, DELAY_S)
        if self._server.is_crashed or self._simulation.network.is_cut(
            self._host, self._server.name
        ):
            raise errors.ConnectError(
                f"{self._server.name} refused the connection"
            )

    async def request(
        self, method: str, path: str, **options: Any
    ) -> http_client.Response:
        """Execute a call once; the answer may be lost."""
        await self.check_connection()
        key = options["headers"].get("x-run-key", "")
        runs = self._server.plain_run_counts
        runs[key] = runs.get(key, 0) + 1
        await periodic.sleep(self._simulation.clock, 0.005)
        if path == CRASH_PATH:
            self._server.crash()
            raise errors.TransportError(f"{self._server.name} crashed")
        if self._server.lose_plain_answers > 0:
            self._server.lose_plain_answers -= 1
            raise errors.TransportError(
                f"answer of {self._server.name} was lost"
            )
        headers = {"content-type": "text/plain"}
        return http_client.Response(200, headers, options["body"])
