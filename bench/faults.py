"""The fault matrix over real processes: ``python -m bench.faults``.

Each cell strikes one kind of work with one fault at one step of its life. What
the backend servers themselves have recorded decides about double runs and false
NOT_RUN. A cell says ``held``, ``broken`` with the reason, or ``not reached``.
"""

import asyncio
import contextlib
import json
import pathlib
import signal
import sys
import tempfile
import time
import typing
import uuid

import msgspec
import rich.console
import rich.table

from egretjunction import caller
from egretjunction import logs
from egretjunction import operators
from egretjunction import platform
from egretjunction import verdicts
from egretjunction.decisions import document
from egretjunction.standins import cluster
from egretjunction.standins import sizes

OUTPUT = pathlib.Path(__file__).with_name('faults.json')
PATIENCE_SECONDS = 40.0
DEADLINE_SECONDS = 8.0
WORK_MS = 1000
PHOTO_BYTES = 6_000_000
UPDATES = 6
FROZEN_SECONDS = 3.0
SERVICE = sizes.ServiceSize(
    'bookings',
    'booking',
    3,
    'feed_paths = /feed*\nlarge_paths = /photos*\n',
)
SIZE = sizes.Size('faults', 3, 3, (SERVICE,), 0.001)
SERVERS = ('bookings-1', 'bookings-2', 'bookings-3')

Strike = typing.Callable[['Bench', str], None]


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    :param strike: brings it about, given the backend server that has the work.
    :param heal: undoes it.
    :param is_planned: whether the work must be answered all the same.
    """

    name: str
    strike: Strike
    heal: Strike
    is_planned: bool


class Column(msgspec.Struct, frozen=True):
    """One kind of work and the step at which it is struck."""

    name: str
    method: str
    path: str
    step: str


class Bench:
    """One system that is struck and healed again and again.

    :param system: the processes.
    """

    def __init__(self, system: cluster.Cluster) -> None:
        self.system = system
        self.entries = list(system.data_address_by_entry)
        self._spare = len(self.entries)

    def kill_entry(self, _server: str) -> None:
        """End an entry at once; the fabric notices."""
        self.system.kill(self.entries[0])
        self.system.set_fabric(self.entries[1:])

    def stop_entry(self, _server: str) -> None:
        """Stop an entry gracefully; the fabric notices a second later."""
        self.system.send_signal(self.entries[0], signal.SIGTERM)
        time.sleep(1)
        self.system.set_fabric(self.entries[1:])

    def add_entry(self, _server: str) -> None:
        """Start an entry and put it behind the fabric in place of the first."""
        self._spare += 1
        name = f'entry-{self._spare}'
        self.system.start_entry(name, 'domain-1')
        self.system.wait_until_reachable([name])
        self.system.wait_for_state(name, 'serving')
        self.entries.append(name)
        self.system.set_fabric(self.entries)

    def replace_first_entry(self, server: str) -> None:
        """Make up for the entry that was lost."""
        self.entries.pop(0)
        self.add_entry(server)

    def kill_agent(self, server: str) -> None:
        """End the agent at once."""
        self.system.kill(f'agent-{server}')

    def drain_agent(self, server: str) -> None:
        """Stop the agent gracefully."""
        self.system.send_signal(f'agent-{server}', signal.SIGTERM)

    def restart_agent(self, server: str) -> None:
        """Start the agent again, once the old one is gone."""
        process = self.system.process_by_name.pop(f'agent-{server}', None)
        if process is not None:
            process.wait(PATIENCE_SECONDS)
        self.system.start_agent(server, SERVICE.name, 'domain-1')
        self.settle()

    def freeze_agent(self, server: str) -> None:
        """Pause the agent for a while, then let it go on."""
        self.system.send_signal(f'agent-{server}', signal.SIGSTOP)
        time.sleep(FROZEN_SECONDS)
        self.system.send_signal(f'agent-{server}', signal.SIGCONT)

    def freeze_entry(self, _server: str) -> None:
        """Pause an entry; the fabric notices a second later."""
        self.system.send_signal(self.entries[0], signal.SIGSTOP)
        time.sleep(1)
        self.system.set_fabric(self.entries[1:])

    def thaw_entry(self, _server: str) -> None:
        """Let the entry go on."""
        self.system.send_signal(self.entries[0], signal.SIGCONT)
        self.system.set_fabric(self.entries)

    def kill_backend(self, server: str) -> None:
        """End the backend server at once."""
        self.system.kill(f'backend-{server}')

    def restart_backend(self, server: str) -> None:
        """Start the backend server again."""
        self.system.start_backend(server)
        self.settle()

    def drain_backend(self, server: str) -> None:
        """Let the backend server say that it drains."""
        self.system.set_behaviour(server, is_draining=True)

    def undrain_backend(self, server: str) -> None:
        """Let it serve again, with a new agent."""
        self.system.set_behaviour(server)
        self.restart_agent(server)

    def cold(self, server: str) -> None:
        """Make the backend server four times slower."""
        self.system.set_behaviour(server, slowness=4)

    def calm(self, server: str) -> None:
        """Undo what was commanded to the backend server."""
        self.system.set_behaviour(server)

    def platform_faults(self, **faults: object) -> Strike:
        """Return a strike that changes what goes wrong at the platform."""

        def strike(_bench: 'Bench', _server: str) -> None:
            body = msgspec.json.encode(faults)
            self.system.post(self.system.platform_address, '/admin/faults', body)

        return strike

    def fabric_faults(self, **conditions: float) -> Strike:
        """Return a strike that changes what happens to packets."""

        def strike(_bench: 'Bench', _server: str) -> None:
            self.system.set_fabric(self.entries, **conditions)

        return strike

    def edit(self, _server: str) -> None:
        """Let an operator change the configuration."""
        asyncio.run(self._edit())

    async def _edit(self) -> None:
        service = platform.Platform(self.system.platform_url)
        base = (await operators.read(service)).document
        name = f'service {SERVICE.name}'
        limit = 20 + int(time.time()) % 1000
        text = f'{self.system.document_text()}queue_limit = {limit}\n'
        wanted = document.parse(text, 'edit')
        author = operators.Author(
            'bench', 'booking', cluster.team_key_digest('booking')
        )
        assert name in wanted.sections
        await operators.apply(service, base, wanted, author)

    def settle(self) -> None:
        """Wait until every entry sees every agent serve."""
        deadline = time.monotonic() + PATIENCE_SECONDS
        while not all(self._sees_all(name) for name in self.entries):
            assert time.monotonic() < deadline, 'system did not settle'
            time.sleep(0.1)

    def _sees_all(self, entry: str) -> bool:
        agents = self.system.status(entry)['agents'].get(SERVICE.name, {})
        states = [each['state'] for each in agents.values()]
        return states.count('serving') >= len(SERVERS)

    def runs_of(self, request_id: str) -> dict[str, int]:
        """Return how often each backend server that answers has run a request."""
        found = {}
        for server in SERVERS:
            with contextlib.suppress(OSError):
                runs = self.system.backend_stats(server)['runs'].get(request_id, 0)
                if runs:
                    found[server] = runs
        return found


COLUMNS = (
    Column('booking, before', 'POST', '/bookings', 'before'),
    Column('booking, running', 'POST', '/bookings', 'running'),
    Column('reschedule, running', 'PUT', '/bookings/1', 'running'),
    Column('photo, mid-body', 'POST', '/photos', 'mid-body'),
    Column('feed, open', 'GET', '/feed', 'open'),
)


def faults(bench: Bench) -> list[Fault]:
    """Return the faults, each with its cure."""
    nothing: Strike = lambda _bench, _server: None  # noqa: E731
    kind = Bench
    healthy = bench.platform_faults()
    clean = bench.fabric_faults()
    return [
        Fault('entry dies', kind.kill_entry, kind.replace_first_entry, True),
        Fault('entry leaves', kind.stop_entry, kind.replace_first_entry, True),
        Fault('entry joins', kind.add_entry, nothing, True),
        Fault('entry frozen', kind.freeze_entry, kind.thaw_entry, True),
        Fault('agent dies', kind.kill_agent, kind.restart_agent, False),
        Fault('agent drains', kind.drain_agent, kind.restart_agent, True),
        Fault('agent frozen', kind.freeze_agent, nothing, False),
        Fault('backend server dies', kind.kill_backend, kind.restart_backend, False),
        Fault('backend server drains', kind.drain_backend, kind.undrain_backend, True),
        Fault('backend server cold', kind.cold, kind.calm, True),
        Fault('platform down', bench.platform_faults(is_down=True), healthy, True),
        Fault('platform slow', bench.platform_faults(slow_seconds=2), healthy, True),
        Fault('packets lost', bench.fabric_faults(loss=0.1), clean, True),
        Fault('packets repeated', bench.fabric_faults(duplication=0.3), clean, True),
        Fault(
            'packets late and out of order',
            bench.fabric_faults(reordering=0.2, jitter_seconds=0.01),
            clean,
            True,
        ),
        Fault('configuration changes', kind.edit, nothing, True),
    ]


async def cell(bench: Bench, fault: Fault, column: Column) -> str:
    """Strike one kind of work with one fault and judge what became of it."""
    if column.step == 'open':
        return await _feed_cell(bench, fault)
    request_id = uuid.uuid4().hex
    body = bytes(PHOTO_BYTES) if column.step == 'mid-body' else b'x'
    server = SERVERS[0]
    if column.step == 'before':
        await asyncio.to_thread(fault.strike, bench, server)
    customer = bench.system.caller(SERVICE.name)
    work = asyncio.create_task(
        customer.request(
            column.method,
            f'{column.path}?work_ms={WORK_MS}',
            headers={'egretjunction-request-id': request_id},
            body=body,
            deadline_seconds=DEADLINE_SECONDS,
        ),
    )
    if column.step != 'before':
        server = await _running_at(bench, request_id, work)
        if server:
            await asyncio.to_thread(fault.strike, bench, server)
    outcome = await work
    await customer.close()
    runs = await asyncio.to_thread(bench.runs_of, request_id)
    await asyncio.to_thread(fault.heal, bench, server or SERVERS[0])
    if not server:
        return 'not reached'
    return _judge(fault, column, outcome, runs, request_id)


async def _running_at(bench: Bench, request_id: str, work: asyncio.Task) -> str:
    """Return the backend server that runs a request, empty if none does in time."""
    while not work.done():
        runs = await asyncio.to_thread(bench.runs_of, request_id)
        if runs:
            return next(iter(runs))
        await asyncio.sleep(0.02)
    return ''


def _judge(
    fault: Fault,
    column: Column,
    outcome: caller.Outcome,
    runs: dict[str, int],
    request_id: str,
) -> str:
    total = sum(runs.values())
    if column.method == 'POST' and total > 1:
        return f'broken: run {total} times'
    if outcome.verdict is verdicts.Verdict.NOT_RUN and total:
        return 'broken: false NOT_RUN'
    if outcome.is_answered:
        answer = json.loads(outcome.body)
        if answer['request_id'] != request_id:
            return 'broken: answer of another request'
        return 'held'
    if fault.is_planned:
        return f'broken: {outcome.verdict.value}, {outcome.reason}'
    return f'held: {outcome.verdict.value}'


async def _feed_cell(bench: Bench, fault: Fault) -> str:
    customer = bench.system.caller(SERVICE.name)
    seen: list[int] = []
    server = ''
    strike = None
    async for update in customer.feed('/feed'):
        seen.append(update.event_id)
        if len(seen) == 2:
            holders = [s for s in SERVERS if bench.system.backend_stats(s)['feeds']]
            server = holders[0]
            strike = asyncio.create_task(asyncio.to_thread(fault.strike, bench, server))
        if len(seen) >= UPDATES and strike is not None and strike.done():
            break
    await asyncio.to_thread(fault.heal, bench, server)
    whole = list(range(seen[0], seen[0] + len(seen)))
    return 'held' if seen == whole else f'broken: updates {seen}'


def measure(bench: Bench) -> dict[str, dict[str, str]]:
    """Run the whole matrix; return the cells by fault and column."""
    found: dict[str, dict[str, str]] = {}
    for fault in faults(bench):
        found[fault.name] = {}
        for column in COLUMNS:
            bench.settle()
            work = asyncio.wait_for(cell(bench, fault, column), PATIENCE_SECONDS)
            try:
                verdict = asyncio.run(work)
            except TimeoutError:
                verdict = 'broken: no end in time'
            found[fault.name][column.name] = verdict
            sys.stderr.write(f'{fault.name}; {column.name}: {verdict}\n')
    return found


def main() -> None:
    """Run the matrix, print it, write it to a file."""
    logs.configure('bench')
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(pathlib.Path(folder), SIZE)
        try:
            system.start()
            bench = Bench(system)
            asyncio.run(system.apply_document())
            found = measure(bench)
        finally:
            system.stop()
    table = rich.table.Table('fault', *(column.name for column in COLUMNS))
    for name, cells in found.items():
        table.add_row(name, *cells.values())
    rich.console.Console(width=150).print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(found)) + b'\n')


if __name__ == '__main__':
    main()
