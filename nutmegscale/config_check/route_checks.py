"""Checks of routes and services: entries without effect, limits at odds."""

from collections.abc import Iterator

from nutmegscale import routes
from nutmegscale.config_check import findings
from nutmegscale.config_check import version


def check_shadowed(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find routes whose host and prefix a later route has too."""
    last = {(r.host, r.path_prefix): r for r in view.config.routes}
    for index, route in enumerate(view.config.routes):
        winner = last[(route.host, route.path_prefix)]
        if winner is not route:
            yield findings.Finding(
                "error",
                "route_shadowed",
                places.find("routes", str(index)),
                f"never matches: the later route {winner.name} has the same"
                " host and path prefix",
            )


def check_unmatched(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find routes whose host or prefix no request can have."""
    for index, route in enumerate(view.config.routes):
        prefix = route.path_prefix
        is_path = prefix.startswith("/") and prefix.endswith("/")
        if not is_path or "?" in prefix or "#" in prefix:
            yield findings.Finding(
                "error",
                "prefix_unmatched",
                places.find("routes", str(index), "path_prefix"),
                f"never matches: {prefix!r} doesn't start and end with '/', or"
                " has a '?' or '#'",
            )
        if ":" in route.host or route.host != route.host.strip():
            yield findings.Finding(
                "error",
                "host_unmatched",
                places.find("routes", str(index), "host"),
                f"never matches: host names are compared without port and"
                f" blanks, unlike {route.host!r}",
            )


def check_names(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find names that two routes or services share."""
    seen: set[str] = set()
    for index, route in enumerate(view.config.routes):
        if route.name in seen:
            yield findings.Finding(
                "warning",
                "route_name_twice",
                places.find("routes", str(index)),
                f"another route is called {route.name} too; logs and metrics"
                " can't tell them apart",
            )
        seen.add(route.name)
    names = view.service_names
    for index, name in enumerate(names):
        if name in names[index + 1 :]:
            yield findings.Finding(
                "error",
                "service_twice",
                places.find("services", str(index)),
                f"has no effect: a later service is called {name} too",
            )


def check_splits(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find parts of splits that get no requests, and services named twice."""
    for index, route in enumerate(view.config.routes):
        place = places.find("routes", str(index), "targets")
        if not any(target.weight for target in route.targets):
            yield findings.Finding(
                "error",
                "split_without_weight",
                place,
                "all weights are 0, so that"
                f" {route.targets[0].service} gets all requests",
            )
            continue
        seen: set[str] = set()
        for number, target in enumerate(route.targets):
            place = places.find("routes", str(index), "targets", str(number))
            if not target.weight:
                message = f"weight 0: {target.service} gets no requests"
                if route.is_resumable:
                    message += "; streams that began there can be resumed"
                yield findings.Finding(
                    "warning", "split_weight_zero", place, message
                )
            if target.service in seen:
                yield findings.Finding(
                    "warning",
                    "split_service_twice",
                    place,
                    f"{target.service} stands in the split twice; the weights"
                    " add up",
                )
            seen.add(target.service)


def check_unused_services(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find services that no route names."""
    used = {t.service for r in view.config.routes for t in r.targets}
    for index, name in enumerate(view.service_names):
        if name not in used:
            yield findings.Finding(
                "warning",
                "service_unused",
                places.find("services", str(index)),
                f"no route names the service {name}",
            )


def check_timeouts(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find routes whose time limit is below their latency target."""
    for index, route in enumerate(view.config.routes):
        place = places.find("routes", str(index), "timeout_s")
        if not route.timeout_s:
            yield findings.Finding(
                "error",
                "timeout_zero",
                place,
                "a time limit of 0 leaves no time for any answer",
            )
        elif route.timeout_s < route.objective_s:
            yield findings.Finding(
                "error",
                "timeout_below_target",
                place,
                f"requests end after {route.timeout_s:g} s, before their"
                f" latency target of {route.objective_s:g} s",
            )


def check_retries(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find routes that allow several runs of what may run once only."""
    for index, route in enumerate(view.config.routes):
        if route.max_attempts > 1 and not route.is_idempotent:
            yield findings.Finding(
                "warning",
                "attempts_without_effect",
                places.find("routes", str(index), "max_attempts"),
                f"{route.max_attempts} attempts, but requests that may have run"
                " aren't sent again on this route",
            )


def _engine_findings(
    service: routes.Service, place: findings.Place, stream_tokens: int
) -> Iterator[findings.Finding]:
    engine = service.engine
    if engine is None:
        return
    if not engine.slots:
        yield findings.Finding(
            "error",
            "engine_without_slots",
            place,
            "an engine without slots runs no stream",
        )
    if engine.kv_tokens < stream_tokens:
        yield findings.Finding(
            "warning",
            "engine_below_stream",
            place,
            f"an engine's memory of {engine.kv_tokens} tokens is less than a"
            f" typical stream of {stream_tokens}",
        )
    if service.max_connections < engine.slots:
        yield findings.Finding(
            "warning",
            "connections_below_slots",
            place,
            f"{service.max_connections} connections can't use"
            f" {engine.slots} slots",
        )


def check_services(
    view: version.RoutingView,
    places: version.Places,
    assumed: version.Assumptions,
) -> Iterator[findings.Finding]:
    """Find services whose limits contradict each other."""
    for index, name in enumerate(view.service_names):
        service = view.config.services[name]
        place = places.find("services", str(index))
        if not service.max_connections:
            yield findings.Finding(
                "error",
                "service_without_connections",
                place,
                "0 connections: its servers could be sent nothing",
            )
        yield from _engine_findings(service, place, assumed.stream_tokens)


CHECKS = (
    check_shadowed,
    check_unmatched,
    check_names,
    check_splits,
    check_unused_services,
    check_timeouts,
    check_retries,
)
