"""Measures the processor time of one free slot while first packets wait.

``python -m bench.waiting`` compares the orders of the two settings of ``placement``
with 100, 1,000 and 10,000 waiting first packets: the next one is taken, and a new one
begins to wait.
"""

import sys
import time

from egretjunction import addresses
from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_routes
from egretjunction.decisions import relay_waiting
from egretjunction.decisions.load import queueing
from egretjunction.relay import packets

WAITING_COUNTS = (100, 1_000, 10_000)
EVENTS = 200
SERVICE = 's'
OPENING = packets.Opening((0, 0.2, 0.6), 1.4)
MICROSECONDS_PER_SECOND = 1_000_000


def build_offer(number: int, started_at: float) -> relay_pending.Offer:
    """Return a first packet of one of three routes."""
    route = relay_routes.Route(
        f'r-{number % 3}',
        addresses.Address('198.18.0.1', 443),
        {SERVICE: 1},
        priority=number % 3,
        target_seconds=0.3,
        timeout_seconds=1.5,
    )
    packet = packets.Packet(number.to_bytes(12), b'', 0, 0, 0, is_first=True)
    return relay_pending.Offer(packet, SERVICE, route, OPENING, started_at)


def measure(count: int) -> tuple[float, float]:
    """Return microseconds per event: scan, and heaps by route."""
    scanned = relay_waiting.WaitingOffers()
    queue = queueing.ServiceQueue()
    for number in range(count):
        scanned.add(number, build_offer(number, number / count))
        queue.add(number, build_offer(number, number / count))
    # Those that became late are moved once; here all of them do so at the same moment.
    queue.next_offer(0.02, 1.0)
    started_at = time.perf_counter()
    for number in range(EVENTS):
        waiting = scanned.next_of(SERVICE, 1.0)
        if waiting is not None:
            scanned.remove(waiting[1])
        scanned.add(number, build_offer(number, 1.0))
    scanned_at = time.perf_counter()
    for number in range(EVENTS):
        following = queue.next_offer(0.02, 1.0)
        if following is not None:
            queue.remove(following[1])
            queue.record_start(following[1], 1.0)
        queue.add(number, build_offer(number, 1.0))
    ended_at = time.perf_counter()
    scale = MICROSECONDS_PER_SECOND / EVENTS
    return (scanned_at - started_at) * scale, (ended_at - scanned_at) * scale


def main() -> None:
    """Measure and print."""
    for count in WAITING_COUNTS:
        before, after = measure(count)
        sys.stdout.write(
            f'{count} waiting: least-loaded {before:.0f} us, '
            f'earliest-finish {after:.0f} us\n'
        )


if __name__ == '__main__':
    main()
