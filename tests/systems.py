"""Helpers for tests that start the whole system as separate processes."""

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
    """Start a system, have its document accepted, and stop it at the end."""
    system = cluster.Cluster(folder, SIZE)
    try:
        system.start()
        asyncio.run(system.apply_document())
        for service in SIZE.services:
            for number in range(service.servers):
                name = f'agent-{service.name}-{number + 1}'
                system.wait_for_state(name, 'serving')
        wait_until(lambda: _sees_all(system))
        yield system
    finally:
        system.stop()


def _sees_all(system):
    for entry in system.data_address_by_entry:
        shown = system.status(entry)['agents']
        for service in SIZE.services:
            states = [each['state'] for each in shown.get(service.name, {}).values()]
            if states.count('serving') < service.servers:
                return False
    return True


def figure(system, name, metric):
    """Return the sum of one figure of a daemon, 0 when it is not there."""
    found = 0.0
    for line in system.get(name, '/metrics').decode().splitlines():
        if line.startswith(f'egretjunction_{metric}'):
            found += float(line.rpartition(' ')[2])
    return found


def wait_until(holds):
    """Wait until something holds, with far more patience than it needs."""
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while not holds():
        assert time.monotonic() < deadline, 'waited in vain'
        time.sleep(0.1)


async def apply_document(system, text, team='booking'):
    """Have a document accepted."""
    service = platform.Platform(system.platform_url)
    base = (await operators.read(service)).document
    author = operators.Author('test', team, cluster.team_key_digest(team))
    wanted = document.parse(text, 'test')
    return await operators.apply(service, base, wanted, author)
