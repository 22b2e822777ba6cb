"""A small deployment: daemons as processes, routers, and a record of what happened."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import zlib

import ends
import store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
RESTART_S = 0.3
PROBE_S = 0.5
LONGEST_S = 110  # a script may run for 120 s
BOUNDS = {
    'stable_window_ms': 4000,
    'drain_ms': 3000,
    'grace_period_s': 6,
    'config_apply_ms': 3000,
    'recovery_s': 12,
    'flow_skew_ms': 2000,
    'max_flow_s': 60,
}
_SECTION = re.compile(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', re.DOTALL)
_VALUE = re.compile(r'\{\{([\w.]+)\}\}')


class CannotRunError(Exception):
    """The case could not be brought about."""


def render(template, fields):
    """Fill in a settings template as the platform does."""

    def look_up(name):
        value = fields
        for part in name.split('.'):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = (value or {}).get(part)
        return value

    def section(match):
        return match[2] if look_up(match[1]) not in (None, False) else ''

    def text(match):
        value = look_up(match[1])
        return '' if value is None else str(value)

    return _VALUE.sub(text, _SECTION.sub(section, template))


class Daemon:
    """A daemon that the platform starts again after its end, unless it is removed."""

    def __init__(self, system, role, name, zone, host, fields):
        self.system, self.role, self.name, self.host = system, role, name, host
        ports = system.ports
        self.ready = (host, ports['ready'])
        self.datagrams = (host, ports['datagrams'])
        self.popen = None
        self.ends = []
        self.is_removed = self.is_expected = False
        self.is_in_rotation = False
        self._misses = 2
        deploy = system.deploy['roles'][role]
        self._command = deploy['run'].split(' ')
        self._settings_path = system.folder / f'{name}.ini'
        listen = {
            'datagram_addr': f'{host}:{ports["datagrams"]}',
            'ready': f'{host}:{ports["ready"]}',
            'control': f'{host}:{ports["control"]}',
            'outbound': f'{host}:{ports["outbound"]}',
        }
        settings = {
            'node_name': name,
            'ip': host,
            'zone': zone,
            'heartbeat_ms': int(ends.HEARTBEAT_S * 1000),
            'internal_port_range': [ports['internal'], ports['internal'] + 15],
            'listen_addrs': listen,
            'limits': {'link_mbps': 1000.0},
            'contract_bounds': BOUNDS,
            'platform': {'address': '%s:%d' % system.store.address},
            **fields,
        }
        template = (ROOT / deploy['template']).read_text('utf-8')
        self._settings_path.write_text(render(template, settings), 'utf-8')
        self.log_path = system.folder / f'{name}.log'

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['EGRETJUNCTION_NODE_FILE'] = str(self._settings_path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with self.log_path.open('ab') as log:
            self.popen = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        if self.system.is_over:
            self.popen.kill()
            return
        self.system.note('start', process=self.name)
        asyncio.create_task(self._await_end(self.popen))

    async def _await_end(self, popen):
        code = await popen.wait()
        is_own = not self.is_expected
        self.is_expected = False
        self.ends.append((time.monotonic(), code, is_own))
        self.system.note('end', process=self.name, code=code, by_itself=is_own)
        if not self.is_removed and not self.system.is_over:
            await asyncio.sleep(RESTART_S)
            if not self.system.is_over:
                await self.start()

    async def stop(self):
        """Stop the process as the platform does: SIGTERM, later SIGKILL."""
        popen = self.popen
        self.is_expected = True
        self.system.note('sigterm', process=self.name)
        popen.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(BOUNDS['grace_period_s']):
                await popen.wait()
        except TimeoutError:
            popen.kill()
            await popen.wait()

    def kill(self, *, is_removed=False):
        """Kill the process; one that is removed is not started again."""
        self.is_expected = True
        self.is_removed = is_removed
        self.system.note('kill', process=self.name, removed=is_removed)
        self.popen.kill()

    async def wait_until_up(self):
        """Wait until the process answers."""
        deadline = time.monotonic() + 10
        while await ends.call(self.ready, 'GET', '/readiness') is None:
            if time.monotonic() > deadline:
                raise CannotRunError(f'{self.name} does not start')
            await asyncio.sleep(0.05)

    async def probe(self):
        """Ask whether it is ready, as the platform does."""
        if await ends.call(self.ready, 'GET', '/readiness', timeout_s=PROBE_S) == 200:
            self._misses = 0
        else:
            self._misses += 1
        before = self.is_in_rotation
        self.is_in_rotation = self._misses == 0 or (before and self._misses < 2)
        if before is not self.is_in_rotation:
            self.system.note('rotation', process=self.name, member=self.is_in_rotation)


class System:
    """Store, entries, agents with servers, and clients on loopback addresses."""

    def __init__(self, record_path):
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self._record = record_path.open('w', encoding='utf-8')
        self._begun = time.monotonic()
        self.is_over = False
        self.entries, self.agents, self.servers = [], [], []
        self._choose_network()
        self.store = store.Store((self.address(1), self.ports['store']))
        self.client = None

    def _choose_network(self):
        for _ in range(50):
            self._network = f'127.{random.randrange(20, 250)}.{random.randrange(250)}'
            base = random.randrange(20_000, 32_000, 40)
            names = ('store', 'datagrams', 'ready', 'control', 'outbound', 'app')
            self.ports = {name: base + n for n, name in enumerate(names)}
            self.ports['internal'] = base + 16
            if all(self._is_free(base + n) for n in range(32)):
                return
        raise CannotRunError('no free ports')

    def _is_free(self, port):
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                try:
                    probe.bind((self.address(1), port))
                except OSError:
                    return False
        return True

    def address(self, number):
        """Return a host of this deployment."""
        return f'{self._network}.{number}'

    def note(self, event, **fields):
        """Write a line of the record."""
        at = round(time.monotonic() - self._begun, 3)
        self._record.write(json.dumps({'at': at, 'event': event, **fields}) + '\n')
        self._record.flush()

    async def start(self):
        """Start the store, the routers' checks and a client."""
        await self.store.start()
        self.client = ends.Client(
            (self.address(200), self.ports['datagrams']), self.choose_entry
        )
        asyncio.create_task(self._check_readiness())

    async def configure(self, version, routes):
        """Write a version of the configuration."""
        services = sorted({server.service for server in self.servers})
        await self.store.put('op/config', store.configuration(version, routes, services))
        self.note('configuration', version=version, routes=routes)

    async def add_entry(self, name, zone):
        """Start an entry."""
        host = self.address(10 + len(self.entries))
        entry = Daemon(self, 'entry', name, zone, host, {})
        self.entries.append(entry)
        await entry.start()
        return entry

    async def add_server(self, name, zone, service, *, agent_first=False, **options):
        """Start an agent and the server beside it.

        :param agent_first: whether the server starts when the agent is up.
        """
        host = self.address(100 + len(self.agents))
        place = {
            key: (host, self.ports[key]) for key in ('app', 'outbound', 'control')
        }
        fields = {'service': service, 'app': '%s:%d' % place['app']}
        agent = Daemon(self, 'agent', f'side-{name}', zone, host, fields)
        self.agents.append(agent)
        if agent_first:
            await agent.start()
            await agent.wait_until_up()
        server = ends.Server(name, place, service, zone, **options)
        self.servers.append(server)
        if not agent_first:
            await agent.start()
        return agent, server

    def choose_entry(self, flow):
        """Return where the routers send a flow's packet."""
        entry = self.entry_of(flow)
        return entry and entry.datagrams

    def entry_of(self, flow):
        """Return the entry that gets a flow's packets: by hash over those in rotation."""
        alive = [entry for entry in self.entries if not entry.is_removed]
        members = [entry for entry in alive if entry.is_in_rotation]
        if 2 * len(members) < len(alive):
            members = alive
        if not members:
            return None
        point = zlib.crc32(repr((flow.address, flow.route)).encode())
        return members[point % len(members)]

    async def _check_readiness(self):
        while True:
            alive = [entry for entry in self.entries if not entry.is_removed]
            await asyncio.gather(*(entry.probe() for entry in alive))
            await asyncio.sleep(PROBE_S)

    async def roll(self, entry):
        """Stop an entry as planned; return once it is back in rotation."""
        count = len(entry.ends)
        await entry.stop()
        await self.wait_for(
            lambda: len(entry.ends) > count and not entry.is_in_rotation,
            10,
            'the routers to miss an entry',
        )
        await self.wait_for(lambda: entry.is_in_rotation, 15, 'readiness')

    def holder(self, flow):
        """Return the name of the server at which a client's flow is open, if any."""
        for server in self.servers:
            if server.holds(flow.address, flow.route):
                return server.name
        return None

    async def wait_for(self, condition, timeout_s, what):
        """Wait until a condition holds."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(f'waited {timeout_s} s for: {what}')
            await asyncio.sleep(0.05)

    def log_lines(self, *words):
        """Return the lines of all daemons' logs that hold all of some words."""
        return [
            line
            for path in sorted(self.folder.glob('*.log'))
            for line in path.read_text('utf-8', 'replace').splitlines()
            if all(word in line for word in words)
        ]

    async def close(self):
        """End all processes that were started."""
        self.is_over = True
        for daemon in (*self.entries, *self.agents):
            if daemon.popen is not None and daemon.popen.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    daemon.popen.kill()
                await daemon.popen.wait()
        for server in self.servers:
            server.close()
        if self.client is not None:
            self.client.close()
        if not os.environ.get('KEEP_LOGS'):
            shutil.rmtree(self.folder, ignore_errors=True)


def main(case_path, play):
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if neither.

    :param case_path: path of the case's script; the record is written beside it.
    :param play: coroutine function; gets the system and whether there is trouble, and
        returns the violations.
    """
    record_path = pathlib.Path(case_path).resolve().parent / 'record.txt'
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run():
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel
        )
        system = None
        try:
            system = System(record_path)
            await system.start()
            async with asyncio.timeout(LONGEST_S):
                violations = await play(system, has_trouble)
            for violation in violations:
                system.note('violation', what=violation)
            if system.client.foreign or any(s.foreign for s in system.servers):
                raise CannotRunError('a packet that its sender did not write so')
            system.note('result', trouble=has_trouble, broken=bool(violations))
            return 1 if violations else 0
        except (Exception, asyncio.CancelledError) as error:  # no verdict
            if system is not None:
                system.note('cannot run', why=repr(error))
            return 2
        finally:
            if system is not None:
                await system.close()

    sys.exit(asyncio.run(run()))
