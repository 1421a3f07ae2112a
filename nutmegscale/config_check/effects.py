"""What a change of the configuration does to requests in progress.

A request keeps the route, deadline, rank and customer that it began with; a
resumption is a new request under the configuration then in force.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from nutmegscale import config
from nutmegscale import customers
from nutmegscale import routes
from nutmegscale.config_check import findings
from nutmegscale.config_check import version


class _Change(NamedTuple):
    """Two versions of a routing configuration.

    Attributes:
      old: The version in force.
      new: The next one.
      old_places: Where the keys of the old version stand.
      places: Where those of the new one stand.
    """

    old: version.RoutingView
    new: version.RoutingView
    old_places: version.Places
    places: version.Places


def _note(code: str, place: findings.Place, message: str) -> findings.Finding:
    return findings.Finding("note", code, place, message)


def _matched(
    view: version.RoutingView,
) -> dict[tuple[str, str], tuple[str, routes.Route]]:
    """Return the routes that requests may match, with their indices."""
    return {
        (route.host, route.path_prefix): (str(index), route)
        for index, route in enumerate(view.config.routes)
    }


def find_version_errors(
    old: version.RoutingView, new: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find a changed configuration that hosts ignore as not later."""
    if new.config.version <= old.config.version:
        yield findings.Finding(
            "error",
            "version_not_later",
            places.find("version"),
            f"version {new.config.version} isn't later than"
            f" {old.config.version}, which is in force; hosts ignore it",
        )


def find_lost_routes(change: _Change) -> Iterator[findings.Finding]:
    """Describe what becomes of the requests of removed routes."""
    table = routes.RouteTable(change.new.config)
    left = _matched(change.new)
    for key, (index, route) in _matched(change.old).items():
        if key in left:
            continue
        other = table.find(route.host, route.path_prefix)
        later = f"match route {other.name}" if other else "get 404"
        what = "new requests"
        if route.is_resumable:
            what = "new requests and resumptions"
        yield _note(
            "route_removed",
            change.old_places.find("routes", index),
            f"requests of route {route.name} in progress run to their end;"
            f" {what} {later}",
        )


def find_moved_streams(change: _Change) -> Iterator[findings.Finding]:
    """Describe what becomes of streams whose route changes."""
    before = _matched(change.old)
    for key, (index, route) in _matched(change.new).items():
        old = before[key][1] if key in before else None
        if old is None or old.kind != "stream":
            continue
        place = change.places.find("routes", index)
        lost = {t.service for t in old.targets}
        lost -= {t.service for t in route.targets}
        if lost:
            names = ", ".join(sorted(lost))
            later = "they can't be resumed, as before"
            if old.is_resumable:
                later = (
                    "they are resumed only at a service that the route still"
                    " names, so that these can only begin anew (weight 0"
                    " keeps a service for them)"
                )
            yield _note(
                "service_moved",
                place,
                f"streams in progress at {names} run to their end; {later}",
            )
        if old.is_resumable and not route.is_resumable:
            yield _note(
                "resumption_ended",
                place,
                "streams that begin from now on can't be resumed; those in"
                " progress keep what they began with",
            )
        if route.timeout_s < old.timeout_s:
            yield _note(
                "timeout_lowered",
                place,
                f"streams in progress keep the time limit of {old.timeout_s:g}"
                f" s; new requests and resumptions get {route.timeout_s:g} s",
            )


def find_closed_routes(change: _Change) -> Iterator[findings.Finding]:
    """Describe where callers need a key from now on, or none any more."""
    before = _matched(change.old)
    for key, (index, route) in _matched(change.new).items():
        if key not in before:
            continue
        was_open = change.old.customers is None or before[key][1].is_public
        is_open = change.new.customers is None or route.is_public
        if was_open == is_open:
            continue
        message = "new requests and resumptions need no key from now on"
        if not is_open:
            message = (
                "new requests and resumptions without a key get 401; requests"
                " in progress run to their end"
            )
        yield _note(
            "key_needed" if not is_open else "key_not_needed",
            change.places.find("routes", index, "is_public"),
            f"route {route.name}: {message}",
        )


def find_customer_effects(change: _Change) -> Iterator[findings.Finding]:
    """Describe what becomes of the requests of changed customers."""
    if change.old.customers is None or change.new.customers is None:
        return
    after = {
        entry.customer.name: (str(index), entry)
        for index, entry in enumerate(change.new.customers)
    }
    for index, old in enumerate(change.old.customers):
        name = old.customer.name
        if name not in after:
            yield _note(
                "customer_removed",
                change.old_places.find("customers", str(index)),
                f"streams of {name} in progress run to their end; its new"
                " requests and resumptions get 401",
            )
            continue
        new_index, new = after[name]
        place = change.places.find("customers", new_index)
        removed = len(set(old.keys) - set(new.keys))
        if removed:
            yield _note(
                "key_removed",
                place,
                f"{version.count_text(removed, 'key')} of {name} removed:"
                " streams in progress run to their end and can't be resumed"
                " with it; new requests get 401",
            )
        yield from _limit_effects(old, new, place)


def _limit_effects(
    old: version.CustomerEntry,
    new: version.CustomerEntry,
    place: findings.Place,
) -> Iterator[findings.Finding]:
    name = new.customer.name
    if _is_lower(old.customer.limit, new.customer.limit):
        yield _note(
            "limit_lowered",
            place,
            f"streams of {name} in progress run to their end; the lower limit"
            " binds one window (8 s) after all hosts have it, and what ran"
            " before counts",
        )
    if old.customer.priority != new.customer.priority:
        yield _note(
            "priority_changed",
            place,
            f"requests of {name} that wait or run keep their rank; new ones get"
            f" priority {new.customer.priority}",
        )


def _is_lower(
    old: customers.UsageLimit | None, new: customers.UsageLimit | None
) -> bool:
    """Whether a limit admits less than another in any way."""
    if new is None:
        return False
    if old is None or old.unit != new.unit:
        return True
    return (
        new.per_s < old.per_s
        or new.burst < old.burst
        or new.plain_tokens > old.plain_tokens
    )


def find_lower_limits(change: _Change) -> Iterator[findings.Finding]:
    """Describe what lower limits on callers' requests do at once."""
    for name, value in change.new.config.limits._asdict().items():
        if value < getattr(change.old.config.limits, name):
            yield _note(
                "request_limit_lowered",
                change.places.find("limits", name),
                "also binds requests that are being received; those that were"
                " forwarded go on",
            )


def find_routing_effects(
    old: version.RoutingView,
    new: version.RoutingView,
    *,
    old_places: version.Places,
    places: version.Places,
) -> Iterator[findings.Finding]:
    """Describe what a new routing configuration does to running requests."""
    change = _Change(old, new, old_places, places)
    for find in (
        find_lost_routes,
        find_moved_streams,
        find_closed_routes,
        find_customer_effects,
        find_lower_limits,
    ):
        yield from find(change)


def find_document_effects(
    old: config.Document,
    new: config.Document,
    *,
    old_places: version.Places,
    places: version.Places,
) -> Iterator[findings.Finding]:
    """Describe what a new document of a folder does to running requests."""
    for name in _removed(old["services"], new["services"]):
        yield _note(
            "service_removed",
            old_places.find("services", name),
            "answers in progress run to their end, but aren't continued after a"
            " failure; new requests and repeats get 404",
        )
    for name, caller in old["callers"].items():
        if name not in new["callers"]:
            yield _note(
                "caller_removed",
                old_places.find("callers", name),
                "its answers in progress run to their end; new requests and"
                " repeats get 401",
            )
        elif caller["key_sha256"] != new["callers"][name]["key_sha256"]:
            yield _note(
                "key_replaced",
                places.find("callers", name, "key_sha256"),
                f"answers of {name} in progress run to their end; new requests"
                " and repeats with the old key get 401",
            )
    yield from _denied(old, new, places)


def _removed(old: Iterable[str], new: Iterable[str]) -> list[str]:
    kept = set(new)
    return [name for name in old if name not in kept]


def _denied(
    old: config.Document, new: config.Document, places: version.Places
) -> Iterator[findings.Finding]:
    """Describe which callers lose their access to which services."""
    before, after = config.Config(old, 0, ""), config.Config(new, 0, "")
    for service in new["services"]:
        lost = [
            caller
            for caller in new["callers"]
            if caller in old["callers"]
            and before.route(caller, service)
            and not after.route(caller, service)
        ]
        if lost:
            yield _note(
                "access_removed",
                places.find("rules"),
                f"answers of {service} in progress to {', '.join(lost)} run to"
                " their end; new requests and repeats get 403",
            )
