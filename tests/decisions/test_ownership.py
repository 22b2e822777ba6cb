"""Connection IDs name their owner and are bound to a service."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretjunction.decisions import ownership
from tests import builders

OWNER = ownership.Owner(builders.address(1), 77)


def test_any_entry_finds_the_owner_from_the_packet_alone():
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    found = ownership.owner_of(builders.KEY, 'bookings', minted)
    assert found is not None
    assert (found.address, found.incarnation) == (OWNER.address, OWNER.incarnation)
    assert len(minted) == ownership.CONNECTION_ID_BYTES


@pytest.mark.parametrize(
    ('key', 'service'),
    [(builders.KEY, 'surveys'), (b'another key 0123', 'bookings')],
)
def test_id_of_another_service_or_key_is_refused(key, service):
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    assert ownership.owner_of(key, service, minted) is None


@given(st.binary(max_size=40))
def test_no_made_up_id_has_an_owner(made_up):
    assert ownership.owner_of(builders.KEY, 'bookings', made_up) is None


def test_each_changed_byte_is_noticed():
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    for position in range(len(minted)):
        changed = bytearray(minted)
        changed[position] ^= 1
        assert ownership.owner_of(builders.KEY, 'bookings', bytes(changed)) is None


def test_reset_token_outlives_the_process_that_issued_the_id():
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    token = ownership.reset_token(builders.KEY, minted)
    assert len(token) == ownership.RESET_TOKEN_BYTES
    assert token == ownership.reset_token(builders.KEY, minted)
    assert token != ownership.reset_token(b'another key 0123', minted)
