"""Replayed loads: shares of requests answered in time with both settings."""

import pytest

from egretjunction import addresses
from egretjunction.decisions import relay_routes
from tests import relay_builders as build
from tests.decisions.load import replaying

DOMAINS = ('a', 'b', 'c')


def _route(name, number, target, timeout, priority=0):
    return relay_routes.Route(
        name,
        addresses.Address(f'198.18.0.{number}', 443),
        {build.SERVICE: 1},
        priority=priority,
        target_seconds=target,
        timeout_seconds=timeout,
    )


def _agents(count, mean_seconds, slow_every=0):
    return [
        replaying.Agent(
            number + 1,
            DOMAINS[number % 3],
            mean_seconds * (2 if slow_every and number % slow_every == 0 else 1),
        )
        for number in range(count)
    ]


def _entry_domains(count):
    return [DOMAINS[number % 3] for number in range(count)]


def _burst_on_all(seed, error=1):
    """1.9 times the load, at 46 servers of which a quarter has half the speed."""
    routes = [_route('stream', 1, 0.303, 1.5, 1), _route('checkout', 2, 0.302, 1.8)]
    replay = replaying.Replay(
        seed, routes, _agents(46, 0.025, 4), _entry_domains(22), error
    )
    for domain in DOMAINS:
        for route, rate in (('stream', 225), ('checkout', 75)):
            replay.arrive(route, domain, rate, 0.1, 0.6)
            replay.arrive(route, domain, rate * 1.9, 0.6, 2.0)
    return replay.run(2.3)


def _burst_on_one(seed):
    """One route gets 3 times its load, and another none of the burst."""
    routes = [_route('burst', 1, 0.3, 1.5), _route('quiet', 2, 0.3, 1.5)]
    replay = replaying.Replay(seed, routes, _agents(12, 0.025), _entry_domains(6))
    for domain in DOMAINS:
        replay.arrive('quiet', domain, 40, 0.1, 6.0)
        replay.arrive('burst', domain, 70, 0.1, 3.0)
        replay.arrive('burst', domain, 210, 3.0, 6.0)
    return replay.run(6.0)


def _shift(seed):
    """Half of the clients of domain b move to domain a."""
    routes = [_route('checkout', 1, 0.3, 1.5)]
    replay = replaying.Replay(seed, routes, _agents(24, 0.025), _entry_domains(9))
    replay.arrive('checkout', 'c', 290, 0.1, 2.0)
    replay.arrive('checkout', 'a', 290, 0.1, 1.0)
    replay.arrive('checkout', 'b', 290, 0.1, 1.0)
    replay.arrive('checkout', 'a', 435, 1.0, 2.0)
    replay.arrive('checkout', 'b', 145, 1.0, 2.0)
    return replay.run(2.3)


def test_burst_of_1_9_times_at_servers_of_two_speeds():
    """Slow servers got as many requests as fast ones, and answered them late."""
    before, after = _burst_on_all(None), _burst_on_all(7)
    print(before, after)
    assert after['stream'] > before['stream'] + 0.02
    assert after['checkout'] > before['checkout'] - 0.01


@pytest.mark.parametrize('error', [0.25, 4])
def test_burst_with_estimates_off_by_4(error):
    """A wrong scale of all estimates must not cost more than they gain."""
    in_time = _burst_on_all(7, error)
    print(error, in_time)
    assert in_time['stream'] > 0.92
    assert in_time['checkout'] > 0.97


def test_burst_of_one_route_beside_another():
    """The burst took the slots of the other route, in order of arrival."""
    before, after = _burst_on_one(None), _burst_on_one(7)
    print(before, after)
    assert after['quiet'] > before['quiet'] + 0.08
    assert after['quiet'] > 0.95


def test_shift_of_clients_to_another_domain():
    before, after = _shift(None), _shift(7)
    print(before, after)
    assert after['checkout'] > before['checkout'] - 0.01
