"""Which prefix blocks each prefill worker is thought to have cached."""

from collections import OrderedDict
from collections.abc import Iterable

from nutmegscale import worker

MAX_BLOCKS = 512


class PrefixIndex:
    """Prediction of one worker's prefix cache.

    It is filled from what was sent there and refined by cache events, which
    come late and with gaps: after a gap the sent blocks still count.
    """

    def __init__(self, *, max_blocks: int = MAX_BLOCKS) -> None:
        self._blocks: OrderedDict[bytes, None] = OrderedDict()
        self._max_blocks = max_blocks
        self._last_event = 0

    @property
    def last_event(self) -> int:
        """Number of the latest cache event taken in."""
        return self._last_event

    def add(self, blocks: Iterable[bytes]) -> None:
        """Note blocks that were sent to the worker."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def has(self, block: bytes) -> bool:
        """Whether one block is thought to be cached."""
        return block in self._blocks

    def hits(self, blocks: tuple[bytes, ...]) -> int:
        """Count the leading blocks that are thought to be cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def observe(self, last: int, events: Iterable[worker.CacheEvent]) -> None:
        """Take in cache events; a lower number means the worker restarted."""
        if last < self._last_event:
            self._blocks.clear()
        self._last_event = last
        for event in events:
            block = bytes.fromhex(event.digest)
            if event.kind == "add":
                self.add((block,))
            else:
                self._blocks.pop(block, None)
