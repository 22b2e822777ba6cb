"""Where an entry sends packets: a function of packet, view and configuration."""

import collections

import pytest

from egretjunction import member_records
from egretjunction.decisions import domains
from egretjunction.decisions import membership
from egretjunction.decisions import ownership
from egretjunction.decisions import routing
from tests import builders

LONG = b'\xc0\x00\x00\x00\x01\x08'
DRAINING = member_records.State.DRAINING


def _router(members=(), active_configuration=None):
    view = membership.View()
    for member in members:
        view.merge(member, 0)
    followed = active_configuration or builders.active_configuration()
    return routing.Router(builders.KEY, view, followed, domains.Domains('domain-1'))


def _servers(count, **options):
    return [builders.member(f'bookings-{n}', n, **options) for n in range(count)]


def _first(number):
    return LONG + number.to_bytes(8) + bytes(1200)


def _route(router, payload, now=100.0):
    return router.route(builders.SERVICE_ADDRESS, payload, now)


def test_packet_of_a_flow_reaches_its_owner_with_an_empty_view():
    owner = ownership.Owner(builders.address(77), 1)
    minted = ownership.mint(builders.KEY, 'bookings', owner, b'abc')
    for payload in (
        b'\x40' + minted + bytes(30),
        LONG[:5] + b'\x14' + minted + bytes(30),
    ):
        assert _route(_router(), payload).address == owner.address


def test_entries_with_the_same_view_choose_the_same_candidates():
    left, right = _router(_servers(7)), _router(_servers(7)[::-1])
    for number in range(50):
        found = _route(left, _first(number)).candidates
        assert found == _route(right, _first(number)).candidates
        assert len(set(found)) == 6


def test_draining_and_foreign_servers_get_no_first_packets():
    members = [
        *_servers(2),
        builders.member('bookings-8', 8, state=DRAINING),
        builders.member('intruder-1', 9),
    ]
    router = _router(members)
    for number in range(50):
        for candidate in _route(router, _first(number)).candidates:
            assert candidate.address.port < 20_002


def test_repeated_first_packet_goes_to_the_next_candidate():
    router = _router(_servers(4))
    first = _route(router, _first(1), 0)
    assert _route(router, _first(1), 0.05).address == first.address
    later = _route(router, _first(1), 0.3)
    assert later.address == first.candidates[1].address
    assert collections.Counter(later.candidates) == collections.Counter(
        first.candidates
    )


def test_memory_of_first_packets_is_bounded():
    router = _router(_servers(2))
    for number in range(routing.MEMORY_SIZE + 100):
        _route(router, _first(number))
    assert len(router._seen_by_connection_id) <= routing.MEMORY_SIZE


@pytest.mark.parametrize(
    ('payload', 'reason'),
    [
        (b'', 'not_quic'),
        (b'\x40' + bytes(40), 'unknown_owner'),
        (_first(1)[:100], 'first_packet_too_short'),
        (_first(1), 'no_backend_server'),
    ],
)
def test_what_cannot_be_sent_on_is_dropped_with_a_reason(payload, reason):
    assert _route(_router(), payload).reason == reason


def test_address_without_a_service_is_dropped():
    found = _router().route(builders.address(1), _first(1), 0)
    assert found.reason == 'unknown_service'


def test_service_that_a_change_removes_is_dropped_from_then_on():
    followed = builders.active_configuration()
    router = _router(_servers(2), followed)
    assert _route(router, _first(1)).address
    followed.apply_changes([builders.change(2, {'service bookings': None})])
    assert _route(router, _first(1)).reason == 'unknown_service'


def test_server_that_has_just_joined_gets_a_small_share():
    router = _router(_servers(3))
    _route(router, _first(0), 0)
    router._view.merge(builders.member('bookings-9', 9), 0)
    _route(router, _first(0), 1000)
    ports = [_route(router, _first(n), 1001).address.port for n in range(1000)]
    assert 0 < ports.count(20_009) < 100


def test_when_all_are_unfit_flows_are_placed_all_the_same():
    router = _router(_servers(4, fitness=0))
    assert _route(router, _first(1)).candidates
