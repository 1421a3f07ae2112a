"""Endpoint for the readiness probe of the load balancer."""

from collections.abc import Callable

from nutmegscale import http_ingress


class ReadySite:
    """`http_ingress.Handler` that answers whether the host is ready."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Answer with status 200 if the host is ready, else with 503."""
        request.respond(200 if self._is_ready() else 503, [], b"")
