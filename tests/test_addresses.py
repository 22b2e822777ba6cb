"""Addresses as text."""

import pytest

from egretjunction import addresses


def test_address_is_parsed_and_written_alike():
    address = addresses.parse('127.0.0.1:7000')
    assert address == addresses.Address('127.0.0.1', 7000)
    assert addresses.parse(str(address)) == address


@pytest.mark.parametrize(
    'text',
    [
        '127.0.0.1 odd:7000',
        '127.0.0.1 \u00e9:7000',
        '127.0.0.1 \0:7000',
        '0177.0.0.1:7000',
        '127.1:7000',
        'localhost:7000',
        '127.0.0.1:0',
        '127.0.0.1:65536',
        '127.0.0.1:\u00b2',
        '127.0.0.1:+1',
        '127.0.0.1:' + '9' * 5000,
        '127.0.0.1',
        '',
    ],
)
def test_other_text_is_refused(text):
    """Guards against a host that is looked up by name whenever a packet is sent."""
    with pytest.raises(ValueError, match='an IPv4 address and port'):
        addresses.parse(text)
