"""Controller of the home hosts of exchanges."""

from nutmegscale import blackboard
from nutmegscale import errors
from nutmegscale import home
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import rendezvous

HOMES_PER_EXCHANGE = 2
EXPIRE_PERIOD_S = 5.0
COPY_TIMEOUT_S = 0.1


class HomeController:
    """Writes `Blackboard.home` and makes claims at the home hosts."""

    def __init__(self, board: blackboard.Blackboard, link: mesh.Mesh) -> None:
        self._board = board
        self._mesh = link
        self._copying: set[str] = set()
        self._expiry = periodic.Periodic(
            board.clock, EXPIRE_PERIOD_S, self._expire
        )
        link.on(messages.ClaimRequest, self._receive_claim)
        link.on(messages.ClaimEnd, self._receive_end)
        link.on(messages.ClaimLookup, self._receive_lookup)

    def start(self) -> None:
        """Start expiring old claims."""
        self._expiry.start()

    def stop(self) -> None:
        """Stop expiring old claims."""
        self._expiry.stop()

    async def _expire(self) -> None:
        self._board.home.expire(self._board.now())

    def homes(self, exchange: str) -> list[str]:
        """Return the home hosts of an exchange; the first decides claims."""
        alive = self._board.membership.alive(with_suspects=False)
        return rendezvous.rank(exchange.encode(), alive)[:HOMES_PER_EXCHANGE]

    async def claim(
        self,
        exchange: str,
        attempt: int,
        *,
        replaces: tuple[str, int] = ("", 0),
    ) -> messages.ClaimReply:
        """Claim an exchange for this host.

        While no home host can be reached the claim is granted: a second run
        of idempotent work costs only goodput.

        Args:
          exchange: Id of the exchange.
          attempt: Number of this host's attempt to serve it.
          replaces: Host and attempt of the claim to replace, or "" and 0.

        Returns:
          The claim that stands: this one if it was granted, else the one that
          another attempt holds.
        """
        request = messages.ClaimRequest(
            exchange, self._board.host, attempt, replaces[0], replaces[1], True
        )
        for home_host in self.homes(exchange):
            try:
                return await self._request_claim(home_host, request)
            except errors.PeerError:
                self._board.record_event(
                    "home.unreachable", exchange, home=home_host
                )
        return messages.ClaimReply(self._board.host, attempt, False)

    async def look_up(self, exchange: str) -> str | None:
        """Return the host that holds the claim of an exchange, or None."""
        for home_host in self.homes(exchange):
            if home_host == self._board.host:
                claim = self._board.home.get(self._board.now(), exchange)
                if claim is not None:
                    return claim.host
                continue
            try:
                reply = await self._mesh.call(
                    home_host,
                    messages.ClaimLookup(exchange),
                    messages.ClaimReply,
                )
            except errors.PeerError:
                continue
            if reply.host:
                return reply.host
        return None

    def end(self, exchange: str, attempt: int, *, answered: bool) -> None:
        """Report the end of an attempt of this host to the home hosts."""
        message = messages.ClaimEnd(
            exchange, self._board.host, attempt, answered
        )
        for home_host in self.homes(exchange):
            if home_host == self._board.host:
                self._receive_end(home_host, message)
            else:
                self._mesh.send(home_host, message)

    async def _request_claim(
        self, home_host: str, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        if home_host == self._board.host:
            return await self._receive_claim(home_host, request)
        return await self._mesh.call(home_host, request, messages.ClaimReply)

    async def _receive_claim(
        self, sender: str, request: messages.ClaimRequest
    ) -> messages.ClaimReply:
        exchange = request.exchange
        replaces = (request.replaces, request.replaces_attempt)
        known = self._board.home.get(self._board.now(), exchange)
        if known is not None and self._yields_to(sender, request):
            replaces = (known.host, known.attempt)
        claim = self._board.home.claim(
            self._board.now(),
            exchange,
            request.host,
            request.attempt,
            replaces=replaces,
        )
        is_granted = (claim.host, claim.attempt) == (
            request.host,
            request.attempt,
        )
        if request.forward and is_granted:
            self._copying.add(exchange)
            try:
                claim = await self._copy_to_second(request, claim)
            finally:
                self._copying.discard(exchange)
        return messages.ClaimReply(claim.host, claim.attempt, claim.finished)

    def _yields_to(self, sender: str, request: messages.ClaimRequest) -> bool:
        """Return whether a claim that is being copied yields to the sender's.

        Two home hosts may decide at once while their views of the membership
        differ. Then the decision of the first in the rendezvous order wins at
        both.
        """
        if request.forward or request.exchange not in self._copying:
            return False
        pair = (sender, self._board.host)
        return rendezvous.best(request.exchange.encode(), pair) == sender

    async def _copy_to_second(
        self, request: messages.ClaimRequest, claim: home.Claim
    ) -> home.Claim:
        """Copy a granted claim to the other home hosts.

        If one of them already has another claim, that claim wins.

        Returns:
          The claim that stands.
        """
        for home_host in self.homes(request.exchange):
            if home_host == self._board.host:
                continue
            try:
                reply = await self._mesh.call(
                    home_host,
                    request._replace(forward=False),
                    messages.ClaimReply,
                    timeout_s=COPY_TIMEOUT_S,
                )
            except errors.PeerError:
                continue
            if (reply.host, reply.attempt) != (request.host, request.attempt):
                known = claim._replace(
                    host=reply.host,
                    attempt=reply.attempt,
                    finished=reply.finished,
                )
                return self._board.home.put(request.exchange, known)
        return claim

    def _receive_end(self, sender: str, message: messages.ClaimEnd) -> None:
        self._board.home.end(
            self._board.now(),
            message.exchange,
            message.host,
            message.attempt,
            message.answered,
        )

    def _receive_lookup(
        self, sender: str, request: messages.ClaimLookup
    ) -> messages.ClaimReply:
        claim = self._board.home.get(self._board.now(), request.exchange)
        if claim is None:
            return messages.ClaimReply("", 0, False)
        return messages.ClaimReply(claim.host, claim.attempt, claim.finished)
