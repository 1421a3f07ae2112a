"""Fetches a later configuration from other hosts, one part at a time."""

from collections.abc import Callable
import random
from typing import Any

from twisted.internet import defer

from nutmegscale import config_sources
from nutmegscale import config_transfer
from nutmegscale import errors
from nutmegscale import logs
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic


class ConfigFetcher:
    """Fetches a configuration from the hosts that may have a later one.

    One part is requested at a time, from a host that `config_sources` chooses.
    """

    def __init__(
        self,
        clock: Any,
        link: mesh.Mesh,
        *,
        version: Callable[[], int],
        on_content: Callable[[int, bytes, str], None],
        rng: random.Random,
    ) -> None:
        """Create the fetcher.

        Args:
          clock: Twisted clock.
          link: Messages between hosts.
          version: Returns the version in force on this host, 0 if there is
            none.
          on_content: Called with a later version, its content and the host
            that sent its last part.
          rng: Source of random numbers.
        """
        self._clock = clock
        self._mesh = link
        self._version = version
        self._on_content = on_content
        self._sources = config_sources.ConfigSources(rng)
        self._parts = config_transfer.Collector()
        self._running: defer.Deferred[Any] | None = None
        self._is_stopped = False

    def ask(self, host: str) -> None:
        """Ask a host for a later configuration, after a pause if one is due."""
        if self._is_stopped:
            return
        self._sources.add(host)
        if self._running is None or self._running.called:
            self._running = periodic.spawn(self._run())

    def stop(self) -> None:
        """Stop fetching, even while a call is in progress."""
        self._is_stopped = True
        if self._running is not None:
            self._running.cancel()

    async def _run(self) -> None:
        while (host := self._sources.next_host()) is not None:
            if not await self._fetch_part(host):
                pause_s = self._sources.record_failure(host)
                await periodic.sleep(self._clock, pause_s)

    async def _fetch_part(self, host: str) -> bool:
        """Ask a host for the next part; return whether it answered."""
        began_at, before = self._clock.seconds(), self._mesh.counts
        try:
            reply = await self._mesh.call(
                host,
                messages.RoutingRequest(
                    self._version(), self._parts.digest, self._parts.offset
                ),
                messages.RoutingReply,
                timeout_s=self._sources.answer_s,
            )
            self._receive(host, reply)
        except (errors.PeerError, errors.MalformedDataError) as exc:
            self._log_failure(host, str(exc), began_at, before)
            return False
        return True

    def _receive(self, host: str, reply: messages.RoutingReply) -> None:
        """Use the answer of a host.

        Raises:
          errors.MalformedDataError: The part isn't one that was asked for, or
            the configuration is invalid.
        """
        if reply.version <= self._version():
            self._sources.remove(host)
            self._parts.clear()
            return
        content: bytes | None = reply.content
        # A host of an earlier build answers with the whole configuration.
        if reply.size:
            content = self._parts.add(part_of_reply(reply))
        if content is None:
            return
        self._on_content(reply.version, content, host)
        if self._version() < reply.version:
            raise errors.MalformedDataError(
                f"version {reply.version} can't be used"
            )
        self._sources.record_success()

    def _log_failure(
        self, host: str, why: str, began_at: float, before: mesh.Counts
    ) -> None:
        """Log what a fetch was waiting for, and what arrived meanwhile."""
        now, counts = self._clock.seconds(), self._mesh.counts
        logs.get().info(
            "config_not_learnt",
            peer=host,
            why=why,
            took_s=round(now - began_at, 3),
            offset=self._parts.offset,
            received_bytes=counts.received_bytes - before.received_bytes,
            sent_bytes=counts.sent_bytes - before.sent_bytes,
            silent_s=round(now - self._mesh.last_heard(host), 3),
        )


def part_of_reply(reply: messages.RoutingReply) -> config_transfer.Part:
    """Return the part that a reply holds."""
    return config_transfer.Part(
        reply.version, reply.digest, reply.size, reply.offset, reply.content
    )


def reply_to(
    request: messages.RoutingRequest,
    packed: config_transfer.PackedConfig | None,
    *,
    version: int,
) -> messages.RoutingReply:
    """Return the answer to a host that asks for a later configuration.

    Args:
      request: The request.
      packed: The configuration in force.
      version: Its version, 0 if there is none.
    """
    if packed is None or packed.version <= request.known_version:
        return messages.RoutingReply(version, b"")
    if request.offset == messages.WHOLE:
        return messages.RoutingReply(packed.version, packed.content)
    part = config_transfer.part_of(
        packed, digest=request.digest, offset=request.offset
    )
    return messages.RoutingReply(
        part.version, part.data, part.digest, part.size, part.offset
    )
