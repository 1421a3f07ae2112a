"""Quarantine of content that crashes the backend servers running it."""

from collections import OrderedDict
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import heapq
from typing import NamedTuple

from nutmegscale import rendezvous

CRASHES_TO_QUARANTINE = 2
# Crashes until a content is quarantined although another one was running in
# all of them, too.
SHARED_CRASHES_TO_QUARANTINE = 3
# Crashes until a part of prompts is quarantined. Fewer crashes in a row are
# enough if there are so many at about the same time.
PART_CRASHES_TO_QUARANTINE = 3
CONCURRENT_PART_CRASHES = 5
SUSPECT_TTL_S = 120.0
# How long content is refused after its second crash, and after each later one,
# seconds. The first time is short, since two servers may die for other reasons
# under the same content.
FIRST_QUARANTINE_S = 300.0
QUARANTINE_TTL_S = 3_600.0
# The same for parts of prompts: shorter at first, since a part concerns many
# requests.
PART_QUARANTINES_S = (30.0, 300.0, QUARANTINE_TTL_S)
# After a quarantine one request at a time tries the content; the next one
# follows after this time if it wasn't decided, seconds.
TRIAL_S = 5.0
# Requests that may try a part in quarantine because they lack something that
# each run in its crashes held, and runs that are remembered to tell so.
MAX_EARLY_TRIALS = 2
MAX_RUNS = 8
# Number of contents, and of parts, that are kept; those whose last crash is the
# longest ago are dropped first.
CAPACITY = 4_096
EXPIRY_PERIOD_S = 1.0
# Times in messages of two hosts differ by the delay of the messages. A run
# that seems to have begun by no more than this before a crash began after it,
# seconds.
CLOCK_TOLERANCE_S = 0.005


class Content(NamedTuple):
    """What a request holds that may crash the servers running it.

    Attributes:
      digest: Digest of the whole content, the same for each attempt.
      parts: Digests of the parts of the prompt that other requests may share.
    """

    digest: bytes
    parts: tuple[bytes, ...] = ()

    @property
    def names(self) -> tuple[bytes, ...]:
        """All digests under which evidence is kept."""
        return (self.digest, *self.parts)

    def without(self, parts: Collection[bytes]) -> "Content":
        """Return the content without some of its parts."""
        kept = tuple(part for part in self.parts if part not in parts)
        return self._replace(parts=kept)


class Evidence(NamedTuple):
    """What a host knows of the crashes of one content or part.

    Attributes:
      fingerprint: Its digest.
      crashes: Names of the crashes.
      rounds: Number of crashes that count against it.
      crash_age_s: Time since the last one, seconds.
      is_part: Whether it is a part of prompts.
    """

    fingerprint: bytes
    crashes: tuple[str, ...]
    rounds: int
    crash_age_s: float
    is_part: bool = False


class _Record:
    """Crashes during which a content or part was running; times in seconds.

    Attributes:
      is_part: Whether it is a part of prompts.
      crashes: Unique names of the crashes.
      rounds: Number of crashes, without those of runs that had begun before an
        earlier one.
      last_crash_at: When the last server crashed.
      sound_runs: Runs of a part that got past the point of its crashes since
        the first one.
      trial_until: Until when a request that tries it again may be running.
      early_trials: Number of requests that tried it while in quarantine.
      runs: Parts of the latest runs in its crashes, which may be incomplete.
    """

    def __init__(self, *, is_part: bool) -> None:
        self.is_part = is_part
        self.crashes: set[str] = set()
        self.rounds = 0
        self.last_crash_at = 0.0
        self.sound_runs = 0
        self.trial_until = 0.0
        self.early_trials = 0
        self.runs: list[frozenset[bytes]] = []

    @property
    def has_enough_crashes(self) -> bool:
        """Whether it may be the cause of its crashes."""
        if not self.is_part:
            return self.rounds >= CRASHES_TO_QUARANTINE
        are_concurrent = len(self.crashes) >= CONCURRENT_PART_CRASHES
        needed = PART_CRASHES_TO_QUARANTINE - are_concurrent
        return self.rounds >= needed

    @property
    def is_cause_in_any_case(self) -> bool:
        """Whether it is, even if another content ran in all its crashes."""
        return not self.is_part and self.rounds >= SHARED_CRASHES_TO_QUARANTINE

    @property
    def refused_until(self) -> float:
        """When the refusal ends if the crashes identify the content."""
        if self.is_part:
            renewals = max(0, self.rounds - PART_CRASHES_TO_QUARANTINE)
            last = len(PART_QUARANTINES_S) - 1
            return self.last_crash_at + PART_QUARANTINES_S[min(renewals, last)]
        is_first = self.rounds <= CRASHES_TO_QUARANTINE
        life_s = FIRST_QUARANTINE_S if is_first else QUARANTINE_TTL_S
        return self.last_crash_at + life_s

    @property
    def expires(self) -> float:
        """When the record is dropped."""
        if not self.has_enough_crashes:
            return self.last_crash_at + SUSPECT_TTL_S
        return self.refused_until + QUARANTINE_TTL_S


class Quarantine:
    """Suspects and quarantined content by fingerprint; does no I/O.

    All content that was running on a server when it crashed becomes suspect.
    Suspects run apart from each other, so a second crash has only one suspect
    among its runs, which identifies the content at fault. If two contents were
    running in the same crashes all the same, neither is quarantined until a
    further crash or a run that ends tells them apart. Servers that are lost
    together while they run the same content count as one crash.

    The same goes for parts of prompts, which requests share, as far as their
    answers had only begun. A part is suspect until more of its runs got past
    that point than crashed. A request is refused for a part only if it also
    holds every other suspect that was there in all crashes of that part: what
    ran in them all can't be told apart, so only all of it together is refused.
    Nor is it refused for a part whose crashes are all explained by causes that
    it doesn't hold.

    When a quarantine ends, one request at a time tries the content. One more
    crash renews it, and a run that ends clears it.
    """

    def __init__(self, *, capacity: int = CAPACITY) -> None:
        self._records: OrderedDict[bytes, _Record] = OrderedDict()
        self._capacity = capacity
        self._part_count = 0
        self._expires_next_at = 0.0

    def count_quarantined(self, now: float) -> int:
        """Count the contents and parts that are refused for themselves."""
        return sum(self.is_quarantined(now, name) for name in self._records)

    @property
    def has_suspects(self) -> bool:
        """Whether any content is suspect or quarantined."""
        return bool(self._records)

    def suspect(
        self,
        now: float,
        fingerprint: bytes,
        crash: str,
        *,
        began_at: float | None = None,
        crashed_at: float | None = None,
        rounds: int = 0,
        run: frozenset[bytes] | None = None,
    ) -> bool:
        """Record that content was running during a crash.

        Args:
          now: Monotonic time in seconds.
          fingerprint: Digest of the content or part.
          crash: Name of the crash; unique unless `began_at` is given.
          began_at: When the run began, seconds; after the other crashes if
            unknown.
          crashed_at: When the server crashed, seconds; `now` if unknown.
          rounds: Number of crashes that count by the host that ran the content,
            which knows best when its run began; 0 if unknown.
          run: If it is a part of prompts, all such parts of the run.

        Returns:
          Whether the crash counts against the content, rather than being known
          or having ended a run that had begun before an earlier one.
        """
        self.expire(now)
        record = self._record(fingerprint, is_part=run is not None)
        is_known = crash in record.crashes
        if began_at is None:
            is_later = not is_known
        else:
            earliest = record.last_crash_at - CLOCK_TOLERANCE_S
            is_later = not record.rounds or began_at >= earliest
        is_later = is_later or rounds > record.rounds
        if is_later or not is_known:
            record.last_crash_at = now if crashed_at is None else crashed_at
            record.trial_until = 0.0
        record.crashes.add(crash)
        if run is not None and run not in record.runs:
            record.runs = [*record.runs, run][-MAX_RUNS:]
        record.rounds = max(record.rounds + is_later, rounds)
        self._limit_records(fingerprint)
        return is_later

    def _record(self, fingerprint: bytes, *, is_part: bool) -> _Record:
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = _Record(is_part=is_part)
            self._part_count += is_part
        return record

    def _remove(self, fingerprint: bytes) -> None:
        record = self._records.pop(fingerprint)
        self._part_count -= record.is_part

    def _limit_records(self, newest: bytes) -> None:
        self._records.move_to_end(newest)
        is_part = self._records[newest].is_part
        count = (
            self._part_count
            if is_part
            else len(self._records) - self._part_count
        )
        if count > self._capacity:
            self._remove(
                next(
                    n for n, r in self._records.items() if r.is_part == is_part
                )
            )

    def clear(self, fingerprint: bytes, *, now: float = 0.0) -> None:
        """Record that a suspect ran past the point of its crash.

        A content in quarantine stays there, and so does a part of which no
        more runs got so far than crashed.

        Args:
          fingerprint: Digest of the content or part.
          now: Monotonic time in seconds; at 0 no quarantine has ended.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return
        record.sound_runs += 1
        is_refused = record.has_enough_crashes and record.refused_until > now
        if not record.is_part:
            is_cleared = not (is_refused and self._is_cause(fingerprint, ()))
        elif record.has_enough_crashes and (
            not is_refused or record.trial_until > now
        ):
            is_cleared = True
        else:
            is_cleared = record.sound_runs > len(record.crashes)
        if is_cleared:
            self._remove(fingerprint)

    def evidence(self, now: float, *, limit: int) -> list[Evidence]:
        """Return what is known of the latest suspects, the newest last.

        Those with enough crashes come before the others.
        """
        self.expire(now)
        ranked = heapq.nlargest(
            limit,
            (
                (record.has_enough_crashes, number, name)
                for number, (name, record) in enumerate(self._records.items())
            ),
        )
        names = [name for _, _, name in sorted(ranked, key=lambda r: r[1])]
        return [e for e in (self.evidence_of(now, n) for n in names) if e]

    def evidence_of(self, now: float, fingerprint: bytes) -> Evidence | None:
        """Return what is known of one content, None if nothing is."""
        record = self._records.get(fingerprint)
        if record is None:
            return None
        return Evidence(
            fingerprint,
            tuple(sorted(record.crashes)),
            record.rounds,
            now - record.last_crash_at,
            record.is_part,
        )

    def rounds(self, fingerprint: bytes) -> int:
        """Return the number of crashes that count against a content."""
        record = self._records.get(fingerprint)
        return record.rounds if record is not None else 0

    def merge(self, now: float, evidence: Evidence) -> bool:
        """Take over the evidence of another host if it has more.

        Returns:
          Whether it has more.
        """
        if self.rounds(evidence.fingerprint) >= evidence.rounds:
            return False
        record = self._record(evidence.fingerprint, is_part=evidence.is_part)
        record.crashes |= set(evidence.crashes)
        record.rounds = evidence.rounds
        record.last_crash_at = now - evidence.crash_age_s
        self._limit_records(evidence.fingerprint)
        return True

    def is_suspect(self, now: float, fingerprint: bytes) -> bool:
        """Whether content must run apart from other suspects."""
        record = self._records.get(fingerprint)
        return record is not None and record.expires > now

    def is_quarantined(self, now: float, fingerprint: bytes) -> bool:
        """Whether content must not run again, whatever else a request holds."""
        return self.refused_for_s(now, Content(fingerprint)) > 0.0

    def refused_for_s(
        self,
        now: float,
        content: Content,
        *,
        delay_of: Callable[[bytes], float] = lambda _: 0.0,
    ) -> float:
        """Return the time until content may run again, seconds; 0 if now.

        Args:
          now: Monotonic time in seconds.
          content: The content.
          delay_of: Returns how much later than the first host this one tries
            a digest whose quarantine has ended, seconds.
        """
        ends = [now]
        for name in self.causes(content):
            record = self._records[name]
            ends.append(record.trial_until)
            if not self._may_try_early(record, content.names):
                ends.append(record.refused_until + delay_of(name))
        return max(ends) - now

    def _may_try_early(self, record: _Record, names: Collection[bytes]) -> bool:
        """Whether a request may try a part although it is in quarantine.

        It may if each known run in its crashes held a suspect that the request
        doesn't, so that this one may be the cause instead.
        """
        if not record.runs or record.early_trials >= MAX_EARLY_TRIALS:
            return False
        return all(
            any(p not in names and p in self._records for p in run)
            for run in record.runs
        )

    def begin_trial(self, now: float, content: Content) -> list[bytes]:
        """Record that a request tries content whose quarantine has ended.

        Returns:
          Digests of what it tries; empty if nothing was in quarantine.
        """
        tried = self.causes(content)
        for name in tried:
            self.record_trial(now, name)
        return tried

    def record_trial(self, now: float, fingerprint: bytes) -> None:
        """Refuse content while a request at some host tries it."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.trial_until = now + TRIAL_S
            record.early_trials += record.refused_until > now

    def causes(self, content: Content) -> list[bytes]:
        """Return the digests of a content that identify it as a cause."""
        names = content.names
        return [name for name in names if self._is_cause(name, names)]

    def _is_cause(self, name: bytes, names: Collection[bytes]) -> bool:
        """Whether the crashes identify a digest as their cause.

        Args:
          name: The digest.
          names: All digests of the request; those of other requests that were
            there in the same crashes may be the cause instead.
        """
        record = self._records.get(name)
        if record is None or not record.has_enough_crashes:
            return False
        if record.is_cause_in_any_case:
            return True
        explained: set[str] = set()
        for rival, other in self._records.items():
            if rival == name or rival in names:
                continue
            if record.crashes <= other.crashes:
                return False
            if other.has_enough_crashes:
                explained |= other.crashes
        return not record.crashes <= explained

    def sharing_crashes(self, now: float, fingerprint: bytes) -> list[bytes]:
        """Return a suspect and the other suspects of its crashes.

        Returns:
          Contents that were running in one of the crashes and aren't
          quarantined, without parts; empty unless the content itself is a
          suspect.
        """
        if not self.is_suspect(now, fingerprint):
            return []
        crashes = self._records[fingerprint].crashes
        return [
            name
            for name, record in self._records.items()
            if not record.is_part
            and not crashes.isdisjoint(record.crashes)
            and record.expires > now
            and not self.is_quarantined(now, name)
        ]

    def expire(self, now: float) -> None:
        """Remove the records whose time has passed, once a second."""
        if now < self._expires_next_at:
            return
        self._expires_next_at = now + EXPIRY_PERIOD_S
        for fingerprint, record in list(self._records.items()):
            if record.expires <= now:
                self._remove(fingerprint)


def assign_apart(
    suspects: Iterable[bytes], servers: Collection[str]
) -> dict[bytes, str]:
    """Assign each suspect a server, a different one while there are enough.

    Hosts that know the same suspects and servers assign alike.

    Args:
      suspects: Digests of the contents.
      servers: Ids of the servers; at least one.

    Returns:
      Id of the server of each suspect.
    """
    free = set(servers)
    assigned = {}
    for suspect in sorted(suspects):
        best = rendezvous.best(suspect, free or servers)
        assert best is not None
        assigned[suspect] = best
        free.discard(best)
    return assigned
