"""The daemon `nutmegscaled` for the platform, with the platform adapter."""

# Modules that take long to load are imported by the functions that use them:
# until `main` runs, SIGHUP ends the process.
import faulthandler
import functools
import signal
import sys
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

EXIT_FAILED = 1
EXIT_USAGE = 2
LISTEN_BACKLOG = 512
# TCP port of the metrics; must equal the one in deploy/system.toml.
METRICS_PORT = 9464
# Connections of load balancers, and of those that read the metrics.
MAX_PROBE_CONNECTIONS = 32
# Time between two looks at the memory that callers hold, seconds.
MEMORY_PERIOD_S = 1.0


def _log_refused_request(status: int) -> None:
    """Log a request that was refused before it was handled."""
    from nutmegscale import logs  # noqa: PLC0415

    logs.get().info("request_unreadable", status=status)


def _router_settings(host_settings: Any, peer_address: str) -> Any:
    """Return the settings that the router needs."""
    from nutmegscale import router_settings  # noqa: PLC0415

    return router_settings.RouterSettings(
        host=host_settings.host,
        failure_domain=host_settings.failure_domain,
        peer_address=peer_address,
        link_mbps=host_settings.link_mbps,
        grace_s=host_settings.grace_s,
        retry_limits=host_settings.retry_limits,
        relay_address_of=functools.partial(
            _relay_address, port=host_settings.relay_port
        ),
        is_first_start=host_settings.is_first_start,
        quota_rule=host_settings.quota_rule,
        is_adaptive=host_settings.is_adaptive,
    )


def _relay_address(peer_address: str, *, port: int) -> str:
    """Return where a host takes the requests that other hosts pass on."""
    ip = peer_address.removeprefix("tcp://").rpartition(":")[0]
    return f"{ip}:{port}"


class ReloadSignal:
    """Handler of SIGHUP from the start of the process on.

    A signal that comes before the daemon can reload is handled once it can.
    """

    def __init__(self) -> None:
        self._reload: Callable[[], None] | None = None
        self._has_come = False

    def on_signal(self, number: int, frame: Any) -> None:
        """Reload the settings, now or once that is possible."""
        if self._reload is None:
            self._has_come = True
        else:
            self._reload()

    def attach(self, reload: "Callable[[], None]") -> None:
        """Set the function that reloads the settings."""
        self._reload = reload
        if self._has_come:
            reload()


class PlatformDaemon:
    """Connects the router of a host to its ports and to signals."""

    def __init__(
        self,
        reactor: Any,
        loop: "asyncio.AbstractEventLoop",
        host_settings: Any,
    ) -> None:
        from nutmegscale import daemon  # noqa: PLC0415
        from nutmegscale import http_ingress  # noqa: PLC0415
        from nutmegscale import memory_release  # noqa: PLC0415
        from nutmegscale import nng_transport  # noqa: PLC0415
        from nutmegscale import ready_site  # noqa: PLC0415
        from nutmegscale import router  # noqa: PLC0415
        from nutmegscale import router_metrics  # noqa: PLC0415
        from nutmegscale import scrape_site  # noqa: PLC0415
        from nutmegscale import upstream  # noqa: PLC0415
        from nutmegscale.platform import codecs  # noqa: PLC0415
        from nutmegscale.platform import store_client  # noqa: PLC0415

        self._reactor = reactor
        self._settings = host_settings
        clock = daemon.MonotonicClock(reactor)
        peer_address = f"tcp://{host_settings.ip}:{host_settings.peer_port}"
        self._transport = nng_transport.NngTransport(loop, peer_address)
        metrics, scrape = router_metrics.make_prometheus()
        limits = host_settings.memory_limits
        pool = upstream.UpstreamPool(reactor, clock, limits=limits)
        self._router = router.Router(
            _router_settings(host_settings, peer_address),
            clock,
            store=store_client.StoreClient(
                pool,
                host_settings.store_address,
                link_mbps=host_settings.link_mbps,
            ),
            pool=pool,
            transport=self._transport,
            codecs=codecs.make_codecs(),
            metrics=metrics,
            boot_now=daemon.boot_now,
        )
        board = self._router.board
        self._memory = http_ingress.SharedMemory(clock, limits)
        self._release = memory_release.MemoryRelease(limits.held_bytes)

        self._clock = clock
        self._metrics = metrics
        self._callers = self._make_ingress(
            "callers",
            self._router,
            on_refused=_log_refused_request,
            max_connections=limits.caller_connections,
        )
        self._relayed = self._make_ingress(
            "relay",
            self._router.relayed,
            max_connections=limits.relay_connections,
        )
        self._ready = self._make_ingress(
            "ready",
            ready_site.ReadySite(lambda: board.is_ready),
            max_connections=MAX_PROBE_CONNECTIONS,
        )
        self._scrapes = self._make_ingress(
            "metrics",
            scrape_site.ScrapeSite(scrape),
            max_connections=MAX_PROBE_CONNECTIONS,
        )
        self._caller_port: Any = None
        self._is_stopping = False

    def _make_ingress(self, port: str, handler: Any, **options: Any) -> Any:
        """Create the connections of a port; all ports share their memory."""
        from nutmegscale import closing_log  # noqa: PLC0415
        from nutmegscale import http_ingress  # noqa: PLC0415

        board = self._router.board
        log = closing_log.ClosingLog(port, self._metrics, self._clock.seconds)
        return http_ingress.IngressFactory(
            self._clock,
            handler,
            lambda: board.limits,
            on_shed=log.record,
            shared=self._memory,
            **options,
        )

    def start(self) -> None:
        """Listen on all ports and start the router."""
        host_settings = self._settings
        self._transport.start(self._router.mesh.receive)
        self._listen(
            host_settings.ready_port, self._ready, host_settings.ready_ip
        )
        self._listen(host_settings.relay_port, self._relayed, host_settings.ip)
        self._listen(METRICS_PORT, self._scrapes, host_settings.ip)
        self._caller_port = self._listen(
            host_settings.caller_port, self._callers, host_settings.caller_ip
        )
        self._router.start()
        self._look_at_memory()

    def _look_at_memory(self) -> None:
        """Report what callers hold, and give back what they held."""
        budget = self._memory.budget
        self._metrics.record_caller_memory(budget.held_bytes)
        self._release.record(
            self._clock.seconds(),
            held_bytes=budget.held_bytes,
            peak_bytes=budget.peak_bytes,
        )
        budget.peak_bytes = budget.held_bytes
        self._reactor.callLater(MEMORY_PERIOD_S, self._look_at_memory)

    def _listen(self, port: int, factory: Any, ip: str) -> Any:
        return self._reactor.listenTCP(
            port, factory, LISTEN_BACKLOG, interface=ip
        )

    def on_signal(self, number: int, frame: Any) -> None:
        """Start a graceful shutdown."""
        self._reactor.callFromThread(self.shut_down)

    def reload_soon(self) -> None:
        """Reload the settings file from the event loop."""
        self._reactor.callFromThread(self.reload)

    def reload(self) -> None:
        """Reload the settings and apply those that may change at run time."""
        from nutmegscale import errors  # noqa: PLC0415
        from nutmegscale import logs  # noqa: PLC0415
        from nutmegscale.platform import settings  # noqa: PLC0415

        try:
            host_settings = settings.load()
        except errors.SettingsError as exc:
            logs.get().error("settings_rejected", message=str(exc))
            return
        changed = [
            name
            for name, value in host_settings._asdict().items()
            if value != getattr(self._settings, name)
        ]
        self._settings = host_settings
        peer_address = f"tcp://{host_settings.ip}:{host_settings.peer_port}"
        self._router.update_settings(
            _router_settings(host_settings, peer_address)
        )
        limits = host_settings.memory_limits
        self._memory.set_limits(limits)
        self._callers.max_connections = limits.caller_connections
        self._relayed.max_connections = limits.relay_connections
        logs.get().info("settings_reloaded", changed=",".join(changed))

    def shut_down(self) -> None:
        """Drain, then stop; further calls do nothing."""
        from nutmegscale import periodic  # noqa: PLC0415

        if not self._is_stopping:
            self._is_stopping = True
            self._callers.is_draining = True
            periodic.spawn(self._drain())

    async def _drain(self) -> None:
        from nutmegscale import daemon  # noqa: PLC0415

        assert self._caller_port is not None
        await self._router.drain(
            self._callers.connections,
            self._callers.close_idle,
            self._caller_port.stopListening,
        )
        self._reactor.callLater(daemon.STOP_DELAY_S, self._stop)

    def _stop(self) -> None:
        self._router.stop()
        self._transport.stop()
        if self._reactor.running:
            self._reactor.stop()


def main() -> None:
    """Run the daemon until a signal stops it."""
    # A crash in a library names the line that called it.
    faulthandler.enable()
    reload_signal = ReloadSignal()
    signal.signal(signal.SIGHUP, reload_signal.on_signal)
    from nutmegscale import daemon  # noqa: PLC0415
    from nutmegscale import errors  # noqa: PLC0415
    from nutmegscale import logs  # noqa: PLC0415
    from nutmegscale import memory_release  # noqa: PLC0415
    from nutmegscale.platform import settings  # noqa: PLC0415

    try:
        host_settings = settings.load()
    except errors.SettingsError as exc:
        sys.stderr.write(f"nutmegscaled: {exc}\n")
        sys.exit(EXIT_USAGE)
    logs.configure(host_settings.host, descriptor=logs.STANDARD_OUTPUT)
    memory_release.map_large_buffers()
    reactor, loop = daemon.install_reactor()
    host_daemon = PlatformDaemon(reactor, loop, host_settings)
    try:
        host_daemon.start()
    except Exception as exc:
        logs.get().error(
            "start_failed", error=type(exc).__name__, message=str(exc)
        )
        sys.exit(EXIT_FAILED)
    signal.signal(signal.SIGTERM, host_daemon.on_signal)
    signal.signal(signal.SIGINT, host_daemon.on_signal)
    reload_signal.attach(host_daemon.reload_soon)
    logs.get().info("started", caller_port=host_settings.caller_port)
    reactor.run(installSignalHandlers=False)
    logs.get().info("stopped")


if __name__ == "__main__":
    main()
