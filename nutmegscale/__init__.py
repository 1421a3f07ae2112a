"""Router for separate prefill and decode pools, and its coordination parts."""

__version__ = "0.1.0"
