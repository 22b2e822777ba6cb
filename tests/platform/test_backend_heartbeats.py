"""Decoding of heartbeats and leave calls of backend servers."""

import json

import backend_heartbeats
import pytest
from hypothesis import given
from hypothesis import strategies

from egretjunction import addresses
from egretjunction import errors
from egretjunction.relay import adapter

HEARTBEAT = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'glakes-a',
    'version': 'v1',
    'capacity': 2,
    'state': 'ready',
    'cold_remaining_ms': 0,
    'sequence': 4,
    'born': 1782018491800,
}


def _read(**overrides):
    body = json.dumps({**HEARTBEAT, **overrides}).encode()
    return backend_heartbeats.read_announcement('PUT', '/instances/i-7f3a91c2', body)


def test_heartbeat_is_decoded():
    heartbeat = _read(state='draining', cold_remaining_ms=1500.5)
    assert (heartbeat.name, heartbeat.service, heartbeat.born) == (
        'i-7f3a91c2',
        'huvo11a',
        HEARTBEAT['born'],
    )
    assert (heartbeat.slots, heartbeat.sequence, heartbeat.cold_ms) == (2, 4, 1500)
    assert heartbeat.address == addresses.Address('10.128.0.9', 8080)
    assert heartbeat.is_draining


def test_leave_is_decoded():
    leave = backend_heartbeats.read_announcement('DELETE', '/instances/i-7', b'')
    assert leave == adapter.Leave('i-7')


@pytest.mark.parametrize(
    'overrides',
    [
        {'state': 'resting'},
        {'capacity': 0},
        {'capacity': 'two'},
        {'sequence': None},
        {'born': 1.5},
        {'born': 0},
        {'born': None},
        {'service': 7},
        {'address': 7},
        {'address': 'somewhere'},
        {'zone': None},
        {'version': 7},
    ],
    ids=str,
)
def test_malformed_heartbeat_is_rejected(overrides):
    with pytest.raises(errors.PlatformFormatError, match='i-7f3a91c2'):
        _read(**overrides)


@pytest.mark.parametrize(
    'name', ['address', 'zone', 'version', 'service', 'cold_remaining_ms', 'sequence']
)
def test_heartbeat_without_a_field_is_rejected(name):
    """Guards against another writer's heartbeat that displaces a living server."""
    body = {key: HEARTBEAT[key] for key in HEARTBEAT if key != name}
    with pytest.raises(errors.PlatformFormatError, match=name):
        backend_heartbeats.read_announcement(
            'PUT', '/instances/i-7f3a91c2', json.dumps(body).encode()
        )


def test_heartbeat_without_a_start_time_is_rejected():
    """Guards against a restarted agent that denies its server's flows.

    A first heartbeat with the sequence 1 proves that its sender started after the agent;
    one without a start time, of another writer, named no server that it could be of.
    """
    body = {key: HEARTBEAT[key] for key in HEARTBEAT if key != 'born'}
    with pytest.raises(errors.PlatformFormatError, match='born'):
        backend_heartbeats.read_announcement(
            'PUT', '/instances/i-7f3a91c2', json.dumps({**body, 'sequence': 1}).encode()
        )


@pytest.mark.parametrize(
    ('method', 'path'),
    [('GET', '/instances/i-1'), ('PUT', '/instances/'), ('PUT', '/other')],
)
def test_unknown_call_is_rejected(method, path):
    with pytest.raises(errors.PlatformFormatError):
        backend_heartbeats.read_announcement(method, path, b'{}')


@given(strategies.binary(max_size=200))
def test_arbitrary_body_is_rejected(body):
    with pytest.raises(errors.PlatformFormatError):
        backend_heartbeats.read_announcement('PUT', '/instances/i-1', body)
