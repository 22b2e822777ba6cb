"""HTTP server of the relay daemons."""

import collections
import socket
import types
import typing

import httptools

from egretjunction import addresses
from egretjunction.relay import _http_requests
from egretjunction.relay import _loop

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
INTERNAL_ERROR = 500
UNAVAILABLE = 503
MAX_CONNECTIONS = 128
BACKLOG = 128
READ_BYTES = 65_536
_REASON_BY_CODE = types.MappingProxyType(
    {
        OK: 'OK',
        BAD_REQUEST: 'Bad Request',
        NOT_FOUND: 'Not Found',
        CONFLICT: 'Conflict',
        INTERNAL_ERROR: 'Internal Server Error',
        UNAVAILABLE: 'Service Unavailable',
    },
)


Response = tuple[int, bytes]
Handler = typing.Callable[[_http_requests.Request], Response]


class Server:
    """HTTP server that passes every request to one handler.

    :param address: address to listen at.
    :param handler: returns the status code and the body of the response.
    :param loop: event loop of the process.
    :param log: writes one event.
    """

    __slots__ = ('_connection_by_socket', '_handler', '_listener', '_loop')

    def __init__(
        self,
        address: addresses.Address,
        handler: Handler,
        loop: _loop.Loop,
        log: typing.Callable[..., None],
    ) -> None:
        self._handler = _with_logged_errors(handler, log)
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
        for client_socket in list(self._connection_by_socket):
            self._close(client_socket)

    def _accept(self) -> None:
        try:
            client_socket, _ = self._listener.accept()
        except OSError:  # the client closed the connection before it was accepted
            return
        client_socket.setblocking(False)
        if len(self._connection_by_socket) >= MAX_CONNECTIONS:
            self._close(next(iter(self._connection_by_socket)))
        self._connection_by_socket[client_socket] = _Connection(
            client_socket, self._handler
        )
        self._loop.add_reader(client_socket, lambda: self._serve(client_socket))

    def _serve(self, client_socket: socket.socket) -> None:
        connection = self._connection_by_socket.get(client_socket)
        if connection is None:  # closed since the loop found it readable
            return
        was_blocked = connection.has_unsent
        if not connection.serve():
            self._close(client_socket)
        elif connection.has_unsent != was_blocked:
            self._loop.await_writable(client_socket, is_awaited=connection.has_unsent)

    def _close(self, client_socket: socket.socket) -> None:
        self._connection_by_socket.pop(client_socket)
        self._loop.remove_reader(client_socket)
        client_socket.close()


class _Connection:
    """One client connection, the requests that wait, and unsent data.

    Nothing more is read and no other request is handled while a response is not sent
    completely, so that a client that does not read holds at most one response in
    memory.
    """

    __slots__ = ('_handler', '_is_open', '_reader', '_requests', '_socket', '_unsent')

    def __init__(self, client_socket: socket.socket, handler: Handler) -> None:
        self._socket = client_socket
        self._handler = handler
        self._requests: collections.deque[_http_requests.Request] = collections.deque()
        self._reader = _http_requests.Reader(self._requests.append)
        self._is_open = True
        self._unsent = memoryview(b'')

    @property
    def has_unsent(self) -> bool:
        """Return whether a part of a response waits until the socket is writable."""
        return bool(self._unsent)

    def serve(self) -> bool:
        """Send and read what is possible; return whether the connection stays open."""
        try:
            return self._send() and (self.has_unsent or self._read())
        except BlockingIOError:
            return True
        except (OSError, httptools.HttpParserError):
            return False

    def _read(self) -> bool:
        received = self._socket.recv(READ_BYTES)
        self._reader.feed(received)
        return bool(received) and self._send()

    def _send(self) -> bool:
        """Send responses to the requests; return whether the connection stays open."""
        while self._unsent or self._requests:
            if not self._unsent:
                self._respond(self._requests.popleft())
            sent_bytes = self._socket.send(self._unsent)
            self._unsent = self._unsent[sent_bytes:]
            if self._unsent:
                return True
        return self._is_open

    def _respond(self, request: _http_requests.Request) -> None:
        code, body = self._handler(request)
        self._is_open = request.keeps_open
        if not self._is_open:
            self._requests.clear()
        head = (
            f'HTTP/1.1 {code} {_REASON_BY_CODE[code]}\r\n'
            f'Content-Length: {len(body)}\r\n'
            'Content-Type: application/json\r\n\r\n'
        )
        response = b''.join((head.encode(), body))
        self._unsent = memoryview(response)  # its slices are not copies


def _with_logged_errors(handler: Handler, log: typing.Callable[..., None]) -> Handler:
    """Return a handler that answers with an error status where another one fails."""

    def handle(request: _http_requests.Request) -> Response:
        try:
            return handler(request)
        except Exception as error:  # one request must not end the process
            log(
                'request_failed',
                method=request.method,
                path=request.path,
                error=repr(error),
            )
            return INTERNAL_ERROR, b'{}'

    return handle


def readiness_handler(path: str, is_ready: typing.Callable[[], bool]) -> Handler:
    """Return a handler that serves a readiness check at a path."""

    def handle(request: _http_requests.Request) -> Response:
        if request.path != path:
            return NOT_FOUND, b'{}'
        return (OK if is_ready() else UNAVAILABLE), b'{}'

    return handle


def page_handler(
    render_by_path: typing.Mapping[str, typing.Callable[[], bytes]],
) -> Handler:
    """Return a handler that serves one page per path.

    :param render_by_path: returns the body of a page, by path.
    """

    def handle(request: _http_requests.Request) -> Response:
        render = render_by_path.get(request.path)
        return (OK, render()) if render is not None else (NOT_FOUND, b'{}')

    return handle
