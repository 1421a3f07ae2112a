"""Routes and services that the configuration in force names."""

from collections.abc import Iterable
import random
from typing import Literal
from typing import NamedTuple

from nutmegscale import http_ingress

RouteKind = Literal["safe", "unsafe", "stream"]


class Target(NamedTuple):
    """A service that a route sends to, and its share of the route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host name and path go.

    Attributes:
      name: Name of the route.
      host: Host name, in lower case.
      path_prefix: Beginning of the path; it starts and ends with "/".
      kind: Whether its requests may be repeated, or are streams.
      targets: Services, with their shares.
      timeout_s: Longest time until the final answer.
      objective_s: Time within which an answer is on time; for a stream its
        first event.
      max_attempts: Backend servers that one request may be run on.
      priority: Rank, 0 first.
      is_resumable: Whether a stream may go on at another backend server.
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

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind == "safe" or self.is_resumable

    def choose_service(
        self, rng: random.Random, usable: Iterable[str] = ()
    ) -> str:
        """Choose a service by the shares, among the usable ones if any is."""
        known = set(usable)
        targets = [t for t in self.targets if t.service in known]
        targets = [t for t in targets or self.targets if t.weight > 0]
        if len(targets) <= 1:
            return (targets or list(self.targets))[0].service
        weights = [t.weight for t in targets]
        return rng.choices(targets, weights)[0].service


class EngineSettings(NamedTuple):
    """What the configuration says of the model engines of a service.

    Attributes:
      slots: Runs at once on one engine.
      kv_tokens: Tokens that an engine's memory holds.
      handle_life_s: How long the KV cache of a finished prefill is kept.
    """

    slots: int
    kv_tokens: int
    handle_life_s: float


class Service(NamedTuple):
    """A service of backend servers.

    Attributes:
      name: Name of the service.
      max_connections: Connections that one backend server takes.
      engine: Figures of its model engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSettings | None


class RoutingConfig(NamedTuple):
    """Routes, services and limits of one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: http_ingress.Limits


class RouteTable:
    """Finds routes in time independent of their number."""

    def __init__(self, config: RoutingConfig) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
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
