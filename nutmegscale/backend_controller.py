"""Registered backend servers on this host, from the store's feed."""

from collections.abc import Callable

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import rendezvous
from nutmegscale import routing_board
from nutmegscale import row_store

EXPIRY_PERIOD_S = 0.2
# An entry that vanishes within this time after the store was away may have
# lapsed only, seconds.
POST_OUTAGE_S = 1.0
# Shortest outage in which an entry can lapse: three heartbeats of 1.2 s are
# missed (users' pages), and the first may have been due at its begin.
MIN_LAPSE_OUTAGE_S = 2.4
# Hosts that tell the others of a server that leaves.
ANNOUNCING_HOSTS = 2


class BackendController:
    """Writes `RoutingBoard.backends`."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        link: mesh.Mesh,
        decode: Callable[[row_store.Row], backend.Backend],
    ) -> None:
        self._board = board
        self._mesh = link
        self._decode = decode
        link.on(messages.BackendLeft, self._receive_left)
        self._outage_ended = -POST_OUTAGE_S
        self._outage_since: float | None = None
        self._expiry = periodic.Periodic(
            board.clock, EXPIRY_PERIOD_S, self._expire
        )

    def start(self) -> None:
        """Start to drop the entries that aren't back in time."""
        self._expiry.start()

    def stop(self) -> None:
        """Stop."""
        self._expiry.stop()

    def record_contact(self, ok: bool) -> None:
        """Note whether the store answered."""
        now = self._board.now()
        if not ok:
            self._outage_since = (
                now if self._outage_since is None else self._outage_since
            )
            return
        since, self._outage_since = self._outage_since, None
        if since is not None and now - since >= MIN_LAPSE_OUTAGE_S:
            self._outage_ended = now

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Take in all entries; those that are missing may be gone."""
        for row in rows:
            self.apply_row(row)
        present = {row.key for row in rows}
        for entry in self._board.backends.all():
            if entry.id not in present:
                self._remove(entry.id)

    def apply_row(self, row: row_store.Row) -> None:
        """Take in an entry that changed."""
        if row.is_removed:
            self._remove(row.key)
            return
        try:
            entry = self._decode(row)
        except errors.MalformedEntryError as exc:
            logs.get().warning("entry_skipped", key=row.key, message=str(exc))
            self._remove(row.key)
            return
        if self._board.backends.put(entry):
            logs.get().info(
                "backend_entry",
                backend=entry.id,
                incarnation=entry.incarnation,
                service=entry.service,
                address=entry.address,
                draining=entry.is_draining,
                stage=entry.stage,
                version=row.version,
            )
            if entry.is_draining:
                self._announce_leaving(entry)
            self._prune_loads()

    def _remove(self, backend_id: str) -> None:
        now = self._board.now()
        lapse_until = 0.0
        if now - self._outage_ended < POST_OUTAGE_S:
            lapse_until = now + backend.LAPSE_GRACE_S
        known = self._board.backends.get(backend_id)
        if self._board.backends.remove(
            backend_id, now=now, lapse_until=lapse_until
        ):
            logs.get().info("backend_gone", backend=backend_id)
            if known is not None and not known.is_draining:
                self._announce_leaving(known)
            self._prune_loads()

    def _announce_leaving(self, entry: backend.Backend) -> None:
        """Tell the other hosts, whose way to the store may have gone silent.

        Two hosts do it for each server, so that the messages grow with the
        number of hosts and not with its square.
        """
        alive = self._board.membership.alive()
        announcers = rendezvous.rank(entry.id.encode(), alive)[
            :ANNOUNCING_HOSTS
        ]
        if self._board.host not in announcers:
            return
        message = messages.BackendLeft(entry.id, entry.incarnation)
        for host in alive:
            if host != self._board.host:
                self._mesh.send(host, message)

    def _receive_left(self, sender: str, message: messages.BackendLeft) -> None:
        backends = self._board.backends
        if backends.mark_leaving(message.backend, message.incarnation):
            logs.get().info(
                "backend_left", backend=message.backend, told_by=sender
            )

    def _prune_loads(self) -> None:
        self._board.loads.keep_only(self._board.backends.all())

    async def _expire(self) -> None:
        for backend_id in self._board.backends.expire(self._board.now()):
            logs.get().info("backend_gone", backend=backend_id, lapsed=True)
            self._prune_loads()
