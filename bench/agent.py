"""Measures what handshakes, requests, uploads and open flows cost an agent.

``python -m bench.agent`` starts a small system on loopback and reads processor
time and memory of the agent, and of an idle entry, from the kernel.
"""

import asyncio
import os
import pathlib
import tempfile
import time

import msgspec
import rich.console
import rich.table

from egretjunction import caller
from egretjunction import logs
from egretjunction.standins import cluster
from egretjunction.standins import sizes

OUTPUT = pathlib.Path(__file__).with_name('agent.json')
IDLE_SECONDS = 20
HANDSHAKES = 100
REQUESTS = 300
OPEN_FLOWS = 200
UPLOAD_BYTES = 50_000_000
DEADLINE_SECONDS = 300
SIZE = sizes.Size(
    'bench',
    1,
    1,
    (sizes.ServiceSize('bookings', 'booking', 1, 'large_paths = /photos*\n'),),
    0,
)
TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used since its start."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    numbers = fields.rpartition(')')[2].split()
    return (int(numbers[11]) + int(numbers[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='ascii')
    return int(fields.split()[1]) * PAGE_BYTES


async def _wait_until_serving(system: cluster.Cluster) -> None:
    await system.apply_document()
    await asyncio.to_thread(system.wait_for_state, 'agent-bookings-1', 'serving')
    await asyncio.sleep(1)


async def _request(
    client: caller.Caller, path: str, body: bytes = b'x'
) -> caller.Outcome:
    outcome = await client.request(
        'POST',
        path,
        body=body,
        deadline_seconds=DEADLINE_SECONDS,
    )
    assert outcome.status == 200, outcome.reason
    return outcome


async def _measure(system: cluster.Cluster) -> dict[str, float]:
    await _wait_until_serving(system)
    pid = system.process_by_name['agent-bookings-1'].pid
    entry_pid = system.process_by_name['entry-1'].pid
    figures = {
        'agent_idle_bytes': float(resident_bytes(pid)),
        'entry_idle_bytes': float(resident_bytes(entry_pid)),
    }
    seconds_before_idle = processor_seconds(pid), processor_seconds(entry_pid)
    await asyncio.sleep(IDLE_SECONDS)
    figures['agent_idle_core'] = (
        processor_seconds(pid) - seconds_before_idle[0]
    ) / IDLE_SECONDS
    figures['entry_idle_core'] = (
        processor_seconds(entry_pid) - seconds_before_idle[1]
    ) / IDLE_SECONDS

    seconds_before = processor_seconds(pid)
    for _ in range(HANDSHAKES):
        client = system.caller('bookings')
        await _request(client, '/bookings?work_ms=0')
        await client.close()
    seconds_per_flow = (processor_seconds(pid) - seconds_before) / HANDSHAKES

    client = system.caller('bookings')
    await _request(client, '/bookings?work_ms=0')
    seconds_before = processor_seconds(pid)
    for _ in range(REQUESTS):
        await _request(client, '/bookings?work_ms=0')
    seconds_per_request = (processor_seconds(pid) - seconds_before) / REQUESTS
    figures['request_seconds'] = seconds_per_request
    figures['handshake_seconds'] = seconds_per_flow - seconds_per_request

    memory_before = resident_bytes(pid)
    clients = [system.caller('bookings') for _ in range(OPEN_FLOWS)]
    for open_client in clients:
        await _request(open_client, '/bookings?work_ms=0')
    figures['flow_bytes'] = (resident_bytes(pid) - memory_before) / OPEN_FLOWS
    for open_client in clients:
        await open_client.close()

    memory_before = resident_bytes(pid)
    peak_memory = memory_before
    start_time = time.monotonic()
    seconds_before = processor_seconds(pid)
    upload = asyncio.create_task(
        _request(client, '/photos?work_ms=0', bytes(UPLOAD_BYTES)),
    )
    while not upload.done():
        await asyncio.sleep(0.1)
        peak_memory = max(peak_memory, resident_bytes(pid))
    await upload
    elapsed_seconds = time.monotonic() - start_time
    used_seconds = processor_seconds(pid) - seconds_before
    figures['upload_bytes_per_second'] = UPLOAD_BYTES / elapsed_seconds
    figures['upload_core_seconds_per_mb'] = used_seconds / UPLOAD_BYTES * 1e6
    figures['upload_growth_bytes'] = float(peak_memory - memory_before)
    await client.close()
    return figures


def main() -> None:
    """Measure, print a table and write the figures to a file."""
    logs.configure('bench')
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(pathlib.Path(folder), SIZE)
        try:
            system.start()
            figures = asyncio.run(_measure(system))
        finally:
            system.stop()
    table = rich.table.Table('figure', 'measured')
    for name, value in figures.items():
        table.add_row(name, f'{value:,.6g}')
    rich.console.Console().print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(figures)) + b'\n')


if __name__ == '__main__':
    main()
