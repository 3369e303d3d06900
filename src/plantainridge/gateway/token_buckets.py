"""Token buckets from which VMs send to endpoints with a limit."""

import math
from typing import Final

import attrs

# Requests that one bucket holds; it starts empty.
BUCKET_REQUESTS: Final = 1.0


@attrs.define
class TokenBucket:
    """A bucket that holds one request.

    Attributes:
        updated_at: Loop time at which it had this level, in s.
        level: Requests that it held then.
    """

    updated_at: float
    level: float = 0.0

    def opens_at(self, rate_per_s: float) -> float:
        """Return the loop time from which it holds a request, in s."""
        if rate_per_s <= 0.0:
            return math.inf
        missing = max(0.0, BUCKET_REQUESTS - self.level)
        return self.updated_at + missing / rate_per_s

    def take(self, rate_per_s: float, now: float) -> None:
        """Take one request; a bucket that holds less owes the rest."""
        filled = self.level + rate_per_s * (now - self.updated_at)
        self.level = min(BUCKET_REQUESTS, filled) - BUCKET_REQUESTS
        self.updated_at = now
