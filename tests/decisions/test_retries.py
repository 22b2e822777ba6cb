"""Only what was not run is tried again, within budget and deadline."""

import pytest

from egretjunction import verdicts
from egretjunction.decisions import retries

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


@pytest.mark.parametrize(
    ('verdict', 'is_idempotent', 'repeats'),
    [
        (NOT_RUN, False, True),
        (NOT_RUN, True, True),
        (MAY_HAVE_RUN, False, False),
        (MAY_HAVE_RUN, True, True),
        (RAN, False, False),
        (RAN, True, False),
    ],
)
def test_verdict_decides_whether_a_request_may_be_repeated(
    verdict,
    is_idempotent,
    repeats,
):
    failure = retries.Failure(verdict, attempts=1)
    delay = retries.delay_before_retry(failure, is_idempotent, 10, retries.Budget(), 0)
    assert (delay is not None) == repeats


@pytest.mark.parametrize(
    ('progress', 'verdict'),
    [
        (verdicts.Progress.RECEIVED, NOT_RUN),
        (verdicts.Progress.QUEUED, NOT_RUN),
        (verdicts.Progress.SENT, MAY_HAVE_RUN),
        (verdicts.Progress.FIRST_BYTE, RAN),
        (verdicts.Progress.ANSWERED, RAN),
    ],
)
def test_progress_decides_the_verdict(progress, verdict):
    assert verdicts.verdict_at(progress) is verdict


def test_budget_bounds_attempts_when_everything_fails():
    budget = retries.Budget()
    attempts = 0
    for _ in range(1000):
        budget.deposit()
        made = 1
        while retries.delay_before_retry(
            retries.Failure(NOT_RUN, made),
            is_idempotent=True,
            seconds_left=100,
            budget=budget,
            uniform=0,
        ):
            made += 1
        attempts += made
    assert attempts / 1000 <= 1.2


def test_wait_that_the_answer_asked_for_is_kept():
    failure = retries.Failure(NOT_RUN, attempts=1, retry_after_seconds=3)
    delay = retries.delay_before_retry(failure, False, 10, retries.Budget(), 0)
    assert delay == 3


def test_no_retry_that_would_start_after_the_deadline():
    budget = retries.Budget()
    failure = retries.Failure(NOT_RUN, attempts=1, retry_after_seconds=3)
    assert retries.delay_before_retry(failure, False, 2, budget, 0) is None
    assert budget.withdraw()


def test_attempts_are_bounded():
    failure = retries.Failure(NOT_RUN, attempts=retries.MAX_ATTEMPTS)
    assert retries.delay_before_retry(failure, True, 99, retries.Budget(), 0) is None
