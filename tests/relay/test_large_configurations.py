"""Entry processes that read large configurations over slow links."""

import json

import pytest

from tests.platform import store_standin
from tests.relay import test_daemons as daemons

BOUND_SECONDS = 3.0  # as in the settings of the entry
SLOW_BYTES_PER_SECOND = 625_000  # 5 Mbit/s
ROUTE_BYTES = 230


def _large_configuration(version, size_bytes):
    """Return a configuration of about the given size."""
    document = json.loads(daemons._configuration(version, daemons.SERVICE))
    for number in range(size_bytes // ROUTE_BYTES):
        route = dict(document['routes'][0])
        route |= {'name': f'r-{number:06}', 'prefix': f'/{1000 + number}/'}
        route['type'] = 'idempotent' + 'x' * (ROUTE_BYTES - 150)
        document['routes'].append(route)
    return json.dumps(document).encode()


@pytest.fixture
def running(tmp_path):
    with daemons.stopped_system(tmp_path) as (system, state):
        system.start('entry')
        system.await_version(3)
        yield system, state


def test_large_version_over_a_slow_link_is_in_force_in_time(running):
    """Guards against time limits that don't know how much has to be read."""
    system, state = running
    state.bytes_per_second = SLOW_BYTES_PER_SECOND
    for version in (5, 7):
        state.write({'op/config': _large_configuration(version, 750_000)}, [])
        system.await_version(version, BOUND_SECONDS)


def test_large_versions_in_quick_succession_are_skipped_for_the_newest(running):
    """Guards against a response of all versions that no reader accepts."""
    system, state = running
    state.bytes_per_second = 2 * SLOW_BYTES_PER_SECOND
    state.write({'op/config': _large_configuration(5, 700_000)}, [])
    system.await_version(5, BOUND_SECONDS)
    for version in range(6, 20):
        state.write({'op/config': _large_configuration(version, 700_000)}, [])
    system.await_version(19, BOUND_SECONDS)


def test_version_heard_of_while_it_arrives_is_read_once(running):
    """Guards against two copies that share a slow link."""
    system, state = running
    paths = []
    state.write({'op/config': _large_configuration(4, 750_000)}, [])
    system.await_version(4, BOUND_SECONDS)
    system.start('agent')
    daemons._wait_until(lambda: system.announce(1) == 200)
    daemons._wait_until(lambda: b'"state":"ready"' in system.get('entry', '/status')[1])
    state.before_response = paths.append
    state.bytes_per_second = SLOW_BYTES_PER_SECOND
    state.write({'op/config': _large_configuration(5, 750_000)}, [])
    daemons._wait_until(lambda: state.sent_bytes > 10 * store_standin.CHUNK_BYTES)
    system.ping_agent(5)
    system.await_version(5, BOUND_SECONDS)
    assert '/kv-key?key=op/config' not in paths
