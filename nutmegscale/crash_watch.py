"""Detection of content that crashes the backend servers running it."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
from typing import Any
from typing import NamedTuple
from typing import Protocol

from twisted.internet import defer

from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import periodic
from nutmegscale import quarantine
from nutmegscale import shared_quarantine
from nutmegscale import sound_parts

# A server that broke a connection is checked at once, and again after this time
# if it still accepts connections, seconds.
CHECK_DELAY_S = 0.05
# Longest wait for the first check before a call runs elsewhere, and the wait
# after it for what other hosts know if the server is down, seconds.
FIRST_CHECK_WAIT_S = 0.02
SHARE_DELAY_S = 0.01
# Time after a broken connection in which another server at the same address
# shows that the server had ended, and the pause between two looks, seconds.
REPLACEMENT_WATCH_S = 3.0
REPLACEMENT_PERIOD_S = 0.05
# Parts of one prompt that may become suspect in a crash.
MAX_SUSPECT_PARTS = 16


class Server(Protocol):
    """A backend server that runs watched content."""

    @property
    def id(self) -> str:
        """Name of the server."""
        ...

    @property
    def key(self) -> str:
        """Name of its incarnation, the same on all hosts."""
        ...

    @property
    def address(self) -> str:
        """Where it accepts connections."""
        ...


class ServerDirectory(Protocol):
    """What is known of the servers now."""

    def is_leaving(self, server: Server) -> bool:
        """Whether a server accepts no new work and may end soon."""
        ...

    def is_replaced(self, server: Server) -> bool:
        """Whether another server has the address or the id of a server."""
        ...


class _BrokenRun(NamedTuple):
    """Run of a content whose server closed the connection.

    Attributes:
      content: The content, with the parts that may be at fault.
      began_at: When the run began, seconds of the host's clock.
      broke_at: When the connection closed, seconds of the host's clock.
    """

    content: quarantine.Content
    began_at: float
    broke_at: float


class _Check:
    """Check of a server that closed a connection in the middle of a run."""

    def __init__(self) -> None:
        self.runs: list[_BrokenRun] = []
        self.on_down: list[Callable[[], None]] = []
        self._waiters: list[defer.Deferred[None]] = []
        self._first_waiters: list[defer.Deferred[None]] = []
        self._has_passed = False

    @property
    def contents(self) -> set[bytes]:
        """Digests of the contents that it counts against."""
        return {run.content.digest for run in self.runs}

    @property
    def joined(self) -> str:
        """The digests as one text for log lines."""
        return ",".join(sorted(content.hex() for content in self.contents))

    def clear(self, names: Collection[bytes]) -> None:
        """Leave out contents and parts that ran on elsewhere."""
        self.runs = [
            run._replace(content=run.content.without(names))
            for run in self.runs
            if run.content.digest not in names
        ]

    def wait(self) -> defer.Deferred[None]:
        """Return a new Deferred that fires at the end of the check."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiters.append(waiter)
        return waiter

    def wait_first(self) -> defer.Deferred[None]:
        """Return a new Deferred that fires once the first try has ended."""
        waiter: defer.Deferred[None] = defer.Deferred()
        if self._has_passed:
            waiter.callback(None)
        else:
            self._first_waiters.append(waiter)
        return waiter

    def pass_first(self) -> None:
        """Record that the server accepted a connection at the first try."""
        self._has_passed = True
        _wake(self._first_waiters)

    def end(self) -> None:
        """Wake those who wait, except those who were cancelled."""
        _wake(self._first_waiters)
        _wake(self._waiters)


class CrashWatch:
    """Suspects content whose servers crashed while they ran it.

    Contents are named by a digest that is the same for each attempt of a
    request, and by the digests of the parts of its prompt that it shares with
    others. Many calls may share one content. It stays in use as long as some of
    its runs end between two crashes of its servers. Functions that return a
    content aren't called while there are no suspects.
    """

    def __init__(
        self,
        clock: Any,
        suspects: shared_quarantine.SharedQuarantine,
        connect: Callable[[str], Awaitable[None]],
        *,
        servers: ServerDirectory | None = None,
    ) -> None:
        """Create the watch.

        Args:
          clock: Twisted clock.
          suspects: Suspects and quarantined content of all hosts.
          connect: Opens a connection to an address, or raises
            `errors.ConnectError` if it accepts none.
          servers: What is known of the servers; without it, a server that
            starts again at once isn't recognized as crashed.
        """
        self._clock = clock
        self._suspects = suspects
        self._connect = connect
        self._servers = servers
        self._checks: dict[str, _Check] = {}
        # Checks of servers that seem up, by key, until it is known.
        self._watched: dict[str, _Check] = {}
        self._sound_parts = sound_parts.SoundParts()

    @property
    def _is_watching(self) -> bool:
        has_checks = bool(self._checks or self._watched)
        return has_checks or self._suspects.has_suspects

    def refused_for_s(
        self, content_of: Callable[[], quarantine.Content]
    ) -> float:
        """Return the time until content may run again, seconds; 0 if now."""
        if not self._suspects.has_suspects:
            return 0.0
        return self._suspects.refused_for_s(content_of())

    def admit(self, content_of: Callable[[], quarantine.Content]) -> float:
        """Let a new request run unless its content is in quarantine.

        After a quarantine, the request tries its content, and others with it
        are refused meanwhile.

        Returns:
          Time until it may be sent again, seconds; 0 if it may run now.
        """
        refused_for_s = self.refused_for_s(content_of)
        if self._suspects.has_suspects and not refused_for_s:
            self._suspects.begin_trial(content_of())
        return refused_for_s

    def server_apart(
        self,
        content_of: Callable[[], quarantine.Content],
        servers: Collection[str],
    ) -> str | None:
        """Return the server where a suspect runs apart from other suspects.

        Contents whose broken connection is still being checked count, too.

        Args:
          content_of: Returns the content.
          servers: Ids of the candidates.

        Returns:
          Id of the server; None if the content is no suspect, so that it may
          run on any of them.
        """
        if not servers or not self._is_watching:
            return None
        content = content_of().digest
        suspects = set(self._suspects.sharing_crashes(content))
        for check in self._checks.values():
            if content in check.contents:
                suspects |= check.contents
        if content not in suspects:
            return None
        return quarantine.assign_apart(suspects, servers)[content]

    def record_begun(
        self, content_of: Callable[[], quarantine.Content], *, part_count: int
    ) -> None:
        """Record that an answer got past its beginning.

        The parts of its prompt are cleared on all hosts, also of crashes that
        are still being checked. The whole content isn't, since it may crash
        its server later.

        Args:
          content_of: Returns the content.
          part_count: Number of parts of its prompt.
        """
        if part_count > MAX_SUSPECT_PARTS:
            self._sound_parts.record(content_of().parts)
        if self._is_watching:
            self._clear(content_of().parts)

    def record_success(
        self, content_of: Callable[[], quarantine.Content]
    ) -> None:
        """Record that content ran to its end.

        It is cleared on all hosts, also of crashes that are still being
        checked.
        """
        if self._is_watching:
            self._clear((content_of().digest,))

    def _clear(self, names: tuple[bytes, ...]) -> None:
        for check in [*self._checks.values(), *self._watched.values()]:
            check.clear(names)
        self._suspects.clear(names)

    def record_disconnect(
        self,
        content: quarantine.Content,
        server: Server,
        began_at: float,
        *,
        has_begun: bool = False,
        on_down: Callable[[], None] = lambda: None,
    ) -> None:
        """Record that a server broke the connection while it ran content.

        Args:
          content: The content.
          server: The server.
          began_at: When the run began, seconds of the host's clock.
          has_begun: Whether its answer got past its beginning, so that the
            parts of the prompt aren't at fault.
          on_down: Called if the server is found to accept no connection.
        """
        parts = self._sound_parts.least_sound(content.parts, MAX_SUSPECT_PARTS)
        content = content._replace(parts=() if has_begun else parts)
        run = _BrokenRun(content, began_at, self._clock.seconds())
        check = self._checks.get(server.key)
        if check is None:
            check = self._checks[server.key] = _Check()
            periodic.spawn(self._check_server(server, check))
        check.runs.append(run)
        check.on_down.append(on_down)

    async def is_quarantined_after_checks(
        self, content: quarantine.Content, *, disconnects: int, limit_s: float
    ) -> bool:
        """Whether content must not run again now, after a broken connection.

        The checks of its servers are awaited if it is a suspect already. A
        first broken connection is no reason to wait: most have other causes
        than a crash. A suspect isn't run again either while a server that
        broke the connection accepts new ones, but may have been replaced.

        Args:
          content: The content.
          disconnects: Servers that broke the connection in this attempt.
          limit_s: Longest wait for a check, seconds.
        """
        is_suspect = any(map(self._suspects.is_suspect, content.names))
        if disconnects > 1 or is_suspect:
            for check in list(self._checks.values()):
                if content.digest in check.contents:
                    await check.wait().addTimeout(
                        max(0.0, limit_s), self._clock, _end_wait
                    )
        may_have_crashed = is_suspect and any(
            content.digest in check.contents for check in self._watched.values()
        )
        return may_have_crashed or self._suspects.refused_for_s(content) > 0.0

    async def wait_for_first_check(
        self, content: quarantine.Content, *, limit_s: float
    ) -> None:
        """Wait until a retry of content can be kept apart from other suspects.

        If the server that broke the connection is found down, hosts that ran
        other content on it are heard before either runs elsewhere. Otherwise,
        there is next to no wait.

        Args:
          content: The content.
          limit_s: Longest wait, seconds.
        """
        began_at = self._clock.seconds()
        for check in list(self._checks.values()):
            if content.digest in check.contents:
                await check.wait_first().addTimeout(
                    min(FIRST_CHECK_WAIT_S, max(0.0, limit_s)),
                    self._clock,
                    _end_wait,
                )
        left_s = limit_s - (self._clock.seconds() - began_at)
        if self._suspects.is_suspect(content.digest) and left_s > 0.0:
            await periodic.sleep(self._clock, min(SHARE_DELAY_S, left_s))

    def record_replaced(self, server: Server) -> None:
        """Record that another server has the address or id of a server."""
        check = self._watched.pop(server.key, None)
        if check is not None:
            self._record_crash(server, check, "replaced")

    async def _check_server(self, server: Server, check: _Check) -> None:
        """Suspect what ran on a server if it accepts no connection now.

        If something accepts connections, it may be another server that started
        at the address at once, which is known only later.
        """
        may_be_replaced = self._may_be_replaced(server)
        try:
            is_down = await self._is_down(server)
            if not is_down:
                check.pass_first()
                await periodic.sleep(self._clock, CHECK_DELAY_S)
                is_down = await self._is_down(server)
            logs.get().info(
                "crash_checked",
                backend=server.id,
                is_down=is_down,
                contents=check.joined,
            )
            if is_down:
                self._record_crash(server, check, "unreachable")
                for report in check.on_down:
                    report()
            elif may_be_replaced:
                self._watch(server, check)
        finally:
            self._checks.pop(server.key, None)
            check.end()

    def _may_be_replaced(self, server: Server) -> bool:
        """Whether another server in its place shows that a server crashed.

        One that was leaving has ended as planned.
        """
        if self._servers is None:
            return False
        is_replaced = self._servers.is_replaced(server)
        return is_replaced or not self._servers.is_leaving(server)

    def _watch(self, server: Server, check: _Check) -> None:
        """Watch whether another server takes the place of a server soon."""
        earlier = self._watched.get(server.key)
        if earlier is not None:
            earlier.runs += check.runs
            return
        self._watched[server.key] = check
        periodic.spawn(self._watch_replacement(server))

    async def _watch_replacement(self, server: Server) -> None:
        """Suspect what ran on a server if another one takes its place soon."""
        assert self._servers is not None
        until = self._clock.seconds() + REPLACEMENT_WATCH_S
        while self._clock.seconds() < until and server.key in self._watched:
            if self._servers.is_replaced(server):
                self.record_replaced(server)
                return
            await periodic.sleep(self._clock, REPLACEMENT_PERIOD_S)
        self._watched.pop(server.key, None)

    def _record_crash(self, server: Server, check: _Check, why: str) -> None:
        logs.get().warning(
            "server_crashed",
            backend=server.id,
            why=why,
            suspects=len(check.runs),
            contents=check.joined,
        )
        for run in check.runs:
            self._suspects.suspect(
                run.content,
                server.id,
                # Hosts that ran the content on it name the crash alike.
                server.key,
                began_at=run.began_at,
                crashed_at=run.broke_at,
            )

    async def _is_down(self, server: Server) -> bool:
        try:
            await self._connect(server.address)
        except errors.ConnectError:
            return True
        return False


def is_disconnect(failure: Exception) -> bool:
    """Whether a server broke the connection after it received a request."""
    return isinstance(failure, errors.TransportError) and not isinstance(
        failure, errors.ConnectError | errors.ResponseTimeoutError
    )


def _wake(waiters: list[defer.Deferred[None]]) -> None:
    for waiter in waiters:
        if not waiter.called:
            waiter.callback(None)


def _end_wait(result: object, limit_s: float) -> None:
    """End a wait that reached its limit without an error."""
