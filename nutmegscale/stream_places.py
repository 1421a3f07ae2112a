"""Where runs of streams may go; the kinds of service differ in how it's found.

What a stream is (its events, origin, version, resumption and end) is the same
for all kinds of service, see `stream_runner`.
"""

from typing import Protocol

from nutmegscale import backend
from nutmegscale import caller_request
from nutmegscale import request_context
from nutmegscale import server_choice
from nutmegscale import stream_run


class Place(Protocol):
    """A server where one run of a stream may start."""

    @property
    def server_id(self) -> str:
        """Id of the server."""
        ...

    @property
    def server(self) -> backend.Backend | None:
        """The server; None if it has left meanwhile."""
        ...

    @property
    def is_permitted(self) -> bool:
        """Whether a permit of a server that states a limit was used for it."""
        ...

    def reuse_source(self) -> caller_request.KvHandle | None:
        """Return the KV cache of an earlier place, if it can be used here."""
        ...

    async def prefill(self) -> caller_request.KvHandle | None:
        """Let another server prefill the prompt.

        Returns:
          The KV cache; None if the server of the run is to prefill the prompt.

        Raises:
          errors.PrefillFailedError: The other server gave none.
        """
        ...

    def keep_source(self, source: caller_request.KvHandle | None) -> None:
        """Keep a KV cache for the next place, or free it if it is unused."""
        ...

    def has_other(self) -> bool:
        """Whether another server can be tried without waiting for it."""
        ...

    def record_rejection(
        self, *, source: caller_request.KvHandle | None
    ) -> None:
        """Record that the server rejected the run, and avoid it."""
        ...

    def record_lost(self) -> None:
        """Record that the server was unreachable or broke the connection."""
        ...

    def release(self) -> None:
        """Record that the run has ended, in any way."""
        ...


class StreamPlaces(Protocol):
    """Finds places for the streams of one kind of service."""

    async def find(
        self, context: request_context.RequestContext, run: stream_run.StreamRun
    ) -> Place | server_choice.NoServer:
        """Find a place for the next run of a stream.

        Raises:
          errors.UnreachedError: No server takes a connection of this host.
        """
        ...
