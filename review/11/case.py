"""A route's weights change until one service is left; later the entries are restarted.

The flows that are open at the other service stay there, and no entry may reset them.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / 'standins-3'))
import deployment
import traffic

FLOWS = 12
SETTLED_S = 5.0  # longer than config_apply_ms and stable_window_ms


def _routes(host, weights, deadline_ms):
    return [
        ('r-feed', (host, 443), weights, 'idempotent', deadline_ms, 200),
        ('r-photo', (host, 444), 'beta', 'upload', 3000, 500),
    ]


async def play(system, has_trouble):
    """Play the case; return the violations."""
    host = system.address(250)
    for number, service in enumerate(('alpha', 'alpha', 'beta', 'beta'), 1):
        await system.add_server(f'{service}-{number}', 'zone-a', service)
    before = {'alpha': 90, 'beta': 10}
    await system.configure(3, _routes(host, before, 1000))
    for name in ('front-1', 'front-2'):
        await system.add_entry(name, 'zone-a')
    await system.wait_for(
        lambda: all(entry.is_in_rotation for entry in system.entries), 15, 'readiness'
    )
    flows = traffic.LongFlows(system, (host, 443))
    if await flows.open(FLOWS) < FLOWS:
        raise deployment.CannotRunError('flows did not open')
    await asyncio.sleep(2)
    after = {'beta': 100} if has_trouble else before
    await system.configure(8, _routes(host, after, 1100))
    await asyncio.sleep(SETTLED_S)
    if flows.open_count < FLOWS:
        raise deployment.CannotRunError('a flow ended before the restarts')
    for entry in system.entries:
        await system.roll(entry)
        await asyncio.sleep(SETTLED_S)
    flows.stop()
    system.note('summary', answered=flows.answered, unanswered=flows.unanswered)
    return flows.violations


if __name__ == '__main__':
    deployment.main(__file__, play)
