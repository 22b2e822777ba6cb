"""Measures the processor time of choosing a member for one first packet.

``python -m bench.placing`` compares the two settings of ``placement`` for services of
16, 136 and 1,000 agents, with free members and with full ones.
"""

import random
import sys
import timeit

from egretjunction import addresses
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_pending
from egretjunction.decisions import relay_routes
from egretjunction.decisions.load import placing
from egretjunction.relay import packets
from egretjunction.wire import relaying

AGENT_COUNTS = (16, 136, 1000)
DOMAINS = ('a', 'b', 'c')
SERVICE = 's'
ROUTE = addresses.Address('198.18.0.1', 443)
ROUNDS = 300
OPENING = packets.Opening((0, 0.2, 0.6), 1.4)


def build_members(count: int, *, is_full: bool) -> relay_members.Members:
    """Return members of one service; of full ones, a single one has a free slot."""
    members = relay_members.Members('a')
    for number in range(count):
        address = addresses.Address(f'10.1.{number // 250}.{number % 250}', 8000)
        member = relay_members.Member(
            f'm-{number}', SERVICE, DOMAINS[number % len(DOMAINS)], address
        )
        members.add_or_update(member)
        work = 0 if not is_full or number == 0 else 1
        member.record_status(
            relaying.Status(
                relaying.State.READY,
                work,
                0,
                1,
                1,
                wait_ms=work * 20,
                request_ms=20,
            ),
            float(0),
        )
        members.index.refresh(member)
    return members


def measure(count: int, *, is_full: bool) -> tuple[float, float]:
    """Return microseconds per choice: least loaded, and earliest finish."""
    members = build_members(count, is_full=is_full)
    placer = placing.Placer(members, 'a', random.Random(1), OPENING)
    route = relay_routes.Route(
        'r', ROUTE, {SERVICE: 1}, target_seconds=0.3, timeout_seconds=1.5
    )
    packet = packets.Packet(b'0' * 12, b'', 0, 0, 0, is_first=True)
    offer = relay_pending.Offer(packet, SERVICE, route, OPENING, float(0))

    def choose_least_loaded() -> None:
        members.least_loaded(
            SERVICE, offer.key, 0.01, lambda member: not member.is_full(-1)
        )

    def choose_earliest_finish() -> None:
        placer.choose(offer, 0.01)

    before, after = (
        min(timeit.repeat(choose, number=ROUNDS, repeat=5)) / ROUNDS * 1_000_000
        for choose in (choose_least_loaded, choose_earliest_finish)
    )
    return before, after


def main() -> None:
    """Measure and print."""
    for is_full in (False, True):
        for count in AGENT_COUNTS:
            before, after = measure(count, is_full=is_full)
            sys.stdout.write(
                f'{count} agents, {"one free" if is_full else "all free"}: '
                f'least-loaded {before:.0f} us, earliest-finish {after:.0f} us\n'
            )


if __name__ == '__main__':
    main()
