"""Flows of an agent of which one direction has ended, or both."""

import pytest

from egretjunction.decisions import relay_agent
from egretjunction.decisions import relay_effects as effects
from egretjunction.wire import relaying
from tests import relay_builders as build

SLOW_ANSWER_SECONDS = 40.0
AFTER_CLOSE_SECONDS = relay_agent.CLOSED_FLOW_SECONDS + 0.1
CLIENT_END = build.packet(sequence=301, acknowledged=501, flags=('is_last',))
SERVER_END = build.packet(sequence=1401, acknowledged=302, flags=('is_last',))
CLIENT_RESET = build.packet(sequence=301, acknowledged=501, flags=('is_reset',))


def _agent_with_flow():
    """Return an agent whose server has an open flow with one request."""
    flows = build.agent()
    flows.on_message(build.offer(build.first_packet()), build.ENTRY, 1)
    flows.on_server_packet(build.opening(), 1)
    _deliver(flows, build.request(), 1)
    return flows


def _deliver(flows, packet, now):
    return flows.on_message(relaying.Deliver(packet.raw), build.ENTRY, now)


def _run(flows, start, end):
    """Run the timers of an agent whose server sends heartbeats."""
    for second in range(int(start) + 1, int(end) + 1):
        flows.on_heartbeat(build.heartbeat(sequence=second), second)
        flows.tick(second)


def _is_held(flows, now):
    (send,) = flows.on_message(build.find(), build.ENTRY, now)
    return isinstance(send.message, relaying.Held)


def test_flow_whose_client_has_ended_its_direction_is_kept_for_a_slow_answer():
    """Guards against a reset of a flow whose client sends FIN after its request.

    The record was dropped 3 s after the first FIN, and the agent denied the flow while
    its server was at work.
    """
    flows = _agent_with_flow()
    _deliver(flows, CLIENT_END, 1)
    _run(flows, 1, SLOW_ANSWER_SECONDS)
    assert _is_held(flows, SLOW_ANSWER_SECONDS)
    flows.on_server_packet(build.answer(), SLOW_ANSWER_SECONDS)
    emitted = _deliver(
        flows, build.packet(sequence=302, acknowledged=1401), SLOW_ANSWER_SECONDS
    )
    assert build.of_type(emitted, effects.ToServer)


def test_flow_whose_server_has_ended_its_direction_is_kept_for_a_slow_client():
    flows = _agent_with_flow()
    flows.on_server_packet(SERVER_END, 1)
    _run(flows, 1, SLOW_ANSWER_SECONDS)
    assert _is_held(flows, SLOW_ANSWER_SECONDS)


@pytest.mark.parametrize('is_client_first', [True, False])
def test_record_of_a_flow_that_both_ends_have_closed_is_removed(is_client_first):
    """Guards against records of closed flows that fill the agent."""
    flows = _agent_with_flow()
    if is_client_first:
        _deliver(flows, CLIENT_END, 1)
        flows.on_server_packet(SERVER_END, 1)
    else:
        flows.on_server_packet(SERVER_END, 1)
        _deliver(flows, CLIENT_END, 1)
    assert _is_held(flows, 1.1)
    _run(flows, 1, 1 + AFTER_CLOSE_SECONDS + 1)
    assert not flows.flow_count


def test_record_of_a_flow_that_was_reset_is_removed():
    flows = _agent_with_flow()
    _deliver(flows, CLIENT_RESET, 1)
    _run(flows, 1, 1 + AFTER_CLOSE_SECONDS + 1)
    assert not flows.flow_count


def test_record_of_a_half_closed_flow_that_nobody_uses_is_removed():
    flows = _agent_with_flow()
    _deliver(flows, CLIENT_END, 1)
    _run(flows, 1, 2 + build.MAX_FLOW_SECONDS)
    assert not flows.flow_count
