"""Measures how long an accepted change takes to be in force at every daemon.

``python -m bench.inforce`` starts the system of the user Sylfaen as separate
processes, applies 50 changes and polls every entry and agent for the generation
that it follows. It also counts calls to the platform.
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


async def _wait_until_in_force(system: cluster.Cluster, generation: int) -> None:
    """Wait until every entry and agent follows a generation or a later one."""
    pending = [name for name in system.admin_address_by_name if name != 'fabric']
    while pending:
        generation_by_name = await asyncio.to_thread(
            _generation_by_name, system, pending
        )
        pending = [
            name
            for name, followed_generation in generation_by_name.items()
            if followed_generation < generation
        ]
        await asyncio.sleep(POLL_SECONDS)


def _generation_by_name(system: cluster.Cluster, names: list[str]) -> dict[str, int]:
    return {name: system.status(name)['generation'] for name in names}


async def _measure(system: cluster.Cluster) -> dict[str, float]:
    platform_client = platform.Platform(system.platform_url)
    team = system.size.services[0].team
    author = operators.Author('bench', team, cluster.team_key_digest(team))
    original = document.parse(system.document_text(), 'bench')
    await system.apply_document()
    await _wait_until_in_force(system, 1)

    calls_before_idle = system.platform_calls()
    await asyncio.sleep(IDLE_SECONDS)
    calls_after_idle = system.platform_calls()
    process_count = len(system.process_by_name)
    idle_calls = sum(calls_after_idle.values()) - sum(calls_before_idle.values())

    latencies = metrics.LatencyHistogram()
    max_seconds = 0.0
    for index in range(CHANGES):
        section_name = f'service {system.size.services[0].name}'
        sections = {
            **original.sections,
            section_name: f'{original.sections[section_name].rstrip()}\n'
            f'queue_limit = {index + 20}\n',
        }
        new_document = document.parse(document.join(sections), 'bench')
        current_document = (await operators.read(platform_client)).document
        change = await operators.apply(
            platform_client, current_document, new_document, author
        )
        assert change is not None
        start_time = time.monotonic()
        await _wait_until_in_force(system, change.generation)
        seconds = time.monotonic() - start_time
        latencies.record(seconds)
        max_seconds = max(max_seconds, seconds)
    calls_after_changes = system.platform_calls()
    return {
        'changes': CHANGES,
        'p50_seconds': latencies.quantile(0.5),
        'max_seconds': max_seconds,
        'idle_calls_per_minute': idle_calls / IDLE_SECONDS * 60,
        'idle_calls_per_minute_and_process': idle_calls
        / IDLE_SECONDS
        * 60
        / process_count,
        'calls_per_change': (
            sum(calls_after_changes.values()) - sum(calls_after_idle.values())
        )
        / CHANGES,
    }


def main() -> None:
    """Measure, print a table and write the figures to a file."""
    logs.configure('bench')
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(pathlib.Path(folder), sizes.SYLFAEN)
        try:
            system.start()
            figures = asyncio.run(_measure(system))
        finally:
            system.stop()
    table = rich.table.Table('figure', 'measured')
    for name, value in figures.items():
        table.add_row(name, f'{value:.4g}')
    rich.console.Console().print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(figures)) + b'\n')


if __name__ == '__main__':
    main()
