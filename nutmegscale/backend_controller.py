"""Keeps the registered backend servers up to date from the store's feed."""

from collections.abc import Callable

from nutmegscale import backend
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import rendezvous
from nutmegscale import restored_entries
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
        self._restored = restored_entries.RestoredEntries()
        self._expects_copy = False
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

    def record_restore(self) -> None:
        """Record that the store was restored from an older copy.

        The next snapshot shows that copy.
        """
        self._restored.begin(self._board.now())
        self._expects_copy = True

    def apply_rows(self, rows: tuple[row_store.Row, ...]) -> None:
        """Apply a snapshot of all entries, and remove those not in it."""
        for row in rows:
            entry = self._decode_row(row)
            if entry is not None and not self._holds_back(entry):
                self._put(entry, row.version)
        now = self._board.now()
        may_return = self._expects_copy
        self._expects_copy = False
        present = {row.key for row in rows}
        self._restored.keep_only(present)
        for entry in self._board.backends.all():
            if entry.id not in present:
                self._remove(
                    entry.id,
                    lapse_until=now + backend.LAPSE_GRACE_S
                    if may_return
                    else 0.0,
                )

    def _holds_back(self, entry: backend.Backend) -> bool:
        """Whether an entry of a restored store contradicts later knowledge."""
        now = self._board.now()
        known = self._board.backends.all()
        if not self._restored.holds_back(now, entry, known):
            return False
        logs.get().info(
            "entry_held_back",
            backend=entry.id,
            incarnation=entry.incarnation,
            address=entry.address,
        )
        if self._board.backends.get(entry.id) is None:
            # A host that has just started may know only the copy.
            self._announce_leaving(entry)
        return True

    def apply_row(self, row: row_store.Row) -> None:
        """Apply a changed or removed entry."""
        self._restored.discard(row.key)
        if row.is_removed:
            self._remove(row.key)
            return
        entry = self._decode_row(row)
        if entry is not None:
            self._put(entry, row.version)

    def _decode_row(self, row: row_store.Row) -> backend.Backend | None:
        """Decode an entry; remove it and return None if it is malformed."""
        try:
            return self._decode(row)
        except errors.MalformedEntryError as exc:
            logs.get().warning("entry_skipped", key=row.key, message=str(exc))
            self._remove(row.key)
            return None

    def _put(self, entry: backend.Backend, version: int) -> None:
        if self._board.notices.is_leaving(entry.key):
            # It has said so, whatever its entry says later.
            entry = entry._replace(is_draining=True)
        if self._board.backends.put(entry):
            logs.get().info(
                "backend_entry",
                backend=entry.id,
                incarnation=entry.incarnation,
                service=entry.service,
                address=entry.address,
                draining=entry.is_draining,
                stage=entry.stage,
                software=entry.version,
                version=version,
            )
            if entry.is_draining:
                self._announce_leaving(entry)
            self._prune_loads()

    def _remove(self, backend_id: str, *, lapse_until: float = 0.0) -> None:
        """Remove an entry, or let it lapse if it may be back soon."""
        now = self._board.now()
        if now - self._outage_ended < POST_OUTAGE_S:
            lapse_until = now + backend.LAPSE_GRACE_S
        known = self._board.backends.get(backend_id)
        if self._board.backends.remove(
            backend_id, now=now, lapse_until=lapse_until
        ):
            logs.get().info("backend_gone", backend=backend_id)
            if known is not None:
                self._restored.record_departure(now, known)
                if not known.is_draining:
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
        servers = self._board.backends.all()
        self._board.loads.keep_only(servers)
        self._board.notices.keep_only(
            self._board.now(), {server.key for server in servers}
        )

    async def _expire(self) -> None:
        now = self._board.now()
        for entry in self._board.backends.expire(now):
            logs.get().info("backend_gone", backend=entry.id, lapsed=True)
            self._restored.record_departure(now, entry)
            self._prune_loads()
        for entry in self._restored.release(now):
            self._put(entry, 0)
