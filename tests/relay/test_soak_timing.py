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
