"""Discovery of hosts through the store: a row per host and a shared key."""

from collections.abc import Callable
import random
from typing import NamedTuple

import msgspec
from twisted.internet import defer

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import periodic
from nutmegscale import routing_board
from nutmegscale import row_store

KEY_TABLE = "nutmegscale-keys"
KEY_NAME = "mesh"
HOST_TABLE = "nutmegscale-hosts"
KEY_BYTES = 32
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 2.0
# Period of the search for hosts that were forgotten after a long partition,
# seconds; it reads the store only if hosts were forgotten since the last one.
SEARCH_PERIOD_S = 30.0


class HostRow(NamedTuple):
    """Entry of a host in the store.

    Attributes:
      address: Address at which its peers reach it.
      failure_domain: Failure domain of the host.
      may_plan: Whether its link is fast enough for planning.
    """

    address: str
    failure_domain: str
    may_plan: bool = True


_decoder: decoding.Decoder[HostRow] = decoding.Decoder(HostRow, "msgpack")


class HostRegistry:
    """Registers this host in the store and adds the others as members."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        store: row_store.RowStore,
        address: str,
        *,
        may_plan: bool,
        rng: random.Random,
        on_key: Callable[[bytes], None],
        on_joined: Callable[[], None],
    ) -> None:
        self._board = board
        self._store = store
        self._address = address
        self._may_plan = may_plan
        self._rng = rng
        self._on_key = on_key
        self._on_joined = on_joined
        self._key = b""
        self._is_joining = False
        self._is_due = False
        self._search = periodic.Periodic(
            board.clock, SEARCH_PERIOD_S, self._find_forgotten
        )

    async def join(self) -> None:
        """Join the other hosts; retry until the store answered every step.

        Call it again after the store was restored: the row of this host and
        the key may be missing from the copy.
        """
        self._is_due = True
        if self._is_joining:
            return
        self._is_joining = True
        try:
            while self._is_due:
                self._is_due = False
                await self._join_with_retries()
        finally:
            self._is_joining = False

    async def _join_with_retries(self) -> None:
        pause_s = FIRST_RETRY_S
        while True:
            try:
                await self._join()
                return
            except errors.StoreError as exc:
                logs.get().warning("join_failed", message=str(exc))
            except defer.CancelledError:
                raise
            except Exception as exc:
                periodic.log_defect(exc)
            await periodic.sleep(
                self._board.clock, pause_s * (0.7 + 0.6 * self._rng.random())
            )
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    async def _join(self) -> None:
        key = await self._create_or_read_key()
        if key != self._key:
            self._key = key
            self._on_key(key)
        row = HostRow(self._address, self._board.failure_domain, self._may_plan)
        written = await self._store.write(
            HOST_TABLE, self._board.host, msgspec.msgpack.encode(row)
        )
        # The number of the write is higher at each start of this host, so that
        # the incarnation grows even if nothing is known of earlier runs.
        self._board.membership.raise_incarnation(
            row_store.write_number(written.era, written.version)
        )
        result = await self._store.read_table(HOST_TABLE)
        for host_row in result.rows:
            self._add_host(host_row)
        self._on_joined()
        logs.get().info("joined", hosts=len(result.rows), era=written.era)

    def start(self) -> None:
        """Start looking for hosts that this one has forgotten."""
        self._search.start()

    def stop(self) -> None:
        """Stop looking for forgotten hosts."""
        self._search.stop()

    async def _find_forgotten(self) -> None:
        """Add the hosts with a row that were removed from the view."""
        board = self._board
        if not board.membership.has_forgotten:
            return
        result = await self._store.read_table(HOST_TABLE)
        board.membership.clear_forgotten()
        for row in result.rows:
            host = self._decode(row)
            if host is not None:
                board.membership.add_absent_host(
                    board.now(),
                    row.key,
                    host.failure_domain,
                    host.address,
                    may_plan=host.may_plan,
                )

    async def _create_or_read_key(self) -> bytes:
        key = self._key or self._rng.randbytes(KEY_BYTES)
        result = await self._store.write(KEY_TABLE, KEY_NAME, key, expected=0)
        return result.rows[0].value if result.rows else key

    def _decode(self, row: row_store.Row) -> HostRow | None:
        """Decode the row of another host; None if there is none."""
        if row.key == self._board.host or row.is_removed:
            return None
        try:
            host = _decoder.decode(row.value)
            decoding.token(row.key)
            decoding.token(host.address)
            return host
        except errors.MalformedDataError as exc:
            logs.get().warning("host_row_skipped", key=row.key, why=str(exc))
            return None

    def _add_host(self, row: row_store.Row) -> None:
        host = self._decode(row)
        if host is None:
            return
        self._board.membership.add_host(
            self._board.now(),
            row.key,
            host.failure_domain,
            host.address,
            may_plan=host.may_plan,
        )
