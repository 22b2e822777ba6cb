"""Estimates in the status of an agent, and that they decide nothing at the agent."""

import pytest

from egretjunction.decisions import relay_effects as effects
from egretjunction.wire import relaying
from tests import relay_builders as build


def _take(agent, number, now):
    """Let the agent's server accept a flow and receive its first request."""
    key = build.flow_key(number)
    agent.on_message(build.offer(build.first_packet(key)), build.ENTRY, now)
    agent.on_server_packet(build.opening(key), now)
    agent.on_message(relaying.Deliver(build.request(key).raw), build.ENTRY, now)
    return key


def _tick(agent, start, end):
    emitted = []
    now = start
    while now < end:
        emitted += agent.tick(now)
        now += 0.025
    return emitted


def _serve(agent, count, seconds, now, first=1):
    """Serve requests one after the other; return the time and all effects."""
    emitted = []
    for number in range(first, first + count):
        key = _take(agent, number, now)
        emitted += _tick(agent, now, now + seconds)
        now += seconds
        agent.on_server_packet(build.answer(key), now)
        agent.on_server_packet(build.packet(key, 1401, 301, flags=('is_last',)), now)
    return now, emitted + agent.tick(now)


def test_status_has_no_estimate_before_the_first_answer():
    agent = build.agent(slots=1)
    assert agent.status(0).wait_ms == 0
    _take(agent, 1, 0)
    status = agent.status(0.01)
    assert (status.wait_ms, status.request_ms) == (relaying.NO_ESTIMATE, 0)


def test_status_has_estimates_once_requests_were_answered():
    agent = build.agent(slots=1)
    now, _ = _serve(agent, 10, 0.06, 0)
    status = agent.status(now)
    assert (status.wait_ms, status.request_ms) == (0, pytest.approx(60, abs=1))
    _take(agent, 20, now)
    assert agent.status(now).wait_ms == pytest.approx(60, rel=0.1)


def test_flow_without_a_request_yet_occupies_its_slot_in_the_estimate():
    agent = build.agent(slots=1)
    now, _ = _serve(agent, 10, 0.06, 0)
    agent.on_message(
        build.offer(build.first_packet(build.flow_key(50))), build.ENTRY, now
    )
    assert agent.status(now).wait_ms == pytest.approx(60, rel=0.1)


def test_restarted_agent_learns_from_its_first_requests():
    """Guards against an agent without estimates for long after its restart."""
    agent = build.agent(is_known_since_start=False, slots=1)
    agent.on_message(relaying.Ask(5, build.request().raw), build.ENTRY, 0)
    agent.on_server_packet(build.answer(), 0.02)
    now, _ = _serve(agent, 3, 0.06, 0.02, first=10)
    assert agent.status(now).request_ms == pytest.approx(55, abs=10)


def test_server_that_resets_open_flows_is_reported():
    agent = build.agent()
    now, _ = _serve(agent, 10, 0.06, 0)
    for number in range(30, 36):
        key = _take(agent, number, now)
        agent.on_server_packet(build.packet(key, 501, 301, flags=('is_reset',)), now)
    assert 20 < agent.status(now).failure_percent < 60


def test_end_of_a_flow_is_no_failure():
    agent = build.agent()
    now, _ = _serve(agent, 30, 0.06, 0)
    assert agent.status(now).failure_percent == 0


def test_flows_of_a_restarted_server_are_no_failures_of_the_new_one():
    agent = build.agent(slots=4)
    now, _ = _serve(agent, 10, 0.06, 0)
    for number in range(30, 34):
        _take(agent, number, now)
    agent.on_heartbeat(build.heartbeat('i-2', born=2000, slots=4), now)
    assert agent.status(now).failure_percent == 0
    assert agent.status(now).request_ms == pytest.approx(60, abs=2)


@pytest.mark.parametrize('request_seconds', [0.015, 0.06, 0.24, 5.0])
def test_offers_are_accepted_and_declined_alike_whatever_the_estimates(
    request_seconds,
):
    """Guards against a wrong estimate that rejects a request which could be served."""
    agent = build.agent(slots=2)
    now, _ = _serve(agent, 5, request_seconds, 0)
    outcomes = []
    for number in range(40, 45):
        offer = build.offer(build.first_packet(build.flow_key(number)), is_final=True)
        emitted = agent.on_message(offer, build.ENTRY, now)
        outcomes.append(bool(build.of_type(emitted, effects.ToServer)))
    assert outcomes == [True, True, True, False, False]


def test_estimates_are_logged_rarely():
    """Guards against a log line for each change of the expected wait."""
    agent = build.agent(slots=1)
    now, emitted = _serve(agent, 400, 0.05, 0)
    events = [
        effect.event
        for effect in build.of_type(emitted, effects.Log)
        if effect.event == 'load_estimated'
    ]
    assert len(events) == 1
    _, emitted = _serve(agent, 10, 0.5, now, first=500)
    (event,) = [
        effect
        for effect in build.of_type(emitted, effects.Log)
        if effect.event == 'load_estimated'
    ]
    assert event.fields['request_ms'] > 75
