"""Gives freed memory back to the system."""

import ctypes
from typing import Any


def find_trim() -> Any:
    """Return the C library's `malloc_trim`; None if it has none."""
    return getattr(ctypes.CDLL(None), "malloc_trim", None)


class MemoryRelease:
    """Gives memory back once callers hold little again after they held much.

    The C library keeps freed memory below memory in use; a host that was full
    for a moment would look full for days.

    Args:
      limit: Memory that callers may hold, bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._trim = find_trim()
        self._was_high = False

    def record(self, held_bytes: int, peak_bytes: int) -> None:
        """Record what callers hold now, and held at most since then, bytes."""
        self._was_high = self._was_high or peak_bytes > self._limit // 4
        if self._was_high and held_bytes < self._limit // 32:
            self._was_high = False
            if self._trim is not None:
                self._trim(0)
