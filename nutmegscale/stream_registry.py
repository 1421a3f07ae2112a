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
    may take it up again at any host and knows only the name of its attempt, or
    not even that. So the hosts that are told follow from that name, and others
    from the digest of the request.

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
        for key in (name, origin.content.hex()):
            self._origins.record(self._board.now(), key, origin)
            for host in self._keepers(key):
                self._mesh.send(host, messages.StreamBegan(key, *origin))

    async def find(
        self, name: str, content: bytes
    ) -> stream_origins.Origin | None:
        """Find out where a stream began.

        Args:
          name: Name of the attempt that began it; "" if the caller didn't
            state it.
          content: Digest of the request that takes it up again.

        Returns:
          Its origin; None if no host that was asked knows it, if the request
          has another content, or if unnamed streams of this content began at
          different versions.
        """
        key = name or content.hex()
        origin = self._origins.find(self._board.now(), key)
        if origin is None or not name:
            origin = await self._ask(key, origin)
        if origin is None or not origin.version or origin.content != content:
            return None
        return origin

    async def _ask(
        self, key: str, known: stream_origins.Origin | None
    ) -> stream_origins.Origin | None:
        """Ask the hosts that may know a stream; all of them must agree.

        Args:
          key: Name of the stream.
          known: Its origin as this host knows it, if it does.
        """
        hosts = self._candidates(key)
        if not hosts:
            return known
        found: defer.Deferred[stream_origins.Origin | None] = defer.Deferred()
        pending = set(hosts)
        origins = {known} if known is not None else set()

        async def _query(host: str) -> None:
            try:
                reply = await self._mesh.call(
                    host,
                    messages.StreamQuery(key),
                    messages.StreamReply,
                    timeout_s=QUERY_TIMEOUT_S,
                )
            except errors.PeerError:
                reply = messages.StreamReply()
            pending.discard(host)
            if reply.content:
                origins.add(stream_origins.Origin(*reply))
            if not pending:
                found.callback(origins.pop() if len(origins) == 1 else None)

        for host in hosts:
            periodic.spawn(_query(host))
        origin = await found
        if origin is not None:
            self._origins.record(self._board.now(), key, origin)
        return origin

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
