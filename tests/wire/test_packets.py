"""Encoding and decoding of the datagram header and the QUIC fields."""

import contextlib

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from egretjunction import errors
from egretjunction.wire import packets
from tests import builders

PAYLOAD = b'\xc0' + bytes(1199)


def _envelope(candidates=3):
    candidate_list = tuple(
        packets.Candidate(builders.address(number), number % 3)
        for number in range(candidates)
    )
    placement = packets.Placement(1, 0, 250, builders.address(9), candidate_list)
    return packets.Envelope(
        builders.address(1),
        builders.SERVICE_ADDRESS,
        PAYLOAD,
        placement,
    )


@pytest.mark.parametrize('candidates', [0, 1, packets.MAX_CANDIDATES])
def test_encoded_envelope_decodes_to_the_same_envelope(candidates):
    sent = _envelope(candidates)
    received = packets.decode(packets.encode(sent))
    assert received.source == sent.source
    assert received.destination == sent.destination
    assert received.payload == PAYLOAD
    for name in packets.Placement.__slots__:
        assert getattr(received.placement, name) == getattr(sent.placement, name)


def test_envelope_without_placement_decodes_without_one():
    sent = packets.Envelope(builders.address(1), builders.address(2), PAYLOAD)
    assert packets.decode(packets.encode(sent)).placement is None


@pytest.mark.parametrize('cut', range(1, 75))
def test_truncated_header_is_rejected(cut):
    encoded = packets.encode(_envelope())
    header_bytes = len(encoded) - len(PAYLOAD)
    if cut < header_bytes:
        with pytest.raises(errors.PacketError):
            packets.decode(encoded[:cut])


def test_best_index_outside_the_candidate_list_is_rejected():
    envelope = _envelope(2)
    envelope.placement.best_index = 2
    with pytest.raises(
        errors.PacketError, match='best index outside its candidate list'
    ):
        packets.decode(packets.encode(envelope))


@settings(derandomize=True, max_examples=400)
@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_only_packet_error(datagram):
    with contextlib.suppress(errors.PacketError):
        packets.decode(datagram)
    with contextlib.suppress(errors.PacketError):
        packets.read_quic_fields(datagram)


@settings(derandomize=True, max_examples=400)
@given(st.data())
def test_altered_header_raises_only_packet_error(data):
    encoded = bytearray(packets.encode(_envelope()))
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, 80))
        encoded[position] = data.draw(st.integers(0, 255))
    with contextlib.suppress(errors.PacketError):
        packets.decode(bytes(encoded))


@pytest.mark.parametrize('payload', [b'', b'\xc0', b'\x40' * 20, b'\x00' * 50])
def test_payload_that_is_not_quic_is_rejected(payload):
    with pytest.raises(errors.PacketError):
        packets.read_quic_fields(payload)


def test_encoded_acknowledgement_decodes_to_its_connection_id():
    assert packets.decode_acknowledgement(
        packets.encode_acknowledgement(b'12345678')
    ) == (b'12345678')


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60))
def test_other_datagrams_are_not_decoded_as_an_acknowledgement(datagram):
    assert packets.decode_acknowledgement(datagram) is None
    assert packets.decode_acknowledgement(packets.encode(_envelope())) is None
