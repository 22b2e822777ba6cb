"""Expected finish of a first packet, with stale, missing and wrong statuses."""

import random

import pytest

from egretjunction.decisions.load import finish
from tests import relay_builders as build

TYPICAL = finish.ServiceTypical(0.02, 0.03, 0)


def _wait(own_offers=0, age=0.0, **fields):
    return finish.expected_wait(build.status(**fields), own_offers, age, TYPICAL)


def test_reported_wait_is_used_as_it_is_while_it_is_fresh():
    assert _wait(work=4, wait_ms=50, request_ms=20) == pytest.approx(0.05)


def test_own_offers_after_the_status_lengthen_the_wait():
    """Several first packets of one entry would all go to the same free member."""
    fields = {'slots': 1, 'work': 1, 'wait_ms': 20, 'request_ms': 20}
    assert _wait(own_offers=2, **fields) == pytest.approx(0.06)


def test_own_offers_that_fit_into_free_slots_do_not_wait():
    fields = {'slots': 4, 'work': 1, 'wait_ms': 0, 'request_ms': 20}
    assert _wait(own_offers=2, **fields) == 0
    assert _wait(own_offers=3, **fields) == pytest.approx(0.005)


def test_stale_wait_moves_to_the_median_of_the_service():
    """A member that was idle long ago would attract all first packets."""
    busy = [_wait(work=2, wait_ms=200, request_ms=20, age=age) for age in (0, 0.1, 10)]
    idle = [_wait(work=0, wait_ms=0, request_ms=20, age=age) for age in (0, 0.1, 10)]
    assert busy == sorted(busy, reverse=True)
    assert idle == sorted(idle)
    assert busy[2] == pytest.approx(TYPICAL.wait, abs=0.001)
    assert idle[2] == pytest.approx(TYPICAL.wait, abs=0.001)


def test_unknown_wait_is_derived_from_active_requests():
    """Agents of the previous version report neither wait nor duration."""
    assert _wait(slots=2, work=1) == 0
    assert _wait(slots=2, work=5) == pytest.approx(4 * 0.02 / 2)


def test_unknown_duration_is_the_median_of_the_service():
    assert finish.likely_duration(build.status(), TYPICAL) == TYPICAL.duration
    assert finish.likely_duration(build.status(request_ms=70), TYPICAL) == 0.07
    assert finish.likely_duration(build.status(), finish.UNKNOWN) == 0


def test_medians_leave_out_statuses_without_an_estimate():
    statuses = [
        build.status(),
        build.status(request_ms=20, wait_ms=0),
        build.status(request_ms=30, wait_ms=40, failure_percent=50),
        build.status(request_ms=900, wait_ms=60),
    ]
    typical = finish.typical_of(statuses)
    assert typical == finish.ServiceTypical(0.03, 0.04, 0)
    assert finish.typical_of([]) == finish.UNKNOWN


def test_failing_member_finishes_later_than_a_queue():
    healthy = finish.expected_finish(0, 0.05, 0.02, 0, 0.3)
    failing = finish.expected_finish(0, 0, 0.02, 0.4, 0.3)
    assert healthy < failing


def test_path_is_the_latency_beyond_that_of_the_own_domain():
    """A busy entry takes its own delay for the distance to another domain."""
    paths = finish.PathTimes('a')
    assert paths.one_way('b') == 0
    for _ in range(5):
        paths.record('a', 0.003)
        paths.record('b', 0.010)
    assert paths.one_way('b') == pytest.approx(0.0035)
    assert paths.one_way('a') == 0


def test_path_ignores_single_delayed_answers_and_follows_a_change():
    paths = finish.PathTimes('a')
    for number in range(finish.PATH_SAMPLES):
        paths.record('b', 2.0 if number % 4 == 0 else 0.01)
    assert paths.one_way('b') == pytest.approx(0.005)
    for _ in range(finish.PATH_SAMPLES):
        paths.record('b', 0.03)
    assert paths.one_way('b') == pytest.approx(0.015)


def test_choice_falls_on_all_near_equal_members_but_on_no_late_one():
    """If every entry chose the best member, they would overload it together."""
    randomness = random.Random(3)
    finishes = [0.020, 0.021, 0.022, 0.050]
    chosen = [finish.pick_of_two(finishes, 0.01, randomness.random) for _ in range(300)]
    assert chosen.count(3) == 0
    assert chosen.count(0) > chosen.count(1) > 60
    assert chosen.count(2) == 0  # the worse of any two


def test_single_candidate_is_chosen():
    assert finish.pick_of_two([0.4], 0.01, random.Random(1).random) == 0
