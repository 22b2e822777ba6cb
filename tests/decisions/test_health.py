"""Request outcomes outweigh health checks; ejection is gradual and bounded."""

import pytest

from egretjunction.decisions import health
from tests import builders


def _fail(tracker, times, now=0.0):
    for _ in range(times):
        tracker.record_failure(now)


def test_fewer_failures_than_a_step_keep_the_weight():
    tracker = health.Health()
    _fail(tracker, health.FAILURES_PER_STEP - 1)
    assert tracker.weight(0) == 1


def test_failures_lower_the_weight_step_by_step():
    tracker = health.Health()
    weights = []
    for _ in health.WEIGHT_STEPS:
        _fail(tracker, health.FAILURES_PER_STEP)
        weights.append(tracker.weight(0))
    assert weights == [0.5, 0.25, 0, 0]


def test_a_success_resets_the_count_of_failures():
    tracker = health.Health()
    for _ in range(20):
        _fail(tracker, health.FAILURES_PER_STEP - 1)
        tracker.record_success(0)
    assert tracker.weight(0) == 1


def test_the_weight_recovers_step_by_step_with_time():
    tracker = health.Health()
    _fail(tracker, health.FAILURES_PER_STEP * len(health.WEIGHT_STEPS))
    later = health.RECOVER_SECONDS + 0.1
    assert tracker.weight(later) == 0.25
    assert tracker.weight(later * 2) == 0.5


def test_a_refused_connection_sets_weight_zero_until_the_server_is_reachable():
    tracker = health.Health()
    tracker.record_success(0)
    tracker.record_refused()
    assert tracker.weight(0) == 0
    tracker.record_reachable()
    assert tracker.weight(0) == 1


def test_after_a_failure_no_flows_are_taken_until_the_server_is_reachable():
    tracker = health.Health()
    tracker.record_failure(0)
    assert tracker.weight(0) == 1
    assert not tracker.may_take_flows(0)
    tracker.record_reachable()
    assert tracker.may_take_flows(0)


def test_recent_outcomes_override_a_wrong_health_check():
    tracker = health.Health()
    tracker.record_success(10)
    tracker.record_health_check(is_healthy=False)
    assert tracker.weight(10) == 1
    _fail(tracker, health.FAILURES_PER_STEP * 3, 10)
    tracker.record_health_check(is_healthy=True)
    assert tracker.weight(10) == 0


def test_a_failed_check_without_outcomes_halves_the_weight():
    tracker = health.Health()
    tracker.record_health_check(is_healthy=False)
    assert tracker.weight(100) == health.FAILED_CHECK_FACTOR


@pytest.mark.parametrize(
    ('unfit', 'servers', 'ejected'), [(1, 7, 1), (7, 7, 3), (1, 1, 0)]
)
def test_no_more_than_half_of_the_members_are_ejected(unfit, servers, ejected):
    members = [
        builders.member(f's-{number}', number, fitness=0 if number < unfit else 100)
        for number in range(servers)
    ]
    assert len(health.ejected_names(members)) == ejected
