"""A QUIC connection of the caller library and its pending responses."""

import asyncio
import typing

from aioquic import asyncio as quic_asyncio
from aioquic.h3 import connection as h3
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic
from aioquic.quic import events as quic_events

from egretjunction import addresses
from egretjunction import verdicts
from egretjunction.quic import connections
from egretjunction.quic import http_headers

SEND_HIGH_WATER_BYTES = 262_144
CHUNK_BYTES = 65_536
PING_UID = 0
ANY_ADDRESS = '0.0.0.0'


class FlowError(Exception):
    """A request received no complete response.

    :param verdict: whether the request may have run.
    """

    def __init__(self, message: str, verdict: verdicts.Verdict) -> None:
        self.verdict = verdict
        super().__init__(message)


class Response:
    """A response that arrives in parts."""

    __slots__ = (
        '_changed',
        '_error',
        'body',
        'headers',
        'is_complete',
        'is_sent',
        'status',
    )

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.is_complete = False
        self.is_sent = False
        self._error: FlowError | None = None
        self._changed = asyncio.Event()

    @property
    def verdict(self) -> verdicts.Verdict:
        """Return the verdict that holds if nothing more arrives."""
        if self.status:
            return _verdict_in(self.headers)
        if self.is_sent:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    @property
    def is_finished(self) -> bool:
        """Return whether the response is complete or has failed."""
        return self.is_complete or self._error is not None

    def fail(self, message: str, verdict: verdicts.Verdict | None = None) -> None:
        """Fail the response, unless it is finished already."""
        if not self.is_finished:
            self._error = FlowError(message, verdict or self.verdict)
        self._changed.set()

    def add_headers(self, header_list: http_headers.HeaderList) -> None:
        """Store status and headers."""
        fields = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in header_list
        }
        self.status = int(fields.get(':status', '0'))
        self.headers = fields
        self._changed.set()

    def add_body(self, chunk: bytes) -> None:
        """Append a chunk of the body."""
        self.body += chunk
        self._changed.set()

    def drop_body(self, byte_count: int) -> None:
        """Remove bytes from the front of the body once they were read."""
        self.body = self.body[byte_count:]

    def complete(self) -> None:
        """Mark the response as complete."""
        self.is_complete = True
        self._changed.set()

    async def wait(self) -> None:
        """Wait for a change since the last wait; return at once if it is complete.

        :raises FlowError: when the response has failed.
        """
        if self._error is not None:
            raise self._error
        if self.is_complete:
            return
        await self._changed.wait()
        self._changed.clear()


def _verdict_in(headers: dict[str, str]) -> verdicts.Verdict:
    try:
        return verdicts.Verdict(headers.get(http_headers.VERDICT, ''))
    except ValueError:
        return verdicts.Verdict.MAY_HAVE_RUN


class CallerFlow(quic_asyncio.QuicConnectionProtocol):
    """A connection to one service address."""

    def __init__(self, connection: quic.QuicConnection) -> None:
        super().__init__(connection)
        self.http = connections.Http3Connection(connection, self._on_goaway)
        self.is_goaway_received = False
        self.is_closed = False
        self._response_by_stream: dict[int, Response] = {}
        self._last_received_at = self._loop.time()
        self._activity = asyncio.Event()
        self.became_unusable = asyncio.Event()

    @property
    def is_usable(self) -> bool:
        """Return whether the connection takes new requests."""
        return not self.is_goaway_received and not self.is_closed

    @property
    def silent_seconds(self) -> float:
        """Return the seconds since the last datagram from the server."""
        return self._loop.time() - self._last_received_at

    @property
    def is_idle(self) -> bool:
        """Return whether no response is pending."""
        return not self._response_by_stream

    def start_request(
        self, header_list: http_headers.HeaderList, *, has_body: bool
    ) -> tuple[int, Response]:
        """Send the header fields of a request.

        :param header_list: header fields, pseudo-headers included.
        :param has_body: whether ``send_body`` follows.
        :return: stream ID and the pending response.
        :raises FlowError: with NOT_RUN, when the connection takes no requests.
        """
        if not self.is_usable:
            raise FlowError('connection is closing', verdicts.Verdict.NOT_RUN)
        stream_id = self._quic.get_next_available_stream_id()
        response = Response()
        self._response_by_stream[stream_id] = response
        response.is_sent = True
        self.http.send_headers(stream_id, header_list, end_stream=not has_body)
        self.transmit()
        return stream_id, response

    async def send_body(self, stream_id: int, response: Response, body: bytes) -> None:
        """Send the body of a request as fast as the server acknowledges it.

        :param stream_id: ID of the stream.
        :param response: its response; sending stops once it is finished.
        :param body: complete body.
        """
        for offset in range(0, len(body), CHUNK_BYTES):
            if response.is_finished or not connections.can_send(self._quic, stream_id):
                return
            chunk = body[offset : offset + CHUNK_BYTES]
            self.http.send_data(stream_id, chunk, offset + CHUNK_BYTES >= len(body))
            self.transmit()
            await self._wait_for_send_buffer(stream_id, response)

    async def _wait_for_send_buffer(self, stream_id: int, response: Response) -> None:
        while (
            connections.unacknowledged_bytes(self._quic, stream_id)
            > SEND_HIGH_WATER_BYTES
            and not response.is_finished
        ):
            self._activity.clear()
            await self._activity.wait()

    def discard_connect_waiter(self) -> None:
        """Discard the handshake future, which nothing awaits after a timeout."""
        self._connected_waiter = None

    def probe(self, max_silence_seconds: float) -> None:
        """Send a PING, or give the connection up if the server is silent for too long.

        :param max_silence_seconds: time without a datagram after which the
            connection counts as lost.
        :raises FlowError: when the server was silent for longer than that.
        """
        if self.silent_seconds > max_silence_seconds:
            self._mark_closed('server stopped responding')
            raise FlowError('server stopped responding', verdicts.Verdict.MAY_HAVE_RUN)
        if not self.is_closed:
            self._quic.send_ping(PING_UID)
            self.transmit()

    def cancel(self, stream_id: int) -> None:
        """Cancel a request and reset its stream."""
        response = self._response_by_stream.pop(stream_id, None)
        if response is None or self.is_closed:
            return
        if connections.can_send(self._quic, stream_id):
            self._quic.reset_stream(stream_id, h3.ErrorCode.H3_REQUEST_CANCELLED)
        if not response.is_complete and stream_id in self._quic._streams:
            self._quic.stop_stream(stream_id, h3.ErrorCode.H3_REQUEST_CANCELLED)
        self.transmit()

    def datagram_received(self, payload: bytes | str, address: typing.Any) -> None:
        """Handle one datagram, which may be a stateless reset."""
        self._last_received_at = self._loop.time()
        super().datagram_received(payload, address)
        if connections.is_stateless_reset(self._quic, typing.cast('bytes', payload)):
            self._mark_closed('server sent a stateless reset')
        self._activity.set()

    def quic_event_received(self, event: quic_events.QuicEvent) -> None:
        """Handle an event of the QUIC connection."""
        if isinstance(event, quic_events.ConnectionTerminated):
            self._on_terminated(event)
            return
        if isinstance(event, quic_events.StreamReset):
            self._on_reset(event)
        for http_event in self.http.handle_event(event):
            self._on_http(http_event)

    def _on_http(self, event: h3_events.H3Event) -> None:
        if isinstance(event, h3_events.HeadersReceived):
            response = self._response_by_stream.get(event.stream_id)
            if response is None:
                return
            response.add_headers(event.headers)
        elif isinstance(event, h3_events.DataReceived):
            response = self._response_by_stream.get(event.stream_id)
            if response is None:
                return
            response.add_body(event.data)
        else:
            return
        if event.stream_ended:
            self._response_by_stream.pop(event.stream_id, None)
            response.complete()

    def _on_reset(self, event: quic_events.StreamReset) -> None:
        response = self._response_by_stream.pop(event.stream_id, None)
        if response is None:
            return
        verdict = None
        if event.error_code == h3.ErrorCode.H3_REQUEST_REJECTED:
            verdict = verdicts.Verdict.NOT_RUN
        response.fail(f'stream was reset with {event.error_code:#x}', verdict)

    def _on_goaway(self, stream_id: int) -> None:
        self.is_goaway_received = True
        self.became_unusable.set()
        for open_stream_id, response in list(self._response_by_stream.items()):
            if open_stream_id >= stream_id:
                self._response_by_stream.pop(open_stream_id)
                response.fail('request rejected by GOAWAY', verdicts.Verdict.NOT_RUN)

    def _on_terminated(self, event: quic_events.ConnectionTerminated) -> None:
        self._mark_closed(
            f'connection ended: {event.reason_phrase or event.error_code}'
        )

    def _mark_closed(self, reason: str) -> None:
        self.is_closed = True
        self.became_unusable.set()
        self._activity.set()
        for response in self._response_by_stream.values():
            response.fail(reason)
        self._response_by_stream.clear()


async def connect(
    address: addresses.Address,
    configuration: quic_configuration.QuicConfiguration,
    timeout_seconds: float,
) -> CallerFlow:
    """Open a connection to a service address.

    :param address: the service address.
    :param configuration: QUIC configuration of a caller.
    :param timeout_seconds: longest duration of the handshake.
    :raises FlowError: with NOT_RUN, when the handshake does not finish in time.
    """
    loop = asyncio.get_running_loop()
    connection = connections.client_connection(configuration)
    _, flow = await loop.create_datagram_endpoint(
        lambda: CallerFlow(connection),
        local_addr=(ANY_ADDRESS, 0),
    )
    flow.connect(address)
    try:
        await asyncio.wait_for(flow.wait_connected(), timeout_seconds)
    except (TimeoutError, ConnectionError) as error:
        flow.discard_connect_waiter()
        close(flow)
        message = f'handshake with {address} did not complete'
        raise FlowError(message, verdicts.Verdict.NOT_RUN) from error
    return flow


def close(flow: CallerFlow) -> None:
    """Close a connection and its socket."""
    flow.close()
    transport = flow._transport
    asyncio.get_running_loop().call_soon(transport.close)
