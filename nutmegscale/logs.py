"""Structured logs: one line of key=value pairs for each event."""

import sys
from typing import Any

import structlog

SECRET_KEYS = frozenset({"authorization", "key", "mesh_key", "operator_token"})


def _drop_secrets(
    logger: Any, method: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    for key in SECRET_KEYS & event.keys():
        event[key] = "***"
    return event


def configure(host: str) -> None:
    """Send every log event to standard error as key=value pairs."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            _drop_secrets,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "event"], bool_as_flag=False
            ),
        ],
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(host=host)


def get() -> Any:
    """Return the logger of the process."""
    return structlog.get_logger()
