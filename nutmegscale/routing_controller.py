"""Keeps this host's routing configuration, from the store or from a peer.

A version is never replaced by an older one, whatever version the store gives
the row. A host that the store refuses finds out about a newer version from its
peers' membership messages. A host that has just started asks some peers at
once: a store that was restored from a copy may show an older version.
"""

from collections.abc import Callable
import random

from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import routes
from nutmegscale import routing_board
from nutmegscale import row_store

# Number of peers that a host asks after it joined.
ASKED_PEERS = 2


class RoutingController:
    """Writes `RoutingBoard.config`, `content` and `table`.

    It also sets the version that the membership messages announce.
    """

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        decode: Callable[[bytes], routes.RoutingConfig],
        *,
        remove_keys: Callable[[bytes], bytes],
        key: str,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._mesh = link
        self._decode = decode
        self._remove_keys = remove_keys
        self._key = key
        self._rng = rng
        self._is_fetching = False
        link.on(messages.RoutingRequest, self._receive_request)

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Apply a snapshot of the operator's table."""
        for row in rows:
            self.apply_row(row)

    def apply_row(self, row: row_store.Row) -> None:
        """Apply a changed row of the operator's table."""
        if row.key == self._key and not row.is_removed:
            self._adopt(row.value, "store")

    def ask_peers(self) -> None:
        """Ask some peers whether they have a later version."""
        peers = self._board.membership.alive()
        peers = [host for host in peers if host != self._board.host]
        for host in self._rng.sample(peers, min(ASKED_PEERS, len(peers))):
            periodic.spawn(self._fetch(host))

    def fetch_from(self, host: str) -> None:
        """Fetch the configuration of a peer that has a later version.

        Nothing is done while another fetch is in progress.
        """
        if not self._is_fetching:
            self._is_fetching = True
            periodic.spawn(self._fetch(host))

    async def _fetch(self, host: str) -> None:
        began_at = self._board.now()
        before = self._mesh.counts
        try:
            reply = await self._mesh.call(
                host,
                messages.RoutingRequest(self._version),
                messages.RoutingReply,
            )
        except errors.PeerError as exc:
            self._log_failed_fetch(host, str(exc), began_at, before)
            return
        finally:
            self._is_fetching = False
        if reply.content:
            self._adopt(reply.content, host)

    def _log_failed_fetch(
        self, host: str, why: str, began_at: float, before: mesh.Counts
    ) -> None:
        """Log what a fetch was waiting for, and what arrived meanwhile."""
        counts = self._mesh.counts
        logs.get().info(
            "config_not_learnt",
            peer=host,
            why=why,
            took_s=round(self._board.now() - began_at, 3),
            received_bytes=counts.received_bytes - before.received_bytes,
            sent_bytes=counts.sent_bytes - before.sent_bytes,
            silent_s=round(self._board.now() - self._mesh.last_heard(host), 3),
            lag_s=round(self._board.loop_lag_s, 3),
        )

    @property
    def _version(self) -> int:
        return self._board.config.version if self._board.config else 0

    def _adopt(self, content: bytes, source: str) -> None:
        try:
            config = self._decode(content)
        except errors.ConfigError as exc:
            logs.get().error("config_rejected", source=source, message=str(exc))
            return
        known = self._version
        if self._board.config is not None and config.version <= known:
            if config.version < known:
                logs.get().info(
                    "config_older_ignored",
                    version=config.version,
                    in_force=known,
                    source=source,
                )
            return
        self._board.config = config
        self._board.content = self._remove_keys(content)
        self._board.table = routes.RouteTable(config)
        self._board.membership.revision = config.version
        logs.get().info(
            "config_in_force",
            version=config.version,
            before=known,
            source=source,
            routes=len(config.routes),
            bytes=len(content),
        )

    def _receive_request(
        self, sender: str, request: messages.RoutingRequest
    ) -> messages.RoutingReply:
        content = b""
        if self._version > request.known_version:
            content = self._board.content
        return messages.RoutingReply(self._version, content)
