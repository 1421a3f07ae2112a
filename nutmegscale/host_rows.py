"""Discovery of hosts through the store: a row per host and a shared key."""

from collections.abc import Callable
import random
from typing import NamedTuple

import msgspec

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
        self._has_key = False

    async def join(self) -> None:
        """Join the other hosts; retry until the store answered every step."""
        pause_s = FIRST_RETRY_S
        while True:
            try:
                await self._join()
                return
            except errors.StoreError as exc:
                logs.get().warning("join_failed", message=str(exc))
            await periodic.sleep(
                self._board.clock, pause_s * (0.7 + 0.6 * self._rng.random())
            )
            pause_s = min(MAX_RETRY_S, pause_s * 2)

    async def _join(self) -> None:
        if not self._has_key:
            self._on_key(await self._create_or_read_key())
            self._has_key = True
        row = HostRow(self._address, self._board.failure_domain, self._may_plan)
        written = await self._store.write(
            HOST_TABLE, self._board.host, msgspec.msgpack.encode(row)
        )
        # The version of the write is higher at each start of this host, so that
        # the incarnation grows even if nothing is known of earlier runs.
        self._board.membership.raise_incarnation(written.version)
        result = await self._store.read_table(HOST_TABLE)
        for host_row in result.rows:
            self._add_host(host_row)
        self._on_joined()
        logs.get().info("joined", hosts=len(result.rows))

    async def _create_or_read_key(self) -> bytes:
        key = self._rng.randbytes(KEY_BYTES)
        result = await self._store.write(KEY_TABLE, KEY_NAME, key, expected=0)
        return result.rows[0].value if result.rows else key

    def _add_host(self, row: row_store.Row) -> None:
        if row.key == self._board.host or row.is_removed:
            return
        try:
            host = msgspec.msgpack.decode(row.value, type=HostRow)
        except msgspec.DecodeError as exc:
            logs.get().warning("host_row_skipped", key=row.key, why=str(exc))
            return
        self._board.membership.add_host(
            self._board.now(),
            row.key,
            host.failure_domain,
            host.address,
            may_plan=host.may_plan,
        )
