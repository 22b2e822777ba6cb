"""Verdicts and retries of the caller library over several attempts."""

import asyncio

import pytest

from egretjunction import addresses
from egretjunction import caller
from egretjunction import verdicts

NOT_RUN = verdicts.Verdict.NOT_RUN
MAY_HAVE_RUN = verdicts.Verdict.MAY_HAVE_RUN
RAN = verdicts.Verdict.RAN


def _request(monkeypatch, outcomes, method='PUT'):
    """Make a request whose attempts have these outcomes; return the overall outcome."""
    remaining_outcomes = iter(outcomes)

    async def attempt(_self, _call):
        return next(remaining_outcomes)

    monkeypatch.setattr(caller.Caller, '_attempt', attempt)
    client = caller.Caller(addresses.Address('127.0.0.1', 1), 'x', 'none', 1)
    return asyncio.run(client.request(method, '/', deadline_seconds=5))


@pytest.mark.parametrize(
    ('outcomes', 'verdict', 'attempts'),
    [
        ([caller.Outcome(RAN, 200)], RAN, 1),
        ([caller.Outcome(NOT_RUN), caller.Outcome(RAN, 200)], RAN, 2),
        ([caller.Outcome(MAY_HAVE_RUN), caller.Outcome(RAN, 200)], RAN, 2),
        ([caller.Outcome(NOT_RUN)] * 3, NOT_RUN, 3),
        (
            [caller.Outcome(MAY_HAVE_RUN), *[caller.Outcome(NOT_RUN)] * 2],
            MAY_HAVE_RUN,
            3,
        ),
    ],
)
def test_verdict_covers_every_attempt(monkeypatch, outcomes, verdict, attempts):
    outcome = _request(monkeypatch, outcomes)
    assert (outcome.verdict, outcome.attempts) == (verdict, attempts)


def test_post_that_may_have_run_is_not_retried(monkeypatch):
    outcome = _request(monkeypatch, [caller.Outcome(MAY_HAVE_RUN)], 'POST')
    assert (outcome.verdict, outcome.attempts) == (MAY_HAVE_RUN, 1)
