"""HTTP servers of the daemons that relay: small, and without a web framework."""

import typing

from tornado import httpserver
from tornado import httputil

from egretjunction import addresses

OK = 200
NOT_FOUND = 404
UNAVAILABLE = 503
_REASON_BY_CODE = {
    OK: 'OK',
    400: 'Bad Request',
    NOT_FOUND: 'Not Found',
    UNAVAILABLE: 'Service Unavailable',
}

Answer = tuple[int, bytes]
Handler = typing.Callable[[httputil.HTTPServerRequest], Answer]


def listen(address: addresses.Address, handler: Handler) -> httpserver.HTTPServer:
    """Answer every request at an address with what a function returns.

    :param address: where to listen.
    :param handler: returns a status code and a JSON or text body.
    """

    def respond(request: httputil.HTTPServerRequest) -> None:
        code, body = handler(request)
        headers = httputil.HTTPHeaders(
            {'Content-Length': str(len(body)), 'Content-Type': 'application/json'},
        )
        line = httputil.ResponseStartLine('HTTP/1.1', code, _REASON_BY_CODE[code])
        connection = typing.cast('httputil.HTTPConnection', request.connection)
        connection.write_headers(line, headers, body)
        connection.finish()

    server = httpserver.HTTPServer(respond)
    server.listen(address.port, address.host)
    return server


def readiness(path: str, is_ready: typing.Callable[[], bool]) -> Handler:
    """Return a handler that tells whether a daemon is ready."""

    def handle(request: httputil.HTTPServerRequest) -> Answer:
        if request.path != path:
            return NOT_FOUND, b'{}'
        return (OK if is_ready() else UNAVAILABLE), b'{}'

    return handle
