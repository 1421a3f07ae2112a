"""Keeps a row of the store for each service on the versions that served it.

One more row is on the stream routes: which versions of them were in force.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple

from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import origin_rows
from nutmegscale import periodic
from nutmegscale import rendezvous
from nutmegscale import routes
from nutmegscale import routing_board
from nutmegscale import served_versions
from nutmegscale import shared_read

PERIOD_S = 0.5
# Subject of the row on the stream routes; no service has this name. Its
# versions are digests of the routes.
ROUTES = "/stream-routes"
# Shortest time between two reads for callers, seconds.
READ_PAUSE_S = 0.3


class _KnownRow(NamedTuple):
    """A row as its keeper read or wrote it last.

    Attributes:
      versions: Versions that it lists.
      era: Era of the store at that time.
      row_version: Version of the row.
    """

    versions: frozenset[str]
    era: int
    row_version: int


class VersionController:
    """Knows which software versions served a service lately, over restarts.

    It knows the same of the stream routes, each with its services: a stream
    may have begun at a service that is no longer a target of its route. One
    host for each service, its keeper, writes the row, only when the
    versions change. A host that sees no other considers itself the keeper, so
    that being it proves nothing: when a caller takes up a stream that no host
    remembers, each host asks the store.

    Args:
      board: State of this host.
      link: Messages between hosts.
      rows: The rows.
      era: Returns the era of the store that this host saw last.
      refresh_servers: Brings the registered servers up to date; raises
        `errors.StoreError` if the store gives no usable answer.
      is_first_start: Whether the whole system starts for the first time, so
        that there are no earlier streams.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        rows: origin_rows.OriginRows,
        *,
        era: Callable[[], int],
        refresh_servers: Callable[[], Awaitable[None]],
        is_first_start: bool,
    ) -> None:
        self._board = board
        self._mesh = link
        self._rows = rows
        self._era = era
        self._served = served_versions.ServedVersions()
        self._refresh_servers = refresh_servers
        self._is_first_start = is_first_start
        self._known: dict[str, _KnownRow] = {}
        self._stored: dict[str, origin_rows.StoredVersions] = {}
        self._config: routes.RoutingConfig | None = None
        self._resumable: frozenset[str] = frozenset()
        self._confirmation = shared_read.SharedRead(
            board.clock,
            self._read_store,
            pause_s=READ_PAUSE_S,
            failure_event="versions_unread",
        )
        self._period = periodic.Periodic(board.clock, PERIOD_S, self._check)

    def start(self) -> None:
        """Start recording versions."""
        self._period.start()

    def stop(self) -> None:
        """Stop recording."""
        self._period.stop()

    def keeper(self, service: str) -> str:
        """Return the host that writes the rows of a service, as seen here."""
        hosts = [
            host
            for host in self._board.membership.alive()
            if host not in self._mesh.silent
        ]
        best = rendezvous.best(service.encode(), [*hosts, self._board.host])
        return best or self._board.host

    def is_mixed(self, service: str) -> bool:
        """Whether several versions serve a service, or did so lately."""
        return len(self._served.lately(self._board.now(), service)) > 1

    async def only_version(self, service: str) -> str | None:
        """Return the only version at which streams may have begun lately.

        Both the rows and the registered servers are read from the store for it:
        this host may have missed a version, whether it keeps the row or not.

        Returns:
          The version; None if there are several, if that isn't known, or if
          streams that the service gets now may have begun at another one, since
          the stream routes have changed lately.
        """
        if not await self._confirmation.wait():
            return None
        if self._only_stored(ROUTES) is None:
            return None
        return self._only_stored(service)

    def _only_stored(self, subject: str) -> str | None:
        """Return the only version lately, by the store and by this host."""
        stored = self._stored.get(subject)
        if stored is None or not stored.is_current:
            return None
        self._record_current(subject)
        # What the row lists isn't recorded as seen now: the keeper would write
        # it again, and a version without servers would never expire.
        versions = self._served.lately(self._board.now(), subject) | set(
            stored.content.versions
        )
        if not stored.content.versions or served_versions.UNKNOWN in versions:
            return None
        return next(iter(versions)) if len(versions) == 1 else None

    async def _read_store(self) -> None:
        """Read the rows, and what has changed of the registered servers.

        Raises:
          errors.StoreError: The store gave no usable answer.
        """
        await self._refresh_servers()
        self._stored = await self._rows.read_versions()

    def _record_current(self, subject: str) -> None:
        """Record the versions of the registered servers, or of the routes."""
        config = self._board.config
        if subject == ROUTES:
            versions = {routes.stream_digest(config)} if config else set()
        else:
            versions = {
                server.version
                for server in self._board.backends.all()
                if server.service == subject and server.version
            }
        self._served.record(self._board.now(), subject, versions)

    async def _adopt(self, service: str) -> None:
        """Read the row of a service, unless this host knows it.

        Raises:
          errors.StoreError: The store gave no usable answer.
        """
        known = self._known.get(service)
        now = self._board.now()
        if known is not None and known.era == self._era():
            return
        rows = await self._rows.read_versions()
        stored = rows.get(service)
        if stored is None:
            if not self._is_first_start:
                # Streams may have begun there while no host kept a row.
                self._served.record(now, service, [served_versions.UNKNOWN])
            self._known[service] = _KnownRow(frozenset(), self._era(), 0)
            return
        self._served.record(now, service, stored.content.versions)
        if not stored.is_current and known is None:
            # What was written before the restore is unknown to this host.
            self._served.record(now, service, [served_versions.UNKNOWN])
        self._known[service] = _KnownRow(
            frozenset(stored.content.versions),
            stored.content.era,
            stored.row_version,
        )

    def _resumable_services(
        self, config: routes.RoutingConfig
    ) -> frozenset[str]:
        if config is not self._config:
            self._config = config
            self._resumable = routes.resumable_services(config)
        return self._resumable

    def _keeps(self, service: str) -> bool:
        return self.keeper(service) == self._board.host

    async def _check(self) -> None:
        config = self._board.config
        if config is None:
            return
        for subject in (*self._resumable_services(config), ROUTES):
            self._record_current(subject)
            if self._keeps(subject):
                await self._keep_row(subject)

    async def _keep_row(self, service: str) -> None:
        try:
            await self._adopt(service)
            known, now, era = (
                self._known[service],
                self._board.now(),
                self._era(),
            )
            lately = self._served.lately(now, service)
            if known.versions == lately and known.era == era:
                return
            written = await self._rows.write_versions(
                service, lately, era=era, expected=known.row_version
            )
        except errors.StoreError as exc:
            self._known.pop(service, None)
            logs.get().warning("versions_unwritten", why=str(exc))
            return
        if written is None:
            self._known.pop(service, None)
            return
        self._known[service] = _KnownRow(lately, era, written)
        logs.get().info(
            "versions_recorded",
            service=service,
            versions=",".join(sorted(lately)),
        )
