"""Index of the prefix blocks that a prefill worker probably has cached."""

from collections import OrderedDict
from collections.abc import Iterable

from nutmegscale import worker

# Number of blocks that are kept; the least recently added are dropped first.
MAX_BLOCKS = 512


class PrefixIndex:
    """Prediction of one worker's prefix cache.

    It holds the blocks of prompts that were sent to the worker, and is
    corrected by cache events. Events arrive late and with gaps; after a gap
    the blocks that were sent still count as cached.
    """

    def __init__(self, *, max_blocks: int = MAX_BLOCKS) -> None:
        self._blocks: OrderedDict[bytes, None] = OrderedDict()
        self._max_blocks = max_blocks
        self._last_event = 0

    @property
    def last_event(self) -> int:
        """Number of the latest cache event that was applied."""
        return self._last_event

    def add(self, blocks: Iterable[bytes]) -> None:
        """Add blocks that were sent to the worker."""
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._max_blocks:
            self._blocks.popitem(last=False)

    def has(self, block: bytes) -> bool:
        """Whether a block is probably cached."""
        return block in self._blocks

    def hits(self, blocks: tuple[bytes, ...]) -> int:
        """Return the number of leading blocks that are probably cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            count += 1
        return count

    def observe(self, last: int, events: Iterable[worker.CacheEvent]) -> None:
        """Apply cache events; a lower number means the worker restarted.

        Args:
          last: Number of the latest event of the worker.
          events: Events since the last call.
        """
        if last < self._last_event:
            self._blocks.clear()
        self._last_event = last
        for event in events:
            block = bytes.fromhex(event.digest)
            if event.kind == "add":
                self.add((block,))
            else:
                self._blocks.pop(block, None)
