"""Share of requests that failed recently."""

import pytest

from egretjunction.decisions.load import backlog
from egretjunction.decisions.load import outcomes
from tests.decisions.load import servers


def _observed(successes, failures, now=0.0):
    observed = outcomes.Outcomes()
    for _ in range(successes):
        observed.record_success(now)
    for _ in range(failures):
        observed.record_failure(now)
    return observed


@pytest.mark.parametrize(('successes', 'failures'), [(0, 1), (0, 4), (100, 1), (2, 2)])
def test_few_observations_give_no_verdict(successes, failures):
    """Guards against taking a server out for one lost packet."""
    assert _observed(successes, failures).failure_percent(0) == 0


def test_failing_share_is_reported_and_decays():
    observed = _observed(successes=60, failures=40)
    assert observed.failure_percent(0) == pytest.approx(40, abs=2)
    assert observed.failure_percent(60) == 0


def test_recovered_server_is_cleared_within_seconds():
    observed = _observed(successes=12, failures=8)
    for second in range(1, 16):
        for _ in range(12):
            observed.record_success(float(second))
    assert observed.failure_percent(15) <= 2


def _trained():
    estimated = backlog.Backlog(lambda key: key[6:], 2)
    for number in range(10):
        key = servers.key_of(b'a', number)
        estimated.start(key, number * 0.1)
        estimated.complete(key, number * 0.1 + 0.05)
        estimated.tick(number * 0.1 + 0.05)
    return estimated


def _tick(estimated, start, end):
    now = start
    while now < end:
        estimated.tick(now)
        now += servers.TICK_SECONDS


def test_requests_without_an_answer_count_before_their_deadline():
    estimated = _trained()
    for number in (20, 21):
        estimated.start(servers.key_of(b'a', number), 1.0)
    _tick(estimated, 1.0, 1.5)
    assert estimated.outcomes.failure_percent(1.5) == 0
    _tick(estimated, 1.5, 2.2)
    assert estimated.outcomes.failure_percent(2.2) > 10


def test_late_answer_is_taken_off_the_failures():
    """Guards against a verdict on a server that is slow and answers everything."""
    estimated = _trained()
    for number in (20, 21):
        estimated.start(servers.key_of(b'a', number), 1.0)
    _tick(estimated, 1.0, 2.2)
    for number in (20, 21):
        estimated.complete(servers.key_of(b'a', number), 2.2)
    assert estimated.outcomes.failure_percent(2.2) == 0


def test_pause_of_the_agent_makes_no_request_overdue():
    """Guards against failures that are only unread answers."""
    estimated = _trained()
    for number in (20, 21):
        estimated.start(servers.key_of(b'a', number), 1.0)
    estimated.tick(6.0)
    estimated.tick(6.025)
    assert estimated.outcomes.failure_percent(6.025) == 0


def test_reset_of_a_request_counts_once():
    estimated = _trained()
    for number in (20, 21, 22):
        key = servers.key_of(b'a', number)
        estimated.start(key, 1.0)
        estimated.reset(key, 1.05)
    percent = estimated.outcomes.failure_percent(1.05)
    assert percent == pytest.approx(100 * 3 / 15, abs=4)
