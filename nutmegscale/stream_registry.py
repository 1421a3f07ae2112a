"""Shares among the hosts where resumable streams began."""

from collections.abc import Sequence

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import rendezvous
from nutmegscale import routing_board
from nutmegscale import stream_origins

# Hosts that are told where a stream began, besides the one that serves it.
REPLICAS = 7
# Further hosts that are asked, since others may have joined meanwhile.
FURTHER_HOSTS = 2
# Longest wait for a host that was asked, seconds: a round trip between failure
# domains plus the processing time of a slow host.
QUERY_TIMEOUT_S = 0.12
# Origins in one reply: streams of one digest, whose caller names none.
MAX_REPLIED = 8


class StreamRegistry:
    """Tells some hosts where a stream began, and asks them for others.

    A stream may go on only at the software version that began it. Its caller
    may take it up again at any host, with the same request. So the hosts that
    are told follow from the digest of that request.

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

    def record(self, content: bytes, origin: stream_origins.Origin) -> None:
        """Record the origin of a stream, here and at its replicas.

        It must be called before the first event is forwarded.

        Args:
          content: Digest of its request.
          origin: Where it began.
        """
        self._origins.record(self._board.now(), content, origin)
        for host in self._replicas(content):
            self._mesh.send(host, messages.StreamBegan(content, *origin))

    async def find(
        self, content: bytes, stream: str
    ) -> stream_origins.Origin | None:
        """Find out where a stream began.

        Args:
          content: Digest of the request that takes it up again.
          stream: Name of the attempt that began it; "" if the caller didn't
            state it.

        Returns:
          Its origin; None if no host that was asked knows it, or if unnamed
          streams of this digest began at different versions.
        """
        known = self._origins.find(self._board.now(), content, stream)
        if not known or not stream:
            known += await self._ask(content, stream)
        return stream_origins.agreed(known)

    async def _ask(
        self, content: bytes, stream: str
    ) -> list[stream_origins.Origin]:
        """Return what the hosts that may know a stream know of it."""
        query = messages.StreamQuery(content, stream)
        replies = await defer.gatherResults(
            [
                defer.ensureDeferred(self._query(host, query))
                for host in self._candidates(content)
            ]
        )
        return [origin for reply in replies for origin in reply]

    async def _query(
        self, host: str, query: messages.StreamQuery
    ) -> list[stream_origins.Origin]:
        try:
            reply = await self._mesh.call(
                host, query, messages.StreamReply, timeout_s=QUERY_TIMEOUT_S
            )
        except errors.PeerError:
            return []
        return [stream_origins.Origin(*origin) for origin in reply.origins]

    def _receive(self, sender: str, message: messages.StreamBegan) -> None:
        content, *origin = message
        self._origins.record(
            self._board.now(), content, stream_origins.Origin(*origin)
        )

    def _receive_query(
        self, sender: str, query: messages.StreamQuery
    ) -> messages.StreamReply:
        found = self._origins.find(
            self._board.now(), query.content, query.stream
        )
        return messages.StreamReply(tuple(found[:MAX_REPLIED]))

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
