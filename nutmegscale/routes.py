"""Routing configuration: routes, services, and the lookup of a route."""

from collections.abc import Iterable
import hashlib
import random
from typing import Literal
from typing import NamedTuple

import msgspec

from nutmegscale import customers
from nutmegscale import http_ingress

# Enough to distinguish the configurations of a few minutes.
DIGEST_BYTES = 8

RouteKind = Literal["safe", "unsafe", "stream"]


class Target(NamedTuple):
    """A service that a route sends requests to.

    Attributes:
      service: Name of the service.
      weight: Its share, relative to the weights of the other targets.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests with a given host name and path prefix are sent.

    Attributes:
      name: Name of the route.
      host: Host name, in lower case.
      path_prefix: Prefix of the path; it starts and ends with "/".
      kind: "safe" if a request may run more than once, "unsafe" if not, or
        "stream".
      targets: Services, with their weights.
      timeout_s: Longest time until the final answer, seconds.
      objective_s: Latency objective of an answer, or of the first event of a
        stream, seconds.
      max_attempts: Number of runs that one request may have.
      priority: Rank; 0 is served first.
      is_resumable: Whether a stream may be resumed on another backend server.
      is_public: Whether requests need no key, where customers have keys.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    is_resumable: bool
    is_public: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or self.is_resumable

    def choose_service(
        self, rng: random.Random, usable: Iterable[str] = ()
    ) -> str:
        """Choose a service at random by the weights of the targets.

        Args:
          rng: Source of random numbers.
          usable: Names of usable services; others are chosen only if no target
            with a weight above 0 is usable.

        Returns:
          The name of the service.
        """
        known = set(usable)
        targets = [t for t in self.targets if t.service in known]
        targets = [t for t in targets or self.targets if t.weight > 0]
        if len(targets) <= 1:
            return (targets or list(self.targets))[0].service
        weights = [t.weight for t in targets]
        return rng.choices(targets, weights)[0].service


class EngineSettings(NamedTuple):
    """Configuration of the model engines of a service.

    Attributes:
      slots: Number of concurrent runs on one engine.
      kv_tokens: Capacity of an engine's KV cache, tokens.
      handle_life_s: How long the KV cache of a finished prefill is kept,
        seconds.
    """

    slots: int
    kv_tokens: int
    handle_life_s: float


class Service(NamedTuple):
    """A service of backend servers.

    Attributes:
      name: Name of the service.
      max_connections: Connections that one backend server accepts.
      engine: Settings of its model engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSettings | None


class RoutingConfig(NamedTuple):
    """One version of the routes, services, limits and customers.

    Attributes:
      version: Its version.
      routes: The routes.
      services: The services by name.
      limits: Limits on callers' requests.
      customer_directory: The customers and their keys; None if requests need
        no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: http_ingress.Limits
    customer_directory: customers.CustomerDirectory | None = None


def resumable_services(config: RoutingConfig) -> frozenset[str]:
    """Return the services with engines or with streams that may be resumed."""
    with_engines = {s.name for s in config.services.values() if s.engine}
    return frozenset(
        with_engines.union(
            target.service
            for route in config.routes
            if route.is_resumable
            for target in route.targets
        )
    )


def stream_digest(config: RoutingConfig) -> str:
    """Return a digest of which services the streams of each path may get."""
    found = sorted(
        (r.host, r.path_prefix, sorted(t.service for t in r.targets))
        for r in config.routes
        if r.kind == "stream"
    )
    return hashlib.blake2b(
        msgspec.json.encode(found), digest_size=DIGEST_BYTES
    ).hexdigest()


class RouteTable:
    """Index that finds a route in time independent of their number."""

    def __init__(self, config: RoutingConfig) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix.

        Args:
          host: Host name in any case, with or without a port.
          path: Path of the request.

        Returns:
          The route; None if none matches.
        """
        prefixes = self._by_host.get(host.partition(":")[0].lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
