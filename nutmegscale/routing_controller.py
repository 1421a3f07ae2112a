"""Keeps this host's routing configuration, from the store or from a peer.

A version is never replaced by an older one, whatever version the store gives
the row. A host that the store refuses finds out about a newer version from its
peers' membership messages. A host that has just started asks some peers at
once: a store that was restored from a copy may show an older version.
"""

from collections.abc import Callable
import random

from nutmegscale import config_fetcher
from nutmegscale import config_transfer
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import routes
from nutmegscale import routing_board
from nutmegscale import row_store

# Number of peers that a host asks after it joined.
ASKED_PEERS = 2
# Time after the announcement of a later version for which this host takes its
# own for outdated, seconds: several periods of the membership's probes.
OUTDATED_MEMORY_S = 3.0


class RoutingController:
    """Writes the configuration of a `RoutingBoard`, and whether it's outdated.

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
        self._decode = decode
        self._remove_keys = remove_keys
        self._key = key
        self._rng = rng
        self._fetcher = config_fetcher.ConfigFetcher(
            board.clock,
            link,
            version=lambda: self._version,
            on_content=lambda _, content, host: self._adopt(content, host),
            # Pauses only have to differ between hosts.
            rng=random.Random(board.host),
        )
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
            self._fetcher.ask(host)

    def fetch_from(self, host: str) -> None:
        """Fetch the configuration of a peer that has a later version."""
        self._board.outdated_until = self._board.now() + OUTDATED_MEMORY_S
        self._fetcher.ask(host)

    def stop(self) -> None:
        """Stop fetching from peers."""
        self._fetcher.stop()

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
        # A peer with a yet later version announces it again.
        self._board.outdated_until = 0.0
        self._board.packed_config = config_transfer.pack(
            config.version, self._remove_keys(content)
        )
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
        return config_fetcher.reply_to(
            request, self._board.packed_config, version=self._version
        )
