"""Slot ledger: a planner's reservations of decode slots."""

from typing import NamedTuple

from nutmegscale import worker

# A started run is expected in the reports after this time, since they lag.
REPORT_GRACE_S = 1.5
# Assumed remaining duration of a run that another planner placed, from its
# first report.
FOREIGN_RUN_DURATION_S = 2.0


class Reservation(NamedTuple):
    """A slot of one decode worker, held for an exchange; times in seconds.

    Attributes:
      exchange: Exchange that holds it.
      caller: Caller of the exchange.
      worker: Name of the decode worker.
      first_token_at: Predicted time of the first token.
      tokens: Predicted number of tokens.
      expires: Time at which it expires unless the run has started.
      started: Time at which the run started, or None.
      suspect: Whether its content was running on a worker that crashed.
    """

    exchange: str
    caller: str
    worker: str
    first_token_at: float
    tokens: float
    expires: float
    started: float | None
    suspect: bool


class Ledger:
    """Reservations of the slots of each decode worker.

    Load reports correct it: a reported run that the ledger doesn't know counts
    as a held slot, and a started run that a later report doesn't list is
    dropped. The ledger is only a prediction; the engine decides.
    """

    def __init__(self) -> None:
        self._by_exchange: dict[str, Reservation] = {}
        self._by_worker: dict[str, dict[str, Reservation]] = {}
        self._foreign_runs: dict[str, dict[str, float]] = {}
        self._foreign_exchanges: set[str] = set()

    def reserve(self, reservation: Reservation) -> None:
        """Reserve a slot and release an earlier one of the same exchange."""
        self.release(reservation.exchange)
        self._put(reservation)

    def _put(self, reservation: Reservation) -> None:
        self._by_exchange[reservation.exchange] = reservation
        held = self._by_worker.setdefault(reservation.worker, {})
        held[reservation.exchange] = reservation

    def get(self, exchange: str) -> Reservation | None:
        """Return the reservation of an exchange, or None."""
        return self._by_exchange.get(exchange)

    def record_start(self, now: float, exchange: str) -> None:
        """Record that the run of an exchange started."""
        held = self._by_exchange.get(exchange)
        if held is not None and held.started is None:
            self._put(held._replace(started=now))

    def clear_suspect(self, exchange: str) -> None:
        """Clear the suspicion of an exchange."""
        held = self._by_exchange.get(exchange)
        if held is not None:
            self._put(held._replace(suspect=False))

    def release(self, exchange: str) -> Reservation | None:
        """Release the slot of an exchange; return its reservation, or None."""
        held = self._by_exchange.pop(exchange, None)
        if held is not None:
            self._by_worker[held.worker].pop(exchange, None)
        if exchange in self._foreign_exchanges:
            self._foreign_exchanges.discard(exchange)
            for runs in self._foreign_runs.values():
                runs.pop(exchange, None)
        return held

    def drop_worker(self, name: str) -> list[Reservation]:
        """Release every slot of a worker and return the reservations."""
        self._foreign_runs.pop(name, None)
        held = list(self._by_worker.pop(name, {}).values())
        for reservation in held:
            self._by_exchange.pop(reservation.exchange, None)
        return held

    def expire(self, now: float) -> None:
        """Release expired reservations whose run never started."""
        for held in list(self._by_exchange.values()):
            if held.started is None and held.expires <= now:
                self.release(held.exchange)

    def observe(self, now: float, name: str, report: worker.Report) -> None:
        """Correct the reservations by a load report of a worker."""
        listed = {
            worker.exchange_of(run.run_id)
            for run in report.running
            if run.phase == "decode"
        }
        held = self._by_worker.get(name, {})
        for reservation in list(held.values()):
            started = reservation.started
            is_old = started is not None and started < now - REPORT_GRACE_S
            if is_old and reservation.exchange not in listed:
                self.release(reservation.exchange)
        known = self._foreign_runs.get(name, {})
        foreign = listed - self._by_exchange.keys()
        if foreign or known:
            self._foreign_runs[name] = {
                exchange: known.get(exchange, now + FOREIGN_RUN_DURATION_S)
                for exchange in foreign
            }
            self._foreign_exchanges = {
                exchange
                for runs in self._foreign_runs.values()
                for exchange in runs
            }

    def count(self, name: str) -> int:
        """Count the held slots of a worker, other planners' runs included."""
        return len(self._by_worker.get(name, ())) + len(
            self._foreign_runs.get(name, ())
        )

    def ends(self, now: float, name: str, gap_s: float) -> list[float]:
        """Return the predicted times at which held slots become free, sorted.

        Args:
          now: Monotonic time in seconds.
          name: Name of the worker.
          gap_s: Current time between two tokens of a run there, seconds.
        """
        held = self._by_worker.get(name, {})
        ends = [
            max(now, r.first_token_at + r.tokens * gap_s) for r in held.values()
        ]
        foreign = self._foreign_runs.get(name)
        if foreign:
            ends += [max(now, end) for end in foreign.values()]
        ends.sort()
        return ends

    def has_suspect(self, name: str) -> bool:
        """Return whether a suspect holds a slot of a worker."""
        held = self._by_worker.get(name, {})
        return any(r.suspect for r in held.values())

    def held_by_caller(self) -> dict[str, int]:
        """Count the reserved slots by caller, without other planners' runs."""
        counts: dict[str, int] = {}
        for held in self._by_exchange.values():
            counts[held.caller] = counts.get(held.caller, 0) + 1
        return counts

    def __len__(self) -> int:
        return len(self._by_exchange)
