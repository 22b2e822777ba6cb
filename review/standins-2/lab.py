"""A small deployment on loopback addresses: processes, store, backends and clients.

The daemons are started with the commands and the templates of the deploy file. Clients,
backends, routers and the store are stand-ins in the process of the test, which follow
the pages.
"""

import contextlib
import heapq
import http.client
import itertools
import json
import os
import pathlib
import random
import re
import selectors
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

import packets
import store as stores

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEARTBEAT_MS = 1200
BOUNDS = {
    'seed_lag_s': 3, 'addr_reuse_s': 2, 'stable_window_ms': 4000, 'ack_ms': 5000,
    'catch_up_s': 4, 'drain_ms': 3000, 'grace_period_s': 6, 'loss_slack_ms': 200,
    'config_apply_ms': 3000, 'rollback_slack_ms': 250, 'max_stretch_ms': 12000,
    'recovery_s': 12, 'flow_skew_ms': 2000, 'max_flow_s': 60,
}
IDLE_TIMEOUT_MS = 15000
MODULUS = 2**32
RESEND_SECONDS, MAX_RESEND_SECONDS, MAX_RESENDS = 0.2, 1.6, 8
COPY_SECONDS, OPENING_SECONDS = (0.2, 0.6), 1.4
WINDOW = 16
ACKNOWLEDGED_PACKETS = 2
ACCEPTED_RESET_DISTANCE = 76_800
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
MAX_SECONDS = 110  # after which a script ends all that it started, and itself


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start.

    :param path: file to write to.
    """

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        with self._lock:
            seconds = time.monotonic() - self._started_at
            if self._file.closed:
                return
            self._file.write(f'{seconds:8.3f} {text}\n')
            self._file.flush()

    def close(self):
        """Close the file; later lines are dropped."""
        with self._lock:
            self._file.close()


class Loop:
    """Sockets and timers of all stand-ins, in one thread."""

    def __init__(self):
        self.lock = threading.RLock()
        self._selector = selectors.DefaultSelector()
        self._timers = []
        self._numbers = itertools.count()
        self._is_running = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def bind(self, address, receive):
        """Return a bound UDP socket whose datagrams go to a function."""
        sock = socket.socket(type=socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_000_000)
        sock.bind(address)
        sock.setblocking(False)
        with self.lock:
            self._selector.register(sock, selectors.EVENT_READ, receive)
        return sock

    def unbind(self, sock):
        """Close a socket."""
        with self.lock:
            self._selector.unregister(sock)
            sock.close()

    def later(self, seconds, call):
        """Call a function after a time."""
        with self.lock:
            due_at = time.monotonic() + seconds
            heapq.heappush(self._timers, (due_at, next(self._numbers), call))

    def stop(self):
        """End the thread."""
        self._is_running = False
        self._thread.join()

    def _run(self):
        while self._is_running:
            for key, _ in self._selector.select(0.002):
                with self.lock:
                    self._receive(key)
            with self.lock:
                now = time.monotonic()
                while self._timers and self._timers[0][0] <= now:
                    heapq.heappop(self._timers)[2]()

    def _receive(self, key):
        while True:
            try:
                raw = key.fileobj.recv(65_535)
            except (BlockingIOError, OSError):
                return
            key.data(raw)


class End:
    """One end of a flow that both sides have opened: data, acknowledgements, FIN.

    :param send: sends flags, sequence, acknowledgement and data.
    :param loop: the loop.
    :param seq: next sequence number to send.
    :param ack: next sequence number that is expected.
    :param on_data: called with the bytes that have arrived in order.
    :param on_fin: called when the other side has closed.
    """

    def __init__(self, send, loop, seq, ack, on_data, on_fin, has_limit):
        self.send, self.loop = send, loop
        self.seq, self.ack = seq, ack
        self.on_data, self.on_fin = on_data, on_fin
        self.has_limit = has_limit
        self.queue, self.flight = [], {}
        self.early = {}
        self.unacknowledged = 0
        self.has_sent_fin = self.has_received_fin = self.is_over = False

    def write(self, data, *, is_last=False):
        """Send data, and close this side after it if it is the last."""
        if self.has_sent_fin or self.is_over:
            return
        size = packets.MAX_DATA_BYTES
        parts = [data[at: at + size] for at in range(0, len(data), size)]
        for number, part in enumerate(parts):
            is_end = is_last and number == len(parts) - 1
            self.queue.append((part, is_end))
        if is_last and not parts:
            self.queue.append((b'', True))
        self._fill()

    def receive(self, packet):
        """Handle a packet of the other side; return whether it held anything."""
        self._acknowledge(packet.ack)
        is_fin = bool(packet.flags & packets.FIN)
        if not packet.data and not is_fin:
            return
        offset = (packet.seq - self.ack) % MODULUS
        if offset < MODULUS // 2:
            self.early[packet.seq] = (packet.data, is_fin)
        self.unacknowledged += 1
        is_due = self.unacknowledged >= ACKNOWLEDGED_PACKETS or offset != 0 or is_fin
        arrived = b''
        while self.ack in self.early and not self.has_received_fin:
            data, is_end = self.early.pop(self.ack)
            self.ack = (self.ack + len(data) + is_end) % MODULUS
            arrived += data
            self.has_received_fin = self.has_received_fin or is_end
        if is_due:
            self.send(packets.ACK, self.seq, self.ack, b'')
        if arrived:
            self.on_data(arrived)
        if is_fin and self.has_received_fin:
            self.on_fin()

    def close(self):
        """Send nothing any more."""
        self.is_over = True
        self.queue, self.flight = [], {}

    def _fill(self):
        while self.queue and len(self.flight) < WINDOW:
            data, is_fin = self.queue.pop(0)
            seq = self.seq
            self.seq = (seq + len(data) + is_fin) % MODULUS
            self.flight[seq] = (data, is_fin)
            self.has_sent_fin = self.has_sent_fin or is_fin
            self._transmit(seq)
            self._resend_later(seq, RESEND_SECONDS, 0)

    def _transmit(self, seq):
        self.unacknowledged = 0
        data, is_fin = self.flight[seq]
        flags = packets.ACK | (packets.FIN if is_fin else 0)
        self.send(flags, seq, self.ack, data)

    def _resend_later(self, seq, seconds, count):
        def resend():
            if self.is_over or seq not in self.flight:
                return
            if self.has_limit and count >= MAX_RESENDS:
                self.close()
                return
            self._transmit(seq)
            self._resend_later(seq, min(seconds * 2, MAX_RESEND_SECONDS), count + 1)

        self.loop.later(seconds, resend)

    def _acknowledge(self, ack):
        for seq, (data, is_fin) in list(self.flight.items()):
            end = (seq + len(data) + is_fin) % MODULUS
            if (ack - end) % MODULUS < MODULUS // 2:
                self.flight.pop(seq)
        self._fill()


class ServerFlow:
    """A flow at a backend, half open until the client has acknowledged it."""

    def __init__(self, seq, client_seq):
        self.seq, self.client_seq = seq, client_seq
        self.end = None
        self.opened_at = self.ended_at = None
        self.pending = 0
        self.received = b''


class Backend:
    """A backend: accepts flows, answers requests, sends heartbeats.

    :param lab: the lab.
    :param machine: its ``side`` machine.
    :param name: its id.
    :param work_seconds: time that a request takes.
    :param response_bytes: size of the body of a response.
    :param is_cut_off: whether its heartbeats are held up on their way.
    :param first_sequence: number of its first heartbeat.
    :param cold_seconds: how long it is slow after its start, as it states.
    :param clock_ahead: seconds by which its machine's clock is ahead when it starts.
    """

    def __init__(self, lab, machine, name, *, work_seconds=0.03, response_bytes=1000,
                 is_cut_off=False, first_sequence=1, cold_seconds=0.0, clock_ahead=0.0):
        self.lab, self.machine, self.name = lab, machine, name
        self.born = int((time.time() + clock_ahead) * 1000)
        self.cold_until = time.monotonic() + cold_seconds
        self.work_seconds = work_seconds
        self.response_bytes = response_bytes
        self.sequence = first_sequence - 1
        self.held_up = [] if is_cut_off else None
        self.state = 'ready'
        self.flow_by_key = {}
        self.resets_sent = set()
        self.is_alive = True
        self.acknowledged_at = self.drain_acknowledged_at = None
        self.runs = []
        self.socket = lab.loop.bind((machine.ip, lab.ports['app']), self._receive)
        lab.record(f'backend {name} starts beside {machine.name}, born {self.born}')
        threading.Thread(target=self._beat, daemon=True).start()

    def drain(self):
        """Report that the backend leaves."""
        self.state = 'draining'
        self.lab.record(f'backend {self.name} drains')
        threading.Thread(target=self._send_heartbeat, daemon=True).start()

    def crash(self):
        """End without a word; all flows are gone."""
        self.is_alive = False
        self.lab.record(f'backend {self.name} crashes with {len(self.flow_by_key)} flows')
        with self.lab.loop.lock:
            for flow in self.flow_by_key.values():
                if flow.end is not None:
                    flow.end.close()
            self.flow_by_key.clear()
        self.lab.loop.unbind(self.socket)

    def heartbeat(self):
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            'service': self.machine.service,
            'address': f'{self.machine.ip}:{self.lab.ports["app"]}',
            'zone': self.machine.zone, 'version': 'v1', 'capacity': 2,
            'state': self.state, 'sequence': self.sequence, 'born': self.born,
            'cold_remaining_ms': max(0, round((self.cold_until - time.monotonic()) * 1000)),
        }

    def _beat(self):
        due_at = time.monotonic()
        while self.is_alive:
            time.sleep(max(0.0, due_at - time.monotonic()))
            due_at += HEARTBEAT_MS / 1000
            if self.is_alive:
                self._send_heartbeat()

    def _send_heartbeat(self):
        body = self.heartbeat()
        if self.held_up is not None:
            self.held_up.append(body)
            self.lab.record(f'a partition holds up heartbeat {body["sequence"]} of {self.name}')
            return
        status = self.lab.call(
            self.machine, 'control', 'PUT', f'/instances/{self.name}', body
        )
        if status == 200:
            self.acknowledged_at = time.monotonic()
        if body['state'] == 'draining' and status == 200:
            self.drain_acknowledged_at = self.drain_acknowledged_at or time.monotonic()
        self.lab.record(
            f'heartbeat {body["sequence"]} of {self.name} ({body["state"]}, born '
            f'{body["born"]}) to {self.machine.name}: {status}'
        )

    def _receive(self, raw):
        packet = packets.Packet(raw)
        if not packet.is_genuine():
            self.lab.violation('UNASKED', f'{self.name} gets {packet.describe()}')
            return
        key = (packet.src, packet.dst)
        flow = self.flow_by_key.get(key)
        if packet.flags & packets.SYN:
            if flow is None or flow.client_seq != packet.seq:
                flow = ServerFlow(self.lab.draw.getrandbits(32), packet.seq)
                self.flow_by_key[key] = flow
            if flow.end is None:
                self._send(key, packets.SYN | packets.ACK, flow.seq, packet.seq + 1)
            return
        if flow is not None and flow.end is None:
            if (packet.ack - flow.seq) % MODULUS > 1:
                flow = None
            else:
                self._open(key, flow)
        if flow is None:
            self.lab.record(f'{self.name} bounces {packet.describe()}')
            self._raw(packets.bounce(raw))
            return
        if packet.flags & packets.RST:
            flow.end.close()
            flow.ended_at = time.monotonic()
            return
        is_after_fin = packet.data and flow.end.has_sent_fin and not flow.end.flight
        if is_after_fin and (packet.seq - flow.end.ack) % MODULUS < MODULUS // 2:
            self.resets_sent.add(key)
            self._send(key, packets.RST, flow.end.seq, flow.end.ack)
            return
        flow.end.receive(packet)

    def _open(self, key, flow):
        flow.opened_at = time.monotonic()
        self.lab.record(f'flow {key[0][0]}:{key[0][1]} opens at {self.name}')

        def on_data(data):
            flow.received += data
            while b'\r\n\r\n' in flow.received:
                head, _, flow.received = flow.received.partition(b'\r\n\r\n')
                self._run(key, flow, head.decode())

        def on_fin():
            if not flow.pending:
                flow.end.write(b'', is_last=True)
            flow.ended_at = time.monotonic()

        flow.end = End(
            lambda flags, seq, ack, data: self._send(key, flags, seq, ack, data),
            self.lab.loop, (flow.seq + 1) % MODULUS, (flow.client_seq + 1) % MODULUS,
            on_data, on_fin, has_limit=True,
        )

    def _run(self, key, flow, head):
        request_id = re.search('X-Request-Id: (.*)', head)[1].strip()
        self.runs.append(request_id)
        self.lab.record(f'{self.name} runs request {request_id}')
        body = b'%s by %s ' % (request_id.encode(), self.name.encode())
        body = body.ljust(self.response_bytes, b'.')
        flow.pending += 1

        def answer():
            flow.pending -= 1
            if not self.is_alive or flow.end.is_over:
                return
            is_last = self.state == 'draining' or flow.end.has_received_fin
            closing = 'Connection: close\r\n' if is_last else ''
            head = (
                f'HTTP/1.1 200 OK\r\nX-Response-Seal: {request_id}\r\n{closing}'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            self.lab.record(f'{self.name} answers {request_id}, closes: {is_last}')
            flow.end.write(head.encode() + body, is_last=is_last)

        self.lab.loop.later(self.work_seconds, answer)

    def _send(self, key, flags, seq, ack, data=b''):
        client, route = key
        self._raw(packets.encode(route, client, flags, seq % MODULUS, ack % MODULUS, data))

    def _raw(self, raw):
        if self.is_alive:
            with contextlib.suppress(OSError):
                self.socket.sendto(raw, (self.machine.ip, self.lab.ports['outbound']))


class ClientFlow:
    """A flow of a client, and what became of it."""

    def __init__(self, clients, port):
        self.clients, self.port = clients, port
        self.seq = clients.lab.draw.getrandbits(32)
        self.end = None
        self.state = 'opening'
        self.last_ack = 0
        self.received = b''
        self.responses = []
        self.resets = []
        self.requests = 0

    @property
    def address(self):
        """Return the client's end of the flow."""
        return (self.clients.ip, self.port)

    def request(self):
        """Send a request; return its id."""
        self.requests += 1
        request_id = f'r-{self.port}-{self.requests}'
        head = f'GET /slots HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n\r\n'
        self.clients.lab.record(f'client sends {request_id} on {self.address}')
        with self.clients.lab.loop.lock:
            self.end.write(head.encode())
        return request_id

    def close(self):
        """Close the client's side."""
        self.clients.lab.record(f'client closes its side of {self.address}')
        with self.clients.lab.loop.lock:
            self.end.write(b'', is_last=True)


class Clients:
    """Clients at one address.

    :param lab: the lab.
    :param ip: their address.
    :param choose_entry: returns the machine that a packet of a flow is routed to.
    """

    def __init__(self, lab, ip, choose_entry):
        self.lab, self.ip, self.choose_entry = lab, ip, choose_entry
        self.flow_by_port = {}
        self._ports = itertools.count(40_001)
        self.socket = lab.loop.bind((ip, lab.ports['datagram_addr']), self._receive)

    def open(self):
        """Begin to open a flow."""
        with self.lab.loop.lock:
            flow = ClientFlow(self, next(self._ports))
            self.flow_by_port[flow.port] = flow
            self._send_first(flow, 0)
            for copy, seconds in enumerate(COPY_SECONDS, 1):
                self.lab.loop.later(seconds, lambda copy=copy: self._send_first(flow, copy))
            self.lab.loop.later(OPENING_SECONDS, lambda: self._give_up(flow))
        return flow

    def _give_up(self, flow):
        if flow.state == 'opening':
            flow.state = 'not opened'

    def _send_first(self, flow, copy):
        if flow.state == 'opening':
            self.send(flow, packets.SYN, flow.seq, copy)

    def send(self, flow, flags, seq, ack, data=b''):
        """Send a packet through the entry that the router chooses."""
        raw = packets.encode(flow.address, self.lab.route, flags, seq, ack, data)
        if not flags & packets.SYN:
            flow.last_ack = ack
        entry = self.choose_entry(flow)
        if entry is not None:
            with contextlib.suppress(OSError):
                self.socket.sendto(raw, (entry.ip, self.lab.ports['datagram_addr']))

    def _receive(self, raw):
        packet = packets.Packet(raw)
        flow = self.flow_by_port.get(packet.dst[1])
        if packet.flags & packets.RST and packet.sum == 0:
            self._on_reset(flow, packet)
            return
        if not packet.is_genuine() or flow is None:
            self.lab.violation('MIXED', f'a client gets {packet.describe()}')
            return
        if packet.flags & packets.RST:
            self.lab.record(f'client gets the backend\'s {packet.describe()}')
            self._end(flow, 'reset by the backend')
        elif packet.flags & packets.SYN:
            self._on_accepted(flow, packet)
        elif flow.end is not None and flow.state == 'open':
            flow.end.receive(packet)

    def _on_accepted(self, flow, packet):
        if flow.state != 'opening':
            return
        flow.state = 'open'
        self.lab.record(f'client opens {flow.address}')

        def on_data(data):
            flow.received += data
            while self._take_response(flow):
                pass

        flow.end = End(
            lambda flags, seq, ack, data: self.send(flow, flags, seq, ack, data),
            self.lab.loop, (flow.seq + 1) % MODULUS, (packet.seq + 1) % MODULUS,
            on_data, lambda: self.lab.record(f'backend has closed its side of {flow.address}'),
            has_limit=False,
        )
        self.send(flow, packets.ACK, flow.end.seq, flow.end.ack)

    def _take_response(self, flow):
        head, mark, rest = flow.received.partition(b'\r\n\r\n')
        if not mark:
            return False
        length = int(re.search(rb'Content-Length: (\d+)', head)[1])
        if len(rest) < length:
            return False
        seal = re.search(rb'X-Response-Seal: (\S+)', head)[1].decode()
        flow.received = rest[length:]
        flow.responses.append(seal)
        self.lab.record(f'client has the whole response to {seal}')
        return True

    def _on_reset(self, flow, packet):
        if flow is None:
            return
        distance = (packet.seq - flow.last_ack) % MODULUS
        distance = min(distance, MODULUS - distance)
        is_valid = flow.state != 'open' or distance <= ACCEPTED_RESET_DISTANCE
        self.lab.record(
            f'client gets a reset of the system: {packet.describe()}, flow is '
            f'{flow.state}, near the last acknowledgement: {is_valid}'
        )
        if is_valid:
            flow.resets.append((time.monotonic(), flow.state))
            self._end(flow, 'reset by the system')

    def _end(self, flow, state):
        flow.state = state
        if flow.end is not None:
            flow.end.close()


class Machine:
    """A machine of the deployment with one process of the system."""

    def __init__(self, lab, name, role, ip, zone, service=''):
        self.lab, self.name, self.role, self.ip = lab, name, role, ip
        self.zone, self.service = zone, service
        self.popen = None
        self.is_in_rotation = False
        self.misses = 0

    def start(self):
        """Start the process of the role."""
        lab = self.lab
        path = lab.folder / f'{self.name}.settings'
        template = (ROOT / lab.roles[self.role]['template']).read_text('utf-8')
        path.write_text(render(template, lab.settings_of(self)), 'utf-8')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['EGRETJUNCTION_NODE_FILE'] = str(path)
        log = open(lab.folder / f'{self.name}.log', 'ab')
        self.popen = subprocess.Popen(
            lab.roles[self.role]['run'].split(), cwd=ROOT, env=environment,
            stdout=log, stderr=log,
        )
        log.close()
        lab.record(f'{self.name} is started')

    def is_ready(self):
        """Tell whether the process answers the routers' check with 200."""
        return self.lab.call(self, 'ready', 'GET', '/readiness') == 200

    def stop(self):
        """Stop the process as planned and wait for its end."""
        self.lab.record(f'{self.name} gets SIGTERM')
        self.popen.send_signal(signal.SIGTERM)
        try:
            self.popen.wait(BOUNDS['grace_period_s'])
        except subprocess.TimeoutExpired:
            self.popen.kill()
            self.popen.wait()
        self.lab.record(f'{self.name} has ended')

    def kill(self):
        """Kill the process."""
        self.popen.kill()
        self.popen.wait()
        self.lab.record(f'{self.name} is killed')

    def events(self, name):
        """Return the log lines of an event."""
        log = (self.lab.folder / f'{self.name}.log').read_text('utf-8', 'replace')
        return [line for line in log.splitlines() if f'event={name} ' in line]


class Lab:
    """A small deployment.

    :param folder: folder of the case, for ``record.txt``.
    :param side_services: service of each ``side`` machine.
    :param entry_count: number of ``frontend`` machines.
    """

    def __init__(self, folder, side_services=('bookings',), entry_count=2):
        self.record = Record(pathlib.Path(folder) / 'record.txt')
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.draw = random.Random()
        self.violations = []
        self.loop = Loop()
        with open(ROOT / 'deploy' / 'system.toml', 'rb') as deploy_file:
            self.roles = tomllib.load(deploy_file)['roles']
        network = 20 + os.getpid() % 200
        self.entries = [
            Machine(self, f'frontend-a-{n}', 'entry', f'127.{network}.1.{n}', 'zone-a')
            for n in range(1, entry_count + 1)
        ]
        self.sides = [
            Machine(self, f'side-a-{n}', 'agent', f'127.{network}.2.{n}', 'zone-a', service)
            for n, service in enumerate(side_services, 1)
        ]
        self.client_ip = f'127.{network}.3.1'
        self.store_ip = f'127.{network}.4.1'
        self.route = (f'127.{network}.5.1', 443)
        machines = [*self.entries, *self.sides]
        ips = [*(machine.ip for machine in machines), self.client_ip, self.store_ip]
        self.ports = free_ports(
            ips, ('datagram_addr', 'outbound', 'ready', 'control', 'app', 'first', 'last', 'store')
        )
        self.store = stores.Store((self.store_ip, self.ports['store']))
        self._version = 0
        self._is_over = False
        self._pinned = None

    def settings_of(self, machine):
        """Return the fields that the platform fills the template with."""
        listen = ['datagram_addr', 'ready', 'control']
        if machine.role == 'agent':
            listen.append('outbound')
        return {
            'node_name': machine.name, 'role': machine.role, 'ip': machine.ip,
            'machine_class': 'side' if machine.role == 'agent' else 'frontend',
            'zone': machine.zone, 'region': 'region', 'heartbeat_ms': HEARTBEAT_MS,
            'internal_port_range': [self.ports['first'], self.ports['last']],
            'listen_addrs': {name: f'{machine.ip}:{self.ports[name]}' for name in listen},
            'app': f'{machine.ip}:{self.ports["app"]}', 'service': machine.service,
            'contract_bounds': self.bounds(), 'limits': {'link_mbps': 1000.0},
            'platform': {'address': f'{self.store_ip}:{self.ports["store"]}'},
        }

    def bounds(self):
        """Return the figures of the contracts."""
        return BOUNDS

    def configure(self, services=('bookings',)):
        """Write the next version of the configuration as the operator does."""
        self._version += self.draw.randint(1, 4)
        routes = [
            {
                'name': f'r-{service}', 'host': self.route[0],
                'prefix': f'/{self.route[1] + number}/', 'type': 'idempotent',
                'timeout_ms': 10_000, 'target_latency_ms': 200, 'priority': 2,
                'service': service, 'max_attempts': 2,
            }
            for number, service in enumerate(services)
        ]
        document = {
            'version': self._version, 'routes': routes,
            'services': [
                {'name': service, 'health_path': '/health', 'max_connections': 2000,
                 'protocol': 'h1', 'tls': False}
                for service in services
            ],
            'limits': {'max_header_bytes': 16_384, 'max_body_bytes': 262_144,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': IDLE_TIMEOUT_MS},
        }
        self.store.put('op/config', document)
        self.record(f'configuration version {self._version} is acknowledged')

    def start(self):
        """Start all processes, then the routers, and wait until entries are ready."""
        self.configure()
        for machine in (*self.sides, *self.entries):
            machine.start()
        threading.Thread(target=self._check_readiness, daemon=True).start()

    def await_ready(self, seconds=20):
        """Wait until all entries are in rotation."""
        self.wait_for(
            lambda: all(entry.is_in_rotation for entry in self.entries), seconds,
            'the entries are not ready',
        )

    def wait_for(self, condition, seconds, problem):
        """Wait for a condition.

        :raises CannotRunError: with the problem, when it does not come about.
        """
        deadline = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRunError(problem)
            time.sleep(0.01)

    def route_packet(self, flow):
        """Return the entry that the routers send a flow's packets to."""
        ready = [entry for entry in self.entries if entry.is_in_rotation] or self.entries
        return ready[hash(flow.address) % len(ready)]

    def call(self, machine, port, method, path, body=None, timeout=1.0):
        """Make an HTTP call to a daemon; return the status, 0 without an answer."""
        return self.call_address((machine.ip, self.ports[port]), method, path, body, timeout)

    def call_address(self, address, method, path, body=None, timeout=1.0):
        """Make an HTTP call to an address; return the status, 0 without an answer."""
        connection = http.client.HTTPConnection(*address, timeout=timeout)
        headers = {'Content-Type': 'application/json'} if body is not None else {}
        try:
            connection.request(
                method, path, json.dumps(body) if body is not None else None, headers
            )
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()
        return response.status

    def violation(self, rule, text):
        """Record that a rule is broken."""
        self.violations.append(rule)
        self.record(f'BROKEN {rule}: {text}')

    def check_flow(self, flow, backend):
        """Check rule FLOW (a) for a flow that was open at a backend."""
        key = (flow.address, self.route)
        at_server = backend.flow_by_key.get(key)
        is_open = at_server is not None and at_server.opened_at is not None
        for reset_at, state in flow.resets:
            if state == 'open' and is_open and backend.is_alive:
                age = reset_at - at_server.opened_at
                self.violation(
                    'FLOW',
                    f'{flow.address}, open at {backend.name} for {age:.1f} s, was reset '
                    f'by the system; the backend lives and sent no reset',
                )

    def close(self):
        """End all that was started."""
        self._is_over = True
        for machine in (*self.entries, *self.sides):
            if machine.popen is not None and machine.popen.poll() is None:
                machine.popen.kill()
                machine.popen.wait()
        self.loop.stop()
        self.store.close()
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def keep_logs(self, path):
        """Append the lines of the daemons' logs to a file, for a reader."""
        with open(path, 'a', encoding='utf-8') as target:
            for machine in (*self.entries, *self.sides):
                log = self.folder / f'{machine.name}.log'
                if log.exists():
                    target.write(log.read_text('utf-8', 'replace'))

    def _check_readiness(self):
        while not self._is_over:
            for entry in self.entries:
                if entry.is_ready():
                    if not entry.is_in_rotation:
                        self.record(f'{entry.name} is in rotation')
                    entry.misses, entry.is_in_rotation = 0, True
                    continue
                entry.misses += 1
                if entry.misses >= 2 and entry.is_in_rotation:
                    entry.is_in_rotation = False
                    self.record(f'{entry.name} is out of rotation')
            time.sleep(0.5)


def free_ports(ips, names):
    """Return a port for each name that is free at all addresses, for TCP and UDP."""
    port_by_name = {}
    candidates = iter(random.sample(range(20_000, 32_000), 2_000))
    for name in names:
        port_by_name[name] = next(
            port for port in candidates if all(_is_free(ip, port) for ip in ips)
        )
    return port_by_name


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def render(template, fields):
    """Fill a template from fields, as far as the project's templates need it."""

    def value(name):
        current = fields
        for part in name.split('.'):
            if isinstance(current, list):
                current = current[int(part)]
            else:
                current = current.get(part) if isinstance(current, dict) else None
        return current

    def section(match):
        return match[2] if value(match[1]) else ''

    text = re.sub(r'\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}', section, template, flags=re.DOTALL)

    def placeholder(match):
        found = value(match[1])
        return '' if found is None else str(found)

    return re.sub(r'\{\{([^}#/^]+)\}\}', placeholder, text)


def has_trouble():
    """Tell whether the disruption of the case is brought about."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(folder, play, **options):
    """Play a case and exit with its result.

    :param folder: folder of the case.
    :param play: plays the case in a lab.
    :param options: passed on to the lab.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, _stop)
    signal.alarm(MAX_SECONDS)
    lab = None
    code = EXIT_NOT_RUN
    try:
        lab = Lab(folder, **options)
        play(lab)
        code = EXIT_BROKEN if lab.violations else EXIT_HELD
    except Exception as error:  # whatever keeps the case from running breaks no rule
        sys.stderr.write(f'could not run: {error!r}\n')
        if lab is not None:
            lab.record(f'could not run: {error!r}')
    finally:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
            signal.signal(number, signal.SIG_IGN)
        if lab is not None:
            lab.record(f'result: {code}, broken: {sorted(set(lab.violations))}')
            if os.environ.get('KEEP_LOGS'):
                lab.keep_logs(os.environ['KEEP_LOGS'])
            lab.close()
    sys.exit(code)


def _stop(number, _frame):
    raise CannotRunError(f'ended by signal {number}')
