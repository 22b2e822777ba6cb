"""A caller's connection at an agent: QUIC, HTTP/3 and its open requests."""

import asyncio
import collections
import functools
import typing

from aioquic import asyncio as quic_asyncio
from aioquic.h3 import connection as h3
from aioquic.h3 import events as h3_events
from aioquic.quic import events as quic_events

from egretjunction import addresses
from egretjunction.quic import connections
from egretjunction.quic import http_headers

SEND_HIGH_WATER_BYTES = 262_144


class RequestEndedError(Exception):
    """The caller reset the stream or its connection ended."""


class Stream:
    """One request stream of a flow.

    :param flow: the connection that the stream belongs to.
    :param stream_id: ID of the stream.
    :param header_list: header fields of the request.
    """

    __slots__ = (
        '_chunks',
        '_ended',
        '_flow',
        '_wakeup',
        'header_list',
        'is_cancelled',
        'stream_id',
    )

    def __init__(
        self, flow: 'Flow', stream_id: int, header_list: http_headers.HeaderList
    ) -> None:
        self._flow = flow
        self.stream_id = stream_id
        self.header_list = header_list
        self.is_cancelled = False
        self._ended = False
        self._chunks: collections.deque[bytes] = collections.deque()
        self._wakeup = asyncio.Event()

    @property
    def flow(self) -> 'Flow':
        """Return the connection that the stream belongs to."""
        return self._flow

    def add_body(self, chunk: bytes, is_last: bool) -> None:
        """Append a chunk of the request body."""
        if chunk:
            self._chunks.append(chunk)
            self._flow.connection.add_unconsumed(len(chunk))
        self._ended = self._ended or is_last
        self._wakeup.set()

    def mark_cancelled(self) -> None:
        """Mark the request as cancelled and release its receive window."""
        self.is_cancelled = True
        self.discard_body()
        self._wakeup.set()

    def discard_body(self) -> None:
        """Drop unread body chunks and release their receive window."""
        for chunk in self._chunks:
            self._flow.connection.consume(len(chunk))
        self._chunks.clear()

    async def read(self) -> bytes:
        """Return the next chunk of the body, empty at its end.

        A returned chunk counts as consumed, so the receive window grows only as fast
        as the reader asks for more.

        :raises RequestEndedError: when the request was cancelled.
        """
        while not self._chunks:
            if self.is_cancelled:
                raise RequestEndedError
            if self._ended:
                return b''
            self._wakeup.clear()
            await self._wakeup.wait()
        chunk = self._chunks.popleft()
        self._flow.connection.consume(len(chunk))
        self._flow.transmit()
        return chunk

    async def send_response_headers(
        self, header_list: http_headers.HeaderList, is_last: bool = False
    ) -> None:
        """Send the header fields of the response."""
        if connections.can_send(self._flow.connection, self.stream_id):
            self._flow.http.send_headers(self.stream_id, header_list, is_last)
            self._flow.transmit()

    async def send_data(self, chunk: bytes, is_last: bool = False) -> None:
        """Send a chunk of the response and wait while too much is unacknowledged.

        :raises RequestEndedError: when the request was cancelled.
        """
        flow = self._flow
        if not connections.can_send(flow.connection, self.stream_id):
            raise RequestEndedError
        flow.http.send_data(self.stream_id, chunk, is_last)
        flow.transmit()
        while (
            connections.unacknowledged_bytes(flow.connection, self.stream_id)
            > SEND_HIGH_WATER_BYTES
        ):
            await flow.wait_for_activity()
            if self.is_cancelled:
                raise RequestEndedError

    def reset(self, error_code: int) -> None:
        """Reset the sending side of the stream with an error code."""
        if connections.can_send(self._flow.connection, self.stream_id):
            self._flow.connection.reset_stream(self.stream_id, error_code)
            self._flow.transmit()


class Handlers:
    """Callbacks of a flow.

    :param send: sends a datagram to the caller.
    :param on_request: called with each new request.
    :param on_cancel: called with each request that the caller gave up.
    :param on_closed: called with the flow once its connection has ended.
    """

    __slots__ = ('on_cancel', 'on_closed', 'on_request', 'send')

    def __init__(
        self,
        send: 'typing.Callable[[Flow, bytes, tuple], None]',
        on_request: typing.Callable[[Stream], None],
        on_cancel: typing.Callable[[Stream], None],
        on_closed: 'typing.Callable[[Flow], None]',
    ) -> None:
        self.send = send
        self.on_request = on_request
        self.on_cancel = on_cancel
        self.on_closed = on_closed


class _Transport:
    """Sends the datagrams of one flow through the agent's socket."""

    __slots__ = ('_flow', '_send')

    def __init__(self, flow: 'Flow', handlers: Handlers) -> None:
        self._flow = flow
        self._send = handlers.send

    def sendto(self, payload: bytes, address: tuple) -> None:
        """Send one datagram to the caller."""
        self._send(self._flow, payload, address)


class Flow(quic_asyncio.QuicConnectionProtocol):
    """A QUIC connection that this agent owns.

    :param connection: the QUIC connection.
    :param service_address: the address that the caller used.
    :param handlers: callbacks of the flow.
    """

    def __init__(
        self,
        connection: connections.ServerConnection,
        service_address: addresses.Address,
        handlers: Handlers,
    ) -> None:
        super().__init__(connection)
        self.connection = connection
        self.service_address = service_address
        self.http = connections.Http3Connection(connection)
        self.stream_by_id: dict[int, Stream] = {}
        self.entry: tuple[str, int] | None = None
        self.last_received_at = float(0)
        self.is_established = False
        self.is_goaway_sent = False
        self._next_stream_id = 0
        self._handlers = handlers
        self._activity = asyncio.Event()
        self.connection_made(typing.cast('typing.Any', _Transport(self, handlers)))

    @property
    def is_idle(self) -> bool:
        """Return whether no request is open."""
        return not self.stream_by_id

    def watch_connection_ids(
        self,
        on_issued: 'typing.Callable[[Flow, bytes], None]',
        on_retired: 'typing.Callable[[Flow, bytes], None]',
    ) -> None:
        """Set the callbacks for connection IDs that are issued or retired."""
        self._connection_id_issued_handler = functools.partial(on_issued, self)
        self._connection_id_retired_handler = functools.partial(on_retired, self)

    def announce_shutdown(self) -> None:
        """Send GOAWAY once; requests that have arrived are still served."""
        if self.is_established and not self.is_goaway_sent:
            self.is_goaway_sent = True
            self.http.send_goaway(self._next_stream_id)
            self.transmit()

    def finish(self, stream: Stream) -> None:
        """Remove a request whose response is complete."""
        stream.discard_body()
        self.stream_by_id.pop(stream.stream_id, None)

    async def wait_for_activity(self) -> None:
        """Wait until a datagram arrives or the connection ends."""
        self._activity.clear()
        await self._activity.wait()

    def datagram_received(self, payload: bytes | str, address: typing.Any) -> None:
        """Handle one datagram from the caller."""
        super().datagram_received(payload, address)
        self._activity.set()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        if isinstance(event, quic_events.HandshakeCompleted):
            self.is_established = True
        elif isinstance(event, quic_events.ConnectionTerminated):
            self._on_terminated()
            return
        elif isinstance(
            event, (quic_events.StreamReset, quic_events.StopSendingReceived)
        ):
            self._cancel(event.stream_id)
        for http_event in self.http.handle_event(event):
            self._on_http(http_event)

    def _on_http(self, event: h3_events.H3Event) -> None:
        if isinstance(event, h3_events.HeadersReceived):
            self._on_headers(event)
        elif isinstance(event, h3_events.DataReceived):
            stream = self.stream_by_id.get(event.stream_id)
            if stream is not None:
                stream.add_body(event.data, event.stream_ended)

    def _on_headers(self, event: h3_events.HeadersReceived) -> None:
        open_stream = self.stream_by_id.get(event.stream_id)
        if open_stream is not None:
            open_stream.add_body(b'', event.stream_ended)
            return
        if self.is_goaway_sent and event.stream_id >= self._next_stream_id:
            self.connection.reset_stream(
                event.stream_id, h3.ErrorCode.H3_REQUEST_REJECTED
            )
            return
        self._next_stream_id = max(self._next_stream_id, event.stream_id + 4)
        stream = Stream(self, event.stream_id, event.headers)
        self.stream_by_id[event.stream_id] = stream
        if event.stream_ended:
            stream.add_body(b'', is_last=True)
        self._handlers.on_request(stream)

    def _cancel(self, stream_id: int) -> None:
        stream = self.stream_by_id.get(stream_id)
        if stream is not None:
            stream.mark_cancelled()
            self._handlers.on_cancel(stream)

    def _on_terminated(self) -> None:
        for stream in list(self.stream_by_id.values()):
            stream.mark_cancelled()
            self._handlers.on_cancel(stream)
        self._activity.set()
        self._handlers.on_closed(self)
