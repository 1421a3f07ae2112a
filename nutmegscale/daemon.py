"""The daemon `nutmegscaled`: one process on each entry host."""

import argparse
import asyncio
import functools
import signal
import sys
import time
from typing import Any

EXIT_FAILED = 1
EXIT_USAGE = 2
LISTEN_BACKLOG = 512
# Time between the end of the drain and the stop of the reactor.
STOP_DELAY_S = 0.2


class MonotonicClock:
    """Clock with the reactor's timers and monotonic time."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def seconds(self) -> float:
        """Return monotonic time in seconds."""
        return time.monotonic()

    def callLater(  # noqa: N802
        self, delay: float, function: Any, *args: Any, **kwargs: Any
    ) -> Any:
        """Call a function after a delay; see Twisted's IReactorTime."""
        return self._reactor.callLater(delay, function, *args, **kwargs)


def boot_now() -> float:
    """Return monotonic time that also counts while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def install_reactor() -> tuple[Any, asyncio.AbstractEventLoop]:
    """Install Twisted's reactor on a new asyncio loop.

    Must be called before anything else imports the reactor, so that the
    reactor runs on the same event loop as the nng transport.

    Returns:
      The reactor and its event loop.
    """
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    from twisted.internet import asyncioreactor  # noqa: PLC0415

    asyncioreactor.install(loop)
    from twisted.internet import reactor  # noqa: PLC0415

    return reactor, loop


class Daemon:
    """Connects the application of a host to its ports and to signals."""

    def __init__(
        self, reactor: Any, loop: asyncio.AbstractEventLoop, host_settings: Any
    ) -> None:
        from nutmegscale import application  # noqa: PLC0415
        from nutmegscale import engine_http  # noqa: PLC0415
        from nutmegscale import http_client  # noqa: PLC0415
        from nutmegscale import metrics  # noqa: PLC0415
        from nutmegscale import nng_transport  # noqa: PLC0415
        from nutmegscale import platform_http  # noqa: PLC0415

        self._reactor = reactor
        self._settings = host_settings
        self._clients: dict[str, http_client.HttpClient] = {}
        self._make_client: Any = functools.partial(
            http_client.HttpClient, reactor
        )
        self._make_engine = engine_http.HttpEngine
        self._engines: dict[str, engine_http.HttpEngine] = {}
        self._transport = nng_transport.NngTransport(
            loop, host_settings["mesh_address"]
        )
        host_metrics, self._scrape = metrics.make_prometheus()
        self._application = application.Application(
            host_settings,
            MonotonicClock(reactor),
            transport=self._transport,
            platform=platform_http.HttpPlatform(
                self._client(host_settings["platform_url"])
            ),
            engines=self._engine,
            clients=self._client,
            host_metrics=host_metrics,
            wall_clock=time.time,
            boot_now=boot_now,
        )
        self._is_stopping = False

    def _client(self, url: str) -> Any:
        if url not in self._clients:
            self._clients[url] = self._make_client(url)
        return self._clients[url]

    def _engine(self, url: str) -> Any:
        if url not in self._engines:
            self._engines[url] = self._make_engine(self._client(url))
        return self._engines[url]

    def start(self) -> None:
        """Listen on all ports and start the application."""
        from nutmegscale import caller_api  # noqa: PLC0415
        from nutmegscale import operator_api  # noqa: PLC0415

        app = self._application
        callers = caller_api.CallerApi(app.board, app.exchanges, app.calls)
        operator_routes = operator_api.OperatorApi(
            app.board,
            app.configs,
            app.exchanges,
            app.mesh,
            scrape=self._scrape,
            drain=self.shut_down,
            http_bytes=lambda: sum(
                client.traffic_bytes for client in self._clients.values()
            ),
        )
        operator_routes.add_gauges()
        self._transport.start(app.mesh.receive)
        self._listen(self._settings["caller_port"], callers.handle)
        self._listen(self._settings["operator_port"], operator_routes.handle)
        app.start()

    def _listen(self, port: int, handler: Any) -> None:
        from nutmegscale import caller_api  # noqa: PLC0415
        from nutmegscale import http_server  # noqa: PLC0415

        site = http_server.make_site(handler, caller_api.on_error)
        ip = self._settings["listen_ip"]
        self._reactor.listenTCP(port, site, LISTEN_BACKLOG, interface=ip)

    def on_signal(self, number: int, frame: Any) -> None:
        """Start a graceful shutdown, or stop at once if one has started."""
        self._reactor.callFromThread(self.shut_down, is_signal=True)

    def shut_down(self, *, is_signal: bool = False) -> None:
        """Drain, then stop.

        If the shutdown has already started, a signal ends what is in
        progress and stops the daemon at once; any other call does nothing.

        Args:
          is_signal: Whether a signal caused the call.
        """
        from nutmegscale import periodic  # noqa: PLC0415

        if not self._is_stopping:
            self._is_stopping = True
            periodic.spawn(self._drain())
        elif is_signal:
            self._application.cancel_all()
            self._reactor.callLater(STOP_DELAY_S, self._stop)

    async def _drain(self) -> None:
        await self._application.drain()
        self._reactor.callLater(STOP_DELAY_S, self._stop)

    def _stop(self) -> None:
        self._application.stop()
        self._transport.stop()
        if self._reactor.running:
            self._reactor.stop()


def main() -> None:
    """Run the daemon until a signal or an operator stops it."""
    parser = argparse.ArgumentParser(
        prog="nutmegscaled", description="Entry host of nutmegscale."
    )
    parser.add_argument("--settings", required=True, metavar="FILE")
    args = parser.parse_args()
    from nutmegscale import errors  # noqa: PLC0415
    from nutmegscale import logs  # noqa: PLC0415
    from nutmegscale import settings  # noqa: PLC0415

    try:
        host_settings = settings.with_defaults(settings.load(args.settings))
    except errors.SettingsError as exc:
        sys.stderr.write(f"nutmegscaled: {exc}\n")
        sys.exit(EXIT_USAGE)
    logs.configure(host_settings["host"])
    reactor, loop = install_reactor()
    daemon = Daemon(reactor, loop, host_settings)
    try:
        daemon.start()
    except Exception as exc:
        logs.get().error(
            "start_failed", error=type(exc).__name__, message=str(exc)
        )
        sys.exit(EXIT_FAILED)
    signal.signal(signal.SIGTERM, daemon.on_signal)
    signal.signal(signal.SIGINT, daemon.on_signal)
    logs.get().info("started", caller_port=host_settings["caller_port"])
    reactor.run(installSignalHandlers=False)
    logs.get().info("stopped")
