"""Budget of messages that tell at once of a server's new pace; no I/O."""

# Messages a second that the budget allows, and at most at once. With those that
# are sent periodically they are 8 a second of about 130 bytes.
RATE_PER_S = 4.0
BURST = 6.0
# Hosts that are told of a change; each that didn't know it tells as many.
FAN_OUT = 2


class NewsBudget:
    """Token bucket of messages about changed paces.

    Answers servers that are slow for less than a second: within the period of
    the other messages, many calls would still be sent to them. A server whose
    pace changes with each call must not fill the links.
    """

    def __init__(self) -> None:
        self._tokens = BURST
        self._filled_at = 0.0

    def take(self, now: float) -> int:
        """Return how many hosts may be told now, at most `FAN_OUT`."""
        passed_s, self._filled_at = now - self._filled_at, now
        self._tokens = min(BURST, self._tokens + passed_s * RATE_PER_S)
        count = min(FAN_OUT, int(self._tokens))
        self._tokens -= count
        return count
