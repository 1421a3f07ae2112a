"""Circuit breaker for calls to the platform."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any
from typing import TypeVar

from nutmegscale import errors
from nutmegscale import platform_service

FAILURES_TO_OPEN = 2
RETRY_PERIOD_S = 0.5

_T = TypeVar("_T")


class PlatformCircuitBreaker:
    """Wraps a `platform_service.Platform` and fails fast while it is down.

    After FAILURES_TO_OPEN consecutive failures the circuit is open: operations
    fail at once, except one in each RETRY_PERIOD_S that tests whether the
    platform is reachable again. One success closes the circuit.
    """

    def __init__(
        self, inner: platform_service.Platform, now: Callable[[], float]
    ) -> None:
        self._inner = inner
        self._now = now
        self._failures = 0
        self._next_retry_at = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the circuit is open, so that operations fail at once."""
        return self._failures >= FAILURES_TO_OPEN

    async def _call(self, operation: Callable[[], Awaitable[_T]]) -> _T:
        if self.is_open:
            if self._now() < self._next_retry_at:
                raise errors.PlatformUnavailableError(
                    f"platform unreachable, {self._failures} failures in a row"
                )
            self._next_retry_at = self._now() + RETRY_PERIOD_S
        try:
            result = await operation()
        except errors.PlatformUnavailableError:
            self._failures += 1
            self._next_retry_at = self._now() + RETRY_PERIOD_S
            raise
        self._failures = 0
        return result

    async def read(
        self, key: str, known_version: int = 0
    ) -> platform_service.Row:
        """Read a row; see `platform_service.Platform`."""
        return await self._call(lambda: self._inner.read(key, known_version))

    async def write(
        self, key: str, expect_version: int, value: bytes
    ) -> platform_service.Written | platform_service.Conflict:
        """Write a row; see `platform_service.Platform`."""
        return await self._call(
            lambda: self._inner.write(key, expect_version, value)
        )

    async def put_object(self, name: str, content: bytes) -> None:
        """Store an object; see `platform_service.Platform`."""
        await self._call(lambda: self._inner.put_object(name, content))

    async def get_object(self, name: str) -> bytes | None:
        """Read an object; see `platform_service.Platform`."""
        return await self._call(lambda: self._inner.get_object(name))

    async def hosts(self) -> list[dict[str, Any]] | None:
        """Read the host list; see `platform_service.Platform`."""
        return await self._call(lambda: self._inner.hosts())
