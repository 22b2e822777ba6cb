"""Codec of the platform's packets, byte for byte."""

import flow_packets
import pytest
from hypothesis import given
from hypothesis import strategies

from egretjunction import addresses
from egretjunction import errors

CODEC = flow_packets.Codec(8172)
SYN = bytes.fromhex(
    'a1b2c3d5 00000000 64400007 9c41 c6120001 01bb 0000 08 000000000011223344 00000000'
)
RESET = bytes.fromhex(
    '00000000 00000000 c6120001 01bb 64400007 9c41 0000 40 000000000000000000 00000000'
)


def test_first_packet_of_the_platform_example_is_decoded():
    packet = CODEC.from_client(SYN)
    assert packet.is_first
    assert not packet.is_accept
    assert packet.sequence == 0x11223344
    assert packet.data_bytes == 0


def test_key_holds_client_and_route():
    key = CODEC.from_client(SYN).key
    assert CODEC.client_of(key) == addresses.Address('100.64.0.7', 8172)
    assert CODEC.destination_of(key) == addresses.Address('198.18.0.1', 443)


def test_reset_equals_the_platform_example():
    assert CODEC.reset(CODEC.from_client(SYN).key, 0) == RESET


def test_both_directions_have_the_same_key():
    response = SYN[:8] + SYN[14:20] + SYN[8:14] + SYN[20:22] + b'\x0a' + SYN[23:]
    packet = CODEC.from_server(response)
    assert packet.is_accept
    assert packet.key == CODEC.from_client(SYN).key


def test_bounced_packet_keeps_its_direction_and_token():
    packet_with_token = bytearray(CODEC.with_token(SYN, 77))
    packet_with_token[22] |= 1
    packet = CODEC.from_server(bytes(packet_with_token))
    assert packet.is_bounced
    assert packet.token == 77
    assert packet.key == CODEC.from_client(SYN).key
    assert CODEC.restore_bounced(packet.raw) == SYN


def test_token_changes_only_the_echo_field():
    packet_with_token = CODEC.with_token(SYN, 2**32 - 1)
    assert packet_with_token[:4] + packet_with_token[8:] == SYN[:4] + SYN[8:]


@pytest.mark.parametrize(
    'raw',
    [
        b'',
        SYN[:35],
        SYN + b'x',
        SYN[:20] + b'\xff\xff' + SYN[22:],
        SYN[:22] + b'\x80' + SYN[23:],
        SYN[:20] + (1201).to_bytes(2) + SYN[22:] + bytes(1201),
    ],
    ids=['empty', 'short', 'longer', 'length lies', 'unknown flag', 'too much data'],
)
def test_malformed_packet_is_rejected(raw):
    for decode in (CODEC.from_client, CODEC.from_server):
        with pytest.raises(errors.PacketError):
            decode(raw)


@given(strategies.binary(max_size=80))
def test_arbitrary_bytes_are_decoded_or_rejected(raw):
    for decode in (CODEC.from_client, CODEC.from_server):
        try:
            packet = decode(raw)
        except errors.PacketError:
            continue
        assert len(packet.key) == 12
        assert packet.data_bytes == len(raw) - flow_packets.HEADER_BYTES
