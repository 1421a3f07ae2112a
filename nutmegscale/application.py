"""Application object of a daemon: creates, starts and stops its controllers."""

from collections.abc import Callable
import random
from typing import Any

from nutmegscale import blackboard
from nutmegscale import call_controller
from nutmegscale import cancel_controller
from nutmegscale import config_controller
from nutmegscale import crash_watch
from nutmegscale import directory_controller
from nutmegscale import engine
from nutmegscale import envelope
from nutmegscale import exchange_controller
from nutmegscale import home_controller
from nutmegscale import http_client
from nutmegscale import membership
from nutmegscale import membership_controller
from nutmegscale import mesh
from nutmegscale import metrics
from nutmegscale import order_controller
from nutmegscale import periodic
from nutmegscale import platform_circuit_breaker
from nutmegscale import platform_service
from nutmegscale import settings
from nutmegscale import shared_quarantine
from nutmegscale import store_era

DRAIN_POLL_S = 0.05
# Time for the other hosts to receive that this host is leaving.
DRAIN_ANNOUNCE_DELAY_S = 0.3


class Application:
    """The controllers of one host, built on the interfaces passed to it."""

    def __init__(
        self,
        host_settings: settings.Settings,
        clock: Any,
        *,
        transport: mesh.Transport,
        platform: platform_service.Platform,
        engines: Callable[[str], engine.Engine],
        clients: Callable[[str], http_client.HttpClient],
        host_metrics: metrics.Metrics | None = None,
        rng: random.Random | None = None,
        wall_clock: Callable[[], float] | None = None,
        boot_now: Callable[[], float] | None = None,
    ) -> None:
        """Create the controllers; none is started.

        Args:
          host_settings: Settings of the host.
          clock: Source of monotonic time and timers.
          transport: Transport for messages between hosts.
          platform: The platform's table, object store and host list.
          engines: Returns the client of the engine at an address.
          clients: Returns the HTTP client of a server at an address.
          host_metrics: Metrics; disabled by default.
          rng: Source of random numbers.
          wall_clock: Time of the events' timestamps, seconds.
          boot_now: Clock for leases, in seconds, that keeps running while the
            host is suspended; `clock` by default.
        """
        rng = rng or random.Random()
        host_settings = settings.with_defaults(host_settings)
        host = host_settings["host"]
        view = membership.Membership(
            host,
            host_settings["failure_domain"],
            host_settings["mesh_address"],
            period_s=host_settings["probe_period_s"],
            rng=rng,
        )
        era = store_era.StoreEra()
        platform = store_era.EraPlatform(
            platform_circuit_breaker.PlatformCircuitBreaker(
                platform, clock.seconds
            ),
            store_era.EraWatch(
                era, now=clock.seconds, on_restored=self._on_table_restored
            ),
        )
        self.board = blackboard.Blackboard(
            host_settings,
            clock,
            host_metrics=host_metrics or metrics.make_disabled(),
            view=view,
            wall_clock=wall_clock,
        )
        key = bytes.fromhex(host_settings["mesh_key"])
        sealer = envelope.Sealer(host, key, rng.getrandbits(63))
        self.mesh = mesh.Mesh(
            clock,
            transport,
            sealer,
            self.board.timeline,
            self._address_of,
            host=host,
        )
        self.members = membership_controller.MembershipController(
            self.board,
            self.mesh,
            period_s=host_settings["probe_period_s"],
        )
        self.configs = config_controller.ConfigController(
            self.board, self.mesh, platform, era=era, rng=rng
        )
        self.members.watch_revisions(self.configs.fetch_from)
        self.directory = directory_controller.DirectoryController(
            self.board, platform
        )
        self.configs.watch_adopted(self.directory.update_workers)
        self.homes = home_controller.HomeController(self.board, self.mesh)
        self.cancels = cancel_controller.CancelController(self.board, engines)
        suspects = shared_quarantine.SharedQuarantine(
            self.mesh,
            self.board.membership,
            host=host,
            now=self.board.now,
            on_event=lambda event, worker: self.board.record_event(
                event.replace("_", "."), worker=worker
            ),
            known=self.board.quarantine,
        )
        self.exchanges = exchange_controller.ExchangeController(
            self.board, self.mesh, engines, self.homes, self.cancels, suspects
        )
        self.orders = order_controller.OrderController(
            self.board,
            platform,
            engines,
            boot_now=boot_now or clock.seconds,
            era_known_s=lambda seen: era.known_s(self.board.now(), seen),
        )
        self.calls = call_controller.CallController(
            self.board,
            self.mesh,
            platform,
            clients,
            era=era,
            crashes=crash_watch.CrashWatch(
                clock,
                suspects,
                lambda address: clients(address).check_connection(),
            ),
        )

    def _on_table_restored(self) -> None:
        self.calls.write_claims_again()

    def _address_of(self, host: str) -> str | None:
        member = self.board.membership.get(host)
        return member.address if member else None

    def start(self) -> None:
        """Start the periodic work of the controllers."""
        self.members.start()
        self.configs.start()
        self.directory.start()
        self.homes.start()
        self.exchanges.planning.start()
        self.orders.start()
        self.board.record_event("host.started")

    async def drain(self) -> None:
        """Shut down gracefully: take no new requests, finish running ones.

        Returns when all exchanges, calls and cancels have ended, or when
        `drain_limit_s` has passed and the remaining ones were ended.
        Model requests that are still being claimed aren't awaited.
        """
        if self.board.is_draining:
            return
        self.board.is_draining = True
        self.board.record_event(
            "host.draining", exchanges=self.exchanges.live_count
        )
        self.members.leave()
        limit_s = self.board.settings["drain_limit_s"]
        deadline = self.board.now() + limit_s
        await self.orders.leave()
        await periodic.sleep(self.board.clock, DRAIN_ANNOUNCE_DELAY_S)
        while self._is_busy and self.board.now() < deadline:
            await periodic.sleep(self.board.clock, DRAIN_POLL_S)
        if self._is_busy:
            self.cancel_all()
        self.board.record_event("host.drained", left=self.exchanges.live_count)

    def cancel_all(self) -> None:
        """End the exchanges and calls in progress; they may have run."""
        self.exchanges.cancel_all()
        self.calls.cancel_all()

    @property
    def _is_busy(self) -> bool:
        return bool(
            self.exchanges.live_count
            or self.calls.live_count
            or self.cancels.pending
        )

    def stop(self) -> None:
        """Stop the periodic work without waiting for running requests."""
        self.calls.stop()
        self.orders.stop()
        self.exchanges.planning.stop()
        self.homes.stop()
        self.directory.stop()
        self.configs.stop()
        self.members.stop()
