"""Entry and agent processes with a simulated store, backend server and client."""

import contextlib
import http.client
import http.server
import json
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import types

import flow_packets
import pytest

from egretjunction import addresses
from egretjunction import store
from egretjunction.decisions import relay_members
from egretjunction.decisions import relay_watching
from egretjunction.relay import entry
from egretjunction.relay import listings
from egretjunction.standins import ports
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
HTTP2_OFFER = {
    'Connection': 'Upgrade, HTTP2-Settings',
    'Upgrade': 'h2c',
    'HTTP2-Settings': 'AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA',
}
HTTP2_OFFER_LINES = ''.join(
    f'{name}: {text}\r\n' for name, text in HTTP2_OFFER.items()
).encode()
SETTLED = dict([listings.era_item(1)])  # the store's first era, not just restored


class _System:
    """One entry, one agent, and the sockets of a backend server and a client."""

    def __init__(self, folder, store_address):
        self.folder = folder
        self.store = store_address
        self.ports = ports.PortAllocator()
        self.port = self.ports.take().port
        self.http = self.ports.take_consecutive(2)
        self.inner_port = self.ports.take_consecutive(2)
        self.server_socket = self._udp((AGENT_HOST, self.ports.take().port))
        self.client_socket = self._udp((CLIENT_HOST, self.port))
        self.processes = {}

    def _udp(self, address):
        udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        udp_socket.bind(address)
        udp_socket.settimeout(WAIT_SECONDS)
        return udp_socket

    def start(self, role, *settings):
        """Start a daemon the way the operators' platform does."""
        host = ENTRY_HOST if role == 'entry' else AGENT_HOST
        lines = [f'[relay-{role}]', f'name = {role}-1', 'domain = a']
        lines += [
            f'ready = {host}:{self.http}',
            f'metrics = {host}:{self.inner_port + 1}',
        ]
        lines += [f'platform = {self.store}', 'grace_seconds = 6']
        lines += ['max_flow_seconds = 60']
        if role == 'entry':
            lines += [
                f'clients = {host}:{self.port}',
                f'agents = {host}:{self.inner_port}',
                'configuration_ms = 3000',
            ]
        else:
            lines += [f'service = {SERVICE}', f'entries = {host}:{self.port}']
            lines += [f'outbound = {host}:{self.inner_port}', 'heartbeat_ms = 500']
            lines += ['backend = {}:{}'.format(*self.server_socket.getsockname())]
            lines += [f'announcements = {host}:{self.http + 1}']
        path = self.folder / f'{role}.ini'
        path.write_text('\n'.join([*lines, *settings]), 'utf-8')
        with (self.folder / f'{role}.log').open('ab') as log:
            self.processes[role] = subprocess.Popen(
                [sys.executable, str(ROOT / 'platform' / '__main__.py'), role],
                env={'EGRETJUNCTION_NODE_FILE': str(path)},
                stdout=log,
                stderr=log,
            )

    def get(self, role, path, port=None):
        """Return the status and body of a GET request to a daemon."""
        host = ENTRY_HOST if role == 'entry' else AGENT_HOST
        connection = http.client.HTTPConnection(
            host, port or self.inner_port + 1, timeout=1
        )
        with contextlib.closing(connection):
            connection.request('GET', path)
            response = connection.getresponse()
            return response.status, response.read()

    def heartbeat(self, **fields):
        """Return the body of a heartbeat of the backend server."""
        address = '{}:{}'.format(*self.server_socket.getsockname())
        return heartbeat(**{'address': address, **fields})

    def announce(self, sequence, state='ready', **fields):
        """Send a heartbeat of the backend server; return the response status."""
        fields |= {'sequence': sequence, 'state': state}
        return self.put_heartbeat('i-1', self.heartbeat(**fields))

    def put_heartbeat(self, name, body):
        """Send the body of a heartbeat to the agent; return the response status."""
        return put(AGENT_HOST, self.http + 1, f'/instances/{name}', body)

    def leave(self):
        """Send the backend server's leave call; return the response status."""
        connection = http.client.HTTPConnection(AGENT_HOST, self.http + 1, timeout=1)
        with contextlib.closing(connection):
            connection.request('DELETE', '/instances/i-1')
            return connection.getresponse().status

    def log(self, role):
        """Return the log of a daemon."""
        return (self.folder / f'{role}.log').read_text('utf-8')

    def send(self, port, flags, sequence, acknowledged=0, body=b''):
        """Send a client's packet to the entry."""
        raw = _encode_packet(
            (CLIENT_HOST, port), ROUTE, flags, sequence, acknowledged, body
        )
        self.client_socket.sendto(raw, (ENTRY_HOST, self.port))
        return raw

    def answer(self, port, flags, sequence, body=b''):
        """Send a backend server's packet to its agent."""
        raw = _encode_packet(ROUTE, (CLIENT_HOST, port), flags, sequence, 0, body)
        self.server_socket.sendto(raw, (AGENT_HOST, self.inner_port))
        return raw

    def open(self, port):
        """Open a flow from a client's port."""
        sent = self.send(port, SYN, 100)
        received = self.server_socket.recv(2048)
        assert received[8:] == sent[8:]
        accepted = self.answer(port, SYN | ACK, 500)
        assert self.client_socket.recv(2048) == accepted

    def ping_agent(self, version):
        """Announce a configuration version to the agent, as another entry does."""
        ping = relaying.encode(relaying.Ping(version))
        self.client_socket.sendto(ping, (AGENT_HOST, self.port))
        self.client_socket.recv(2048)

    def await_ready(self):
        """Wait until the entry is ready and knows that the agent's server is."""
        _wait_until(lambda: self.announce(1) == 200)
        _wait_until(lambda: self.get('entry', '/readiness', self.http)[0] == 200)
        _wait_until(lambda: b'"state":"ready"' in self.get('entry', '/status')[1])

    def await_version(self, version, seconds=WAIT_SECONDS):
        """Wait until the entry has a version in force."""
        text = f'"version":{version},'.encode()
        _wait_until(lambda: text in self.get('entry', '/status')[1], seconds)

    def close(self):
        """Kill all started processes and close the sockets."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.server_socket.close()
        self.client_socket.close()


def _encode_packet(source, destination, flags, sequence, acknowledged, body):
    return (
        flow_packets._HEADER.pack(
            7,
            0,
            socket.inet_aton(source[0]),
            source[1],
            socket.inet_aton(destination[0]),
            destination[1],
            len(body),
            flags,
            bytes(5),
            sequence,
            acknowledged,
        )
        + body
    )


def heartbeat(**fields):
    """Return the body of a heartbeat of a backend server.

    :param fields: its address, and the fields that differ; those that are None are
        left out.
    """
    body = {'service': SERVICE, 'zone': 'a', 'version': 'v1', 'capacity': 2}
    body |= {'state': 'ready', 'cold_remaining_ms': 0, 'born': 1000, 'sequence': 1}
    body |= fields
    return json.dumps({name: body[name] for name in body if body[name] is not None})


def put(host, port, path, body, timeout=1, *, offers_http2=False):
    """Return the status of a PUT request."""
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    with contextlib.closing(connection):
        headers = HTTP2_OFFER if offers_http2 else {}
        connection.request('PUT', path, body, headers)
        return connection.getresponse().status


@contextlib.contextmanager
def _peer(document):
    """Yield the address of an entry that serves a configuration, and requested paths."""
    requested_paths = []

    class Handler(http.server.BaseHTTPRequestHandler):
        def log_message(self, *_):
            """Log nothing."""

        def do_GET(self):
            requested_paths.append(self.path)
            self.send_response(200)
            self.send_header('Content-Length', str(len(document)))
            self.end_headers()
            self.wfile.write(document)

    server = http.server.HTTPServer(('127.0.0.1', 0), Handler)
    thread = threading.Thread(target=server.serve_forever, args=(0.01,))
    thread.start()
    try:
        yield '{}:{}'.format(*server.server_address), requested_paths
    finally:
        server.shutdown()
        thread.join()
        server.server_close()


def _wait_until(check, seconds=WAIT_SECONDS):
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException):
            if check():
                return
        time.sleep(0.02)
    pytest.fail('condition was not met in time')


def _configuration(version, *services):
    routes = [
        {
            'name': 'r',
            'host': ROUTE.host,
            'prefix': f'/{ROUTE.port}/',
            'service': name,
            'timeout_ms': 8000,
            'target_latency_ms': 500,
        }
        for name in services
    ]
    return json.dumps({'version': version, 'routes': routes}).encode()


@contextlib.contextmanager
def stopped_system(folder):
    """Yield a system without processes, and a store that holds version 3."""
    with store_standin.running() as (store_state, address):
        store_state.write(SETTLED, [])
        store_state.write({'op/config': _configuration(3, SERVICE)}, [])
        with contextlib.closing(_System(folder, address)) as system:
            yield system, store_state


@contextlib.contextmanager
def running_system(folder):
    """Yield a system whose entry and agent serve, and its store."""
    with stopped_system(folder) as (system, store_state):
        system.start('agent')
        system.start('entry')
        system.await_ready()
        yield system, store_state


@pytest.fixture
def running(tmp_path):
    with running_system(tmp_path) as system_and_store:
        yield system_and_store


def test_packets_are_relayed_unchanged_in_both_directions(running):
    system, _ = running
    system.open(4001)
    request = system.send(4001, ACK, 101, 501, b'x' * 1200)
    assert system.server_socket.recv(2048) == request
    response = system.answer(4001, ACK, 501, b'y' * 900)
    assert system.client_socket.recv(2048) == response


def test_agent_shows_its_estimates(running):
    """Guards against an agent that learns durations and shows them nowhere."""
    system, _ = running
    system.open(4010)
    system.send(4010, ACK, 101, 501, b'x')
    system.server_socket.recv(2048)
    system.answer(4010, ACK, 501, b'y' * 100)
    system.client_socket.recv(2048)

    def shown():
        return json.loads(system.get('agent', '/status')[1])

    _wait_until(lambda: shown()['request_ms'] > 0)
    assert (shown()['wait_ms'], shown()['failure_percent']) == (0, 0)
    text = system.get('agent', '/metrics')[1].decode()
    for name in ('request_ms', 'wait_ms', 'failure_percent'):
        assert f'egretjunction_{name}{{' in text


def test_flow_survives_restart_of_entry_and_agent(running):
    system, _ = running
    system.open(4002)
    system.send(4002, ACK, 101, 501, b'x')
    system.server_socket.recv(2048)
    for role in ('entry', 'agent'):
        system.processes[role].kill()
        system.processes[role].wait()
        system.start(role)
    _wait_until(lambda: system.announce(9) == 200)
    _wait_until(lambda: system.get('entry', '/readiness', system.http)[0] == 200)
    system.send(4002, ACK, 102, 501, b'again')
    received = system.server_socket.recv(2048)
    assert received.endswith(b'again')
    response = system.answer(4002, ACK, 501, b'answer')
    assert system.client_socket.recv(2048) == response


def test_removed_route_resets_new_flows_and_older_version_is_ignored(running):
    system, store_state = running
    store_state.write({'op/config': _configuration(5)}, [])
    _wait_until(lambda: b'"version":5' in system.get('entry', '/status')[1])
    store_state.write({'op/config': _configuration(4, SERVICE)}, [])
    _wait_until(lambda: 'event=configuration_not_newer' in system.log('entry'))
    assert 'version=4 in_force=5 source=store' in system.log('entry')
    time.sleep(0.3)
    system.send(4003, SYN, 100)
    assert system.client_socket.recv(2048)[22] == RST


def test_entry_reads_configuration_from_peers_while_the_store_fails(running):
    """Guards against an entry staying 9 s behind its peers, as one of four did.

    The store refused the entry's calls while other entries followed a newer version.
    """
    system, store_state = running
    newer = {'version': 8, 'routes': []}
    with _peer(json.dumps(newer).encode()) as (address, requested_paths):
        listed = {'domain': 'a', 'address': '127.0.10.8:1', 'figures': address}
        store_state.write(
            {'egretjunction/entries/e-2': json.dumps(listed).encode()}, []
        )
        time.sleep(relay_watching.COALESCING_SECONDS + 0.2)
        store_state.status = 503
        system.ping_agent(8)
        _wait_until(lambda: b'"version":8' in system.get('entry', '/status')[1])
    assert requested_paths == ['/configuration']
    assert 'source=e-2' in system.log('entry')


def test_draining_backend_server_receives_no_first_packet(running):
    system, _ = running
    assert system.announce(2, 'draining') == 200
    system.send(4004, SYN, 100)
    assert system.client_socket.recv(2048)[22] == RST
    system.server_socket.settimeout(0.1)
    with pytest.raises(TimeoutError):
        system.server_socket.recv(2048)


def test_malformed_datagrams_on_every_socket_stop_no_process(running):
    system, _ = running
    for garbage in (b'', b'\xff' * 5, struct.pack('!36x'), b'\x93\x01\x02\x03' * 40):
        for host, port in (
            (ENTRY_HOST, system.port),
            (ENTRY_HOST, system.inner_port),
            (AGENT_HOST, system.port),
            (AGENT_HOST, system.inner_port),
        ):
            system.client_socket.sendto(garbage, (host, port))
    assert system.announce('first') == 400
    system.open(4005)
    assert 'packet_malformed' in system.log('entry')
    assert all(process.poll() is None for process in system.processes.values())


def test_metrics_count_placed_flows(running):
    system, _ = running
    system.open(4006)
    text = b''

    def is_counted():
        nonlocal text
        text = system.get('entry', '/metrics')[1]
        return b'egretjunction_flow_placed_total{role="entry"} 1.0' in text

    _wait_until(is_counted)
    assert b'egretjunction_flow_placed_seconds_count{role="entry"} 1' in text


def test_terminated_entry_becomes_unready_at_once_and_exits(running):
    system, _ = running
    system.processes['entry'].terminate()
    _wait_until(lambda: system.get('entry', '/readiness', system.http)[0] == 503)
    assert system.processes['entry'].wait(WAIT_SECONDS) == 0
    assert 'event=entry_stopped' in system.log('entry')


def test_settings_error_names_file_section_and_key(tmp_path):
    path = tmp_path / 'entry.ini'
    path.write_text('[relay-entry]\nname = e\ndomain = a\nclients = nowhere\n')
    completed = subprocess.run(
        [sys.executable, str(ROOT / 'platform' / '__main__.py'), 'entry'],
        env={'EGRETJUNCTION_NODE_FILE': str(path)},
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 1
    for part in (str(path), 'relay-entry', 'clients', 'agents'):
        assert part in completed.stderr


@pytest.mark.parametrize(
    ('arguments', 'variables', 'message'),
    [
        ([], {'EGRETJUNCTION_NODE_FILE': 'x'}, 'expected one argument'),
        (['entry', 'agent'], {'EGRETJUNCTION_NODE_FILE': 'x'}, 'expected one argument'),
        (['entry'], {}, 'EGRETJUNCTION_NODE_FILE'),
        (['other'], {'EGRETJUNCTION_NODE_FILE': 'x'}, 'unknown role "other"'),
        (['entry'], {'EGRETJUNCTION_NODE_FILE': '/nowhere'}, '/nowhere'),
    ],
)
def test_start_without_role_or_settings_is_refused_in_one_line(
    arguments, variables, message
):
    completed = subprocess.run(
        [sys.executable, str(ROOT / 'platform' / '__main__.py'), *arguments],
        env=variables,
        capture_output=True,
        text=True,
        check=False,
    )
    assert completed.returncode == 1
    assert message in completed.stderr
    assert completed.stderr.startswith('error: ')
    assert 'Traceback' not in completed.stderr


def test_peers_that_a_full_listing_lacks_are_forgotten():
    """Guards against reading the configuration from entries that left long ago."""
    items = [
        store.Item(*listings.entry_item(name, 'a', ROUTE, ROUTE), 1)
        for name in ('e-1', 'e-2')
    ]
    daemon = entry.RelayEntry.__new__(entry.RelayEntry)
    daemon._members = relay_members.Members('a')
    daemon._members_listed_at = 0.0
    daemon._clock = time.monotonic
    daemon._log = lambda *_, **__: None
    daemon._tick = daemon._handle_early_packets = lambda: None
    daemon._configuration = types.SimpleNamespace(peer_by_name={})
    daemon._on_members_listing(store.Listing(items, 1))
    daemon._on_members_listing(store.Listing(items[1:], 2))
    assert list(daemon._configuration.peer_by_name) == ['e-2']


def test_settings_with_errors_at_reload_change_nothing_and_are_named(running):
    system, _ = running
    path = system.folder / 'entry.ini'
    path.write_text(path.read_text('utf-8') + '\ngrace_second = 9\n', 'utf-8')
    system.processes['entry'].send_signal(signal.SIGHUP)
    _wait_until(lambda: 'event=settings_rejected' in system.log('entry'))
    assert 'grace_second' in system.log('entry')
    system.open(4007)
    assert system.processes['entry'].poll() is None


def test_entry_whose_listing_was_taken_away_lists_itself_again(running):
    system, store_state = running
    key = 'egretjunction/entries/entry-1'
    _wait_until(lambda: key in store_state.item_by_key)
    store_state.write({}, [key])
    _wait_until(lambda: key in store_state.item_by_key)
    assert 'event=own_listing_lost' in system.log('entry')


def test_terminated_agent_waits_for_a_request_within_the_grace_period(running):
    """Guards against a planned stop that cut requests after a fixed 2.5 s."""
    system, _ = running
    system.open(4008)
    system.send(4008, ACK, 101, 501, b'x' * 100)
    system.server_socket.recv(2048)
    system.processes['agent'].terminate()
    for sequence in range(2, 14):
        assert system.announce(sequence) == 200
        time.sleep(0.25)
    assert system.processes['agent'].poll() is None
    response = system.answer(4008, ACK, 501, b'answer')
    assert system.client_socket.recv(2048) == response
    assert system.processes['agent'].wait(WAIT_SECONDS) == 0


def test_agent_lists_itself_only_once_its_server_is_heard_of(tmp_path):
    """Guards against searches that wait for agents of instances without a server."""
    with store_standin.running() as (state, address):
        system = _System(tmp_path, address)
        with contextlib.closing(system):
            system.start('agent')
            _wait_until(lambda: 'agent_started' in system.log('agent'))
            time.sleep(0.3)
            assert not [key for key in state.item_by_key if 'agents/' in key]
            _wait_until(lambda: system.announce(1) == 200)
            _wait_until(lambda: 'egretjunction/agents/agent-1' in state.item_by_key)
