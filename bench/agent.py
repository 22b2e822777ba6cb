"""Measures an agent process: handshakes, requests, uploads and held flows.

``python -m bench.agent`` starts a small system on loopback and reads processor
time and memory of the agent's process from the kernel.
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
FLOWS = 100
REQUESTS = 300
HELD = 200
UPLOAD_BYTES = 50_000_000
UPLOAD_SECONDS = 300
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
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    numbers = fields.rpartition(')')[2].split()
    return (int(numbers[11]) + int(numbers[12])) / TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the memory that a process holds."""
    fields = pathlib.Path(f'/proc/{pid}/statm').read_text(encoding='ascii')
    return int(fields.split()[1]) * PAGE_BYTES


async def _configured(system: cluster.Cluster) -> None:
    await system.apply_document()
    await asyncio.to_thread(system.wait_for_state, 'agent-bookings-1', 'serving')
    await asyncio.sleep(1)


async def _ask(
    customer: caller.Caller, path: str, body: bytes = b'x'
) -> caller.Outcome:
    outcome = await customer.request(
        'POST',
        path,
        body=body,
        deadline_seconds=UPLOAD_SECONDS,
    )
    assert outcome.status == 200, outcome.reason
    return outcome


async def _run(system: cluster.Cluster) -> dict[str, float]:
    await _configured(system)
    pid = system.process_by_name['agent-bookings-1'].pid
    entry_pid = system.process_by_name['entry-1'].pid
    found = {
        'agent_idle_bytes': float(resident_bytes(pid)),
        'entry_idle_bytes': float(resident_bytes(entry_pid)),
    }
    starts = processor_seconds(pid), processor_seconds(entry_pid)
    await asyncio.sleep(IDLE_SECONDS)
    found['agent_idle_core'] = (processor_seconds(pid) - starts[0]) / IDLE_SECONDS
    found['entry_idle_core'] = (processor_seconds(entry_pid) - starts[1]) / IDLE_SECONDS

    start = processor_seconds(pid)
    for _ in range(FLOWS):
        customer = system.caller('bookings')
        await _ask(customer, '/bookings?work_ms=0')
        await customer.close()
    flow_seconds = (processor_seconds(pid) - start) / FLOWS

    customer = system.caller('bookings')
    await _ask(customer, '/bookings?work_ms=0')
    start = processor_seconds(pid)
    for _ in range(REQUESTS):
        await _ask(customer, '/bookings?work_ms=0')
    request_seconds = (processor_seconds(pid) - start) / REQUESTS
    found['request_seconds'] = request_seconds
    found['handshake_seconds'] = flow_seconds - request_seconds

    before = resident_bytes(pid)
    held = [system.caller('bookings') for _ in range(HELD)]
    for each in held:
        await _ask(each, '/bookings?work_ms=0')
    found['flow_bytes'] = (resident_bytes(pid) - before) / HELD
    for each in held:
        await each.close()

    before = resident_bytes(pid)
    most = before
    started = time.monotonic()
    start = processor_seconds(pid)
    upload = asyncio.create_task(
        _ask(customer, '/photos?work_ms=0', bytes(UPLOAD_BYTES)),
    )
    while not upload.done():
        await asyncio.sleep(0.1)
        most = max(most, resident_bytes(pid))
    await upload
    seconds = time.monotonic() - started
    spent = processor_seconds(pid) - start
    found['upload_bytes_per_second'] = UPLOAD_BYTES / seconds
    found['upload_core_seconds_per_mb'] = spent / UPLOAD_BYTES * 1e6
    found['upload_growth_bytes'] = float(most - before)
    await customer.close()
    return found


def main() -> None:
    """Measure and print a table."""
    logs.configure('bench')
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(pathlib.Path(folder), SIZE)
        try:
            system.start()
            found = asyncio.run(_run(system))
        finally:
            system.stop()
    table = rich.table.Table('figure', 'measured')
    for name, value in found.items():
        table.add_row(name, f'{value:,.6g}')
    rich.console.Console().print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b'\n')


if __name__ == '__main__':
    main()
