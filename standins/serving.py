"""Start-up of a stand-in process: reactor, listening port, JSON errors."""

import argparse
from collections.abc import Callable
from typing import Any

from twisted.internet import endpoints

from nutmegscale import http_server


def error_reply(exc: Exception) -> http_server.Reply:
    """Create a 500 reply for an unexpected exception."""
    return http_server.json_reply(500, {"error": repr(exc)})


def parse_arguments(
    description: str, add: Callable[[argparse.ArgumentParser], None]
) -> argparse.Namespace:
    """Parse the command line of a stand-in, including `--port`."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    add(parser)
    return parser.parse_args()


def serve(
    reactor: Any,
    port: int,
    handler: http_server.Handler,
    on_error: Callable[[Exception], http_server.Reply] = error_reply,
) -> None:
    """Serve a handler on a loopback port until the process ends."""
    site = http_server.make_site(handler, on_error)
    endpoint = endpoints.TCP4ServerEndpoint(
        reactor, port, backlog=512, interface="127.0.0.1"
    )
    endpoint.listen(site)
    reactor.run()
