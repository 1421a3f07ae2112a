"""Router for inference with separate prefill and decode workers."""

__version__ = "0.1.0"
