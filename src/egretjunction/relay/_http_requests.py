"""Requests of one HTTP connection, parsed as their bytes arrive."""

import typing

import httptools

MAX_BODY_BYTES = 65_536  # a heartbeat has a few hundred bytes
# Without a complete head or a part of a body; httptools keeps such bytes in memory.
MAX_UNFINISHED_BYTES = 65_536
_CONNECT = b'CONNECT'


class Request:
    """One HTTP request.

    :param path: request target without its query.
    :param keeps_open: whether the client may send more requests on the connection.
    """

    __slots__ = ('body', 'keeps_open', 'method', 'path')

    def __init__(
        self, method: str, path: str, body: bytes, *, keeps_open: bool
    ) -> None:
        self.method = method
        self.path = path
        self.body = body
        self.keeps_open = keeps_open


class Reader:
    """Parses the requests of one connection; the parser calls its ``on_`` methods.

    An offer to continue in another protocol is ignored, as RFC 9110, section 7.8,
    allows, and the request is served as if it had been made without the offer.

    :param on_request: called with each complete request.
    """

    __slots__ = (
        '_body',
        '_field_lines',
        '_on_request',
        '_parser',
        '_target',
        '_unfinished_bytes',
    )

    def __init__(self, on_request: typing.Callable[[Request], None]) -> None:
        self._on_request = on_request
        self._unfinished_bytes = 0
        self._begin_with_new_parser()

    def feed(self, received: bytes) -> None:
        """Parse more bytes.

        :raises httptools.HttpParserError: when they are no HTTP request, or one that
            is too large.
        """
        self._unfinished_bytes += len(received)
        while received:
            try:
                self._parser.feed_data(received)
            except httptools.HttpParserUpgrade as offer:
                if self._parser.get_method() == _CONNECT:
                    return
                parsed_bytes = offer.args[0]
                received = self._head_without_offer() + received[parsed_bytes:]
                self._begin_with_new_parser()
            else:
                received = b''
        if self._unfinished_bytes > MAX_UNFINISHED_BYTES:
            raise httptools.HttpParserError('the head of a request is too large')

    def on_url(self, target: bytes) -> None:
        """Append a part of the request target."""
        self._target += target

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header field, unless it offers another protocol."""
        if name.lower() != b'upgrade':
            self._field_lines.append(b'%b: %b\r\n' % (name, value))

    def on_headers_complete(self) -> None:
        """Record that the head is complete."""
        self._unfinished_bytes = 0

    def on_body(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self._unfinished_bytes = 0
        self._body += chunk
        if len(self._body) > MAX_BODY_BYTES:
            raise ValueError(f'request body exceeds {MAX_BODY_BYTES} bytes')

    def on_message_complete(self) -> None:
        """Pass the request on, unless the parser has stopped at an offer."""
        method = self._parser.get_method()
        is_connect = method == _CONNECT
        if self._parser.should_upgrade() and not is_connect:
            return
        request = Request(
            method.decode('ascii', 'replace'),
            self._target.decode('ascii', 'replace').partition('?')[0],
            self._body,
            keeps_open=self._parser.should_keep_alive() and not is_connect,
        )
        self._begin()
        self._on_request(request)

    def _begin(self) -> None:
        self._target = b''
        self._field_lines: list[bytes] = []
        self._body = b''

    def _begin_with_new_parser(self) -> None:
        self._parser = httptools.HttpRequestParser(self)
        self._begin()

    def _head_without_offer(self) -> bytes:
        """Return the head of the request that the parser has stopped at.

        The parser takes what follows an offer, even a body, for the other protocol.
        """
        version = self._parser.get_http_version().encode()
        request_line = b'%b %b HTTP/%b\r\n' % (
            self._parser.get_method(),
            self._target,
            version,
        )
        return b''.join((request_line, *self._field_lines, b'\r\n'))
