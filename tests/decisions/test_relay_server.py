"""What an agent believes of its backend server."""

import pytest

from egretjunction import addresses
from egretjunction.decisions import relay_heartbeats
from egretjunction.decisions import relay_server
from egretjunction.wire import relaying
from tests import relay_builders as build

INTERVAL_SECONDS = 1.0
CHANGE = relay_heartbeats.Change


def _server():
    """Return a server that was heard of at 0, and started at 5000."""
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS)
    server.record_heartbeat(build.heartbeat('i-1', 5000, 1), 0)
    return server


def test_server_started_again_after_the_clock_went_back_is_followed():
    """Guards against an accepted draining that is never applied."""
    server = _server()
    again = build.heartbeat('i-1', 4000, 1)
    assert server.record_heartbeat(again, 1.0) is CHANGE.REJECTED
    assert not server.has_taken(again)
    again = build.heartbeat('i-1', 4000, 2, is_draining=True, cold_ms=900)
    assert server.record_heartbeat(again, 2.0) is CHANGE.RESTARTED
    assert server.has_taken(again)
    assert server.state(2.0) is relaying.State.DRAINING
    assert server.is_cold(2.8)
    assert server.is_known_since_start


def test_heartbeats_of_an_older_incarnation_that_were_held_up_are_rejected():
    server = _server()
    for sequence in (7, 8, 9):
        late = build.heartbeat('i-0', 4000, sequence)
        assert server.record_heartbeat(late, 0.5) is CHANGE.REJECTED
    assert server.name == 'i-1'


def test_incarnation_with_a_lower_start_waits_while_the_known_one_lives():
    server = _server()
    for number in range(1, 9):
        other = build.heartbeat('i-0', 4000, number)
        assert server.record_heartbeat(other, number) is CHANGE.REJECTED
        own = build.heartbeat('i-1', 5000, number + 1)
        assert server.record_heartbeat(own, number + 0.5) is CHANGE.NOTHING


@pytest.mark.parametrize('born', [4000, 6000])
def test_replaced_incarnation_does_not_come_back(born):
    """Guards against flows that are reset for a heartbeat that was held up."""
    server = _server()
    for sequence in (1, 2):
        server.record_heartbeat(build.heartbeat('i-2', born, sequence), sequence)
    assert server.name == 'i-2'
    for sequence in (30, 31, 32):
        late = build.heartbeat('i-1', 5000, sequence)
        assert server.record_heartbeat(late, sequence) is CHANGE.REJECTED
    assert server.name == 'i-2'


def test_heartbeat_that_was_held_up_does_not_replace_a_server_that_left():
    """Guards against flows that are offered to a server that is gone."""
    server = _server()
    server.record_leave('i-1')
    late = build.heartbeat('i-0', 4000, 7)
    assert server.record_heartbeat(late, 1) is CHANGE.REJECTED
    assert server.state(1) is relaying.State.GONE


def test_older_heartbeat_of_the_same_incarnation_is_stale_but_acknowledged():
    server = _server()
    server.record_heartbeat(build.heartbeat('i-1', 5000, 5), 1)
    late = build.heartbeat('i-1', 5000, 4)
    assert server.record_heartbeat(late, 1.1) is CHANGE.STALE
    assert server.has_taken(late)


def test_heartbeat_of_another_service_is_rejected():
    server = _server()
    other = build.heartbeat('i-1', 6000, 9)
    other.service = 'nobody'
    assert server.record_heartbeat(other, 1) is CHANGE.REJECTED
    assert not server.has_taken(other)


def test_heartbeat_of_another_address_is_rejected():
    """Guards against the heartbeat of another server that displaces the living one."""
    own = addresses.Address('127.0.0.1', 8080)
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS, address=own)
    first = build.heartbeat('i-1', 5000, 1, address=own)
    assert server.record_heartbeat(first, 0) is CHANGE.CHANGED
    elsewhere = addresses.Address('127.0.0.2', 8080)
    other = build.heartbeat('i-2', 6000, 1, address=elsewhere)
    assert server.record_heartbeat(other, 9) is CHANGE.REJECTED
    assert not server.has_taken(other)
    assert server.name == 'i-1'


def test_server_is_not_absent_because_its_agent_was_slow_to_start():
    """Guards against flows that are denied before the first heartbeat could arrive."""
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS, started_at=10.0)
    server.record_listening(10.8)
    server.record_probe(11.5)
    assert not server.is_absent(12.0)
    assert server.is_absent(12.1)


@pytest.mark.parametrize('is_listing_read_first', [True, False])
def test_late_first_heartbeat_of_a_listed_server_does_not_make_it_young(
    is_listing_read_first,
):
    """Guards against denied flows after a restart of the agent.

    The first heartbeat that the new process gets is the server's number 1, which was
    held up; an earlier process has followed and listed the server.
    """
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS)
    late = build.heartbeat('i-1', 5000, 1)
    if is_listing_read_first:
        server.settle_start(5000)
        server.record_heartbeat(late, 0.2)
    else:
        server.record_heartbeat(late, 0.2)
        assert server.settle_start(5000)
    assert not server.is_known_since_start


@pytest.mark.parametrize(
    ('listed_born', 'is_known'), [(5000, False), (4000, True), (0, True)]
)
def test_time_of_day_counts_only_beside_the_listing_of_an_earlier_process(
    listed_born, is_known
):
    """Guards against denied flows after a clock step and the end of all daemons."""
    cold = build.heartbeat('i-1', 5000, 4, cold_ms=1500)
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS)
    server.record_heartbeat(cold, 0.2, 0.1)
    assert not server.is_known_since_start
    assert server.settle_start(listed_born)
    assert server.is_known_since_start == is_known
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS)
    assert not server.settle_start(listed_born)
    server.record_heartbeat(cold, 0.2, 0.1)
    assert server.is_known_since_start == is_known
