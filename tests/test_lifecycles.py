"""Events move the daemon statecharts to the expected states."""

import pytest

from egretjunction import lifecycles


@pytest.mark.parametrize(
    ('chart', 'events', 'state'),
    [
        ('entry', [], 'learning'),
        ('entry', ['caught_up'], 'serving'),
        ('entry', ['drain'], 'draining'),
        ('entry', ['caught_up', 'drain', 'quiet'], 'left'),
        ('entry', ['drain', 'quiet', 'caught_up'], 'left'),
        ('agent', ['warm'], 'learning'),
        ('agent', ['configured', 'warm'], 'serving'),
        ('agent', ['configured', 'warm', 'unconfigured'], 'draining'),
        ('agent', ['configured', 'unconfigured'], 'learning'),
        ('agent', ['configured', 'warm', 'drain', 'warm'], 'draining'),
        ('agent', ['configured', 'warm', 'drain', 'empty'], 'left'),
        ('agent', ['drain', 'overdue', 'configured'], 'left'),
    ],
)
def test_events_lead_to_the_expected_state(chart, events, state):
    lifecycle = lifecycles.Lifecycle(chart)
    for event in events:
        lifecycle.send(event)
    assert lifecycle.state == state


def test_send_returns_whether_the_state_changed():
    lifecycle = lifecycles.Lifecycle('entry')
    assert lifecycle.send('caught_up')
    assert not lifecycle.send('caught_up')
