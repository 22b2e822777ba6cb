"""A small deployment on loopback addresses: machines, the platform's part, clients.

The programs are started as ``deploy/system.toml`` says, with settings from the
templates that it names. Every machine has an address of its own below 127.0.0.0/8.
"""

import base64
import http.client
import json
import os
import pathlib
import random
import re
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
import zlib

import packet

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
STANDINS = pathlib.Path(__file__).resolve().parent
PROBE_SECONDS = 0.5
MISSES = 2
RESTART_SECONDS = 0.3  # between the end of a process and its next start
HEARTBEAT_MS = 770
FIRST_PACKETS_SECONDS = (0, 0.2, 0.6)
OPENING_SECONDS = 1.4
RESEND_SECONDS, MAX_RESEND_SECONDS = 0.2, 1.6
RESET_WINDOW = 76_800
# Bounds of the deployment ciclovia-medellin-grown.
BOUNDS = {
    'stable_window_ms': 5000, 'drain_ms': 5000, 'grace_period_s': 6,
    'config_apply_ms': 5000, 'flow_skew_ms': 2000, 'max_flow_s': 60,
}


def render(template, fields):
    """Fill in a template of the deploy file."""

    def look_up(name):
        found = fields
        for part in name.split('.'):
            try:
                found = found[int(part)] if part.isdigit() else found[part]
            except (KeyError, IndexError, TypeError):
                return ''
        return found

    text = re.sub(
        r'{{#([\w.]+)}}(.*?){{/\1}}',
        lambda match: match[2] if look_up(match[1]) != '' else '',
        template,
        flags=re.DOTALL,
    )
    return re.sub(r'{{([\w.]+)}}', lambda match: str(look_up(match[1])), text)


class Ending:
    """Whether the case was told to end; it does so between two steps.

    An exception in the signal handler could interrupt the start of a process, or a
    second signal the end of the others.
    """

    is_due = False

    @classmethod
    def request(cls, *_):
        """Handle a signal."""
        cls.is_due = True

    @classmethod
    def check(cls):
        """Raise if the case has to end."""
        if cls.is_due:
            raise SystemExit(2)


def exit_with(play):
    """End with the status that a case returns, or with 2 if it could not run.

    SIGTERM and SIGINT end it with 2 too, after the processes that it started.
    """
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, Ending.request)
    try:
        status = play()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)


class Machine:
    """A machine with a process of the system, and its settings."""

    def __init__(
        self, deployment, role, name, host, zone, service='', link_mbps=1000.0,
        store_address='',
    ):
        self.name, self.host, self.zone, self.service = name, host, zone, service
        self.is_ready = False
        self.misses = 0
        self.stopping = self.is_removed = False
        self.started_at = 0.0
        self.restart_at = None
        self.restarts = 0
        ports = deployment.ports
        self._role = deployment.roles[role]
        self.role = role
        fields = {
            'node_name': name, 'ip': host, 'zone': zone, 'service': service,
            'heartbeat_ms': HEARTBEAT_MS,
            'internal_port_range': [ports['inner'], ports['inner_last']],
            'app': f'{host}:{ports["app"]}',
            'listen_addrs': {
                'datagram_addr': f'{host}:{ports["data"]}',
                'outbound': f'{host}:{ports["outbound"]}',
                'ready': f'{host}:{ports["ready"]}',
                'control': f'{host}:{ports["control"]}',
            },
            'contract_bounds': BOUNDS,
            'limits': {'link_mbps': link_mbps},
            'platform': {'address': store_address or deployment.store_address},
        }
        self.settings = deployment.folder / f'{name}.ini'
        template = (ROOT / self._role['template']).read_text('utf-8')
        self.settings.write_text(render(template, fields), 'utf-8')
        self.log = deployment.folder / f'{name}.log'
        self.ready_address = (host, ports['ready'])
        self.data_address = (host, ports['data'])
        self.popen = None

    def start(self):
        """Start the process."""
        env = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        env['EGRETJUNCTION_NODE_FILE'] = str(self.settings)
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.stopping = False
        self.restart_at = None
        self.started_at = time.monotonic()
        with self.log.open('ab') as log:
            self.popen = subprocess.Popen(
                self._role['run'].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def terminate(self):
        """Send SIGTERM; the platform starts the process again after its end."""
        self.stopping = True
        self.popen.terminate()


class Client:
    """One flow of a client, and its requests."""

    def __init__(self, deployment, host, port, zone, pause, deadline):
        self.deployment = deployment
        self.route = deployment.route
        self.machine = None  # the daemon that gets all its packets, for a test of routes
        self.source = (host, port)
        self.zone = zone
        self.pause, self.deadline = pause, deadline
        self.seq = random.randrange(packet.RANGE)
        self.first_seq = self.seq
        self.ack = 0
        self.state = 'new'  # opening, idle, asking, ended, given up
        self.server = None
        self.opened_at = None
        self.requests = 0
        self.resets = []
        self.next_at = time.monotonic()
        self.copies = 0
        self.raw = None
        self.through = None
        self.log = deployment.record

    def send(self, flags, data=b''):
        """Send a packet through the daemon that the router selects now."""
        raw = packet.encode(
            self.source, self.route, flags, self.seq, self.ack, data
        )
        self.through = self.deployment.forward(self, raw)
        return raw

    def tick(self, now):
        """Do what is due."""
        if now < self.next_at or self.state in ('ended', 'given up'):
            return
        if self.state == 'new':
            self.state, self.begun_at = 'opening', now
        if self.state == 'opening':
            self._send_first(now)
        elif self.state == 'idle':
            self._ask(now)
        elif self.state == 'asking':
            if now - self.asked_at > self.deadline:
                self.state = 'given up'
                self.log('unanswered', client=self.source[1], request=self.request)
                return
            self.send(packet.ACK, self.data)
            self.wait = min(MAX_RESEND_SECONDS, self.wait * 2)
            self.next_at = now + self.wait

    def _send_first(self, now):
        if self.copies == len(FIRST_PACKETS_SECONDS):
            self.state = 'given up'
            self.log('not opened', client=self.source[1])
            return
        raw = packet.encode(
            self.source, self.route, packet.SYN, self.first_seq, self.copies
        )
        self.through = self.deployment.forward(self, raw)
        self.copies += 1
        following = (*FIRST_PACKETS_SECONDS, OPENING_SECONDS)[self.copies]
        self.next_at = self.begun_at + following

    def _ask(self, now):
        self.requests += 1
        self.request = f'{self.source[1]}-{self.requests}'
        self.data = (
            f'GET /status HTTP/1.1\r\nHost: x\r\nX-Request-Id: {self.request}\r\n\r\n'
        ).encode()
        self.state, self.asked_at, self.wait = 'asking', now, RESEND_SECONDS
        self.send(packet.ACK, self.data)
        self.next_at = now + self.wait
        self.log('sent', client=self.source[1], request=self.request, through=self.through)

    def close(self):
        """Send a FIN."""
        if self.state in ('idle', 'asking'):
            self.send(packet.ACK | packet.FIN)
            self.seq = (self.seq + 1) % packet.RANGE
            self.state = 'ended'

    def receive(self, received, now):
        """Handle a packet."""
        if received.flags & packet.RST:
            self._on_reset(received)
        elif not received.is_genuine:
            self.log('forged', client=self.source[1])
        elif received.flags & packet.SYN:
            if self.state == 'opening':
                self.seq = (self.first_seq + 1) % packet.RANGE
                self.ack = (received.seq + 1) % packet.RANGE
                self.state, self.opened_at, self.next_at = 'idle', now, now
                self.log('opened', client=self.source[1], through=self.through)
        elif received.data and received.seq == self.ack:
            self._on_answer(received, now)
        elif received.data or received.flags & packet.FIN:
            if received.flags & packet.FIN and received.seq == self.ack:
                self.ack = (self.ack + 1) % packet.RANGE
            self.send(packet.ACK)

    def _on_answer(self, received, now):
        self.ack = (self.ack + len(received.data)) % packet.RANGE
        body = received.data.split(b'\r\n\r\n')[1].decode()
        self.server, request = body.split()
        if self.state == 'asking' and request == self.request:
            self.seq = (self.seq + len(self.data)) % packet.RANGE
            self.state = 'idle'
            self.next_at = now + random.uniform(*self.pause)
            self.log(
                'answered', client=self.source[1], request=request, server=self.server
            )
        if received.flags & packet.FIN:
            self.ack = (self.ack + 1) % packet.RANGE
            self.send(packet.ACK | packet.FIN)
            self.state = 'ended'
        else:
            self.send(packet.ACK)

    def _on_reset(self, received):
        is_open = self.state in ('idle', 'asking')
        is_taken = (
            not is_open or packet.distance(received.seq, self.ack) <= RESET_WINDOW
        )
        self.resets.append((time.time(), is_open and is_taken, received.is_genuine))
        self.log(
            'reset', client=self.source[1], server=self.server, open=is_open,
            taken=is_taken, from_backend=received.is_genuine, through=self.through,
        )
        if is_taken:
            self.state = 'ended'


class Deployment:
    """All processes of a run, the routers and the record of what clients saw."""

    def __init__(self, record_path):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.record_file = open(record_path, 'w', buffering=1, encoding='utf-8')
        self.started_at = time.monotonic()
        self.network = random.randrange(60, 250)
        self.ports = self._find_ports()
        self.roles = tomllib.loads((ROOT / 'deploy/system.toml').read_text('utf-8'))['roles']
        self.store_address = f'127.{self.network}.9.1:{self.ports["store"]}'
        self.route = (self.host(8, 1), 8443)
        self.machines = []
        self.backends = {}
        self.clients = {}
        self.sockets = {}
        self.timed = []
        self.version = 0
        self._probe_at = 0.0
        self._popens = []
        self._next_port = 2000

    def host(self, kind, number):
        """Return the address of a machine."""
        return f'127.{self.network}.{kind}.{number}'

    def _find_ports(self):
        """Return one free port for each purpose; they are the same on all machines."""
        names = ('data', 'outbound', 'app', 'ready', 'control', 'store', 'inner')
        while True:
            first = random.randrange(20000, 32000)
            try:
                for offset in range(8):
                    for kind in (socket.SOCK_DGRAM, socket.SOCK_STREAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(('0.0.0.0', first + offset))
            except OSError:
                continue
            ports = {name: first + offset for offset, name in enumerate(names)}
            return {**ports, 'inner_last': first + 7}

    def record(self, event, **fields):
        """Write an event into the record."""
        at = time.monotonic() - self.started_at
        words = ' '.join(f'{key}={value}' for key, value in fields.items())
        self.record_file.write(f'{at:9.3f} {event} {words}\n')

    def spawn(self, arguments, **options):
        """Start a stand-in."""
        popen = subprocess.Popen(['python3', *arguments], cwd=STANDINS, **options)
        self._popens.append(popen)
        return popen

    def start_store(self):
        """Start the store and wait until it answers."""
        host, port = self.store_address.split(':')
        self.spawn(['store.py', host, port])
        for _ in range(200):
            Ending.check()
            try:
                socket.create_connection((host, int(port)), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise SystemExit(2)

    def route_entry(self, name, address, service, timeout_ms=3500):
        """Return a route of the configuration."""
        return {
            'name': name, 'host': address[0], 'prefix': f'/{address[1]}/',
            'type': 'idempotent', 'timeout_ms': timeout_ms, 'target_latency_ms': 400,
            'priority': 1, 'service': service, 'max_attempts': 2,
        }

    def write_config(self, service, timeout_ms=3500, further=(), idle_ms=15000):
        """Have the operator write a version of the configuration.

        :param further: routes beside the one that callers use.
        :param idle_ms: the limit ``idle_timeout_ms``.
        :return: the time of the acknowledgement.
        """
        self.version += 3
        route = self.route_entry('r-1', self.route, service, timeout_ms)
        document = {
            'version': self.version,
            'routes': [route, *further],
            'services': [{'name': service, 'health_path': '/health',
                          'max_connections': 2000, 'protocol': 'h1', 'tls': False}],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': idle_ms},
        }
        value = base64.b64encode(json.dumps(document).encode()).decode()
        body = {'expected_rev': [], 'deletes': [],
                'puts': [{'key': 'op/config', 'value': value, 'lease': 0}]}
        host, port = self.store_address.split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=2)
        connection.request('POST', '/kv-txn', json.dumps(body), {'X-Operator': '1'})
        status = connection.getresponse().status
        connection.close()
        self.record(
            'config', version=self.version, status=status, bytes=len(value) * 3 // 4
        )
        return time.monotonic()

    def add_machine(self, role, number, zone, service='', link_mbps=None):
        """Start a machine's process.

        :param link_mbps: bandwidth of its link to the store, None for no limit.
        """
        kind = 1 if role == 'entry' else 2
        name = f'{"frontend" if role == "entry" else "side"}-{zone}-{number}'
        host = self.host(kind, number)
        options = {}
        if link_mbps is not None:
            own = (host, str(self.ports['store']))
            self.spawn(['link.py', *own, *self.store_address.split(':'), str(link_mbps)])
            options = {'link_mbps': link_mbps, 'store_address': ':'.join(own)}
        machine = Machine(self, role, name, host, zone, service, **options)
        self.machines.append(machine)
        machine.start()
        return machine

    def start_backend(
        self, name, machine, capacity=2, work_ms=(20, 60), offset_ms=0, cold_ms=0
    ):
        """Start a backend beside an agent."""
        settings = {
            'id': name, 'service': machine.service, 'zone': machine.zone,
            'app': f'{machine.host}:{self.ports["app"]}',
            'outbound': f'{machine.host}:{self.ports["outbound"]}',
            'control': f'{machine.host}:{self.ports["control"]}',
            'capacity': capacity, 'heartbeat_ms': HEARTBEAT_MS, 'work_ms': work_ms,
            'clock_offset_ms': offset_ms, 'cold_ms': cold_ms,
            'events': str(self.folder / f'{name}.events'),
        }
        popen = self.spawn(
            ['backend.py', json.dumps(settings)], stdin=subprocess.PIPE, text=True
        )
        popen.machine = machine
        self.backends[name] = popen
        self.record('backend started', backend=name, machine=machine.name)
        return popen

    def tell(self, name, command):
        """Give a backend a command."""
        self.backends[name].stdin.write(command + '\n')
        self.backends[name].stdin.flush()
        self.record('backend told', backend=name, command=command)

    def crash(self, name):
        """Kill a backend."""
        self.backends[name].kill()
        self.backends[name].wait()
        self.record('backend crashed', backend=name)

    def events(self, name):
        """Return the events of a backend."""
        path = self.folder / f'{name}.events'
        lines = path.read_text('utf-8').splitlines() if path.exists() else []
        return [json.loads(line) for line in lines]

    def add_client(self, zone, host_number=1, pause=(0.4, 0.9), deadline=3.46):
        """Open a flow from a client."""
        host = self.host(3, host_number)
        if host not in self.sockets:
            udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
            udp_socket.bind((host, self.ports['data']))
            self.sockets[host] = udp_socket
        self._next_port += 1
        client = Client(self, host, self._next_port, zone, pause, deadline)
        self.clients[client.source] = client
        return client

    def forward(self, client, raw):
        """Send a client's packet to the daemon that the router selects; return it."""
        entries = [m for m in self.machines if m.role == 'entry' and not m.is_removed]
        in_zone = [m for m in entries if m.zone == client.zone]
        chosen = [m for m in in_zone if m.is_ready]
        if 2 * len(chosen) < len(in_zone):
            chosen = in_zone
        if not any(m.is_ready for m in chosen):
            chosen = [m for m in entries if m.is_ready] or in_zone
        digest = zlib.crc32(repr((client.source, client.route)).encode())
        machine = client.machine or chosen[digest % len(chosen)]
        self.sockets[client.source[0]].sendto(raw, machine.data_address)
        return machine.name

    def step(self, seconds=0.01):
        """Do what is due, and handle the packets that arrive within a time."""
        Ending.check()
        now = time.monotonic()
        if now >= self._probe_at:
            self._probe_at = now + PROBE_SECONDS
            self._probe()
        self._supervise(now)
        for due in [entry for entry in self.timed if entry[0] <= now]:
            self.timed.remove(due)
            due[1]()
        for client in list(self.clients.values()):
            client.tick(now)
        readable, _, _ = select.select(list(self.sockets.values()), [], [], seconds)
        for udp_socket in readable:
            for _ in range(64):
                try:
                    raw = udp_socket.recv(2048, socket.MSG_DONTWAIT)
                except BlockingIOError:
                    break
                received = packet.decode(raw)
                client = self.clients.get(received.destination)
                if client is not None:
                    client.receive(received, time.monotonic())

    def run(self, seconds):
        """Go on for a time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.step()

    def later(self, seconds, action):
        """Do something after a time."""
        self.timed.append((time.monotonic() + seconds, action))

    def wait_ready(self, seconds=20):
        """Wait until all entries are in rotation."""
        end = time.monotonic() + seconds
        entries = [m for m in self.machines if m.role == 'entry']
        while not all(m.is_ready for m in entries):
            if time.monotonic() > end:
                self.record('entries are not ready')
                self.stop()
                raise SystemExit(2)
            self.step(0.05)

    def _probe(self):
        for machine in self.machines:
            if machine.role != 'entry':
                continue
            connection = http.client.HTTPConnection(*machine.ready_address, timeout=0.2)
            try:
                connection.request('GET', '/readiness')
                is_good = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                is_good = False
            connection.close()
            machine.misses = 0 if is_good else machine.misses + 1
            is_ready = is_good or (machine.is_ready and machine.misses < MISSES)
            if is_ready != machine.is_ready:
                self.record('rotation', machine=machine.name, ready=is_ready)
            machine.is_ready = is_ready

    def _supervise(self, now):
        """Start ended processes again."""
        for machine in self.machines:
            if machine.is_removed or machine.popen.poll() is None:
                continue
            if machine.restart_at is None:
                self.record(
                    'process ended', machine=machine.name, code=machine.popen.returncode,
                    stopped=machine.stopping,
                )
                machine.restart_at = now + RESTART_SECONDS
            elif now >= machine.restart_at:
                machine.start()
                machine.restarts += 1
                self.record('process started', machine=machine.name)

    def terminate(self, machine):
        """Send SIGTERM to a machine's process, for a restart."""
        self.record('SIGTERM', machine=machine.name)
        machine.terminate()

    def record_events(self):
        """Write what the backends opened and ran into the record."""
        lines = [event for name in self.backends for event in self.events(name)]
        begun = time.time() - (time.monotonic() - self.started_at)
        for event in sorted(lines, key=lambda event: event['t']):
            at = event.pop('t') - begun
            name = event.pop('event')
            words = ' '.join(f'{key}={value}' for key, value in event.items())
            self.record_file.write(f'{at:9.3f} at backend: {name} {words}\n')

    def stop(self):
        """End every process that was started."""
        for popen in [*(m.popen for m in self.machines), *self._popens]:
            if popen.poll() is None:
                if popen.stdin:
                    popen.stdin.close()
                popen.send_signal(signal.SIGKILL)
            popen.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
