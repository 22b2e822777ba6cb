"""Observed outcomes outweigh claims; ejection is gradual and bounded."""

import pytest

from egretjunction.decisions import health
from tests import builders


def _fail(fitness, times, now=0.0):
    for _ in range(times):
        fitness.record_failure(now)


def test_a_single_failure_ejects_nobody():
    fitness = health.Health()
    _fail(fitness, health.FAILURES_PER_STEP - 1)
    assert fitness.weight(0) == 1


def test_failures_lower_the_weight_step_by_step():
    fitness = health.Health()
    seen = []
    for _ in health.WEIGHT_STEPS:
        _fail(fitness, health.FAILURES_PER_STEP)
        seen.append(fitness.weight(0))
    assert seen == [0.5, 0.25, 0, 0]


def test_a_success_between_failures_keeps_the_weight():
    fitness = health.Health()
    for _ in range(20):
        _fail(fitness, health.FAILURES_PER_STEP - 1)
        fitness.record_success(0)
    assert fitness.weight(0) == 1


def test_weight_comes_back_with_time():
    fitness = health.Health()
    _fail(fitness, health.FAILURES_PER_STEP * len(health.WEIGHT_STEPS))
    later = health.RECOVER_SECONDS + 0.1
    assert fitness.weight(later) == 0.25
    assert fitness.weight(later * 2) == 0.5


def test_a_refused_connection_takes_the_weight_at_once_until_reached_again():
    fitness = health.Health()
    fitness.record_success(0)
    fitness.record_refused()
    assert fitness.weight(0) == 0
    fitness.record_reachable()
    assert fitness.weight(0) == 1


def test_after_a_failure_new_flows_go_elsewhere_until_the_server_is_reached():
    fitness = health.Health()
    fitness.record_failure(0)
    assert fitness.weight(0) == 1
    assert not fitness.may_take_flows(0)
    fitness.record_reachable()
    assert fitness.may_take_flows(0)


def test_a_lying_endpoint_is_outweighed_by_outcomes():
    fitness = health.Health()
    fitness.record_success(10)
    fitness.record_health_check(is_healthy=False)
    assert fitness.weight(10) == 1
    _fail(fitness, health.FAILURES_PER_STEP * 3, 10)
    fitness.record_health_check(is_healthy=True)
    assert fitness.weight(10) == 0


def test_a_claim_without_outcomes_halves_the_weight_at_most():
    fitness = health.Health()
    fitness.record_health_check(is_healthy=False)
    assert fitness.weight(100) == health.FAILED_CHECK_FACTOR


@pytest.mark.parametrize(
    ('unfit', 'servers', 'left_out'), [(1, 7, 1), (7, 7, 3), (1, 1, 0)]
)
def test_never_more_than_half_are_left_out(unfit, servers, left_out):
    members = [
        builders.member(f's-{number}', number, fitness=0 if number < unfit else 100)
        for number in range(servers)
    ]
    assert len(health.ejected_names(members)) == left_out
