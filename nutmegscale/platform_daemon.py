"""The daemon `nutmegscaled` on the users' platform; assembles the adapter."""

import asyncio
import signal
import sys
import time
from typing import Any

from nutmegscale import daemon

EXIT_FAILED = 1
EXIT_USAGE = 2
LISTEN_BACKLOG = 512
# Port of the metrics, as deploy/system.toml states it.
METRICS_PORT = 9464


def _boot_now() -> float:
    """Return monotonic time that also counts while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _log_refused(status: int) -> None:
    """Write the line of a request that couldn't be read."""
    from nutmegscale import logs  # noqa: PLC0415

    logs.get().info("request_unreadable", status=status)


def _facts(found: Any, peer_address: str) -> Any:
    """Return what the router must know of the settings."""
    from nutmegscale import router_settings  # noqa: PLC0415

    return router_settings.RouterSettings(
        host=found.host,
        failure_domain=found.failure_domain,
        peer_address=peer_address,
        link_mbps=found.link_mbps,
        grace_s=found.grace_s,
        retry_ratio=found.retry_ratio,
        retry_extra=found.retry_extra,
        retry_window_s=found.retry_window_s,
    )


class PlatformDaemon:
    """Ports and signals around the router of one host."""

    def __init__(
        self, reactor: Any, loop: asyncio.AbstractEventLoop, found: Any
    ) -> None:
        from nutmegscale import http_ingress  # noqa: PLC0415
        from nutmegscale import nng_transport  # noqa: PLC0415
        from nutmegscale import ready_site  # noqa: PLC0415
        from nutmegscale import router  # noqa: PLC0415
        from nutmegscale import router_metrics  # noqa: PLC0415
        from nutmegscale import scrape_site  # noqa: PLC0415
        from nutmegscale import upstream  # noqa: PLC0415
        from nutmegscale.platform import store_client  # noqa: PLC0415
        from nutmegscale.platform import wires  # noqa: PLC0415

        self._reactor = reactor
        self._settings = found
        clock = daemon.MonotonicClock(reactor)
        peer_address = f"tcp://{found.ip}:{found.peer_port}"
        self._transport = nng_transport.NngTransport(loop, peer_address)
        metrics, scrape = router_metrics.make_prometheus()
        pool = upstream.UpstreamPool(reactor, clock)
        self._router = router.Router(
            _facts(found, peer_address),
            clock,
            store=store_client.StoreClient(pool, found.store_address),
            pool=pool,
            transport=self._transport,
            codecs=wires.make_wires(),
            metrics=metrics,
            boot_now=_boot_now,
        )
        board = self._router.board
        self._callers = http_ingress.IngressFactory(
            clock,
            self._router,
            lambda: board.limits,
            on_refused=_log_refused,
        )
        self._ready = http_ingress.IngressFactory(
            clock,
            ready_site.ReadySite(lambda: board.is_ready),
            lambda: board.limits,
        )
        self._scrapes = http_ingress.IngressFactory(
            clock, scrape_site.ScrapeSite(scrape), lambda: board.limits
        )
        self._caller_port: Any = None
        self._is_stopping = False

    def start(self) -> None:
        """Listen on every port and start the router."""
        found = self._settings
        self._transport.start(self._router.mesh.receive)
        self._listen(found.ready_port, self._ready, found.ready_ip)
        self._listen(METRICS_PORT, self._scrapes, found.ip)
        self._caller_port = self._listen(
            found.caller_port, self._callers, found.caller_ip
        )
        self._router.start()

    def _listen(self, port: int, factory: Any, ip: str) -> Any:
        return self._reactor.listenTCP(
            port, factory, LISTEN_BACKLOG, interface=ip
        )

    def on_signal(self, number: int, frame: Any) -> None:
        """Start a graceful shutdown."""
        self._reactor.callFromThread(self.shut_down)

    def on_changed_settings(self, number: int, frame: Any) -> None:
        """Read the settings file again."""
        self._reactor.callFromThread(self.reload)

    def reload(self) -> None:
        """Take over the settings that may change while a host runs."""
        from nutmegscale import errors  # noqa: PLC0415
        from nutmegscale import logs  # noqa: PLC0415
        from nutmegscale.platform import settings  # noqa: PLC0415

        try:
            found = settings.load()
        except errors.SettingsError as exc:
            logs.get().error("settings_rejected", message=str(exc))
            return
        changed = [
            name
            for name, value in found._asdict().items()
            if value != getattr(self._settings, name)
        ]
        self._settings = found
        peer_address = f"tcp://{found.ip}:{found.peer_port}"
        self._router.update_settings(_facts(found, peer_address))
        logs.get().info("settings_reloaded", changed=",".join(changed))

    def shut_down(self) -> None:
        """Drain, then stop."""
        from nutmegscale import periodic  # noqa: PLC0415

        if not self._is_stopping:
            self._is_stopping = True
            self._callers.is_draining = True
            periodic.spawn(self._drain())

    async def _drain(self) -> None:
        assert self._caller_port is not None
        await self._router.drain(
            self._callers.connections,
            self._callers.close_idle,
            self._caller_port.stopListening,
        )
        self._reactor.callLater(daemon.CLOSE_PAUSE_S, self._stop)

    def _stop(self) -> None:
        self._router.stop()
        self._transport.stop()
        if self._reactor.running:
            self._reactor.stop()


def main() -> None:
    """Run the daemon until it is told to stop."""
    from nutmegscale import errors  # noqa: PLC0415
    from nutmegscale import logs  # noqa: PLC0415
    from nutmegscale.platform import settings  # noqa: PLC0415

    try:
        found = settings.load()
    except errors.SettingsError as exc:
        sys.stderr.write(f"nutmegscaled: {exc}\n")
        sys.exit(EXIT_USAGE)
    logs.configure(found.host, descriptor=logs.STANDARD_OUTPUT)
    reactor, loop = daemon.install_reactor()
    running = PlatformDaemon(reactor, loop, found)
    try:
        running.start()
    except Exception as exc:
        logs.get().error(
            "start_failed", error=type(exc).__name__, message=str(exc)
        )
        sys.exit(EXIT_FAILED)
    signal.signal(signal.SIGTERM, running.on_signal)
    signal.signal(signal.SIGINT, running.on_signal)
    signal.signal(signal.SIGHUP, running.on_changed_settings)
    logs.get().info("started", caller_port=found.caller_port)
    reactor.run(installSignalHandlers=False)
    logs.get().info("stopped")


if __name__ == "__main__":
    main()
