"""Measures the time from an accepted change to its being in force everywhere.

``python -m bench.inforce`` starts Sylfaen's system as separate processes, makes
50 changes and watches every entry and agent. It also counts platform calls.
"""

import asyncio
import pathlib
import tempfile
import time

import msgspec
import rich.console
import rich.table

from egretjunction import logs
from egretjunction import metrics
from egretjunction import operators
from egretjunction import platform
from egretjunction.decisions import document
from egretjunction.standins import cluster
from egretjunction.standins import sizes

OUTPUT = pathlib.Path(__file__).with_name('inforce.json')
CHANGES = 50
IDLE_SECONDS = 30
POLL_SECONDS = 0.05


async def _wait_everywhere(system: cluster.Cluster, generation: int) -> None:
    """Wait until each entry and agent follows a generation."""
    left = [name for name in system.admin_by_name if name != 'fabric']
    while left:
        shown = await asyncio.to_thread(_generations, system, left)
        left = [name for name, found in shown.items() if found < generation]
        await asyncio.sleep(POLL_SECONDS)


def _generations(system: cluster.Cluster, names: list[str]) -> dict[str, int]:
    return {name: system.status(name)['generation'] for name in names}


async def _measure(system: cluster.Cluster) -> dict[str, float]:
    service = platform.Platform(system.platform_url)
    team = system.size.services[0].team
    author = operators.Author('bench', team, cluster.team_key_digest(team))
    current = document.parse(system.document_text(), 'bench')
    await system.accept_document()
    await _wait_everywhere(system, 1)

    before = system.platform_calls()
    await asyncio.sleep(IDLE_SECONDS)
    after = system.platform_calls()
    processes = len(system.process_by_name)
    idle = sum(after.values()) - sum(before.values())

    taken = metrics.LatencyHistogram()
    longest = 0.0
    for number in range(CHANGES):
        name = f'service {system.size.services[0].name}'
        sections = {
            **current.sections,
            name: f'{current.sections[name].rstrip()}\nqueue_limit = {number + 20}\n',
        }
        wanted = document.parse(document.join(sections), 'bench')
        base = (await operators.read(service)).document
        change = await operators.apply(service, base, wanted, author)
        assert change is not None
        start = time.monotonic()
        await _wait_everywhere(system, change.generation)
        seconds = time.monotonic() - start
        taken.record(seconds)
        longest = max(longest, seconds)
    changed = system.platform_calls()
    return {
        'changes': CHANGES,
        'p50_seconds': taken.quantile(0.5),
        'max_seconds': longest,
        'idle_calls_per_minute': idle / IDLE_SECONDS * 60,
        'idle_calls_per_minute_and_process': idle / IDLE_SECONDS * 60 / processes,
        'calls_per_change': (sum(changed.values()) - sum(after.values())) / CHANGES,
    }


def main() -> None:
    """Measure and print a table."""
    logs.configure('bench')
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(pathlib.Path(folder), sizes.SYLFAEN)
        try:
            system.start()
            found = asyncio.run(_measure(system))
        finally:
            system.stop()
    table = rich.table.Table('figure', 'measured')
    for name, value in found.items():
        table.add_row(name, f'{value:.4g}')
    rich.console.Console().print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b'\n')


if __name__ == '__main__':
    main()
