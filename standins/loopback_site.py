"""Process with a row store and a plain server, for tests of a real daemon.

Prints the address of the store, and ends when its standard input is closed.
"""

import sys
from typing import Any

from twisted.internet import protocol
from twisted.internet import reactor as default_reactor
from twisted.internet import stdio

from nutmegscale import http_ingress
from nutmegscale.platform import routing_config
from nutmegscale.platform import worker_entries
from standins import platform_rows
from standins import platform_worker
from standins import row_table
from standins import store_site

HOST_NAME = "host-0"
LIMITS = {
    "maxHeaderBytes": 16_384,
    "maxBodyBytes": 4 << 20,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
SLOTS = 200
# Requests whose path starts with this are answered with LONG_BODY_BYTES.
LONG_PREFIX = b"/slot/long"
LONG_BODY_BYTES = 4_000_000


class LongAnswers:
    """Handler that answers some paths with a long body itself."""

    def __init__(self, worker: platform_worker.PlatformWorker) -> None:
        self._worker = worker
        self._body = bytes(LONG_BODY_BYTES)

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Answer a request; see `http_ingress.Handler`."""
        if not request.head.target.startswith(LONG_PREFIX):
            self._worker.handle(request)
            return
        request_id = request.head.get(b"request-id") or b""
        proof = b"proof-" + self._worker.id.encode()
        request.respond(
            200,
            [(b"Request-Id", request_id), (b"Response-Signature", proof)],
            self._body,
        )


class _EndOfInput(protocol.Protocol):
    """Stops the reactor when standard input is closed."""

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Stop."""
        reactor: Any = default_reactor
        if reactor.running:
            reactor.stop()


def main() -> None:
    """Serve until standard input is closed."""
    reactor: Any = default_reactor
    table = row_table.RowTable(reactor)
    worker = platform_worker.PlatformWorker(reactor, "w1", slots=SLOTS)

    def _listen(handler: http_ingress.Handler) -> str:
        factory = http_ingress.IngressFactory(
            reactor, handler, http_ingress.Limits
        )
        port = reactor.listenTCP(0, factory, 512, interface="127.0.0.1")
        return f"127.0.0.1:{port.getHost().port}"

    row = platform_rows.entry_row(
        platform_rows.PLAIN_SERVICE,
        _listen(LongAnswers(worker)),
        slots=SLOTS,
    )
    config = platform_rows.config_row(limits=LIMITS)
    table.put(routing_config.TABLE, routing_config.KEY, config)
    table.put(worker_entries.TABLE, "w1", row)
    store = _listen(store_site.StoreSite(table, HOST_NAME))
    sys.stdout.write(f"{store}\n")
    sys.stdout.flush()
    stdio.StandardIO(_EndOfInput())
    reactor.run()


if __name__ == "__main__":
    main()
