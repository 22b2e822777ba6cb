"""Control messages are sealed, typed and bounded."""

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


def test_message_survives_a_round_trip():
    sealed = messages.encode(builders.KEY, ANNOUNCE)
    assert messages.decode(builders.KEY, sealed) == ANNOUNCE


def test_member_survives_a_round_trip():
    member = builders.member('bookings-1', 3, incarnation=9, sequence=4, fitness=25)
    back = messages.to_member(messages.to_record(member))
    for name in member.__slots__:
        assert getattr(back, name) == getattr(member, name)


def test_message_under_another_key_is_refused():
    sealed = messages.encode(b'another key 0123', ANNOUNCE)
    with pytest.raises(errors.PacketError, match='wrong seal'):
        messages.decode(builders.KEY, sealed)


def test_record_with_a_malformed_address_is_refused():
    broken = msgspec.structs.replace(RECORD, address=b'123')
    with pytest.raises(errors.PacketError, match='malformed address'):
        messages.to_member(broken)


def test_oversized_message_is_refused():
    with pytest.raises(errors.PacketError, match='too long'):
        messages.decode(builders.KEY, bytes(messages.MAX_MESSAGE_BYTES + 1))


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=120))
def test_no_bytes_escape_as_another_error(body):
    with contextlib.suppress(errors.PacketError):
        messages.decode(builders.KEY, body)
    sealed = messages._seal(builders.KEY, body) + body
    with contextlib.suppress(errors.PacketError):
        messages.decode(builders.KEY, sealed)
