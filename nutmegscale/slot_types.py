"""Requests for decode slots, and the planner's decisions on them."""

from typing import NamedTuple


class SlotRequest(NamedTuple):
    """A stream's request for a slot; times in seconds, by the queue's clock.

    Attributes:
      exchange: Unique name of the stream's request at its host.
      host: Host that serves the stream.
      prompt_tokens: Length of the prompt, tokens.
      expected_tokens: Expected length of the answer, tokens.
      priority: Priority among streams that can be in time; 0 is served first.
      requested_at: When the caller first sent the request to any host.
      in_time_by: Latest time at which the first event is still in time.
      give_up_at: Time at which the caller stops waiting for the first event.
      avoid: Ids of decode workers that must not be used.
      local_prefill: Whether the decode worker must prefill the prompt.
      content: Digest of the request's content, by which a retry is
        recognized; "" if there is none.
      failure_domain: Failure domain of the host; "" if it is unknown.
      version: Software version that the decode worker must have, since it began
        the stream; "" for any.
      submitted_at: When the queue got this request first.
      customer: Name of the stream's customer; "" if it has none or if its host
        is of an earlier build.
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
    failure_domain: str = ""
    version: str = ""
    submitted_at: float = 0.0
    customer: str = ""

    @property
    def tokens(self) -> int:
        """Length of the prompt and expected length of the answer, tokens."""
        return self.prompt_tokens + self.expected_tokens


class HeldSlot(NamedTuple):
    """A slot that a stream holds; times in seconds, by the queue's clock.

    Attributes:
      exchange: The stream.
      host: Host that serves it.
      decode: Decode worker.
      prefill: Prefill worker; "" once the prefill has ended, if the decode
        worker prefills the prompt, or if the slot comes from a host's list.
      prompt_tokens: Length of the prompt, tokens.
      expected_tokens: Expected length of the answer, tokens.
      since: When the slot was granted; once the prefill has ended, when it
        ended.
      confirmed: When the host last listed the slot, or when it was granted if
        the host hasn't listed it yet.
      queued_tokens: Tokens in the queue of the prefill worker when the slot
        was granted, those of this prompt included; 0 without such a worker.
      permitted: Workers that state a limit and for which a permit was used.
      customer: Name of the stream's customer; "" if it has none, or if the slot
        comes from a host's list.
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
    permitted: tuple[str, ...] = ()
    customer: str = ""

    @property
    def tokens(self) -> int:
        """Length of the prompt and expected length of the answer, tokens."""
        return self.prompt_tokens + self.expected_tokens


class Grant(NamedTuple):
    """The workers that a stream runs on.

    Attributes:
      exchange: The stream.
      host: Host that serves it.
      prefill: Prefill worker; "" if the decode worker prefills the prompt.
      decode: Decode worker.
      prefill_s: Expected time until the end of the prefill, seconds; 0 if the
        decode worker prefills the prompt.
      permitted: Workers that state a limit and for which a permit was used.
      customer: Name of the stream's customer; "" if it has none.
    """

    exchange: str
    host: str
    prefill: str
    decode: str
    prefill_s: float = 0.0
    permitted: tuple[str, ...] = ()
    customer: str = ""


class Refusal(NamedTuple):
    """Refusal of a stream that gets no slot in time.

    Attributes:
      exchange: The stream.
      host: Host that serves it.
      retry_after_s: Time after which the caller should retry, seconds.
      reason: "no_slot_in_time", "no_decode_worker" or
        "no_worker_of_version".
      waiting: Number of other streams in the queue at the time of the refusal.
      held: Number of slots held at the time of the refusal.
      rate: Recent arrivals of streams per second.
      customer: Name of the stream's customer; "" if it has none.
      is_above_share: Whether the customer asked for more than its share of the
        engines' memory.
    """

    exchange: str
    host: str
    retry_after_s: float
    reason: str
    waiting: int = 0
    held: int = 0
    rate: float = 0.0
    customer: str = ""
    is_above_share: bool = False


Decision = Grant | Refusal
