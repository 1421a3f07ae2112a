"""What a router is configured with: its settings and the codecs."""

from collections.abc import Callable
from typing import NamedTuple

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import customers
from nutmegscale import retry_share
from nutmegscale import routes
from nutmegscale import row_store


class RouterSettings(NamedTuple):
    """Identity and limits of a host.

    Attributes:
      host: Name of the host, unique among the hosts.
      failure_domain: Failure domain of the host.
      peer_address: Address at which its peers reach it.
      link_mbps: Capacity of its network link, Mbit/s.
      grace_s: Longest graceful shutdown, seconds.
      retry_limits: Retry budget of each service, over all hosts.
      is_first_start: Whether the whole system starts for the first time.
      relay_address_of: Returns where a host takes the requests that others pass
        on, given the address at which its peers reach it.
      quota_rule: How far all hosts may exceed the usage limits of customers.
      is_adaptive: Whether servers of services without engines that report their
        pace are chosen by it, within limits of their own.
    """

    host: str
    failure_domain: str
    peer_address: str
    link_mbps: float
    grace_s: float
    retry_limits: retry_share.Limits
    relay_address_of: Callable[[str], str]
    is_first_start: bool = False
    quota_rule: customers.QuotaRule = customers.QuotaRule()
    is_adaptive: bool = True


class Codecs(NamedTuple):
    """Codecs and table names of a deployment.

    Attributes:
      callers: Codec for requests and answers of callers.
      servers: Codec for calls to backend servers.
      decode_config: Decodes a routing configuration.
      remove_keys: Replaces customers' keys by digests in a valid one.
      config_table: Table of the store that holds the configuration.
      config_key: Key of the configuration in that table.
      decode_entry: Decodes the entry of a backend server.
      entry_table: Table of the store that holds the entries.
    """

    callers: caller_request.CallerCodec
    servers: caller_request.ServerCodec
    decode_config: Callable[[bytes], routes.RoutingConfig]
    remove_keys: Callable[[bytes], bytes]
    config_table: str
    config_key: str
    decode_entry: Callable[[row_store.Row], backend.Backend]
    entry_table: str
