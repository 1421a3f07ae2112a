"""Controller that brings the accepted configuration into force."""

from collections.abc import Callable
import random
from typing import Any
from typing import Literal
from typing import NamedTuple

import msgspec

from nutmegscale import blackboard
from nutmegscale import config
from nutmegscale import config_fetcher
from nutmegscale import config_transfer
from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import merge_patch
from nutmegscale import mesh
from nutmegscale import messages
from nutmegscale import periodic
from nutmegscale import platform_service
from nutmegscale import store_era

ROW_KEY = "config/current"
MAX_STORED_ATTEMPTS = 32
WRITE_TRIES = 4
# Delay of a poll past its period from which this process counts as having
# been suspended.
SUSPEND_THRESHOLD_S = 3.0
# Peers asked for a missing or stale configuration when the platform can't give
# or confirm it.
CONFIRM_PEERS = 2
PATCHES_MAX_BYTES = 4_096
# Time after a restore of the table before a change is accepted, seconds: by
# then a host with a later revision has written it again.
RESTORE_SETTLE_S = 3.0
# Added to the revision of the first change after a restore, so that it is later
# than every lost one: many more changes than a copy's age allows.
RESTORE_REVISION_GAP = 1_000


class CurrentRow(NamedTuple):
    """Content of the store row that identifies the accepted configuration.

    Attributes:
      revision: Number of the configuration; each change increments it by one.
      digest: Digest of its content, which is its key in the object store.
      attempts: Latest accepted attempts with their revisions, oldest first.
      patches: Latest patches with the revisions that they result in, oldest
        first, up to PATCHES_MAX_BYTES in total.
      era: Era of the table in which the row was written.
    """

    revision: int
    digest: str
    attempts: tuple[tuple[str, int], ...]
    patches: tuple[tuple[int, bytes], ...] = ()
    era: int = 0


_row_decoder: decoding.Decoder[CurrentRow] = decoding.Decoder(
    CurrentRow, "msgpack"
)


class ApplyResult(NamedTuple):
    """Result of an attempt to change the configuration.

    Attributes:
      state: "accepted", "conflict" or "unavailable".
      revision: The accepted revision; after a conflict, the store's current
        one; if unavailable, the one in force on this host.
    """

    state: Literal["accepted", "conflict", "unavailable"]
    revision: int


class ConfigController:
    """Writes `Blackboard.config` and `Blackboard.is_stale`.

    The revision in force never decreases, whatever its source. If the table was
    restored from an older copy, a host with a later revision writes it again.
    """

    def __init__(
        self,
        board: blackboard.Blackboard,
        link: mesh.Mesh,
        platform: platform_service.Platform,
        *,
        era: store_era.StoreEra,
        rng: random.Random,
    ) -> None:
        self._board = board
        self._mesh = link
        self._platform = platform
        self._era = era
        self._rng = rng
        self._known_version = 0
        self._known_era = 0
        self._attempts: tuple[tuple[str, int], ...] = ()
        self._fetching: set[str] = set()
        self._patches: tuple[tuple[int, bytes], ...] = ()
        self._on_adopted: Callable[[], None] = lambda: None
        self._packed: config_transfer.PackedConfig | None = None
        self._fetcher = config_fetcher.ConfigFetcher(
            board.clock,
            link,
            version=lambda: self.revision,
            on_content=self._adopt_fetched,
            # Pauses only have to differ between hosts.
            rng=random.Random(board.host),
        )
        self._last_poll: float | None = None
        self._poll_s = board.settings["config_poll_s"]
        self._polls = periodic.Periodic(board.clock, self._poll_s, self._poll)
        link.on(messages.ConfigRequest, self._receive_request)
        link.on(messages.RoutingRequest, self._receive_part_request)

    @property
    def revision(self) -> int:
        """Revision in force, 0 if there is none."""
        return self._board.config.revision if self._board.config else 0

    def watch_adopted(self, on_adopted: Callable[[], None]) -> None:
        """Set a function to call after each change of the configuration."""
        self._on_adopted = on_adopted

    def start(self) -> None:
        """Start polling for new revisions."""
        self._polls.start()

    def stop(self) -> None:
        """Stop polling for new revisions."""
        self._polls.stop()
        self._fetcher.stop()

    async def _poll(self) -> None:
        self._detect_suspend()
        confirmed = await self._read_platform()
        if not confirmed and (
            self._board.config is None or self._board.is_stale
        ):
            confirmed = await self._ask_peers(self._sample_peers())
        if confirmed:
            self._board.is_stale = False

    def _detect_suspend(self) -> None:
        """Mark the configuration as stale after this process was suspended."""
        now = self._board.now()
        last, self._last_poll = self._last_poll, now
        if last is not None and now - last > self._poll_s + SUSPEND_THRESHOLD_S:
            self._board.is_stale = True
            self._board.record_event(
                "config.stale", slept_s=round(now - last, 1)
            )

    async def _read_platform(self) -> bool:
        try:
            row = await self._platform.read(ROW_KEY, self._known_version)
            if row.era != self._known_era:
                # The known version may have been given out again.
                self._known_era, self._known_version = row.era, 0
                row = await self._platform.read(ROW_KEY)
            if row.value or not row.version:
                current = _decode_row(row)
                if current.revision < self.revision:
                    if _is_from_copy(row, current):
                        await self._write_again(row)
                    return True
                if not await self._adopt_row(current):
                    return False
                self._attempts = current.attempts
            self._known_version = row.version
        except errors.PlatformUnavailableError:
            return False
        return True

    async def _write_again(self, row: platform_service.Row) -> None:
        """Write the configuration in force over an older one of a copy."""
        assert self._board.config is not None
        content = config.canonical(self._board.config.document)
        await self._platform.put_object(self._board.config.digest, content)
        current = CurrentRow(
            self.revision,
            self._board.config.digest,
            self._attempts,
            self._patches,
            row.era,
        )
        await self._platform.write(
            ROW_KEY, row.version, msgspec.msgpack.encode(current)
        )
        self._board.record_event(
            "config.written_again", revision=self.revision, era=row.era
        )

    async def _adopt_row(self, current: CurrentRow) -> bool:
        """Adopt the accepted configuration, by patches where possible.

        Returns:
          False if its content isn't available now.
        """
        if current.revision <= self.revision:
            return True
        if self._apply_patches(
            current.revision, current.digest, current.patches
        ):
            return True
        content = await self._platform.get_object(current.digest)
        if content is None:
            return False
        self._adopt(current.revision, content, "platform")
        self._patches = current.patches
        return True

    def _apply_patches(
        self,
        revision: int,
        digest: str,
        patches: tuple[tuple[int, bytes], ...],
    ) -> bool:
        """Bring the configuration in force to a revision by patches.

        Returns:
          False if no configuration is in force, if the patches don't lead from
          it to the revision, or if the digest of the result differs.
        """
        if self._board.config is None:
            return False
        needed = [p for number, p in patches if number > self.revision]
        if len(needed) != revision - self.revision:
            return False
        document: Any = self._board.config.document
        try:
            for patch in needed:
                document = merge_patch.apply(
                    document, config.decode_document(patch)
                )
        except errors.ConfigError as exc:
            self._board.record_event(
                "config.invalid", revision=revision, error=str(exc)
            )
            return False
        content = config.canonical(document)
        if config.digest_of(content) != digest:
            return False
        self._adopt(revision, content, "patch")
        self._patches = patches
        return True

    def _sample_peers(self) -> list[str]:
        peers = [
            h for h in self._board.membership.alive() if h != self._board.host
        ]
        return self._rng.sample(peers, min(CONFIRM_PEERS, len(peers)))

    async def _ask_peers(self, peers: list[str]) -> bool:
        """Fetch the configuration from peers.

        Returns:
          Whether a peer answered and a configuration is in force.
        """
        answered = False
        for peer in peers:
            answered = await self._fetch(peer) or answered
        return answered and self._board.config is not None

    async def _fetch(self, peer: str) -> bool:
        try:
            reply = await self._mesh.call(
                peer,
                messages.ConfigRequest(self.revision, takes_parts=True),
                messages.ConfigReply,
            )
        except errors.PeerError:
            return False
        if reply.revision <= self.revision:
            return True
        if reply.is_in_parts:
            self._fetcher.ask(peer)
            return False
        if not self._apply_patches(reply.revision, reply.digest, reply.patches):
            self._adopt(reply.revision, reply.content, peer)
            self._patches = reply.patches
        return True

    def fetch_from(self, peer: str) -> None:
        """Fetch the later configuration that a peer reported."""
        if peer not in self._fetching:
            periodic.spawn(self._fetch_once(peer))

    async def _fetch_once(self, peer: str) -> None:
        self._fetching.add(peer)
        try:
            await self._fetch(peer)
        finally:
            self._fetching.discard(peer)

    def _receive_request(
        self, sender: str, request: messages.ConfigRequest
    ) -> messages.ConfigReply:
        current = self._board.config
        if current is None or current.revision <= request.known_revision:
            return messages.ConfigReply(self.revision, "", (), b"")
        patches = tuple(
            p for p in self._patches if p[0] > request.known_revision
        )
        content = b""
        if len(patches) != current.revision - request.known_revision:
            patches = ()
            content = config.canonical(current.document)
        if request.takes_parts and len(content) > config_transfer.PART_BYTES:
            return messages.ConfigReply(
                current.revision, current.digest, (), b"", is_in_parts=True
            )
        return messages.ConfigReply(
            current.revision, current.digest, patches, content
        )

    def _receive_part_request(
        self, sender: str, request: messages.RoutingRequest
    ) -> messages.RoutingReply:
        current = self._board.config
        if current is None or current.revision <= request.known_version:
            return messages.RoutingReply(self.revision, b"")
        if self._packed is None or self._packed.version != current.revision:
            self._packed = config_transfer.pack(
                current.revision, config.canonical(current.document)
            )
        return config_fetcher.reply_to(
            request, self._packed, version=self.revision
        )

    def _adopt_fetched(self, revision: int, content: bytes, peer: str) -> None:
        self._adopt(revision, content, peer)
        self._patches = ()

    def _adopt(self, revision: int, content: bytes, source: str) -> None:
        try:
            adopted = config.decode(content, revision)
        except errors.ConfigError as exc:
            self._board.record_event(
                "config.invalid", revision=revision, error=str(exc)
            )
            return
        if revision <= self.revision:
            return
        self._board.config = adopted
        self._board.membership.revision = revision
        self._on_adopted()
        self._board.record_event(
            "config.in_force", revision=revision, source=source
        )

    async def apply(
        self, document: config.Document, base_revision: int | None, attempt: str
    ) -> ApplyResult:
        """Make a document the accepted configuration.

        The row lists the last MAX_STORED_ATTEMPTS accepted attempts, so after a
        lost answer the same attempt may be sent again to any host.

        Args:
          document: The validated document.
          base_revision: Revision that it replaces; None for the current one.
          attempt: Unique id of the attempt.

        Returns:
          Whether it was accepted, conflicts with another change, or can't be
          decided now.
        """
        content = config.canonical(document)
        digest = config.digest_of(content)
        for _ in range(WRITE_TRIES):
            try:
                result = await self._try_apply(
                    content, digest, base_revision, attempt
                )
            except errors.PlatformUnavailableError:
                continue
            if result is not None:
                return result
        return ApplyResult("unavailable", self.revision)

    async def _next_patches(
        self, current: CurrentRow, content: bytes
    ) -> tuple[tuple[int, bytes], ...]:
        """Return the patches of the row after a change to `content`.

        There are none if the old content isn't available.
        """
        old = await self._platform.get_object(current.digest)
        if old is None:
            return ()
        try:
            patch = merge_patch.make(
                config.decode_document(old), config.decode_document(content)
            )
        except errors.ConfigError:
            # Without patches, the other hosts read the whole content.
            return ()
        encoded = msgspec.json.encode(patch)
        return _trim_patches(
            (*current.patches, (current.revision + 1, encoded))
        )

    async def _try_apply(
        self,
        content: bytes,
        digest: str,
        base_revision: int | None,
        attempt: str,
    ) -> ApplyResult | None:
        row = await self._platform.read(ROW_KEY)
        current = _decode_row(row)
        is_restored = _is_from_copy(row, current)
        if is_restored and current.revision < self.revision:
            await self._write_again(row)
            return None
        known_s = self._era.known_s(self._board.now(), row.era)
        if is_restored and known_s < RESTORE_SETTLE_S:
            return ApplyResult("unavailable", self.revision)
        accepted = dict(current.attempts).get(attempt)
        if accepted is not None:
            await self._read_platform()
            return ApplyResult("accepted", accepted)
        if base_revision not in (None, current.revision):
            return ApplyResult("conflict", current.revision)
        await self._platform.put_object(digest, content)
        revision = current.revision + 1
        if is_restored:
            revision += RESTORE_REVISION_GAP
        attempts = (*current.attempts, (attempt, revision))[
            -MAX_STORED_ATTEMPTS:
        ]
        patches: tuple[tuple[int, bytes], ...] = ()
        if not is_restored:
            patches = await self._next_patches(current, content)
        value = msgspec.msgpack.encode(
            CurrentRow(revision, digest, attempts, patches, row.era)
        )
        written = await self._platform.write(ROW_KEY, row.version, value)
        if (
            isinstance(written, platform_service.Conflict)
            or written.era != row.era
        ):
            return None
        self._adopt(revision, content, "operator")
        self._patches, self._attempts = patches, attempts
        return ApplyResult("accepted", revision)


def _trim_patches(
    patches: tuple[tuple[int, bytes], ...],
) -> tuple[tuple[int, bytes], ...]:
    """Return the latest patches that fit into PATCHES_MAX_BYTES."""
    kept: list[tuple[int, bytes]] = []
    size = 0
    for patch in reversed(patches):
        size += len(patch[1])
        if size > PATCHES_MAX_BYTES:
            break
        kept.insert(0, patch)
    return tuple(kept)


def _is_from_copy(row: platform_service.Row, current: CurrentRow) -> bool:
    """Whether a row may be older than one that was lost in a restore."""
    if not row.version:
        return row.era > 0
    return row.era != current.era


def _decode_row(row: platform_service.Row) -> CurrentRow:
    """Decode the row of the accepted configuration.

    Raises:
      errors.PlatformUnavailableError: The content isn't such a row.
    """
    if not row.version:
        return CurrentRow(0, "", (), era=row.era)
    try:
        return _row_decoder.decode(row.value)
    except errors.MalformedDataError as exc:
        raise errors.PlatformUnavailableError(
            f"malformed row {ROW_KEY}: {exc}"
        ) from exc
