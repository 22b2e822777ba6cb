"""Order in which waiting first packets are offered, as after a power loss."""

import types

from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_waiting
from tests import relay_builders as build


def _first_packet(started_at, priority=1, last_seen_at=None, target=0.2, timeout=1.0):
    return types.SimpleNamespace(
        started_at=started_at,
        last_seen_at=started_at if last_seen_at is None else last_seen_at,
        priority=priority,
        target_seconds=target,
        opening_seconds=timeout,
    )


def test_request_that_can_meet_its_target_goes_before_a_backlog():
    backlog = [_first_packet(number / 100) for number in range(50)]
    fresh = _first_packet(0.95)
    assert relay_waiting.select_next([*backlog, fresh], 1.0) is fresh


def test_more_urgent_request_goes_first_if_both_can_meet_their_target():
    feed = _first_packet(0.95, priority=2)
    booking = _first_packet(0.96, priority=1)
    assert relay_waiting.select_next([feed, booking], 1.0) is booking


def test_equally_urgent_requests_go_in_order_of_arrival():
    early = _first_packet(0.95)
    late = _first_packet(0.96)
    assert relay_waiting.select_next([late, early], 1.0) is early


def test_most_recently_seen_client_goes_first_in_a_backlog():
    silent = _first_packet(0.0)
    retransmitting = _first_packet(0.0, last_seen_at=0.6)
    assert relay_waiting.select_next([silent, retransmitting], 0.9) is retransmitting


def test_request_that_cannot_meet_its_deadline_is_expired():
    assert relay_waiting.is_expired(_first_packet(0.0), 0.99)
    assert not relay_waiting.is_expired(_first_packet(0.0), 0.9)


def test_none_is_selected_if_no_first_packet_waits():
    assert relay_waiting.select_next([], 0) is None


def _offer(number, service=build.SERVICE):
    route = relay_routes.Route('r', build.ROUTE, {service: 1}, target_seconds=0.2)
    route.timeout_seconds = 1.0
    first_packet = build.first_packet(build.flow_key(number))
    return relay_pending.Offer(
        first_packet, service, route, build.Codec.opening, number / 100
    )


def test_each_waiting_first_packet_is_returned_until_it_is_removed():
    waiting = relay_waiting.WaitingOffers()
    offers = [_offer(number) for number in range(3)]
    for token, offer in enumerate(offers):
        waiting.add(token, offer)
    for expected in enumerate(offers):
        assert waiting.next_of(build.SERVICE, 0.05) == expected
        waiting.remove(expected[1])
    assert waiting.next_of(build.SERVICE, 0.05) is None


def test_first_packets_of_another_service_are_not_returned():
    waiting = relay_waiting.WaitingOffers()
    waiting.add(1, _offer(1, 'surveys'))
    assert waiting.next_of(build.SERVICE, 0.05) is None
