"""Blocking HTTP calls."""

import socket
import time
import typing

import httptools
import msgspec

from egretjunction import _tcp
from egretjunction import addresses

READ_BYTES = 262_144
MAX_BODY_BYTES = 4 * 1024 * 1024  # four times the largest value of the store
# Connecting takes about 1 ms; this limit leaves time for one more attempt within 1 s.
CONNECT_TIMEOUT_SECONDS = 0.7
# A response that has begun is read for as long as it makes progress: its size and the
# speed of the link are not known beforehand.
STALL_SECONDS = 1.0  # longest pause between two parts of a response
MIN_WAIT_SECONDS = 0.001  # a timeout of 0 would make the socket non-blocking
MIN_BYTES_PER_SECOND = 16_384  # on average; far below the slowest link
LENGTH_FIELDS = frozenset(('content-length', 'transfer-encoding'))
FIRST_FINAL_CODE = 200  # lower codes announce another response


class ResponseTooLargeError(OSError):
    """The body of a response exceeds the limit of the call."""


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
    max_body_bytes: int = MAX_BODY_BYTES,
    on_response: typing.Callable[[], None] | None = None,
) -> Response:
    """Make one HTTP call and return its response.

    :param address: address to connect to; every call opens a new connection.
    :param target: path and query.
    :param body: JSON to send, None for no body.
    :param timeout_seconds: time limit until the first part of the response; the rest
        has time for as long as it makes progress.
    :param max_body_bytes: limit for the body of the response.
    :param on_response: called when the first part of the response arrives.
    :raises ResponseTooLargeError: when the body exceeds its limit.
    :raises OSError: when no complete and valid response arrives in time.
    """
    deadline = time.monotonic() + timeout_seconds
    with socket.create_connection(
        address, min(timeout_seconds, CONNECT_TIMEOUT_SECONDS)
    ) as connection:
        _tcp.enable_keepalive(connection)
        connection.sendall(_request(address, method, target, body))
        try:
            return _receive(connection, deadline, max_body_bytes, on_response)
        except httptools.HttpParserUpgrade as error:
            raise OSError('response changes to a protocol never offered') from error
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
    """Collects headers and body of a response; the parser calls its methods.

    Interim responses, and bytes after the response, are left out. A response without a
    stated length ends with its connection.
    """

    __slots__ = (
        'body',
        'has_head',
        'header_by_name',
        'is_complete',
        'parser',
    )

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b''
        self.has_head = False
        self.header_by_name: dict[str, str] = {}
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field."""
        text = value.decode('ascii', 'replace')
        if not self.is_complete:
            self.header_by_name[name.decode('ascii', 'replace').lower()] = text

    def on_headers_complete(self) -> None:
        """Record that the head is complete."""
        self.has_head = True

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        if not self.is_complete:
            self.body += chunk

    def on_message_complete(self) -> None:
        """Record that the response is complete, unless it is an interim one."""
        if self.parser.get_status_code() < FIRST_FINAL_CODE:
            self.has_head = False
            self.header_by_name.clear()
        else:
            self.is_complete = True

    def ends_with_connection(self) -> bool:
        """Tell whether the close of the connection is the end of the response."""
        has_length = not self.header_by_name.keys().isdisjoint(LENGTH_FIELDS)
        return self.has_head and not has_length


def _receive(
    connection: socket.socket,
    deadline: float,
    max_body_bytes: int,
    on_response: typing.Callable[[], None] | None,
) -> Response:
    """Return the response that arrives on a connection.

    :param deadline: time limit on the monotonic clock until its first part.
    :raises OSError: when the response stays away, stalls, or is too large.
    """
    parts = _ResponseParts()
    try:
        _receive_parts(parts, connection, deadline, max_body_bytes, on_response)
        code = parts.parser.get_status_code()
    finally:
        parts.parser = None  # both refer to each other, and would wait for a collection
    return Response(code, parts.body, parts.header_by_name)


def _receive_parts(
    parts: _ResponseParts,
    connection: socket.socket,
    deadline: float,
    max_body_bytes: int,
    on_response: typing.Callable[[], None] | None,
) -> None:
    """Read until a response is complete."""
    started_at: float | None = None
    while not parts.is_complete:
        received = _read_chunk(connection, deadline, parts)
        if not received and parts.ends_with_connection():
            return
        if not received:
            raise OSError('connection closed before the response was complete')
        parts.parser.feed_data(received)
        _check_size(parts, max_body_bytes)
        now = time.monotonic()
        if started_at is None:
            started_at = now
            if on_response is not None:
                on_response()
        deadline = _next_deadline(now, started_at, len(parts.body))


def _next_deadline(now: float, started_at: float, body_bytes: int) -> float:
    """Return until when the next part of a response must arrive."""
    slowest_at = started_at + body_bytes / MIN_BYTES_PER_SECOND
    return min(now, slowest_at) + STALL_SECONDS


def _check_size(parts: _ResponseParts, max_body_bytes: int) -> None:
    """Reject a body that is too large as soon as its length is announced."""
    announced = parts.header_by_name.get('content-length', '0')
    announced_bytes = int(announced) if announced.isdecimal() else 0
    if max(announced_bytes, len(parts.body)) > max_body_bytes:
        raise ResponseTooLargeError(
            f'response body of {announced} bytes exceeds {max_body_bytes} bytes'
        )


def _read_chunk(
    connection: socket.socket, deadline: float, parts: _ResponseParts
) -> bytes:
    """Return the next part of a response.

    :param deadline: time limit on the monotonic clock.
    :param parts: what has arrived before.
    :raises TimeoutError: when nothing arrives in time.
    """
    connection.settimeout(max(MIN_WAIT_SECONDS, deadline - time.monotonic()))
    try:
        return connection.recv(READ_BYTES)
    except TimeoutError as error:
        expected = parts.header_by_name.get('content-length', 'an unknown number of')
        raise TimeoutError(
            f'timed out after {len(parts.body)} of {expected} bytes'
        ) from error
