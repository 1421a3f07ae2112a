"""What a router is given: facts of its host, and wire forms."""

from collections.abc import Callable
from typing import NamedTuple

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import routes
from nutmegscale import row_store


class RouterSettings(NamedTuple):
    """What a host knows of itself when it starts.

    Attributes:
      host: Its name, unique among the hosts.
      failure_domain: Where it stands.
      peer_address: Where its peers reach it.
      link_mbps: What its link carries, Mbit/s.
      grace_s: Longest graceful shutdown, seconds.
      retry_ratio: Repeats for each request of a service, over all hosts.
      retry_extra: Repeats beside that in each window, over all hosts.
      retry_window_s: Length of that window, seconds.
    """

    host: str
    failure_domain: str
    peer_address: str
    link_mbps: float
    grace_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float


class Codecs(NamedTuple):
    """Wire forms and formats of a deployment.

    Attributes:
      callers: Wire form between callers and hosts.
      servers: Wire form between hosts and backend servers.
      decode_config: Decodes a routing configuration.
      config_table: Table of the store that holds it.
      config_key: Its key there.
      decode_entry: Decodes the entry of a backend server.
      entry_table: Table of the store that holds the entries.
    """

    callers: caller_request.CallerCodec
    servers: caller_request.ServerCodec
    decode_config: Callable[[bytes], routes.RoutingConfig]
    config_table: str
    config_key: str
    decode_entry: Callable[[row_store.Row], backend.Backend]
    entry_table: str
