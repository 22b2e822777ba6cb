"""Verdicts and retries of the caller library over several attempts."""

import asyncio

import pytest

from egretjunction import addresses
from egretjunction import caller
from egretjunction import verdicts
from egretjunction.decisions import retries
from egretjunction.quic import http_headers

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


def _response(percent, methods):
    policy = retries.Policy(percent, methods)
    fields = http_headers.from_retry_policy(policy)
    return {name.decode(): value.decode() for name, value in fields}


def test_retry_policy_in_a_response_decides_about_later_requests(monkeypatch):
    """Guards against retry settings of a service that have no effect."""
    outcomes = iter(
        [
            caller.Outcome(RAN, 200, _response(50, ('GET', 'POST'))),
            caller.Outcome(MAY_HAVE_RUN),
            caller.Outcome(RAN, 200),
        ]
    )

    async def exchange(self, call, responses):
        outcome = next(outcomes)
        self._adopt_retry_policy(outcome.headers)
        return outcome

    async def run():
        client = caller.Caller(addresses.Address('127.0.0.1', 1), 'x', 'none', 1)
        await client.request('GET', '/')
        return await client.request('POST', '/')

    monkeypatch.setattr(caller.Caller, '_exchange', exchange)
    outcome = asyncio.run(run())
    assert (outcome.verdict, outcome.attempts) == (RAN, 2)


@pytest.mark.parametrize('percent', ['', '-1', '101', 'x', '\u0661'])
def test_malformed_retry_policy_is_ignored(percent):
    assert http_headers.to_retry_policy({http_headers.RETRY_PERCENT: percent}) is None
