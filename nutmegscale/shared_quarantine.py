"""Quarantine whose evidence all hosts share by messages."""

from collections.abc import Callable
from collections.abc import Iterable

from nutmegscale import logs
from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import quarantine
from nutmegscale import rendezvous

# Hosts that inform each host of what it doesn't know.
INFORMING_HOSTS = 2
# Contents and parts in one reply.
MAX_CONTENTS = 64
# Content whose quarantine has ended is tried by one host after the other, so
# that no two requests try it at once: pause between two hosts, seconds, and the
# number of hosts after which all others follow together.
TRIAL_STAGGER_S = 2.0
MAX_TRIAL_RANK = 7


class SharedQuarantine:
    """Tells the other hosts of suspects and cleared content, and hears them.

    Messages may be lost, and a new host knows nothing: it asks some hosts, as
    does one that was suspended. A host that is alive again is sent what is
    known, as is one that reports a crash of content that is quarantined
    elsewhere.

    Args:
      link: Messages between hosts.
      members: The other hosts.
      host: Name of this host.
      now: Returns monotonic time in seconds.
      on_event: Called with the name of an event and the worker that it is
        about: "content_suspected" when a crash counts against a content,
        "content_quarantined" when it is the last one needed.
      known: Quarantine to use; a new one by default.
    """

    def __init__(
        self,
        link: mesh.Mesh,
        members: membership.Membership,
        *,
        host: str,
        now: Callable[[], float],
        on_event: Callable[[str, str], None],
        known: quarantine.Quarantine | None = None,
    ) -> None:
        self._mesh = link
        self._members = members
        self._host = host
        self._now = now
        self._on_event = on_event
        self._known = quarantine.Quarantine() if known is None else known
        link.on(messages.Suspicion, self._receive)
        link.on(messages.SuspicionCleared, self._receive_cleared)
        link.on(messages.SuspectTried, self._receive_tried)
        link.on(messages.SuspectsRequest, self._receive_request)
        link.on(messages.SuspectsReply, self._receive_reply)

    @property
    def has_suspects(self) -> bool:
        """Whether any content is suspect or quarantined."""
        return self._known.has_suspects

    def is_suspect(self, fingerprint: bytes) -> bool:
        """Whether content must run apart from other suspects."""
        return self._known.is_suspect(self._now(), fingerprint)

    def refused_for_s(self, content: quarantine.Content) -> float:
        """Return the time until content may run again, seconds; 0 if now."""
        return self._known.refused_for_s(
            self._now(), content, delay_of=self._trial_delay_s
        )

    def begin_trial(self, content: quarantine.Content) -> None:
        """Record, here and elsewhere, a run of content after a quarantine."""
        tried = self._known.begin_trial(self._now(), content)
        if tried:
            logs.get().info(
                "content_tried", contents=",".join(name.hex() for name in tried)
            )
            self._tell_peers(messages.SuspectTried(tuple(tried)))

    def _trial_delay_s(self, fingerprint: bytes) -> float:
        """Return how much later than the first host this one tries it."""
        # A host that is leaving isn't among the alive ones.
        hosts = {*self._members.alive(), self._host}
        order = rendezvous.rank(fingerprint, sorted(hosts))
        return TRIAL_STAGGER_S * min(MAX_TRIAL_RANK, order.index(self._host))

    def sharing_crashes(self, fingerprint: bytes) -> list[bytes]:
        """Return a suspect and the other suspects of its crashes."""
        return self._known.sharing_crashes(self._now(), fingerprint)

    def suspect(
        self,
        content: quarantine.Content,
        worker: str,
        crash: str,
        *,
        began_at: float | None = None,
        crashed_at: float | None = None,
    ) -> None:
        """Record, here and at the other hosts, content that ran in a crash.

        Args:
          content: The content, with the parts that count, too.
          worker: Worker that crashed.
          crash: Name of the crash; unique unless `began_at` is given.
          began_at: When the run began, seconds; after the other crashes of the
            content if unknown.
          crashed_at: When the worker crashed, seconds; now if unknown.
        """
        now = self._now()
        message = messages.Suspicion(
            content.digest,
            worker,
            crash,
            run_age_s=None if began_at is None else now - began_at,
            crash_age_s=0.0 if crashed_at is None else now - crashed_at,
            parts=content.parts,
            part_rounds=(0,) * len(content.parts),
        )
        self._receive(self._host, message)
        rounds = [self._known.rounds(name) for name in content.names]
        self._tell_peers(
            message._replace(rounds=rounds[0], part_rounds=tuple(rounds[1:]))
        )

    def clear(self, fingerprints: Iterable[bytes]) -> None:
        """Record, here and at the other hosts, that content ran on.

        Args:
          fingerprints: Digests of the content and of parts; those that aren't
            suspects are left out.
        """
        suspects = tuple(name for name in fingerprints if self.is_suspect(name))
        if suspects:
            message = messages.SuspicionCleared(suspects)
            self._receive_cleared(self._host, message)
            self._tell_peers(message)

    def inform(self, host: str) -> None:
        """Send a host that was unreachable what it may have missed."""
        if self._host in self._nearest(host):
            self._send_known(host)

    def ask_peers(self) -> None:
        """Ask some hosts for what they know of suspects."""
        for host in self._nearest(self._host):
            self._mesh.send(host, messages.SuspectsRequest())

    def _nearest(self, host: str) -> list[str]:
        """Return the hosts that inform a host of what it doesn't know."""
        others = [name for name in self._members.alive() if name != host]
        return rendezvous.rank(host.encode(), others)[:INFORMING_HOSTS]

    def _tell_peers(
        self,
        message: messages.Suspicion
        | messages.SuspicionCleared
        | messages.SuspectTried,
    ) -> None:
        for host in self._members.serving():
            if host != self._host:
                self._mesh.send(host, message)

    def _receive(self, sender: str, message: messages.Suspicion) -> None:
        now = self._now()
        content = quarantine.Content(message.fingerprint, message.parts)
        was_refused = self._known.refused_for_s(now, content) > 0.0
        known_before = [
            self._known.evidence_of(now, name)
            for name in content.names
            if was_refused
        ]
        counts = [
            self._suspect(now, message, name, rounds)
            for name, rounds in zip(
                content.names,
                (message.rounds, *message.part_rounds),
                strict=False,
            )
        ]
        logs.get().info(
            "content_suspected",
            content=content.digest.hex(),
            parts=",".join(part.hex()[:8] for part in content.parts),
            backend=message.worker,
            crash=message.crash,
            counts=any(counts),
            told_by=sender,
        )
        if any(counts):
            self._on_event("content_suspected", message.worker)
        if self._known.refused_for_s(now, content) and not was_refused:
            self._report_quarantine(sender, message.worker, content)

        is_behind = was_refused and sender != self._host
        if is_behind and self._host in self._nearest(sender):
            known = tuple(e for e in known_before if e is not None)
            self._mesh.send(sender, messages.SuspectsReply(known))

    def _suspect(
        self,
        now: float,
        message: messages.Suspicion,
        name: bytes,
        rounds: int,
    ) -> bool:
        age_s = message.run_age_s
        parts = frozenset(message.parts)
        return self._known.suspect(
            now,
            name,
            message.crash,
            began_at=None if age_s is None else now - age_s,
            crashed_at=now - message.crash_age_s,
            rounds=rounds,
            run=None if name == message.fingerprint else parts,
        )

    def _report_quarantine(
        self,
        sender: str,
        worker: str,
        content: quarantine.Content,
    ) -> None:
        causes = self._known.causes(content)
        logs.get().warning(
            "content_quarantined",
            fingerprint=",".join(name.hex() for name in causes),
            crashes=max(self._known.rounds(name) for name in causes),
            backend=worker,
            told_by=sender,
        )
        self._on_event("content_quarantined", worker)

    def _receive_request(
        self, sender: str, _: messages.SuspectsRequest
    ) -> None:
        self._send_known(sender)

    def _send_known(self, host: str) -> None:
        known = self._known.evidence(self._now(), limit=MAX_CONTENTS)
        if known:
            self._mesh.send(host, messages.SuspectsReply(tuple(known)))

    def _receive_reply(
        self, sender: str, message: messages.SuspectsReply
    ) -> None:
        now = self._now()
        learned = [e for e in message.known if self._known.merge(now, e)]
        for evidence in learned:
            logs.get().info(
                "content_learned",
                content=evidence.fingerprint.hex(),
                crashes=evidence.rounds,
                told_by=sender,
            )

    def _receive_cleared(
        self, sender: str, message: messages.SuspicionCleared
    ) -> None:
        for name in message.fingerprints:
            self._known.clear(name, now=self._now())
        logs.get().info(
            "content_cleared",
            contents=",".join(name.hex() for name in message.fingerprints),
            told_by=sender,
        )

    def _receive_tried(self, _: str, message: messages.SuspectTried) -> None:
        for name in message.fingerprints:
            self._known.record_trial(self._now(), name)
