"""Places of streams at services without engines: servers chosen by load."""

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import crash_watch
from nutmegscale import errors
from nutmegscale import request_context
from nutmegscale import routing_board
from nutmegscale import server_choice
from nutmegscale import stream_run


class ChosenPlace:
    """A server that this host has chosen; it prefills the prompt itself."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        servers: server_choice.ServerChoice,
        context: request_context.RequestContext,
        run: stream_run.StreamRun,
        server: backend.Backend,
    ) -> None:
        self._board = board
        self._servers = servers
        self._context = context
        self._run = run
        self._server = server

    @property
    def server_id(self) -> str:
        """Id of the server; see `stream_places.Place`."""
        return self._server.id

    @property
    def server(self) -> backend.Backend | None:
        """The server; see `stream_places.Place`."""
        return self._server

    @property
    def is_permitted(self) -> bool:
        """False: the permit is used when the run is sent."""
        return False

    def reuse_source(self) -> caller_request.KvHandle | None:
        """Return None; see `stream_places.Place`."""
        return None

    async def prefill(self) -> caller_request.KvHandle | None:
        """Return None; see `stream_places.Place`."""
        return None

    def keep_source(self, source: caller_request.KvHandle | None) -> None:
        """Do nothing; see `stream_places.Place`."""

    def has_other(self) -> bool:
        """Whether another server can be chosen; see `stream_places.Place`."""
        other = self._servers.choose(
            self._context, avoid=(*self._run.avoid, self._server.id)
        )
        return other is not None

    def record_rejection(
        self, *, source: caller_request.KvHandle | None
    ) -> None:
        """Record a rejection of the server; see `stream_places.Place`."""
        self._run.record_rejection(
            self._board.now(), self._server.id, had_source=False
        )

    def record_lost(self) -> None:
        """Do nothing: `server_loads` knows it; see `stream_places.Place`."""

    def release(self) -> None:
        """Do nothing: no slot is held; see `stream_places.Place`."""


class ChosenPlaces:
    """Chooses servers for the streams of services without engines."""

    def __init__(
        self,
        board: routing_board.RoutingBoard,
        crashes: crash_watch.CrashWatch,
        servers: server_choice.ServerChoice,
    ) -> None:
        self._board = board
        self._crashes = crashes
        self._servers = servers

    async def find(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> ChosenPlace | server_choice.NoServer:
        """Choose a server by load; see `stream_places.StreamPlaces`."""
        if run.disconnects:
            await self._crashes.wait_for_first_check(
                context.content(), limit_s=max(0.0, context.left_s)
            )
        server = await self._servers.choose_with_permit(
            context, avoid=run.avoid, version=run.version
        )
        has_time = context.left_s >= server_choice.MIN_TIME_LEFT_S
        if server is not None and has_time:
            return ChosenPlace(self._board, self._servers, context, run, server)
        if run.unreached and not context.tries:
            raise errors.UnreachedError(
                f"no connection to {', '.join(run.avoid)}"
            )
        return self._servers.explain(
            context, avoid=run.avoid, version=run.version
        )
