"""Forecast of the time from the grant of a slot to the first event; no I/O."""

from typing import NamedTuple

from nutmegscale import slot_types

# Time from the grant to the first event, without the prefill, seconds: three
# trips between hosts and workers, a transfer and the first decode step.
FIRST_EVENT_OVERHEAD_S = 0.08


class PrefillForecast(NamedTuple):
    """Time until a new prompt is prefilled.

    Attributes:
      wait_s: Time until its prefill begins, seconds.
      token_s: Time of each of its tokens, seconds.
    """

    wait_s: float
    token_s: float

    def prefill_s(self, tokens: int) -> float:
        """Return the time until a prompt is prefilled, seconds."""
        return self.wait_s + tokens * self.token_s


class FirstEventForecast(NamedTuple):
    """Forecast for all streams that may be granted a slot at a moment.

    Attributes:
      prefill: Prefill at the worker that is free first; a local one if there is
        none.
      local: Prefill by the decode worker itself.
    """

    prefill: PrefillForecast
    local: PrefillForecast

    def first_event_s(self, request: slot_types.SlotRequest) -> float:
        """Return the expected time from a grant to the first event, seconds."""
        prefill = self.local if request.local_prefill else self.prefill
        return FIRST_EVENT_OVERHEAD_S + prefill.prefill_s(request.prompt_tokens)
