"""Runs the fault matrix over real processes: ``python -m bench.faults``.

Each cell injects one fault at one step of one kind of request. The run counts of
the backend servers show double runs and false NOT_RUN verdicts. A cell is ``held``,
with the verdict if the request was not answered, ``broken`` with the reason, or
``not reached`` if the request never ran.
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
TIMEOUT_SECONDS = 40.0
DEADLINE_SECONDS = 8.0
WORK_MS = 1000
PHOTO_BYTES = 6_000_000
FEED_UPDATES = 6
PAUSE_SECONDS = 3.0
SERVICE = sizes.ServiceSize(
    'bookings',
    'booking',
    3,
    'feed_paths = /feed*\nlarge_paths = /photos*\n',
)
SIZE = sizes.Size('faults', 3, 3, (SERVICE,), 0.001)
SERVERS = ('bookings-1', 'bookings-2', 'bookings-3')

Action = typing.Callable[['FaultInjector', str], None]


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    :param injection: injects the fault, given the server that runs the request.
    :param recovery: undoes the fault.
    :param must_be_answered: whether the request must be answered despite the fault.
    """

    name: str
    injection: Action
    recovery: Action
    must_be_answered: bool


class Column(msgspec.Struct, frozen=True):
    """One kind of request and the step at which the fault is injected."""

    name: str
    method: str
    path: str
    step: str


class FaultInjector:
    """Injects faults into a running system and undoes them.

    :param system: processes of the system.
    """

    def __init__(self, system: cluster.Cluster) -> None:
        self.system = system
        self.entries = list(system.data_address_by_entry)
        self._entry_number = len(self.entries)

    def kill_entry(self, _server: str) -> None:
        """Kill an entry and remove it from the fabric at once."""
        self.system.kill(self.entries[0])
        self.system.set_fabric(self.entries[1:])

    def stop_entry(self, _server: str) -> None:
        """Stop an entry gracefully and remove it from the fabric a second later."""
        self.system.send_signal(self.entries[0], signal.SIGTERM)
        time.sleep(1)
        self.system.set_fabric(self.entries[1:])

    def add_entry(self, _server: str) -> None:
        """Start another entry and add it to the fabric."""
        self._entry_number += 1
        name = f'entry-{self._entry_number}'
        self.system.start_entry(name, 'domain-1')
        self.system.wait_until_reachable([name])
        self.system.wait_for_state(name, 'serving')
        self.entries.append(name)
        self.system.set_fabric(self.entries)

    def replace_first_entry(self, server: str) -> None:
        """Start an entry in place of the first one."""
        self.entries.pop(0)
        self.add_entry(server)

    def kill_agent(self, server: str) -> None:
        """Kill the agent."""
        self.system.kill(f'agent-{server}')

    def drain_agent(self, server: str) -> None:
        """Stop the agent gracefully."""
        self.system.send_signal(f'agent-{server}', signal.SIGTERM)

    def restart_agent(self, server: str) -> None:
        """Start the agent again after its process has ended."""
        process = self.system.process_by_name.pop(f'agent-{server}', None)
        if process is not None:
            process.wait(TIMEOUT_SECONDS)
        self.system.start_agent(server, SERVICE.name, 'domain-1')
        self.wait_until_serving()

    def pause_agent(self, server: str) -> None:
        """Pause the process of the agent, then resume it."""
        self.system.send_signal(f'agent-{server}', signal.SIGSTOP)
        time.sleep(PAUSE_SECONDS)
        self.system.send_signal(f'agent-{server}', signal.SIGCONT)

    def pause_entry(self, _server: str) -> None:
        """Pause an entry and remove it from the fabric a second later."""
        self.system.send_signal(self.entries[0], signal.SIGSTOP)
        time.sleep(1)
        self.system.set_fabric(self.entries[1:])

    def resume_entry(self, _server: str) -> None:
        """Resume the entry and add it to the fabric again."""
        self.system.send_signal(self.entries[0], signal.SIGCONT)
        self.system.set_fabric(self.entries)

    def kill_backend(self, server: str) -> None:
        """Kill the backend server."""
        self.system.kill(f'backend-{server}')

    def restart_backend(self, server: str) -> None:
        """Start the backend server again."""
        self.system.start_backend(server)
        self.wait_until_serving()

    def drain_backend(self, server: str) -> None:
        """Make the backend server report that it drains."""
        self.system.set_behaviour(server, is_draining=True)

    def undrain_backend(self, server: str) -> None:
        """Make the backend server serve again, with a new agent."""
        self.system.set_behaviour(server)
        self.restart_agent(server)

    def slow_backend(self, server: str) -> None:
        """Make the backend server four times slower."""
        self.system.set_behaviour(server, slowness=4)

    def restore_backend(self, server: str) -> None:
        """Restore the normal behaviour of the backend server."""
        self.system.set_behaviour(server)

    def platform_faults(self, **faults: object) -> Action:
        """Return an action that sets the faults of the platform."""

        def set_faults(_injector: 'FaultInjector', _server: str) -> None:
            body = msgspec.json.encode(faults)
            self.system.post(self.system.platform_address, '/admin/faults', body)

        return set_faults

    def fabric_conditions(self, **conditions: float) -> Action:
        """Return an action that sets the packet conditions of the fabric."""

        def set_conditions(_injector: 'FaultInjector', _server: str) -> None:
            self.system.set_fabric(self.entries, **conditions)

        return set_conditions

    def change_configuration(self, _server: str) -> None:
        """Apply a configuration change as an operator."""
        asyncio.run(self._change_configuration())

    async def _change_configuration(self) -> None:
        platform_client = platform.Platform(self.system.platform_url)
        current_document = (await operators.read(platform_client)).document
        section_name = f'service {SERVICE.name}'
        queue_limit = 20 + int(time.time()) % 1000
        text = f'{self.system.document_text()}queue_limit = {queue_limit}\n'
        new_document = document.parse(text, 'edit')
        author = operators.Author(
            'bench', 'booking', cluster.team_key_digest('booking')
        )
        assert section_name in new_document.sections
        await operators.apply(platform_client, current_document, new_document, author)

    def wait_until_serving(self) -> None:
        """Wait until every entry sees every agent as serving."""
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not all(self._sees_all_agents(name) for name in self.entries):
            assert time.monotonic() < deadline, (
                'not every entry sees all agents as serving'
            )
            time.sleep(0.1)

    def _sees_all_agents(self, entry: str) -> bool:
        agents = self.system.status(entry)['agents'].get(SERVICE.name, {})
        states = [agent['state'] for agent in agents.values()]
        return states.count('serving') >= len(SERVERS)

    def runs_by_server(self, request_id: str) -> dict[str, int]:
        """Return how often each reachable backend server has run a request."""
        run_counts = {}
        for server in SERVERS:
            with contextlib.suppress(OSError):
                run_count = self.system.backend_stats(server)['runs'].get(request_id, 0)
                if run_count:
                    run_counts[server] = run_count
        return run_counts


COLUMNS = (
    Column('booking, before', 'POST', '/bookings', 'before'),
    Column('booking, running', 'POST', '/bookings', 'running'),
    Column('reschedule, running', 'PUT', '/bookings/1', 'running'),
    Column('photo, mid-body', 'POST', '/photos', 'mid-body'),
    Column('feed, open', 'GET', '/feed', 'open'),
)


def all_faults(injector: FaultInjector) -> list[Fault]:
    """Return the faults of the matrix, each with its recovery."""
    do_nothing: Action = lambda _injector, _server: None  # noqa: E731
    actions = FaultInjector
    restore_platform = injector.platform_faults()
    restore_fabric = injector.fabric_conditions()
    return [
        Fault('entry dies', actions.kill_entry, actions.replace_first_entry, True),
        Fault('entry leaves', actions.stop_entry, actions.replace_first_entry, True),
        Fault('entry joins', actions.add_entry, do_nothing, True),
        Fault('entry frozen', actions.pause_entry, actions.resume_entry, True),
        Fault('agent dies', actions.kill_agent, actions.restart_agent, False),
        Fault('agent drains', actions.drain_agent, actions.restart_agent, True),
        Fault('agent frozen', actions.pause_agent, do_nothing, False),
        Fault(
            'backend server dies', actions.kill_backend, actions.restart_backend, False
        ),
        Fault(
            'backend server drains',
            actions.drain_backend,
            actions.undrain_backend,
            True,
        ),
        Fault(
            'backend server cold', actions.slow_backend, actions.restore_backend, True
        ),
        Fault(
            'platform down',
            injector.platform_faults(is_down=True),
            restore_platform,
            True,
        ),
        Fault(
            'platform slow',
            injector.platform_faults(slow_seconds=2),
            restore_platform,
            True,
        ),
        Fault(
            'packets lost', injector.fabric_conditions(loss=0.1), restore_fabric, True
        ),
        Fault(
            'packets repeated',
            injector.fabric_conditions(duplication=0.3),
            restore_fabric,
            True,
        ),
        Fault(
            'packets late and out of order',
            injector.fabric_conditions(reordering=0.2, jitter_seconds=0.01),
            restore_fabric,
            True,
        ),
        Fault('configuration changes', actions.change_configuration, do_nothing, True),
    ]


async def run_cell(injector: FaultInjector, fault: Fault, column: Column) -> str:
    """Inject a fault into a request and return the result of the cell."""
    if column.step == 'open':
        return await _run_feed_cell(injector, fault)
    request_id = uuid.uuid4().hex
    body = bytes(PHOTO_BYTES) if column.step == 'mid-body' else b'x'
    server = SERVERS[0]
    if column.step == 'before':
        await asyncio.to_thread(fault.injection, injector, server)
    client = injector.system.caller(SERVICE.name)
    request_task = asyncio.create_task(
        client.request(
            column.method,
            f'{column.path}?work_ms={WORK_MS}',
            headers={'egretjunction-request-id': request_id},
            body=body,
            deadline_seconds=DEADLINE_SECONDS,
        ),
    )
    if column.step != 'before':
        server = await _wait_until_running(injector, request_id, request_task)
        if server:
            await asyncio.to_thread(fault.injection, injector, server)
    outcome = await request_task
    await client.close()
    run_count_by_server = await asyncio.to_thread(injector.runs_by_server, request_id)
    await asyncio.to_thread(fault.recovery, injector, server or SERVERS[0])
    if not server:
        return 'not reached'
    return _cell_result(fault, column, outcome, run_count_by_server, request_id)


async def _wait_until_running(
    injector: FaultInjector, request_id: str, request_task: asyncio.Task
) -> str:
    """Return the backend server that runs a request, empty if none ever ran it."""
    while not request_task.done():
        run_count_by_server = await asyncio.to_thread(
            injector.runs_by_server, request_id
        )
        if run_count_by_server:
            return next(iter(run_count_by_server))
        await asyncio.sleep(0.02)
    return ''


def _cell_result(
    fault: Fault,
    column: Column,
    outcome: caller.Outcome,
    run_count_by_server: dict[str, int],
    request_id: str,
) -> str:
    run_total = sum(run_count_by_server.values())
    if column.method == 'POST' and run_total > 1:
        return f'broken: run {run_total} times'
    if outcome.verdict is verdicts.Verdict.NOT_RUN and run_total:
        return 'broken: false NOT_RUN'
    if outcome.is_answered:
        response = json.loads(outcome.body)
        if response['request_id'] != request_id:
            return 'broken: answer of another request'
        return 'held'
    if fault.must_be_answered:
        return f'broken: {outcome.verdict.value}, {outcome.reason}'
    return f'held: {outcome.verdict.value}'


async def _run_feed_cell(injector: FaultInjector, fault: Fault) -> str:
    client = injector.system.caller(SERVICE.name)
    event_ids: list[int] = []
    server = ''
    injection = None
    async for update in client.feed('/feed'):
        event_ids.append(update.event_id)
        if len(event_ids) == 2:
            feeding_servers = [
                candidate
                for candidate in SERVERS
                if injector.system.backend_stats(candidate)['feeds']
            ]
            server = feeding_servers[0]
            injection = asyncio.create_task(
                asyncio.to_thread(fault.injection, injector, server)
            )
        if (
            len(event_ids) >= FEED_UPDATES
            and injection is not None
            and injection.done()
        ):
            break
    await asyncio.to_thread(fault.recovery, injector, server)
    expected_ids = list(range(event_ids[0], event_ids[0] + len(event_ids)))
    return 'held' if event_ids == expected_ids else f'broken: updates {event_ids}'


def run_matrix(injector: FaultInjector) -> dict[str, dict[str, str]]:
    """Run all cells; return their results by fault and column."""
    results: dict[str, dict[str, str]] = {}
    for fault in all_faults(injector):
        results[fault.name] = {}
        for column in COLUMNS:
            injector.wait_until_serving()
            cell_run = asyncio.wait_for(
                run_cell(injector, fault, column), TIMEOUT_SECONDS
            )
            try:
                result = asyncio.run(cell_run)
            except TimeoutError:
                result = 'broken: no end in time'
            results[fault.name][column.name] = result
            sys.stderr.write(f'{fault.name}; {column.name}: {result}\n')
    return results


def main() -> None:
    """Run the matrix, print it and write it to a file."""
    logs.configure('bench')
    with tempfile.TemporaryDirectory() as folder:
        system = cluster.Cluster(pathlib.Path(folder), SIZE)
        try:
            system.start()
            injector = FaultInjector(system)
            asyncio.run(system.apply_document())
            results = run_matrix(injector)
        finally:
            system.stop()
    table = rich.table.Table('fault', *(column.name for column in COLUMNS))
    for name, cells in results.items():
        table.add_row(name, *cells.values())
    rich.console.Console(width=150).print(table)
    OUTPUT.write_bytes(msgspec.json.format(msgspec.json.encode(results)) + b'\n')


if __name__ == '__main__':
    main()
