"""Shares among the hosts where resumable streams began."""

from collections.abc import Sequence

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import rendezvous
from nutmegscale import routing_board
from nutmegscale import stream_origins

# Hosts that are told where a stream began, besides the one that serves it.
KEEPERS = 7
# Further hosts that are asked, since others may have joined meanwhile.
FURTHER_HOSTS = 2
# Longest wait for a host that was asked, seconds: a round trip between failure
# domains plus the processing time of a slow host.
QUERY_TIMEOUT_S = 0.12


class StreamRegistry:
    """Tells some hosts where a stream began, and asks them for others.

    A stream may go on only at the software version that began it. Its caller
    may take it up again at any host and knows only the name of its attempt. So
    the hosts that are told follow from that name.

    Args:
      board: State of this host.
      link: Messages between hosts.
    """

    def __init__(
        self, board: routing_board.RoutingBoard, link: mesh.Mesh
    ) -> None:
        self._board = board
        self._mesh = link
        self._origins = stream_origins.StreamOrigins()
        link.on(messages.StreamBegan, self._receive)
        link.on(messages.StreamQuery, self._receive_query)

    def record(self, name: str, origin: stream_origins.Origin) -> None:
        """Record the origin of a stream, here and at its keepers.

        It must be called before the first event is forwarded.

        Args:
          name: Name of the attempt that began it; nothing is recorded for "".
          origin: Where it began.
        """
        if not name:
            return
        self._origins.record(self._board.now(), name, origin)
        for host in self._keepers(name):
            self._mesh.send(host, messages.StreamBegan(name, *origin))

    async def find(
        self, name: str, content: bytes
    ) -> stream_origins.Origin | None:
        """Find out where a stream began.

        Args:
          name: Name of the attempt that began it.
          content: Digest of the request that takes it up again.

        Returns:
          Its origin; None if no host that was asked knows it, or if the request
          has another content.
        """
        origin = self._origins.find(self._board.now(), name)
        if origin is None and name:
            origin = await self._ask(name)
        if origin is None or origin.content != content:
            return None
        return origin

    async def _ask(self, name: str) -> stream_origins.Origin | None:
        """Ask the hosts that may know a stream; the first answer counts."""
        hosts = self._candidates(name)
        if not hosts:
            return None
        found: defer.Deferred[stream_origins.Origin | None] = defer.Deferred()
        pending = set(hosts)

        async def _query(host: str) -> None:
            try:
                reply = await self._mesh.call(
                    host,
                    messages.StreamQuery(name),
                    messages.StreamReply,
                    timeout_s=QUERY_TIMEOUT_S,
                )
            except errors.PeerError:
                reply = messages.StreamReply()
            pending.discard(host)
            if reply.version and not found.called:
                origin = stream_origins.Origin(
                    reply.service, reply.version, reply.content
                )
                self._origins.record(self._board.now(), name, origin)
                found.callback(origin)
            elif not pending and not found.called:
                found.callback(None)

        for host in hosts:
            periodic.spawn(_query(host))
        return await found

    def _receive(self, sender: str, message: messages.StreamBegan) -> None:
        origin = stream_origins.Origin(
            message.service, message.version, message.content
        )
        self._origins.record(self._board.now(), message.stream, origin)

    def _receive_query(
        self, sender: str, query: messages.StreamQuery
    ) -> messages.StreamReply:
        origin = self._origins.find(self._board.now(), query.stream)
        return (
            messages.StreamReply(*origin) if origin else messages.StreamReply()
        )

    def _keepers(self, name: str) -> list[str]:
        """Return the hosts to tell of a stream that begins here.

        They are the first ones in rendezvous order, and the first one in the
        failure domain of this host, which may be cut off.
        """
        nearby = self._ranked(name, [self._board.failure_domain])[:1]
        others = [h for h in self._ranked(name) if h not in nearby]
        return (nearby + others)[:KEEPERS]

    def _candidates(self, name: str) -> list[str]:
        """Return the hosts that may have been told of a stream.

        Hosts that died meanwhile were alive when it began.
        """
        board = self._board
        known = [m.host for m in board.membership.members()]
        ranked = rendezvous.rank(
            name.encode(), [host for host in known if host != board.host]
        )
        count = KEEPERS + FURTHER_HOSTS
        alive = self._ranked(name)[:count]
        return list(dict.fromkeys(alive + ranked[:count]))

    def _ranked(
        self, name: str, failure_domains: Sequence[str] | None = None
    ) -> list[str]:
        """Return the other hosts that answer, in the order of a stream."""
        alive = self._board.membership.alive(failure_domains)
        hosts = [
            host
            for host in alive
            if host != self._board.host and host not in self._mesh.silent
        ]
        return rendezvous.rank(name.encode(), hosts)
