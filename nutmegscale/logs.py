"""Structured logging: one line of key=value pairs per event."""

import os
import time
from typing import Any

import structlog

from nutmegscale import log_sink

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
SECRET_KEYS = frozenset({"authorization", "key", "mesh_key", "operator_token"})


def _drop_secrets(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for key in SECRET_KEYS & event.keys():
        event[key] = "***"
    return event


def configure(host: str, *, descriptor: int = STANDARD_ERROR) -> None:
    """Configure the process to log key=value lines to a file descriptor.

    The descriptor is made non-blocking, so that a stalled reader doesn't block
    the process.

    Args:
      host: Name of this host, added to each line.
      descriptor: Number of standard output or standard error.
    """
    os.set_blocking(descriptor, False)
    sink: Any = log_sink.LogSink(descriptor)
    limit = log_sink.LineLimit(
        time.monotonic,
        on_dropped=lambda count: get().warning(
            "log_lines_left_out", count=count
        ),
    )
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            limit,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _drop_secrets,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        logger_factory=structlog.WriteLoggerFactory(sink),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)


def get() -> Any:
    """Return the logger of the process."""
    return structlog.get_logger()
