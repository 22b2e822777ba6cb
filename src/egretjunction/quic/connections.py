"""Extensions of aioquic, which is pinned to one minor version.

Server connections issue connection IDs that name their owner, with reset tokens derived
from them; the receive window grows only as data is consumed; and HTTP/3 connections
send and report GOAWAY.
"""

import typing

from aioquic import buffer
from aioquic.h3 import connection as h3
from aioquic.h3 import events as h3_events
from aioquic.quic import configuration as quic_configuration
from aioquic.quic import connection as quic
from aioquic.quic import crypto
from aioquic.quic import events
from aioquic.quic import packet
from aioquic.quic import packet_builder

from egretjunction.quic import congestion

ALPN = ('h3',)
IDLE_TIMEOUT_SECONDS = 120.0
CONNECTION_WINDOW_BYTES = 524_288
STREAM_WINDOW_BYTES = 262_144
UPDATES_PER_WINDOW = 4
CONNECTION_ID_LENGTH = 20
SHORT_HEADER_RANDOM_BITS = 0x3F
FIXED_BIT = 0x40
LONG_HEADER_BIT = 0x80
VARINT_VALUE_BITS = 62
UNIDIRECTIONAL_BIT = 2
SKIP_ALL = 2**VARINT_VALUE_BITS  # bytes, longer than any QUIC stream

Mint = typing.Callable[[], bytes]
ResetToken = typing.Callable[[bytes], bytes]


class ReceiveWindowLimit(quic.Limit):
    """A MAX_DATA limit that rises only as received bytes are consumed."""

    def __init__(self, frame_type: int, window_bytes: int) -> None:
        self.unconsumed_bytes = 0
        self._window_bytes = window_bytes
        self._advertised_limit = window_bytes
        super().__init__(frame_type, 'max_data', window_bytes)

    @property
    def value(self) -> int:
        """Return the limit in bytes, raised in steps of a fraction of the window."""
        next_limit = self.used - self.unconsumed_bytes + self._window_bytes
        if (
            next_limit - self._advertised_limit
            >= self._window_bytes // UPDATES_PER_WINDOW
        ):
            self._advertised_limit = next_limit
        return self._advertised_limit

    @value.setter
    def value(self, _new_limit: int) -> None:
        """Ignore the value that aioquic sets to raise the limit by itself."""


class ServerConnection(quic.QuicConnection):
    """A server connection whose connection IDs name the agent that owns it.

    :param mint: returns a new connection ID.
    :param reset_token: returns the stateless reset token of a connection ID.
    """

    def __init__(
        self,
        *,
        mint: Mint,
        reset_token: ResetToken,
        configuration: quic_configuration.QuicConfiguration,
        original_destination_connection_id: bytes,
    ) -> None:
        super().__init__(
            configuration=configuration,
            original_destination_connection_id=original_destination_connection_id,
        )
        congestion.use_time_based_recovery(self)
        self._mint = mint
        self._reset_token = reset_token
        first_id = self._host_cids[0]
        self._assign_connection_id(first_id)
        self.host_cid = first_id.cid
        self._local_initial_source_connection_id = first_id.cid
        self._local_max_data = ReceiveWindowLimit(
            quic.QuicFrameType.MAX_DATA,
            CONNECTION_WINDOW_BYTES,
        )

    def add_unconsumed(self, byte_count: int) -> None:
        """Count received bytes that are not yet consumed."""
        self._local_max_data.unconsumed_bytes += byte_count

    def consume(self, byte_count: int) -> None:
        """Count bytes as consumed, which raises the limit."""
        self._local_max_data.unconsumed_bytes -= byte_count

    def _assign_connection_id(self, connection_id: quic.QuicConnectionId) -> None:
        connection_id.cid = self._mint()
        connection_id.stateless_reset_token = self._reset_token(connection_id.cid)

    def _replenish_connection_ids(self) -> None:
        previous_count = len(self._host_cids)
        super()._replenish_connection_ids()
        for connection_id in self._host_cids[previous_count:]:
            self._assign_connection_id(connection_id)


def unacknowledged_bytes(connection: quic.QuicConnection, stream_id: int) -> int:
    """Return the bytes of a stream that are queued or in flight."""
    stream = connection._streams.get(stream_id)
    if stream is None:
        return 0
    sender = stream.sender
    return sender._buffer_stop - sender._buffer_start


def can_send(connection: quic.QuicConnection, stream_id: int) -> bool:
    """Return whether a stream accepts data."""
    stream = connection._streams.get(stream_id)
    if stream is None or connection._state in quic.END_STATES:
        return False
    sender = stream.sender
    return sender._reset_error_code is None and not sender.is_finished


class Http3Connection(h3.H3Connection):
    """HTTP/3 with GOAWAY in both directions.

    :param on_goaway: called with the stream ID in each received GOAWAY frame.
    """

    def __init__(
        self,
        connection: quic.QuicConnection,
        on_goaway: typing.Callable[[int], None] | None = None,
    ) -> None:
        self._on_goaway = on_goaway
        self._goaway_reader = GoawayReader()
        super().__init__(connection)

    def send_goaway(self, stream_id: int) -> None:
        """Send GOAWAY: requests with this stream ID or a higher one will not be run."""
        frame = h3.encode_frame(
            h3.FrameType.GOAWAY,
            buffer.encode_uint_var(stream_id),
        )
        self._quic.send_stream_data(self._local_control_stream_id, frame)

    def handle_event(self, event: events.QuicEvent) -> list[h3_events.H3Event]:
        """Handle a QUIC event and report GOAWAY frames in it."""
        http_events = super().handle_event(event)
        if self._on_goaway is not None and isinstance(event, events.StreamDataReceived):
            for stream_id in self._goaway_reader.feed(event.stream_id, event.data):
                self._on_goaway(stream_id)
        return http_events


class GoawayReader:
    """Reads the GOAWAY frames on a peer's control stream.

    aioquic validates the frames of that stream but does not report the content of
    GOAWAY, so the stream is parsed here a second time.
    """

    __slots__ = ('_pending_by_stream', '_skip_by_stream')

    def __init__(self) -> None:
        self._pending_by_stream: dict[int, bytes] = {}
        self._skip_by_stream: dict[int, int] = {}

    def feed(self, stream_id: int, chunk: bytes) -> list[int]:
        """Consume data of any stream and return the stream IDs in GOAWAY frames."""
        if not stream_id & UNIDIRECTIONAL_BIT:
            return []
        is_new = stream_id not in self._pending_by_stream
        pending = self._pending_by_stream.get(stream_id, b'') + chunk
        if is_new and pending:
            is_control = pending[0] == h3.StreamType.CONTROL
            self._skip_by_stream[stream_id] = 0 if is_control else SKIP_ALL
            pending = pending[1:]
        goaway_ids: list[int] = []
        while pending:
            skipped = min(self._skip_by_stream[stream_id], len(pending))
            self._skip_by_stream[stream_id] -= skipped
            pending = pending[skipped:]
            frame_bytes = self._read_frame(stream_id, pending, goaway_ids)
            if not frame_bytes:
                break
            pending = pending[frame_bytes:]
        self._pending_by_stream[stream_id] = pending
        return goaway_ids

    def _read_frame(self, stream_id: int, pending: bytes, goaway_ids: list[int]) -> int:
        """Read one frame and return the bytes read, or 0 if more data is needed.

        Of frames other than GOAWAY only the header is read.
        """
        reader = buffer.Buffer(data=pending)
        try:
            frame_type = reader.pull_uint_var()
            length = reader.pull_uint_var()
            if frame_type != h3.FrameType.GOAWAY or length > buffer.UINT_VAR_MAX_SIZE:
                self._skip_by_stream[stream_id] = length
                return reader.tell()
            payload = reader.pull_bytes(length)
            goaway_ids.append(buffer.Buffer(data=payload).pull_uint_var())
        except buffer.BufferReadError:
            return 0
        return reader.tell()


def is_stateless_reset(connection: quic.QuicConnection, datagram: bytes) -> bool:
    """Return whether a datagram is a stateless reset: the server lost the connection.

    :param connection: connection of a caller.
    :param datagram: datagram as received; a reset looks like a short-header packet.
    """
    if not datagram or datagram[0] & LONG_HEADER_BIT:
        return False
    peer_ids = [connection._peer_cid, *connection._peer_cid_available]
    tokens = {peer_id.stateless_reset_token for peer_id in peer_ids}
    return datagram[-packet.STATELESS_RESET_TOKEN_SIZE :] in tokens


def server_configuration(
    certificate_file: str,
    private_key_file: str,
) -> quic_configuration.QuicConfiguration:
    """Return the configuration of an agent's connections, with 0-RTT disabled."""
    configuration = quic_configuration.QuicConfiguration(
        is_client=False,
        alpn_protocols=list(ALPN),
        connection_id_length=CONNECTION_ID_LENGTH,
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        max_data=CONNECTION_WINDOW_BYTES,
        max_stream_data=STREAM_WINDOW_BYTES,
    )
    configuration.load_cert_chain(certificate_file, private_key_file)
    return configuration


def client_configuration(
    server_name: str,
    authority_file: str,
) -> quic_configuration.QuicConfiguration:
    """Return the configuration of a caller's connections."""
    configuration = quic_configuration.QuicConfiguration(
        is_client=True,
        alpn_protocols=list(ALPN),
        idle_timeout=IDLE_TIMEOUT_SECONDS,
        server_name=server_name,
    )
    configuration.load_verify_locations(authority_file)
    return configuration


def client_connection(
    configuration: quic_configuration.QuicConfiguration,
) -> quic.QuicConnection:
    """Return a new connection of a caller that has sent nothing yet."""
    connection = quic.QuicConnection(configuration=configuration)
    congestion.use_time_based_recovery(connection)
    return connection


def refusal_packet(payload: bytes) -> bytes:
    """Return the packet that refuses a connection before its handshake.

    :param payload: the caller's first datagram.
    :raises ValueError: when it is not a QUIC Initial packet.
    """
    header = packet.pull_quic_header(buffer.Buffer(data=payload))
    if header.packet_type is not packet.QuicPacketType.INITIAL:
        raise ValueError('datagram is not a QUIC Initial packet')
    keys = crypto.CryptoPair()
    version = typing.cast('int', header.version)
    keys.setup_initial(cid=header.destination_cid, is_client=False, version=version)
    builder = packet_builder.QuicPacketBuilder(
        host_cid=header.destination_cid,
        is_client=False,
        max_datagram_size=quic_configuration.SMALLEST_MAX_DATAGRAM_SIZE,
        peer_cid=header.source_cid,
        version=version,
    )
    builder.start_packet(packet.QuicPacketType.INITIAL, keys)
    frame = builder.start_frame(
        packet.QuicFrameType.TRANSPORT_CLOSE,
        capacity=quic.TRANSPORT_CLOSE_FRAME_CAPACITY,
    )
    frame.push_uint_var(packet.QuicErrorCode.CONNECTION_REFUSED)
    frame.push_uint_var(packet.QuicFrameType.PADDING)
    frame.push_uint_var(0)
    datagrams, _ = builder.flush()
    return datagrams[0]


def version_negotiation_packet(payload: bytes) -> bytes | None:
    """Return a Version Negotiation packet for a datagram of an unsupported version.

    :return: None when the version is supported.
    :raises ValueError: when the datagram is not QUIC.
    """
    header = packet.pull_quic_header(buffer.Buffer(data=payload))
    supported = quic_configuration.QuicConfiguration().supported_versions
    if header.version in {None, packet.QuicProtocolVersion.NEGOTIATION, *supported}:
        return None
    return packet.encode_quic_version_negotiation(
        source_cid=header.destination_cid,
        destination_cid=header.source_cid,
        supported_versions=supported,
    )


def stateless_reset_packet(token: bytes, random_bytes: bytes) -> bytes:
    """Return a stateless reset for a flow whose keys are lost.

    :param token: stateless reset token of the flow's connection ID.
    :param random_bytes: at least five random bytes, which precede the token.
    """
    first_byte = (random_bytes[0] & SHORT_HEADER_RANDOM_BITS) | FIXED_BIT
    return bytes([first_byte]) + random_bytes[1:] + token
