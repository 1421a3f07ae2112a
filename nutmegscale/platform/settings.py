"""Settings of a host, from the TOML file that the platform writes."""

import os
import tomllib
from typing import NamedTuple

import msgspec

from nutmegscale import customers
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import memory_budget
from nutmegscale import retry_share

SETTINGS_VARIABLE = "NUTMEGSCALE_SETTINGS"


class HostSettings(NamedTuple):
    """Settings of this host.

    Attributes:
      host: Name of the host.
      failure_domain: Failure domain of the host.
      ip: IP address of the host.
      caller_ip: IP address that the callers' port listens on.
      caller_port: TCP port for callers.
      ready_ip: IP address that the readiness port listens on.
      ready_port: TCP port for the load balancer's readiness probe.
      peer_port: TCP port for messages between hosts; the first of the
        ports that the platform leaves free for them.
      relay_port: TCP port for requests that other hosts pass on; the second of
        these ports. Ports are the same on all hosts.
      link_mbps: Capacity of the machine's network link, Mbit/s.
      store_address: Address of the platform's store, as IP:PORT.
      grace_s: Time from SIGTERM until the process is killed, seconds.
      drain_s: Time after which a draining backend server must receive no
        more requests, seconds.
      retry_limits: Retry budget of each service, over all hosts.
      memory_limits: What callers and servers may hold in memory.
      is_first_start: Whether the whole system starts for the first time.
      quota_rule: How far all hosts may exceed the usage limits of customers.
      is_adaptive: Whether servers that report their pace are chosen by it.
    """

    host: str
    failure_domain: str
    ip: str
    caller_ip: str
    caller_port: int
    ready_ip: str
    ready_port: int
    peer_port: int
    relay_port: int
    link_mbps: float
    store_address: str
    grace_s: float
    drain_s: float
    retry_limits: retry_share.Limits
    memory_limits: memory_budget.MemoryLimits
    is_first_start: bool
    quota_rule: customers.QuotaRule
    is_adaptive: bool = True


class _Listen(msgspec.Struct):
    front: str
    ready: str


class _Store(msgspec.Struct):
    address: str


class _Bounds(msgspec.Struct):
    grace: float = msgspec.field(name="graceS", default=8.0)
    drain_ms: float = msgspec.field(name="drainMs", default=2000.0)
    retry_ratio: float = msgspec.field(name="retryBudgetRatio", default=0.2)
    retry_extra: float = msgspec.field(name="budgetExtra", default=0.0)
    retry_window: float = msgspec.field(name="budgetWindowS", default=10.0)
    quota_window: float = msgspec.field(name="quotaWindowS", default=8.0)
    quota_overshoot: float = msgspec.field(name="quotaOvershoot", default=0.0)
    quota_slack: float = msgspec.field(name="quotaSlack", default=0.0)


class _Limits(msgspec.Struct):
    link_mbps: float = msgspec.field(name="linkMbps", default=1000.0)
    memory_mb: float = msgspec.field(
        name="memoryMb", default=memory_budget.DEFAULT_MEMORY_MB
    )
    max_fds: int = msgspec.field(
        name="maxFds", default=memory_budget.DEFAULT_MAX_FDS
    )
    caller_memory_mb: float = msgspec.field(name="callerMemoryMb", default=0.0)
    caller_connections: int = msgspec.field(name="callerConnections", default=0)
    relay_connections: int = msgspec.field(name="relayConnections", default=0)
    max_header_lines: int = msgspec.field(name="maxHeaderLines", default=0)


class _SettingsFile(msgspec.Struct):
    node: str = msgspec.field(name="nodeName")
    ip: str
    zone: str
    listen: _Listen
    platform: _Store
    ports: tuple[int, int] = msgspec.field(name="internalPorts")
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bootstrap: bool = False
    adaptive_servers: bool = msgspec.field(name="adaptiveServers", default=True)


def load(path: str | None = None) -> HostSettings:
    """Read the settings file.

    Args:
      path: Path of the file; None for the one that the environment variable
        NUTMEGSCALE_SETTINGS names.

    Raises:
      errors.SettingsError: The file can't be read, or a field is missing or
        invalid.
    """
    if path is None:
        path = os.environ.get(SETTINGS_VARIABLE, "")
        if not path:
            raise errors.SettingsError(
                f"{SETTINGS_VARIABLE} isn't set; it must name the settings file"
            )
    try:
        with open(path, "rb") as file:
            parsed = tomllib.load(file)
    except (OSError, ValueError, RecursionError) as exc:
        raise errors.SettingsError(f"{path}: can't be read: {exc}") from exc
    try:
        file_settings = msgspec.convert(parsed, _SettingsFile, strict=True)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    front_ip, front_port = _parse_address(
        path, "listen.front", file_settings.listen.front
    )
    ready_ip, ready_port = _parse_address(
        path, "listen.ready", file_settings.listen.ready
    )
    _parse_address(path, "platform.address", file_settings.platform.address)
    first_port, last_port = file_settings.ports
    if last_port <= first_port:
        raise errors.SettingsError(
            f"{path}: internalPorts: {first_port} to {last_port} are fewer "
            "than two ports"
        )
    bounds = file_settings.bounds
    return HostSettings(
        host=file_settings.node,
        failure_domain=file_settings.zone,
        ip=file_settings.ip,
        caller_ip=front_ip,
        caller_port=front_port,
        ready_ip=ready_ip,
        ready_port=ready_port,
        peer_port=file_settings.ports[0],
        relay_port=file_settings.ports[0] + 1,
        link_mbps=file_settings.limits.link_mbps,
        store_address=file_settings.platform.address,
        grace_s=bounds.grace,
        drain_s=bounds.drain_ms / 1000,
        retry_limits=_retry_limits(path, bounds),
        memory_limits=_memory_limits(path, file_settings.limits),
        is_first_start=file_settings.bootstrap,
        quota_rule=_quota_rule(path, bounds),
        is_adaptive=file_settings.adaptive_servers,
    )


def _memory_limits(path: str, limits: _Limits) -> memory_budget.MemoryLimits:
    """Return the limits of the machine; a setting of 0 is derived from it."""
    for name, value in (
        ("memoryMb", limits.memory_mb),
        ("maxFds", limits.max_fds),
    ):
        if value <= 0:
            raise errors.SettingsError(
                f"{path}: limits.{name}: {value} isn't above 0"
            )
    derived = memory_budget.derive_limits(limits.memory_mb, limits.max_fds)
    stated = {
        "held_bytes": int(limits.caller_memory_mb * memory_budget.MEGABYTE),
        "caller_connections": limits.caller_connections,
        "relay_connections": limits.relay_connections,
        "max_header_lines": limits.max_header_lines,
    }
    for name, number in stated.items():
        if number < 0:
            raise errors.SettingsError(f"{path}: limits: {name} is below 0")
    return derived._replace(**{n: v for n, v in stated.items() if v})


def _retry_limits(path: str, bounds: _Bounds) -> retry_share.Limits:
    window_s = bounds.retry_window
    if window_s <= 0.0:
        raise errors.SettingsError(
            f"{path}: bounds.budgetWindowS: {window_s} isn't above 0"
        )
    return retry_share.Limits(bounds.retry_ratio, bounds.retry_extra, window_s)


def _quota_rule(path: str, bounds: _Bounds) -> customers.QuotaRule:
    rule = customers.QuotaRule(
        bounds.quota_window, bounds.quota_overshoot, bounds.quota_slack
    )
    if not (rule.window_s > 0.0 and min(rule) >= 0.0):
        raise errors.SettingsError(
            f"{path}: bounds: quotaWindowS {rule.window_s:g}, quotaOvershoot "
            f"{rule.overshoot:g}, quotaSlack {rule.slack:g}: the first must be "
            "above 0, the others not below"
        )
    return rule


def _parse_address(path: str, key: str, address: str) -> tuple[str, int]:
    try:
        return decoding.address(address)
    except errors.MalformedDataError as exc:
        raise errors.SettingsError(f"{path}: {key}: {exc}") from exc
