"""Headers survive a round trip, and nothing from outside escapes as an error."""

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
    listed = tuple(
        packets.Candidate(builders.address(number), number % 3)
        for number in range(candidates)
    )
    option = packets.Placement(1, 0, 250, builders.address(9), listed)
    return packets.Envelope(
        builders.address(1),
        builders.SERVICE_ADDRESS,
        PAYLOAD,
        option,
    )


@pytest.mark.parametrize('candidates', [0, 1, packets.MAX_CANDIDATES])
def test_envelope_survives_a_round_trip(candidates):
    sent = _envelope(candidates)
    received = packets.decode(packets.encode(sent))
    assert received.source == sent.source
    assert received.destination == sent.destination
    assert received.payload == PAYLOAD
    for name in packets.Placement.__slots__:
        assert getattr(received.placement, name) == getattr(sent.placement, name)


def test_envelope_without_option_survives_a_round_trip():
    sent = packets.Envelope(builders.address(1), builders.address(2), PAYLOAD)
    assert packets.decode(packets.encode(sent)).placement is None


@pytest.mark.parametrize('cut', range(1, 75))
def test_a_cut_header_is_refused_or_read_as_something_shorter(cut):
    whole = packets.encode(_envelope())
    header = len(whole) - len(PAYLOAD)
    if cut < header:
        with pytest.raises(errors.PacketError):
            packets.decode(whole[:cut])


def test_best_candidate_outside_the_list_is_refused():
    envelope = _envelope(2)
    envelope.placement.best_index = 2
    with pytest.raises(errors.PacketError, match='names no candidate'):
        packets.decode(packets.encode(envelope))


@settings(derandomize=True, max_examples=400)
@given(st.binary(max_size=200))
def test_no_bytes_escape_as_another_error(datagram):
    with contextlib.suppress(errors.PacketError):
        packets.decode(datagram)
    with contextlib.suppress(errors.PacketError):
        packets.read_quic_fields(datagram)


@settings(derandomize=True, max_examples=400)
@given(st.data())
def test_no_changed_bytes_escape_as_another_error(data):
    whole = bytearray(packets.encode(_envelope()))
    for _ in range(data.draw(st.integers(1, 4))):
        position = data.draw(st.integers(0, 80))
        whole[position] = data.draw(st.integers(0, 255))
    with contextlib.suppress(errors.PacketError):
        packets.decode(bytes(whole))


@pytest.mark.parametrize('payload', [b'', b'\xc0', b'\x40' * 20, b'\x00' * 50])
def test_what_is_not_quic_is_refused(payload):
    with pytest.raises(errors.PacketError):
        packets.read_quic_fields(payload)


def test_acknowledgement_survives_a_round_trip():
    assert packets.decode_acknowledgement(
        packets.encode_acknowledgement(b'12345678')
    ) == (b'12345678')


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=60))
def test_no_other_bytes_are_an_acknowledgement(datagram):
    assert packets.decode_acknowledgement(datagram) is None
    assert packets.decode_acknowledgement(packets.encode(_envelope())) is None
