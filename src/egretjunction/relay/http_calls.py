"""Blocking HTTP calls."""

import socket
import time

import httptools
import msgspec

from egretjunction import _tcp
from egretjunction import addresses

READ_BYTES = 262_144
MAX_BODY_BYTES = 4 * 1024 * 1024  # four times the largest value of the store
# Connecting takes about 1 ms; this limit leaves time for one more attempt within 1 s.
CONNECT_TIMEOUT_SECONDS = 0.7


class Response(msgspec.Struct, frozen=True):
    """A complete response.

    :param code: status code.
    :param header_by_name: header fields by their names in lower case.
    """

    code: int
    body: bytes
    header_by_name: dict[str, str]


def call(
    address: addresses.Address,
    method: str,
    target: str,
    body: bytes | None,
    timeout_seconds: float,
) -> Response:
    """Make one HTTP call and return its response.

    :param address: address to connect to; every call opens a new connection.
    :param target: path and query.
    :param body: JSON to send, None for no body.
    :param timeout_seconds: time limit for the complete response.
    :raises OSError: when no complete and valid response arrives in time.
    """
    deadline = time.monotonic() + timeout_seconds
    with socket.create_connection(
        address, min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)
    ) as connection:
        _tcp.enable_keepalive(connection)
        connection.sendall(_request(address, method, target, body))
        try:
            return _receive(connection, deadline)
        except httptools.HttpParserError as error:
            raise OSError(f'response is not valid HTTP: {error}') from error


def _request(
    address: addresses.Address,
    method: str,
    target: str,
    body: bytes | None,
) -> bytes:
    lines = [f'{method} {target} HTTP/1.1', f'Host: {address}']
    if body is not None:
        lines.append('Content-Type: application/json')
        lines.append(f'Content-Length: {len(body)}')
    lines.append('Connection: close')
    head = '\r\n'.join(lines).encode()
    return b'\r\n\r\n'.join((head, body or b''))


class _ResponseParts:
    """Collects headers and body of a response; the parser calls its methods."""

    __slots__ = ('body', 'header_by_name', 'is_complete')

    def __init__(self) -> None:
        self.body = b''
        self.header_by_name: dict[str, str] = {}
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field."""
        text = value.decode('ascii', 'replace')
        self.header_by_name[name.decode('ascii', 'replace').lower()] = text

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self.body += chunk

    def on_message_complete(self) -> None:
        """Record that the response is complete."""
        self.is_complete = True


def _receive(connection: socket.socket, deadline: float) -> Response:
    """Return the response that arrives on a connection.

    :param deadline: time limit on the monotonic clock.
    :raises OSError: when the response is not complete by then, or too large.
    """
    parts = _ResponseParts()
    parser = httptools.HttpResponseParser(parts)
    while not parts.is_complete:
        remaining_seconds = deadline - time.monotonic()
        if remaining_seconds <= 0:
            raise TimeoutError(_describe_incomplete(parts))
        connection.settimeout(remaining_seconds)
        received = _read_chunk(connection, parts)
        if not received:
            raise OSError('connection closed before the response was complete')
        parser.feed_data(received)
        if len(parts.body) > MAX_BODY_BYTES:
            raise OSError(f'response body exceeds {MAX_BODY_BYTES} bytes')
    return Response(parser.get_status_code(), parts.body, parts.header_by_name)


def _read_chunk(connection: socket.socket, parts: _ResponseParts) -> bytes:
    try:
        return connection.recv(READ_BYTES)
    except TimeoutError as error:
        raise TimeoutError(_describe_incomplete(parts)) from error


def _describe_incomplete(parts: _ResponseParts) -> str:
    """Return how much of a response has arrived, for an error message."""
    expected = parts.header_by_name.get('content-length', 'an unknown number of')
    return f'timed out after {len(parts.body)} of {expected} bytes'
