"""Helpers for tests that run the whole system as separate processes."""

import asyncio
import contextlib
import time

from egretjunction import operators
from egretjunction import platform
from egretjunction.decisions import document
from egretjunction.standins import cluster
from egretjunction.standins import sizes

OPTIONS = 'feed_paths = /feed*\nlarge_paths = /photos*\n'
SIZE = sizes.Size(
    'test',
    2,
    2,
    (
        sizes.ServiceSize('bookings', 'booking', 2, OPTIONS),
        sizes.ServiceSize('surveys', 'photo', 1, OPTIONS),
    ),
    0.0,
)
TIMEOUT_SECONDS = 40.0


@contextlib.contextmanager
def running(folder):
    """Start a system, apply its document, wait until it serves and stop it at the end."""
    system = cluster.Cluster(folder, SIZE)
    try:
        system.start()
        asyncio.run(system.apply_document())
        for service in SIZE.services:
            for number in range(service.servers):
                name = f'agent-{service.name}-{number + 1}'
                system.wait_for_state(name, 'serving')
        wait_until(lambda: _sees_all_agents(system))
        yield system
    finally:
        system.stop()


def _sees_all_agents(system):
    for entry in system.data_address_by_entry:
        agents_by_service = system.status(entry)['agents']
        for service in SIZE.services:
            states = [
                agent['state']
                for agent in agents_by_service.get(service.name, {}).values()
            ]
            if states.count('serving') < service.servers:
                return False
    return True


def metric_sum(system, name, metric):
    """Return the sum of a daemon's metric over all labels, 0 when it is missing."""
    total = 0.0
    for line in system.get(name, '/metrics').decode().splitlines():
        if line.startswith(f'egretjunction_{metric}'):
            total += float(line.rpartition(' ')[2])
    return total


def wait_until(condition):
    """Wait until a condition holds; the timeout is far longer than any test needs."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, 'condition did not hold within the timeout'
        time.sleep(0.1)


async def apply_document(system, text, team='booking'):
    """Apply a document as a team's operator."""
    client = platform.Platform(system.platform_url)
    base = (await operators.read(client)).document
    author = operators.Author('test', team, cluster.team_key_digest(team))
    parsed = document.parse(text, 'test')
    return await operators.apply(client, base, parsed, author)
