"""The extensions of aioquic, with both endpoints in memory."""

import time

import pytest
from aioquic.quic import events as quic_events
from aioquic.quic import packet

from egretjunction.decisions import ownership
from egretjunction.quic import connections
from egretjunction.standins import certificates
from tests import builders

OWNER = ownership.Owner(builders.address(1), 5)
CALLER = builders.address(9)
WAIT_SECONDS = 10


class Pair:
    """A client and a server that exchange datagrams in memory."""

    def __init__(self, folder, server_name='bookings', days=30, now=None):
        certificates.write(folder, ['bookings'], days)
        self.issued_ids = []
        self.client = connections.client_connection(
            connections.client_configuration(
                server_name, str(folder / 'authority.pem')
            ),
        )
        now = time.time() if now is None else now
        self.client.connect(builders.SERVICE_ADDRESS, now=now)
        self.server = connections.ServerConnection(
            mint=self._mint,
            reset_token=lambda connection_id: ownership.reset_token(
                builders.KEY, connection_id
            ),
            configuration=connections.server_configuration(
                str(folder / 'bookings.pem'),
                str(folder / 'bookings.key'),
            ),
            original_destination_connection_id=(
                self.client.original_destination_connection_id
            ),
        )

    def _mint(self):
        nonce = len(self.issued_ids).to_bytes(3)
        self.issued_ids.append(ownership.mint(builders.KEY, 'bookings', OWNER, nonce))
        return self.issued_ids[-1]

    def exchange(self, rounds=8):
        """Exchange datagrams in both directions; return the client's events."""
        for _ in range(rounds):
            for payload, _ in self.client.datagrams_to_send(now=time.time()):
                self.server.receive_datagram(payload, CALLER, now=time.time())
            for payload, _ in self.server.datagrams_to_send(now=time.time()):
                self.client.receive_datagram(
                    payload,
                    builders.SERVICE_ADDRESS,
                    now=time.time(),
                )
        return self.events(self.client)

    def events(self, connection):
        """Return the pending events of one connection."""
        collected = []
        while (event := connection.next_event()) is not None:
            collected.append(event)
        return collected


def _event_types(events):
    return {type(event) for event in events}


def test_handshake_completes_and_every_issued_id_names_the_owner(tmp_path):
    pair = Pair(tmp_path)
    assert quic_events.HandshakeCompleted in _event_types(pair.exchange())
    issued = {connection_id.cid for connection_id in pair.server._host_cids}
    assert issued <= set(pair.issued_ids)
    assert len(issued) > 1
    assert pair.client._peer_cid.cid in issued


def test_reset_token_of_each_id_comes_from_the_key(tmp_path):
    pair = Pair(tmp_path)
    pair.exchange()
    for connection_id in pair.server._host_cids:
        token = ownership.reset_token(builders.KEY, connection_id.cid)
        assert connection_id.stateless_reset_token == token


def test_stateless_reset_is_distinguished_from_other_packets(tmp_path):
    pair = Pair(tmp_path)
    pair.exchange()
    current = pair.client._peer_cid.cid
    token = ownership.reset_token(builders.KEY, current)
    reset = connections.stateless_reset_packet(token, bytes(range(21)))
    assert connections.is_stateless_reset(pair.client, reset)
    assert not connections.is_stateless_reset(pair.client, bytes(len(reset)))


@pytest.mark.parametrize(('name', 'days'), [('surveys', 30), ('bookings', -1)])
def test_wrong_name_or_expired_certificate_ends_the_handshake(tmp_path, name, days):
    pair = Pair(tmp_path, name, days)
    pair.exchange(3)
    events = [*pair.events(pair.client), *pair.events(pair.server)]
    event_types = _event_types(events)
    is_closed = pair.client._close_event is not None
    assert is_closed or quic_events.ConnectionTerminated in event_types
    assert quic_events.HandshakeCompleted not in event_types


def test_receive_window_grows_only_as_bytes_are_consumed(tmp_path):
    pair = Pair(tmp_path)
    pair.exchange()
    limit = pair.server._local_max_data
    stream_id = pair.client.get_next_available_stream_id()
    pair.client.send_stream_data(stream_id, bytes(2_000_000))
    received_bytes = 0

    def receive():
        pair.exchange(2)
        for event in pair.events(pair.server):
            if isinstance(event, quic_events.StreamDataReceived):
                pair.server.add_unconsumed(len(event.data))
                yield len(event.data)

    deadline = time.monotonic() + WAIT_SECONDS
    while received_bytes < connections.CONNECTION_WINDOW_BYTES:
        assert time.monotonic() < deadline
        received_bytes += sum(receive())
    for _ in range(60):
        received_bytes += sum(receive())
    assert received_bytes == connections.CONNECTION_WINDOW_BYTES
    before = limit.value
    pair.server.consume(received_bytes)
    assert limit.value > before


def test_goaway_reaches_the_peer(tmp_path):
    pair = Pair(tmp_path)
    goaway_ids = []
    client = connections.Http3Connection(pair.client, goaway_ids.append)
    for event in pair.exchange():
        client.handle_event(event)
    server = connections.Http3Connection(pair.server)
    server.send_goaway(8)
    for event in pair.exchange(3):
        client.handle_event(event)
    assert goaway_ids == [8]


@pytest.mark.parametrize('size', [1, 2, 3, 50])
def test_goaway_is_read_from_a_control_stream_in_chunks_of_any_size(size):
    stream = (
        b'\x00' + b'\x04\x03abc' + b'\x07\x01\x08' + b'\x21\x00' + b'\x07\x02\x40\x10'
    )
    reader = connections.GoawayReader()
    goaway_ids = []
    for start in range(0, len(stream), size):
        goaway_ids.extend(reader.feed(3, stream[start : start + size]))
    assert goaway_ids == [8, 16]


def test_goaway_on_another_stream_is_ignored():
    reader = connections.GoawayReader()
    assert reader.feed(7, b'\x02\x07\x01\x08') == []
    assert reader.feed(0, b'\x00\x07\x01\x08') == []


def test_client_reads_a_refusal_as_connection_refused(tmp_path):
    pair = Pair(tmp_path)
    ((first_datagram, _),) = pair.client.datagrams_to_send(now=time.time())
    refusal = connections.refusal_packet(first_datagram)
    pair.client.receive_datagram(refusal, builders.SERVICE_ADDRESS, now=time.time())
    code = pair.client._close_event.error_code
    assert code == packet.QuicErrorCode.CONNECTION_REFUSED


def test_unknown_version_is_answered_with_version_negotiation(tmp_path):
    pair = Pair(tmp_path)
    ((first_datagram, _),) = pair.client.datagrams_to_send(now=time.time())
    assert connections.version_negotiation_packet(first_datagram) is None
    unknown_version = first_datagram[:1] + b'\x0a\x1a\x2a\x3a' + first_datagram[5:]
    negotiation = connections.version_negotiation_packet(unknown_version)
    assert negotiation is not None
    assert negotiation[1:5] == bytes(4)


@pytest.mark.parametrize('payload', [b'', b'\xc0', b'\xc0\x00\x00\x00\x01\x30'])
def test_malformed_datagram_raises_a_value_error(payload):
    with pytest.raises(ValueError):
        connections.refusal_packet(payload)
    with pytest.raises(ValueError):
        connections.version_negotiation_packet(payload)
