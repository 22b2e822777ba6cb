"""Real processes that read what another process or writer put down wrongly.

An odd entry names no backend server, and everything else goes on as without it.
"""

import contextlib
import json
import socket
import time

import pytest

from egretjunction import addresses
from egretjunction.relay import listings
from egretjunction.wire import relaying
from tests.relay import test_daemons as daemons

running = daemons.running
DEPTH = 20_000
NESTED = b'[' * DEPTH + b']' * DEPTH
HUGE = b'1' + b'0' * 400
FOLLOWING_SECONDS = 1.5  # an entry pauses half a second between two watches
PING_SECONDS = 0.7  # entries ping an agent twice a second
LISTED = {'service': daemons.SERVICE, 'domain': 'a', 'address': '127.0.10.7:9'}


def _field(name, raw):
    """Return a listed process with one odd field, given as JSON."""
    fields = {key: json.dumps(field).encode() for key, field in LISTED.items()}
    fields[name] = raw
    pairs = (b'"%s":%s' % (key.encode(), field) for key, field in fields.items())
    return b'{' + b','.join(pairs) + b'}'


ODD_LISTINGS = {
    'nested': _field('extra', NESTED),
    'nested-service': _field('service', NESTED),
    'nested-unclosed': b'{"extra":' + b'[' * DEPTH,
    'large-number': _field('extra', HUGE),
    'number-for-service': _field('service', HUGE),
    'port-out-of-range': _field('address', b'"127.0.10.7:70000"'),
    'port-0': _field('address', b'"127.0.10.7:0"'),
    'huge-port': _field('address', b'"127.0.10.7:' + HUGE + b'"'),
    'negative-port': _field('address', b'"127.0.10.7:-1"'),
    'words-after-host': _field('address', b'"127.0.10.7 odd:9"'),
    'letters-after-host': _field('address', '"127.0.10.7 \u00e9:9"'.encode()),
    'octal-host': _field('address', b'"0177.0.10.7:9"'),
    'broadcast': _field('address', b'"255.255.255.255:9"'),
    'odd-metrics': _field('figures', b'"127.0.10.7 odd:9"'),
    'list': b'[]',
    'bytes': b'\xff\xfe\x00',
    'empty': b'',
    'unknown-service': _field('service', b'"nobody"'),
}
ODD_CONFIGURATIONS = {
    'nested': b'{"version":4,"routes":[],"extra":' + NESTED + b'}',
    'nested-services': b'{"version":4,"routes":[],"services":' + NESTED + b'}',
    'large-version': b'{"version":' + HUGE + b',"routes":[]}',
    'large-64-bit-version': b'{"version":18446744073709551616,"routes":[]}',
    'negative-version': b'{"version":-1,"routes":[]}',
    'port-out-of-range': daemons._configuration(4, 'x').replace(b'/443/', b'/70000/'),
    'huge-port': daemons._configuration(4, 'x').replace(b'/443/', b'/' + HUGE + b'/'),
    'nested-host': b'{"version":4,"routes":[{"name":"r","host":' + NESTED + b'}]}',
    'bytes': b'\xff',
}
ODD_FIGURES = [HUGE, b'1e308', b'-1e308', b'{"a":1}', b'true', b'null']
ODD_HEARTBEATS = [
    {'capacity': 10**400},
    {'capacity': 2**64},
    {'capacity': 2**63},
    {'sequence': 10**400},
    {'sequence': 2**64},
    {'born': 10**400},
    {'born': 2**64},
    {'born': -(2**70)},
    {'cold_remaining_ms': 1e300},
    {'cold_remaining_ms': -1e300},
    {'cold_remaining_ms': 10**25},
    {'capacity': 0},
    {'capacity': '2'},
    {'state': 'leaving'},
    {'service': 7},
    {'service': 'nobody'},
]


def _assert_serving(system, sequence):
    """Check that no process ended and no task failed, and that flows still open."""
    for role, process in system.processes.items():
        assert process.poll() is None, system.log(role)
        assert 'task_failed' not in system.log(role)
    assert system.announce(sequence) == 200
    assert system.get('entry', '/readiness', system.http)[0] == 200
    system.open(5000 + sequence)


def _restart(system):
    for role in ('entry', 'agent'):
        system.processes[role].kill()
        system.processes[role].wait()
        system.start(role)
    daemons._wait_until(lambda: system.announce(11) == 200)
    system.await_ready()


@pytest.mark.parametrize('prefix', [listings.AGENTS_PREFIX, listings.ENTRIES_PREFIX])
def test_odd_listings_end_no_process_and_hide_no_other(running, prefix):
    """Guards against processes that end, or fail to list themselves, again and again."""
    system, state = running
    for name, listing in ODD_LISTINGS.items():
        state.write({f'{prefix}{name}': listing}, [])
    time.sleep(FOLLOWING_SECONDS)
    _assert_serving(system, 10)
    _restart(system)
    _assert_serving(system, 12)


def test_odd_configurations_leave_the_version_and_later_ones_follow(running):
    """Guards against an entry that ends or no longer follows the configuration."""
    system, state = running
    for version, document in enumerate(ODD_CONFIGURATIONS.values(), 10):
        state.write({'op/config': document}, [])
        time.sleep(PING_SECONDS)
        _assert_serving(system, version)
        state.write({'op/config': daemons._configuration(version, daemons.SERVICE)}, [])
        system.await_version(version)


def test_odd_figures_of_a_service_do_not_keep_their_version_out(running):
    system, state = running
    for version, figure in enumerate(ODD_FIGURES, 10):
        service = b'[{"name":"%s","cold_per_s":%s}]' % (
            daemons.SERVICE.encode(),
            figure,
        )
        document = daemons._configuration(version, daemons.SERVICE)
        state.write({'op/config': document[:-1] + b',"services":' + service + b'}'}, [])
        system.await_version(version)
        time.sleep(PING_SECONDS)
        _assert_serving(system, version)


def test_odd_evacuations_do_not_keep_newer_versions_out(running):
    """Guards against versions that no entry follows while one odd key exists."""
    system, state = running
    state.write({'op/evacuate/b': b'{"extra":' + NESTED + b'}'}, [])
    state.write({'op/odd': NESTED, 'op/evacuate/': b'{}'}, [])
    time.sleep(FOLLOWING_SECONDS)
    state.write({'op/config': daemons._configuration(8, daemons.SERVICE)}, [])
    system.await_version(8)
    _assert_serving(system, 10)


def test_value_that_is_no_base64_hides_no_other_item(running):
    system, state = running
    state.write({'op/odd': b'', 'egretjunction/agents/odd': b''}, [])
    for key in ('op/odd', 'egretjunction/agents/odd'):
        state.item_by_key[key]['value'] = '%%%'
    state.write({'op/config': daemons._configuration(8, daemons.SERVICE)}, [])
    system.await_version(8)
    _restart(system)
    _assert_serving(system, 12)


def test_odd_heartbeats_end_no_agent_and_later_ones_count(running):
    """Guards against an agent that ends at, or believes, an absurd heartbeat."""
    system, _ = running
    for sequence, fields in enumerate(ODD_HEARTBEATS, 10):
        body = system.heartbeat(**{'sequence': sequence, **fields})
        system.put_heartbeat('i-1', body)
        time.sleep(PING_SECONDS)
        _assert_serving(system, sequence + 1)
        assert json.loads(system.get('agent', '/status')[1])['state'] == 'ready'


@pytest.mark.parametrize(
    'odd_fields',
    [
        {'address': None, 'zone': None, 'version': None},
        {'address': None},
        {'address': '127.0.10.3:9'},
    ],
    ids=str,
)
def test_heartbeat_of_another_writer_displaces_no_living_server(running, odd_fields):
    """Guards against flows that are reset, and a drain undone, by one odd heartbeat."""
    system, _ = running
    assert system.announce(10, 'draining') == 200
    odd = system.heartbeat(born=2000, **odd_fields)
    assert system.put_heartbeat('i-2', odd) >= 400
    assert json.loads(system.get('agent', '/status')[1])['state'] == 'draining'
    assert system.announce(11, 'draining') == 200


def test_unreadable_heartbeats_are_answered_with_an_error(running):
    system, _ = running
    for body in (b'{"extra":' + NESTED + b'}', NESTED, b'\xff', b'{}', b''):
        assert system.put_heartbeat('i-1', body) == 400
    _assert_serving(system, 10)


def test_odd_copies_of_peers_hide_no_valid_one(running):
    """Guards against an entry that follows nobody since one peer's copy is odd."""
    system, state = running
    for version, odd_document in enumerate(ODD_CONFIGURATIONS.values(), 10):
        valid_document = daemons._configuration(version, daemons.SERVICE)
        with (
            daemons._peer(odd_document) as (odd_address, _),
            daemons._peer(valid_document) as (valid_address, _),
        ):
            for name, figures in (('odd', odd_address), ('valid', valid_address)):
                listed = {'domain': 'a', 'address': '127.0.10.8:1', 'figures': figures}
                key = f'{listings.ENTRIES_PREFIX}{name}'
                state.write({key: json.dumps(listed).encode()}, [])
            time.sleep(PING_SECONDS)
            state.status = 503
            system.ping_agent(version)
            system.await_version(version)
            state.status = 0
        _assert_serving(system, version)


NESTED_MESSAGE = b'\x91' * DEPTH + b'\xc0'
LARGE = b'\xcf' + b'\xff' * 8
ODD_MESSAGES = [
    NESTED_MESSAGE,
    b'\x93\x05\x03' + NESTED_MESSAGE,
    b'\x9f\x05\x03\xc2\xc3\xc2\x00\x00\xff' + NESTED_MESSAGE,
    relaying.encode(relaying.Ping(3, cold_per_second=1.7e308)),
    relaying.encode(relaying.Ping(3, cold_per_second=float('inf'))),
    relaying.encode(relaying.Ping(3, cold_per_second=float('nan'))),
    relaying.encode(relaying.Ping(3, evacuation_era=2**64 - 1)),
    relaying.encode(relaying.Ping(3, evacuation_revision=2**64 - 1)),
    relaying.encode(relaying.Offer(2**64 - 1, 2**64 - 1, False, b'', 2**64 - 1)),
    relaying.encode(relaying.Deliver(b'')),
    relaying.encode(relaying.Ask(2**64 - 1, b'')),
    relaying.encode(relaying.Find([relaying.Question(2**64 - 1, b'', 2**64 - 1)])),
    relaying.encode(
        relaying.Announce('odd', 'nobody', 'a', relaying.Status(1, *[2**64 - 1] * 4))
    ),
    relaying.encode(relaying.Held(1, b'', 2**64 - 1, relaying.Status(1, 0, 0, 2, 3))),
    relaying.encode(relaying.Returned(b'', relaying.Status(1, 0, 0, 2, 3))),
]


@pytest.mark.parametrize('role', ['entry', 'agent'])
def test_odd_messages_end_no_process(running, role):
    system, _ = running
    address = {
        'entry': (daemons.ENTRY_HOST, system.inner_port),
        'agent': (daemons.AGENT_HOST, system.port),
    }[role]
    for sequence, message in enumerate(ODD_MESSAGES, 10):
        system.client_socket.sendto(message, address)
        time.sleep(0.05)
        _discard_answers(system)
        _assert_serving(system, sequence)


def _discard_answers(system):
    system.client_socket.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            system.client_socket.recv(65535)
    system.client_socket.settimeout(daemons.WAIT_SECONDS)


LARGEST = 2**64 - 1
ODD_STATUSES = [
    relaying.Status(state, *figures)
    for state in (relaying.State.READY, relaying.State.UNFIT)
    for figures in (
        [LARGEST] * 4,
        [-(2**63)] * 4,
        [0, 0, 2, LARGEST, LARGEST, True, False, LARGEST, LARGEST, LARGEST, LARGEST],
        [0, 0, 2, 3, -(2**63), True, False, -(2**63), -(2**63), -(2**63), -(2**63)],
        [0, 0, 2, 3, 0, True, False, 0, 0, 0, 0, LARGEST, LARGEST],
    )
]


def _messages_of_agent(status):
    """Return each message of an agent with a status and odd fields."""
    return [
        relaying.Pong(LARGEST, status),
        relaying.Pong(relaying.compute_service_tag(daemons.SERVICE), status),
        relaying.Held(LARGEST, b'', LARGEST, status),
        relaying.Passed(LARGEST, relaying.Reason.BUSY, status),
        relaying.NotHeld([LARGEST], status),
        relaying.Unsure([LARGEST], status),
        relaying.Returned(b'', status),
    ]


def test_odd_statuses_of_a_listed_agent_hide_no_other(running):
    """Guards against an entry that ends, or offers flows to nobody else."""
    system, state = running
    with socket.socket(type=socket.SOCK_DGRAM) as agent:
        agent.bind(('127.0.10.8', 0))
        address = addresses.Address(*agent.getsockname())
        key, listed = listings.agent_item('odd', daemons.SERVICE, 'a', address)
        state.write({key: listed}, [])
        daemons._wait_until(lambda: b'"odd"' in system.get('entry', '/status')[1])
        for sequence, status in enumerate(ODD_STATUSES, 10):
            for message in _messages_of_agent(status):
                raw = relaying.encode(message)
                agent.sendto(raw, (daemons.ENTRY_HOST, system.inner_port))
            _assert_serving(system, sequence)
