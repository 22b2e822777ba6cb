"""Routing at an entry, by packet, membership view and configuration."""

import collections

import pytest

from egretjunction import member_records
from egretjunction.decisions import domains
from egretjunction.decisions import membership
from egretjunction.decisions import ownership
from egretjunction.decisions import routing
from tests import builders

LONG_HEADER = b'\xc0\x00\x00\x00\x01\x08'
DRAINING = member_records.State.DRAINING


def _router(members=(), active_configuration=None):
    view = membership.View()
    for member in members:
        view.merge(member, 0)
    configuration = active_configuration or builders.active_configuration()
    return routing.Router(
        builders.KEY, view, configuration, domains.Domains('domain-1')
    )


def _servers(count, **options):
    return [
        builders.member(f'bookings-{number}', number, **options)
        for number in range(count)
    ]


def _first(number):
    return LONG_HEADER + number.to_bytes(8) + bytes(1200)


def _route(router, payload, now=100.0):
    return router.route(builders.SERVICE_ADDRESS, payload, now)


def test_a_packet_of_a_flow_is_forwarded_to_its_owner_with_an_empty_view():
    owner = ownership.Owner(builders.address(77), 1)
    connection_id = ownership.mint(builders.KEY, 'bookings', owner, b'abc')
    for payload in (
        b'\x40' + connection_id + bytes(30),
        LONG_HEADER[:5] + b'\x14' + connection_id + bytes(30),
    ):
        assert _route(_router(), payload).address == owner.address


def test_entries_with_the_same_view_choose_the_same_candidates():
    one_router, other_router = _router(_servers(7)), _router(_servers(7)[::-1])
    for number in range(50):
        chosen = _route(one_router, _first(number)).candidates
        assert chosen == _route(other_router, _first(number)).candidates
        assert len(set(chosen)) == 6


def test_draining_and_unconfigured_servers_get_no_first_packets():
    members = [
        *_servers(2),
        builders.member('bookings-8', 8, state=DRAINING),
        builders.member('intruder-1', 9),
    ]
    router = _router(members)
    for number in range(50):
        for candidate in _route(router, _first(number)).candidates:
            assert candidate.address.port < 20_002


def test_a_retransmitted_first_packet_goes_to_the_next_candidate():
    router = _router(_servers(4))
    first = _route(router, _first(1), 0)
    assert _route(router, _first(1), 0.05).address == first.address
    retransmitted = _route(router, _first(1), 0.3)
    assert retransmitted.address == first.candidates[1].address
    assert collections.Counter(retransmitted.candidates) == collections.Counter(
        first.candidates
    )


def test_the_number_of_remembered_first_packets_is_bounded():
    router = _router(_servers(2))
    for number in range(routing.MAX_REMEMBERED_FIRST_PACKETS + 100):
        _route(router, _first(number))
    assert (
        len(router._first_packet_by_connection_id)
        <= routing.MAX_REMEMBERED_FIRST_PACKETS
    )


@pytest.mark.parametrize(
    ('payload', 'reason'),
    [
        (b'', 'not_quic'),
        (b'\x40' + bytes(40), 'unknown_owner'),
        (_first(1)[:100], 'first_packet_too_short'),
        (_first(1), 'no_backend_server'),
    ],
)
def test_a_packet_that_cannot_be_forwarded_is_dropped_with_a_reason(payload, reason):
    assert _route(_router(), payload).reason == reason


def test_a_packet_to_an_address_without_a_service_is_dropped():
    decision = _router().route(builders.address(1), _first(1), 0)
    assert decision.reason == 'unknown_service'


def test_packets_to_a_service_are_dropped_once_a_change_removes_it():
    configuration = builders.active_configuration()
    router = _router(_servers(2), configuration)
    assert _route(router, _first(1)).address
    configuration.apply_changes([builders.change(2, {'service bookings': None})])
    assert _route(router, _first(1)).reason == 'unknown_service'


def test_a_server_that_has_just_joined_gets_a_small_share():
    router = _router(_servers(3))
    _route(router, _first(0), 0)
    router._view.merge(builders.member('bookings-9', 9), 0)
    _route(router, _first(0), 1000)
    ports = [
        _route(router, _first(number), 1001).address.port for number in range(1000)
    ]
    assert 0 < ports.count(20_009) < 100


def test_flows_are_placed_even_when_all_servers_are_unfit():
    router = _router(_servers(4, fitness=0))
    assert _route(router, _first(1)).candidates


def test_members_that_left_the_view_are_forgotten():
    """Guards against a record of every agent that ever served."""
    router = _router(_servers(2))
    for number in range(100):
        replaced = builders.member(f'old-{number}', number + 10)
        router._serving_since(replaced, number)
    assert len(router._serving_since_by_name) <= 2 * 2 + 1
