"""Endpoint for Prometheus scrapes of the metrics."""

from collections.abc import Callable

from nutmegscale import http_ingress

CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"


class ScrapeSite:
    """`http_ingress.Handler` that serves the metrics in text format."""

    def __init__(self, scrape: Callable[[], bytes]) -> None:
        self._scrape = scrape

    def handle(self, request: http_ingress.IncomingRequest) -> None:
        """Answer /metrics with the metrics, any other path with status 404."""
        if request.head.path != b"/metrics":
            request.respond(404, [], b"")
            return
        headers = [(b"Content-Type", CONTENT_TYPE)]
        request.respond(200, headers, self._scrape())
