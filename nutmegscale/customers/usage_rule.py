"""How far all hosts together may exceed the usage limit of a customer."""

from typing import NamedTuple

from nutmegscale.customers import directory

# Part of what may run in a window that shares grant at most. With it, requests
# that wait for up to a second between their charge and their run keep the rule.
TARGET_PART = 0.9
# Part of a limit up to which the slack counts. It is one figure for customers
# of all sizes and units, and would make a limit of a few requests meaningless.
SLACK_PART = 0.5


class QuotaRule(NamedTuple):
    """What may run for a customer in any window, beyond its limit.

    Without a rule, which is nothing beyond it, hosts that reach no other allow
    nothing, and requests may cost as much as the burst.

    Attributes:
      window_s: Length of the window, seconds.
      overshoot: Part of the limit that may be added to it.
      slack: Units that may be added to that.
      target_part: Part of all that which shares grant at most.
    """

    window_s: float = 8.0
    overshoot: float = 0.0
    slack: float = 0.0
    target_part: float = TARGET_PART

    def within(self, limit: directory.UsageLimit) -> float:
        """Return what a customer may use in a window, units."""
        return limit.per_s * self.window_s + limit.burst

    def target(self, limit: directory.UsageLimit) -> float:
        """Return what shares grant at most in a window, units.

        It leaves room for requests that wait before they run, for shares that
        start anew and for what hosts allow by themselves.
        """
        beyond = self.beyond(limit)
        if not beyond:
            return self.within(limit)
        allowed = self.within(limit) + beyond
        return max(self.target_part * allowed, limit.per_s * self.window_s)

    def burst(self, limit: directory.UsageLimit) -> float:
        """Return what all shares together hold at most, units.

        It is more than the burst of the limit if the rule allows that: the
        burst of a small customer, divided among the shares, is less than the
        cost of one stream.
        """
        room = self.target(limit) - limit.per_s * self.window_s
        return max(limit.burst, room)

    def beyond(self, limit: directory.UsageLimit) -> float:
        """Return what may run in a window beyond the limit, units."""
        within = self.within(limit)
        return self.overshoot * within + min(self.slack, SLACK_PART * within)
