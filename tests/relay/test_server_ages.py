"""What a restarted agent knows of its server's start, with real processes."""

import re
import time

import pytest

from egretjunction.relay import listings
from tests.relay import test_daemons as daemons

AHEAD_SECONDS = 3.0  # longer than an agent takes to start
AHEAD_HEARTBEATS = 7  # that a server sends in this time, every 0.5 s
COLD_MS = 60_000
LISTING_SECONDS = 0.5
KEY = f'{listings.AGENTS_PREFIX}agent-1'


@pytest.fixture
def running(tmp_path):
    with daemons.stopped_system(tmp_path) as system_and_store:
        system_and_store[0].start('agent')
        _await_agent(system_and_store[0])
        yield system_and_store


def _await_agent(system):
    daemons._wait_until(lambda: system.get('agent', '/status')[0] == 200)


def _restart_after_a_kill(system):
    system.processes['agent'].kill()
    system.processes['agent'].wait()
    system.start('agent')
    _await_agent(system)


def _listed_born(store_state):
    """Return the start of the server that the store lists for the agent."""
    return listings.read_server_born(store_state.data_of(KEY))


def _settled(system):
    """Return whether the agent takes itself for as old as its server."""
    pattern = re.compile('event=server_start_settled .*known_since_start=(True|False)')
    daemons._wait_until(lambda: pattern.search(system.log('agent')))
    return pattern.search(system.log('agent'))[1] == 'True'


def test_agent_restarted_after_its_clock_went_back_is_younger_than_its_server(running):
    """Guards against denied flows after a clock step and the end of all daemons."""
    system, store_state = running
    ahead_at = time.time() + AHEAD_SECONDS
    born = int(ahead_at * 1000)
    assert system.announce(1, born=born, cold_remaining_ms=COLD_MS) == 200
    daemons._wait_until(lambda: _listed_born(store_state) == born)
    _restart_after_a_kill(system)
    time.sleep(max(0, ahead_at + 0.05 - time.time()))
    sequence = AHEAD_HEARTBEATS
    assert system.announce(sequence, born=born, cold_remaining_ms=COLD_MS) == 200
    assert not _settled(system)


def test_agent_that_started_with_its_server_knows_all_of_its_flows(running):
    """Guards against probes for every flow after a power loss."""
    system, store_state = running
    assert system.announce(1) == 200
    daemons._wait_until(lambda: _listed_born(store_state))
    _restart_after_a_kill(system)
    time.sleep(0.1)
    born = int((time.time() - 0.05) * 1000)
    assert system.announce(4, born=born, cold_remaining_ms=COLD_MS) == 200
    assert _settled(system)


def test_packet_before_the_first_heartbeat_leaves_the_listed_server(running):
    """Guards against a restarted agent that drops what an earlier one has listed."""
    system, store_state = running
    assert system.announce(1, born=2_000_000) == 200
    daemons._wait_until(lambda: _listed_born(store_state) == 2_000_000)
    _restart_after_a_kill(system)
    system.answer(4100, daemons.ACK, 501, b'answer')
    time.sleep(LISTING_SECONDS)
    assert _listed_born(store_state) == 2_000_000


def test_incarnation_that_follows_another_one_is_listed(running):
    system, store_state = running
    assert system.announce(1) == 200
    assert system.leave() == 200
    assert system.announce(1, born=2_000_000) == 200
    daemons._wait_until(lambda: _listed_born(store_state) == 2_000_000)
