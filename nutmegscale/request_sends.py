"""Sends of one request to backend servers, paid from the retry budget."""

from collections.abc import Callable
import types
from typing import Self

from nutmegscale import errors
from nutmegscale import retry_share


class RequestSends:
    """Counts what a request sends to servers; does no I/O.

    Answers retries that pile up while servers fail or reject. One send of a
    request is free, and so is the first prefill that a worker accepts. Each
    other one is paid from the retry budget before it is sent, whether or not
    the server then runs it. One that may have arrived counts as arrived.
    """

    def __init__(
        self,
        share: retry_share.RetryShare,
        *,
        now: Callable[[], float],
        on_retry: Callable[[bool], None] = lambda _: None,
    ) -> None:
        """Create the record of a request that sent nothing yet.

        Args:
          share: Share of the retry budget that pays for further sends.
          now: Returns monotonic time in seconds.
          on_retry: Called when a retry is allowed (True) or denied.
        """
        self._share = share
        self._now = now
        self._on_retry = on_retry
        self._arrivals = 0
        self._paid = 0
        self._has_prefilled = False

    @property
    def has_prefilled(self) -> bool:
        """Whether a worker accepted a prefill, so that none is free again."""
        return self._has_prefilled

    @property
    def has_arrived(self) -> bool:
        """Whether anything of the request arrived at a server, or may have."""
        return self._has_prefilled or self._arrivals > 0

    def reserve(self, count: int = 1) -> bool:
        """Pay for sends in advance; what is paid and not sent is kept.

        Args:
          count: Number of sends that will count as arrivals.

        Returns:
          Whether they may be sent; False if the retry budget is spent.
        """
        while self._paid < self._arrivals + count - 1:
            is_allowed = self._share.take(self._now())
            self._paid += is_allowed
            self._on_retry(is_allowed)
            if not is_allowed:
                return False
        return True

    def send(self) -> "Send":
        """Return the context manager of one send, until its answer begins."""
        return Send(self)

    def begin(self) -> None:
        """Pay for a send; see `Send`."""
        if not self.reserve():
            raise errors.RetryDeniedError(
                f"the retry budget allows no send after {self._arrivals}"
            )

    def record_offer(self) -> bool:
        """Pay for a send that another host makes, after one of this host.

        Returns:
          Whether it may be made; False if the retry budget is spent.
        """
        if not self.reserve():
            return False
        self.end(is_accepted_prefill=False)
        return True

    def end(self, *, is_accepted_prefill: bool) -> None:
        """Record a send that arrived; see `Send`."""
        if is_accepted_prefill and not self._has_prefilled:
            self._has_prefilled = True
        else:
            self._arrivals += 1
            if self._arrivals > 1:
                self._share.use()

    def close(self) -> None:
        """Give back what was paid and not sent, at the end of the request."""
        while self._paid > max(0, self._arrivals - 1):
            self._paid -= 1
            self._share.give_back()

    def detach(self) -> None:
        """Drop the callback for retries, which references the request."""
        self._on_retry = lambda _: None


class Send:
    """One send of a request, as a context manager around it.

    Entering pays for it and raises `errors.RetryDeniedError` if the retry
    budget is spent. It counts as arrived unless it wasn't sent.
    """

    def __init__(self, sends: RequestSends) -> None:
        self._sends = sends
        self._is_accepted_prefill = False

    def accept_prefill(self) -> None:
        """Record that it was a prefill and the worker accepted it."""
        self._is_accepted_prefill = True

    def __enter__(self) -> Self:
        self._sends.begin()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exception: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        if not isinstance(exception, errors.ConnectError | errors.NotSentError):
            self._sends.end(is_accepted_prefill=self._is_accepted_prefill)
