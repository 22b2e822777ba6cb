"""Requests are retried only when that is safe, within budget and deadline."""

import pytest

from egretjunction import verdicts
from egretjunction.decisions import retries

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


@pytest.mark.parametrize(
    ('verdict', 'is_idempotent', 'is_retried'),
    [
        (NOT_RUN, False, True),
        (NOT_RUN, True, True),
        (MAY_HAVE_RUN, False, False),
        (MAY_HAVE_RUN, True, True),
        (RAN, False, False),
        (RAN, True, False),
    ],
)
def test_the_verdict_and_idempotence_decide_whether_a_request_is_retried(
    verdict,
    is_idempotent,
    is_retried,
):
    failure = retries.Failure(verdict, attempts=1)
    delay = retries.delay_before_retry(failure, is_idempotent, 10, retries.Budget(), 0)
    assert (delay is not None) == is_retried


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
def test_the_verdict_follows_from_the_progress(progress, verdict):
    assert verdicts.verdict_at(progress) is verdict


def test_the_budget_bounds_attempts_when_every_attempt_fails():
    budget = retries.Budget()
    attempts = 0
    for _ in range(1000):
        budget.deposit()
        attempt = 1
        while retries.delay_before_retry(
            retries.Failure(NOT_RUN, attempt),
            is_idempotent=True,
            seconds_left=100,
            budget=budget,
            uniform=0,
        ):
            attempt += 1
        attempts += attempt
    assert attempts / 1000 <= 1.2


def test_the_delay_respects_the_retry_after_of_the_response():
    failure = retries.Failure(NOT_RUN, attempts=1, retry_after_seconds=3)
    delay = retries.delay_before_retry(failure, False, 10, retries.Budget(), 0)
    assert delay == 3


def test_a_retry_after_the_deadline_is_not_made_and_costs_nothing():
    budget = retries.Budget()
    failure = retries.Failure(NOT_RUN, attempts=1, retry_after_seconds=3)
    assert retries.delay_before_retry(failure, False, 2, budget, 0) is None
    assert budget.withdraw()


def test_the_number_of_attempts_is_bounded():
    failure = retries.Failure(NOT_RUN, attempts=retries.MAX_ATTEMPTS)
    assert retries.delay_before_retry(failure, True, 99, retries.Budget(), 0) is None


def test_configured_share_of_retries_fills_the_budget():
    budget = retries.Budget(initial_tokens=0)
    for _ in range(3):
        budget.deposit(retry_percent=40)
    assert budget.withdraw()
    assert not budget.withdraw()


def test_budget_without_retries_stays_empty():
    budget = retries.Budget(initial_tokens=0)
    for _ in range(50):
        budget.deposit(retry_percent=0)
    assert not budget.withdraw()
