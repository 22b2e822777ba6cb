"""Blocking HTTP calls over links and servers of all kinds."""

import contextlib
import gc
import socket
import threading
import time

import pytest

from egretjunction import addresses
from egretjunction.relay import http_calls

HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n'


@contextlib.contextmanager
def _server(parts, pause_seconds, closes):
    """Yield the address of a server that sends parts of a response with pauses."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def serve():
            connection, _ = listener.accept()
            with connection, contextlib.suppress(OSError):
                connection.recv(65536)
                for part in parts:
                    connection.sendall(part)
                    time.sleep(pause_seconds)
                if closes:
                    return
                connection.recv(1)

        threading.Thread(target=serve, daemon=True).start()
        yield addresses.Address(*listener.getsockname())


def _call(parts, pause_seconds, timeout_seconds=0.3, closes=False, **options):
    with _server(parts, pause_seconds, closes) as address:
        return http_calls.call(address, 'GET', '/', None, timeout_seconds, **options)


def test_response_that_makes_progress_is_read_beyond_the_timeout():
    """Guards against large values that a slow link never carries within a fixed time."""
    part = b'x' * 20_000
    started_at = time.monotonic()
    response = _call([HEAD % 100_000, *[part] * 5], 0.1)
    assert len(response.body) == 100_000
    assert time.monotonic() - started_at > 0.5


def test_response_that_stalls_is_given_up():
    started_at = time.monotonic()
    with pytest.raises(TimeoutError, match='after 5 of 10 bytes'):
        _call([HEAD % 10 + b'x' * 5], 5.0)
    assert time.monotonic() - started_at < http_calls.STALL_SECONDS + 0.5


def test_response_that_trickles_is_given_up():
    started_at = time.monotonic()
    with pytest.raises(TimeoutError, match='of 1000 bytes'):
        _call([HEAD % 1000, *[b'x'] * 100], 0.1)
    assert time.monotonic() - started_at < http_calls.STALL_SECONDS + 0.5


def test_response_that_stays_away_is_given_up_at_the_timeout():
    started_at = time.monotonic()
    with pytest.raises(TimeoutError, match='after 0 of an unknown number'):
        _call([b''], 5.0)
    assert time.monotonic() - started_at < 0.8


def test_too_large_response_is_refused_by_its_announced_length():
    """Guards against megabytes that are read only to be thrown away."""
    started_at = time.monotonic()
    with pytest.raises(http_calls.ResponseTooLargeError, match='1000 bytes'):
        _call([HEAD % 1000, *[b'x'] * 100], 0.1, max_body_bytes=500)
    assert time.monotonic() - started_at < 0.3


def test_beginning_of_a_response_is_reported():
    begun = []
    _call([HEAD % 1, b'x'], 0.0, on_response=lambda: begun.append(1))
    assert begun == [1]


OFFER = b'Connection: upgrade\r\nUpgrade: h2c\r\n'


@pytest.mark.parametrize(
    'interim',
    [
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\nstore-era: 7\r\n\r\n',
    ],
)
def test_interim_response_is_not_taken_for_the_final_one(interim):
    """Guards against a store that seems to fail since it announces its responses."""
    response = _call([interim * 2, HEAD % 2, b'ok'], 0.01)
    assert (response.code, response.body) == (200, b'ok')
    assert 'store-era' not in response.header_by_name


def test_response_that_offers_another_protocol_is_read():
    response = _call(
        [b'HTTP/1.1 200 OK\r\n' + OFFER + b'Content-Length: 2\r\n\r\nok'], 0
    )
    assert response.body == b'ok'


@pytest.mark.parametrize('head', [OFFER, b''])
def test_response_that_changes_the_protocol_is_an_error_of_the_call(head):
    """Guards against an exception that ends the task, or the process, that called."""
    with pytest.raises(OSError, match='response'):
        _call([b'HTTP/1.1 101 Switching Protocols\r\n' + head + b'\r\n\x00\x00'], 0)


def test_bytes_after_a_response_are_left_out():
    assert _call([HEAD % 2 + b'ok' + HEAD % 2 + b'no'], 0).body == b'ok'


def test_response_without_a_length_ends_with_its_connection():
    response = _call([b'HTTP/1.1 200 OK\r\n\r\nab', b'cd'], 0.05, closes=True)
    assert response.body == b'abcd'


@pytest.mark.parametrize(
    'cut',
    [
        HEAD % 5 + b'ok',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n',
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
    ],
)
def test_response_that_is_cut_is_an_error(cut):
    """Guards against a part of a response that is taken for the whole."""
    with pytest.raises(OSError, match='before the response was complete'):
        _call([cut], 0, closes=True)


def test_call_leaves_nothing_to_the_garbage_collector():
    """Guards against responses that stay in memory until a collection."""
    gc.collect()
    gc.disable()
    try:
        _call([HEAD % 2 + b'ok'], 0)
        collected = gc.collect()
    finally:
        gc.enable()
    assert collected == 0
