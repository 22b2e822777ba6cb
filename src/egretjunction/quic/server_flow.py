"""One caller's connection at an agent: QUIC, HTTP/3 and its open requests."""

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

    :param flow: the connection that it belongs to.
    :param stream_id: its number.
    :param pairs: the request's header fields.
    """

    __slots__ = (
        '_ended',
        '_flow',
        '_parts',
        '_wakeup',
        'is_cancelled',
        'pairs',
        'stream_id',
    )

    def __init__(self, flow: 'Flow', stream_id: int, pairs: http_headers.Pairs) -> None:
        self._flow = flow
        self.stream_id = stream_id
        self.pairs = pairs
        self.is_cancelled = False
        self._ended = False
        self._parts: collections.deque[bytes] = collections.deque()
        self._wakeup = asyncio.Event()

    @property
    def flow(self) -> 'Flow':
        """Return the connection."""
        return self._flow

    def feed(self, part: bytes, is_last: bool) -> None:
        """Take in a part of the request's body."""
        if part:
            self._parts.append(part)
            self._flow.connection.hold(len(part))
        self._ended = self._ended or is_last
        self._wakeup.set()

    def abandon(self) -> None:
        """Note that the caller is gone and give the window back."""
        self.is_cancelled = True
        self.discard()
        self._wakeup.set()

    def discard(self) -> None:
        """Drop body parts that nobody will read."""
        for part in self._parts:
            self._flow.connection.consume(len(part))
        self._parts.clear()

    async def read(self) -> bytes:
        """Return the next part of the body, empty at its end.

        The part that was returned counts as consumed, so the caller's window
        widens only as fast as the reader asks for more.

        :raises RequestEndedError: when the caller is gone.
        """
        while not self._parts:
            if self.is_cancelled:
                raise RequestEndedError
            if self._ended:
                return b''
            self._wakeup.clear()
            await self._wakeup.wait()
        part = self._parts.popleft()
        self._flow.connection.consume(len(part))
        self._flow.transmit()
        return part

    async def send_head(self, pairs: http_headers.Pairs, is_last: bool = False) -> None:
        """Send the header fields of the answer."""
        if connections.can_send(self._flow.connection, self.stream_id):
            self._flow.http.send_headers(self.stream_id, pairs, is_last)
            self._flow.transmit()

    async def send_data(self, part: bytes, is_last: bool = False) -> None:
        """Send a part of the answer and wait while too much is on its way.

        :raises RequestEndedError: when the caller is gone.
        """
        flow = self._flow
        if not connections.can_send(flow.connection, self.stream_id):
            raise RequestEndedError
        flow.http.send_data(self.stream_id, part, is_last)
        flow.transmit()
        while (
            connections.unsent(flow.connection, self.stream_id) > SEND_HIGH_WATER_BYTES
        ):
            await flow.progress()
            if self.is_cancelled:
                raise RequestEndedError

    def reset(self, error_code: int) -> None:
        """End the stream in both directions with an error code."""
        if connections.can_send(self._flow.connection, self.stream_id):
            self._flow.connection.reset_stream(self.stream_id, error_code)
            self._flow.transmit()


class Handlers:
    """What a flow calls.

    :param send: sends a datagram to the caller.
    :param on_request: takes a new request.
    :param on_cancel: takes a request that the caller gave up.
    :param on_gone: takes the flow once its connection has ended.
    """

    __slots__ = ('on_cancel', 'on_gone', 'on_request', 'send')

    def __init__(
        self,
        send: 'typing.Callable[[Flow, bytes, tuple], None]',
        on_request: typing.Callable[[Stream], None],
        on_cancel: typing.Callable[[Stream], None],
        on_gone: 'typing.Callable[[Flow], None]',
    ) -> None:
        self.send = send
        self.on_request = on_request
        self.on_cancel = on_cancel
        self.on_gone = on_gone


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
    """A connection that this agent owns.

    :param connection: the QUIC connection.
    :param service_address: the address that the caller used.
    :param handlers: what the flow calls.
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
        self.heard_at = float(0)
        self.is_established = False
        self.is_leaving = False
        self._next_stream_id = 0
        self._handlers = handlers
        self._moved = asyncio.Event()
        self.connection_made(typing.cast('typing.Any', _Transport(self, handlers)))

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is open."""
        return not self.stream_by_id

    def watch_ids(
        self,
        issued: 'typing.Callable[[Flow, bytes], None]',
        retired: 'typing.Callable[[Flow, bytes], None]',
    ) -> None:
        """Report each connection ID that comes into use or goes out of use."""
        self._connection_id_issued_handler = functools.partial(issued, self)
        self._connection_id_retired_handler = functools.partial(retired, self)

    def go_away(self) -> None:
        """Ask the caller to move; requests that have arrived are still served."""
        if self.is_established and not self.is_leaving:
            self.is_leaving = True
            self.http.send_goaway(self._next_stream_id)
            self.transmit()

    def finish(self, stream: Stream) -> None:
        """Forget a request whose answer is complete."""
        stream.discard()
        self.stream_by_id.pop(stream.stream_id, None)

    async def progress(self) -> None:
        """Wait until something was received or the connection has ended."""
        self._moved.clear()
        await self._moved.wait()

    def datagram_received(self, payload: bytes | str, address: typing.Any) -> None:
        """Take in one datagram of the caller."""
        super().datagram_received(payload, address)
        self._moved.set()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        if isinstance(event, quic_events.HandshakeCompleted):
            self.is_established = True
        elif isinstance(event, quic_events.ConnectionTerminated):
            self._end()
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
                stream.feed(event.data, event.stream_ended)

    def _on_headers(self, event: h3_events.HeadersReceived) -> None:
        known = self.stream_by_id.get(event.stream_id)
        if known is not None:
            known.feed(b'', event.stream_ended)
            return
        if self.is_leaving and event.stream_id >= self._next_stream_id:
            self.connection.reset_stream(
                event.stream_id, h3.ErrorCode.H3_REQUEST_REJECTED
            )
            return
        self._next_stream_id = max(self._next_stream_id, event.stream_id + 4)
        stream = Stream(self, event.stream_id, event.headers)
        self.stream_by_id[event.stream_id] = stream
        if event.stream_ended:
            stream.feed(b'', is_last=True)
        self._handlers.on_request(stream)

    def _cancel(self, stream_id: int) -> None:
        stream = self.stream_by_id.get(stream_id)
        if stream is not None:
            stream.abandon()
            self._handlers.on_cancel(stream)

    def _end(self) -> None:
        for stream in list(self.stream_by_id.values()):
            stream.abandon()
            self._handlers.on_cancel(stream)
        self._moved.set()
        self._handlers.on_gone(self)
