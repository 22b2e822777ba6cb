"""The soak's check that confirmed versions are in force in time."""

import pytest

from tests.relay import soak_timing

BOUND_SECONDS = 3.0
START = 'event=entry_started role=entry name=e at=100.0 clients=x'


def _adopted(at, version):
    return (
        f'event=configuration_adopted role=entry name=e at={at} version={version} x=1'
    )


def _check(lines, spans=()):
    return soak_timing.check(
        [(110.0, 5)], {'e': '\n'.join(lines)}, {'e': spans}, 130.0, BOUND_SECONDS
    )


@pytest.mark.parametrize(
    ('lines', 'late'),
    [
        ([START, _adopted(112.0, 5)], []),
        ([START, _adopted(112.0, 7)], []),
        ([START, _adopted(114.0, 5)], [('e', 5, 4.0)]),
        ([START, _adopted(112.0, 4)], [('e', 5, None)]),
    ],
)
def test_late_and_missing_versions_are_found(lines, late):
    assert _check(lines).late == late


def test_bound_runs_from_the_end_of_an_outage():
    lines = [START, _adopted(117.0, 5)]
    assert not _check(lines, [(109.0, 115.0)]).late
    assert _check(lines, [(109.0, 112.0)]).late


def test_bound_runs_anew_from_a_restart():
    restart = START.replace('100.0', '111.0')
    lines = [START, restart, _adopted(113.5, 5)]
    assert not _check(lines).late
    assert _check([START, _adopted(110.5, 5), restart]).late


def test_flow_accepted_after_the_bound_of_an_evacuation_is_found():
    """Guards against a check of evacuations that finds nothing."""
    text = 'event=agent_started at=1.0\n' + ''.join(
        f'event=flow_taken role=agent at={at} flow=x\n'
        for at in (9.0, 14.9, 15.1, 21.0)
    )
    assert soak_timing.check_evacuation(text, 10, 20, [], 5) == (True, [15.1])
    assert soak_timing.check_evacuation(text, 10, 14, [], 5) == (False, [])
    assert soak_timing.check_evacuation(text, 10, 20, [(12, 15)], 5) == (False, [])
