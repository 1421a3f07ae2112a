"""Membership of entry hosts: a SWIM failure detector with piggybacked updates.

Each period one peer is probed, first directly and, if it doesn't answer in
time, also through other hosts. A peer that doesn't answer within the period is
suspected before it is declared dead, and may refute the suspicion with a higher
incarnation; one that is leaving is declared dead at once. Probes and acks carry
updates about members.
"""

from collections.abc import Collection
from collections.abc import Iterable
import enum
import random
from typing import NamedTuple

# Time without an ack after which a probe is repeated through other hosts, as a
# fraction of the period.
PROBE_TIMEOUT_FRACTION = 0.4
# Periods after which a suspect that has neither refuted the suspicion nor
# answered a probe is declared dead.
SUSPECT_PERIODS = 3
# Maximum number of hosts through which an unanswered probe is repeated.
INDIRECT_PROBES = 2
FIRST_INCARNATION = 1
# Maximum number of hosts that get the announcement of a join or leave
# directly.
MAX_ANNOUNCEMENTS = 32
# Maximum number of queued updates in a probe or ack. The states of the sender
# and the receiver may be added to these.
UPDATES_PER_MESSAGE = 6
# Number of messages in which an update is sent: one that corrects the older
# view of a peer, and a new one.
CORRECTION_REPEATS = 2
UPDATE_REPEATS = 4
# Periods after which a dead host is removed from the view.
DEAD_RETENTION_PERIODS = 120


class State(enum.IntEnum):
    """State of a member in the view of a host.

    Of two updates with the same incarnation, the one with the larger value is
    the newer.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Update(NamedTuple):
    """State of one member, as sent between hosts; see `Member`."""

    host: str
    failure_domain: str
    address: str
    incarnation: int
    state: int
    may_plan: bool = True


class Greeting(NamedTuple):
    """State of the sender of a message.

    Attributes:
      incarnation: Incarnation of the sender.
      state: State of the sender, a value of `State`.
      revision: Revision of its configuration.
    """

    incarnation: int
    state: int
    revision: int


class Probe(NamedTuple):
    """Probe of a host, sent directly or through a helper.

    Attributes:
      number: Number of the probe, unique at its origin and at least 1.
      target: Host that is probed.
      origin: Host to which the receiver sends its ack.
      greeting: State of the sender.
      news: Piggybacked updates.
    """

    number: int
    target: str
    origin: str
    greeting: Greeting
    news: tuple[Update, ...]


class Ack(NamedTuple):
    """Answer to a probe, sent to its origin.

    Attributes:
      number: Number of the probe; 0 if the message answers no probe.
      target: Host that was probed, or the sender if no probe is answered.
      greeting: State of the sender, which is a helper if the probe was
        indirect.
      news: Piggybacked updates.
    """

    number: int
    target: str
    greeting: Greeting
    news: tuple[Update, ...]


class Outgoing(NamedTuple):
    """A message for one host."""

    host: str
    message: Probe | Ack


class Member(NamedTuple):
    """Record of a host in the view of this one.

    Attributes:
      host: Name of the host.
      failure_domain: Its failure domain.
      address: Its address.
      incarnation: Increases with each refutation and leave;
        `Membership.raise_incarnation` raises it above earlier starts.
      state: Its state.
      since: Time at which the state was last set or confirmed, seconds
        (monotonic clock); 0 for this host at its start.
      may_plan: Whether its link is fast enough for planning.
    """

    host: str
    failure_domain: str
    address: str
    incarnation: int
    state: State
    since: float
    may_plan: bool = True


class _PendingProbe(NamedTuple):
    target: str
    sent: float
    indirect: bool


class Membership:
    """One host's view of all entry hosts.

    It does no I/O and reads no clock: time is passed in, and messages to send
    are returned.

    Attributes:
      version: Increases with each change of the view.
      revision: Revision of the configuration, sent with each message.
    """

    def __init__(
        self,
        host: str,
        failure_domain: str,
        address: str,
        *,
        period_s: float = 0.5,
        incarnation: int = FIRST_INCARNATION,
        rng: random.Random | None = None,
        may_plan: bool = True,
    ) -> None:
        self._host = host
        self._period_s = period_s
        self._rng = rng or random.Random(host)
        self._members: dict[str, Member] = {
            host: Member(
                host,
                failure_domain,
                address,
                incarnation,
                State.ALIVE,
                0.0,
                may_plan,
            )
        }
        self._update_repeats: dict[str, int] = {host: UPDATE_REPEATS}
        self._pending: dict[int, _PendingProbe] = {}
        self._relayed_probes: dict[int, tuple[str, int]] = {}
        self._probe_order: list[str] = []
        self._extra_targets: list[str] = []
        self._number = 0
        self._last_tick = 0.0
        self._has_forgotten = False
        self.version = 0
        self.revision = 0

    @property
    def host(self) -> str:
        """Name of this host."""
        return self._host

    def members(self) -> list[Member]:
        """Return the records of all known hosts, sorted by name.

        They include this host and those that are leaving or dead.
        """
        return [self._members[name] for name in sorted(self._members)]

    def get(self, host: str) -> Member | None:
        """Return the member record of a host, or None if it is unknown."""
        return self._members.get(host)

    def is_dead(self, host: str) -> bool:
        """Return whether a host is known to be dead."""
        member = self._members.get(host)
        return member is not None and member.state == State.DEAD

    def serving(self) -> list[str]:
        """Return the hosts that serve callers, sorted by name.

        They include those that are leaving, which own no more state.
        """
        return [
            member.host
            for member in self.members()
            if member.state != State.DEAD
        ]

    def alive(
        self,
        failure_domains: Iterable[str] | None = None,
        *,
        with_suspects: bool = True,
    ) -> list[str]:
        """Return the hosts that may own state, sorted by name.

        Args:
          failure_domains: Failure domains to choose from; None for all.
          with_suspects: Whether to include suspected hosts.
        """
        domains = None if failure_domains is None else set(failure_domains)
        states = {State.ALIVE}
        if with_suspects:
            states.add(State.SUSPECT)
        return sorted(
            m.host
            for m in self._members.values()
            if m.state in states
            and (domains is None or m.failure_domain in domains)
        )

    def planners(self, *, without: Collection[str] = ()) -> list[str]:
        """Return the hosts that may plan for others, sorted by name.

        Suspected hosts count as alive. If no alive host has `may_plan` set,
        every alive host may plan.

        Args:
          without: Hosts to leave out.
        """
        alive = [host for host in self.alive() if host not in without]
        capable = [host for host in alive if self._members[host].may_plan]
        return capable or alive

    def add_host(
        self,
        now: float,
        host: str,
        failure_domain: str,
        address: str,
        *,
        may_plan: bool = True,
    ) -> None:
        """Add a host from the platform's list, unless it is known.

        A known host keeps its record, since the list lags behind. Only a dead
        host with a new address becomes alive at that address.
        """
        known = self._members.get(host)
        if known is None:
            # No update is sent, since every host reads the same list.
            self._members[host] = Member(
                host,
                failure_domain,
                address,
                FIRST_INCARNATION,
                State.ALIVE,
                now,
                may_plan,
            )
            self.version += 1
        elif known.address != address and known.state == State.DEAD:
            self._set_member(
                known._replace(address=address, state=State.ALIVE, since=now)
            )

    def add_absent_host(
        self,
        now: float,
        host: str,
        failure_domain: str,
        address: str,
        *,
        may_plan: bool = True,
    ) -> None:
        """Add a host as dead, unless it is known, so that it is probed.

        It is alive as soon as it answers.
        """
        if host not in self._members:
            self._members[host] = Member(
                host,
                failure_domain,
                address,
                FIRST_INCARNATION,
                State.DEAD,
                now,
                may_plan,
            )

    @property
    def has_forgotten(self) -> bool:
        """Whether dead hosts were removed since `clear_forgotten`.

        After a partition that lasts longer than dead hosts are kept, neither
        side probes the other until it is told of its hosts again.
        """
        return self._has_forgotten

    def clear_forgotten(self) -> None:
        """Record that the hosts that were removed have been looked up."""
        self._has_forgotten = False

    def raise_incarnation(self, incarnation: int) -> None:
        """Raise the incarnation of this host, unless it is as high already.

        Updates about its earlier starts then count as older.
        """
        own = self._members[self._host]
        if incarnation > own.incarnation:
            self._set_member(own._replace(incarnation=incarnation))

    def announce(self) -> list[Outgoing]:
        """Return messages that announce that this host has joined.

        They go to at most MAX_ANNOUNCEMENTS hosts; the update spreads from
        these to the others.
        """
        updates = (self._update_of(self._members[self._host]),)
        message = Ack(0, self._host, self._greeting(), updates)
        receivers = [h for h in self._members if h != self._host]
        self._rng.shuffle(receivers)
        return [Outgoing(h, message) for h in receivers[:MAX_ANNOUNCEMENTS]]

    def leave(self, now: float) -> list[Outgoing]:
        """Mark this host as leaving, so that it owns no more state.

        Returns:
          Messages that announce it at once to at most MAX_ANNOUNCEMENTS
          hosts; the update spreads from these to the others.
        """
        own = self._members[self._host]
        self._set_member(
            own._replace(
                state=State.LEAVING, incarnation=own.incarnation + 1, since=now
            )
        )

        receivers = [h for h in self.alive() if h != self._host]
        self._rng.shuffle(receivers)
        updates = (self._update_of(self._members[self._host]),)
        message = Ack(0, self._host, self._greeting(), updates)
        return [Outgoing(h, message) for h in receivers[:MAX_ANNOUNCEMENTS]]

    def tick(self, now: float) -> list[Outgoing]:
        """Start due probes and expire old ones; call at least twice a period.

        Args:
          now: Monotonic time in seconds.

        Returns:
          Messages to send.
        """
        outgoing = self._indirect_probes(now)
        self._expire(now)
        while self._extra_targets:
            outgoing.append(self._probe(now, self._extra_targets.pop()))
        if now - self._last_tick < self._period_s:
            return outgoing
        self._last_tick = now
        target = self._next_target()
        if target is not None:
            outgoing.append(self._probe(now, target))
        return outgoing

    def probe_soon(self, host: str) -> None:
        """Probe a host with the next tick, to learn of its return at once."""
        if host in self._members and host not in self._extra_targets:
            self._extra_targets.append(host)

    def receive(
        self, now: float, sender: str, message: Probe | Ack
    ) -> list[Outgoing]:
        """Process a message and return the messages to send in response."""
        has_joined = self._apply_greeting(now, sender, message.greeting)
        for update in message.news:
            self._apply_update(now, update)
        joined = [Outgoing(sender, self._join_reply())] if has_joined else []
        if isinstance(message, Ack):
            return joined + self._receive_ack(now, message)
        if message.target == self._host:
            updates = self._take_updates(message.origin)
            ack = Ack(message.number, self._host, self._greeting(), updates)
            return [*joined, Outgoing(message.origin, ack)]
        return joined + self._relay(now, message)

    def _greeting(self) -> Greeting:
        own = self._members[self._host]
        return Greeting(own.incarnation, int(own.state), self.revision)

    def _join_reply(self) -> Ack:
        """Return the reply to a host that has just become alive again.

        It reports this host and the members that aren't alive. A host that has
        just joined knows the members only from the platform's list, which
        still names the latter.
        """
        updates = tuple(
            self._update_of(member)
            for member in self._members.values()
            if member.host == self._host or member.state != State.ALIVE
        )
        return Ack(0, self._host, self._greeting(), updates)

    def _apply_greeting(
        self, now: float, sender: str, greeting: Greeting
    ) -> bool:
        """Apply the greeting of a known sender to its member record.

        Returns:
          Whether the sender wasn't alive in this view and now is, with a
          higher incarnation: it has rejoined or refuted its state.
        """
        known = self._members.get(sender)
        if known is None or sender == self._host:
            return False
        has_joined = (
            greeting.state == State.ALIVE
            and greeting.incarnation > known.incarnation
            and known.state != State.ALIVE
        )
        if greeting.incarnation > known.incarnation:
            self._set_member(
                known._replace(
                    incarnation=greeting.incarnation,
                    state=State(greeting.state),
                    since=now,
                )
            )
        return has_joined

    def _relay(self, now: float, message: Probe) -> list[Outgoing]:
        probe = self._probe(now, message.target, indirect=True)
        assert isinstance(probe.message, Probe)
        self._relayed_probes[probe.message.number] = (
            message.origin,
            message.number,
        )
        return [probe]

    def _receive_ack(self, now: float, ack: Ack) -> list[Outgoing]:
        relayed = self._relayed_probes.pop(ack.number, None)
        if relayed is not None:
            self._pending.pop(ack.number, None)
            origin, number = relayed
            return [
                Outgoing(
                    origin,
                    Ack(
                        number,
                        ack.target,
                        self._greeting(),
                        self._take_updates(),
                    ),
                )
            ]
        self._pending.pop(ack.number, None)
        member = self._members.get(ack.target)
        if member is not None and member.state == State.SUSPECT:
            self._set_member(member._replace(state=State.ALIVE, since=now))
        return []

    def _probe(
        self, now: float, target: str, *, indirect: bool = False
    ) -> Outgoing:
        self._number += 1
        self._pending[self._number] = _PendingProbe(target, now, indirect)
        updates = self._take_updates(target)
        probe = Probe(
            self._number, target, self._host, self._greeting(), updates
        )
        return Outgoing(target, probe)

    def _indirect_probes(self, now: float) -> list[Outgoing]:
        outgoing = []
        timeout_s = self._period_s * PROBE_TIMEOUT_FRACTION
        for number, pending in list(self._pending.items()):
            if pending.indirect or now - pending.sent < timeout_s:
                continue
            self._pending[number] = pending._replace(indirect=True)
            helpers = [
                h for h in self.alive() if h not in (self._host, pending.target)
            ]
            chosen = self._rng.sample(
                helpers, min(INDIRECT_PROBES, len(helpers))
            )
            for helper in chosen:
                probe = Probe(
                    number,
                    pending.target,
                    self._host,
                    self._greeting(),
                    self._take_updates(),
                )
                outgoing.append(Outgoing(helper, probe))
        return outgoing

    def _expire(self, now: float) -> None:
        for number, pending in list(self._pending.items()):
            if now - pending.sent < self._period_s:
                continue
            del self._pending[number]
            if self._relayed_probes.pop(number, None) is None:
                self._suspect(now, pending.target)
        for member in list(self._members.values()):
            age = now - member.since
            if (
                member.state == State.SUSPECT
                and age >= SUSPECT_PERIODS * self._period_s
            ):
                self._set_member(member._replace(state=State.DEAD, since=now))
            elif (
                member.state == State.DEAD
                and age >= DEAD_RETENTION_PERIODS * self._period_s
            ):
                del self._members[member.host]
                self._has_forgotten = True
                self._update_repeats.pop(member.host, None)
                self.version += 1

    def _suspect(self, now: float, host: str) -> None:
        member = self._members.get(host)
        if member is None:
            return
        if member.state == State.ALIVE:
            self._set_member(member._replace(state=State.SUSPECT, since=now))
            self._add_extra_targets(member)
        elif member.state == State.LEAVING:
            self._set_member(member._replace(state=State.DEAD, since=now))

    def _add_extra_targets(self, member: Member) -> None:
        """Schedule extra probes after a host became suspect.

        One alive host in its failure domain and one outside are probed. Hosts
        often fail together, by a failed switch or a network partition; one
        probe a period would take long to detect them all.
        """
        others = [
            m
            for m in self._members.values()
            if m.state == State.ALIVE
            and m.host not in (self._host, *self._extra_targets)
        ]
        domain = member.failure_domain
        inside = [m.host for m in others if m.failure_domain == domain]
        outside = [m.host for m in others if m.failure_domain != domain]
        for group in (inside, outside):
            if group:
                self._extra_targets.append(self._rng.choice(group))

    def _next_target(self) -> str | None:
        # Dead hosts are probed until they are removed from the view, so that
        # the end of a network partition is detected.
        if not self._probe_order:
            self._probe_order = [h for h in self._members if h != self._host]
            self._rng.shuffle(self._probe_order)
        while self._probe_order:
            host = self._probe_order.pop()
            if host in self._members:
                return host
        return None

    def _set_member(self, member: Member) -> None:
        self._members[member.host] = member
        self._update_repeats[member.host] = UPDATE_REPEATS
        self.version += 1

    def _take_updates(self, receiver_host: str = "") -> tuple[Update, ...]:
        """Return the updates for a message and count down their repeats.

        A known receiver that isn't alive in this view always gets the update
        about itself, since it can't refute its state otherwise.
        """
        updates = []
        receiver = self._members.get(receiver_host)
        if receiver is None or receiver.state != State.ALIVE:
            # The receiver may have removed this host, or see it as dead.
            updates.append(self._update_of(self._members[self._host]))
        if receiver is not None and receiver.state != State.ALIVE:
            updates.append(self._update_of(receiver))
        names = sorted(
            self._update_repeats, key=lambda h: -self._update_repeats[h]
        )
        for name in names[:UPDATES_PER_MESSAGE]:
            self._update_repeats[name] -= 1
            if self._update_repeats[name] <= 0:
                del self._update_repeats[name]
            if name in self._members:
                updates.append(self._update_of(self._members[name]))
        return tuple(updates)

    def _update_of(self, member: Member) -> Update:
        return Update(
            member.host,
            member.failure_domain,
            member.address,
            member.incarnation,
            int(member.state),
            member.may_plan,
        )

    def _apply_update(self, now: float, update: Update) -> None:
        if update.host == self._host:
            self._refute(now, update)
            return
        known = self._members.get(update.host)
        if known is not None and not _is_newer(update, known):
            if update.state != known.state:
                # The sender has an older view: queue the update again, for it
                # and for others.
                repeats = self._update_repeats.get(update.host, 0)
                self._update_repeats[update.host] = max(
                    repeats, CORRECTION_REPEATS
                )
            return
        if known is None and update.state == State.DEAD:
            return
        self._set_member(
            Member(
                update.host,
                update.failure_domain,
                update.address,
                update.incarnation,
                State(update.state),
                now,
                update.may_plan,
            )
        )

    def _refute(self, now: float, update: Update) -> None:
        own = self._members[self._host]
        is_current = (
            update.state == own.state and update.incarnation <= own.incarnation
        )
        if is_current or update.incarnation < own.incarnation:
            return
        self._set_member(
            own._replace(incarnation=update.incarnation + 1, since=now)
        )


def _is_newer(update: Update, known: Member) -> bool:
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return update.state > known.state
