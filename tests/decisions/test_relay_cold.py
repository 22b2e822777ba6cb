"""Bound on the first packets that a cold backend server gets in a second."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies

from egretjunction.decisions import relay_cold
from egretjunction.decisions import relay_effects as effects
from egretjunction.decisions import relay_routes
from egretjunction.wire import relaying
from tests import relay_builders as build

COLD_MS = 60_000
STARTED = 2.0  # the first window of an agent that starts at 0 has passed


def _limit(over=1.5, slack=5.0, figure=None, is_cold=True):
    limit = relay_cold.ColdLimit(lambda _now: is_cold, over, slack, 0)
    if figure is not None:
        limit.record_figure(figure, 1)
    return limit


def _agent(figure=2.0, slots=100, **limits):
    """Return an agent with a cold server whose first window has passed."""
    agent = build.agent(
        slots=slots, cold_ms=COLD_MS, **{'over': 1.5, 'slack': 5.0, **limits}
    )
    _ping(agent, figure)
    return agent


def _ping(agent, figure, version=1, now=0.0, entry=build.ENTRY):
    ping = relaying.Ping(version, cold_per_second=figure)
    return agent.on_message(ping, entry, now)


def _offer(agent, number, now, entry=build.ENTRY):
    """Offer a flow; return whether its first packet was sent, and the reason if not."""
    message = build.offer(build.first_packet(build.flow_key(number)), number, True)
    emitted = agent.on_message(message, entry, now)
    if build.of_type(emitted, effects.ToServer):
        agent.on_server_packet(build.opening(build.flow_key(number)), now)
    passed = build.sent_messages(emitted, relaying.Passed)
    return bool(build.of_type(emitted, effects.ToServer)), [
        message.reason for message, _ in passed
    ]


def _sent_at(agent, moments, entries=(build.ENTRY,)):
    """Offer a flow at each moment; return the times of packets sent to the server."""
    return [
        now
        for number, now in enumerate(moments)
        if _offer(agent, number, now, entries[number % len(entries)])[0]
    ]


def _most_in_a_second(times):
    return max(
        (sum(begin <= at <= begin + 1 for at in times) for begin in times), default=0
    )


@given(
    strategies.lists(strategies.floats(0, 0.3), max_size=120),
    strategies.floats(0, 6),
)
def test_no_sliding_second_exceeds_the_bound_whoever_sends(gaps, figure):
    """Guards against a fixed window, which lets twice the bound through at its edge."""
    moments = [STARTED]
    for gap in gaps:
        moments.append(moments[-1] + gap)
    times = _sent_at(
        _agent(figure or 0.1, slack=2.0), moments, (build.ENTRY, build.OTHER_ENTRY)
    )
    assert _most_in_a_second(times) <= (figure or 0.1) * 1.5 + 2


def test_full_bound_is_usable():
    times = _sent_at(_agent(2.0), [STARTED + number / 100 for number in range(50)])
    assert len(times) == 8


def test_retransmissions_count():
    """Guards against first packets that reach the server past the count of offers."""
    agent = _agent(0.1, over=1.0, slack=2.9)
    sent = 0
    for number in range(10):
        now = STARTED + number * 0.01
        sent += _offer(agent, 1, now)[0]
        message = relaying.Deliver(build.first_packet(build.flow_key(1)).raw)
        emitted = agent.on_message(message, build.ENTRY, now)
        sent += len(build.of_type(emitted, effects.ToServer))
    assert sent == 3


def test_declined_offer_is_busy_and_reports_no_openings():
    agent = _agent(0.1, over=1.0, slack=0.9)
    assert _offer(agent, 1, STARTED) == (True, [])
    assert _offer(agent, 2, STARTED) == (False, [relaying.Reason.BUSY])
    assert agent.status(STARTED).openings_left == 0


def test_restarted_agent_grants_no_second_allowance():
    """Guards against twice the bound within a second of a restart."""
    before = _agent(2.0)
    sent = _sent_at(before, [9.9] * 20)
    after = build.agent(slots=100, cold_ms=COLD_MS, over=1.5, slack=5.0, now=10.0)
    _ping(after, 2.0, now=10.0)
    sent += _sent_at(after, [10 + number / 20 for number in range(40)])
    assert _most_in_a_second(sent) <= 8
    assert sent[-1] > 11


def test_slack_applies_alone_until_the_figure_is_known():
    agent = _agent(relaying.NO_LIMIT)
    assert len(_sent_at(agent, [STARTED] * 20)) == 5
    _ping(agent, 2.0, now=STARTED)
    assert agent.status(STARTED).openings_left == 3


@pytest.mark.parametrize(
    ('over', 'slack', 'figure', 'bound'),
    [
        (1.5, 5, 0.5, 5),
        (1.5, 0, 0.5, 0),
        (1.5, 0.5, 0.4, 1),
        (1.1, 0, 10, 11),
        (0.1, 0, 30, 3),
        (1.5, 5, 0, None),
        (None, 5, 2, None),
        (1.5, None, 2, None),
        (1.5, 5, None, 5),
    ],
)
def test_bound_of_fractional_and_zero_figures(over, slack, figure, bound):
    assert _limit(over, slack, figure).bound == bound


@pytest.mark.parametrize('figure', [-3.0, math.nan, math.inf, -math.inf])
def test_figure_that_is_not_allowed_changes_nothing(figure):
    limit = _limit(figure=2)
    assert not limit.record_figure(figure, 2)
    assert limit.bound == 8


def test_figure_of_an_older_version_changes_nothing():
    """Guards against a figure that two entries change back and forth."""
    limit = _limit()
    assert limit.record_figure(2, 7)
    assert not limit.record_figure(9, 6)
    assert limit.per_second == 2


def test_warm_server_is_not_limited_but_its_first_packets_count():
    """Guards against a server that was restarted since its last heartbeat."""
    is_cold = [False]
    limit = relay_cold.ColdLimit(lambda _now: is_cold[0], 1.0, 2.0, 0)
    limit.record_figure(1, 1)
    assert all(limit.take(STARTED) for _ in range(10))
    assert limit.openings_left(STARTED) == relaying.NO_LIMIT
    is_cold[0] = True
    assert not limit.take(STARTED + 0.5)


def test_agent_without_the_settings_has_no_limit():
    agent = build.agent(slots=100, cold_ms=COLD_MS)
    _ping(agent, 0.1)
    assert len(_sent_at(agent, [0.1] * 30)) == 30
    assert agent.status(0.2).openings_left == relaying.NO_LIMIT


def test_entries_are_told_when_openings_are_allowed_again():
    """Guards against first packets that wait although a cold server could take them."""
    agent = _agent(0.1, over=1.0, slack=0.9)
    _ping(agent, 0.1, entry=build.OTHER_ENTRY)
    _offer(agent, 1, STARTED)
    _offer(agent, 2, STARTED + 0.1)
    assert not build.sent_messages(agent.tick(STARTED + 0.5), relaying.Pong)
    pongs = build.sent_messages(agent.tick(STARTED + 1.1), relaying.Pong)
    assert {address for _, address in pongs} == {build.ENTRY, build.OTHER_ENTRY}
    assert all(pong.status.openings_left == 1 for pong, _ in pongs)
    assert not build.sent_messages(agent.tick(STARTED + 1.2), relaying.Pong)


def test_entries_are_told_when_the_server_is_no_longer_cold():
    agent = _agent(0.1, over=1.0, slack=0.0)
    warm_at = COLD_MS / 1000 + 0.1
    _ping(agent, 0.1, now=warm_at - 0.2)
    pongs = build.sent_messages(agent.tick(warm_at), relaying.Pong)
    assert [pong.status.openings_left for pong, _ in pongs] == [relaying.NO_LIMIT]


def _entry_with_openings(openings_left):
    entry = build.entry('m-1')
    pong = relaying.Pong(
        build.SERVICE_TAG,
        build.status(slots=50, cold_ms=900, openings_left=openings_left),
    )
    entry.on_message(pong, build.member_address('m-1'), 1)
    return entry


def _offers(emitted):
    return len(build.sent_messages(emitted, relaying.Offer))


def _first_packets(entry, count, now):
    return sum(
        _offers(entry.on_client_packet(build.first_packet(build.flow_key(number)), now))
        for number in range(count)
    )


def test_entry_offers_no_more_than_the_openings():
    assert _first_packets(_entry_with_openings(2), 5, 1.1) == 2


def test_entry_offers_again_when_openings_are_allowed():
    entry = _entry_with_openings(0)
    assert not _first_packets(entry, 3, 1.1)
    status = build.status(slots=50, cold_ms=800, openings_left=2)
    pong = relaying.Pong(build.SERVICE_TAG, status)
    assert _offers(entry.on_message(pong, build.member_address('m-1'), 1.2)) == 2


def test_entry_does_not_wait_for_a_lost_notice():
    """Guards against a cold server left idle until the next ping, 8 s later."""
    entry = _entry_with_openings(0)
    assert _first_packets(entry, 1, 2.1) == 1


@pytest.mark.parametrize(
    ('figures', 'expected'),
    [({build.SERVICE: 2.5}, 2.5), ({'other': 3.0}, 0), ({}, 0)],
)
def test_entry_forwards_the_figure_of_the_service(figures, expected):
    route = relay_routes.Route('r', build.ROUTE, {build.SERVICE: 1})
    table = relay_routes.RouteTable(1, [route], (), figures)
    entry = build.entry('m-1', routes=table)
    ((ping, _),) = build.sent_messages(entry.tick(1), relaying.Ping)
    assert ping.cold_per_second == expected


def test_figure_that_is_not_allowed_leaves_the_previous_one():
    routes = relay_routes.Routes()
    assert routes.cold_per_second('s') == relaying.NO_LIMIT
    routes.adopt(relay_routes.RouteTable(1, [], (), {'s': None}))
    assert routes.cold_per_second('s') == relaying.NO_LIMIT
    routes.adopt(relay_routes.RouteTable(2, [], (), {'s': 2.5}))
    routes.adopt(relay_routes.RouteTable(3, [], (), {'s': None}))
    assert routes.cold_per_second('s') == 2.5
