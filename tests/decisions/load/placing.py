"""Places requests of several routes on servers of different speeds, in virtual time.

``python -m tests.decisions.load.placing`` prints the figures of the design note.
"""

import random
import statistics
import sys

from tests.decisions.load import servers

ROUTES = {b'status': (0.053, 0.78), b'call': (0.069, 0.22)}  # mean work, share
MIXTURE = {b'status': (0.053, 0.5), b'call': (0.069, 0.2), b'download': (0.007, 0.3)}
SPEEDS = (1.0, 1.0, 1.0, 0.5)
SERVER_COUNT = 12
SLOTS = 2
WARM_UP_SECONDS = 4.0
SECONDS = 12.0
LOADS = (0.5, 0.7, 0.85)
ACCEPTED_PER_SLOT = 1.5  # requests that an agent accepts while all servers are full


def least_connections(server, _work, _now):
    """Return the load of a server as requests."""
    return server.requests


def perfect(duration_share):
    """Return a policy that knows all actual work.

    :param duration_share: weight of the request's own duration. With 1 a request goes
        where it ends first; with 0, where it starts first.
    """

    def score(server, work, now):
        return server.wait_seconds(now) + duration_share * work / server.speed

    return score


def estimates(duration_share, factor_by_server=None):
    """Return a policy that uses only the figures of the status.

    :param duration_share: weight of the request's own duration.
    :param factor_by_server: factor by which the estimates of a server are wrong.
    """
    factors = factor_by_server or {}

    def score(server, _work, now):
        wait_seconds = server.backlog.wait_seconds((), now)
        if wait_seconds is None or not server.backlog.request_ms:
            seconds = server.requests / 1000  # servers without an estimate come first
        else:
            seconds = wait_seconds + duration_share * server.backlog.request_ms / 1000
        return seconds * factors.get(server, 1)

    return score


def build(speeds=SPEEDS):
    """Return servers whose speeds repeat."""
    return [
        servers.Server(SLOTS, speeds[number % len(speeds)])
        for number in range(SERVER_COUNT)
    ]


def play(score, seed, load, routes, members, *, is_limited=False, changes=()):
    """Place requests at random times; return the simulation.

    :param score: policy; the server with the lowest score gets a request.
    :param load: share of the capacity of all servers.
    :param routes: mean work and share of each route.
    :param is_limited: whether servers with more requests than an agent accepts get
        none while another one has room.
    :param changes: ``(seconds, action)`` after the warm-up.
    """
    rng = random.Random(seed)
    ties = random.Random(seed + 1)
    simulation = servers.Simulation(members)
    mean_work = sum(mean * share for mean, share in routes.values())
    capacity = sum(server.slots * server.speed for server in members) / mean_work
    names = list(routes)
    shares = [share for _, share in routes.values()]

    def arrive():
        (route,) = rng.choices(names, shares)
        work = servers.draw_work(rng, routes[route][0])
        candidates = members
        if is_limited:
            limit = SLOTS * ACCEPTED_PER_SLOT
            candidates = [s for s in members if s.requests < limit] or members
        chosen = min(
            candidates,
            key=lambda server: (score(server, work, simulation.now), ties.random()),
        )
        simulation.send(chosen, route, work)
        simulation.at(simulation.now + rng.expovariate(load * capacity), arrive)

    simulation.at(0, arrive)
    simulation.run(WARM_UP_SECONDS)
    simulation.response_seconds.clear()
    for when, change in changes:
        simulation.at(WARM_UP_SECONDS + when, change)
    simulation.run(WARM_UP_SECONDS + SECONDS)
    return simulation


def measure(score, load, routes, seeds, speeds=SPEEDS):
    """Return mean and 98th percentile of the response times in milliseconds."""
    seconds = sorted(
        response
        for seed in seeds
        for response in play(score, seed, load, routes, build(speeds)).response_seconds
    )
    return (
        statistics.mean(seconds) * 1000,
        seconds[int(len(seconds) * 0.98)] * 1000,
    )


def compare(load, routes, seeds, duration_share, speeds=SPEEDS):
    """Return the figures of the three policies, and the shares of the gap closed."""
    least = measure(least_connections, load, routes, seeds, speeds)
    estimated = measure(estimates(duration_share), load, routes, seeds, speeds)
    best = measure(perfect(duration_share), load, routes, seeds, speeds)
    closed = [
        (worst - figure) / (worst - bound)
        for worst, figure, bound in zip(least, estimated, best, strict=True)
    ]
    return least, estimated, best, closed


def main():
    """Print the comparison at several loads."""
    for routes in (ROUTES, MIXTURE):
        for load in LOADS:
            for share in (1, 0.5, 0):
                least, estimated, best, closed = compare(load, routes, range(4), share)
                cells = [
                    f'{mean:.1f} / {late:.0f}'
                    for mean, late in (least, estimated, best)
                ]
                gaps = ' / '.join(f'{gap:.0%}' for gap in closed)
                cells = [str(len(routes)), str(load), str(share), *cells, gaps]
                sys.stdout.write(f'| {" | ".join(cells)} |\n')


if __name__ == '__main__':
    main()
