"""The order in which first packets are placed after a power loss."""

import types

from egretjunction.decisions import relay_waiting


def _waiting(began_at, priority=1, seen_at=None, target=0.2, timeout=1.0):
    return types.SimpleNamespace(
        began_at=began_at,
        seen_at=began_at if seen_at is None else seen_at,
        priority=priority,
        target_seconds=target,
        timeout_seconds=timeout,
    )


def test_fresh_requests_go_before_a_backlog():
    backlog = [_waiting(number / 100) for number in range(50)]
    fresh = _waiting(0.95)
    assert relay_waiting.next_of([*backlog, fresh], 1.0) is fresh


def test_urgent_requests_go_first_among_fresh_ones():
    feed = _waiting(0.95, priority=2)
    booking = _waiting(0.96, priority=1)
    assert relay_waiting.next_of([feed, booking], 1.0) is booking


def test_equally_urgent_fresh_requests_go_in_the_order_of_arrival():
    early = _waiting(0.95)
    late = _waiting(0.96)
    assert relay_waiting.next_of([late, early], 1.0) is early


def test_client_heard_of_last_goes_first_in_a_backlog():
    silent = _waiting(0.0)
    repeating = _waiting(0.0, seen_at=0.6)
    assert relay_waiting.next_of([silent, repeating], 0.9) is repeating


def test_request_past_its_deadline_is_hopeless():
    assert relay_waiting.is_hopeless(_waiting(0.0), 0.99)
    assert not relay_waiting.is_hopeless(_waiting(0.0), 0.9)


def test_nothing_waits():
    assert relay_waiting.next_of([], 0) is None
