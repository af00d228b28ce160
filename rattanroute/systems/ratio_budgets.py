"""Budgets of optional or repeated attempts."""

import dataclasses


@dataclasses.dataclass(kw_only=True, slots=True)
class RatioBudget:
    """A token bucket that is filled by requests instead of by time.

    Attributes:
        ratio_per_request: Tokens that one request adds.
        burst: Maximum number of tokens.
        tokens: Current number of tokens.
    """

    ratio_per_request: float
    burst: float
    tokens: float

    def earn(self) -> None:
        """Adds the tokens of one request."""
        self.tokens = min(self.burst, self.tokens + self.ratio_per_request)

    def spend(self) -> bool:
        """Takes a token; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
