"""What this host may let customers use without asking any other; no I/O."""

from collections import deque

from nutmegscale.customers import directory
from nutmegscale.customers import usage_rule

# Part of what may run beyond the limits that all hosts may use so. The rest is
# left for shares that start anew, and for requests that wait before they run.
PART_OF_SLACK = 0.5
# Requests within this time count as one, seconds.
GRAIN_S = 0.05


class OwnPart:
    """This host's part of what may run beyond the limits.

    Answers hosts that reach no host that holds a share of a customer's limit.
    What they use in any window is bounded, however many they are.
    """

    def __init__(self, rule: usage_rule.QuotaRule) -> None:
        self._rule = rule
        self._used: dict[str, deque[tuple[float, float]]] = {}

    def take(
        self,
        now: float,
        customer: str,
        limit: directory.UsageLimit,
        cost: float,
        *,
        hosts: int,
    ) -> bool:
        """Use the cost of a request, if there is room in the current window.

        Args:
          now: Current time, seconds.
          customer: Name of the customer.
          limit: Its limit.
          cost: Cost of the request, units.
          hosts: Number of hosts that have a part.
        """
        used = self._used.setdefault(customer, deque())
        while used and used[0][0] <= now - self._rule.window_s:
            used.popleft()
        part = min(
            PART_OF_SLACK * self._rule.beyond(limit) / max(1, hosts),
            self._rule.within(limit),
        )
        if sum(units for _, units in used) + cost > part:
            return False
        if used and now - used[-1][0] < GRAIN_S:
            cost += used.pop()[1]
        # With the later time, so that it counts for at least a window.
        used.append((now, cost))
        return True
