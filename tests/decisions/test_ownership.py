"""Connection IDs encode their owner and are bound to a service."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from egretjunction.decisions import ownership
from tests import builders

OWNER = ownership.Owner(builders.address(1), 77)


def test_the_owner_is_read_from_the_connection_id_alone():
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    owner = ownership.owner_of(builders.KEY, 'bookings', minted)
    assert owner is not None
    assert (owner.address, owner.incarnation) == (OWNER.address, OWNER.incarnation)
    assert len(minted) == ownership.CONNECTION_ID_BYTES


@pytest.mark.parametrize(
    ('key', 'service'),
    [(builders.KEY, 'surveys'), (b'another key 0123', 'bookings')],
)
def test_an_id_of_another_service_or_key_has_no_owner(key, service):
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    assert ownership.owner_of(key, service, minted) is None


@given(st.binary(max_size=40))
def test_a_forged_id_has_no_owner(forged):
    assert ownership.owner_of(builders.KEY, 'bookings', forged) is None


def test_an_id_with_any_changed_byte_has_no_owner():
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    for position in range(len(minted)):
        changed = bytearray(minted)
        changed[position] ^= 1
        assert ownership.owner_of(builders.KEY, 'bookings', bytes(changed)) is None


def test_the_reset_token_depends_only_on_the_key_and_the_id():
    minted = ownership.mint(builders.KEY, 'bookings', OWNER, b'abc')
    token = ownership.reset_token(builders.KEY, minted)
    assert len(token) == ownership.RESET_TOKEN_BYTES
    assert token == ownership.reset_token(builders.KEY, minted)
    assert token != ownership.reset_token(b'another key 0123', minted)
