"""All codecs of the platform, in the form that a router is given them."""

from nutmegscale import router_settings
from nutmegscale.platform import ingress
from nutmegscale.platform import routing_config
from nutmegscale.platform import worker_calls
from nutmegscale.platform import worker_entries


def make_codecs() -> router_settings.Codecs:
    """Make the codecs of the platform."""
    return router_settings.Codecs(
        callers=ingress.CallerCodec(),
        servers=worker_calls.ServerCodec(),
        decode_config=routing_config.decode,
        remove_keys=routing_config.remove_keys,
        config_table=routing_config.TABLE,
        config_key=routing_config.KEY,
        decode_entry=worker_entries.decode,
        entry_table=worker_entries.TABLE,
    )
