"""Answer to the balancer's question whether a host takes requests."""

from collections.abc import Callable

from nutmegscale import http_ingress


class ReadySite:
    """`http_ingress.Handler` that says whether the host is ready."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Answer 200 if the host is ready, else 503."""
        request.respond(200 if self._is_ready() else 503, [], b"")
