"""Order in which waiting first packets are offered, as after a power loss."""

import types

from egretjunction.decisions import relay_waiting


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
