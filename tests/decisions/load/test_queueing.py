"""Order of waiting first packets, shares of routes, and evidence for rejections."""

import random
import time

import pytest

from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_routes
from egretjunction.decisions.load import queueing
from egretjunction.decisions.load import rejecting
from egretjunction.decisions.load import shares
from egretjunction.decisions.load import waiting
from tests import relay_builders as build

DURATION = 0.05


def _offer(number, started_at, route='r', priority=0, target=0.6, timeout=1.5):
    first_packet = build.first_packet(build.flow_key(number))
    active = relay_routes.Route(
        route,
        build.ROUTE,
        {build.SERVICE: 1},
        priority=priority,
        target_seconds=target,
        timeout_seconds=timeout,
    )
    offer = relay_pending.Offer(
        first_packet, build.SERVICE, active, build.Codec.opening, started_at
    )
    offer.due_at = started_at + 1.37
    return offer


def _pop_all(queue, now, duration=DURATION):
    order = []
    while (head := queue.next_offer(duration, now)) is not None:
        order.append(head[0])
        queue.remove(head[1])
        queue.record_start(head[1], now)
    return order


def test_on_time_first_packets_go_before_late_ones():
    queue = queueing.ServiceQueue()
    for token, started_at in enumerate((0.0, 0.1, 0.75, 0.9)):
        queue.add(token, _offer(token, started_at))
    assert _pop_all(queue, 1.0) == [2, 3, 1, 0]


def test_duration_decides_who_can_still_meet_the_target():
    """Half of the target was assumed for the request, however long it takes."""
    offer = _offer(1, 0.0, target=0.3)
    assert queueing.can_meet_target(offer, 0.06, 0.05)
    assert not queueing.can_meet_target(offer, 0.06, 0.07)
    assert queueing.can_meet_target(offer, 0.01, 0.14)
    for duration in (0, 0.01):
        assert not queueing.can_meet_target(offer, duration, 0.16)


def test_more_valuable_route_goes_first_within_its_share():
    queue = queueing.ServiceQueue()
    queue.add(1, _offer(1, 0.90, 'stream', priority=1))
    queue.add(2, _offer(2, 0.95, 'call', priority=0))
    assert _pop_all(queue, 1.0) == [2, 1]


def test_no_route_waits_for_more_than_a_bounded_number_of_starts():
    """Late first packets of a route would never go while others are on time."""
    queue = queueing.ServiceQueue()
    queue.add(0, _offer(0, 0.0, 'low', priority=5))
    for token in range(1, 40):
        queue.add(token, _offer(token, 0.95, 'high', priority=0))
    assert _pop_all(queue, 1.0).index(0) == queueing.MAX_PASSED_OVER


def test_retransmission_moves_a_late_first_packet_to_the_front():
    queue = queueing.ServiceQueue()
    silent, seen = _offer(1, 0.1), _offer(2, 0.0)
    queue.add(1, silent)
    queue.add(2, seen)
    assert queue.next_offer(DURATION, 0.55)[1] is silent
    seen.last_seen_at = 0.6
    queue.touch(seen)
    assert _pop_all(queue, 0.7) == [2, 1]


def test_removed_first_packets_are_not_returned_and_not_kept():
    queue = queueing.ServiceQueue()
    for token in range(2000):
        offer = _offer(token, 0.0)
        queue.add(token, offer)
        assert queue.next_offer(DURATION, 0.9)[1] is offer
        queue.remove(offer)
    (lane,) = queue._lane_by_route.values()
    assert len(queue) == 0
    assert len(lane.late) < 100
    assert len(lane.oldest) < 100


def test_cost_of_an_event_hardly_grows_with_10000_waiting():
    """A scan of all waiting first packets took 3 ms for each free slot."""

    def seconds_per_event(count):
        queue = queueing.ServiceQueue()
        for token in range(count):
            queue.add(token, _offer(token, token / count, f'r-{token % 3}'))
        queue.next_offer(DURATION, 1.0)
        started = time.perf_counter()
        for token in range(200):
            _, offer = queue.next_offer(DURATION, 1.0)
            queue.remove(offer)
            queue.record_start(offer, 1.0)
            queue.add(token, _offer(token, 1.0))
        return time.perf_counter() - started

    few = min(seconds_per_event(100) for _ in range(3))
    many = min(seconds_per_event(10_000) for _ in range(3))
    assert many < 6 * few


def test_burst_of_one_route_leaves_the_share_of_another():
    """In order of arrival, the burst would take all slots that become free."""
    queue = queueing.ServiceQueue()
    for step in range(600):
        for route in ('quiet', 'burst'):
            queue.shares.record_arrival(route, step / 30)
    for token in range(300):
        queue.add(token, _offer(token, 20.0, 'burst'))
    order = []
    for step in range(20):
        now = 20.001 + step / 90
        if step % 3 == 0:
            queue.add(1000 + step, _offer(1000 + step, now, 'quiet'))
        token, offer = queue.next_offer(DURATION, now)
        queue.remove(offer)
        queue.record_start(offer, now)
        order.append(token)
    assert sum(token >= 1000 for token in order) == 7


def test_idle_share_is_borrowed_without_debt():
    """A route would be starved for what it took while nobody else needed it."""
    routes = shares.RouteShares()
    for step in range(200):
        routes.record_arrival('idle', step / 20)
        routes.record_arrival('busy', step / 20)
        for _ in range(3):
            routes.record_start('busy', step / 20)
    assert routes.is_within('idle', 10)
    assert not routes.is_within('busy', 10)
    assert routes.is_within('busy', 10.1)


def test_burst_of_some_seconds_hardly_changes_the_shares():
    routes = shares.RouteShares()
    for step in range(6400):
        for route in ('a', 'b', 'b')[: 3 if step >= 6000 else 2]:
            routes.record_arrival(route, step / 100)
    assert routes.rate('a', 64) == pytest.approx(100, rel=0.05)
    assert routes.rate('b', 64) < 1.2 * routes.rate('a', 64)


def _rate(starts, seconds=2.0):
    rate = rejecting.StartRate()
    rate.record_waiting(0)
    for number in range(starts):
        rate.record_start(number * seconds / starts)
    return rate


def test_rate_needs_a_long_observation_without_a_gap():
    """After a start, or after a quiet time, nothing is known of the rate."""
    assert rejecting.StartRate().most_starts(1, 50) is None
    assert _rate(5, 0.9).most_starts(1, 0.9) is None
    interrupted = _rate(50)
    interrupted.reset()
    interrupted.record_waiting(2.0)
    assert interrupted.most_starts(1, 2.5) is None
    assert _rate(50).most_starts(1, 2.0) is not None


def test_bound_covers_a_rate_that_rises_by_a_factor_of_4():
    assert _rate(50).most_starts(1, 2.0) >= 4 * 25


STEP_SECONDS = 0.005
SLOTS_PER_SECOND = 40


def _serve(overload, error, speedup, *, is_rejecting):
    """Return tokens of served and of rejected first packets in 6 s, the seed given.

    From 3 s on, slots become free faster by a factor.
    """
    arrivals, slots = random.Random(11), random.Random(12)
    queue = waiting.OfferQueue(
        lambda service, now: DURATION * error, 0.6, lambda token: True
    )
    served, rejected, offers = set(), set(), []
    first_waiting = 0
    for step in range(1200):
        now = step * STEP_SECONDS
        expected = SLOTS_PER_SECOND * overload * STEP_SECONDS
        while arrivals.random() < expected / (1 + expected):
            offers.append(_offer(len(offers), now, target=1.0))
            queue.record_arrival(offers[-1], now)
            queue.add(len(offers) - 1, offers[-1])
        while first_waiting < len(offers) and now >= offers[first_waiting].due_at:
            queue.remove(offers[first_waiting])
            first_waiting += 1
        freed = SLOTS_PER_SECOND * STEP_SECONDS * (speedup if now >= 3 else 1)
        while slots.random() < freed / (1 + freed):
            head = queue.next_of(build.SERVICE, now)
            if head is not None:
                queue.remove(head[1])
                queue.record_accepted(head[1], now)
                served.add(head[0])
        for rejection in queue.rejections(now) if is_rejecting else ():
            queue.remove(rejection.offer)
            rejected.add(rejection.token)
    return served, rejected


@pytest.mark.parametrize('error', [0.25, 1, 4])
@pytest.mark.parametrize('speedup', [0.25, 1, 4])
def test_nothing_is_rejected_that_would_be_served(error, speedup):
    """Estimates are off by 4, and the true rate changes by 4, either way.

    The same arrivals and slots are replayed without rejections: what is served there
    must not be rejected here.
    """
    rejected_by_overload = {}
    for overload in (0.8, 1.9, 4, 9):
        would_be_served, _ = _serve(overload, error, speedup, is_rejecting=False)
        served, rejected = _serve(overload, error, speedup, is_rejecting=True)
        assert not rejected & would_be_served, overload
        assert served == would_be_served
        rejected_by_overload[overload] = len(rejected)
    assert rejected_by_overload[9] > 100
    if speedup >= 1:
        assert rejected_by_overload[0.8] == 0


def test_deadline_rejects_only_what_a_4_times_faster_server_would_miss():
    assert not rejecting.misses_deadline(0.9, 0.4, 1.0)
    assert rejecting.misses_deadline(0.91, 0.4, 1.0)
    assert not rejecting.misses_deadline(0.91, 0, 1.0)
