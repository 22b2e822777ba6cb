"""Decides whether and when a request is retried: verdict, budget and deadline."""

import typing

from egretjunction import verdicts

MAX_ATTEMPTS = 4
DEFAULT_RETRY_PERCENT = 10
PERCENT = 100
# Methods that HTTP defines as idempotent.
DEFAULT_IDEMPOTENT_METHODS = ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE')
BUDGET_INITIAL_TOKENS = 2.0
BUDGET_MAX_TOKENS = 20.0
FIRST_BACKOFF_SECONDS = 0.05
BACKOFF_FACTOR = 2
MAX_BACKOFF_SECONDS = 2.0
JITTER_SHARE = 0.5
FIRST_HANDSHAKE_SECONDS = 0.75
MAX_HANDSHAKE_SECONDS = 3.0


def handshake_seconds(attempt: int) -> float:
    """Return the handshake timeout, after which a new flow is tried.

    A retry is always safe then, because nothing of the request was sent. A new
    flow has other candidates, which helps when the first candidate is dead.

    :param attempt: number of the attempt, starting at 1.
    """
    seconds = FIRST_HANDSHAKE_SECONDS * BACKOFF_FACTOR ** (attempt - 1)
    return min(MAX_HANDSHAKE_SECONDS, seconds)


class Policy:
    """How the requests of a service may be retried, as its operators configured it.

    :param retry_percent: maximum retries, in percent of the new requests.
    :param idempotent_methods: methods that may run twice.
    """

    __slots__ = ('idempotent_methods', 'retry_percent')

    def __init__(
        self,
        retry_percent: int = DEFAULT_RETRY_PERCENT,
        idempotent_methods: typing.Sequence[str] = DEFAULT_IDEMPOTENT_METHODS,
    ) -> None:
        self.retry_percent = retry_percent
        self.idempotent_methods = tuple(idempotent_methods)


class Budget:
    """Limits the retries of one service to a share of its new requests.

    :param initial_tokens: tokens at the start, so that early requests may be retried;
        a retry costs one token.
    """

    __slots__ = ('_tokens',)

    def __init__(self, initial_tokens: float = BUDGET_INITIAL_TOKENS) -> None:
        self._tokens = initial_tokens

    def deposit(self, retry_percent: int = DEFAULT_RETRY_PERCENT) -> None:
        """Add the tokens of one new request.

        :param retry_percent: maximum retries, in percent of the new requests.
        """
        gained_tokens = retry_percent / PERCENT
        self._tokens = min(BUDGET_MAX_TOKENS, self._tokens + gained_tokens)

    def withdraw(self) -> bool:
        """Take the token of one retry, or return False when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class Failure:
    """An attempt without a usable response.

    :param verdict: whether the request may have run.
    :param attempts: attempts made so far, this one included.
    :param retry_after_seconds: delay that the response asked for, or 0.
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
    """Return whether a retry is safe: the request did not run or is idempotent."""
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
    :param budget: retry budget; a token is taken when the request is retried.
    :param uniform: random number in [0, 1) for the jitter.
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
