"""The platform's packets, byte for byte."""

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


def test_first_packet_of_the_platforms_example():
    packet = CODEC.from_client(SYN)
    assert packet.is_first
    assert not packet.is_accept
    assert packet.sequence == 0x11223344
    assert packet.data_bytes == 0


def test_key_names_client_and_route():
    key = CODEC.from_client(SYN).key
    assert CODEC.client_of(key) == addresses.Address('100.64.0.7', 8172)
    assert CODEC.destination_of(key) == addresses.Address('198.18.0.1', 443)


def test_reset_of_the_platforms_example():
    assert CODEC.reset(CODEC.from_client(SYN).key, 0) == RESET


def test_both_directions_have_one_key():
    answer = SYN[:8] + SYN[14:20] + SYN[8:14] + SYN[20:22] + b'\x0a' + SYN[23:]
    packet = CODEC.from_server(answer)
    assert packet.is_accept
    assert packet.key == CODEC.from_client(SYN).key


def test_bounced_packet_keeps_its_direction_and_token():
    marked = bytearray(CODEC.with_token(SYN, 77))
    marked[22] |= 1
    packet = CODEC.from_server(bytes(marked))
    assert packet.is_bounced
    assert packet.token == 77
    assert packet.key == CODEC.from_client(SYN).key
    assert CODEC.restore_bounced(packet.raw) == SYN


def test_token_changes_nothing_but_echo():
    marked = CODEC.with_token(SYN, 2**32 - 1)
    assert marked[:4] + marked[8:] == SYN[:4] + SYN[8:]


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
def test_malformed_packet_is_refused(raw):
    for read in (CODEC.from_client, CODEC.from_server):
        with pytest.raises(errors.PacketError):
            read(raw)


@given(strategies.binary(max_size=80))
def test_any_bytes_are_read_or_refused(raw):
    for read in (CODEC.from_client, CODEC.from_server):
        try:
            packet = read(raw)
        except errors.PacketError:
            continue
        assert len(packet.key) == 12
        assert packet.data_bytes == len(raw) - flow_packets.HEAD_BYTES
