"""HTTP server of the relay daemons."""

import contextlib
import http.client
import random
import socket
import threading

import pytest

from egretjunction import addresses
from egretjunction.relay import _http
from egretjunction.relay import _http_requests
from egretjunction.relay import _loop
from tests.relay import test_daemons as daemons


def _log(event, **fields):
    raise AssertionError(f'unexpected event: {event} {fields}')


@pytest.fixture
def address():
    loop = _loop.Loop()

    def respond(request):
        return 200, f'{request.method} {request.path} {len(request.body)}'.encode()

    server = _http.Server(addresses.Address('127.0.0.1', 0), respond, loop, _log)
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    yield server.address
    loop.post(loop.stop)
    thread.join()
    server.close()


def test_connection_is_reused_for_several_requests(address):
    client = http.client.HTTPConnection(*address, timeout=2)
    for size in (0, 10, 50_000):
        client.request('PUT', '/a?b=1', b'x' * size)
        assert client.getresponse().read() == f'PUT /a {size}'.encode()
    client.close()


def test_oversized_body_closes_the_connection(address):
    client = http.client.HTTPConnection(*address, timeout=2)
    body = b'x' * (_http_requests.MAX_BODY_BYTES * 8)
    with pytest.raises(OSError):
        _put(client, body)
    client.close()


def _put(client, body):
    client.request('PUT', '/a', body)
    return client.getresponse().read()


def test_malformed_request_closes_only_its_own_connection(address):
    with socket.create_connection(address, 2) as connection:
        connection.sendall(b'\x00\x01garbage\r\n\r\n')
        assert connection.recv(100) == b''
    client = http.client.HTTPConnection(*address, timeout=2)
    client.request('GET', '/a')
    assert client.getresponse().status == 200
    client.close()


OFFER = daemons.HTTP2_OFFER_LINES
WEB_SOCKET_OFFER = b'connection: keep-alive, upgrade\r\nUPGRADE: websocket\r\n'
BODY_BY_FRAMING = {
    b'Content-Length: 5\r\n\r\n': b'hello',
    b'Transfer-Encoding: chunked\r\n\r\n': b'5\r\nhello\r\n0\r\n\r\n',
}


@pytest.mark.parametrize('offer', [OFFER, WEB_SOCKET_OFFER])
@pytest.mark.parametrize('framing', BODY_BY_FRAMING)
@pytest.mark.parametrize('step', [1, 7, 4096])
def test_request_that_offers_another_protocol_is_served_without_it(
    address, offer, framing, step
):
    """Guards against a daemon that ends at an offer to upgrade to HTTP/2.

    The parser raises an exception of its own for such a request, and does not read its
    body.
    """
    head = b'PUT /a HTTP/1.1\r\nHost: x\r\n' + offer + framing
    sent = (head + BODY_BY_FRAMING[framing]) * 2 + b'GET /b HTTP/1.1\r\n\r\n'
    with socket.create_connection(address, 2) as connection:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for start in range(0, len(sent), step):
            connection.sendall(sent[start : start + step])
        responses = _read_until(connection, b'GET /b 0')
    assert responses.count(b'200 OK') == 3
    assert responses.count(b'PUT /a 5') == 2


def _read_until(connection, end):
    received = b''
    while not received.endswith(end):
        chunk = connection.recv(65536)
        assert chunk, received
        received += chunk
    return received


def test_request_for_a_tunnel_is_answered_and_its_connection_closed(address):
    """Guards against a daemon that ends at a CONNECT request."""
    with socket.create_connection(address, 2) as connection:
        connection.sendall(b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\nbytes of a tunnel')
        assert _read_until(connection, b'CONNECT a:1 0').startswith(b'HTTP/1.1 200')
        assert connection.recv(100) == b''


@pytest.mark.parametrize(
    ('beginning', 'part'),
    [
        (b'GET /', b'x' * 1000),
        (b'GET / HTTP/1.1\r\n', b'X-A: b\r\n' * 100),
        (b'GET / HTTP/1.1\r\nX-A: ', b'y' * 1000),
        (b'PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5;a=', b'z' * 1000),
    ],
)
def test_request_whose_head_does_not_end_is_given_up(address, beginning, part):
    """Guards against a head that fills the memory of a daemon."""
    with socket.create_connection(address, 2) as connection:
        connection.sendall(beginning)
        with pytest.raises(OSError):
            connection.sendall(part * 50_000)


def test_pipelined_requests_are_answered_one_at_a_time():
    """Guards against the memory of all responses to the requests of one read."""
    body = bytes(200_000)
    loop = _loop.Loop()
    handled = []

    def respond(request):
        handled.append(request.path)
        return 200, body

    own = addresses.Address('127.0.0.1', 0)
    server = _http.Server(own, respond, loop, _log)
    client = socket.create_connection(server.address, timeout=2)
    _run_once(loop)
    client.sendall(b'GET / HTTP/1.1\r\n\r\n' * 500)
    for _ in range(5):
        _run_once(loop)
    assert 0 < len(handled) < 100
    client.close()
    server.close()


def test_failed_request_is_logged_and_answered():
    """Guards against an exception in one request that closes its connection silently."""
    loop = _loop.Loop()
    events = []

    def respond(_request):
        raise ValueError('no such page')

    server = _http.Server(
        addresses.Address('127.0.0.1', 0),
        respond,
        loop,
        lambda event, **fields: events.append((event, fields)),
    )
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    client = http.client.HTTPConnection(*server.address, timeout=2)
    client.request('GET', '/a')
    assert client.getresponse().status == 500
    client.close()
    loop.post(loop.stop)
    thread.join()
    server.close()
    ((event, fields),) = events
    assert (event, fields['path']) == ('request_failed', '/a')
    assert 'no such page' in fields['error']


def test_random_bytes_do_not_end_the_server(address):
    """Guards against bytes that raise anything but what the server expects."""
    randomness = random.Random(56)
    tokens = [
        b'GET ',
        b'PUT /a',
        b' HTTP/1.1',
        b'\r\n',
        b'\r\n\r\n',
        OFFER,
        b'CONNECT a:1',
        b'PRI * HTTP/2.0',
        b'Content-Length: 5',
        b'Transfer-Encoding: chunked',
        b'Expect: 100-continue',
        b'\x00\xff',
        b'5\r\nhello',
        b'0',
        b'Host: x',
        b'\x16\x03',
    ]
    for _ in range(300):
        sent = b''.join(randomness.choices(tokens, k=randomness.randint(1, 12)))
        with socket.create_connection(address, 2) as connection:
            connection.sendall(sent)
            connection.shutdown(socket.SHUT_WR)
            with contextlib.suppress(ConnectionResetError):
                while connection.recv(65536):
                    continue
    client = http.client.HTTPConnection(*address, timeout=2)
    client.request('GET', '/a')
    assert client.getresponse().status == 200
    client.close()


def test_idle_connections_do_not_block_new_ones(address):
    idle_connections = [
        socket.create_connection(address, 2) for _ in range(_http.MAX_CONNECTIONS + 5)
    ]
    client = http.client.HTTPConnection(*address, timeout=2)
    client.request('GET', '/a')
    assert client.getresponse().status == 200
    client.close()
    for connection in idle_connections:
        connection.close()


def test_response_that_exceeds_the_socket_buffer_is_sent_completely():
    """Guards against a status page that was cut when its client read slowly."""
    body = bytes(16_000_000)
    loop = _loop.Loop()
    server = _http.Server(
        addresses.Address('127.0.0.1', 0), lambda _request: (200, body), loop, _log
    )
    thread = threading.Thread(target=loop.run, daemon=True)
    thread.start()
    client = http.client.HTTPConnection(*server.address, timeout=5)
    client.request('GET', '/a')
    assert len(client.getresponse().read()) == len(body)
    client.request('GET', '/b')
    assert len(client.getresponse().read()) == len(body)
    client.close()
    loop.post(loop.stop)
    thread.join()
    server.close()


def test_oldest_connection_closed_for_a_new_one_does_not_end_the_server():
    """Guards against a process that ends at the 129th connection to one server.

    The loop finds the oldest connection readable and closes it for another one at once.
    """
    loop = _loop.Loop()
    own = addresses.Address('127.0.0.1', 0)
    server = _http.Server(own, lambda _request: (200, b''), loop, _log)
    connections = []
    for _ in range(_http.MAX_CONNECTIONS):
        connections.append(socket.create_connection(server.address, timeout=2))
        _run_once(loop)
    newest = socket.create_connection(server.address, timeout=2)
    connections[0].send(b'GET / HTTP/1.1\r\n\r\n')
    _run_once(loop)
    for connection in (*connections, newest):
        connection.close()
    server.close()


def _run_once(loop):
    """Run a loop until it has handled what is ready now."""
    loop.post(loop.stop)
    loop.run()
    loop._is_stopped = False
