"""Slots that streams hold, by stream and by worker; pure."""

from collections.abc import Iterable
from collections.abc import ValuesView

from nutmegscale import slot_types


class HeldSlots:
    """Index of held slots; each look-up takes time of its own answer only."""

    def __init__(self) -> None:
        self._by_exchange: dict[str, slot_types.HeldSlot] = {}
        self._by_decode: dict[str, dict[str, slot_types.HeldSlot]] = {}
        self._queued_tokens: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._by_exchange)

    def get(self, exchange: str) -> slot_types.HeldSlot | None:
        """Return the slot of a stream."""
        return self._by_exchange.get(exchange)

    def all(self) -> Iterable[slot_types.HeldSlot]:
        """Return every slot that is held; it may be changed meanwhile."""
        return list(self._by_exchange.values())

    def runs(self, decode: str) -> ValuesView[slot_types.HeldSlot]:
        """Return the slots of a decode worker that are held."""
        return self._by_decode.get(decode, {}).values()

    def count(self, decode: str) -> int:
        """Count the slots of a decode worker that are held."""
        return len(self._by_decode.get(decode, ()))

    def queued_tokens(self, prefill: str) -> int:
        """Return the prompt tokens that a prefill worker has to read."""
        return self._queued_tokens.get(prefill, 0)

    def put(self, held: slot_types.HeldSlot) -> None:
        """Add a slot, or replace what its stream held."""
        self.remove(held.exchange)
        self._by_exchange[held.exchange] = held
        self._by_decode.setdefault(held.decode, {})[held.exchange] = held
        if held.prefill:
            tokens = self._queued_tokens.get(held.prefill, 0)
            self._queued_tokens[held.prefill] = tokens + held.prompt_tokens

    def remove(self, exchange: str) -> slot_types.HeldSlot | None:
        """Free the slot of a stream and return it."""
        held = self._by_exchange.pop(exchange, None)
        if held is None:
            return None
        runs = self._by_decode[held.decode]
        del runs[exchange]
        if not runs:
            del self._by_decode[held.decode]
        if held.prefill:
            left = self._queued_tokens[held.prefill] - held.prompt_tokens
            if left > 0:
                self._queued_tokens[held.prefill] = left
            else:
                del self._queued_tokens[held.prefill]
        return held
