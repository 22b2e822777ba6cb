"""HTTP/1.1 client for the backend server beside an agent."""

import asyncio
import socket
import typing

from tornado import http1connection
from tornado import httputil
from tornado import iostream

from egretjunction import addresses
from egretjunction import logs
from egretjunction import verdicts
from egretjunction.quic import server_flow

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_BODY_BYTES = 1_000_000_000_000  # tornado's default is the stream's buffer size
CHUNK_BYTES = 65_536
MIN_FINAL_STATUS = 200  # lower ones are informational responses
METHODS_WITHOUT_BODY = frozenset(('GET', 'HEAD', 'OPTIONS', 'TRACE'))


class BackendError(Exception):
    """The backend server did not send a complete response.

    :param progress: how far the request got.
    """

    def __init__(self, message: str, progress: verdicts.Progress) -> None:
        self.progress = progress
        super().__init__(message)


class RequestHead:
    """Request line and headers of a request."""

    __slots__ = ('headers', 'method', 'path')

    def __init__(
        self,
        method: str,
        path: str,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers


ReadBody = typing.Callable[[], typing.Awaitable[bytes]]
OnHeaders = typing.Callable[[int, httputil.HTTPHeaders], typing.Awaitable[None]]
OnData = typing.Callable[[bytes], typing.Awaitable[None]]


class _ResponseDelegate(httputil.HTTPMessageDelegate):
    """Passes the parts of a response to callbacks as they arrive."""

    def __init__(
        self, exchange: 'Exchange', on_headers: OnHeaders, on_data: OnData
    ) -> None:
        self._exchange = exchange
        self._on_headers = on_headers
        self._on_data = on_data

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> typing.Awaitable[None] | None:
        response_line = typing.cast('httputil.ResponseStartLine', start_line)
        if response_line.code >= MIN_FINAL_STATUS:
            self._exchange.progress = verdicts.Progress.FIRST_BYTE
            return self._on_headers(response_line.code, headers)
        return None

    def data_received(self, chunk: bytes) -> typing.Awaitable[None]:
        return self._on_data(chunk)

    def finish(self) -> None:
        self._exchange.progress = verdicts.Progress.ANSWERED


class Exchange:
    """One request and its response, over a connection of its own.

    :param address: address of the backend server.
    """

    __slots__ = ('_address', '_stream', 'progress')

    def __init__(self, address: addresses.Address) -> None:
        self._address = address
        self._stream: iostream.IOStream | None = None
        self.progress = verdicts.Progress.QUEUED

    async def run(
        self,
        head: RequestHead,
        read_body: ReadBody,
        on_headers: OnHeaders,
        on_data: OnData,
    ) -> None:
        """Send the request and pass the response to callbacks.

        :param head: request line and headers.
        :param read_body: returns the next chunk of the body, empty at its end.
        :param on_headers: receives status and headers of the response.
        :param on_data: receives a chunk of the response body.
        :raises BackendError: when the response is not complete.
        """
        await self._connect()
        stream = typing.cast('iostream.IOStream', self._stream)
        options = http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True,
            chunk_size=CHUNK_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        connection = http1connection.HTTP1Connection(stream, True, options)
        send_task = asyncio.create_task(self._send(connection, head, read_body))
        try:
            await connection.read_response(_ResponseDelegate(self, on_headers, on_data))
        except (iostream.StreamClosedError, httputil.HTTPInputError) as error:
            raise BackendError(str(error), self.progress) from error
        finally:
            send_task.cancel()
            stream.close()
        if self.progress is not verdicts.Progress.ANSWERED:
            raise BackendError('response was cut short', self.progress)

    def cancel(self) -> None:
        """Close the connection, which cancels the request at the backend server."""
        if self._stream is not None:
            self._stream.close()

    async def _connect(self) -> None:
        self._stream = iostream.IOStream(socket.socket())
        try:
            await asyncio.wait_for(
                self._stream.connect(self._address),
                CONNECT_TIMEOUT_SECONDS,
            )
        except (OSError, TimeoutError) as error:
            self._stream.close()
            raise BackendError(
                f'cannot connect to backend server: {error}', self.progress
            ) from error

    async def _send(
        self,
        connection: http1connection.HTTP1Connection,
        head: RequestHead,
        read_body: ReadBody,
    ) -> None:
        request_line = httputil.RequestStartLine(head.method, head.path, 'HTTP/1.1')
        self.progress = verdicts.Progress.SENT
        try:
            await connection.write_headers(request_line, head.headers)
            if head.method not in METHODS_WITHOUT_BODY:
                await self._send_body(connection, read_body)
            connection.finish()
        except (iostream.StreamClosedError, httputil.HTTPOutputError):
            self.cancel()
        except server_flow.RequestEndedError:
            logs.get().info('request_cancelled_by_caller', path=head.path)
            self.cancel()

    async def _send_body(
        self,
        connection: http1connection.HTTP1Connection,
        read_body: ReadBody,
    ) -> None:
        chunk = await read_body()
        while chunk:
            await connection.write(chunk)
            chunk = await read_body()
