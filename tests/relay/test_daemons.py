"""Entry and agent as processes: store, backend server and client are stand-ins."""

import contextlib
import http.client
import http.server
import json
import pathlib
import socket
import struct
import subprocess
import sys
import threading
import time

import flow_packets
import pytest

from egretjunction import addresses
from egretjunction.wire import relaying
from tests.platform import store_standin

ROOT = pathlib.Path(__file__).parent.parent.parent
SERVICE = 'huvo11a'
ROUTE = addresses.Address('198.18.0.1', 443)
ENTRY_HOST = '127.0.10.1'
AGENT_HOST = '127.0.10.2'
CLIENT_HOST = '127.0.10.9'
SYN = 8
ACK = 2
RST = 64
WAIT_SECONDS = 10


def _free_port():
    with socket.create_server(('127.0.0.1', 0)) as opened:
        return opened.getsockname()[1]


class _System:
    """One entry, one agent, and what is around them."""

    def __init__(self, folder, store_address):
        self.folder = folder
        self.store = store_address
        self.port = _free_port()
        self.http = _free_port()
        self.inner = _free_port()
        self.app = self._udp((AGENT_HOST, _free_port()))
        self.client = self._udp((CLIENT_HOST, self.port))
        self.processes = {}

    def _udp(self, address):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        opened.bind(address)
        opened.settimeout(WAIT_SECONDS)
        return opened

    def start(self, role):
        """Start a role as on the operators' platform."""
        host = ENTRY_HOST if role == 'entry' else AGENT_HOST
        lines = [f'[relay-{role}]', f'name = {role}-1', 'domain = a']
        lines += [f'ready = {host}:{self.http}', f'metrics = {host}:{self.inner + 1}']
        lines += [f'platform = {self.store}']
        if role == 'entry':
            lines += [f'clients = {host}:{self.port}', f'agents = {host}:{self.inner}']
        else:
            lines += [f'service = {SERVICE}', f'entries = {host}:{self.port}']
            lines += [f'outbound = {host}:{self.inner}', 'heartbeat_ms = 500']
            lines += ['backend = {}:{}'.format(*self.app.getsockname())]
            lines += [f'announcements = {host}:{self.http + 1}']
        path = self.folder / f'{role}.ini'
        path.write_text('\n'.join(lines), 'utf-8')
        with (self.folder / f'{role}.log').open('ab') as log:
            self.processes[role] = subprocess.Popen(
                [sys.executable, str(ROOT / 'platform' / '__main__.py'), role],
                env={'EGRETJUNCTION_NODE_FILE': str(path)},
                stdout=log,
                stderr=log,
            )

    def get(self, role, path, port=None):
        """Return status and body of a call to a daemon."""
        host = ENTRY_HOST if role == 'entry' else AGENT_HOST
        opened = http.client.HTTPConnection(host, port or self.inner + 1, timeout=1)
        with contextlib.closing(opened):
            opened.request('GET', path)
            answer = opened.getresponse()
            return answer.status, answer.read()

    def announce(self, sequence, state='ready'):
        """Send a heartbeat of the backend server; return the status."""
        body = {'service': SERVICE, 'capacity': 2, 'state': state, 'born': 1000}
        opened = http.client.HTTPConnection(AGENT_HOST, self.http + 1, timeout=1)
        with contextlib.closing(opened):
            opened.request(
                'PUT', '/instances/i-1', json.dumps({**body, 'sequence': sequence})
            )
            return opened.getresponse().status

    def log(self, role):
        """Return what a daemon has logged."""
        return (self.folder / f'{role}.log').read_text('utf-8')

    def send(self, port, flags, sequence, acknowledged=0, body=b''):
        """Send a client's packet to the entry."""
        raw = _packet((CLIENT_HOST, port), ROUTE, flags, sequence, acknowledged, body)
        self.client.sendto(raw, (ENTRY_HOST, self.port))
        return raw

    def answer(self, port, flags, sequence, body=b''):
        """Send a backend server's packet to its agent."""
        raw = _packet(ROUTE, (CLIENT_HOST, port), flags, sequence, 0, body)
        self.app.sendto(raw, (AGENT_HOST, self.inner))
        return raw

    def open(self, port):
        """Open a flow from a client's port."""
        sent = self.send(port, SYN, 100)
        received = self.app.recv(2048)
        assert received[8:] == sent[8:]
        accepted = self.answer(port, SYN | ACK, 500)
        assert self.client.recv(2048) == accepted

    def ping_agent(self, version):
        """Tell the agent of a version, as another entry does."""
        ping = relaying.encode(relaying.Ping(version))
        self.client.sendto(ping, (AGENT_HOST, self.port))
        self.client.recv(2048)

    def close(self):
        """End every process that was started."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.app.close()
        self.client.close()


def _packet(source, target, flags, sequence, acknowledged, body):
    return (
        flow_packets._HEAD.pack(
            7,
            0,
            socket.inet_aton(source[0]),
            source[1],
            socket.inet_aton(target[0]),
            target[1],
            len(body),
            flags,
            bytes(5),
            sequence,
            acknowledged,
        )
        + body
    )


@contextlib.contextmanager
def _peer(document):
    """Yield the address of an entry that serves a configuration, and its calls."""
    calls = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def log_message(self, *_):
            """Keep quiet."""

        def do_GET(self):
            calls.append(self.path)
            self.send_response(200)
            self.send_header('Content-Length', str(len(document)))
            self.end_headers()
            self.wfile.write(document)

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    yield '{}:{}'.format(*server.server_address), calls
    server.shutdown()
    thread.join()
    server.server_close()


def _until(check):
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if check():
                return
        time.sleep(0.02)
    pytest.fail('not reached in time')


def _configuration(version, *services):
    routes = [
        {
            'name': 'r',
            'host': ROUTE.host,
            'prefix': f'/{ROUTE.port}/',
            'service': name,
        }
        for name in services
    ]
    return json.dumps({'version': version, 'routes': routes}).encode()


@pytest.fixture
def running(tmp_path):
    with store_standin.running() as (state, address):
        state.write({'op/config': _configuration(3, SERVICE)}, [])
        system = _System(tmp_path, address)
        with contextlib.closing(system):
            system.start('agent')
            system.start('entry')
            _until(lambda: system.announce(1) == 200)
            _until(lambda: system.get('entry', '/readiness', system.http)[0] == 200)
            _until(lambda: b'"state":"ready"' in system.get('entry', '/status')[1])
            yield system, state


def test_flow_is_carried_both_ways_byte_for_byte(running):
    system, _ = running
    system.open(4001)
    request = system.send(4001, ACK, 101, 501, b'x' * 1200)
    assert system.app.recv(2048) == request
    response = system.answer(4001, ACK, 501, b'y' * 900)
    assert system.client.recv(2048) == response


def test_flow_survives_a_new_entry_and_a_new_agent(running):
    system, _ = running
    system.open(4002)
    system.send(4002, ACK, 101, 501, b'x')
    system.app.recv(2048)
    for role in ('entry', 'agent'):
        system.processes[role].kill()
        system.processes[role].wait()
        system.start(role)
    _until(lambda: system.announce(9) == 200)
    _until(lambda: system.get('entry', '/readiness', system.http)[0] == 200)
    system.send(4002, ACK, 102, 501, b'again')
    received = system.app.recv(2048)
    assert received.endswith(b'again')
    response = system.answer(4002, ACK, 501, b'answer')
    assert system.client.recv(2048) == response


def test_removed_route_resets_new_flows_and_a_lower_version_changes_nothing(running):
    system, state = running
    state.write({'op/config': _configuration(5)}, [])
    _until(lambda: b'"version":5' in system.get('entry', '/status')[1])
    state.write({'op/config': _configuration(4, SERVICE)}, [])
    time.sleep(0.3)
    system.send(4003, SYN, 100)
    assert system.client.recv(2048)[22] == RST


def test_entry_that_the_store_refuses_follows_its_peers(running):
    """Seen in an incident: one entry in four was nine seconds behind the others."""
    system, state = running
    newer = {'version': 8, 'routes': []}
    with _peer(json.dumps(newer).encode()) as (address, calls):
        listed = {'domain': 'a', 'address': '127.0.10.8:1', 'figures': address}
        state.write({'egretjunction/entries/e-2': json.dumps(listed).encode()}, [])
        time.sleep(0.2)
        state.status = 503
        system.ping_agent(8)
        _until(lambda: b'"version":8' in system.get('entry', '/status')[1])
    assert calls == ['/configuration']
    assert 'source=e-2' in system.log('entry')


def test_draining_backend_server_gets_no_first_packet(running):
    system, _ = running
    assert system.announce(2, 'draining') == 200
    system.send(4004, SYN, 100)
    assert system.client.recv(2048)[22] == RST
    system.app.settimeout(0.1)
    with pytest.raises(TimeoutError):
        system.app.recv(2048)


def test_garbage_on_every_socket_ends_no_process(running):
    system, _ = running
    for garbage in (b'', b'\xff' * 5, struct.pack('!36x'), b'\x93\x01\x02\x03' * 40):
        for host, port in (
            (ENTRY_HOST, system.port),
            (ENTRY_HOST, system.inner),
            (AGENT_HOST, system.port),
            (AGENT_HOST, system.inner),
        ):
            system.client.sendto(garbage, (host, port))
    assert system.announce('first') == 400
    system.open(4005)
    assert 'packet_malformed' in system.log('entry')
    assert all(process.poll() is None for process in system.processes.values())


def test_metrics_count_what_was_decided(running):
    system, _ = running
    system.open(4006)
    text = b''

    def is_counted():
        nonlocal text
        text = system.get('entry', '/metrics')[1]
        return b'egretjunction_flow_placed_total{role="entry"} 1.0' in text

    _until(is_counted)
    assert b'egretjunction_flow_placed_seconds_count{role="entry"} 1' in text


def test_entry_that_is_told_to_end_is_unready_at_once_and_ends(running):
    system, _ = running
    system.processes['entry'].terminate()
    _until(lambda: system.get('entry', '/readiness', system.http)[0] == 503)
    assert system.processes['entry'].wait(WAIT_SECONDS) == 0
    assert 'event=entry_stopped' in system.log('entry')


def test_settings_with_errors_name_file_section_and_key(tmp_path):
    path = tmp_path / 'entry.ini'
    path.write_text('[relay-entry]\nname = e\ndomain = a\nclients = nowhere\n')
    ended = subprocess.run(
        [sys.executable, str(ROOT / 'platform' / '__main__.py'), 'entry'],
        env={'EGRETJUNCTION_NODE_FILE': str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert ended.returncode == 1
    for part in (str(path), 'relay-entry', 'clients', 'agents'):
        assert part in ended.stderr
