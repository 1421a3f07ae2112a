"""Settings of a host from a file in JSON with comments, validated."""

from typing import NotRequired
from typing import TypedDict

import msgspec

from nutmegscale import errors
from nutmegscale import jsonc

DEFAULT_LISTEN_IP = "127.0.0.1"
DEFAULT_DRAIN_LIMIT_S = 30.0
DEFAULT_PROBE_PERIOD_S = 0.8
DEFAULT_CONFIG_POLL_S = 1.5
DEFAULT_HOST_LIST_POLL_S = 2.0
DEFAULT_REPORT_POLL_S = 0.5
MIN_KEY_HEX_DIGITS = 32


class Settings(TypedDict):
    """Settings of one entry host.

    Attributes:
      host: Name of this entry host, unique in the deployment.
      failure_domain: Failure domain of this host.
      listen_ip: IP address that the ports listen on.
      caller_port: TCP port for callers.
      operator_port: TCP port for operators.
      mesh_address: Address for peer hosts, as tcp://IP:PORT.
      mesh_key: Shared key of the hosts, at least 32 lower-case hex digits.
      operator_token: Bearer token that operators must send.
      platform_url: Base URL of the platform.
      drain_limit_s: Longest graceful shutdown, seconds.
      probe_period_s: Time between two membership probes, seconds.
      config_poll_s: Time between two polls of the configuration's revision,
        seconds.
      host_list_poll_s: Time between two polls of the host list, seconds.
      report_poll_s: Time between two polls of a busy worker's report, seconds;
        an idle worker is polled less often.
    """

    host: str
    failure_domain: str
    listen_ip: NotRequired[str]
    caller_port: int
    operator_port: int
    mesh_address: str
    mesh_key: str
    operator_token: str
    platform_url: str
    drain_limit_s: NotRequired[float]
    probe_period_s: NotRequired[float]
    config_poll_s: NotRequired[float]
    host_list_poll_s: NotRequired[float]
    report_poll_s: NotRequired[float]


_DEFAULTS: Settings = {  # type: ignore[typeddict-item]
    "listen_ip": DEFAULT_LISTEN_IP,
    "drain_limit_s": DEFAULT_DRAIN_LIMIT_S,
    "probe_period_s": DEFAULT_PROBE_PERIOD_S,
    "config_poll_s": DEFAULT_CONFIG_POLL_S,
    "host_list_poll_s": DEFAULT_HOST_LIST_POLL_S,
    "report_poll_s": DEFAULT_REPORT_POLL_S,
}


def with_defaults(given: Settings) -> Settings:
    """Return the settings with defaults for the optional keys left out."""
    return {**_DEFAULTS, **given}


def load(path: str) -> Settings:
    """Read a settings file.

    Raises:
      errors.SettingsError: The file can't be read, a key is unknown or
        missing, or a value is invalid; the message names the file and, where
        known, the line and the key.
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.SettingsError(f"{path}: can't be read: {exc}") from exc
    try:
        parsed = jsonc.parse(text, path)
    except errors.ConfigError as exc:
        raise errors.SettingsError(str(exc)) from exc
    return _check(parsed, path)


def _check(parsed: jsonc.Parsed, path: str) -> Settings:
    if isinstance(parsed.value, dict):
        for key in parsed.value:
            if key not in Settings.__annotations__:
                line = parsed.lines[(key,)]
                raise errors.SettingsError(f"{path}:{line}: {key}: unknown key")
    try:
        settings = msgspec.convert(parsed.value, Settings, strict=True)
    except msgspec.ValidationError as exc:
        raise errors.SettingsError(f"{path}: {exc}") from exc
    key = settings["mesh_key"]
    if len(key) < MIN_KEY_HEX_DIGITS or set(key) - set("0123456789abcdef"):
        raise errors.SettingsError(
            f"{path}: mesh_key: must be at least {MIN_KEY_HEX_DIGITS}"
            " lower-case hex digits"
        )
    for name, value in settings.items():
        is_number = isinstance(value, int | float)
        if is_number and value <= 0:  # type: ignore[operator]
            raise errors.SettingsError(
                f"{path}: {name}: must be above 0, not {value}"
            )
    return settings
