"""Share of the requests of a backend server that failed recently.

Flows are opaque, so that a failure is either a reset of an open flow by the server or a
request without an answer. An unusually short answer is not counted: it cannot be told
from a cheaper request.
"""

import math

DECAY_SECONDS = 5.0
MIN_OBSERVATIONS = 5.0  # with decay; no verdict below
MIN_FAILURES = 1.5  # with decay; one failure is no verdict
PRIOR_SUCCESSES = 2.0
DECAY_STEP_SECONDS = 0.1  # saves an exponential for most requests
PERCENT = 100


class Outcomes:
    """Decayed counts of requests that succeeded and failed."""

    __slots__ = ('_decayed_at', '_failures', '_successes')

    def __init__(self) -> None:
        self._successes = float(0)
        self._failures = float(0)
        self._decayed_at = float(0)

    def record_success(self, now: float) -> None:
        """Record that a request was answered."""
        if now >= self._decayed_at + DECAY_STEP_SECONDS:
            self._decay(now)
        self._successes += 1

    def record_failure(self, now: float) -> None:
        """Record that a flow was reset or a request is not answered."""
        self._decay(now)
        self._failures += 1

    def withdraw_failure(self, failed_at: float, now: float) -> None:
        """Take back a failure, because the answer has come after all."""
        self._decay(now)
        weight = math.exp((failed_at - now) / DECAY_SECONDS)
        self._failures = max(float(0), self._failures - weight)

    def failure_percent(self, now: float) -> int:
        """Return the share of requests that failed, 0 while too few are known."""
        self._decay(now)
        total = self._successes + self._failures
        if total < MIN_OBSERVATIONS or self._failures < MIN_FAILURES:
            return 0
        return int(PERCENT * self._failures / (total + PRIOR_SUCCESSES))

    def _decay(self, now: float) -> None:
        if now < self._decayed_at + DECAY_STEP_SECONDS:
            return
        factor = math.exp((self._decayed_at - now) / DECAY_SECONDS)
        self._decayed_at = now
        self._successes *= factor
        self._failures *= factor
