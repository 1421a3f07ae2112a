"""Connections of each host to each backend server of the soak test.

Each host sees the servers at addresses of its own, so that it alone can be cut
off from all of them, and so that servers can tell the hosts apart.
"""

import socket
from typing import Any

import msgspec
from twisted.internet import defer

from nutmegscale import row_store
from nutmegscale.platform import worker_entries
from standins import fault_proxy
from standins import row_table

# How a host is cut off: bytes are lost and attempts to connect time out, or
# connections are reset or live on, and further ones are refused.
CUT_KINDS = ("hang", "reset", "refuse")
# Longest time until a host gives up a connection that answers no keep-alive
# probe, seconds; see `tcp_options`. The kernel answers them for a proxy.
KEEPALIVE_GIVES_UP_S = 4.0
# Connections that fill the queue of a socket that accepts none.
FILLERS = 2


class _BlackHole:
    """Socket that leaves attempts to connect without an answer."""

    def __init__(self, ip: str, port: int) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((ip, port))
        self._socket.listen(0)
        self._fillers = [socket.socket() for _ in range(FILLERS)]
        for filler in self._fillers:
            filler.setblocking(False)
            filler.connect_ex((ip, port))

    def close(self) -> None:
        """Stop listening."""
        for filler in self._fillers:
            filler.close()
        self._socket.close()


class HostLink:
    """Way of one host to one backend server, which can be cut."""

    def __init__(self, reactor: Any, ip: str, proxy: Any) -> None:
        """Start listening.

        Args:
          reactor: Twisted reactor.
          ip: Address to listen on, of the host alone.
          proxy: Proxy to the server.
        """
        self._reactor = reactor
        self._ip = ip
        self._proxy = proxy
        self._listening: Any = reactor.listenTCP(0, proxy, interface=ip)
        self._port: int = self._listening.getHost().port
        self._black_hole: _BlackHole | None = None
        self._cut = ""
        self._is_closed = False

    @property
    def address(self) -> str:
        """Address at which the host reaches the server."""
        return f"{self._ip}:{self._port}"

    def cut(self, how: str) -> None:
        """Cut the host off from the server; see `CUT_KINDS`."""
        if self._is_closed:
            return
        self._cut = how
        self._stop_listening()
        if how == "reset":
            self._proxy.reset_all()
        elif how == "hang":
            self._proxy.drops_to_target = self._proxy.drops_from_target = True
            self._reactor.callLater(KEEPALIVE_GIVES_UP_S, self._give_up)

    def _give_up(self) -> None:
        """End the connections that hang, as keep-alive does."""
        if self._cut == "hang":
            self._proxy.reset_all()

    def heal(self) -> None:
        """End a cut; connections that lost bytes stay unresponsive."""
        self._cut = ""
        if self._is_closed or self._listening is not None:
            return
        if self._black_hole is not None:
            self._black_hole.close()
            self._black_hole = None
        self._proxy.heal()
        self._listening = self._reactor.listenTCP(
            self._port, self._proxy, interface=self._ip
        )

    def close(self) -> None:
        """Stop for good, as when the server has crashed."""
        self._is_closed = True
        self._stop_listening()
        if self._black_hole is not None:
            self._black_hole.close()
            self._black_hole = None
        self._proxy.reset_all()

    def _stop_listening(self) -> None:
        listening, self._listening = self._listening, None
        if listening is not None:
            stopped = defer.maybeDeferred(listening.stopListening)
            stopped.addCallback(lambda _: self._after_stop())

    def _after_stop(self) -> None:
        if self._cut == "hang" and not self._is_closed:
            self._black_hole = _BlackHole(self._ip, self._port)


class HostView:
    """The store as one host sees it: servers at the addresses of its links.

    Args:
      store: The store.
      links: Links of the host, by the name of the server.
    """

    def __init__(
        self, store: row_table.RowTable, links: dict[str, HostLink]
    ) -> None:
        self._store = store
        self._links = links

    def __getattr__(self, name: str) -> Any:
        return getattr(self._store, name)

    def for_host(self, host: str) -> row_table.RowTableClient:
        """Return the client of the host."""
        view: Any = self
        return row_table.RowTableClient(view, host)

    def rows(self, table: str) -> tuple[row_store.Row, ...]:
        """Return the rows of a table, by key."""
        return self._translate(table, self._store.rows(table))

    def changes_since(
        self, table: str, after: int
    ) -> tuple[row_store.Row, ...]:
        """Return the changes of a table after a version."""
        return self._translate(table, self._store.changes_since(table, after))

    def _translate(
        self, table: str, rows: tuple[row_store.Row, ...]
    ) -> tuple[row_store.Row, ...]:
        if table != worker_entries.TABLE:
            return rows
        return tuple(self._translate_row(row) for row in rows)

    def _translate_row(self, row: row_store.Row) -> row_store.Row:
        link = self._links.get(row.key)
        if link is None or row.is_removed:
            return row
        try:
            entry = msgspec.json.decode(row.value, type=dict[str, Any])
        except (msgspec.DecodeError, RecursionError):
            # Another program has written an odd row.
            return row
        entry["address"] = link.address
        return row._replace(value=msgspec.json.encode(entry))


def make_proxy(
    reactor: Any, address: str, *, host: str, sources: dict[int, str]
) -> Any:
    """Return the proxy of a host's link to a server."""
    ip, _, port = address.rpartition(":")
    return fault_proxy.FaultProxy(
        reactor, ip, int(port), source=host, sources=sources
    )
