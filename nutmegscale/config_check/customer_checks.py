"""Checks of customers: their keys, ranks and usage limits."""

from collections.abc import Iterator

from nutmegscale import customers
from nutmegscale.config_check import findings
from nutmegscale.config_check import version

# Length of the sliding window in which a usage limit binds, seconds.
WINDOW_S = 8.0


def check_admission(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find lists of customers that admit nobody."""
    if view.customers is None:
        return
    if not view.customers:
        yield findings.Finding(
            "warning",
            "no_customers",
            places.find("customers"),
            "no customer: only public routes are served",
        )
    for index, entry in enumerate(view.customers):
        if not entry.keys:
            yield findings.Finding(
                "warning",
                "customer_without_keys",
                places.find("customers", str(index)),
                f"{entry.customer.name} has no key, so that no request is its"
                " own",
            )


def check_keys_twice(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find keys that stand twice at one customer."""
    for index, entry in enumerate(view.customers or ()):
        again = len(entry.keys) - len(set(entry.keys))
        if again:
            yield findings.Finding(
                "warning",
                "key_twice",
                places.find("customers", str(index), "keys"),
                f"{version.count_text(again, 'key')} of {entry.customer.name}"
                " stands there again",
            )


def check_ranks(
    view: version.RoutingView, places: version.Places
) -> Iterator[findings.Finding]:
    """Find priorities of routes that ranks of customers can't express."""
    if not view.customers:
        return
    first = customers.Customer("")
    for index, route in enumerate(view.config.routes):
        top = first.rank(route.priority)
        if top < route.priority:
            yield findings.Finding(
                "warning",
                "priority_cut",
                places.find("routes", str(index), "priority"),
                f"priority {route.priority} counts as {top} where customers"
                " have priorities",
            )


def check_limits(
    view: version.RoutingView,
    places: version.Places,
    assumed: version.Assumptions,
) -> Iterator[findings.Finding]:
    """Find usage limits that contradict themselves or the size of requests."""
    for index, entry in enumerate(view.customers or ()):
        limit, at = entry.stated_limit, ("customers", str(index))
        if limit.per_s:
            yield from _request_findings(
                limit, places.find(*at, "per_s"), assumed.stream_tokens
            )
            yield from _burst_findings(limit, places.find(*at, "burst"))
        elif limit.burst:
            yield findings.Finding(
                "warning",
                "burst_without_rate",
                places.find(*at, "burst"),
                "the burst has no effect: without a rate there is no limit",
            )
        if limit.unit == "tokens" and limit.per_s and not limit.plain_tokens:
            yield findings.Finding(
                "warning",
                "plain_requests_free",
                places.find(*at, "plain_tokens"),
                "requests that state no tokens cost nothing, whatever they use",
            )


def _request_findings(
    limit: customers.UsageLimit, place: findings.Place, stream_tokens: int
) -> Iterator[findings.Finding]:
    """Compare a limit with the size of a request.

    What is assumed: a request costs 1, or the tokens stated for plain ones;
    a stream costs as many as a typical one.
    """
    window = limit.per_s * WINDOW_S + limit.burst
    cost = limit.cost(None)
    if window < cost:
        yield findings.Finding(
            "error",
            "limit_below_request",
            place,
            f"the limit admits {window:g} {limit.unit} in {WINDOW_S:g} s, less"
            f" than the {cost} that one request costs",
        )
    elif limit.unit == "tokens" and window < stream_tokens:
        yield findings.Finding(
            "warning",
            "limit_below_stream",
            place,
            f"the limit admits {window:g} tokens in {WINDOW_S:g} s, less than a"
            f" typical stream of {stream_tokens}",
        )


def _burst_findings(
    limit: customers.UsageLimit, place: findings.Place
) -> Iterator[findings.Finding]:
    if not limit.burst:
        yield findings.Finding(
            "warning",
            "burst_zero",
            place,
            "no burst: requests that come at the same time are refused, also"
            " while the rate is far from used up",
        )
    elif limit.burst < limit.per_s:
        yield findings.Finding(
            "warning",
            "burst_below_second",
            place,
            f"the burst of {limit.burst:g} is less than one second of the rate"
            f" of {limit.per_s:g}, so that the rate can't be used up",
        )


CHECKS = (check_admission, check_keys_twice, check_ranks)
