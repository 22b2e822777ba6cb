"""Remaining work of a server, derived from when requests were sent and answered."""

import random
import statistics

import pytest

from egretjunction.decisions.load import backlog
from tests.decisions.load import servers

ROUTE = b'feed'
OTHER_ROUTE = b'booking'


def _backlog(slots=1):
    return backlog.Backlog(lambda key: key[6:], slots)


def _key(number, route=ROUTE):
    return servers.key_of(route, number)


def _serve(estimated, key, start, end):
    """Serve one request, with ticks."""
    estimated.start(key, start)
    now = start
    while now < end:
        estimated.tick(now)
        now += servers.TICK_SECONDS
    estimated.complete(key, end)
    estimated.tick(end)


def _train(slots=1, seconds=0.05, count=20):
    estimated = _backlog(slots)
    for number in range(count):
        start = number * seconds
        _serve(estimated, _key(number), start, start + seconds)
    return estimated, count * seconds


def _saturated(slots, load, seed, seconds=40.0, server_speed=1.0):
    """Return a simulation of one server with requests at random times."""
    rng = random.Random(seed)
    server = servers.Server(slots, server_speed)
    simulation = servers.Simulation([server])
    mean = 0.05

    def arrive():
        simulation.send(server, ROUTE, servers.draw_work(rng, mean))
        rate = load * slots * server_speed / mean
        simulation.at(simulation.now + rng.expovariate(rate), arrive)

    simulation.at(0, arrive)
    simulation.run(seconds)
    return simulation, server


@pytest.mark.parametrize('slots', [1, 2, 4])
@pytest.mark.parametrize('seed', range(5))
def test_queueing_at_the_server_does_not_count_as_duration(slots, seed):
    """Guards against durations of several times the work under high load."""
    simulation, server = _saturated(slots, 0.95, seed)
    assert statistics.mean(simulation.response_seconds) > 0.07
    assert server.backlog.request_ms == pytest.approx(50, rel=0.4)


def test_wait_is_zero_while_a_slot_is_free_and_unknown_before_any_answer():
    estimated = _backlog(slots=2)
    estimated.start(_key(1), 0)
    assert estimated.wait_seconds((), 0) == 0
    estimated.start(_key(2), 0)
    assert estimated.wait_seconds((), 0) is None
    assert estimated.request_ms == 0


def test_wait_covers_running_queued_and_reserved_requests():
    estimated, now = _train(seconds=0.05)
    estimated.start(_key(100), now)
    assert estimated.wait_seconds((), now) == pytest.approx(0.05, rel=0.1)
    estimated.start(_key(101), now + 0.01)
    assert estimated.wait_seconds((_key(102),), now + 0.01) == pytest.approx(
        0.145, rel=0.3
    )


def test_reserved_flow_counts_with_the_duration_of_its_route():
    estimated, now = _train(seconds=0.05)
    for number in range(200, 220):
        now += 0.05
        _serve(estimated, _key(number, OTHER_ROUTE), now, now + 0.007)
    short = estimated.wait_seconds((_key(300, OTHER_ROUTE),), now + 0.1)
    long = estimated.wait_seconds((_key(300),), now + 0.2)
    assert short == pytest.approx(0.007, rel=0.1)
    assert long == pytest.approx(0.05, rel=0.1)


@pytest.mark.parametrize('slots', [1, 2])
def test_expected_wait_agrees_with_the_actual_one(slots):
    """Guards against a bias of the expected wait, such as that of sums of minima."""
    ratios = []
    for seed in range(30):
        simulation, server = _saturated(slots, 0.9, seed, seconds=20.0)
        for _ in range(10):
            simulation.run(simulation.now + 1.0)
            actual = server.wait_seconds(simulation.now)
            if actual > 0:
                expected = server.backlog.wait_seconds((), simulation.now)
                ratios.append((expected, actual))
    expected_sum = sum(expected for expected, _ in ratios)
    actual_sum = sum(actual for _, actual in ratios)
    assert expected_sum == pytest.approx(actual_sum, rel=0.15)


def test_slow_server_shows_before_its_first_answer_and_recovers():
    """Guards against sending requests to a server that became 8 times slower."""
    simulation, server = _saturated(2, 0.5, seed=3, seconds=20.0)
    before = server.backlog.request_ms
    server.speed = 1 / 8
    simulation.run(simulation.now + 1.5)
    assert server.backlog.request_ms > 3 * before
    assert server.backlog.wait_seconds((), simulation.now) > 0.2
    server.speed = 1.0
    simulation.run(simulation.now + 4.0)
    assert server.backlog.request_ms < 2 * before


def test_server_that_was_slow_and_gets_no_requests_is_tried_again():
    """Guards against a server that gets no requests after it was slow for seconds."""
    estimated, now = _train(count=100)
    for number in range(200, 206):
        _serve(estimated, _key(number), now, now + 0.4)
        now += 0.4
    assert estimated.request_ms > 200
    for _ in range(120):
        now += servers.TICK_SECONDS
        estimated.tick(now)
    assert estimated.request_ms < 100


def test_durations_across_a_pause_of_the_agent_are_not_learned():
    """Guards against a slow estimate after the agent itself was paused for 3 s."""
    estimated, now = _train()
    estimated.start(_key(100), now)
    estimated.complete(_key(100), now + 3)
    estimated.tick(now + 3)
    assert estimated.request_ms == pytest.approx(50, abs=1)
    assert estimated.outcomes.failure_percent(now + 3) == 0


def test_unanswered_request_does_not_hold_back_the_model():
    """Guards against durations that include queueing behind a request that hangs."""
    estimated, now = _train()
    estimated.start(_key(99), now)
    for number in range(100, 130):
        estimated.start(_key(number), now)
        for _ in range(4):
            estimated.tick(now)
            now += 0.0125
        estimated.complete(_key(number), now)
    estimated.tick(now)
    assert estimated.request_ms == pytest.approx(50, abs=3)
    assert estimated.wait_seconds((), now) == 0


def test_slowdown_of_a_cold_server_is_learned_apart_from_durations():
    estimated, now = _train()
    for restart in range(3):
        estimated.forget_outcomes()
        estimated.configure(1, 2000, now)
        for number in range(20):
            _serve(estimated, _key(1000 * (restart + 1) + number), now, now + 0.08)
            now += 0.08
        assert estimated.request_ms == pytest.approx(80, rel=0.1)
        now += 2.0
        estimated.tick(now)
        assert estimated.request_ms == pytest.approx(50, abs=1)


def test_records_of_routes_and_flows_are_bounded():
    estimated = _backlog()
    for number in range(3 * backlog.MAX_ROUTES):
        key = _key(number, str(number).encode())
        estimated.start(key, number / 100)
        estimated.complete(key, number / 100 + 0.005)
        estimated.remove(key)
    sizes = [
        len(getattr(estimated, name))
        for name in estimated.__slots__
        if name.endswith(('_by_key', '_by_name', '_keys'))
    ]
    assert max(sizes) == backlog.MAX_ROUTES
    assert sum(sizes) == backlog.MAX_ROUTES


def test_requests_leave_no_record_whatever_ends_them():
    """Guards against memory that grows with requests that are reset or expire."""
    rng = random.Random(7)
    estimated = _backlog(slots=2)
    alive = []
    for number in range(5000):
        now = number / 100
        estimated.start(_key(number), now)
        alive.append(_key(number))
        if len(alive) > 6:
            key = alive.pop(rng.randrange(len(alive)))
            end = rng.choice(
                (
                    estimated.complete,
                    estimated.abandon,
                    estimated.expire,
                    estimated.reset,
                )
            )
            end(key, now + 0.005)
            estimated.remove(key)
        estimated.tick(now + 0.006)
    for key in alive:
        estimated.remove(key)
    sizes = {
        name: len(getattr(estimated, name))
        for name in estimated.__slots__
        if name.endswith(('_by_key', '_keys'))
    }
    assert not any(sizes.values()), sizes
