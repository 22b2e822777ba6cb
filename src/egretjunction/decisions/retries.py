"""Whether a request is tried again: verdict, budget, deadline."""

from egretjunction import verdicts

MAX_ATTEMPTS = 4
BUDGET_SHARE = 0.1
BUDGET_RESERVE = 2.0
BUDGET_CAP = 20.0
FIRST_BACKOFF_SECONDS = 0.05
BACKOFF_FACTOR = 2
MAX_BACKOFF_SECONDS = 2.0
JITTER_SHARE = 0.5
FIRST_HANDSHAKE_SECONDS = 0.75
MAX_HANDSHAKE_SECONDS = 3.0


def handshake_seconds(attempt: int) -> float:
    """Return how long a handshake may take before a fresh flow is tried.

    Nothing of the request was sent by then, so trying again is always safe. A
    fresh flow has other candidates, which helps when the first one is dead.

    :param attempt: number of the attempt, from 1.
    """
    seconds = FIRST_HANDSHAKE_SECONDS * BACKOFF_FACTOR ** (attempt - 1)
    return min(MAX_HANDSHAKE_SECONDS, seconds)


class Budget:
    """Retries that one service may still cost, as a share of fresh requests.

    :param share: tokens that each fresh request adds.
    :param reserve: tokens at the start, so that a first request may be retried.
    """

    __slots__ = ('_share', '_tokens')

    def __init__(
        self,
        share: float = BUDGET_SHARE,
        reserve: float = BUDGET_RESERVE,
    ) -> None:
        self._share = share
        self._tokens = reserve

    def deposit(self) -> None:
        """Count one fresh request."""
        self._tokens = min(BUDGET_CAP, self._tokens + self._share)

    def withdraw(self) -> bool:
        """Take one retry from the budget, or return False when it is spent."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Failure:
    """An attempt without a usable answer.

    :param verdict: whether the request may have run.
    :param attempts: attempts made so far, this one included.
    :param retry_after_seconds: the wait that the answer asked for, or 0.
    """

    __slots__ = ('attempts', 'retry_after_seconds', 'verdict')

    def __init__(
        self,
        verdict: verdicts.Verdict,
        attempts: int,
        retry_after_seconds: float = 0,
    ) -> None:
        self.verdict = verdict
        self.attempts = attempts
        self.retry_after_seconds = retry_after_seconds


def may_repeat(verdict: verdicts.Verdict, is_idempotent: bool) -> bool:
    """Tell whether a further attempt cannot run a request twice by mistake."""
    if verdict is verdicts.Verdict.NOT_RUN:
        return True
    return is_idempotent and verdict is verdicts.Verdict.MAY_HAVE_RUN


def delay_before_retry(
    failure: Failure,
    is_idempotent: bool,
    seconds_left: float,
    budget: Budget,
    uniform: float,
) -> float | None:
    """Return the seconds to wait before the next attempt, or None to give up.

    :param failure: the last attempt.
    :param is_idempotent: whether running the request twice does no harm.
    :param seconds_left: time until the deadline.
    :param budget: retries that are left.
    :param uniform: a random number in [0, 1) that spreads retries in time.
    """
    if failure.attempts >= MAX_ATTEMPTS:
        return None
    if not may_repeat(failure.verdict, is_idempotent):
        return None
    backoff = FIRST_BACKOFF_SECONDS * BACKOFF_FACTOR ** (failure.attempts - 1)
    backoff = min(MAX_BACKOFF_SECONDS, backoff)
    delay = max(backoff, failure.retry_after_seconds)
    delay *= 1 + JITTER_SHARE * uniform
    if delay >= seconds_left:
        return None
    if not budget.withdraw():
        return None
    return delay
