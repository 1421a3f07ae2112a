"""Decoder for the routing configuration that the platform's operator writes."""

from typing import Any
from typing import Literal

import msgspec

from nutmegscale import customers
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import http_ingress
from nutmegscale import routes

TABLE = "op"
KEY = "config"
_TOKEN_UNIT = "token_stream"


class _TrafficSplit(msgspec.Struct):
    service: str
    weight: decoding.NonNegative = 1.0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    prefix: str = msgspec.field(name="pathPrefix")
    kind: routes.RouteKind
    timeout_ms: decoding.NonNegative = msgspec.field(name="timeoutMs")
    # The latency objective, not a measured latency.
    target_latency_ms: decoding.NonNegative = msgspec.field(
        name="targetLatencyMs"
    )
    attempts: decoding.Natural = msgspec.field(name="maxAttempts", default=1)
    priority: decoding.Natural = 0
    service: str = ""
    split: list[_TrafficSplit] = msgspec.field(name="trafficSplit", default=[])
    resumable: bool = False
    public: bool = False


class _Engine(msgspec.Struct):
    slots: decoding.Natural
    # KV cache of the engine, tokens (not bytes).
    capacity: decoding.Natural = msgspec.field(name="kvCapacity")
    handle_ttl: decoding.NonNegative = msgspec.field(
        name="handleTtlS", default=0.5
    )


class _Service(msgspec.Struct):
    name: str
    connections: decoding.Natural = msgspec.field(
        name="maxConnections", default=100
    )
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    header_bytes: decoding.Natural = msgspec.field(
        name="maxHeaderBytes", default=16_384
    )
    body_bytes: decoding.Natural = msgspec.field(
        name="maxBodyBytes", default=4 << 20
    )
    header_ms: decoding.NonNegative = msgspec.field(
        name="headerTimeoutMs", default=3_000.0
    )
    idle_ms: decoding.NonNegative = msgspec.field(
        name="idleTimeoutMs", default=15_000.0
    )


class _Tenant(msgspec.Struct):
    name: str
    keys: list[str] = msgspec.field(name="apiKeys", default=[])
    # What hosts send each other instead; the operator doesn't write it.
    key_digests: list[str] = msgspec.field(name="apiKeyDigests", default=[])
    priority: decoding.Natural = 0
    # "token_stream" counts the tokens that requests state; else requests count.
    unit: str = ""
    plain_tokens: decoding.Natural = msgspec.field(
        name="plainTokens", default=0
    )
    rate: decoding.NonNegative = msgspec.field(name="ratePerS", default=0.0)
    burst: decoding.NonNegative = 0.0


class _Config(msgspec.Struct):
    version: decoding.Natural
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # An empty list admits no request with a key; without the field, keys aren't
    # used at all.
    tenants: list[_Tenant] | None = None


_decoder = decoding.Decoder[_Config](_Config)
_any_decoder = decoding.Decoder[dict[str, Any]](Any)


def decode(data: bytes) -> routes.RoutingConfig:
    """Decode a routing configuration.

    Raises:
      errors.ConfigError: The row is malformed, a route has no service, or it
        names an unknown one.
    """
    try:
        config = _decoder.decode(data)
    except errors.MalformedDataError as exc:
        raise errors.ConfigError(str(exc), file=f"{TABLE}/{KEY}") from exc
    services = {
        service.name: _to_service(service) for service in config.services
    }
    decoded_routes = []
    for route in config.routes:
        decoded_routes.append(_to_route(route))
        for target in decoded_routes[-1].targets:
            if target.service not in services:
                raise errors.ConfigError(
                    f"service {target.service!r} is not defined",
                    file=f"{TABLE}/{KEY}",
                    key=f"routes.{route.name}",
                )
    limits = http_ingress.Limits(
        max_header_bytes=config.limits.header_bytes,
        max_body_bytes=config.limits.body_bytes,
        header_timeout_s=config.limits.header_ms / 1000,
        idle_timeout_s=config.limits.idle_ms / 1000,
    )
    return routes.RoutingConfig(
        config.version,
        tuple(decoded_routes),
        services,
        limits,
        _to_customers(config.tenants),
    )


def _to_customers(
    tenants: list[_Tenant] | None,
) -> customers.CustomerDirectory | None:
    if tenants is None:
        return None
    for tenant in tenants:
        try:
            # The name is sent in the heads of requests.
            decoding.token(tenant.name)
        except errors.MalformedDataError as exc:
            raise errors.ConfigError(
                str(exc), file=f"{TABLE}/{KEY}", key="tenants"
            ) from exc
    try:
        return customers.CustomerDirectory(
            (
                customers.Customer(t.name, t.priority, _to_usage_limit(t))
                for t in tenants
            ),
            {t.name: _key_digests(t) for t in tenants},
        )
    except errors.ConfigError as exc:
        name = exc.key.removesuffix(customers.KEYS_SUFFIX)
        place = f"tenants.{name}" + (".apiKeys" if name != exc.key else "")
        raise errors.ConfigError(
            exc.message, file=f"{TABLE}/{KEY}", key=place
        ) from exc


def _key_digests(tenant: _Tenant) -> tuple[bytes, ...]:
    digests = customers.digest_keys(tenant.name, tenant.keys)
    try:
        return (*digests, *map(bytes.fromhex, tenant.key_digests))
    except ValueError as exc:
        raise errors.ConfigError(
            "a digest of a key isn't hexadecimal",
            key=f"{tenant.name}{customers.KEYS_SUFFIX}",
        ) from exc


def remove_keys(data: bytes) -> bytes:
    """Replace customers' keys by their digests in a valid configuration.

    Hosts keep the result, and send it to those that the store doesn't serve.
    """
    config = _any_decoder.decode(data)
    if not config.get("tenants"):
        return data
    for tenant in config["tenants"]:
        digests = customers.digest_keys(
            tenant["name"], tenant.pop("apiKeys", ())
        )
        if digests:
            known = tenant.get("apiKeyDigests", [])
            tenant["apiKeyDigests"] = [*known, *(d.hex() for d in digests)]
    return msgspec.json.encode(config)


def _to_usage_limit(tenant: _Tenant) -> customers.UsageLimit | None:
    if not tenant.rate:
        return None
    unit: Literal["requests", "tokens"] = (
        "tokens" if tenant.unit == _TOKEN_UNIT else "requests"
    )
    return customers.UsageLimit(
        unit, tenant.rate, tenant.burst, tenant.plain_tokens
    )


def _to_service(service: _Service) -> routes.Service:
    engine = None
    if service.engine is not None:
        engine = routes.EngineSettings(
            slots=service.engine.slots,
            kv_tokens=service.engine.capacity,
            handle_life_s=service.engine.handle_ttl,
        )
    return routes.Service(service.name, service.connections, engine)


def _to_route(route: _Route) -> routes.Route:
    targets: tuple[routes.Target, ...] = tuple(
        routes.Target(split.service, split.weight) for split in route.split
    )
    if not targets and route.service:
        targets = (routes.Target(route.service, 1.0),)
    if not targets:
        raise errors.ConfigError(
            "neither service nor trafficSplit is set",
            file=f"{TABLE}/{KEY}",
            key=f"routes.{route.name}",
        )
    return routes.Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.prefix,
        kind=route.kind,
        targets=targets,
        timeout_s=route.timeout_ms / 1000,
        objective_s=route.target_latency_ms / 1000,
        max_attempts=max(1, route.attempts),
        priority=route.priority,
        is_resumable=route.resumable and route.kind == "stream",
        is_public=route.public,
    )
