"""Controller that keeps the view of the membership up to date."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from nutmegscale import membership
from nutmegscale import mesh
from nutmegscale import periodic

TICKS_PER_PERIOD = 4
# States of hosts that are taken for unreachable.
AWAY = (membership.State.SUSPECT, membership.State.DEAD)


class Board(Protocol):
    """Part of a host's shared state that the controller uses."""

    @property
    def clock(self) -> Any:
        """Source of monotonic time and timers."""
        ...

    @property
    def membership(self) -> membership.Membership:
        """This host's view of the membership."""
        ...

    def now(self) -> float:
        """Return monotonic time in seconds."""
        ...

    def record_event(
        self, kind: str, request: str = "", **detail: object
    ) -> None:
        """Add an event to the timeline."""
        ...


class MembershipController:
    """Writes the view of the membership, by probes of the other hosts."""

    def __init__(
        self, board: Board, link: mesh.Mesh, *, period_s: float
    ) -> None:
        self._board = board
        self._mesh = link
        self._ticks = periodic.Periodic(
            board.clock, period_s / TICKS_PER_PERIOD, self._tick
        )
        self._states: dict[str, membership.State] = {}
        self._recorded_version = 0
        self._on_revision: Callable[[str], None] = lambda _: None
        self._on_return: Callable[[str], None] = lambda _: None
        link.on(membership.Probe, self._receive)
        link.on(membership.Ack, self._receive)

    def watch_revisions(self, on_revision: Callable[[str], None]) -> None:
        """Set a function to call with a host that has a later configuration."""
        self._on_revision = on_revision

    def watch_returns(self, on_return: Callable[[str], None]) -> None:
        """Set a function to call with a host that is alive again.

        Messages to it may have been lost while it was suspected.
        """
        self._on_return = on_return

    def start(self) -> None:
        """Start probing."""
        self._ticks.start()

    def stop(self) -> None:
        """Stop probing."""
        self._ticks.stop()

    def announce(self) -> None:
        """Announce to known hosts that this one has joined.

        At most `membership.MAX_ANNOUNCEMENTS` hosts get the announcement
        directly; the update spreads from these to the others.
        """
        self._send(self._board.membership.announce())

    def leave(self) -> None:
        """Announce to alive hosts that this one is leaving; see `announce`."""
        self._send(self._board.membership.leave(self._board.now()))

    async def _tick(self) -> None:
        self._send(self._board.membership.tick(self._board.now()))
        self._record_changes()

    def _receive(
        self, sender: str, message: membership.Probe | membership.Ack
    ) -> None:
        now = self._board.now()
        self._send(self._board.membership.receive(now, sender, message))
        if message.greeting.revision > self._board.membership.revision:
            self._on_revision(sender)

    def _send(self, outgoing: list[membership.Outgoing]) -> None:
        for item in outgoing:
            self._mesh.send(item.host, item.message)

    def _record_changes(self) -> None:
        view = self._board.membership
        if view.version == self._recorded_version:
            return
        self._recorded_version = view.version
        for member in view.members():
            before = self._states.get(member.host)
            if before != member.state:
                self._states[member.host] = member.state
                if before in AWAY and member.state == membership.State.ALIVE:
                    self._on_return(member.host)
                if member.state == membership.State.SUSPECT:
                    # The connection may have failed, not the host.
                    self._mesh.reset(member.host)
                self._board.record_event(
                    "member.state",
                    host=member.host,
                    state=member.state.name.lower(),
                )
