"""Keeps the registered backend servers up to date from the store's feed."""

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
# An entry removed within this time after an outage of the store may have lapsed
# only because its heartbeats weren't received, seconds.
POST_OUTAGE_S = 1.0
# Shortest outage in which an entry can lapse, seconds: that takes three missed
# heartbeats, which are sent every 1.2 s, and the first may have been due when
# the outage began.
MIN_LAPSE_OUTAGE_S = 2.4
# Number of hosts that announce a leaving server to the others.
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
        """Start removing lapsed entries that weren't renewed in time."""
        self._expiry.start()

    def stop(self) -> None:
        """Stop removing lapsed entries."""
        self._expiry.stop()

    def record_contact(self, ok: bool) -> None:
        """Record whether the store answered."""
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
        """Apply a snapshot of all entries, and remove those not in it."""
        for row in rows:
            self.apply_row(row)
        present = {row.key for row in rows}
        for entry in self._board.backends.all():
            if entry.id not in present:
                self._remove(entry.id)

    def apply_row(self, row: row_store.Row) -> None:
        """Apply a changed or removed entry."""
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
        """Announce a leaving server to the other hosts.

        The store may not answer some of them. Two hosts announce each server,
        so that the number of messages grows linearly with the number of hosts
        and not with its square.
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
