"""Members that slow down or fail, seen by one entry."""

import pytest

from egretjunction.decisions import relay_members
from egretjunction.decisions.load import finish
from egretjunction.decisions.load import outliers
from tests import relay_builders as build

TYPICAL = finish.ServiceTypical(0.02, 0, 0)


def _member(number=1, **fields):
    name = f'm-{number}'
    member = relay_members.Member(name, 's', 'a', build.member_address(name))
    member.record_status(build.status(**fields), 0)
    return member


@pytest.mark.parametrize(
    ('fields', 'is_outlier'),
    [
        ({'request_ms': 120}, True),
        ({'failure_percent': 40}, True),
        ({'request_ms': 40}, False),
        ({'request_ms': 20, 'failure_percent': 10}, False),
        ({}, False),
    ],
)
def test_verdict_on_a_status(fields, is_outlier):
    """Servers of half the speed belong to the mix and must not be left out."""
    verdicts = outliers.Outliers()
    member = _member(**fields)
    assert verdicts.update(member, TYPICAL, 10, 1) == is_outlier
    assert verdicts.is_outlier(member) == is_outlier


def test_two_unanswered_offers_make_an_outlier_and_one_does_not():
    """Random loss of single packets must not take members out of use."""
    verdicts = outliers.Outliers()
    member = _member(request_ms=20)
    verdicts.record_outcome('m-1', 1, is_failed=True)
    assert not verdicts.update(member, TYPICAL, 10, 1)
    verdicts.record_outcome('m-1', 1.1, is_failed=True)
    assert verdicts.update(member, TYPICAL, 10, 1.1)


def test_member_recovers_by_probes_or_with_time():
    verdicts = outliers.Outliers()
    probed, idle = _member(1, request_ms=20), _member(2, request_ms=20)
    for member in (probed, idle):
        for _ in range(3):
            verdicts.record_outcome(member.name, 1, is_failed=True)
        assert verdicts.update(member, TYPICAL, 10, 1)
    for _ in range(9):
        verdicts.record_outcome(probed.name, 1.1, is_failed=False)
    assert verdicts.update(probed, TYPICAL, 10, 1.1)
    assert not verdicts.update(idle, TYPICAL, 10, 1.1)
    assert verdicts.update(idle, TYPICAL, 10, 1 + outliers.FORGET_SECONDS)
    assert verdicts.count == 0


def test_recovery_needs_a_clearly_better_figure():
    """A member at the limit would change its verdict with each status."""
    verdicts = outliers.Outliers()
    member = _member(request_ms=51)
    assert verdicts.update(member, TYPICAL, 10, 1)
    member.record_status(build.status(request_ms=48), 2)
    assert not verdicts.update(member, TYPICAL, 10, 2)
    member.record_status(build.status(request_ms=39), 3)
    assert verdicts.update(member, TYPICAL, 10, 3)


def test_at_most_half_of_the_members_are_outliers():
    verdicts = outliers.Outliers()
    members = [_member(number, failure_percent=50) for number in range(7)]
    changed = [verdicts.update(member, TYPICAL, 7, 1) for member in members]
    assert changed.count(True) == 3


def test_service_that_slows_down_as_a_whole_ejects_nobody():
    verdicts = outliers.Outliers()
    members = [_member(number, request_ms=140) for number in range(5)]
    typical = finish.typical_of([member.status for member in members])
    assert not any(verdicts.update(member, typical, 5, 1) for member in members)


def test_no_verdict_after_a_pause_of_the_entry():
    """Answers that arrived during the pause are unread and count as missing."""
    verdicts = outliers.Outliers()
    member = _member(failure_percent=50)
    verdicts.record_pause(1.0, 5.0)
    for _ in range(9):
        verdicts.record_outcome('m-1', 5.0, is_failed=True)
    assert not verdicts.update(member, TYPICAL, 10, 5.0)
    healthy = _member(request_ms=20)
    assert not verdicts.update(healthy, TYPICAL, 10, 6.0)
    assert verdicts.update(member, TYPICAL, 10, 6.0)


def test_records_of_removed_members_are_dropped():
    verdicts = outliers.Outliers()
    member = _member(failure_percent=50)
    assert verdicts.update(member, TYPICAL, 10, 1)
    verdicts.forget('m-1')
    assert verdicts.count == 0
    assert list(verdicts.of_service('s')) == []
