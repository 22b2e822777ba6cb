"""Decoding of the operators' configuration."""

import json

import operator_config
import pytest
from hypothesis import given
from hypothesis import strategies

from egretjunction import addresses
from egretjunction import errors

ROUTES = [
    {
        'name': 'r-1',
        'host': '198.18.0.1',
        'prefix': '/8443/',
        'type': 'idempotent',
        'timeout_ms': 800,
        'target_latency_ms': 173,
        'priority': 2,
        'weighted_services': [
            {'service': 'huvo11a', 'weight': 90},
            {'service': 'wuno96b', 'weight': 10},
        ],
        'max_attempts': 2,
    },
    {'name': 'r-2', 'host': '198.18.0.2', 'prefix': '/8080/', 'service': 'wuno96b'},
]


def _read(document):
    return operator_config.read_routes(json.dumps(document).encode())


def test_routes_are_keyed_by_address_and_port():
    table = _read({'version': 7, 'routes': ROUTES, 'services': [], 'limits': {}})
    weighted_route = table.route_by_address[addresses.Address('198.18.0.1', 8443)]
    assert table.version == 7
    assert weighted_route.weight_by_service == {'huvo11a': 90, 'wuno96b': 10}
    assert (weighted_route.target_seconds, weighted_route.timeout_seconds) == (
        0.173,
        0.8,
    )
    assert weighted_route.priority == 2
    single_service_route = table.route_by_address[addresses.Address('198.18.0.2', 8080)]
    assert single_service_route.weight_by_service == {'wuno96b': 1}


@pytest.mark.parametrize(
    'overrides',
    [{'host': 'a name'}, {'prefix': '/path/'}, {'name': 7}, {'timeout_ms': 'soon'}],
    ids=str,
)
def test_malformed_route_is_rejected(overrides):
    with pytest.raises(errors.PlatformFormatError, match='op/config'):
        _read({'version': 7, 'routes': [{**ROUTES[1], **overrides}]})


@given(strategies.binary(max_size=200))
def test_arbitrary_document_is_rejected(raw):
    with pytest.raises(errors.PlatformFormatError):
        operator_config.read_routes(raw)


@pytest.mark.parametrize('field', ['timeout_ms', 'target_latency_ms'])
@pytest.mark.parametrize('given_ms', [0, -5, 86_400_001])
def test_bound_that_is_not_allowed_is_named_and_drops_no_route(field, given_ms):
    table = _read({'version': 7, 'routes': [{**ROUTES[0], field: given_ms}]})
    assert len(table.route_by_address) == 1
    (problem,) = table.problems
    for part in ('op/config', '"r-1"', field, f'"{given_ms:g}"', 'allowed: above 0'):
        assert part in problem


def test_missing_bounds_are_named():
    table = _read({'version': 7, 'routes': ROUTES})
    assert [problem.count('"r-2"') for problem in table.problems] == [1, 1]


@pytest.mark.parametrize(
    ('key', 'document', 'domain'),
    [
        ('op/evacuate/zone-a', b'{}', 'zone-a'),
        ('op/evacuate/zone-a', b'{"by": "x"}', 'zone-a'),
        ('op/evacuate/zone-a', None, 'zone-a'),
        ('op/config', b'[]', ''),
        ('op/evacuate', b'{}', ''),
        ('op/other/zone-a', b'{}', ''),
    ],
)
def test_evacuation_key_names_its_domain(key, document, domain):
    assert operator_config.read_evacuation(key, document) == domain


@pytest.mark.parametrize(
    ('key', 'document'),
    [
        ('op/evacuate/', b'{}'),
        ('op/evacuate/a/b', b'{}'),
        ('op/evacuate//', b'{}'),
        ('op/evacuate/a', b'[]'),
        ('op/evacuate/a', b''),
        ('op/evacuate/a', b'1'),
        ('op/evacuate/a', b'\xff'),
    ],
)
def test_malformed_evacuation_is_rejected_with_its_key(key, document):
    with pytest.raises(errors.PlatformFormatError, match=key):
        operator_config.read_evacuation(key, document)


def test_cold_figures_are_keyed_by_service():
    services = [
        {'name': 'a', 'cold_per_s': 2.5},
        {'name': 'b', 'cold_per_s': 0},
        {'name': 'c', 'other': 1},
    ]
    table = _read({'version': 7, 'routes': [], 'services': services})
    assert table.cold_per_second_by_service == {'a': 2.5, 'b': 0, 'c': 0}
    assert not table.problems


@pytest.mark.parametrize('figure', [-1, 'many', True, None, [1]])
def test_cold_figure_that_is_not_allowed_is_named_and_drops_no_route(figure):
    services = [{'name': 'a', 'cold_per_s': figure}]
    table = _read({'version': 7, 'routes': ROUTES[:1], 'services': services})
    assert table.cold_per_second_by_service == {'a': None}
    assert len(table.route_by_address) == 1
    (problem,) = table.problems
    for part in ('op/config', '"a"', 'cold_per_s', f'"{figure}"', 'allowed: a number'):
        assert part in problem


@pytest.mark.parametrize('services', [{'a': 1}, 'x', [1], [{'cold_per_s': 2}]])
def test_malformed_services_are_named_and_drop_no_route(services):
    table = _read({'version': 7, 'routes': ROUTES[:1], 'services': services})
    assert not table.cold_per_second_by_service
    assert len(table.route_by_address) == 1
    assert len(table.problems) == 1
