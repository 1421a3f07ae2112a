"""Index of held slots by stream and by worker; no I/O."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import ValuesView

from nutmegscale import slot_types


class HeldSlots:
    """Index of held slots.

    The cost of a look-up depends on the size of its result only.
    """

    def __init__(self) -> None:
        self._by_exchange: dict[str, slot_types.HeldSlot] = {}
        self._by_decode: dict[str, dict[str, slot_types.HeldSlot]] = {}
        self._queued_tokens: dict[str, int] = {}
        self._customer_tokens: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._by_exchange)

    def get(self, exchange: str) -> slot_types.HeldSlot | None:
        """Return the slot of a stream, or None if it holds none."""
        return self._by_exchange.get(exchange)

    def customer_tokens(self) -> Mapping[str, int]:
        """Return the tokens of the runs of each customer that has any."""
        return self._customer_tokens

    def all(self) -> Iterable[slot_types.HeldSlot]:
        """Return a copy of all held slots; the index may change meanwhile."""
        return list(self._by_exchange.values())

    def runs(self, decode: str) -> ValuesView[slot_types.HeldSlot]:
        """Return the held slots of a decode worker."""
        return self._by_decode.get(decode, {}).values()

    def count(self, decode: str) -> int:
        """Return the number of held slots of a decode worker."""
        return len(self._by_decode.get(decode, ()))

    def queued_tokens(self, prefill: str) -> int:
        """Return the prompt tokens in the queue of a prefill worker."""
        return self._queued_tokens.get(prefill, 0)

    def put(self, held: slot_types.HeldSlot) -> None:
        """Add a slot, or replace the one that its stream held."""
        self.remove(held.exchange)
        self._by_exchange[held.exchange] = held
        self._by_decode.setdefault(held.decode, {})[held.exchange] = held
        if held.prefill:
            tokens = self._queued_tokens.get(held.prefill, 0)
            self._queued_tokens[held.prefill] = tokens + held.prompt_tokens
        self._add_customer_tokens(held.customer, held.tokens)

    def _add_customer_tokens(self, customer: str, tokens: int) -> None:
        left = self._customer_tokens.get(customer, 0) + tokens
        if left > 0:
            self._customer_tokens[customer] = left
        else:
            self._customer_tokens.pop(customer, None)

    def remove(self, exchange: str) -> slot_types.HeldSlot | None:
        """Remove the slot of a stream and return it, None if it held none."""
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
        self._add_customer_tokens(held.customer, -held.tokens)
        return held
