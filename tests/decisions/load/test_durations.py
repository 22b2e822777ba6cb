"""Durations of a route: recovery of the mean, and remaining time of long requests."""

import random

import pytest

from egretjunction.decisions.load import durations
from tests.decisions.load import servers

MEAN = 0.05


def _learned(mean=MEAN, count=200, seed=1):
    route = durations.RouteDurations()
    rng = random.Random(seed)
    for _ in range(count):
        route.record(servers.draw_work(rng, mean))
    return route, rng


@pytest.mark.parametrize('seed', range(20))
def test_mean_of_a_lognormal_distribution_is_learned(seed):
    route, _ = _learned(seed=seed)
    assert route.mean_seconds == pytest.approx(MEAN, rel=0.45)


@pytest.mark.parametrize('factor', [0.1, 0.25, 1, 4, 8, 10])
def test_mean_recovers_within_sixteen_requests(factor):
    """Guards against placement by estimates that stay wrong for seconds.

    At 12 requests per second and server, 16 requests take 1.3 s.
    """
    errors = []
    for seed in range(200):
        route, rng = _learned(mean=MEAN, seed=seed)
        for _ in range(16):
            route.record(servers.draw_work(rng, MEAN * factor))
        errors.append(route.mean_seconds / (MEAN * factor))
    assert sum(0.5 < error < 2 for error in errors) >= 0.98 * len(errors)
    assert min(errors) > 0.25
    assert max(errors) < 4


def test_expected_remaining_time_grows_once_a_request_runs_long():
    """Guards against counting a request that has outlived its mean as almost done."""
    route, _ = _learned()
    remaining = [route.remaining_seconds(MEAN * runs) for runs in (3, 4, 6, 12, 40)]
    assert remaining == sorted(remaining)
    assert remaining[-1] > 20 * MEAN


def test_expected_remaining_time_matches_the_distribution():
    rng = random.Random(5)
    route, _ = _learned(count=400)
    works = [servers.draw_work(rng, route.mean_seconds) for _ in range(20_000)]
    for runs in (0.0, 0.5, 1.0, 1.5):
        elapsed = runs * route.mean_seconds
        rests = [work - elapsed for work in works if work > elapsed]
        expected = sum(rests) / len(rests)
        assert route.remaining_seconds(elapsed) == pytest.approx(expected, rel=0.35)


def test_remaining_time_before_the_first_observation_is_that_elapsed():
    assert durations.RouteDurations().remaining_seconds(0.3) == 0.3


@pytest.mark.parametrize('seconds', [0, -1, 1e-9, 1e9])
def test_extreme_durations_are_accepted(seconds):
    """Guards against logarithms of 0 and indexes out of range."""
    route, _ = _learned()
    for _ in range(60):
        route.record(seconds)
    assert route.mean_seconds > 0
    assert route.remaining_seconds(1e12) > 0
