"""HTTP calls that wait for their answer, in the thread that makes them."""

import socket
import time

import httptools

from egretjunction import addresses

READ_BYTES = 262_144
MAX_BODY_BYTES = 4 * 1024 * 1024  # four times what a key of the store may hold
CONNECT_SECONDS = 0.7  # a connection takes a millisecond; one more try fits into 1 s


def call(
    address: addresses.Address,
    method: str,
    target: str,
    body: bytes | None,
    seconds: float,
) -> tuple[int, bytes]:
    """Return status code and body of the answer to one call.

    :param address: where to connect; each call has a connection of its own.
    :param target: path and query.
    :param body: JSON to send, or None.
    :param seconds: the longest wait for the whole answer.
    :raises OSError: when there is no complete and readable answer in time.
    """
    until = time.monotonic() + seconds
    with socket.create_connection(address, min(seconds, CONNECT_SECONDS)) as opened:
        opened.sendall(_request(address, method, target, body))
        try:
            return _receive(opened, until)
        except httptools.HttpParserError as error:
            raise OSError(f'not an HTTP answer: {error}') from error


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


class _Answer:
    """Collects an answer; its methods are called by the parser."""

    __slots__ = ('body', 'is_complete')

    def __init__(self) -> None:
        self.body = b''
        self.is_complete = False

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self.body += part

    def on_message_complete(self) -> None:
        """Note the end of the answer."""
        self.is_complete = True


def _receive(opened: socket.socket, until: float) -> tuple[int, bytes]:
    """Return status code and body of an answer.

    :param until: when to give up, by the steady clock.
    :raises OSError: when the answer is not complete by then, or too large.
    """
    answer = _Answer()
    parser = httptools.HttpResponseParser(answer)
    while not answer.is_complete:
        left = until - time.monotonic()
        if left <= 0:
            raise TimeoutError('no complete answer in time')
        opened.settimeout(left)
        received = opened.recv(READ_BYTES)
        if not received:
            raise OSError('connection closed before the end of the answer')
        parser.feed_data(received)
        if len(answer.body) > MAX_BODY_BYTES:
            raise OSError(f'an answer of more than {MAX_BODY_BYTES} bytes')
    return parser.get_status_code(), answer.body
