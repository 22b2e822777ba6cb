"""HTTP server of the relay daemons."""

import http.client
import socket
import threading

import pytest

from egretjunction import addresses
from egretjunction.relay import _http
from egretjunction.relay import _loop


@pytest.fixture
def address():
    loop = _loop.Loop()

    def respond(request):
        return 200, f'{request.method} {request.path} {len(request.body)}'.encode()

    server = _http.Server(addresses.Address('127.0.0.1', 0), respond, loop)
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
    body = b'x' * (_http.MAX_BODY_BYTES * 8)
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
        addresses.Address('127.0.0.1', 0), lambda _request: (200, body), loop
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
    server = _http.Server(own, lambda _request: (200, b''), loop)
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
