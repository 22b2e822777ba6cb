"""Odd bytes at the HTTP addresses of the daemons, and in answers to their calls."""

import contextlib
import http.client
import socket
import time

import pytest

from tests.relay import test_daemons as daemons

running = daemons.running
OFFER = daemons.HTTP2_OFFER_LINES
ODD_REQUESTS = {
    'offer': b'GET / HTTP/1.1\r\n' + OFFER + b'\r\n',
    'offer-with-body': b'PUT / HTTP/1.1\r\n' + OFFER + b'Content-Length: 2\r\n\r\n{}',
    'offer-in-http-1.0': b'GET / HTTP/1.0\r\n' + OFFER + b'\r\n',
    'tunnel': b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nbytes',
    'http-2': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + bytes(9),
    'tls': b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03' + bytes(32),
    'two-lengths': b'PUT / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab',
    'huge-length': b'PUT / HTTP/1.1\r\nContent-Length: ' + b'9' * 5000 + b'\r\n\r\n',
    'huge-chunk': b'PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n',
    'unknown-coding': b'PUT / HTTP/1.1\r\nTransfer-Encoding: odd\r\n\r\n{}',
    'bytes-in-target': b'GET /\xff\xfe\x00 HTTP/1.1\r\n\r\n',
    'unknown-method': b'ODD / HTTP/1.1\r\n\r\n',
    'no-version': b'GET /\r\n\r\n',
    'endless-head': b'GET / HTTP/1.1\r\n' + b'X-A: b\r\n' * 100_000,
    'pipelined': b'GET /metrics HTTP/1.1\r\n\r\n' * 2000,
    'bytes': bytes(range(256)) * 10,
}
# Followed by further bytes, as after a change of the protocol.
CHANGE_OF_PROTOCOL = b'HTTP/1.1 101 Switching Protocols\r\n' + OFFER + b'\r\n\x00\xff'
ODD_PREFACES = {
    'change-of-protocol': CHANGE_OF_PROTOCOL,
    'unasked-change': b'HTTP/1.1 101 Switching Protocols\r\n\r\n',
    'bytes': b'\x00\xff',
    'http-2': b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    'odd-era': b'HTTP/1.1 200 OK\r\nstore-era: odd\r\nContent-Length: 2\r\n\r\n{}',
    'huge-era': b'HTTP/1.1 200 OK\r\nstore-era: ' + b'9' * 5000 + b'\r\n'
    b'Content-Length: 2\r\n\r\n{}',
    'no-body': b'HTTP/1.1 204 No Content\r\n\r\n',
    'endless-head': b'HTTP/1.1 200 OK\r\n' + b'X-A: b\r\n' * 100_000,
}
INTERIM = (
    b'HTTP/1.1 103 Early Hints\r\nstore-era: 9\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n'
)


def _assert_alive(system):
    for role, process in system.processes.items():
        assert process.poll() is None, system.log(role)
        assert 'Traceback' not in system.log(role)
        assert 'task_failed' not in system.log(role)
        assert 'request_failed' not in system.log(role)


def _send(address, raw):
    """Send bytes and read until the answer ends or is late."""
    with (
        socket.create_connection(address, 2) as connection,
        contextlib.suppress(OSError),
    ):
        connection.settimeout(0.2)
        connection.sendall(raw)
        while connection.recv(65536):
            continue


def _http_addresses(system):
    return [
        (daemons.ENTRY_HOST, system.http),
        (daemons.ENTRY_HOST, system.inner_port + 1),
        (daemons.AGENT_HOST, system.http),
        (daemons.AGENT_HOST, system.http + 1),
        (daemons.AGENT_HOST, system.inner_port + 1),
    ]


def test_odd_requests_at_any_address_end_no_process(running):
    """Guards against a daemon that ends at an offer to upgrade to HTTP/2."""
    system, _ = running
    for raw in ODD_REQUESTS.values():
        for address in _http_addresses(system):
            _send(address, raw)
    _assert_alive(system)
    assert system.announce(10) == 200
    assert system.get('entry', '/readiness', system.http)[0] == 200
    system.open(5010)


def test_heartbeat_of_a_server_whose_client_offers_another_protocol_counts(running):
    """Guards against a server whose every heartbeat is refused for an optional offer."""
    system, _ = running
    connection = http.client.HTTPConnection(
        daemons.AGENT_HOST, system.http + 1, timeout=1
    )
    with contextlib.closing(connection):
        for sequence in (10, 11):
            body = system.heartbeat(sequence=sequence, state='draining')
            connection.request('PUT', '/instances/i-1', body, daemons.HTTP2_OFFER)
            response = connection.getresponse()
            assert (response.status, response.read()) == (200, b'{}')
    assert b'"state":"draining"' in system.get('agent', '/status')[1]


@pytest.mark.parametrize('name', ODD_PREFACES)
def test_odd_answers_of_the_store_end_no_process_and_no_task(running, name):
    """Guards against an answer that raises what the caller does not expect."""
    system, state = running
    state.preface = ODD_PREFACES[name]
    state.write({'op/config': daemons._configuration(5, daemons.SERVICE)}, [])
    time.sleep(1)
    _assert_alive(system)
    state.preface = b''
    system.await_version(5)
    _assert_alive(system)
    assert system.announce(10) == 200
    system.open(5010)


def test_interim_answers_of_the_store_are_no_failure(running):
    """Guards against a store that is never read since it announces its answers."""
    system, state = running
    state.preface = INTERIM
    state.write({'op/config': daemons._configuration(5, daemons.SERVICE)}, [])
    system.await_version(5)
    system.processes['entry'].kill()
    system.processes['entry'].wait()
    system.start('entry')
    system.await_ready()
    _assert_alive(system)
