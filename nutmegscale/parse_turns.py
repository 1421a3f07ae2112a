"""Shares the event loop among connections whose data is costly to parse.

Answers bodies in chunks of a byte or two: 4 MB of them take seconds to parse,
and the callers of all other connections would wait.
"""

from collections import deque
from collections.abc import Callable
from typing import Any

# Time for which the work below counts, seconds.
TURN_S = 0.01
# Callbacks of the parser that all connections may cause in a turn; they take
# about half of it.
MAX_WORK = 8_192


class ParseTurns:
    """Queue of connections that have more data to parse.

    Args:
      clock: Twisted clock.
    """

    def __init__(self, clock: Any) -> None:
        self._clock = clock
        self._work = 0
        self._began_at = float(clock.seconds())
        self._waiting: deque[Callable[[], None]] = deque()
        self._is_scheduled = False

    def may_parse(self) -> bool:
        """Whether a connection may parse now; otherwise it waits."""
        now = float(self._clock.seconds())
        if now - self._began_at >= TURN_S:
            self._began_at = now
            self._work = 0
        return self._work < MAX_WORK

    def record(self, work: int) -> None:
        """Record work.

        Args:
          work: Callbacks that the parser made.
        """
        self._work += work

    def wait(self, resume: Callable[[], None]) -> None:
        """Call a function when it is its turn."""
        self._waiting.append(resume)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            self._clock.callLater(TURN_S, self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        # Those that wait again meanwhile do so for the next turn.
        for _ in range(len(self._waiting)):
            if not self.may_parse():
                break
            self._waiting.popleft()()
        if self._waiting:
            self._schedule()
