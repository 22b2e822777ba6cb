"""HTTP servers of the daemons that relay."""

import socket
import typing

import h11
import msgspec

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


class Request:
    """One request.

    :param path: target without its query.
    """

    __slots__ = ('body', 'method', 'path')

    def __init__(self, method: str, path: str) -> None:
        self.method = method
        self.path = path
        self.body = b''


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

    __slots__ = ('_handler', '_protocol', '_request', '_socket')

    def __init__(self, opened: socket.socket, handler: Handler) -> None:
        self._socket = opened
        self._handler = handler
        self._protocol = h11.Connection(h11.SERVER)
        self._request = Request('', '')

    def serve(self) -> bool:
        """Read what has come; tell whether the connection stays open."""
        try:
            self._protocol.receive_data(self._socket.recv(READ_BYTES))
            return self._handle_events()
        except BlockingIOError:
            return True
        except (OSError, h11.RemoteProtocolError):
            return False

    def _handle_events(self) -> bool:
        while True:
            event = self._protocol.next_event()
            if event is h11.NEED_DATA:
                return True
            if not self._handle(event):
                return False

    def _handle(self, event: object) -> bool:
        """Take one event; tell whether the connection stays open."""
        if isinstance(event, h11.Request):
            target = event.target.decode('ascii', 'replace')
            method = event.method.decode('ascii', 'replace')
            self._request = Request(method, target.partition('?')[0])
            return True
        if isinstance(event, h11.Data):
            self._request.body += bytes(event.data)
            return len(self._request.body) <= MAX_BODY_BYTES
        return isinstance(event, h11.EndOfMessage) and self._answer()

    def _answer(self) -> bool:
        code, body = self._handler(self._request)
        headers = [
            ('Content-Length', str(len(body))),
            ('Content-Type', 'application/json'),
        ]
        parts = (
            h11.Response(status_code=code, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )
        sent = b''.join(self._protocol.send(part) or b'' for part in parts)
        self._socket.sendall(sent)
        if self._protocol.our_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True


def readiness(path: str, is_ready: typing.Callable[[], bool]) -> Handler:
    """Return a handler that tells whether a daemon is ready."""

    def handle(request: Request) -> Answer:
        if request.path != path:
            return NOT_FOUND, b'{}'
        return (OK if is_ready() else UNAVAILABLE), b'{}'

    return handle


def figures(
    read: typing.Callable[[], bytes],
    status: typing.Callable[[], dict[str, object]],
) -> Handler:
    """Return a handler of ``/metrics`` and ``/status``.

    :param read: returns all figures as text.
    :param status: returns what the process believes.
    """

    def handle(request: Request) -> Answer:
        if request.path == '/metrics':
            return OK, read()
        if request.path == '/status':
            return OK, msgspec.json.encode(status())
        return NOT_FOUND, b'{}'

    return handle
