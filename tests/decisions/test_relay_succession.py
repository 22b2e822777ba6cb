"""Which incarnation of its backend server an agent follows."""

import pytest

from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_heartbeats
from egretjunction.decisions import relay_server
from egretjunction.wire import relaying
from tests import relay_builders as build

INTERVAL_SECONDS = 1.0
CHANGE = relay_heartbeats.Change


def _living_server(**fields):
    """Return a server, started at 5000, that has sent heartbeats until 2.0."""
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS)
    for sequence in range(3):
        living = build.heartbeat('i-1', 5000, sequence + 1, **fields)
        server.record_heartbeat(living, sequence)
    return server


@pytest.mark.parametrize('born', [4000, 6000])
@pytest.mark.parametrize('moments', [(2.1, 2.85), (2.1, 2.6, 2.95)])
def test_held_up_heartbeats_between_two_of_the_living_server_count_for_nothing(
    born, moments
):
    """Guards against a drain that is undone, and flows reset, by a dead server.

    The dead one's start is later where its clock was ahead then.
    """
    server = _living_server(is_draining=True)
    for sequence, moment in enumerate(moments, 8):
        late = build.heartbeat('i-0', born, sequence)
        assert server.record_heartbeat(late, moment) is CHANGE.REJECTED
        assert not server.has_taken(late)
    living = build.heartbeat('i-1', 5000, 4, is_draining=True)
    assert server.record_heartbeat(living, 3) is CHANGE.NOTHING
    assert server.state(3) is relaying.State.DRAINING


@pytest.mark.parametrize('born', [4000, 6000])
def test_incarnation_that_goes_on_while_the_known_one_is_silent_is_followed(born):
    """Guards against a server whose heartbeats are rejected for good."""
    server = _living_server()
    first = build.heartbeat('i-2', born, 1)
    assert server.record_heartbeat(first, 2.5) is CHANGE.REJECTED
    again = build.heartbeat('i-2', born, 2)
    assert server.record_heartbeat(again, 3.5) is CHANGE.CORRECTED
    assert server.has_taken(again)


def test_incarnation_that_is_first_heard_after_a_silence_has_started_since():
    """Guards against requests that wait at a crashed server for their deadline."""
    server = _living_server()
    successor = build.heartbeat('i-2', 6000, 1)
    assert server.record_heartbeat(successor, 3.5) is CHANGE.RESTARTED


def test_single_heartbeat_of_a_later_start_does_not_shut_out_the_living_server():
    """Guards against a server whose heartbeats are rejected for good.

    It has sent one heartbeat when one of a dead incarnation, whose clock was ahead,
    arrives.
    """
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS)
    server.record_heartbeat(build.heartbeat('i-1', 5000, 1), 0)
    server.record_heartbeat(build.heartbeat('i-0', 6000, 9), 0.5)
    for moment in (1, 2):
        living = build.heartbeat('i-1', 5000, moment + 1, is_draining=True)
        server.record_heartbeat(living, moment)
        assert server.state(moment) is relaying.State.DRAINING
    assert server.name == 'i-1'


def test_newer_incarnation_is_followed_at_once_after_the_known_one_left():
    server = _living_server()
    server.record_leave('i-1')
    successor = build.heartbeat('i-2', 6000, 1)
    assert server.record_heartbeat(successor, 2.2) is CHANGE.RESTARTED


def test_newer_incarnation_is_followed_once_the_server_bounces_a_confirmed_flow():
    """Guards against requests that wait for a reset of a server that has crashed."""
    agent = build.agent()
    agent.on_heartbeat(build.heartbeat(sequence=2), 1)
    for number in (1, 2):
        key = build.flow_key(number)
        agent.on_message(build.offer(build.first_packet(key)), build.ENTRY, 1.1)
        agent.on_server_packet(build.opening(key), 1.1)
        agent.on_message(relaying.Deliver(build.request(key).raw), build.ENTRY, 1.2)
        agent.on_server_packet(build.answer(key), 1.2)
    successor = build.heartbeat('i-2', 2000, 1)
    emitted = agent.on_heartbeat(successor, 1.5)
    assert not build.of_type(emitted, effects.Reset)
    bounced = build.bounced(build.request(build.flow_key(1)), 0)
    emitted = agent.on_server_packet(bounced, 1.6)
    resets = {reset.key for reset in build.of_type(emitted, effects.Reset)}
    assert resets == {build.flow_key(1), build.flow_key(2)}
    assert agent.server.name == 'i-2'


def test_living_server_is_followed_again_after_late_heartbeats_replaced_it():
    """Guards against a server whose heartbeats are rejected for good.

    Two heartbeats of a dead incarnation, whose clock was ahead, arrive between the
    first two that a restarted agent gets of the living one.
    """
    server = relay_server.Server(build.SERVICE, INTERVAL_SECONDS)
    server.record_heartbeat(build.heartbeat('i-1', 5000, 30), 0)
    server.record_heartbeat(build.heartbeat('i-0', 6000, 8), 0.3)
    server.record_heartbeat(build.heartbeat('i-0', 6000, 9), 0.9)
    changes = [
        server.record_heartbeat(build.heartbeat('i-1', 5000, 30 + number), number)
        for number in range(1, 7)
    ]
    assert changes[:4] == [CHANGE.REJECTED] * 4
    assert CHANGE.CORRECTED in changes
    assert CHANGE.RESTARTED not in changes
    assert server.name == 'i-1'


def test_server_that_goes_on_after_a_late_leave_call_is_used_again():
    """Guards against a living server that gets no flow until its next start.

    The leave call of an earlier incarnation of the same name was held up.
    """
    server = _living_server()
    server.record_leave('i-1')
    server.record_heartbeat(build.heartbeat('i-1', 5000, 4), 3)
    assert server.state(3) is relaying.State.GONE
    server.record_heartbeat(build.heartbeat('i-1', 5000, 5), 3.2)
    assert server.state(3.2) is relaying.State.GONE
    again = build.heartbeat('i-1', 5000, 6)
    assert server.record_heartbeat(again, 4) is CHANGE.CHANGED
    assert server.state(4) is relaying.State.READY
    assert not server.holds_nothing(4)


@pytest.mark.parametrize(
    ('sequence', 'uptime_seconds', 'is_known'),
    [
        (1, 0.5, True),
        (2, 3.9, False),
        (2, 4.1, True),
        (30, 5.0, False),
    ],
)
def test_successor_is_known_since_its_start_only_if_it_is_younger_than_the_agent(
    sequence, uptime_seconds, is_known
):
    """Guards against denied flows of a living server after its agent's restart.

    The restarted agent gets a held-up heartbeat of a dead incarnation first.
    """
    agent = build.agent(is_known_since_start=False)
    successor = build.heartbeat('i-2', 2000, sequence)
    agent.on_heartbeat(successor, uptime_seconds)
    assert agent.server.name == 'i-2'
    assert agent.status(uptime_seconds).knows_all_flows == is_known


@pytest.mark.parametrize('late_born', [500, 1000])
def test_flows_since_the_successors_first_heartbeat_outlast_a_late_one(late_born):
    """Guards against the reset of a new incarnation's flows when it is followed.

    A heartbeat of another dead incarnation, or a last one of the crashed one, arrives
    in between.
    """
    agent = build.agent()
    agent.on_heartbeat(build.heartbeat(sequence=2), 1)
    agent.on_heartbeat(build.heartbeat('i-2', 2000, 1), 1.2)
    agent.on_message(build.offer(build.first_packet()), build.ENTRY, 1.3)
    agent.on_server_packet(build.opening(), 1.3)
    agent.on_message(relaying.Deliver(build.request().raw), build.ENTRY, 1.4)
    agent.on_server_packet(build.answer(), 1.4)
    agent.on_heartbeat(build.heartbeat('i-1', late_born, 9), 1.5)
    emitted = []
    for sequence in (2, 3):
        successor = build.heartbeat('i-2', 2000, sequence)
        emitted += agent.on_heartbeat(successor, 0.2 + sequence)
    assert agent.server.name == 'i-2'
    assert not build.of_type(emitted, effects.Reset)
    assert agent.flow_count == 1


@pytest.mark.parametrize('dead_born', [1000, 3000])
@pytest.mark.parametrize('moments', [(0.2,), (0.2, 0.7), (0.6,)])
def test_late_heartbeats_after_a_restart_reset_no_flow_of_the_living_server(
    dead_born, moments
):
    """Guards against the reset of all flows at the end of a mistake.

    Before or right after the living server's first heartbeat, one or two of a dead
    incarnation arrive. Seen in the soak, seed 456.
    """
    agent = build.unheard_agent()
    agent.on_server_packet(build.answer(), 0.1)
    living = [(0.5 + beat, 2000, 30 + beat) for beat in range(8)]
    late = [(moment, dead_born, 8 + int(moment * 10)) for moment in moments]
    for moment, born, sequence in sorted(living + late):
        heartbeat = build.heartbeat(f'i-{born}', born, sequence)
        emitted = agent.on_heartbeat(heartbeat, moment)
        assert not build.of_type(emitted, effects.Reset)
    assert agent.server.name == 'i-2000'
    assert agent.flow_count == 1


def test_nothing_is_offered_while_a_draining_incarnation_may_have_replaced_it():
    """Guards against new flows at a server that crashed and drains at its next start."""
    server = _living_server()
    draining = build.heartbeat('i-2', 6000, 1, is_draining=True)
    assert server.record_heartbeat(draining, 2.5) is CHANGE.REJECTED
    assert server.state(2.5) is relaying.State.DRAINING
    server.record_heartbeat(build.heartbeat('i-1', 5000, 4), 3)
    assert server.state(3) is relaying.State.READY


def test_living_server_displaces_a_held_up_first_heartbeat_without_a_reset():
    """Guards against the reset of a living server's flows after its agent's restart.

    The first heartbeat that the restarted agent gets is one of a dead incarnation.
    """
    agent = build.agent(is_known_since_start=False)
    agent.on_server_packet(build.answer(), 0.1)
    emitted = agent.on_heartbeat(build.heartbeat('i-2', 2000, 9), 0.5)
    assert not build.of_type(emitted, effects.Reset)
    assert agent.flow_count == 1
    assert agent.server.name == 'i-2'
