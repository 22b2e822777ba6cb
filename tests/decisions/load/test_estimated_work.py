"""Placement by estimates, against least connections and against perfect knowledge."""

import random
import statistics

import pytest

from tests.decisions.load import placing
from tests.decisions.load import servers

SEEDS = range(2)


@pytest.mark.parametrize('routes', [placing.ROUTES, placing.MIXTURE])
@pytest.mark.parametrize('load', [0.5, 0.7])
def test_estimates_close_most_of_the_gap_to_perfect_knowledge(load, routes):
    """Guards against estimates that are worth no more than the number of requests.

    A quarter of the servers has half the speed of the others.
    """
    *_, closed = placing.compare(load, routes, SEEDS, duration_share=0.5)
    mean_closed, late_closed = closed
    assert mean_closed > 0.6
    assert late_closed > 0.6


def test_late_responses_get_fewer_at_high_load():
    least, estimated, _, _ = placing.compare(
        0.85, placing.ROUTES, SEEDS, duration_share=0.5
    )
    assert estimated[0] < 1.1 * least[0]
    assert estimated[1] < 0.9 * least[1]


@pytest.mark.parametrize('factor', [0.25, 4])
def test_common_error_of_all_estimates_changes_no_placement(factor):
    members = placing.build()
    factors = dict.fromkeys(members, factor)
    played = placing.play(
        placing.estimates(0.5, factors), 1, 0.7, placing.ROUTES, members
    )
    exact = placing.play(
        placing.estimates(0.5), 1, 0.7, placing.ROUTES, placing.build()
    )
    assert played.response_seconds == exact.response_seconds


@pytest.mark.parametrize('seed', range(3))
def test_estimates_off_by_four_are_bounded_by_what_agents_accept(seed):
    """Guards against a server whose estimate is too low getting all requests.

    Agents decline offers by their number of requests, so a wrong estimate costs time
    and no request.
    """
    members = placing.build()
    rng = random.Random(seed)
    factors = {server: rng.choice((0.25, 1, 4)) for server in members}
    wrong = placing.play(
        placing.estimates(0.5, factors),
        seed,
        0.7,
        placing.ROUTES,
        members,
        is_limited=True,
    )
    least = placing.play(
        placing.least_connections,
        seed,
        0.7,
        placing.ROUTES,
        placing.build(),
        is_limited=True,
    )
    wrong_mean = statistics.mean(wrong.response_seconds)
    assert wrong_mean < 1.6 * statistics.mean(least.response_seconds)
    sent_count = len(wrong.response_seconds) + sum(m.requests for m in members)
    assert sent_count == pytest.approx(
        len(least.response_seconds), abs=placing.SERVER_COUNT * placing.SLOTS * 2
    )


def _mean_with_changes(score, seed, load, make_changes, routes=placing.ROUTES):
    members = placing.build((1.0,))
    routes = dict(routes)
    played = placing.play(
        score, seed, load, routes, members, changes=make_changes(members, routes)
    )
    return statistics.mean(played.response_seconds)


def _slow_down(members, _routes):
    """Let two servers be 8 times slower for 3 s."""

    def set_speed(speed):
        for server in members[:2]:
            server.speed = speed

    return [(2, lambda: set_speed(1 / 8)), (5, lambda: set_speed(1.0))]


def _make_dear(_members, routes):
    """Let the requests of one route cost a tenth, and then again ten times that."""
    return [
        (3, lambda: routes.update({b'status': (0.0053, 0.78)})),
        (6, lambda: routes.update({b'status': (0.053, 0.78)})),
    ]


def _restart_agents(members, _routes):
    """Replace what half of the agents have learned; requests go on."""

    def forget():
        for server in members[::2]:
            fresh = servers.Server(server.slots)
            server.backlog = fresh.backlog

    return [(2, forget), (5, forget)]


@pytest.mark.parametrize(
    ('make_changes', 'bound'),
    [(_slow_down, 1.0), (_make_dear, 1.1), (_restart_agents, 1.1)],
)
def test_placement_after_a_change_is_no_worse_than_by_connections(make_changes, bound):
    """Guards against estimates that are worse than none while they are wrong."""
    ratios = []
    for seed in range(3):
        estimated = _mean_with_changes(placing.estimates(0.5), seed, 0.7, make_changes)
        least = _mean_with_changes(placing.least_connections, seed, 0.7, make_changes)
        ratios.append(estimated / least)
    assert statistics.mean(ratios) < bound, ratios
