"""What passes between those who want decode slots and their planner."""

from typing import NamedTuple


class SlotRequest(NamedTuple):
    """A stream that wants a slot; times are the queue's own clock.

    Attributes:
      exchange: Unique name of the request at its host.
      host: Host that serves it.
      prompt_tokens: Length of the prompt.
      expected_tokens: Expected length of the answer.
      priority: Rank, 0 first.
      requested_at: When its caller sent it first, to a host of the system.
      in_time_by: Time until which its first event is on time.
      give_up_at: Time after which a first event reaches nobody.
      avoid: Ids of decode workers that must not be used.
      local_prefill: Whether the decode worker shall read the prompt.
      content: Digest of what is asked, "" if it can't be known again.
    """

    exchange: str
    host: str
    prompt_tokens: int
    expected_tokens: int
    priority: int
    requested_at: float
    in_time_by: float
    give_up_at: float
    avoid: tuple[str, ...] = ()
    local_prefill: bool = False
    content: str = ""


class HeldSlot(NamedTuple):
    """A slot that a stream holds.

    Attributes:
      exchange: The stream.
      host: Host that serves it.
      decode: Decode worker.
      prefill: Prefill worker while it reads the prompt, else "".
      prompt_tokens: Length of the prompt.
      expected_tokens: Expected length of the answer.
      since: When the slot was given.
      confirmed: When its host last listed it.
      queued_tokens: Prompt tokens that the prefill worker was to read until
        the end of this prompt, when the slot was given.
    """

    exchange: str
    host: str
    decode: str
    prefill: str
    prompt_tokens: int
    expected_tokens: int
    since: float
    confirmed: float
    queued_tokens: int = 0


class Grant(NamedTuple):
    """Where a stream runs.

    Attributes:
      exchange: The stream.
      host: Host that serves it.
      prefill: Prefill worker; "" where the decode worker reads the prompt.
      decode: Decode worker.
      prefill_s: Time until the prompt is expected to be read.
    """

    exchange: str
    host: str
    prefill: str
    decode: str
    prefill_s: float = 0.0


class Refusal(NamedTuple):
    """A stream that gets no slot in time.

    Attributes:
      exchange: The stream.
      host: Host that serves it.
      retry_after_s: When its caller shall come back.
      reason: Why it is refused.
      waiting: Number of streams that waited then.
      held: Number of slots that were held then.
      rate: Streams that came in each second of late.
    """

    exchange: str
    host: str
    retry_after_s: float
    reason: str
    waiting: int = 0
    held: int = 0
    rate: float = 0.0


Decision = Grant | Refusal
