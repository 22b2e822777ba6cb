"""Settings of the relay daemons at the bounds of the deployments."""

import pathlib
import re

import pytest

from egretjunction import errors
from egretjunction.relay import settings

TEMPLATES = pathlib.Path(__file__).parent.parent.parent / 'deploy'
PLACEHOLDERS = {
    '{{node_name}}': 'm-1',
    '{{zone}}': 'a',
    '{{service}}': 's',
    '{{app}}': '10.0.0.1:1',
    '{{ip}}': '10.0.0.1',
    '{{platform.address}}': '10.0.0.2:1',
    '{{internal_port_range.0}}': '2',
    '{{internal_port_range.1}}': '3',
    '{{listen_addrs.datagram_addr}}': '10.0.0.1:4',
    '{{listen_addrs.outbound}}': '10.0.0.1:5',
    '{{listen_addrs.ready}}': '10.0.0.1:6',
    '{{listen_addrs.control}}': '10.0.0.1:7',
    '{{#limits.link_mbps}}': '',
    '{{/limits.link_mbps}}': '',
    '{{limits.link_mbps}}': '5',
    '{{heartbeat_ms}}': '770',
}
# Bounds by deployment: grace period in s, age of flows in s, configuration in ms.
BOUNDS_BY_SITE = {
    'edge': ('6', '60', '3000'),
    'grown': ('6', '60', '5000'),
    'large': ('6', '60', '6000'),
}
OPTIONAL_BOUND = re.compile(r'\{\{#contract_bounds\.(\w+)\}\}(.*)\{\{/.*\}\}')
CLASSES = {'entry': settings.RelayEntry, 'agent': settings.RelayAgent}


def _read(role, bounds=BOUNDS_BY_SITE['edge'], bound_by_optional_key=()):
    text = (TEMPLATES / f'{role}.ini').read_text('utf-8')
    optional = dict(bound_by_optional_key)
    text = OPTIONAL_BOUND.sub(
        lambda match: (
            f'{match[1]} = {optional[match[1]]}' if match[1] in optional else ''
        ),
        text,
    )
    keys = ('grace_period_s', 'max_flow_s', 'config_apply_ms')
    for key, bound in zip(keys, bounds, strict=True):
        text = text.replace(f'{{{{contract_bounds.{key}}}}}', bound)
    for placeholder, given in PLACEHOLDERS.items():
        text = text.replace(placeholder, given)
    assert '{{' not in text
    return settings.read(text, 'node.ini', CLASSES[role])


@pytest.mark.parametrize('role', CLASSES)
@pytest.mark.parametrize('site', BOUNDS_BY_SITE)
def test_bounds_of_a_deployment_reach_the_daemon(role, site):
    bounds = BOUNDS_BY_SITE[site]
    loaded = _read(role, bounds)
    assert (loaded.grace_seconds, loaded.max_flow_seconds) == (
        float(bounds[0]),
        float(bounds[1]),
    )
    if role == 'entry':
        assert loaded.configuration_ms == int(bounds[2])


def test_limit_for_cold_servers_applies_only_where_the_deployment_states_it():
    assert _read('agent').cold_over is None
    limited = _read('agent', bound_by_optional_key={'cold_over': 1.5, 'cold_slack': 5})
    assert (limited.cold_over, limited.cold_slack) == (1.5, 5)


@pytest.mark.parametrize('role', CLASSES)
@pytest.mark.parametrize('grace', ['', '0', '-1', '1e9', 'soon'])
def test_bound_that_is_missing_or_not_allowed_is_named(role, grace):
    with pytest.raises(errors.SettingsErrors) as raised:
        _read(role, (grace, '60', '3000'))
    text = '\n'.join(errors.describe(raised.value))
    for part in ('node.ini', f'relay-{role}', 'grace_seconds'):
        assert part in text


def test_reload_applies_the_grace_period_and_names_what_needs_a_restart():
    current = _read('entry')
    reloaded = settings.merge_reloaded(current, _read('entry', ('9', '60', '5000')))
    assert reloaded.settings.grace_seconds == 9
    assert reloaded.settings.configuration_ms == current.configuration_ms
    assert (reloaded.applied, reloaded.postponed) == (
        ['grace_seconds'],
        ['configuration_ms'],
    )
