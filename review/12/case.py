"""Another writer's heartbeats offer HTTP/2 in their head, as some HTTP clients do.

The agents may accept or reject them, but their processes must go on.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'standins-3'))
import deployment
import ends
import traffic

FLOWS = 8
ROUNDS = 4
ROUND_S = 4.0
MOST_ENDS = 2  # a process that ends by itself three times breaks the rule
MOST_MACHINES = 1  # two machines at least
OFFER = [
    'Connection: Upgrade, HTTP2-Settings',
    'Upgrade: h2c',
    'HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA',
]
NO_OFFER = ['Connection: keep-alive']


async def _write(system, server, headers):
    """Send a heartbeat that lacks fields, as another writer may."""
    body = {'service': server.service, 'address': 'unknown', 'state': 'ready'}
    status = await ends.call(
        server.place['control'], 'PUT', '/instances/other', body, headers
    )
    system.note('other writer', machine=server.name, status=status)


async def play(system, has_trouble):
    """Play the case; return the violations."""
    host = system.address(250)
    for number in range(1, 5):
        await system.add_server(f'alpha-{number}', 'zone-a', 'alpha')
    await system.configure(
        3, [('r-feed', (host, 443), 'alpha', 'idempotent', 1000, 200)]
    )
    for name in ('front-1', 'front-2'):
        await system.add_entry(name, 'zone-a')
    await system.wait_for(
        lambda: all(entry.is_in_rotation for entry in system.entries), 15, 'readiness'
    )
    flows = traffic.LongFlows(system, (host, 443))
    if await flows.open(FLOWS) < FLOWS:
        raise deployment.CannotRunError('flows did not open')
    for _ in range(ROUNDS):
        await asyncio.sleep(ROUND_S)
        headers = OFFER if has_trouble else NO_OFFER
        for server in system.servers:
            await _write(system, server, headers)
    await asyncio.sleep(ROUND_S)
    flows.stop()
    own_ends = {
        agent.name: sum(is_own for _, _, is_own in agent.ends) for agent in system.agents
    }
    system.note(
        'summary',
        ended_by_themselves=own_ends,
        answered=flows.answered,
        unanswered=flows.unanswered,
        resets=len(flows.violations),
    )
    broken = [name for name, count in own_ends.items() if count > MOST_ENDS]
    if len(broken) <= MOST_MACHINES:
        return []
    return [f'{name} ended by itself {own_ends[name]} times' for name in broken]


if __name__ == '__main__':
    deployment.main(__file__, play)
