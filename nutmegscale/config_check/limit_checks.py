"""Checks of the limits on callers' requests and connections."""

from collections.abc import Iterator

from nutmegscale import routes
from nutmegscale.config_check import findings
from nutmegscale.config_check import version

# What a header adds to its name and value: a colon, a blank and a line end.
_HEADER_EXTRA_BYTES = 4
_KEY_HEADER_BYTES = len("Authorization") + _HEADER_EXTRA_BYTES + len("Token ")
_HOST_HEADER_BYTES = len("Host") + _HEADER_EXTRA_BYTES


def check_zero(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find limits of 0, under which no request could be received."""
    limits = view.config.limits
    for name in ("max_header_bytes", "header_timeout_s", "idle_timeout_s"):
        if not getattr(limits, name):
            yield findings.Finding(
                "error",
                "limit_zero",
                places.find("limits", name),
                "with a limit of 0 no request can be received",
            )


def check_idle_timeout(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find an idle timeout below the timeout of a request's head."""
    limits = view.config.limits
    if limits.idle_timeout_s < limits.header_timeout_s:
        yield findings.Finding(
            "warning",
            "idle_below_header_timeout",
            places.find("limits", "idle_timeout_s"),
            f"a body may pause for {limits.idle_timeout_s:g} s, less than the"
            f" {limits.header_timeout_s:g} s that a head may take",
        )


def _head_bytes(route: routes.Route, key_bytes: int) -> int:
    """Return the size of the shortest head of a request with a key."""
    return (
        len(route.path_prefix)
        + _HOST_HEADER_BYTES
        + len(route.host)
        + _KEY_HEADER_BYTES
        + key_bytes
    )


def check_header_limit(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find a limit on heads that the longest key doesn't fit into."""
    key_bytes = max(
        (c.longest_key_bytes for c in view.customers or ()), default=0
    )
    limit = view.config.limits.max_header_bytes
    needed = [
        (_head_bytes(route, key_bytes), route.name)
        for route in view.config.routes
        if not route.is_public
    ]
    if not key_bytes or not needed:
        return
    size, name = max(needed)
    if size > limit:
        yield findings.Finding(
            "error",
            "header_limit_below_key",
            places.find("limits", "max_header_bytes"),
            f"a request on route {name} with a key of {key_bytes} bytes has a"
            f" head of at least {size} bytes, more than {limit}",
        )


def check_descriptors(
    view: version.RoutingView,
    places: version.Places,
    assumed: version.Assumptions,
) -> Iterator[findings.Finding]:
    """Find more connections to servers than a host has descriptors."""
    services = view.config.services.values()
    connections = sum(service.max_connections for service in services)
    if assumed.max_fds and connections > assumed.max_fds:
        yield findings.Finding(
            "error",
            "connections_over_descriptors",
            places.find("services"),
            f"one server of each service may have {connections} connections,"
            f" more than the {assumed.max_fds} descriptors of a host",
        )


CHECKS = (check_zero, check_idle_timeout, check_header_limit)
