"""Parts of prompts that ran without a crash lately."""

from collections import OrderedDict
from collections.abc import Collection

# Number of parts that are remembered; about 100 bytes each.
CAPACITY = 8_192


class SoundParts:
    """Chooses which parts of a long prompt to suspect; does no I/O.

    Answers crashes under prompts of more parts than a message between hosts
    should name. Parts whose runs got past their beginning are the least likely
    cause.
    """

    def __init__(self, *, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._parts: OrderedDict[bytes, None] = OrderedDict()

    def record(self, parts: Collection[bytes]) -> None:
        """Record that a run with these parts got past its beginning."""
        for part in parts:
            self._parts[part] = None
            self._parts.move_to_end(part)
        while len(self._parts) > self._capacity:
            self._parts.popitem(last=False)

    def least_sound(
        self, parts: tuple[bytes, ...], limit: int
    ) -> tuple[bytes, ...]:
        """Return at most `limit` parts, those that ran soundly last of all."""
        return tuple(sorted(parts, key=self._parts.__contains__)[:limit])
