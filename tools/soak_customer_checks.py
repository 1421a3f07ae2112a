"""What keys and usage limits of customers require, from recorded events.

Is fed with the changes of the configuration, with the requests of callers and
their answers, and with what reached backend servers; does no I/O.
"""

import bisect
from collections.abc import Sequence
import itertools
import math
from typing import Literal
from typing import NamedTuple

from nutmegscale import customers
from nutmegscale import http_message

# Time after which a configuration is in force at a host, seconds:
# `configApplyMs` of the deployment's specification.
APPLY_S = 3.0
# Every key of the soak starts so, so that one can be recognized anywhere.
KEY_MARK = "soak-key-"
# Statuses of a request whose key isn't in force: hosts without a configuration
# answer 503, and closed connections have none.
STATUSES_WITHOUT_KEY = (0, 401, 503)

KEY_PROMISE = "no server and no log gets a key"
NAME_PROMISE = "servers get the customer's name"
UNKNOWN_PROMISE = "a request without a known key reaches no server"
REMOVED_PROMISE = "a removed key is refused"
IN_FORCE_PROMISE = "a key in force is accepted"
USAGE_PROMISE = "all hosts keep to a customer's usage limit"

KeyState = Literal["in force", "removed", "unknown", "undecided"]


class Violation(NamedTuple):
    """A rule that wasn't kept, the request that shows it, and how."""

    promise: str
    request: str
    detail: str


class Attempt(NamedTuple):
    """A request of a caller.

    Attributes:
      request: Its id.
      key: The key that it carries, "" if none.
      customer: Customer that holds or held the key, "" if none did.
      is_public: Whether its route needs no key.
      tokens: Tokens that it states; None if it states none.
    """

    request: str
    key: str
    customer: str
    is_public: bool = False
    tokens: int | None = None


class Answer(NamedTuple):
    """What became of an attempt.

    Attributes:
      host: Host that it was sent to.
      status: Status of the answer; 0 if none came.
      sent_at: When the attempt was sent, seconds.
      ended_at: When its answer or its connection ended, seconds.
      steady_since: Time since which the host ran and reached the store.
    """

    host: str
    status: int
    sent_at: float
    ended_at: float
    steady_since: float = 0.0


class Run(NamedTuple):
    """A run of an attempt at a backend server, and when it began, seconds."""

    at: float
    request: str


class UsageWindow(NamedTuple):
    """The window in which a customer came closest to its limit.

    Attributes:
      from_s: Start of the window, seconds after the first limit was set.
      used: What ran in it, units.
      allowed: What may have run in it, units.
      within: What the limit itself allows, units.
    """

    from_s: float
    used: float
    allowed: float
    within: float

    @property
    def share(self) -> float:
        """Part of what is allowed that ran."""
        return self.used / self.allowed

    def __str__(self) -> str:
        """Return the figures as one line."""
        return (
            f"{self.used:,.0f} units from {self.from_s:.1f} s, "
            f"{self.share:.2f} of {self.allowed:,.0f} allowed, "
            f"{self.used / self.within:.2f} of the limit itself"
        )


class _Key:
    """A key: its customer, and when it was in force, seconds."""

    def __init__(self, customer: str, added_at: float) -> None:
        self.customer = customer
        self.added_at = added_at
        self.removed_at = math.inf


class _LimitChange(NamedTuple):
    """Limit of a customer from a time on."""

    at: float
    limit: customers.UsageLimit


class CustomerChecks:
    """Keeps what was recorded, and finds what it violates.

    Attributes:
      rule: How far usage limits may be exceeded.
      violations: What was found so far.
      judged: Number of answers that had to be of one kind, by the state of
        their keys.
    """

    def __init__(self, rule: customers.QuotaRule) -> None:
        self.rule = rule
        self.violations: list[Violation] = []
        self.judged: dict[KeyState, int] = {}
        self._keys: dict[str, _Key] = {}
        self._limits: dict[str, list[_LimitChange]] = {}
        self._attempts: dict[str, Attempt] = {}
        self._must_be_refused: set[str] = set()

    @property
    def limited_customers(self) -> list[str]:
        """Names of the customers that have a limit."""
        return sorted(self._limits)

    def add_key(self, key: str, customer: str, at: float) -> None:
        """Record that a key came into force; each does so once."""
        self._keys[key] = _Key(customer, at)

    def remove_key(self, key: str, at: float) -> None:
        """Record that a key was removed."""
        self._keys[key].removed_at = at

    def set_limit(
        self, customer: str, limit: customers.UsageLimit, at: float
    ) -> None:
        """Record the limit of a customer from a time on."""
        self._limits.setdefault(customer, []).append(_LimitChange(at, limit))

    def record_attempt(self, attempt: Attempt) -> None:
        """Record a request that is about to be sent."""
        self._attempts[attempt.request] = attempt

    def key_state(self, key: str, answer: Answer) -> KeyState:
        """Return what a host had to know of a key for all of an answer."""
        known = self._keys.get(key)
        if known is None:
            return "unknown"
        settled_at = answer.sent_at - APPLY_S
        if answer.steady_since > settled_at:
            return "undecided"
        if known.removed_at <= settled_at:
            return "removed"
        if known.added_at <= settled_at and answer.ended_at < known.removed_at:
            return "in force"
        return "undecided"

    def record_answer(self, attempt: Attempt, answer: Answer) -> None:
        """Check the answer to an attempt, once it has ended."""
        if attempt.is_public:
            return
        state = self.key_state(attempt.key, answer)
        self.judged[state] = self.judged.get(state, 0) + 1
        detail = f"status {answer.status} from {answer.host}"
        if state == "in force" and answer.status == 401:
            self._add(IN_FORCE_PROMISE, attempt.request, detail)
        if state == "removed":
            self._must_be_refused.add(attempt.request)
        if answer.status in STATUSES_WITHOUT_KEY:
            return
        if state == "removed":
            self._add(REMOVED_PROMISE, attempt.request, detail)
        if state == "unknown":
            self._add(UNKNOWN_PROMISE, attempt.request, detail)

    def check_head(
        self, server: str, head: http_message.RequestHead, *, default: str
    ) -> None:
        """Check the head of a request that a server got.

        Args:
          server: Name of the server.
          head: The head.
          default: Customer of the requests that weren't recorded.
        """
        request = (head.get(b"request-id") or b"").decode("latin-1")
        mark = KEY_MARK.encode()
        if mark in head.target or any(mark in v for _, v in head.headers):
            self._add(KEY_PROMISE, request, server)
        if not request:
            # A host's own call, such as a health check.
            return
        attempt = self._attempts.get(request, Attempt(request, "", default))
        if not attempt.customer and not attempt.is_public:
            self._add(UNKNOWN_PROMISE, request, server)
        if request in self._must_be_refused:
            self._add(REMOVED_PROMISE, request, f"reached {server}")
        expected = [(1, attempt.customer.encode())]
        if attempt.is_public:
            # A key may not be in force yet, or not any more.
            expected.append((0, b""))
        got = (head.count(b"tenant"), head.get(b"tenant") or b"")
        if got not in expected or got == (1, b""):
            detail = f"{got} at {server}, expected {expected}"
            self._add(NAME_PROMISE, request, detail)

    def check_log(self, host: str, text: bytes) -> None:
        """Check what a host has logged."""
        found = [x for x in text.splitlines() if KEY_MARK.encode() in x]
        if found:
            first = found[0].decode("utf-8", "replace")
            self._add(KEY_PROMISE, "", f"{host}: {len(found)} lines: {first}")

    def check_usage(self, runs: Sequence[Run]) -> dict[str, UsageWindow]:
        """Check what ran at servers; return the worst window by customer.

        Args:
          runs: All runs, of any customer, in order of time.
        """
        found = {}
        for customer in self.limited_customers:
            own = [
                run
                for run in runs
                if run.request in self._attempts
                and self._attempts[run.request].customer == customer
            ]
            worst = self._worst_window(customer, own)
            if worst is None:
                continue
            found[customer] = worst
            if worst.used > worst.allowed:
                self._add(USAGE_PROMISE, "", f"{customer}: {worst}")
        return found

    def _worst_window(
        self, customer: str, runs: Sequence[Run]
    ) -> UsageWindow | None:
        limit = self._limits[customer][0].limit
        costs = [limit.cost(self._attempts[run.request].tokens) for run in runs]
        totals = [0, *itertools.accumulate(costs)]
        times = [run.at for run in runs]
        windows = []
        for index, start in enumerate(times):
            end = bisect.bisect_left(times, start + self.rule.window_s)
            used = totals[end] - totals[index]
            windows.append(self._window(customer, start, used))
        return max(windows, key=lambda window: window.share, default=None)

    def _window(self, customer: str, start: float, used: float) -> UsageWindow:
        """Return a window with what the limits that may apply allow in it.

        A lowered limit counts one window after all hosts have it.
        """
        changes = self._limits[customer]
        since = start - self.rule.window_s - APPLY_S
        ends = [*(change.at for change in changes[1:]), math.inf]
        limits = [
            change.limit
            for change, end in zip(changes, ends, strict=True)
            if end > since and change.at <= start + self.rule.window_s
        ]
        within = max(map(self.rule.within, limits))
        allowed = (1 + self.rule.overshoot) * within + self.rule.slack
        return UsageWindow(start - changes[0].at, used, allowed, within)

    def _add(self, promise: str, request: str, detail: str) -> None:
        self.violations.append(Violation(promise, request, detail))
