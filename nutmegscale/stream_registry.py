"""Shares among the hosts where resumable streams began."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from typing import NamedTuple

from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import origin_rows
from nutmegscale import periodic
from nutmegscale import rendezvous
from nutmegscale import routing_board
from nutmegscale import shared_read
from nutmegscale import stream_origins
from nutmegscale import version_controller

# Hosts that are told where a stream began, besides the one that serves it.
REPLICAS = 7
# Further hosts that are asked, since others may have joined meanwhile.
FURTHER_HOSTS = 2
# Longest wait for a host that was asked, seconds: a round trip between failure
# domains plus the processing time of a slow host.
QUERY_TIMEOUT_S = 0.12
# Period in which the keeper of a service writes origins to the store, while
# several versions serve it, seconds.
WRITE_PERIOD_S = 0.3
# Origins of this time before now are written when a second version begins to
# serve, seconds: streams last some seconds.
EARLIER_S = 20.0
# Shortest time between two reads of the origins in the store, seconds.
READ_PAUSE_S = 0.3
# Origins in one reply, each of another service or version.
MAX_REPLIED = 8


class _Asked(NamedTuple):
    """What other hosts know of a stream.

    Attributes:
      origins: Its origins.
      is_complete: Whether all hosts that were asked have replied or ended.
    """

    origins: list[stream_origins.Origin]
    is_complete: bool


class StreamRegistry:
    """Tells some hosts where a stream began, and asks them for others.

    A stream may go on only at the software version that began it. Its caller
    may take it up again at any host, with the same request. So the hosts that
    are told follow from the digest of that request.

    All hosts may restart at once. So the keeper of a service (see
    `version_controller`) writes the origins to the store, several at once and
    only while several versions serve; otherwise the version follows from that.

    Args:
      board: State of this host.
      link: Messages between hosts.
      versions: Versions that served lately.
      rows: Origins in the store.
      has_ended: Whether the process of a host is known to have ended.
      is_first_start: Whether the whole system starts for the first time, so
        that there are no earlier streams.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        versions: version_controller.VersionController,
        rows: origin_rows.OriginRows,
        *,
        has_ended: Callable[[str], Awaitable[bool]],
        is_first_start: bool,
    ) -> None:
        self._board = board
        self._mesh = link
        self._versions = versions
        self._rows = rows
        self._has_ended = has_ended
        self._is_first_start = is_first_start
        self._started_at = board.now()
        self._origins = stream_origins.StreamOrigins()
        self._unwritten: dict[str, list[tuple[bytes, str, str]]] = {}
        self._mixed: set[str] = set()
        self._reads = shared_read.SharedRead(
            board.clock,
            self._read_rows,
            pause_s=READ_PAUSE_S,
            failure_event="origins_unread",
        )
        self._written_at = -WRITE_PERIOD_S
        self._is_writing = False
        self._writes = periodic.Periodic(
            board.clock, WRITE_PERIOD_S, self._write
        )
        link.on(messages.StreamBegan, self._receive)
        link.on(messages.StreamQuery, self._receive_query)

    def record(self, content: bytes, origin: stream_origins.Origin) -> None:
        """Record the origin of a stream, here and at its replicas.

        It must be called before the first event is forwarded.

        Args:
          content: Digest of its request.
          origin: Where it began.
        """
        origin = stream_origins.shortened(origin)
        self._keep(content, origin)
        keeper = self._versions.keeper(origin.service)
        hosts = dict.fromkeys([*self._replicas(content), keeper])
        hosts.pop(self._board.host, None)
        for host in hosts:
            self._mesh.send(host, messages.StreamBegan(content, *origin))

    def start(self) -> None:
        """Start writing origins."""
        self._writes.start()

    def stop(self) -> None:
        """Stop writing origins."""
        self._writes.stop()

    async def find(
        self, content: bytes, stream: str, services: Collection[str]
    ) -> stream_origins.Origin | None:
        """Find out where a stream began.

        Args:
          content: Digest of the request that takes it up again.
          stream: Name of the attempt that began it; "" if the caller didn't
            state it.
          services: Services that may have begun it.

        Returns:
          Its origin; None if that isn't known, or if unnamed streams of this
          digest began at different versions.
        """
        if not stream:
            return await self._find_unnamed(content, services)
        stream = stream_origins.short_name(stream)
        known = self._origins.find(self._board.now(), content, stream)
        if not known:
            known = (await self._ask(content, stream)).origins
        if not known:
            await self._reads.wait()
            known = self._origins.find(self._board.now(), content, stream)
        if known:
            return stream_origins.agreed(known)
        return await self._only_origin(stream, services)

    async def _find_unnamed(
        self, content: bytes, services: Collection[str]
    ) -> stream_origins.Origin | None:
        """Find out where a stream began whose caller names no attempt.

        Streams of the same request may have begun that this host wasn't told
        of, so that those it knows count only if all that may know others have
        replied or ended, or if the store shows one version alone.
        """
        known = self._origins.find(self._board.now(), content, "")
        asked = await self._ask(content, "")
        known += asked.origins
        if not known:
            await self._reads.wait()
            known = self._origins.find(self._board.now(), content, "")
        if known and asked.is_complete and self._remembers_all:
            return stream_origins.agreed(known)
        only = await self._only_origin("", services)
        return only and stream_origins.agreed([only, *known])

    @property
    def _remembers_all(self) -> bool:
        """Whether this host can have forgotten no stream that may go on."""
        age_s = self._board.now() - self._started_at
        return self._is_first_start or age_s > stream_origins.RETENTION_S

    async def _only_origin(
        self, stream: str, services: Collection[str]
    ) -> stream_origins.Origin | None:
        """Return the only origin that a stream can have, if there is one."""
        if len(services) != 1:
            return None
        service = next(iter(services))
        version = await self._versions.only_version(service)
        if version is None:
            return None
        return stream_origins.Origin(stream, service, version)

    async def _read_rows(self) -> None:
        """Remember the origins in the store.

        Raises:
          errors.StoreError: The store gave no usable answer.
        """
        for content, origin in await self._rows.read():
            self._origins.record(self._board.now(), content, origin)

    def _keep(self, content: bytes, origin: stream_origins.Origin) -> None:
        """Remember an origin, and write it soon if this host is to do so."""
        self._origins.record(self._board.now(), content, origin)
        service = origin.service
        if service in self._mixed and self._is_keeper(service):
            self._add_unwritten(content, origin)

    def _add_unwritten(
        self, content: bytes, origin: stream_origins.Origin
    ) -> None:
        unwritten = self._unwritten.setdefault(origin.service, [])
        unwritten.append((content, origin.stream, origin.version))
        if self._board.now() - self._written_at >= WRITE_PERIOD_S:
            periodic.spawn(self._write())

    def _is_keeper(self, service: str) -> bool:
        return self._versions.keeper(service) == self._board.host

    def _update_mixed(self) -> None:
        """Find out which services several versions have begun to serve."""
        config = self._board.config
        services = config.services if config else ()
        mixed = {s for s in services if self._versions.is_mixed(s)}
        for service in mixed - self._mixed:
            if self._is_keeper(service):
                now = self._board.now()
                for entry in self._origins.recent(now, service, EARLIER_S):
                    self._add_unwritten(*entry)
        self._mixed = mixed

    async def _write(self) -> None:
        if self._is_writing:
            return
        self._is_writing = True
        try:
            self._update_mixed()
            if self._unwritten:
                self._written_at = self._board.now()
                await self._write_origins()
        finally:
            self._is_writing = False

    async def _write_origins(self) -> None:
        for service, origins in list(self._unwritten.items()):
            batch = origins[: origin_rows.MAX_ORIGINS_PER_ROW]
            try:
                is_written = await self._rows.append(service, batch)
            except errors.StoreError as exc:
                # They are written with the next batch.
                logs.get().warning("origins_unwritten", why=str(exc))
                continue
            if is_written:
                del origins[: len(batch)]
            if not origins:
                del self._unwritten[service]

    async def _ask(self, content: bytes, stream: str) -> _Asked:
        """Ask the hosts that may know a stream for what they know of it.

        A host whose process has ended counts like one that has started again:
        others were notified of the streams that began there.
        """
        query = messages.StreamQuery(content, stream)
        replies = await periodic.gather(
            self._query(host, query) for host in self._candidates(content)
        )
        origins = [o for reply in replies if reply for o in reply]
        # A reply of this length may have been cut by its sender.
        is_complete = all(
            r is not None and len(r) < MAX_REPLIED for r in replies
        )
        return _Asked(origins, is_complete=is_complete)

    async def _query(
        self, host: str, query: messages.StreamQuery
    ) -> list[stream_origins.Origin] | None:
        """Return what a host knows of a stream, None if it doesn't reply."""
        try:
            reply = await self._mesh.call(
                host, query, messages.StreamReply, timeout_s=QUERY_TIMEOUT_S
            )
        except errors.PeerError:
            return (
                [] if not query.stream and await self._has_ended(host) else None
            )
        return [stream_origins.Origin(*origin) for origin in reply.origins]

    def _receive(self, sender: str, message: messages.StreamBegan) -> None:
        content, *fields = message
        # Hosts of an earlier build send long names.
        origin = stream_origins.shortened(stream_origins.Origin(*fields))
        self._keep(content, origin)

    def _receive_query(
        self, sender: str, query: messages.StreamQuery
    ) -> messages.StreamReply:
        found = self._origins.find(
            self._board.now(), query.content, query.stream
        )
        distinct = stream_origins.distinct(found)
        return messages.StreamReply(tuple(distinct[:MAX_REPLIED]))

    def _replicas(self, content: bytes) -> list[str]:
        """Return the hosts to tell of a stream that begins here.

        They are the first ones in rendezvous order, and the first one in the
        failure domain of this host, which may be cut off.
        """
        nearby = self._ranked(content, [self._board.failure_domain])[:1]
        others = [h for h in self._ranked(content) if h not in nearby]
        return (nearby + others)[:REPLICAS]

    def _candidates(self, content: bytes) -> list[str]:
        """Return the hosts that may have been told of a stream.

        Hosts that died meanwhile were alive when it began.
        """
        board = self._board
        known = [m.host for m in board.membership.members()]
        ranked = rendezvous.rank(
            content, [host for host in known if host != board.host]
        )
        count = REPLICAS + FURTHER_HOSTS
        alive = self._ranked(content)[:count]
        return list(dict.fromkeys(alive + ranked[:count]))

    def _ranked(
        self, content: bytes, failure_domains: Sequence[str] | None = None
    ) -> list[str]:
        """Return the other hosts that answer, in the order of a stream."""
        alive = self._board.membership.alive(failure_domains)
        hosts = [
            host
            for host in alive
            if host != self._board.host and host not in self._mesh.silent
        ]
        return rendezvous.rank(content, hosts)
