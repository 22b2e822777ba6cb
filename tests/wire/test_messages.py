"""Authentication, decoding and size limit of control messages."""

import contextlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from egretjunction import errors
from egretjunction.wire import messages
from tests import builders

RECORD = messages.to_record(builders.member('bookings-1'))
ANNOUNCE = messages.Announce(RECORD, 7, 0)


def test_encoded_message_decodes_to_the_same_message():
    frame = messages.encode(builders.KEY, ANNOUNCE)
    assert messages.decode(builders.KEY, frame) == ANNOUNCE


def test_member_converts_to_a_record_and_back():
    member = builders.member('bookings-1', 3, incarnation=9, sequence=4, fitness=25)
    converted = messages.to_member(messages.to_record(member))
    for name in member.__slots__:
        assert getattr(converted, name) == getattr(member, name)


def test_message_authenticated_with_another_key_is_rejected():
    frame = messages.encode(b'another key 0123', ANNOUNCE)
    with pytest.raises(errors.PacketError, match='wrong MAC'):
        messages.decode(builders.KEY, frame)


def test_record_with_a_malformed_address_is_rejected():
    malformed = msgspec.structs.replace(RECORD, address=b'123')
    with pytest.raises(errors.PacketError, match='malformed address'):
        messages.to_member(malformed)


def test_oversized_message_is_rejected():
    with pytest.raises(errors.PacketError, match='too long'):
        messages.decode(builders.KEY, bytes(messages.MAX_MESSAGE_BYTES + 1))


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=120))
def test_arbitrary_bytes_raise_only_packet_error(body):
    with contextlib.suppress(errors.PacketError):
        messages.decode(builders.KEY, body)
    frame = messages._mac(builders.KEY, body) + body
    with contextlib.suppress(errors.PacketError):
        messages.decode(builders.KEY, frame)
