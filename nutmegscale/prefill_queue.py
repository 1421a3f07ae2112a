"""Predicted schedule of one prefill worker and its link.

It is part of the joint planner; the slot queue uses `prefill_workers`.
"""

from collections import OrderedDict
from typing import NamedTuple

from nutmegscale import config
from nutmegscale import placement
from nutmegscale import prefix
from nutmegscale import prompts
from nutmegscale import schedule
from nutmegscale import service_time
from nutmegscale import worker

# Largest planned wait of a prefill result, as a fraction of its TTL.
RESULT_TTL_FRACTION = 0.5
MAX_KNOWN_EXCHANGES = 512
# Mean time of a prefill that is assumed before the first booking, seconds.
INITIAL_PREFILL_S = 0.05
PREFILL_SMOOTHING = 0.1
# Stands for the exchange in the booking of prefills of other planners.
FOREIGN_BOOKING = "~foreign"
# How late the start of a run may be reported before later transfers are
# postponed, seconds.
START_REPORT_GRACE_S = 0.01
# Time after the planned end of a transfer at which its bookings are released
# if no host reported the outcome, seconds.
OVERDUE_S = 3.0


class Proposal(NamedTuple):
    """Planned times of a prefill and its transfer, in seconds.

    Attributes:
      start: Time at which the prefill starts.
      prefill_s: Predicted time of the prefill.
      transfer_at: Time at which the transfer starts.
      transfer_s: Predicted time of the transfer.
      profile_prefill_s: Time of the prefill according to the cost profile.
      profile_transfer_s: Time of the transfer according to the cost profile.
    """

    start: float
    prefill_s: float
    transfer_at: float
    transfer_s: float
    profile_prefill_s: float
    profile_transfer_s: float


class _BookedProposal(NamedTuple):
    """A booked proposal with the total shifts of both schedules at booking.

    Shifts are in seconds.
    """

    proposal: Proposal
    prefill_shift: float
    link_shift: float


class PrefillQueue:
    """Schedules, prefix cache and service times of one prefill worker.

    The predictions are corrected by the observed times of each run, which show
    how fast the worker and its link are, and by load reports, which show
    prefills that other planners placed.

    Attributes:
      prefixes: Predicted content of the worker's prefix cache.
    """

    def __init__(self) -> None:
        self._prefill = schedule.Schedule()
        self._link = schedule.Schedule()
        self._prefill_time_ratio = service_time.ServiceTimeRatio()
        self._transfer_time_ratio = service_time.ServiceTimeRatio()
        self._booked: dict[str, _BookedProposal] = {}
        self._late_exchanges: set[str] = set()
        self._known_exchanges: OrderedDict[str, None] = OrderedDict()
        self._mean_prefill_s = INITIAL_PREFILL_S
        self._foreign_runs: set[str] = set()
        self.prefixes = prefix.PrefixIndex()

    @property
    def busy_until(self) -> float:
        """End of the last booking of the worker or link; 0 without bookings."""
        return max(self._prefill.last_end, self._link.last_end)

    def propose(
        self,
        now: float,
        request: placement.Request,
        engine: config.Engine,
        slot_at: float,
    ) -> Proposal:
        """Find the earliest times for a request.

        The worker keeps a prefill result only for a short time. The prefill is
        postponed if its result would wait for the link and the decode slot for
        more than RESULT_TTL_FRACTION of that time.

        Args:
          now: Monotonic time in seconds.
          request: The request.
          engine: Cost profile of the worker.
          slot_at: Time at which a decode slot is free.

        Returns:
          The proposed times; nothing is booked yet.
        """
        cached_tokens = (
            self.prefixes.hits(request.blocks) * prompts.BLOCK_TOKENS
        )
        uncached_tokens = max(0, request.prompt_tokens - cached_tokens)
        profile_prefill_s = (
            engine["prefill_base_s"]
            + engine["prefill_token_s"] * uncached_tokens
        )
        kv_bytes = request.prompt_tokens * engine["kv_token_bytes"]
        profile_transfer_s = kv_bytes / engine["link_bytes_s"]
        prefill_s = profile_prefill_s * self._prefill_time_ratio.ratio(now)
        transfer_s = profile_transfer_s * self._transfer_time_ratio.ratio(now)
        self._update_prefill_schedule(now)
        self._drop_overdue(now)
        self._link.postpone_overdue(now - START_REPORT_GRACE_S)
        ready = max(now, slot_at - prefill_s)
        start = self._prefill.earliest_start(ready, prefill_s)
        transfer_at = self._link.earliest_start(
            max(start + prefill_s, slot_at), transfer_s
        )
        max_wait_s = engine["kv_ttl_s"] * RESULT_TTL_FRACTION
        if transfer_at - (start + prefill_s) > max_wait_s:
            start = self._prefill.earliest_start(
                transfer_at - max_wait_s - prefill_s, prefill_s
            )
            transfer_at = self._link.earliest_start(
                max(start + prefill_s, transfer_at), transfer_s
            )
        return Proposal(
            start,
            prefill_s,
            transfer_at,
            transfer_s,
            profile_prefill_s,
            profile_transfer_s,
        )

    def book(self, request: placement.Request, proposal: Proposal) -> None:
        """Book the times of a proposal and expect its blocks in the cache."""
        self._prefill.book(proposal.start, proposal.prefill_s, request.exchange)
        self._link.book(
            proposal.transfer_at, proposal.transfer_s, request.exchange
        )
        self._booked[request.exchange] = _BookedProposal(
            proposal, self._prefill.total_shift_s, self._link.total_shift_s
        )
        self._mean_prefill_s += PREFILL_SMOOTHING * (
            proposal.prefill_s - self._mean_prefill_s
        )
        self._known_exchanges[request.exchange] = None
        while len(self._known_exchanges) > MAX_KNOWN_EXCHANGES:
            self._known_exchanges.popitem(last=False)
        self.prefixes.add(request.blocks)

    def record_late_prefill(self, exchange: str) -> None:
        """Record that a prefill wasn't done at its predicted time."""
        if exchange in self._booked:
            self._late_exchanges.add(exchange)

    def _update_prefill_schedule(self, now: float) -> None:
        """Release prefills past their end; postpone all from a late one on."""
        first = self._prefill.first
        while first is not None and first.end <= now:
            if first.exchange in self._late_exchanges:
                self._prefill.postpone_overdue(now)
                return
            self._prefill.release(first.exchange)
            first = self._prefill.first

    def _drop_overdue(self, now: float) -> None:
        """Release bookings whose outcome no host reported within OVERDUE_S."""
        for exchange, booked in list(self._booked.items()):
            times = booked.proposal
            end = times.transfer_at + times.transfer_s
            if now - end > OVERDUE_S:
                self.release(exchange)

    def release(self, exchange: str) -> None:
        """Release the bookings of an exchange that didn't start."""
        if self._booked.pop(exchange, None) is not None:
            self._late_exchanges.discard(exchange)
            self._prefill.release(exchange)
            self._link.release(exchange)

    def record_start(
        self, now: float, exchange: str, prefill_s: float, transfer_s: float
    ) -> float | None:
        """Correct the predictions by the times of a run that started.

        Args:
          now: Time at which the transfer ended.
          exchange: Exchange of the run.
          prefill_s: Time from the prefill request to its result, seconds.
          transfer_s: Time from the result to the end of the transfer, seconds.

        Returns:
          Delay of the run against its prediction, in seconds, beyond the
          shifts since its booking, which later plans already include; None if
          it wasn't booked here.
        """
        booked = self._booked.pop(exchange, None)
        if booked is None:
            return None
        self._late_exchanges.discard(exchange)
        proposal = booked.proposal
        ready = now - transfer_s
        self._prefill_time_ratio.observe(
            now, ready - prefill_s, ready, proposal.profile_prefill_s
        )
        self._transfer_time_ratio.observe(
            now, ready, now, proposal.profile_transfer_s
        )
        prefill_late_s = ready - (proposal.start + proposal.prefill_s)
        link_late_s = now - (proposal.transfer_at + proposal.transfer_s)
        prefill_late_s -= self._prefill.total_shift_s - booked.prefill_shift
        link_late_s -= self._link.total_shift_s - booked.link_shift
        self._prefill.shift(prefill_late_s)
        self._link.shift(link_late_s)
        self._prefill.release(exchange)
        self._link.release(exchange)
        return link_late_s

    def observe(self, now: float, report: worker.Report) -> None:
        """Apply a load report.

        Prefills that other planners placed are booked as one backlog. Those
        that no earlier report listed postpone this planner's bookings.
        """
        self.prefixes.observe(report.cache_last, report.cache_events)
        foreign = {
            run.run_id
            for run in report.running
            if run.phase == "prefill"
            and worker.exchange_of(run.run_id) not in self._known_exchanges
        }
        added = foreign - self._foreign_runs
        self._foreign_runs = foreign
        self._prefill.release(FOREIGN_BOOKING)
        if foreign:
            self._update_prefill_schedule(now)
            self._prefill.shift(len(added) * self._mean_prefill_s)
            backlog_s = len(foreign) * self._mean_prefill_s
            self._prefill.book(now, backlog_s, FOREIGN_BOOKING)
