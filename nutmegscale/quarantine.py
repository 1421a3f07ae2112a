"""Quarantine of content that crashes the backend servers running it."""

from collections import OrderedDict

CRASHES_TO_QUARANTINE = 2
SUSPECT_TTL_S = 120.0
QUARANTINE_TTL_S = 3_600.0
# Number of fingerprints that are kept; those whose last crash is the longest
# ago are dropped first.
CAPACITY = 4_096


class _ContentRecord:
    """Crashes during which one content was running."""

    def __init__(self) -> None:
        self.crashes: set[str] = set()
        self.expires = 0.0


class Quarantine:
    """Suspects and quarantined content by fingerprint; does no I/O.

    All content that was running on a server when it crashed becomes suspect.
    Suspects run apart from each other, so a second crash has only one suspect
    among its runs, which identifies the content at fault.
    """

    def __init__(self, *, capacity: int = CAPACITY) -> None:
        self._records: OrderedDict[bytes, _ContentRecord] = OrderedDict()
        self._capacity = capacity

    def __len__(self) -> int:
        return sum(
            len(r.crashes) >= CRASHES_TO_QUARANTINE
            for r in self._records.values()
        )

    def suspect(self, now: float, fingerprint: bytes, crash: str) -> bool:
        """Record that content was running during a crash.

        Args:
          now: Monotonic time in seconds.
          fingerprint: Digest of the content.
          crash: Unique name of the crash.

        Returns:
          Whether the crash was new for this content.
        """
        self.expire(now)
        record = self._records.setdefault(fingerprint, _ContentRecord())
        is_new = crash not in record.crashes
        record.crashes.add(crash)
        is_quarantined = len(record.crashes) >= CRASHES_TO_QUARANTINE
        life_s = QUARANTINE_TTL_S if is_quarantined else SUSPECT_TTL_S
        record.expires = now + life_s
        self._records.move_to_end(fingerprint)
        while len(self._records) > self._capacity:
            self._records.popitem(last=False)
        return is_new

    def clear(self, fingerprint: bytes) -> None:
        """Remove a suspect that ran past the point of its crash.

        Content in quarantine stays there.
        """
        record = self._records.get(fingerprint)
        if record and len(record.crashes) < CRASHES_TO_QUARANTINE:
            del self._records[fingerprint]

    def is_suspect(self, now: float, fingerprint: bytes) -> bool:
        """Whether content must run apart from other suspects."""
        record = self._records.get(fingerprint)
        return record is not None and record.expires > now

    def is_quarantined(self, now: float, fingerprint: bytes) -> bool:
        """Whether content must not run again."""
        record = self._records.get(fingerprint)
        if record is None or record.expires <= now:
            return False
        return len(record.crashes) >= CRASHES_TO_QUARANTINE

    def expire(self, now: float) -> None:
        """Remove the records whose time has passed."""
        for fingerprint, record in list(self._records.items()):
            if record.expires <= now:
                del self._records[fingerprint]
