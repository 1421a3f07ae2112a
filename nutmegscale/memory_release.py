"""Gives freed memory back to the system."""

import ctypes
import gc
from typing import Any

# Time for which callers must hold little before memory is given back, seconds.
# Cancelled timers of their connections, up to 15 s long, lie scattered among
# what was freed and keep it from being given back.
CALM_S = 20.0


# Parameter of the C library: size from which on buffers are mapped one by one.
M_MMAP_THRESHOLD = -3
LARGE_BUFFER_BYTES = 256 << 10


def map_large_buffers() -> None:
    """Let large buffers be given back to the system as soon as they are freed.

    Otherwise the C library allocates them from its heap once a few were freed,
    and those that grow fragment it. Does nothing if it has no such parameter.
    """
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)


def find_trim() -> Any:
    """Return the C library's `malloc_trim`; None if it has none."""
    return getattr(ctypes.CDLL(None), "malloc_trim", None)


class MemoryRelease:
    """Gives memory back once callers hold little again after they held much.

    Neither Python nor the C library gives back freed memory that lies among
    memory in use, and Python keeps lists of freed objects until a full garbage
    collection, which takes about 40 ms.

    Args:
      limit: Memory that callers may hold, bytes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._trim = find_trim()
        self._was_high = False
        self._high_at = 0.0

    def record(self, now: float, *, held_bytes: int, peak_bytes: int) -> None:
        """Record what callers hold now, and held at most since the last call.

        Args:
          now: Current time, seconds.
          held_bytes: What they hold, bytes.
          peak_bytes: What they held at most, bytes.
        """
        self._was_high = self._was_high or peak_bytes > self._limit // 2
        if peak_bytes > self._limit // 32 or held_bytes > self._limit // 32:
            self._high_at = now
        if self._was_high and now - self._high_at >= CALM_S:
            self._was_high = False
            gc.collect()
            if self._trim is not None:
                self._trim(0)
