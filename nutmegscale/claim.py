"""At-most-once calls, by a claim in the platform's table before each call.

A call is sent only after the row of its key names this attempt as the holder
of the claim. The row is written once before the call and once after it:

  none -> claimed -> done | unknown | free,  free -> claimed

Only the holder sets its claim to "free", and only if it never sent the call.
Another attempt may replace a claim whose host reports that the holder will
never send the call. "done" and "unknown" are final. So a call is never sent
twice.

If the table is restored from an older copy, claims may be missing from it. No
new claim counts until each host had time to write its own again.
"""

from collections import deque
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib
from typing import NamedTuple
from typing import Protocol

import msgspec

from nutmegscale import decoding
from nutmegscale import errors
from nutmegscale import platform_service

# The first try to send a call begins only within this time after the start of
# its attempt.
DISPATCH_WINDOW_S = 2.0
# Time for which a claim whose host doesn't know its attempt or doesn't answer
# must be unchanged before it is set to "unknown".
SETTLE_AFTER_S = 6.0
POLL_PERIOD_S = 0.3
WRITE_TRIES = 3
RECORD_TRIES = 4
RETRY_AFTER_S = 2.0
MAX_ABANDONED = 10_000


class Answer(NamedTuple):
    """Response of a service to a call."""

    status: int
    content_type: str
    body: bytes


class ClaimRow(NamedTuple):
    """Content of the row of a claim.

    Attributes:
      state: "claimed", "done", "unknown" or "free".
      attempt: Unique name of the attempt that holds or held the claim.
      host: Host of that attempt.
      content: Digest of the call, to detect a key reused for another call.
      answer: The answer if the state is "done".
    """

    state: str
    attempt: str
    host: str
    content: bytes
    answer: Answer | None = None


_row_decoder: decoding.Decoder[ClaimRow] = decoding.Decoder(ClaimRow, "msgpack")


class Peers(Protocol):
    """Access to the attempt states of other hosts."""

    async def attempt_state(self, host: str, attempt: str) -> str:
        """Return "running", "abandoned" or "unknown"; raises nothing."""
        ...


class Memory(Protocol):
    """This host's memory of its claims; see `claim_memory.ClaimMemory`."""

    @property
    def era(self) -> int:
        """Latest known era of the table."""
        ...

    def keep(self, key: str, row: ClaimRow, version: int) -> None:
        """Keep the state of a claim that this host decided.

        Args:
          key: Key of its row.
          row: Content of the row.
          version: Latest known version of the row.
        """
        ...

    async def unsettled_s(self, era: int) -> float:
        """Return for how long claims of an era don't count yet, seconds."""
        ...


class Attempts:
    """States of this host's own attempts, which its peers may query.

    The oldest abandoned attempts are forgotten; a peer then takes the outcome
    of their calls for unknown.
    """

    def __init__(self) -> None:
        self._states: dict[str, str] = {}
        self._abandoned: deque[str] = deque()

    def start(self, attempt: str) -> None:
        """Record that an attempt is running."""
        self._states[attempt] = "running"

    def abandon(self, attempt: str) -> None:
        """Record that an attempt will never send its call."""
        if self._states.get(attempt) != "abandoned":
            self._abandoned.append(attempt)
        self._states[attempt] = "abandoned"
        while len(self._abandoned) > MAX_ABANDONED:
            self._states.pop(self._abandoned.popleft(), None)

    def forget(self, attempt: str) -> None:
        """Remove an attempt; its state is "unknown" from then on."""
        self._states.pop(attempt, None)

    def state(self, attempt: str) -> str:
        """Return "running", "abandoned" or "unknown"."""
        return self._states.get(attempt, "unknown")


class ClaimedCall:
    """One attempt at a call that must run at most once."""

    def __init__(
        self,
        table: platform_service.Platform,
        peers: Peers,
        attempts: Attempts,
        memory: Memory,
        *,
        now: Callable[[], float],
        sleep: Callable[[float], Awaitable[None]],
        key: str,
        attempt: str,
        host: str,
        content: bytes,
        timeout_s: float,
    ) -> None:
        self._table = table
        self._peers = peers
        self._attempts = attempts
        self._memory = memory
        self._now = now
        self._sleep = sleep
        self._key = key
        self._own_claim = ClaimRow("claimed", attempt, host, content)
        self._claim_era = 0
        self._started_at = now()
        self._deadline = self._started_at + timeout_s

    async def run(
        self, send: Callable[[], Awaitable[Answer]]
    ) -> Answer | errors.Failure:
        """Claim the key and send the call if this attempt holds the claim.

        Args:
          send: Sends the call. It raises errors.ConnectError or
            errors.QuarantinedError if nothing was sent, and
            errors.TransportError if the call may have run.

        Returns:
          The answer of the service to this attempt or to an earlier one that
          recorded it, or a failure that tells whether the call was run.
        """
        attempt = self._own_claim.attempt
        self._attempts.start(attempt)
        try:
            version = await self._acquire()
            if not isinstance(version, int):
                return version
            if self._now() - self._started_at > DISPATCH_WINDOW_S:
                return await self._free_claim(version, "claim_too_slow")
            return await self._send(version, send)
        except errors.PlatformUnavailableError:
            # The call wasn't sent: after sending it, `_record_end` handles
            # this error.
            self._attempts.abandon(attempt)
            return _platform_unavailable()
        finally:
            if self._attempts.state(attempt) == "running":
                self._attempts.forget(attempt)

    async def _acquire(self) -> int | Answer | errors.Failure:
        """Write the claim.

        Returns:
          Version of the row with the claim, or the final result.
        """
        expect = read_era = 0
        unchanged: tuple[int, float] = (0, self._now())
        while True:
            outcome = await self._write_claim(expect)
            if isinstance(outcome, platform_service.Written):
                if not expect or outcome.era == read_era:
                    return await self._settle(outcome)
                # The expected version was given out again after a restore: the
                # replaced claim may be another one, and may count.
                settled = await self._settle_as_unknown(
                    outcome.version, self._own_claim
                )
                if not isinstance(settled, int):
                    return settled
                expect = settled
                continue
            current = outcome.current
            read_era = current.era
            row = decode_row(current.value)
            if (
                row.attempt == self._own_claim.attempt
                and row.state == "claimed"
            ):
                return await self._settle(
                    platform_service.Written(current.version, current.era)
                )
            if current.version != unchanged[0]:
                unchanged = (current.version, self._now())
            decision = await self._examine_claim(
                current.version, row, unchanged[1]
            )
            if not isinstance(decision, int):
                return decision
            expect = decision

    async def _settle(
        self, written: platform_service.Written
    ) -> int | errors.Failure:
        """Return the version of the claim, or a failure if it doesn't count."""
        self._claim_era = written.era
        wait_s = await self._memory.unsettled_s(written.era)
        if wait_s <= 0.0:
            self._memory.keep(self._key, self._own_claim, written.version)
            return written.version
        await self._release_claim(written.version)
        return errors.Failure(
            503,
            "claims_unsettled",
            "an earlier attempt may be missing from the restored table",
            "maybe_run",
            wait_s,
        )

    async def _write_claim(
        self, expect: int
    ) -> platform_service.Written | platform_service.Conflict:
        """Write the claim, and write it again if the table gave no answer.

        A repeated conditional write can't take effect twice: if the first one
        did, the second one conflicts and finds this attempt in the row.
        """
        for _ in range(WRITE_TRIES - 1):
            try:
                return await self._table.write(
                    self._key, expect, encode_row(self._own_claim)
                )
            except errors.PlatformUnavailableError:
                continue
        return await self._table.write(
            self._key, expect, encode_row(self._own_claim)
        )

    async def _examine_claim(
        self, version: int, row: ClaimRow, since: float
    ) -> int | Answer | errors.Failure:
        """Decide how to proceed with the row of another attempt.

        Args:
          version: Version of the row.
          row: Its content.
          since: Time at which this version was first seen.

        Returns:
          The version that the next write of the claim expects, or the final
          result.
        """
        if row.content != self._own_claim.content:
            return errors.Failure(
                422,
                "key_reused",
                "the key was used for another call",
            )
        if row.state == "done" and row.answer is not None:
            return row.answer
        if row.state == "unknown":
            return _outcome_unknown()
        if row.state == "free":
            return version
        state = await self._peers.attempt_state(row.host, row.attempt)
        if state == "abandoned":
            return version
        if state != "running" and self._now() - since >= SETTLE_AFTER_S:
            return await self._settle_as_unknown(version, row)
        if self._now() >= self._deadline:
            return errors.Failure(
                409,
                "in_progress",
                "an earlier attempt still runs",
                "maybe_run",
                RETRY_AFTER_S,
            )
        await self._sleep(POLL_PERIOD_S)
        # A write that expects no row conflicts and so returns the current one.
        return 0

    async def _settle_as_unknown(
        self, version: int, row: ClaimRow
    ) -> int | errors.Failure:
        """Set a claim whose call may run or have run to "unknown"."""
        settled = row._replace(state="unknown")
        outcome = await self._table.write(
            self._key, version, encode_row(settled)
        )
        if isinstance(outcome, platform_service.Written):
            return _outcome_unknown()
        return 0

    async def _send(
        self, version: int, send: Callable[[], Awaitable[Answer]]
    ) -> Answer | errors.Failure:
        try:
            answer = await send()
        except errors.ConnectError:
            return await self._free_claim(version, "service_unreachable")
        except errors.QuarantinedError:
            await self._release_claim(version)
            return errors.quarantine_failure("not_run")
        except errors.TransportError:
            await self._record_end(
                version, self._own_claim._replace(state="unknown")
            )
            return _outcome_unknown()
        done = self._own_claim._replace(state="done", answer=answer)
        await self._record_end(version, done)
        return answer

    async def _free_claim(self, version: int, reason: str) -> errors.Failure:
        """Free a claim whose call was never sent, and return the failure."""
        await self._release_claim(version)
        return errors.Failure(
            503, reason, "the call wasn't sent", "not_run", RETRY_AFTER_S
        )

    async def _release_claim(self, version: int) -> None:
        """Set a claim whose call was never sent to "free"."""
        self._attempts.abandon(self._own_claim.attempt)
        await self._record_end(version, self._own_claim._replace(state="free"))

    async def _record_end(self, version: int, row: ClaimRow) -> None:
        """Write how the claim ended, unless the platform gives no answer.

        On a conflict the row has changed already: an earlier try took effect,
        another attempt settled or replaced the claim, or the table was
        restored and shows this claim in another version, or not at all. Then
        the claim is written until its version is as high as before the restore,
        so that no write that was read before it replaces the end.
        """
        self._memory.keep(self._key, row, version + 1)
        claimed_version = version
        tries = 0
        while tries < RECORD_TRIES:
            if row.state == "free" and self._memory.era != self._claim_era:
                # The version now stands for another write. If the restored row
                # shows the claim, this host tells that it was abandoned.
                return
            try:
                written = row if version >= claimed_version else self._own_claim
                outcome = await self._table.write(
                    self._key, version, encode_row(written)
                )
            except errors.PlatformUnavailableError:
                tries += 1
                await self._sleep(POLL_PERIOD_S)
                continue
            if isinstance(outcome, platform_service.Written):
                version = outcome.version
                if version > claimed_version:
                    return
                continue
            version = outcome.current.version
            if version:
                current = decode_row(outcome.current.value)
                is_own = current.attempt == row.attempt
                if not is_own or current.state != "claimed":
                    return


def encode_row(row: ClaimRow) -> bytes:
    """Encode the row of a claim."""
    return msgspec.msgpack.encode(row)


def decode_row(value: bytes) -> ClaimRow:
    """Decode the row of a claim.

    Raises:
      errors.PlatformUnavailableError: The content isn't a claim.
    """
    try:
        return _row_decoder.decode(value)
    except errors.MalformedDataError as exc:
        raise errors.PlatformUnavailableError(
            f"malformed claim row: {exc}"
        ) from exc


def _outcome_unknown() -> errors.Failure:
    return errors.Failure(
        502,
        "outcome_unknown",
        "the call may have run; it won't be run again",
        "maybe_run",
    )


def _platform_unavailable() -> errors.Failure:
    return errors.Failure(
        503,
        "platform_unavailable",
        "the call can't be claimed now",
        "not_run",
        RETRY_AFTER_S,
    )


def row_key(caller: str, key: str) -> str:
    """Return the table key of a caller's idempotency key."""
    return f"claims/{content_digest(caller.encode(), key.encode()).hex()}"


def content_digest(*parts: bytes) -> bytes:
    """Return a digest of byte strings that depends on their boundaries."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.digest()
