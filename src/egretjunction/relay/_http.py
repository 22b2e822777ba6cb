"""HTTP servers of the daemons that relay."""

import socket
import types
import typing

import httptools

from egretjunction import addresses
from egretjunction.relay import _loop

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
UNAVAILABLE = 503
MAX_BODY_BYTES = 65_536  # a heartbeat has a few hundred bytes
MAX_CONNECTIONS = 128
BACKLOG = 128
READ_BYTES = 65_536
_REASON_BY_CODE = types.MappingProxyType(
    {
        OK: 'OK',
        BAD_REQUEST: 'Bad Request',
        NOT_FOUND: 'Not Found',
        UNAVAILABLE: 'Service Unavailable',
    },
)


class Request:
    """One request.

    :param path: target without its query.
    """

    __slots__ = ('body', 'method', 'path')

    def __init__(self, method: str, path: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.body = body


Answer = tuple[int, bytes]
Handler = typing.Callable[[Request], Answer]


class Server:
    """Answers every request at an address with what a function returns.

    :param address: where to listen.
    :param handler: returns a status code and a JSON or text body.
    :param loop: event loop of the process.
    """

    __slots__ = ('_connection_by_socket', '_handler', '_listener', '_loop')

    def __init__(
        self,
        address: addresses.Address,
        handler: Handler,
        loop: _loop.Loop,
    ) -> None:
        self._handler = handler
        self._loop = loop
        self._connection_by_socket: dict[socket.socket, _Connection] = {}
        self._listener = socket.create_server(address, backlog=BACKLOG)
        self._listener.setblocking(False)
        loop.add_reader(self._listener, self._accept)

    @property
    def address(self) -> addresses.Address:
        """Return the address that the server listens at."""
        return addresses.Address(*self._listener.getsockname())

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._loop.remove_reader(self._listener)
        self._listener.close()
        for opened in list(self._connection_by_socket):
            self._close(opened)

    def _accept(self) -> None:
        try:
            opened, _ = self._listener.accept()
        except OSError:  # the client has gone again
            return
        opened.setblocking(False)
        if len(self._connection_by_socket) >= MAX_CONNECTIONS:
            self._close(next(iter(self._connection_by_socket)))
        self._connection_by_socket[opened] = _Connection(opened, self._handler)
        self._loop.add_reader(opened, lambda: self._serve(opened))

    def _serve(self, opened: socket.socket) -> None:
        if not self._connection_by_socket[opened].serve():
            self._close(opened)

    def _close(self, opened: socket.socket) -> None:
        self._connection_by_socket.pop(opened)
        self._loop.remove_reader(opened)
        opened.close()


class _Connection:
    """One client's connection, with the request that is being read."""

    __slots__ = ('_body', '_handler', '_is_open', '_parser', '_socket', '_target')

    def __init__(self, opened: socket.socket, handler: Handler) -> None:
        self._socket = opened
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._target = b''
        self._body = b''
        self._is_open = True

    def serve(self) -> bool:
        """Read what has come; tell whether the connection stays open."""
        try:
            received = self._socket.recv(READ_BYTES)
            self._parser.feed_data(received)
        except BlockingIOError:
            return True
        except (OSError, httptools.HttpParserError):
            return False
        return self._is_open and bool(received)

    def on_url(self, target: bytes) -> None:
        """Take a part of the target; the parser calls it."""
        self._target += target

    def on_body(self, part: bytes) -> None:
        """Take a part of the body; the parser calls it."""
        self._body += part
        if len(self._body) > MAX_BODY_BYTES:
            raise ValueError(f'a body of more than {MAX_BODY_BYTES} bytes')

    def on_message_complete(self) -> None:
        """Answer the request; the parser calls it."""
        path = self._target.decode('ascii', 'replace').partition('?')[0]
        method = self._parser.get_method().decode('ascii', 'replace')
        code, body = self._handler(Request(method, path, self._body))
        self._target = b''
        self._body = b''
        self._is_open = self._parser.should_keep_alive()
        head = (
            f'HTTP/1.1 {code} {_REASON_BY_CODE[code]}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Content-Type: application/json\r\n\r\n'
        )
        self._socket.sendall(head.encode() + body)


def readiness(path: str, is_ready: typing.Callable[[], bool]) -> Handler:
    """Return a handler that tells whether a daemon is ready."""

    def handle(request: Request) -> Answer:
        if request.path != path:
            return NOT_FOUND, b'{}'
        return (OK if is_ready() else UNAVAILABLE), b'{}'

    return handle


def pages(read_by_path: typing.Mapping[str, typing.Callable[[], bytes]]) -> Handler:
    """Return a handler that serves what functions return, by path."""

    def handle(request: Request) -> Answer:
        read = read_by_path.get(request.path)
        return (OK, read()) if read is not None else (NOT_FOUND, b'{}')

    return handle
