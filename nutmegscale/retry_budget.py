"""Budget that limits retries to a fraction of the first attempts."""

# Retries that each first attempt adds to the budget.
RETRY_FRACTION = 0.1
MAX_TOKENS = 10.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty; does no I/O."""

    def __init__(
        self,
        *,
        fraction: float = RETRY_FRACTION,
        max_tokens: float = MAX_TOKENS,
    ) -> None:
        self._fraction = fraction
        self._max_tokens = max_tokens
        self._tokens = max_tokens / 2

    @property
    def tokens(self) -> float:
        """Number of retries that may be made now."""
        return self._tokens

    def record_first_attempt(self) -> None:
        """Record a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._fraction)

    def take(self) -> bool:
        """Take a retry from the budget; return False if it is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
